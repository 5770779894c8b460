"""Forwarding configuration: routes, services and client accounts."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from random import Random

SHORT_TARGET_S = 0.5
"""Target of a stream up to which the configuration counts as having short targets.

Such a request can't wait for a slot of an engine, nor for a retry after the usual
delay.
"""


class RetryPolicy(Enum):
    """Retry policy of a route."""

    ANY = auto()
    """Idempotent: a request may run any number of times."""
    ONCE = auto()
    """A request runs at most once."""
    RESUME = auto()
    """A stream that another endpoint may resume after its last event."""


@dataclass(frozen=True, slots=True)
class Backend:
    """One service of a route.

    Args:
        service: Service name.
        weight: Share of the requests, relative to the other backends.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Forwarding rules for the requests of one host name and path prefix.

    Args:
        name: Route name.
        host: Host name that callers use.
        prefix: Path prefix, with slashes at both ends.
        retry_policy: Retry policy.
        stream: The answer is a stream of events.
        timeout_s: Request timeout, in seconds.
        target_s: Target latency, in seconds.
        gap_s: Longest gap between events that meets the target, in seconds.
        attempts: Maximum number of endpoints that one request is sent to.
        priority: Rank, 0 is the highest.
        public: No account key is required.
        backends: Services that may run the requests.
        regions: Regions whose endpoints may run the requests (data residency); empty
            if all may.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    stream: bool
    timeout_s: float
    target_s: float
    gap_s: float
    attempts: int
    priority: int
    public: bool
    backends: tuple[Backend, ...]
    regions: frozenset[str] = frozenset()

    def pick(self, random: Random) -> str:
        """Return a service for one request, chosen at random by weight."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        if not any(weights):
            return self.backends[0].service
        return random.choices(self.backends, weights)[0].service


@dataclass(frozen=True, slots=True)
class Service:
    """A service whose endpoints the fleet routes to.

    Args:
        name: Service name.
        slots: Concurrent requests of one endpoint; 0 if the endpoints report it.
        memory_tokens: Tokens that fit into a model engine's memory; 0 for a
            plain service.
        max_conns: Maximum number of connections to one endpoint from all hosts.
        transfers: Engines can fetch prompt parts from each other.
        warmup_per_s: Requests a second that a cold endpoint tolerates; 0 if there is
            no limit.
        cold_start_s: Time for which an endpoint is cold after its start, in seconds.
    """

    name: str
    slots: int = 0
    memory_tokens: int = 0
    max_conns: int = 100
    transfers: bool = False
    warmup_per_s: float = 0.0
    cold_start_s: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether its endpoints are model engines."""
        return self.memory_tokens > 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Args:
        header_bytes: Maximum size of a request head, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        header_s: Timeout for receiving a request, in seconds.
        idle_s: Idle timeout of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 10.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Routing:
    """A complete published forwarding configuration.

    Args:
        version: Version number; later ones are greater.
        routes: Routes.
        services: Services by name.
        accounts: Client account by key.
        keyed: Requests carry account keys.
        bounds: Limits on callers.
        tokens_per_s: Capacity of all engines together, in tokens a second; a prompt
            token counts once, a generated one twice; 0 if not known.
        account_regions: Regions whose endpoints may run an account's requests (data
            residency), by account; all may if it is not listed.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, str] = field(default_factory=dict)
    keyed: bool = False
    bounds: CallerLimits = CallerLimits()
    tokens_per_s: float = 0.0
    account_regions: dict[str, frozenset[str]] = field(default_factory=dict)

    @property
    def shortest_stream_target_s(self) -> float:
        """Shortest target of a stream, in seconds; infinite without streams."""
        return min((r.target_s for r in self.routes if r.stream), default=inf)

    @property
    def has_short_targets(self) -> bool:
        """Whether a stream has a short target, so that likely costs decide."""
        return self.shortest_stream_target_s <= SHORT_TARGET_S

    def allowed_regions(self, route: Route, account: str) -> frozenset[str] | None:
        """Return the regions whose endpoints may run a request, or None for all.

        Where both the route and the account are restricted, both restrictions apply.
        """
        restrictions = [route.regions, self.account_regions.get(account, frozenset())]
        regions = [found for found in restrictions if found]
        return frozenset.intersection(*regions) if regions else None


class RouteTable:
    """Looks up the route of a request.

    Args:
        routes: All routes.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in routes:
            by_host[route.host.lower()].append(route)
        for found in by_host.values():
            found.sort(key=lambda route: -len(route.prefix))
        self._by_host = dict(by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        name = host.lower()
        found = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        for route in found or ():
            if path.startswith(route.prefix):
                return route
        return None
