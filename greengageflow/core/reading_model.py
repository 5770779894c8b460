"""How fast a model engine reads prompts, learned from first events alone.

The first event of a request comes a fixed time after its prompt is read: the engine's
own way to the first token, the network, the router. That time is no part of what the
engine can do in a second. A model without it takes an engine that shows its first
events after 0.15 s for one that reads slower than it does, and refuses what would
have been served in time.
"""

from dataclasses import dataclass

FIRST_RATE = 20_000.0
"""Tokens a second of an engine not known yet; the slowest learned was 27,000."""
FIRST_FIXED_S = 0.05
"""Seconds to the first event beside reading, of an engine of which nothing is known."""
SLOWEST_RATE = 1_000.0
FASTEST_RATE = 500_000.0
"""Tokens a second; bounds that keep one bad sample from stopping or flooding engines.

Too low a fastest rate refuses what could run; too high a one floods an engine whose
prompt parts are kept though nobody knows it, just after all hosts have restarted.
"""
MEMORY = 0.98
"""Weight that a sample keeps at the next one: a memory of about 50 samples."""
TRUSTED_SAMPLES = 20
"""Samples from which on an engine's own figures go before those of its service."""
LEAST_SPREAD_TOKENS = 400.0
"""Deviation of prompt lengths, in tokens, below which they say nothing of the rate.

At 60,000 tokens a second 400 tokens take 7 ms, as long as one step of an engine.
"""
PRIOR_WEIGHT = 0.2
"""Weight of each of the two points, in first events, that stand for the beginning."""
PRIOR_TOKENS = 10_000.0
"""Prompt tokens of the second of them: a long prompt, to bind both figures."""
OUTLIER = 3.0
"""Times the predicted one beyond which a first event says that something else is wrong.

A part that had to yield is read again, an engine stands still: the load shows those.
"""


@dataclass(slots=True)
class _Sums:
    """Fading sums of a line's points; x in tokens, y in seconds."""

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float, weight: float = 1.0) -> None:
        self.n = MEMORY * self.n + weight
        self.x = MEMORY * self.x + weight * x
        self.y = MEMORY * self.y + weight * y
        self.xx = MEMORY * self.xx + weight * x * x
        self.xy = MEMORY * self.xy + weight * x * y


class ReadingModel:
    """Seconds to a first event as a line over the prompt tokens that stand before it.

    Idle engines teach both figures: nothing stood before the prompt but itself. A busy
    one teaches its rate: between two first events it has read the second prompt.

    Args:
        rate: Tokens read in a second, to begin with.
        fixed_s: Seconds to the first event beside reading, to begin with.

    Attributes:
        samples: First events of prompts that were alone; without these the two figures
            cannot be told apart, however many busy ones there were.
    """

    def __init__(
        self, rate: float = FIRST_RATE, fixed_s: float = FIRST_FIXED_S
    ) -> None:
        self.rate = rate
        self.fixed_s = fixed_s
        self.samples = 0
        self._idle = _Sums()
        self._idle.add(0.0, fixed_s, PRIOR_WEIGHT)
        self._idle.add(PRIOR_TOKENS, fixed_s + PRIOR_TOKENS / rate, PRIOR_WEIGHT)
        self._busy_tokens = 0.0
        self._busy_s = 0.0
        self._busy_samples = 0

    def first_event_s(self, tokens: float) -> float:
        """Return the seconds to the first event after ``tokens`` are read."""
        return self.fixed_s + tokens / self.rate

    def learn_idle(self, tokens: float, took_s: float) -> None:
        """Take in the first event of a prompt that was alone.

        Args:
            tokens: Prompt tokens that were read.
            took_s: Seconds from the sending to the first event.
        """
        self.samples += 1
        if self.samples > TRUSTED_SAMPLES:
            took_s = min(took_s, OUTLIER * self.first_event_s(tokens))
        self._idle.add(tokens, took_s)
        self._fit()

    def learn_busy(self, tokens: float, gap_s: float) -> None:
        """Take in a prompt that was read right after another one.

        Args:
            tokens: Its prompt tokens.
            gap_s: Seconds between the two first events.
        """
        if self._busy_samples > TRUSTED_SAMPLES:
            gap_s = min(gap_s, OUTLIER * tokens / self.rate)
        self._busy_samples += 1
        self._busy_tokens = MEMORY * self._busy_tokens + tokens
        self._busy_s = MEMORY * self._busy_s + gap_s
        self._fit()

    def _fit(self) -> None:
        sums = self._idle
        mean_x, mean_y = sums.x / sums.n, sums.y / sums.n
        spread = sums.xx / sums.n - mean_x * mean_x
        if spread >= LEAST_SPREAD_TOKENS**2:
            slope = (sums.xy / sums.n - mean_x * mean_y) / spread
            self.rate = _bounded(1.0 / slope if slope > 0 else FASTEST_RATE)
        self.fixed_s = max(0.0, mean_y - mean_x / self.rate)
        if self._busy_samples >= TRUSTED_SAMPLES and self._busy_s > 0:
            # What it did while work waited goes before what a line makes of idle times.
            self.rate = _bounded(self._busy_tokens / self._busy_s)


def _bounded(rate: float) -> float:
    return min(FASTEST_RATE, max(SLOWEST_RATE, rate))
