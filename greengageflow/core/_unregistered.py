"""Estimates how many requests run at an endpoint without being registered."""

from collections import deque

REPORT_LAG_MAX_S = 2.0
"""Longest delay of an endpoint's load report, in seconds."""
_CHECK_S = 10.0
"""Shortest time after an ownership change for which reports are checked, in seconds."""
_EXCESS_KEPT_S = 2.0
"""Time for which an excess counts although newer reports show less, in seconds.

A single report may miss a request that was granted but not yet sent. Routers poll
every second, so that two or three reports have to agree.
"""
_EXCESS_MAX_AGE_S = 10.0
"""Time after which an excess is dropped if no newer report arrives, in seconds."""


class UnregisteredRequests:
    """Compares an endpoint's load reports with its registered requests.

    After an ownership change, running requests are registered with the new owner by
    messages that may be late by any time. Until then only the load report shows them.
    Reports are compared from the change until they show no excess any more. At other
    times an excess has other causes, such as requests that the endpoint continues for
    a moment after their client disconnected.

    All times are in seconds.
    """

    def __init__(self) -> None:
        self._checking = False
        self._check_until = float("-inf")
        self._has_granted = True
        self._counts: deque[tuple[float, int]] = deque([(float("-inf"), 0)])
        self._excesses: deque[tuple[float, int]] = deque()

    def on_new_owner(self, now: float) -> None:
        """Discard all reports, since this router now owns the endpoint."""
        self._has_granted = False
        self._excesses.clear()
        self.on_growth(now)

    def on_growth(self, now: float) -> None:
        """Check reports again, since this router may now use more slots."""
        self._checking = True
        self._check_until = now + _CHECK_S

    def on_granted(self) -> None:
        """Record that this router granted a slot."""
        self._has_granted = True

    def on_count(self, now: float, count: int) -> None:
        """Record the current number of registered requests."""
        if count != self._counts[-1][1]:
            self._counts.append((now, count))
        self._drop_old_counts(now)

    def _drop_old_counts(self, now: float) -> None:
        while len(self._counts) > 1 and self._counts[1][0] <= now - REPORT_LAG_MAX_S:
            self._counts.popleft()

    def on_late_registration(self) -> None:
        """Record that a request was registered that had been running before."""
        self._counts = deque((at, count + 1) for at, count in self._counts)
        self._excesses = deque((at, count - 1) for at, count in self._excesses)

    def on_report(self, now: float, running: int) -> None:
        """Compare the reported number of running requests with the registered ones."""
        self._drop_old_counts(now)
        if self._has_granted:
            # The time at which the endpoint counted is not known. The largest number
            # of registered requests since then gives no false excess.
            registered = max(count for _, count in self._counts)
        else:
            # Without new grants, the registered requests are at most those that the
            # endpoint counted. The newest report replaces all others.
            registered = self._counts[-1][1]
            self._excesses.clear()
        self._excesses.append((now, running - registered))
        while self._excesses[0][0] < now - _EXCESS_KEPT_S:
            self._excesses.popleft()
        if now >= self._check_until and self._largest_excess <= 0:
            self._checking = False

    @property
    def _largest_excess(self) -> int:
        return max((excess for _, excess in self._excesses), default=0)

    def count(self, now: float) -> int:
        """Return how many running requests are not registered, as far as reported."""
        if not self._checking or not self._excesses:
            return 0
        if now - self._excesses[-1][0] > _EXCESS_MAX_AGE_S:
            return 0
        return max(0, self._largest_excess)
