"""How long the rounds of the event loop are."""

from math import exp

WINDOW_S = 1.0


class LoopLoad:
    """Averages the rounds of the event loop over time.

    A round begins when the poller has said which sockets are ready. What it handles
    last has waited for as long as it lasts, and so has what arrives meanwhile.
    """

    def __init__(self) -> None:
        self._average_s = 0.0
        self._began: float | None = None
        self._ended = 0.0

    def begin(self, now: float) -> None:
        """Note that a round begins."""
        self._began = now

    def end(self, now: float) -> None:
        """Note that the round is over and the poller waits for events."""
        self._average_s = self.average_s(now)
        self._ended = now

    def present_s(self, now: float) -> float:
        """Return the seconds for which the round has gone on."""
        return 0.0 if self._began is None else now - self._began

    def average_s(self, now: float) -> float:
        """Return the average round, weighted by time, with the present one."""
        present_s = self.present_s(now)
        # Time for which the poller waited is no round, and brings the average down.
        average_s = self._average_s * exp((self._ended + present_s - now) / WINDOW_S)
        return average_s + (present_s - average_s) * (1 - exp(-present_s / WINDOW_S))
