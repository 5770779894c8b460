"""Poller for processes with thousands of sockets."""

from collections.abc import Callable, Iterable, Iterator
from select import EPOLLIN, EPOLLOUT
from socket import socket
from sys import exc_info
from time import monotonic

from circuits.core.events import exception
from circuits.core.pollers import EPoll

from greengageflow.core.loop_load import LoopLoad


class SocketSet:
    """Ordered set of sockets that replaces a list of ``circuits``.

    ``circuits`` searches lists of sockets about ten times for each connection. With
    thousands of open sockets that costs more than all other work.

    Args:
        socks: Initial members.
    """

    def __init__(self, socks: Iterable[socket | int] = ()) -> None:
        self._socks = dict.fromkeys(socks)

    def __contains__(self, sock: socket | int) -> bool:
        """Return whether the set contains a socket."""
        return sock in self._socks

    def __iter__(self) -> Iterator[socket | int]:
        """Iterate over the sockets in insertion order."""
        return iter(self._socks)

    def __len__(self) -> int:
        """Return the number of sockets."""
        return len(self._socks)

    def __getitem__(self, selection: slice) -> list[socket | int]:
        """Return a slice as a list."""
        return list(self._socks)[selection]

    def append(self, sock: socket | int) -> None:
        """Add a socket."""
        self._socks[sock] = None

    def remove(self, sock: socket | int) -> None:
        """Remove a socket."""
        del self._socks[sock]


class SocketPoller(EPoll):
    """``EPoll`` for thousands of sockets and events per second.

    The cost per socket does not depend on the number of sockets. A component that has
    ``on_readable`` or ``on_writable`` is called directly with its socket, because an
    event of ``circuits`` would cost as much as reading the socket.

    Attributes:
        load: Average duration of the event loop's rounds.
    """

    def __init__(self) -> None:
        self._sources: dict[socket, object] = {}
        super().__init__()
        self.load = LoopLoad()
        self._read = SocketSet(self._read)
        self._write = SocketSet(self._write)

    def addReader(self, source: object, fd: socket) -> None:  # noqa: N802
        """Watch a socket for readability."""
        self._sources[fd] = source
        super().addReader(source, fd)

    def addWriter(self, source: object, fd: socket) -> None:  # noqa: N802
        """Watch a socket for writability."""
        self._sources[fd] = source
        super().addWriter(source, fd)

    def _updateRegistration(self, fd: socket) -> None:  # noqa: N802
        super()._updateRegistration(fd)
        if fd not in self._targets:
            self._sources.pop(fd, None)

    def _generate_events(self, event: object) -> None:
        self.load.end(monotonic())
        ready = self._poll(event.time_left)
        self.load.begin(monotonic())
        # Compare sockets: a handler below may close a socket, and a new one may get
        # its file descriptor.
        ready_sockets = [(fd, self._map.get(fd), flags) for fd, flags in ready]
        for fd, sock, flags in ready_sockets:
            if sock is not None and self._map.get(fd) is sock:
                self._handle_socket(fd, sock, flags)

    def _poll(self, time_left: float) -> list[tuple[int, int]]:
        try:
            return self._poller.poll(time_left if time_left >= 0 else None)
        except InterruptedError:
            return []

    def _handle_socket(self, fd: int, sock: socket, flags: int) -> None:
        source = self._sources.get(sock)
        is_lost = flags & self._disconnected_flag and not flags & EPOLLIN
        on_readable = getattr(source, "on_readable", None) if flags & EPOLLIN else None
        on_writable = getattr(source, "on_writable", None) if flags & EPOLLOUT else None
        if is_lost or not (on_readable or on_writable):
            self._process(fd, flags)
            return
        if on_readable:
            self._call(on_readable, sock)
        if self._map.get(fd) is not sock or not flags & EPOLLOUT:
            return
        if on_writable:
            self._call(on_writable, sock)
        else:
            self._process(fd, EPOLLOUT)

    def _call(self, callback: Callable[[socket], None], sock: socket) -> None:
        try:
            callback(sock)
        except Exception:
            # As for a failing event handler: other sockets are not affected.
            self.fire(exception(*exc_info(), handler=callback, fevent=None))
