"""Bounds that protect an endpoint: slots in use, rest after failures, retries."""

_SMOOTHING = 0.1
_FEWEST_SAMPLES = 8
_GROWTH = 0.25
_CUT = 0.75
_BEST_RISE = 1.0005


class SlotLimit:
    """How many slots of an endpoint may be used just now.

    Grows by a little and shrinks by a factor (AIMD) on the seconds that the endpoint
    takes per token, relative to the best seen. After several failures in a row the
    endpoint rests; then one probe goes through.

    Args:
        slots: Configured slots; never exceeded.
        slow_ratio: Pace relative to the best one above which slots are cut.
        failures: Failures in a row that start a rest.
        rest_s: First rest, in seconds; doubles up to ``longest_rest_s``.
        longest_rest_s: Longest rest, in seconds.
    """

    def __init__(
        self,
        slots: int,
        *,
        slow_ratio: float = 3.0,
        failures: int = 3,
        rest_s: float = 1.0,
        longest_rest_s: float = 15.0,
    ) -> None:
        self.slots = slots
        self.backoff_until = 0.0
        self._limit = float(slots)
        self._slow_ratio = slow_ratio
        self._failures_allowed = failures
        self._rest_s = rest_s
        self._longest_rest_s = longest_rest_s
        self._failures = 0
        self._rest_until = 0.0
        self._rested_at = float("-inf")
        self._cut_at = float("-inf")
        self._samples = 0
        self._seconds = 0.0
        self._tokens = 0.0
        self._best = float("inf")

    @property
    def resting(self) -> bool:
        """Whether the last results were all failures."""
        return self._failures >= self._failures_allowed

    @property
    def rest_until(self) -> float:
        """Time of the next probe; meaningful while ``resting``."""
        return self._rest_until

    def resize(self, slots: int) -> None:
        """Take over another configured number of slots."""
        if slots > self.slots:
            self._limit += slots - self.slots
        self.slots = slots
        self._limit = min(self._limit, float(slots))

    def allowed(self, now: float) -> int:
        """Return the slots that may be used: 0 during a rest, 1 for a probe."""
        if now < self.backoff_until:
            return 0
        if self.resting:
            return 0 if now < self._rest_until else 1
        return max(1, min(self.slots, int(self._limit)))

    def ask_backoff(self, now: float, seconds: float) -> None:
        """Use no slot for so many seconds, as the endpoint asks."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def observe(self, now: float, served: float, seconds: float, failed: bool) -> None:
        """Take in the result of one request."""
        if failed:
            self._on_failure(now, seconds)
            return
        self._failures = 0
        if served > 0 and seconds > 0:
            self._on_pace(now, served, seconds)

    def _on_failure(self, now: float, seconds: float) -> None:
        # Requests that ran together break together. Each would double the rest, and
        # an engine of eight slots would stay unused for long after one fault.
        if self.resting and now - seconds < self._rested_at:
            return
        self._failures += 1
        self._shrink(now, 0.0)
        over = self._failures - self._failures_allowed
        if over >= 0:
            rest_s = min(self._longest_rest_s, self._rest_s * 2 ** min(over, 10))
            self._rest_until = now + rest_s
            self._rested_at = now

    def _on_pace(self, now: float, served: float, seconds: float) -> None:
        # Seconds and tokens are smoothed apart: the pace of one short answer is
        # mostly its first token's and would look like an overload.
        self._samples += 1
        self._seconds += _SMOOTHING * (seconds - self._seconds)
        self._tokens += _SMOOTHING * (served - self._tokens)
        if self._samples < _FEWEST_SAMPLES:
            return
        pace = self._seconds / self._tokens
        # Without the slow rise, one lucky spell would keep the bound low for ever.
        self._best = min(self._best * _BEST_RISE, pace)
        if pace > self._slow_ratio * self._best:
            self._shrink(now, seconds)
        else:
            self._limit = min(float(self.slots), self._limit + _GROWTH)

    def _shrink(self, now: float, seconds: float) -> None:
        # Results that started before the last cut say nothing about its effect;
        # counting them would cut down to one slot at the first slow spell.
        if now - seconds < self._cut_at:
            return
        self._cut_at = now
        self._limit = max(1.0, self._limit * _CUT)


class RetryBudget:
    """Bounds retries to a share of first attempts (token bucket).

    Without it, every router retries at an endpoint in trouble at the same moment
    and the load on it is a multiple of what the callers ask for.

    A router that starts has nothing saved up: the process before it may have spent
    it a moment ago. The first burst comes evenly.

    Args:
        ratio: Retries allowed per first attempt.
        burst: Retries that may be saved up.
        now: Time of the start.
        fill_s: Seconds in which the first burst comes.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        *,
        burst: float = 10.0,
        now: float = 0.0,
        fill_s: float = 10.0,
    ) -> None:
        self.ratio = ratio
        self._burst = burst
        self._tokens = 0.0
        self._began = now
        self._fill_s = fill_s
        self._filled = 0.0

    def on_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Take a retry out of the budget; False when it is spent."""
        filled = self._burst * min(1.0, (now - self._began) / self._fill_s)
        self._tokens = min(self._burst, self._tokens + filled - self._filled)
        self._filled = filled
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
