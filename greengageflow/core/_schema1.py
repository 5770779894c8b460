"""Configuration schema 1: flat lists of accounts, pools and endpoints.

Schema 1 has no fields for an account's queue limit, a pool's cost hint and deadline,
a repeatable route below a protected prefix, an endpoint's fencing checks and stream
resumption, and the policy. Accounts, pools and endpoints of the same name keep these
values from the current configuration, and so does the policy.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from greengageflow.core._schema_common import (
    DEFAULT_COST_HINT,
    DEFAULT_DEADLINE_S,
    DEFAULT_QUEUE_LIMIT,
    by_name,
    duplicate_keys,
    invalid_service_names,
    key_hash,
    path_prefix,
    routes,
    unknown_pools,
)
from greengageflow.core.catalog import (
    ClientAccount,
    Endpoint,
    FleetConfig,
    Pool,
    PoolKind,
)
from greengageflow.core.check import optional, record, refine, required, sequence
from greengageflow.core.value_checks import (
    boolean,
    choice,
    integer,
    ip_number,
    name,
    number,
)

NUMBER = 1
_DEFAULT_SLOTS = 4


@dataclass(frozen=True, slots=True)
class _Pool:
    name: str
    kind: PoolKind
    protected: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Form:
    accounts: tuple[ClientAccount, ...]
    pools: tuple[_Pool, ...]
    endpoints: tuple[Endpoint, ...]


_ACCOUNT = record(
    ClientAccount,
    name=required(name()),
    weight=optional(number(0.001, 1e6), 1.0),
    key_hashes=optional(sequence(key_hash()), ()),
)
_POOL = record(
    _Pool,
    name=required(name()),
    kind=required(choice(PoolKind, PoolKind)),
    protected=optional(sequence(path_prefix()), ()),
)
_ENDPOINT = record(
    Endpoint,
    name=required(name()),
    pool=required(name()),
    host=required(ip_number()),
    port=required(integer(1, 65535)),
    zone=optional(name(), ""),
    slots=optional(integer(1, 100_000), _DEFAULT_SLOTS),
    generation=optional(integer(1, 2**53), 1),
    leaving=optional(boolean(), False),
)


def _check_consistency(form: _Form, path: str) -> Iterator[Any]:
    yield from duplicate_keys(form.accounts, path)
    yield from invalid_service_names(form.pools, path)
    yield from unknown_pools(form.pools, form.endpoints, path)


CHECK = refine(
    record(
        _Form,
        accounts=optional(sequence(_ACCOUNT, unique="name"), ()),
        pools=optional(sequence(_POOL, unique="name"), ()),
        endpoints=optional(sequence(_ENDPOINT, unique="name"), ()),
    ),
    _check_consistency,
)


def merge(current: FleetConfig, form: _Form) -> FleetConfig:
    """Return ``current`` with every value that schema 1 covers taken from ``form``."""
    return replace(
        current,
        accounts=by_name(_account(current, item) for item in form.accounts),
        pools=by_name(_pool(current, item) for item in form.pools),
        endpoints=by_name(_endpoint(current, item) for item in form.endpoints),
    )


def _account(current: FleetConfig, item: ClientAccount) -> ClientAccount:
    old = current.accounts.get(item.name)
    queue_limit = DEFAULT_QUEUE_LIMIT if old is None else old.queue_limit
    return replace(item, queue_limit=queue_limit)


def _pool(current: FleetConfig, item: _Pool) -> Pool:
    old = current.pools.get(item.name)
    if old is None or old.kind is not item.kind:
        old = Pool(
            item.name,
            item.kind,
            cost_hint=DEFAULT_COST_HINT,
            deadline_s=DEFAULT_DEADLINE_S,
        )
    repeatable = {route.prefix for route in old.routes if route.repeatable}
    return replace(old, routes=routes(item.protected, repeatable))


def _endpoint(current: FleetConfig, item: Endpoint) -> Endpoint:
    old = current.endpoints.get(item.name)
    if old is None or old.pool != item.pool:
        return replace(item, checks_fencing=False, resumes=False)
    return replace(item, checks_fencing=old.checks_fencing, resumes=old.resumes)


def dump(config: FleetConfig) -> dict[str, Any]:
    """Return the part of ``config`` that schema 1 covers, in its JSON form."""
    return {
        "accounts": [
            {
                "name": account.name,
                "weight": account.weight,
                "key_hashes": list(account.key_hashes),
            }
            for account in config.accounts.values()
        ],
        "pools": [_dump_pool(pool) for pool in config.pools.values()],
        "endpoints": [
            {
                "name": endpoint.name,
                "pool": endpoint.pool,
                "host": endpoint.host,
                "port": endpoint.port,
                **({"zone": endpoint.zone} if endpoint.zone else {}),
                "slots": endpoint.slots,
                "generation": endpoint.generation,
                "leaving": endpoint.leaving,
            }
            for endpoint in config.endpoints.values()
        ],
    }


def _dump_pool(pool: Pool) -> dict[str, Any]:
    return {
        "name": pool.name,
        "kind": pool.kind.value,
        "protected": [route.prefix for route in pool.routes if not route.repeatable],
    }
