"""Defaults and checks shared by the configuration schemas."""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

from greengageflow.core.catalog import ClientAccount, Policy, PoolKind, Route
from greengageflow.core.check import Check, Fault, WrongValue
from greengageflow.core.value_checks import matching

# These defaults belong to schemas 1 and 2, which never change. They are kept apart
# from the catalog's defaults: otherwise a release that changes those would fold the
# same log into a different configuration.
DEFAULT_QUEUE_LIMIT = 64
DEFAULT_COST_HINT = 200.0
DEFAULT_DEADLINE_S = 60.0
DEFAULT_POLICY = Policy(
    owners_asked=8,
    share_interval_s=0.5,
    action_expiry_s=600.0,
    retry_ratio=0.1,
    body_limit=1_048_576,
)


def by_name(items: Iterable[Any]) -> Mapping[str, Any]:
    """Return a read-only mapping of the items by name, sorted by name."""
    named = {item.name: item for item in items}
    return MappingProxyType(dict(sorted(named.items())))


def routes(protected: Iterable[str], repeatable: Iterable[str]) -> tuple[Route, ...]:
    """Return routes sorted by prefix.

    A prefix that is in both ``protected`` and ``repeatable`` is protected.
    """
    repeatable_by_prefix = dict.fromkeys(repeatable, True) | dict.fromkeys(
        protected, False
    )
    return tuple(
        Route(prefix, repeatable_by_prefix[prefix])
        for prefix in sorted(repeatable_by_prefix)
    )


def key_hash() -> Check:
    """Check for the SHA-256 hash of a bearer key."""
    return matching("[0-9a-f]{64}", "a SHA-256 hash of 64 digits from 0-9a-f")


def path_prefix() -> Check:
    """Check for a path prefix below a service."""
    return matching("/[!-~]{0,255}", "a path that starts with /")


def unknown_pools(
    pools: Iterable[Any], endpoints: Iterable[Any], path: str
) -> Iterator[Fault]:
    """Yield a fault for each endpoint whose pool is not in ``pools``."""
    names = {pool.name for pool in pools}
    for endpoint in endpoints:
        if endpoint.pool not in names:
            yield WrongValue(
                f"{path}.endpoints[{endpoint.name}].pool".lstrip("."),
                "the name of a pool of this configuration",
                endpoint.pool,
            )


def invalid_service_names(pools: Iterable[Any], path: str) -> Iterator[Fault]:
    """Yield a fault for each service whose name is not a single URL path segment."""
    for pool in pools:
        if pool.kind is PoolKind.SERVICE and "/" in pool.name:
            yield WrongValue(
                f"{path}.pools[{pool.name}].name".lstrip("."),
                "a service name without /, since it stands in the callers' URL",
                pool.name,
            )


def duplicate_keys(accounts: Iterable[ClientAccount], path: str) -> Iterator[Fault]:
    """Yield a fault for each key hash that belongs to more than one account."""
    owners: dict[str, str] = {}
    for account in accounts:
        for digest in account.key_hashes:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                yield WrongValue(
                    f"{path}.accounts[{account.name}].key_hashes".lstrip("."),
                    f"keys of its own, not one of {owner}",
                    digest,
                )
