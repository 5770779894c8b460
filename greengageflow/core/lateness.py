"""Event loop lag, measured by a periodic timer."""

BEHIND_LAG_S = 0.3
"""Lag of one call, in seconds, beyond which the loop is behind."""

ON_TIME_LAG_S = 0.1
"""Lag, in seconds, up to which a call counts as on time."""

RECOVERY_S = 1.0
"""Seconds for which all calls must be on time before the loop has caught up."""

WINDOW_S = 1.0
"""Length of each of the two windows of ``worst_s``, in seconds."""


class Lateness:
    """Tracks how late a periodic timer fires.

    Args:
        period_s: Period of the timer, in seconds.
    """

    def __init__(self, period_s: float) -> None:
        self.behind = False
        self.behind_since = 0.0
        self._period_s = period_s
        self._last = 0.0
        self._late_at = 0.0
        self._window_at = 0.0
        self._worst = (0.0, 0.0)

    @property
    def worst_s(self) -> float:
        """Largest lag within the last one to two windows, in seconds."""
        return max(self._worst)

    def tick(self, now: float) -> bool:
        """Record a call of the timer; return whether ``behind`` changed."""
        late_s = max(0.0, now - self._last - self._period_s) if self._last else 0.0
        self._last = now
        if now - self._window_at >= WINDOW_S:
            self._window_at = now
            self._worst = (late_s, self._worst[0])
        else:
            self._worst = (max(late_s, self._worst[0]), self._worst[1])
        if late_s > ON_TIME_LAG_S:
            self._late_at = now
        if not self.behind and late_s > BEHIND_LAG_S:
            self.behind, self.behind_since = True, now
            return True
        if self.behind and now - self._late_at >= RECOVERY_S:
            self.behind = False
            return True
        return False
