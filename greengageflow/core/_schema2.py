"""Configuration schema 2: endpoints are nested in their pools, shares are objects.

Changes from schema 1:

- ``weight`` moved into ``share`` and is required.
- ``host`` and ``port`` became ``address`` with ``ip`` and ``port``.
- ``protected`` became ``routes``; a route is protected unless it is repeatable.
- The default of ``slots`` rose from 4 to 8.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from greengageflow.core._schema_common import (
    DEFAULT_COST_HINT,
    DEFAULT_DEADLINE_S,
    DEFAULT_POLICY,
    DEFAULT_QUEUE_LIMIT,
    by_name,
    duplicate_keys,
    invalid_service_names,
    key_hash,
    path_prefix,
    routes,
)
from greengageflow.core.catalog import (
    ClientAccount,
    Endpoint,
    FleetConfig,
    Policy,
    Pool,
    PoolKind,
    Route,
)
from greengageflow.core.check import (
    Fault,
    WrongValue,
    optional,
    record,
    refine,
    required,
    sequence,
)
from greengageflow.core.value_checks import (
    boolean,
    choice,
    integer,
    ip_number,
    name,
    number,
)

NUMBER = 2
_DEFAULT_SLOTS = 8


@dataclass(frozen=True, slots=True)
class _Share:
    weight: float
    queue_limit: int


@dataclass(frozen=True, slots=True)
class _Address:
    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class _Endpoint:
    name: str
    address: _Address
    zone: str
    slots: int
    generation: int
    leaving: bool
    checks_fencing: bool
    resumes: bool


@dataclass(frozen=True, slots=True)
class _Pool:
    name: str
    kind: PoolKind
    routes: tuple[Route, ...]
    cost_hint: float
    deadline_s: float
    endpoints: tuple[_Endpoint, ...]


@dataclass(frozen=True, slots=True)
class _Form:
    accounts: tuple[ClientAccount, ...]
    pools: tuple[_Pool, ...]
    policy: Policy


def _account(name: str, share: _Share, key_hashes: tuple[str, ...]) -> ClientAccount:
    return ClientAccount(name, share.weight, key_hashes, share.queue_limit)


_SHARE = record(
    _Share,
    weight=required(number(0.001, 1e6)),
    queue_limit=optional(integer(1, 100_000), DEFAULT_QUEUE_LIMIT),
)
_ACCOUNT = record(
    _account,
    name=required(name()),
    share=required(_SHARE),
    key_hashes=optional(sequence(key_hash()), ()),
)
_ROUTE = record(
    Route,
    prefix=required(path_prefix()),
    repeatable=optional(boolean(), False),
)
_ADDRESS = record(_Address, ip=required(ip_number()), port=required(integer(1, 65535)))
_ENDPOINT = record(
    _Endpoint,
    name=required(name()),
    address=required(_ADDRESS),
    zone=optional(name(), ""),
    slots=optional(integer(1, 100_000), _DEFAULT_SLOTS),
    generation=optional(integer(1, 2**53), 1),
    leaving=optional(boolean(), False),
    checks_fencing=optional(boolean(), False),
    resumes=optional(boolean(), False),
)
_POOL = record(
    _Pool,
    name=required(name()),
    kind=required(choice(PoolKind, PoolKind)),
    routes=optional(sequence(_ROUTE, unique="prefix"), ()),
    cost_hint=optional(number(1, 1e9), DEFAULT_COST_HINT),
    deadline_s=optional(number(0.1, 86_400), DEFAULT_DEADLINE_S),
    endpoints=optional(sequence(_ENDPOINT), ()),
)
_POLICY_FIELDS = {
    "owners_asked": integer(1, 1000),
    "share_interval_s": number(0.05, 60),
    "action_expiry_s": number(1, 86_400),
    "retry_ratio": number(0, 1),
    "body_limit": integer(1, 2**31),
}
_POLICY = record(
    Policy,
    **{
        field_name: optional(check, getattr(DEFAULT_POLICY, field_name))
        for field_name, check in _POLICY_FIELDS.items()
    },
)


def _duplicate_endpoints(form: _Form, path: str) -> Iterator[Fault]:
    seen = set()
    for pool in form.pools:
        for endpoint in pool.endpoints:
            if endpoint.name in seen:
                endpoint_path = f"{path}.pools[{pool.name}].endpoints.name".lstrip(".")
                yield WrongValue(endpoint_path, "a name not used before", endpoint.name)
            seen.add(endpoint.name)


def _check_consistency(form: _Form, path: str) -> Iterator[Fault]:
    yield from duplicate_keys(form.accounts, path)
    yield from invalid_service_names(form.pools, path)
    yield from _duplicate_endpoints(form, path)


CHECK = refine(
    record(
        _Form,
        accounts=optional(sequence(_ACCOUNT, unique="name"), ()),
        pools=optional(sequence(_POOL, unique="name"), ()),
        policy=optional(_POLICY, DEFAULT_POLICY),
    ),
    _check_consistency,
)


def merge(current: FleetConfig, form: _Form) -> FleetConfig:
    """Return the configuration in ``form``, which covers all values of the catalog."""
    return FleetConfig(
        current.revision,
        current.offset,
        by_name(form.accounts),
        by_name(_pool(item) for item in form.pools),
        by_name(_all_endpoints(form)),
        form.policy,
    )


def _pool(item: _Pool) -> Pool:
    repeatable = {route.prefix for route in item.routes if route.repeatable}
    protected = {route.prefix for route in item.routes if not route.repeatable}
    return Pool(
        item.name,
        item.kind,
        routes(protected, repeatable),
        item.cost_hint,
        item.deadline_s,
    )


def _all_endpoints(form: _Form) -> Iterator[Endpoint]:
    for pool in form.pools:
        for item in pool.endpoints:
            yield Endpoint(
                item.name,
                pool.name,
                item.address.ip,
                item.address.port,
                item.zone,
                item.slots,
                item.generation,
                item.leaving,
                item.checks_fencing,
                item.resumes,
            )


def dump(config: FleetConfig) -> dict[str, Any]:
    """Return the JSON form of ``config`` in schema 2."""
    return {
        "accounts": [_dump_account(account) for account in config.accounts.values()],
        "pools": [_dump_pool(config, pool) for pool in config.pools.values()],
        "policy": {
            field_name: getattr(config.policy, field_name)
            for field_name in _POLICY_FIELDS
        },
    }


def _dump_account(account: ClientAccount) -> dict[str, Any]:
    return {
        "name": account.name,
        "share": {"weight": account.weight, "queue_limit": account.queue_limit},
        "key_hashes": list(account.key_hashes),
    }


def _dump_pool(config: FleetConfig, pool: Pool) -> dict[str, Any]:
    return {
        "name": pool.name,
        "kind": pool.kind.value,
        "routes": [
            {"prefix": route.prefix, "repeatable": route.repeatable}
            for route in pool.routes
        ],
        "cost_hint": pool.cost_hint,
        "deadline_s": pool.deadline_s,
        "endpoints": [
            _dump_endpoint(endpoint) for endpoint in config.pool_endpoints(pool.name)
        ],
    }


def _dump_endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        "name": endpoint.name,
        "address": {"ip": endpoint.host, "port": endpoint.port},
        **({"zone": endpoint.zone} if endpoint.zone else {}),
        "slots": endpoint.slots,
        "generation": endpoint.generation,
        "leaving": endpoint.leaving,
        "checks_fencing": endpoint.checks_fencing,
        "resumes": endpoint.resumes,
    }
