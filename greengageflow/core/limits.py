"""Endpoint protection: adaptive slot limit, circuit breaker and retry budget."""

_SMOOTHING_FACTOR = 0.1
_MIN_SAMPLES = 8
_INCREASE_SLOTS = 0.25
_DECREASE_FACTOR = 0.75
_BEST_DECAY_FACTOR = 1.0005


class SlotLimit:
    """Adaptive limit of an endpoint's usable slots, with a circuit breaker.

    The limit follows the endpoint's seconds per token, relative to the best seen:
    additive increase, multiplicative decrease (AIMD). After several consecutive
    failures the endpoint rests (the circuit is open); then one probe is let through.

    Args:
        slots: Configured slots; never exceeded.
        slow_ratio: Seconds per token relative to the best, above which the limit is
            decreased.
        failures: Consecutive failures that start a rest.
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
        self._failure_threshold = failures
        self._rest_s = rest_s
        self._longest_rest_s = longest_rest_s
        self._failures = 0
        self._rest_until = 0.0
        self._rest_started_at = float("-inf")
        self._decreased_at = float("-inf")
        self._samples = 0
        self._seconds = 0.0
        self._tokens = 0.0
        self._best_s_per_token = float("inf")

    @property
    def resting(self) -> bool:
        """Whether the circuit is open after consecutive failures."""
        return self._failures >= self._failure_threshold

    @property
    def rest_until(self) -> float:
        """Time of the next probe; only meaningful while ``resting``."""
        return self._rest_until

    def resize(self, slots: int) -> None:
        """Apply a changed number of configured slots."""
        if slots > self.slots:
            self._limit += slots - self.slots
        self.slots = slots
        self._limit = min(self._limit, float(slots))

    def allowed(self, now: float) -> int:
        """Return the number of usable slots: 0 during a rest, 1 for a probe."""
        if now < self.backoff_until:
            return 0
        if self.resting:
            return 0 if now < self._rest_until else 1
        return max(1, min(self.slots, int(self._limit)))

    def back_off(self, now: float, seconds: float) -> None:
        """Use no slot for a number of seconds, as requested by the endpoint."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def observe(self, now: float, served: float, seconds: float, failed: bool) -> None:
        """Record the result of one request."""
        if failed:
            self._on_failure(now, seconds)
            return
        self._failures = 0
        if served > 0 and seconds > 0:
            self._on_success(now, served, seconds)

    def _on_failure(self, now: float, seconds: float) -> None:
        # One fault fails all concurrent requests. If each doubled the rest, an engine
        # of eight slots would stay unused for a long time after a single fault.
        if self.resting and now - seconds < self._rest_started_at:
            return
        self._failures += 1
        self._decrease(now, 0.0)
        excess = self._failures - self._failure_threshold
        if excess >= 0:
            rest_s = min(self._longest_rest_s, self._rest_s * 2 ** min(excess, 10))
            self._rest_until = now + rest_s
            self._rest_started_at = now

    def _on_success(self, now: float, served: float, seconds: float) -> None:
        # Seconds and tokens are smoothed separately: the time of a short answer is
        # mostly its time to first token, and its ratio would look like an overload.
        self._samples += 1
        self._seconds += _SMOOTHING_FACTOR * (seconds - self._seconds)
        self._tokens += _SMOOTHING_FACTOR * (served - self._tokens)
        if self._samples < _MIN_SAMPLES:
            return
        s_per_token = self._seconds / self._tokens
        # The best value decays slowly; otherwise one unusually fast period would
        # keep the limit low permanently.
        self._best_s_per_token = min(
            self._best_s_per_token * _BEST_DECAY_FACTOR, s_per_token
        )
        if s_per_token > self._slow_ratio * self._best_s_per_token:
            self._decrease(now, seconds)
        else:
            self._limit = min(float(self.slots), self._limit + _INCREASE_SLOTS)

    def _decrease(self, now: float, seconds: float) -> None:
        # Requests that started before the last decrease do not show its effect.
        # Counting them would drop the limit to one slot in the first slow period.
        if now - seconds < self._decreased_at:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * _DECREASE_FACTOR)


class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    Without it, all routers retry on a failing endpoint at the same time, and its
    load becomes a multiple of the callers' demand.

    The bucket starts empty, because the previous process may have spent its burst
    just before a restart. The initial burst accrues evenly.

    Args:
        ratio: Retries allowed per first attempt.
        burst: Capacity of the bucket, in retries.
        now: Time of the start.
        fill_s: Seconds over which the initial burst accrues.
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
        self._started_at = now
        self._fill_s = fill_s
        self._filled = 0.0

    def on_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False when it is exhausted."""
        filled = self._burst * min(1.0, (now - self._started_at) / self._fill_s)
        self._tokens = min(self._burst, self._tokens + filled - self._filled)
        self._filled = filled
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
