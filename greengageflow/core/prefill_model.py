"""Prefill rate of a model engine, learned from the times of first events.

The first event of a request comes a fixed time after its prompt is read: the time of
the engine's first decoding step, the network and the router. That time does not limit
the engine's throughput. A model without it would underestimate the rate of an engine
whose first events come after 0.15 s, and refuse requests that could be served in time.
"""

from dataclasses import dataclass

INITIAL_TOKENS_PER_S = 20_000.0
"""Initial rate of an engine, in tokens a second; the slowest learned was 27,000."""
INITIAL_FIXED_S = 0.05
"""Initial estimate of the fixed time to the first event, in seconds."""
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 500_000.0
"""Bounds of the rate in tokens a second, so that a bad sample can't skew placement.

If the upper bound is too low, requests that could run are refused. If it is too high,
engines are overloaded just after a restart of all hosts, when their caches still keep
prompt parts that no host knows of.
"""
SAMPLE_DECAY = 0.98
"""Decay factor of the sums per sample; averages over about 50 samples."""
MIN_TRUSTED_SAMPLES = 20
"""Minimum samples to use an engine's own model instead of its service's."""
MIN_SPREAD_TOKENS = 400.0
"""Minimum standard deviation of prompt lengths, in tokens, to fit the rate.

At 60,000 tokens a second 400 tokens take 7 ms, as long as one step of an engine.
"""
PRIOR_WEIGHT = 0.2
"""Weight of each of the two initial points, in first events."""
PRIOR_TOKENS = 10_000.0
"""Prompt tokens of the second initial point; a long prompt fixes both parameters."""
OUTLIER_RATIO = 3.0
"""Multiple of the predicted time at which a sample is capped as an outlier.

Such times have other causes, which the endpoint's load shows: an evicted part that is
read again, or an engine that stalls.
"""


@dataclass(slots=True)
class _RegressionSums:
    """Decaying sums for a linear regression; x in tokens, y in seconds."""

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float, weight: float = 1.0) -> None:
        self.n = SAMPLE_DECAY * self.n + weight
        self.x = SAMPLE_DECAY * self.x + weight * x
        self.y = SAMPLE_DECAY * self.y + weight * y
        self.xx = SAMPLE_DECAY * self.xx + weight * x * x
        self.xy = SAMPLE_DECAY * self.xy + weight * x * y


class PrefillModel:
    """Linear model of the time to the first event over the tokens to be read.

    Samples of idle engines determine both parameters, because no other prompt is ahead.
    Samples of busy engines determine the rate only: between two consecutive first
    events the engine has read the second prompt.

    Args:
        rate: Initial rate, in tokens a second.
        fixed_s: Initial fixed time to the first event, in seconds.

    Attributes:
        samples: Number of samples of idle engines. Without these the two parameters
            can't be separated, whatever the number of busy samples.
    """

    def __init__(
        self, rate: float = INITIAL_TOKENS_PER_S, fixed_s: float = INITIAL_FIXED_S
    ) -> None:
        self.rate = rate
        self.fixed_s = fixed_s
        self.samples = 0
        self._idle = _RegressionSums()
        self._idle.add(0.0, fixed_s, PRIOR_WEIGHT)
        self._idle.add(PRIOR_TOKENS, fixed_s + PRIOR_TOKENS / rate, PRIOR_WEIGHT)
        self._busy_tokens = 0.0
        self._busy_s = 0.0
        self._busy_samples = 0

    def first_event_s(self, tokens: float) -> float:
        """Return the predicted seconds to the first event for ``tokens`` to read."""
        return self.fixed_s + tokens / self.rate

    def learn_idle(self, tokens: float, took_s: float) -> None:
        """Add a sample of a prompt that was sent to an idle engine.

        Args:
            tokens: Prompt tokens that were read.
            took_s: Seconds from sending the request to the first event.
        """
        self.samples += 1
        if self.samples > MIN_TRUSTED_SAMPLES:
            took_s = min(took_s, OUTLIER_RATIO * self.first_event_s(tokens))
        self._idle.add(tokens, took_s)
        self._fit()

    def learn_busy(self, tokens: float, gap_s: float) -> None:
        """Add a sample of a prompt that was read right after another one.

        Args:
            tokens: Prompt tokens that were read.
            gap_s: Seconds between the two first events.
        """
        if self._busy_samples > MIN_TRUSTED_SAMPLES:
            gap_s = min(gap_s, OUTLIER_RATIO * tokens / self.rate)
        self._busy_samples += 1
        self._busy_tokens = SAMPLE_DECAY * self._busy_tokens + tokens
        self._busy_s = SAMPLE_DECAY * self._busy_s + gap_s
        self._fit()

    def _fit(self) -> None:
        sums = self._idle
        mean_x, mean_y = sums.x / sums.n, sums.y / sums.n
        spread = sums.xx / sums.n - mean_x * mean_x
        if spread >= MIN_SPREAD_TOKENS**2:
            slope = (sums.xy / sums.n - mean_x * mean_y) / spread
            self.rate = _bounded(1.0 / slope if slope > 0 else MAX_TOKENS_PER_S)
        self.fixed_s = max(0.0, mean_y - mean_x / self.rate)
        if self._busy_samples >= MIN_TRUSTED_SAMPLES and self._busy_s > 0:
            # The throughput of a busy engine is more accurate than the fitted slope.
            self.rate = _bounded(self._busy_tokens / self._busy_s)


def _bounded(rate: float) -> float:
    return min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, rate))
