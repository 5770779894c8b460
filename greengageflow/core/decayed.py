"""Exponentially decaying sums."""

from collections.abc import Hashable, Iterator
from math import exp
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class DecayedSums(Generic[K]):
    """Sums by key that decay to 1/e in ``time_constant_s`` seconds.

    Args:
        time_constant_s: Time constant, in seconds.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sums: dict[K, tuple[float, float]] = {}

    def add(self, now: float, key: K, amount: float) -> None:
        """Add to the sum of a key, which is kept at 0 or above."""
        self._sums[key] = (max(0.0, self.get(now, key) + amount), now)

    def get(self, now: float, key: K) -> float:
        """Return the sum of a key at ``now``."""
        found = self._sums.get(key)
        if found is None:
            return 0.0
        return found[0] * exp(min(0.0, (found[1] - now) / self._time_constant_s))

    def items(self, now: float, min_sum: float = 0.0) -> Iterator[tuple[K, float]]:
        """Yield keys with sums above ``min_sum``, and delete the others."""
        for key in list(self._sums):
            value = self.get(now, key)
            if value > min_sum:
                yield key, value
            else:
                del self._sums[key]
