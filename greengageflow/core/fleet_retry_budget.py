"""Retry budget of a service, shared by the whole fleet."""

from collections import deque
from dataclasses import dataclass

SLACK_USED_FRACTION = 0.8
"""Fraction of the slack that hosts use.

The rest covers tokens earned by requests before the window, see ``BURST_S``.
"""
BURST_FRACTION = 0.5
"""Fraction of a host's slack that may be used in one burst.

The rest is refilled at a constant rate.
"""
SPARE_FRACTION = 0.5
"""Fraction of the budget that retries may use which no failure asks for."""
BURST_S = 1.0
"""Seconds of requests whose tokens may accumulate in the bucket.

The limit is needed because callers may move to another host and a process may restart:
accumulated tokens are then spent in addition to those that the same callers earn
afterwards.
"""


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """State of a host's retry budget at one moment.

    Args:
        requests: Requests of callers in the window.
        retries: Retries in the window.
        hosts: Hosts that share the slack.
    """

    requests: int
    retries: int
    hosts: int


class FleetRetryBudget:
    """Limits the retries at one service within any time window.

    All hosts together may retry ``ratio`` of the callers' requests, plus ``slack``
    retries in a window. Each host counts its own requests and its part of the slack,
    so the total holds without coordination between hosts. A token bucket also limits
    bursts. It starts empty, because a process does not know how much of the budget the
    previous process on this host has used.

    Args:
        ratio: Retries allowed for each request.
        slack: Additional retries of the whole fleet in a window.
        window_s: Length of the window, in seconds.

    Attributes:
        refilled_at: Time of the last refill, or None before the first one.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = SLACK_USED_FRACTION * slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._recent_requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._tokens = 0.0
        self._hosts = 1
        self.refilled_at: float | None = None

    def on_request(self, now: float) -> None:
        """Count a caller's request, which adds ``ratio`` tokens."""
        self._requests.append(now)
        self._recent_requests.append(now)
        self._tokens += self._ratio
        self._expire(now)

    def take(self, now: float, hosts: int) -> bool:
        """Take a retry from the budget; return False if it is exhausted."""
        self._hosts = max(1, hosts)
        self._expire(now)
        limit = self._ratio * len(self._requests) + self._slack / self._hosts
        if self._tokens < 1.0 or len(self._retries) + 1 > limit:
            return False
        self._tokens -= 1.0
        self._retries.append(now)
        return True

    def take_spare(self, now: float, hosts: int) -> bool:
        """Take a retry that no failure asks for; return False if none is to spare.

        Half of the budget is left to failures, both of the bucket and of the window.
        """
        self._hosts = max(1, hosts)
        self._expire(now)
        limit = self._ratio * len(self._requests) + self._slack / self._hosts
        left = self._tokens - 1.0
        is_spare = left >= (1.0 - SPARE_FRACTION) * self._burst
        if not is_spare or len(self._retries) + 1 > SPARE_FRACTION * limit:
            return False
        return self.take(now, hosts)

    def usage(self, now: float, hosts: int) -> BudgetUsage:
        """Return the counts of the window that ends now."""
        self._expire(now)
        return BudgetUsage(len(self._requests), len(self._retries), hosts)

    def _expire(self, now: float) -> None:
        _drop_before(self._requests, now - self._window_s)
        _drop_before(self._retries, now - self._window_s)
        _drop_before(self._recent_requests, now - BURST_S)
        self._refill(now)

    def _refill(self, now: float) -> None:
        slack = self._slack / self._hosts
        elapsed_s = 0.0 if self.refilled_at is None else now - self.refilled_at
        self.refilled_at = now
        refill = (1.0 - BURST_FRACTION) * slack * elapsed_s / self._window_s
        self._tokens = min(self._burst, self._tokens + refill)

    @property
    def _burst(self) -> float:
        """Maximum number of tokens in the bucket."""
        slack = self._slack / self._hosts
        burst = BURST_FRACTION * slack + self._ratio * len(self._recent_requests)
        # In a large fleet a host's part of the slack is less than one retry.
        return max(1.0, burst)


def _drop_before(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
