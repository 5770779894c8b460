"""Speed of an endpoint relative to others, learned from finished requests."""

from math import exp, inf, log

MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 5.0
"""Bounds of the slowness and of each sample."""
SAMPLE_GAIN = 0.15
"""Weight of a new sample.

A change by a factor of 2 shows as 1.47 after 5 samples and as 1.74 after 10. Samples
with a standard deviation of the logarithm of 0.8 leave one of 0.23.
"""
MAX_SAMPLE_FACTOR = 1.5
"""Maximum factor by which one sample changes the slowness, so that an outlier can't."""
IDLE_AFTER_S = 5.0
"""Seconds without a sample after which the slowness decays towards 1."""
IDLE_DECAY_S = 60.0
"""Time constant of that decay, in seconds.

A slow endpoint that gets no requests has no samples that could show its recovery.
"""

_MAX_LOG_STEP = log(MAX_SAMPLE_FACTOR)


class EndpointSpeed:
    """Smoothed ratio of actual to expected times of one endpoint.

    Ratios are smoothed as logarithms, so slower and faster are detected alike. With
    medians as the expected times, an endpoint like the others has a slowness of 1.

    Failed, cut-off and cancelled requests are no samples. When time goes backwards, the
    slowness doesn't decay until it has caught up.

    Args:
        born: Start time of the endpoint, in any unit; 0 if not given.

    Attributes:
        slowness: 1 for an endpoint like the others, 2 for one that takes twice as long,
            as of the last sample.
        ignored: Number of samples that were not positive and finite.
    """

    def __init__(self, born: int = 0) -> None:
        self.slowness = 1.0
        self.ignored = 0
        self._born = born
        self._log = 0.0
        self._sampled_at = -inf

    def observe(self, now: float, actual_s: float, expected_s: float) -> None:
        """Record the time of a finished request or of a first event.

        Args:
            now: The time.
            actual_s: Seconds that it took.
            expected_s: Seconds that it takes at an endpoint like the others.
        """
        if not (0.0 < actual_s < inf and 0.0 < expected_s < inf):
            self.ignored += 1
            return
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, actual_s / expected_s))
        before = self._log_at(now)
        step = SAMPLE_GAIN * (log(ratio) - before)
        self._log = before + min(_MAX_LOG_STEP, max(-_MAX_LOG_STEP, step))
        self._sampled_at = max(now, self._sampled_at)
        self.slowness = exp(self._log)

    def slowness_at(self, now: float) -> float:
        """Return the slowness, which decays towards 1 while there are no samples."""
        return exp(self._log_at(now))

    def restart(self, born: int) -> bool:
        """Begin anew if the endpoint has started again under its id.

        Args:
            born: Its start time, in the unit of the constructor's.

        Returns:
            Whether ``born`` is later than the last known start.
        """
        if born <= self._born:
            return False
        self._born = born
        self.slowness = 1.0
        self._log = 0.0
        self._sampled_at = -inf
        return True

    def _log_at(self, now: float) -> float:
        idle_s = now - self._sampled_at - IDLE_AFTER_S
        return self._log * exp(-idle_s / IDLE_DECAY_S) if idle_s > 0 else self._log
