"""Detects that the host can't keep up with its callers' requests."""

from collections.abc import Callable

from greengageflow.core.lateness import Lateness
from greengageflow.net.callers import CallerServer
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.timers import Timers

FULL_LOG_INTERVAL_S = 1.0


class HostWatch:
    """Measures the lag of the event loop, and logs when it falls behind and recovers.

    Args:
        timers: Timer service.
        log: Gets an event for each change.
        callers: Provides the number of open connections.
        running: Returns the number of requests sent to endpoints.
        waiting: Returns the number of queued requests.
        period_s: Interval between two calls of ``on_tick``, in seconds.
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
        self._last_full_log_at = float("-inf")

    @property
    def worst_s(self) -> float:
        """Maximum lag of the event loop in the last one to two seconds, in seconds."""
        return self._lateness.worst_s

    def on_full(self, connections: int, gave_way: int) -> None:
        """Log, at a limited rate, that the connection limit was reached."""
        now = self._timers.now
        if now - self._last_full_log_at >= FULL_LOG_INTERVAL_S:
            self._last_full_log_at = now
            self._log.write(
                DecisionEvent.CONNECTIONS_FULL,
                connections=connections,
                gave_way=gave_way,
            )

    def on_tick(self) -> None:
        """Handle a tick of the periodic timer."""
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
