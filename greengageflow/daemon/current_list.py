"""Reads the list of endpoints for questions that an older one can't answer."""

from collections.abc import Callable
from typing import Protocol

from greengageflow.net.timers import Timers

POLL_INTERVAL_S = 0.02
TIMEOUT_S = 1.0


class ListReader(Protocol):
    """Reads the list of endpoints from the store.

    Attributes:
        list_confirmed_at: Time up to which the list holds all entries, in seconds by a
            clock that includes suspension.
    """

    list_confirmed_at: float

    def read_list(self, since: float) -> None:
        """Start a read, unless one was started since a time or none may be."""


class CurrentList:
    """Waits until the list of endpoints has been read again.

    Args:
        timers: Timer service.
        reader: Reads the list.
        clock: Returns the time in seconds, by the clock of the reader.
    """

    def __init__(
        self, timers: Timers, reader: ListReader, clock: Callable[[], float]
    ) -> None:
        self._timers = timers
        self._reader = reader
        self._clock = clock

    def wait(self, on_done: Callable[[bool], None]) -> None:
        """Read until the list holds all entries that were written before this call.

        Args:
            on_done: Called once with whether it does.
        """
        self._wait(self._clock(), on_done)

    def _wait(self, since: float, on_done: Callable[[bool], None]) -> None:
        is_current = self._reader.list_confirmed_at >= since
        if is_current or self._clock() - since >= TIMEOUT_S:
            on_done(is_current)
        else:
            self._reader.read_list(since)
            self._timers.after(POLL_INTERVAL_S, lambda: self._wait(since, on_done))
