"""Aggregated demand and load of the fleet, and this host's share of capacity."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import exp

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, sum_loads
from greengageflow.core.max_min import max_min_shares
from greengageflow.core.peer_report import HeardReport


def add_up(now: float, heard: Iterable[HeardReport], fade_s: float) -> FleetTotals:
    """Aggregate the reports of other routers.

    Args:
        now: Current time.
        heard: Reports received from them.
        fade_s: Time constant of the exponential decay, which is applied up to ``now``.
    """
    known = list(heard)
    return replace(add_work(now, known, fade_s), loads=add_loads(known))


def add_work(now: float, heard: Iterable[HeardReport], fade_s: float) -> FleetTotals:
    """Aggregate the reports without loads; arguments as for ``add_up``."""
    served: dict[tuple[str, str], float] = {}
    offered: dict[tuple[str, str], float] = {}
    known = list(heard)
    for one in known:
        faded = exp(min(0.0, (one.at - now) / fade_s))
        _add_faded(served, one.report.served, faded)
        _add_faded(offered, one.report.offered, faded)
    return FleetTotals(served, offered, hosts=len(known))


def _add_faded(
    sums: dict[tuple[str, str], float], part: Mapping[tuple[str, str], float], x: float
) -> None:
    get = sums.get
    for key, work in part.items():
        sums[key] = get(key, 0.0) + work * x


def add_loads(heard: Iterable[HeardReport]) -> dict[str, LoadShare]:
    """Return the load in flight from other routers, by endpoint."""
    return sum_loads(one.report.loads for one in heard)


@dataclass(frozen=True, slots=True)
class DemandParts:
    """Shares of a service's capacity.

    Args:
        own: This host's fraction of the capacity, 0 to 1.
        shares: Max-min share of each client account, in the capacity's unit.
    """

    own: float
    shares: Mapping[str, float]


def part_demand(
    own: Mapping[str, float], others: Mapping[str, float], capacity: float
) -> DemandParts:
    """Divide a service's capacity among client accounts and hosts.

    Each client account gets its max-min share of the capacity, and each host the
    fraction that its own callers are entitled to. Per-host fair queues with a fixed
    limit would starve accounts whose callers are concentrated on a few hosts.

    Args:
        own: Demand of this host's callers, by account.
        others: Demand of all other hosts' callers, by account.
        capacity: Work that the service can do in the same period.
    """
    asked = {
        account: own.get(account, 0.0) + others.get(account, 0.0)
        for account in own.keys() | others.keys()
    }
    shares = max_min_shares(asked, capacity)
    total = sum(shares.values())
    if total <= 0:
        return DemandParts(1.0, shares)
    mine = sum(
        shares[account] * work / asked[account]
        for account, work in own.items()
        if asked[account] > 0
    )
    return DemandParts(mine / total, shares)
