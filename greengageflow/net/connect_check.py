"""Checks whether a process listens at an address by connecting to it."""

from collections.abc import Callable
from enum import Enum, auto
from errno import ECONNREFUSED, EINPROGRESS
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET, socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from greengageflow.net.timers import Subscription, Timers

CONNECT_TIMEOUT_S = 0.3
MIN_OPEN_S = 0.05
"""Time that a connection must stay open to count as accepted, in seconds."""

Address = tuple[str, int]


class ConnectResult(Enum):
    """Result of a connection attempt."""

    ACCEPTED = auto()
    REFUSED = auto()
    CLOSED = auto()
    """The connection was accepted and closed at once, by a proxy whose endpoint is down
    or by a process that has too many connections."""
    UNKNOWN = auto()
    """Timeout or another error; the network path may be down."""


class ConnectCheck(BaseComponent):
    """Opens connections without a request and closes them after a short time.

    Args:
        timers: Timer service.
        source_ip: Local IP address to bind connections to, or None.
    """

    channel = "connect_check"

    def __init__(self, timers: Timers, *, source_ip: str | None = None) -> None:
        super().__init__()
        self._source_ip = source_ip
        self._timers = timers
        self._poller: BasePoller | None = None
        self._pending: dict[
            socket, tuple[Callable[[ConnectResult], None], Subscription]
        ] = {}

    def check(self, address: Address, on_done: Callable[[ConnectResult], None]) -> None:
        """Connect to ``address`` and call ``on_done`` once, from the loop."""
        sock = socket(AF_INET, SOCK_STREAM)
        sock.setblocking(False)
        if self._source_ip is not None:
            sock.bind((self._source_ip, 0))
        code = sock.connect_ex(address)
        if code not in (0, EINPROGRESS):
            sock.close()
            self._timers.after(0, lambda: on_done(_connect_result(code)))
            return
        timer = self._timers.after(
            CONNECT_TIMEOUT_S, lambda: self._finish(sock, ConnectResult.UNKNOWN)
        )
        self._pending[sock] = on_done, timer
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller) or EPoll().register(self)
        self._poller.addWriter(self, sock)

    def _finish(self, sock: socket, result: ConnectResult) -> None:
        found = self._pending.pop(sock, None)
        if found is None:
            return
        on_done, timer = found
        timer.cancel()
        # Unregister before closing: the poller looks sockets up by file descriptor.
        self._poller.discard(sock)
        sock.close()
        on_done(result)

    def _on_connect_result(self, sock: socket) -> None:
        if sock not in self._pending:
            return
        result = _connect_result(sock.getsockopt(SOL_SOCKET, SO_ERROR))
        if result is not ConnectResult.ACCEPTED:
            self._finish(sock, result)
            return
        self._poller.removeWriter(sock)
        self._poller.addReader(self, sock)
        self._timers.after(
            MIN_OPEN_S, lambda: self._finish(sock, ConnectResult.ACCEPTED)
        )

    @handler("_write")
    def on_writable(self, sock: socket) -> None:
        """Handle the connect result; called by the poller directly or as its event."""
        self._on_connect_result(sock)

    @handler("_read")
    def on_readable(self, sock: socket) -> None:
        """Handle data or a close; called by the poller directly or as its event."""
        if sock not in self._pending:
            return
        try:
            received = bool(sock.recv(1))
        except BlockingIOError:
            return
        except OSError as exc:
            refused = exc.errno == ECONNREFUSED
            self._finish(
                sock, ConnectResult.REFUSED if refused else ConnectResult.CLOSED
            )
            return
        self._finish(sock, ConnectResult.ACCEPTED if received else ConnectResult.CLOSED)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        self._on_connect_result(sock)

    @handler("stopped", channel="*")
    def _on_stopped(self, _manager: object) -> None:
        for sock in list(self._pending):
            self._finish(sock, ConnectResult.UNKNOWN)


def _connect_result(code: int) -> ConnectResult:
    match code:
        case 0:
            return ConnectResult.ACCEPTED
        case _ if code == ECONNREFUSED:
            return ConnectResult.REFUSED
        case _:
            return ConnectResult.UNKNOWN
