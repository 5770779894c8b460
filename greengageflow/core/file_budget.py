"""How many connections of each kind a host may have open."""

from dataclasses import dataclass

RESERVED = 200
"""Descriptors for files, pages and the platform's store, in a process of many."""

RESERVED_PART = 0.125
CALLERS_PART = 0.4
IDLE_PART = 0.15
MOST_CALLERS = 4096


@dataclass(frozen=True, slots=True)
class FileBudget:
    """Shares the descriptors of a process out.

    A caller's request takes its own connection and one to an endpoint, so callers get
    less than half. Without a bound of their own they take all: then nothing can be
    accepted, endpoints and the store can't be reached, and readiness isn't answered.

    Args:
        files: Descriptors that the process may have.
    """

    files: int

    @property
    def callers(self) -> int:
        """Most connections of callers."""
        return min(MOST_CALLERS, int(CALLERS_PART * self._sockets))

    @property
    def idle(self) -> int:
        """Most idle connections to endpoints and the store."""
        return int(IDLE_PART * self._sockets)

    @property
    def _sockets(self) -> int:
        return self.files - min(RESERVED, int(RESERVED_PART * self.files))
