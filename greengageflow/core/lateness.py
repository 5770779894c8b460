"""How late the event loop runs."""

BEHIND_S = 0.3
CALM_S = 0.1
CALM_FOR_S = 1.0
WINDOW_S = 1.0


class Lateness:
    """Watches a timer that should fire at a fixed pace.

    Args:
        period_s: Seconds between two calls of the timer.
    """

    def __init__(self, period_s: float) -> None:
        self.behind = False
        self.behind_since = 0.0
        self._period_s = period_s
        self._last = 0.0
        self._calm_since = 0.0
        self._window_at = 0.0
        self._worst = (0.0, 0.0)

    @property
    def worst_s(self) -> float:
        """The latest call of the last one to two seconds, in seconds."""
        return max(self._worst)

    def tick(self, now: float) -> bool:
        """Note a call; return whether the loop got behind or caught up just now."""
        late_s = max(0.0, now - self._last - self._period_s) if self._last else 0.0
        self._last = now
        if now - self._window_at >= WINDOW_S:
            self._window_at = now
            self._worst = (late_s, self._worst[0])
        else:
            self._worst = (max(late_s, self._worst[0]), self._worst[1])
        if late_s > CALM_S:
            self._calm_since = now
        if not self.behind and late_s > BEHIND_S:
            self.behind, self.behind_since = True, now
            return True
        if self.behind and now - self._calm_since >= CALM_FOR_S:
            self.behind = False
            return True
        return False
