"""Limits on a host's open connections, by kind."""

from dataclasses import dataclass

MAX_RESERVED_FILES = 200
"""File descriptors reserved for files, pages and the platform's store.

It is the upper limit; a process with few descriptors reserves a fraction of them.
"""

RESERVED_FRACTION = 0.125
CALLERS_FRACTION = 0.4
IDLE_FRACTION = 0.15
MAX_CALLER_CONNECTIONS = 4096


@dataclass(frozen=True, slots=True)
class FileBudget:
    """Divides the file descriptors of a process among kinds of connections.

    A caller's request needs its own connection and one to an endpoint, so callers get
    less than half. Without this limit callers could use all descriptors: then no
    connection can be accepted, endpoints and the store can't be reached, and readiness
    checks go unanswered.

    Args:
        files: Maximum number of descriptors of the process.
    """

    files: int

    @property
    def callers(self) -> int:
        """Maximum number of callers' connections."""
        return min(MAX_CALLER_CONNECTIONS, int(CALLERS_FRACTION * self._sockets))

    @property
    def idle(self) -> int:
        """Maximum number of idle connections to endpoints and the store."""
        return int(IDLE_FRACTION * self._sockets)

    @property
    def _sockets(self) -> int:
        return self.files - min(MAX_RESERVED_FILES, int(RESERVED_FRACTION * self.files))
