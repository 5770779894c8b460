"""Checks whether a process listens at an address by connecting to it."""

from collections.abc import Callable
from enum import Enum, auto
from errno import ECONNREFUSED, EINPROGRESS
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET, socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from greengageflow.net.timers import Subscription, Timers

TIMEOUT_S = 0.3
HOLD_S = 0.05
"""Time that a connection must stay open to count as accepted, in seconds."""

Address = tuple[str, int]


class Reach(Enum):
    """Result of a connection attempt."""

    LISTENS = auto()
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
        self._open: dict[socket, tuple[Callable[[Reach], None], Subscription]] = {}

    def check(self, address: Address, on_done: Callable[[Reach], None]) -> None:
        """Connect to ``address`` and call ``on_done`` once, from the loop."""
        sock = socket(AF_INET, SOCK_STREAM)
        sock.setblocking(False)
        if self._source_ip is not None:
            sock.bind((self._source_ip, 0))
        code = sock.connect_ex(address)
        if code not in (0, EINPROGRESS):
            sock.close()
            self._timers.after(0, lambda: on_done(_reach(code)))
            return
        timer = self._timers.after(TIMEOUT_S, lambda: self._settle(sock, Reach.UNKNOWN))
        self._open[sock] = on_done, timer
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller) or EPoll().register(self)
        self._poller.addWriter(self, sock)

    def _settle(self, sock: socket, reach: Reach) -> None:
        found = self._open.pop(sock, None)
        if found is None:
            return
        on_done, timer = found
        timer.cancel()
        # Unregister before closing: the poller looks sockets up by file descriptor.
        self._poller.discard(sock)
        sock.close()
        on_done(reach)

    def _on_outcome(self, sock: socket) -> None:
        if sock not in self._open:
            return
        reach = _reach(sock.getsockopt(SOL_SOCKET, SO_ERROR))
        if reach is not Reach.LISTENS:
            self._settle(sock, reach)
            return
        self._poller.removeWriter(sock)
        self._poller.addReader(self, sock)
        self._timers.after(HOLD_S, lambda: self._settle(sock, Reach.LISTENS))

    @handler("_write")
    def on_writable(self, sock: socket) -> None:
        """Handle the connect result; called by the poller directly or as its event."""
        self._on_outcome(sock)

    @handler("_read")
    def on_readable(self, sock: socket) -> None:
        """Handle data or a close; called by the poller directly or as its event."""
        if sock not in self._open:
            return
        try:
            spoken = bool(sock.recv(1))
        except BlockingIOError:
            return
        except OSError as exc:
            refused = exc.errno == ECONNREFUSED
            self._settle(sock, Reach.REFUSED if refused else Reach.CLOSED)
            return
        self._settle(sock, Reach.LISTENS if spoken else Reach.CLOSED)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        self._on_outcome(sock)

    @handler("stopped", channel="*")
    def _on_stopped(self, _manager: object) -> None:
        for sock in list(self._open):
            self._settle(sock, Reach.UNKNOWN)


def _reach(code: int) -> Reach:
    match code:
        case 0:
            return Reach.LISTENS
        case _ if code == ECONNREFUSED:
            return Reach.REFUSED
        case _:
            return Reach.UNKNOWN
