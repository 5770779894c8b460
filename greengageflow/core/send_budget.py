"""How often a service's requests may be sent once more, over the whole fleet."""

from collections import deque
from dataclasses import dataclass

SLACK_SPENT = 0.8
"""Part of the slack that hosts spend.

The rest covers what they saved up at requests before the window, see ``SAVED_S``.
"""
AT_ONCE = 0.5
"""Part of a host's slack that may be spent at once; the rest comes evenly."""
SAVED_S = 1.0
"""Seconds for which what requests allow may be saved up.

Callers may move to another host, and a process may end and start again: what was saved
is spent beside what the same callers allow afterwards.
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
    so that the sum holds without a word between hosts. A process that starts has
    nothing to spend, since it does not know what the one before it has spent.

    Args:
        ratio: Repeats for each request.
        slack: Repeats of the whole fleet beside it.
        window_s: Length of a window, in seconds.

    Attributes:
        at: Time up to which the slack has come, or None before the first.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = SLACK_SPENT * slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._recent: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._saved = 0.0
        self._hosts = 1
        self.at: float | None = None

    def on_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._recent.append(now)
        self._saved += self._ratio
        self._forget(now)

    def take(self, now: float, hosts: int) -> bool:
        """Count a repeat if there is room for it; else return False."""
        self._hosts = max(1, hosts)
        self._forget(now)
        most = self._ratio * len(self._requests) + self._slack / self._hosts
        if self._saved < 1.0 or len(self._repeats) + 1 > most:
            return False
        self._saved -= 1.0
        self._repeats.append(now)
        return True

    def use(self, now: float, hosts: int) -> BudgetUse:
        """Return what was counted in the window that ends now."""
        self._forget(now)
        return BudgetUse(len(self._requests), len(self._repeats), hosts)

    def _forget(self, now: float) -> None:
        _drop(self._requests, now - self._window_s)
        _drop(self._repeats, now - self._window_s)
        _drop(self._recent, now - SAVED_S)
        slack = self._slack / self._hosts
        passed_s = 0.0 if self.at is None else now - self.at
        self.at = now
        come = (1.0 - AT_ONCE) * slack * passed_s / self._window_s
        most = AT_ONCE * slack + self._ratio * len(self._recent)
        # Hosts of a large fleet have less than one repeat to spend at a time.
        self._saved = min(max(1.0, most), self._saved + come)


def _drop(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
