"""How often a service's requests may be sent once more, over the whole fleet."""

from collections import deque
from dataclasses import dataclass


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
    so that the sum holds without a word between hosts.

    Args:
        ratio: Repeats for each request.
        slack: Repeats of the whole fleet beside it.
        window_s: Length of a window, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def take(self, now: float, hosts: int) -> bool:
        """Count a repeat if there is room for it; else return False."""
        self._forget(now)
        part = self._slack / max(1, hosts)
        if len(self._repeats) + 1 > self._ratio * len(self._requests) + part:
            return False
        self._repeats.append(now)
        return True

    def use(self, now: float, hosts: int) -> BudgetUse:
        """Return what was counted in the window that ends now."""
        self._forget(now)
        return BudgetUse(len(self._requests), len(self._repeats), hosts)

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
