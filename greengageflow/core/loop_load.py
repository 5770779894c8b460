"""Average duration of the rounds of the event loop."""

from math import exp

WINDOW_S = 1.0
"""Time constant of the average, in seconds."""


class LoopLoad:
    """Time-weighted average of the event loop's rounds.

    A round begins when the poller returns the ready sockets. Its duration is the time
    that the last socket handled, and whatever arrives meanwhile, has to wait.
    """

    def __init__(self) -> None:
        self._average_s = 0.0
        self._began_at: float | None = None
        self._ended_at = 0.0

    def begin(self, now: float) -> None:
        """Record the start of a round."""
        self._began_at = now

    def end(self, now: float) -> None:
        """Record the end of the round; the poller waits for events from now on."""
        self._average_s = self.average_s(now)
        self._ended_at = now

    def present_s(self, now: float) -> float:
        """Return the seconds since the current round began."""
        return 0.0 if self._began_at is None else now - self._began_at

    def average_s(self, now: float) -> float:
        """Return the average round in seconds, including the current one."""
        present_s = self.present_s(now)
        # Time that the poller waited counts as rounds of 0 s and lowers the average.
        average_s = self._average_s * exp((self._ended_at + present_s - now) / WINDOW_S)
        return average_s + (present_s - average_s) * (1 - exp(-present_s / WINDOW_S))
