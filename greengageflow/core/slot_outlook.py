"""Probability that a slot becomes free for a request before it expires."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, inf, lgamma, log
from typing import NamedTuple

MIN_START_PROBABILITY = 0.05
"""Probability of a start below which a request is rejected at once."""


class RequestAhead(NamedTuple):
    """A request that starts before another one unless it expires.

    Args:
        expires_at: Time at which it expires.
        reuse: Probability that it would have ended again by the horizon.
    """

    expires_at: float
    reuse: float = 0.0


@dataclass(frozen=True, slots=True)
class Outlook:
    """How slots become free until a horizon.

    Args:
        opening: Probability that a slot opens for the request.
        per_s: Maximum expected rate at which requests end, per second.
        reuse_s: Longest time for which a request can run that starts before the
            horizon, in seconds; 0 if the rate includes those.
        free_memory: Free memory of the fullest engine, in tokens.
    """

    opening: float
    per_s: float = inf
    reuse_s: float = 0.0
    free_memory: float = inf

    def start_probability(
        self, now: float, until: float, ahead: Iterable[RequestAhead]
    ) -> float:
        """Return an upper bound of the probability of a start in ``now`` to ``until``.

        Args:
            now: The time.
            until: Time at which the request expires.
            ahead: Requests that come before it.
        """
        # The slots that open go to the first request that has not expired. The request
        # gets one if, from some moment on, more slots open than requests are ahead of
        # it at that moment; it suffices to look at the moments at which one expires.
        moments = sorted((a for a in ahead if a.expires_at > now), reverse=True)
        probability = reused = 0.0
        for needed, (since, reuse) in enumerate((*moments, RequestAhead(now)), 1):
            if since < until:
                mean = self.per_s * (until - since) + reused
                probability += at_least(needed, mean)
                if probability >= MIN_START_PROBABILITY:
                    break
            reused += reuse
        return min(probability, self.opening)

    def is_open(self, now: float, until: float, queued: int) -> bool:
        """Whether a request should wait even if ``queued`` requests are ahead of it."""
        return at_least(queued + 1, self.per_s * (until - now)) >= MIN_START_PROBABILITY


def at_least(count: int, mean: float) -> float:
    """Return an upper bound of the probability of ``count`` or more events.

    Exact for one event of a Poisson distribution. Sums of independent events with
    different probabilities vary less than it.
    """
    if count <= 0 or mean >= count:
        return 1.0
    if mean <= 0.0:
        return 0.0
    if count == 1:
        return 1.0 - exp(-mean)
    # The terms of the tail fall at least as fast as a geometric series.
    first = exp(count * log(mean) - mean - lgamma(count + 1))
    return min(1.0, first / (1.0 - mean / (count + 1)))


def at_most(count: int, probabilities: Iterable[float]) -> float:
    """Return the probability that at most ``count`` independent events happen."""
    exactly = [1.0] + [0.0] * count
    for p in probabilities:
        for n in range(count, 0, -1):
            exactly[n] += p * (exactly[n - 1] - exactly[n])
        exactly[0] *= 1.0 - p
    return sum(exactly)
