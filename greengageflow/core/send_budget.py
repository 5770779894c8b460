"""How often a service's requests may be sent once more, over the whole fleet."""

from collections import deque
from dataclasses import dataclass

SLACK_USED = 0.8
"""Part of the slack that hosts use.

The rest covers tokens that requests before the window brought, see ``BURST_S``.
"""
BURST_PART = 0.5
"""Part of a host's slack that may be used in one burst; the rest comes evenly."""
BURST_S = 1.0
"""Seconds of requests whose tokens may be saved up.

Callers may move to another host, and a process may end and start again: what was saved
is used beside what the same callers bring afterwards.
"""


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """What a host's budget goes by at one moment.

    Args:
        requests: Requests of callers in the window.
        repeats: Repeats in the window.
        hosts: Hosts that share the slack.
    """

    requests: int
    repeats: int
    hosts: int


class SendBudget:
    """Bounds repeats at one service within any window of time.

    All hosts together may repeat ``ratio`` of the callers' requests and ``slack``
    more in a window. Each host keeps to its own requests and its part of the slack,
    so that the sum holds without a word between hosts. Within that a token bucket
    bounds bursts. It starts empty: a process does not know what the one before it
    on this host has used.

    Args:
        ratio: Repeats for each request.
        slack: Repeats of the whole fleet beside it.
        window_s: Length of a window, in seconds.

    Attributes:
        at: Time of the last refill, or None before the first.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = SLACK_USED * slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._recent: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._tokens = 0.0
        self._hosts = 1
        self.at: float | None = None

    def on_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._recent.append(now)
        self._tokens += self._ratio
        self._forget(now)

    def take(self, now: float, hosts: int) -> bool:
        """Count a repeat if there is room for it; else return False."""
        self._hosts = max(1, hosts)
        self._forget(now)
        most = self._ratio * len(self._requests) + self._slack / self._hosts
        if self._tokens < 1.0 or len(self._repeats) + 1 > most:
            return False
        self._tokens -= 1.0
        self._repeats.append(now)
        return True

    def use(self, now: float, hosts: int) -> BudgetUse:
        """Return what was counted in the window that ends now."""
        self._forget(now)
        return BudgetUse(len(self._requests), len(self._repeats), hosts)

    def _forget(self, now: float) -> None:
        _drop(self._requests, now - self._window_s)
        _drop(self._repeats, now - self._window_s)
        _drop(self._recent, now - BURST_S)
        self._refill(now)

    def _refill(self, now: float) -> None:
        slack = self._slack / self._hosts
        passed_s = 0.0 if self.at is None else now - self.at
        self.at = now
        refill = (1.0 - BURST_PART) * slack * passed_s / self._window_s
        burst = BURST_PART * slack + self._ratio * len(self._recent)
        # In a large fleet a host's part is less than one repeat.
        self._tokens = min(max(1.0, burst), self._tokens + refill)


def _drop(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
