"""Says when the host cannot keep up with what callers send."""

from collections.abc import Callable

from greengageflow.core.lateness import Lateness
from greengageflow.net.callers import CallerServer
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.timers import Timers

FULL_LINE_S = 1.0


class HostWatch:
    """Measures how late the event loop runs, and logs when it gets behind.

    Args:
        timers: Timer service.
        log: Takes a line for each change.
        callers: Tells how many connections are open.
        running: Returns the requests that were sent.
        waiting: Returns the requests that wait.
        period_s: Seconds between two calls of ``on_tick``.
    """

    def __init__(
        self,
        timers: Timers,
        log: DecisionLog,
        callers: CallerServer,
        *,
        running: Callable[[], int],
        waiting: Callable[[], int],
        period_s: float,
    ) -> None:
        self._timers = timers
        self._log = log
        self._callers = callers
        self._running = running
        self._waiting = waiting
        self._lateness = Lateness(period_s)
        self._full_at = float("-inf")

    @property
    def worst_s(self) -> float:
        """The latest that the loop came in the last one to two seconds."""
        return self._lateness.worst_s

    def on_full(self, connections: int, gave_way: int) -> None:
        """Note that there was no room for one more connection."""
        now = self._timers.now
        if now - self._full_at >= FULL_LINE_S:
            self._full_at = now
            self._log.write(
                DecisionEvent.CONNECTIONS_FULL,
                connections=connections,
                gave_way=gave_way,
            )

    def on_tick(self) -> None:
        """Note a call of the timer."""
        now = self._timers.now
        if not self._lateness.tick(now):
            return
        open_ = self._callers.connections
        if self._lateness.behind:
            self._log.write(
                DecisionEvent.HOST_BEHIND,
                late_ms=round(1000 * self.worst_s),
                connections=open_,
                running=self._running(),
                waiting=self._waiting(),
            )
            return
        after_ms = round(1000 * (now - self._lateness.behind_since))
        self._log.write(
            DecisionEvent.HOST_CAUGHT_UP, after_ms=after_ms, connections=open_
        )
