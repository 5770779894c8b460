"""Histogram of positive values with logarithmic buckets and decaying samples.

Instead of decaying all buckets with time, the weight of new samples grows; the ratio of
weights is the same, and adding a sample changes one bucket.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from copy import copy
from itertools import accumulate, pairwise
from math import ceil, exp, log
from operator import mul
from typing import Self

MIN_VALUE = 0.001
MAX_VALUE = 100_000.0
"""Range of the buckets; values outside it count in the first or last bucket."""
BUCKET_RATIO = 1.2
"""Ratio of a bucket's bounds; quantiles are off by at most this factor."""
BUCKETS = ceil(log(MAX_VALUE / MIN_VALUE) / log(BUCKET_RATIO))
REFRESH_S = 0.25
"""Minimum age, in seconds, at which a cached distribution is computed again."""
MAX_GROWTH_TIME_CONSTANTS = 20.0
"""Time constants after which weights are scaled back, before they lose precision."""
MIN_TAIL_SAMPLES = 1.0
"""Effective samples above an age needed to predict the rest from the histogram."""
TAIL_FRACTION = 0.4
"""Expected rest, as a fraction of the age, of what outlasts nearly all samples.

At the 99th percentile of a log-normal distribution it is 0.36 of the age if the
standard deviation of the logarithm is 0.8, and 0.49 if it is 1.0.
"""

_BOUNDS = tuple(MIN_VALUE * BUCKET_RATIO**n for n in range(BUCKETS + 1))
_MIDDLES = tuple((low + high) / 2 for low, high in pairwise(_BOUNDS))


def bucket_of(value: float) -> int:
    """Return the index of the bucket of a positive value."""
    return min(max(bisect_right(_BOUNDS, value) - 1, 0), BUCKETS - 1)


class Distribution:
    """Immutable distribution of values, uniform within each bucket.

    Args:
        weights: Weight of each bucket; at least one is positive.
        sample_weight: Weight of one sample.

    Attributes:
        samples: Effective number of samples.
        mean: Mean value.
    """

    __slots__ = ("samples", "mean", "_below", "_values_below", "_min_tail")

    def __init__(self, weights: Iterable[float], sample_weight: float) -> None:
        weights = tuple(weights)
        self._below = list(accumulate(weights, initial=0.0))
        self._values_below = list(accumulate(map(mul, weights, _MIDDLES), initial=0.0))
        self._min_tail = MIN_TAIL_SAMPLES * sample_weight
        self.samples = self._below[-1] / sample_weight
        self.mean = self._values_below[-1] / self._below[-1]

    def quantile(self, fraction: float) -> float:
        """Return the value below which ``fraction`` (0 to 1) of the samples lie."""
        below = self._below
        weight = fraction * below[-1]
        bucket = max(bisect_left(below, weight) - 1, 0)
        low, high = _BOUNDS[bucket], _BOUNDS[bucket + 1]
        in_bucket = below[bucket + 1] - below[bucket]
        if not in_bucket:
            return low
        return low + (high - low) * (weight - below[bucket]) / in_bucket

    def remaining(self, age: float) -> float:
        """Return the expected rest of a value that is known to exceed ``age``."""
        age = max(0.0, age)
        bucket = bisect_right(_BOUNDS, age) - 1
        if bucket < 0:
            return self.mean - age
        if bucket >= BUCKETS:
            return TAIL_FRACTION * age
        below, values_below = self._below, self._values_below
        low, high = _BOUNDS[bucket], _BOUNDS[bucket + 1]
        above_in_bucket = (
            (below[bucket + 1] - below[bucket]) * (high - age) / (high - low)
        )
        above = below[-1] - below[bucket + 1] + above_in_bucket
        if above < self._min_tail:
            return TAIL_FRACTION * age
        values_above = values_below[-1] - values_below[bucket + 1]
        values_above += above_in_bucket * (age + high) / 2
        return max(0.0, values_above / above - age)

    def ended_within(self, age: float, more: float) -> float:
        """Return the probability that a value above ``age`` is below ``age + more``."""
        if more <= 0.0:
            return 0.0
        age = max(0.0, age)
        below = self._weight_below(age)
        above = self._below[-1] - below
        if above < self._min_tail:
            return 1.0 - exp(-more / (TAIL_FRACTION * max(age, MIN_VALUE)))
        return min(1.0, (self._weight_below(age + more) - below) / above)

    def _weight_below(self, value: float) -> float:
        bucket = bisect_right(_BOUNDS, value) - 1
        if bucket < 0:
            return 0.0
        if bucket >= BUCKETS:
            return self._below[-1]
        low, high = _BOUNDS[bucket], _BOUNDS[bucket + 1]
        start = self._below[bucket]
        return start + (self._below[bucket + 1] - start) * (value - low) / (high - low)


class LogHistogram:
    """Histogram whose samples decay to 1/e in ``decay_s`` seconds.

    When time goes backwards, samples don't decay until it has caught up.

    Args:
        now: The time.
        decay_s: Time constant, in seconds.
        min_samples: Effective samples needed for a distribution.
    """

    def __init__(self, now: float, decay_s: float, min_samples: float) -> None:
        self._decay_s = decay_s
        self._min_samples = min_samples
        self._weights = [0.0] * BUCKETS
        self._total = 0.0
        self._started_at = self._now = now
        self._refreshed_at = float("-inf")
        self._distribution: Distribution | None = None

    def snapshot(self) -> Self:
        """Return a copy whose distribution can be read without changing this one.

        Reading renews a cached distribution, on which later predictions depend. The
        copy is valid until the next sample.
        """
        return copy(self)

    def add(self, now: float, bucket: int) -> float:
        """Add a sample to a bucket, and return the weight that it has."""
        weight = self._sample_weight(now)
        self._weights[bucket] += weight
        self._total += weight
        return weight

    def distribution(self, now: float) -> Distribution | None:
        """Return the distribution as of at most ``REFRESH_S`` before ``now``.

        Returns:
            None if there are fewer than ``min_samples`` effective samples.
        """
        if not 0.0 <= now - self._refreshed_at < REFRESH_S:
            self._refreshed_at = now
            sample_weight = self._sample_weight(now)
            min_weight = self._min_samples * sample_weight
            self._distribution = (
                Distribution(self._bucket_weights(min_weight), sample_weight)
                if self._total >= min_weight
                else None
            )
        return self._distribution

    def _sample_weight(self, now: float) -> float:
        """Return the weight of a sample that is added now."""
        if now > self._now:
            self._now = now
        time_constants = (self._now - self._started_at) / self._decay_s
        if time_constants > MAX_GROWTH_TIME_CONSTANTS:
            self._scale(exp(-time_constants))
            self._started_at = self._now
            return 1.0
        return exp(time_constants)

    def _scale(self, factor: float) -> None:
        self._weights = [factor * weight for weight in self._weights]
        self._total *= factor

    def _bucket_weights(self, min_weight: float) -> list[float]:
        """Return the weights of the buckets, of at least ``min_weight`` in total."""
        return self._weights
