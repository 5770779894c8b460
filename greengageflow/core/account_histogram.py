"""Histogram of the samples of many accounts, of which none outweighs the others."""

from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, field
from typing import Self

from greengageflow.core.log_histogram import BUCKETS, LogHistogram

TRACKED_ACCOUNTS = 12
"""Accounts whose samples are also kept apart, so that their weight can be reduced.

At most three accounts can exceed a quarter of the samples. The other nine entries bound
the weight of each account without an entry to a ninth of the rest.
"""


@dataclass(slots=True, eq=False)
class _AccountPart:
    """Samples of one account.

    Args:
        missed: Upper bound of its weight that was added while it had no entry.
        total: Upper bound of its weight.
        weights: Weights of its samples since it has an entry, by bucket.
    """

    missed: float
    total: float
    weights: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)


class AccountHistogram(LogHistogram):
    """Histogram in which each account has at most a fraction of the weight.

    The samples of heavier accounts count for less. Without at least ``min_samples``
    effective samples under the limit, all samples count alike: a limit of a quarter
    needs four accounts, and more of them if some have few samples.

    The heaviest accounts are found with the space-saving algorithm: an account without
    an entry replaces the lightest one, whose weight bounds what it may have missed.

    Args:
        now: The time.
        decay_s: Time constant, in seconds.
        min_samples: Effective samples needed for a distribution.
        max_fraction: Maximum fraction of an account.
    """

    def __init__(
        self, now: float, decay_s: float, min_samples: float, max_fraction: float
    ) -> None:
        super().__init__(now, decay_s, min_samples)
        self._max_fraction = max_fraction
        self._parts: dict[str, _AccountPart] = {}

    def snapshot(self) -> Self:
        """Return a copy, as for ``LogHistogram``."""
        found = super().snapshot()
        found._parts = {name: copy(part) for name, part in self._parts.items()}
        return found

    def add_for(self, now: float, account: str, bucket: int) -> None:
        """Add a sample of an account to a bucket."""
        weight = self.add(now, bucket)
        part = self._parts.get(account) or self._track(account)
        part.weights[bucket] += weight
        part.total += weight

    def _track(self, account: str) -> _AccountPart:
        missed = 0.0
        if len(self._parts) >= TRACKED_ACCOUNTS:
            _, lightest = min((part.total, name) for name, part in self._parts.items())
            missed = self._parts.pop(lightest).total
        part = self._parts[account] = _AccountPart(missed, missed)
        return part

    def _scale(self, factor: float) -> None:
        super()._scale(factor)
        for part in self._parts.values():
            part.missed *= factor
            part.total *= factor
            part.weights = [factor * weight for weight in part.weights]

    def _bucket_weights(self, min_weight: float) -> list[float]:
        totals = sorted((part.total for part in self._parts.values()), reverse=True)
        limit = account_limit(totals, self._total, self._max_fraction)
        if limit < self._max_fraction * min_weight:
            return self._weights
        weights = self._weights
        for part in self._parts.values():
            kept = part.total - part.missed
            if part.total > limit and kept > 0:
                removed = min(1.0, (part.total - limit) / kept)
                weights = [
                    max(0.0, weight - removed * own)
                    for weight, own in zip(weights, part.weights, strict=True)
                ]
        return weights


def account_limit(totals: Iterable[float], total: float, max_fraction: float) -> float:
    """Return the most that an account may weigh.

    It is ``max_fraction`` of the sum of all accounts' weights after none is above it.

    Args:
        totals: Weights of the heaviest accounts, in descending order.
        total: Weight of all accounts.
        max_fraction: Maximum fraction of an account.

    Returns:
        0 if there are too few accounts for such a limit.
    """
    others = total
    for count, heaviest in enumerate(totals):
        limit = max_fraction * others / (1 - max_fraction * count)
        if heaviest <= limit or max_fraction * (count + 1) >= 1:
            return limit
        others -= heaviest
    return 0.0
