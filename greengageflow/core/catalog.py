"""Configuration of the fleet: client accounts, pools and their endpoints.

Records of every configuration schema are folded into these classes; see ``schema``
for the JSON formats.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType


class PoolKind(StrEnum):
    """Protocol of the endpoints of a pool."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """One client account and its share of the capacity.

    Args:
        name: Unique name.
        weight: Relative share of the capacity; above zero.
        key_hashes: SHA-256 hash of each bearer key, in hexadecimal.
        queue_limit: Maximum number of requests that wait at one router.
    """

    name: str
    weight: float = 1.0
    key_hashes: tuple[str, ...] = ()
    queue_limit: int = 64


@dataclass(frozen=True, slots=True)
class Route:
    """Retry rule for calls below a path prefix of a service.

    Args:
        prefix: Path prefix below ``/services/{service}/``.
        repeatable: False if a call must run at most once, so it is never retried.
    """

    prefix: str
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints that serve the same model or service.

    Args:
        name: Name of the model or service, as used by callers.
        kind: Protocol of the endpoints.
        routes: Routes of a service; the longest matching prefix applies.
        cost_hint: Expected cost of a request in tokens, used when there is no
            better estimate.
        deadline_s: Maximum time for a request to wait and run, in seconds.
    """

    name: str
    kind: PoolKind
    routes: tuple[Route, ...] = ()
    cost_hint: float = 200.0
    deadline_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One replica of a pool.

    Args:
        name: Unique name.
        pool: Name of the pool it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Maximum number of requests that run at the same time.
        generation: Increased when the replica is replaced under the same name.
        leaving: True while it is drained and gets no new requests.
        checks_fencing: True if it rejects orders with an outdated fencing number.
        resumes: True if an interrupted stream can be resumed from an offset.
    """

    name: str
    pool: str
    host: str
    port: int
    zone: str = ""
    slots: int = 8
    generation: int = 1
    leaving: bool = False
    checks_fencing: bool = False
    resumes: bool = False


@dataclass(frozen=True, slots=True)
class Policy:
    """Fleet-wide settings that operators can change at run time.

    Args:
        owners_asked: Maximum number of owners at which one router registers the
            demand of one account at the same time.
        share_interval_s: Interval between service reports, in seconds.
        action_expiry_s: Time for which an idempotency key is kept, in seconds.
        retry_ratio: Retry budget, in retries per first attempt.
        body_limit: Maximum size of a request body, in bytes.
    """

    owners_asked: int = 8
    share_interval_s: float = 0.5
    action_expiry_s: float = 600.0
    retry_ratio: float = 0.1
    body_limit: int = 1_048_576


def _empty() -> Mapping[str, object]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One accepted configuration.

    Args:
        revision: Number of records accepted up to and including this one.
        offset: Log offset of the record that set it.
        accounts: Client accounts by name.
        pools: Pools by name.
        endpoints: Endpoints by name.
        policy: Fleet-wide settings.
    """

    revision: int = 0
    offset: int = -1
    accounts: Mapping[str, ClientAccount] = field(default_factory=_empty)
    pools: Mapping[str, Pool] = field(default_factory=_empty)
    endpoints: Mapping[str, Endpoint] = field(default_factory=_empty)
    policy: Policy = Policy()

    def pool_endpoints(self, pool: str) -> Iterator[Endpoint]:
        """Yield the endpoints of one pool, including those being drained."""
        for endpoint in self.endpoints.values():
            if endpoint.pool == pool:
                yield endpoint
