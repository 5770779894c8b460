"""Max-min fair sharing of one capacity."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def max_min_shares(asked: Mapping[K, float], capacity: float) -> dict[K, float]:
    """Return max-min fair shares: each key's demand, capped at a common level.

    Args:
        asked: Demand of each key, in any unit.
        capacity: Capacity to share, in the same unit.
    """
    shares: dict[K, float] = {}
    left = capacity
    order = sorted(asked, key=lambda key: asked[key])
    for index, key in enumerate(order):
        even = left / (len(order) - index)
        shares[key] = min(asked[key], max(0.0, even))
        left -= shares[key]
    return shares
