"""Max-min fair sharing of one capacity."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def max_min_shares(demand: Mapping[K, float], capacity: float) -> dict[K, float]:
    """Return max-min fair shares: each key's demand, capped at a common level.

    Args:
        demand: Demand of each key, in any unit.
        capacity: Capacity to share, in the same unit.
    """
    shares: dict[K, float] = {}
    remaining = capacity
    order = sorted(demand, key=lambda key: demand[key])
    for index, key in enumerate(order):
        fair_share = remaining / (len(order) - index)
        shares[key] = min(demand[key], max(0.0, fair_share))
        remaining -= shares[key]
    return shares
