"""The poller of a program that has thousands of sockets."""

from collections.abc import Iterable, Iterator
from socket import socket
from time import monotonic

from circuits.core.pollers import EPoll

from greengageflow.core.loop_load import LoopLoad


class SocketSet:
    """Sockets in the order in which they came, in place of a list of ``circuits``.

    ``circuits`` looks sockets up in lists, some ten times for each connection; beside
    thousands that are open, that costs more than all the rest.

    Args:
        socks: The first ones.
    """

    def __init__(self, socks: Iterable[socket | int] = ()) -> None:
        self._socks = dict.fromkeys(socks)

    def __contains__(self, sock: socket | int) -> bool:
        """Return whether a socket is among them."""
        return sock in self._socks

    def __iter__(self) -> Iterator[socket | int]:
        """Yield the sockets."""
        return iter(self._socks)

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._socks)

    def __getitem__(self, part: slice) -> list[socket | int]:
        """Return a part of them as a list."""
        return list(self._socks)[part]

    def append(self, sock: socket | int) -> None:
        """Add a socket."""
        self._socks[sock] = None

    def remove(self, sock: socket | int) -> None:
        """Take a socket away."""
        del self._socks[sock]


class SocketPoller(EPoll):
    """``EPoll`` whose cost for a socket does not grow with the number of others.

    Attributes:
        load: How long the rounds between two looks for events are.
    """

    def __init__(self) -> None:
        super().__init__()
        self.load = LoopLoad()
        self._read = SocketSet(self._read)
        self._write = SocketSet(self._write)

    def _generate_events(self, event: object) -> None:
        self.load.end(monotonic())
        super()._generate_events(event)
        self.load.begin(monotonic())
