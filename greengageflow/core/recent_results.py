"""Results that are used again for a short time."""

from collections.abc import Hashable
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_RESULTS = 256
"""Maximum number of results that are kept, after which all are dropped."""


class RecentResults(Generic[T]):
    """Results by key, each of which is used for a while.

    Args:
        reuse_s: Age up to which a result is used, in seconds.
    """

    def __init__(self, reuse_s: float) -> None:
        self._reuse_s = reuse_s
        self._results: dict[Hashable, tuple[float, T]] = {}

    def copy(self) -> "RecentResults[T]":
        """Return a copy, which can be changed without changing this object."""
        found: RecentResults[T] = RecentResults(self._reuse_s)
        found._results = dict(self._results)
        return found

    def is_fresh(self, now: float, key: Hashable) -> bool:
        """Whether there is a result that may be used now."""
        found = self._results.get(key)
        return found is not None and 0.0 <= now - found[0] < self._reuse_s

    def get(self, key: Hashable) -> T:
        """Return the last result of a key."""
        return self._results[key][1]

    def put(self, now: float, key: Hashable, result: T) -> None:
        """Keep a result that was found now."""
        if len(self._results) >= MAX_RESULTS:
            self._results.clear()
        self._results[key] = now, result
