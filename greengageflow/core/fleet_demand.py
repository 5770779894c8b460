"""Aggregated demand and load of the fleet, and this host's share of capacity."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import exp

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, sum_loads
from greengageflow.core.max_min import max_min_shares
from greengageflow.core.peer_report import ReceivedReport


def sum_reports(
    now: float, reports: Iterable[ReceivedReport], decay_s: float
) -> FleetTotals:
    """Aggregate the reports of other routers.

    Args:
        now: Current time.
        reports: Reports received from them.
        decay_s: Time constant of the exponential decay, which is applied up to ``now``.
    """
    listed = list(reports)
    return replace(sum_work(now, listed, decay_s), loads=sum_report_loads(listed))


def sum_work(
    now: float, reports: Iterable[ReceivedReport], decay_s: float
) -> FleetTotals:
    """Aggregate the reports without loads; arguments as for ``sum_reports``."""
    served: dict[tuple[str, str], float] = {}
    offered: dict[tuple[str, str], float] = {}
    listed = list(reports)
    for received in listed:
        decay_factor = exp(min(0.0, (received.at - now) / decay_s))
        _add_decayed(served, received.report.served, decay_factor)
        _add_decayed(offered, received.report.offered, decay_factor)
    return FleetTotals(served, offered, hosts=len(listed))


def _add_decayed(
    sums: dict[tuple[str, str], float],
    part: Mapping[tuple[str, str], float],
    decay_factor: float,
) -> None:
    get = sums.get
    for key, work in part.items():
        sums[key] = get(key, 0.0) + work * decay_factor


def sum_report_loads(reports: Iterable[ReceivedReport]) -> dict[str, LoadShare]:
    """Return the load in flight from other routers, by endpoint."""
    return sum_loads(received.report.loads for received in reports)


@dataclass(frozen=True, slots=True)
class CapacityShares:
    """Shares of a service's capacity.

    Args:
        own: This host's fraction of the capacity, 0 to 1.
        shares: Max-min share of each client account, in the capacity's unit.
    """

    own: float
    shares: Mapping[str, float]


def divide_capacity(
    own: Mapping[str, float], others: Mapping[str, float], capacity: float
) -> CapacityShares:
    """Divide a service's capacity among client accounts and hosts.

    Each client account gets its max-min share of the capacity, and each host the
    fraction that its own callers are entitled to. Per-host fair queues with a fixed
    limit would starve accounts whose callers are concentrated on a few hosts.

    Args:
        own: Demand of this host's callers, by account.
        others: Demand of all other hosts' callers, by account.
        capacity: Work that the service can do in the same period.
    """
    demand = {
        account: own.get(account, 0.0) + others.get(account, 0.0)
        for account in own.keys() | others.keys()
    }
    shares = max_min_shares(demand, capacity)
    total = sum(shares.values())
    if total <= 0:
        return CapacityShares(1.0, shares)
    own_capacity = sum(
        shares[account] * work / demand[account]
        for account, work in own.items()
        if demand[account] > 0
    )
    return CapacityShares(own_capacity / total, shares)
