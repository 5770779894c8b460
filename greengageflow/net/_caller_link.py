"""The socket below one caller's connection."""

from socket import SHUT_WR, socket
from time import monotonic

from greengageflow.net._caller_conn import CallerConnection, Phase
from greengageflow.net.caller_sockets import CallerSockets

READ_SIZE = 65_536
QUEUE_SLICE = 65_536


class CallerLink:
    """The socket below one ``CallerConnection``.

    Args:
        server: Watches the socket and sends what is queued.
        sock: The socket.
    """

    def __init__(self, server: CallerSockets, sock: socket) -> None:
        self.sock = sock
        self.conn: CallerConnection | None = None
        self.open = True
        self.finishing = False
        self._server = server

    @property
    def idle(self) -> bool:
        """Whether it is open and nothing is asked on it."""
        return self.open and self.conn.phase is Phase.IDLE

    @property
    def queued(self) -> int:
        """Bytes that wait to be sent."""
        return sum(map(len, self._server._buffers.get(self.sock, ())))

    def send(self, data: bytes) -> None:
        """Send at once what the socket takes, and queue the rest."""
        if not self.open:
            return
        rest = memoryview(data)
        if not self.conn.queued:
            rest = rest[self._send_now(rest) :]
        if not rest or not self.open:
            return
        if not self.conn.queued:
            self.conn.moved_at = monotonic()
        for start in range(0, len(rest), QUEUE_SLICE):
            self._server.write(self.sock, bytes(rest[start : start + QUEUE_SLICE]))
        self.conn.queued += len(rest)

    def _send_now(self, data: memoryview) -> int:
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.drop()
            return 0

    def finish(self) -> None:
        """Close once everything queued was sent."""
        self.finishing = True
        if not self.conn.queued:
            self.shut()

    def shut(self) -> None:
        """Tell the caller that nothing more comes, then wait for its close.

        Closing while bytes of the caller are unread would reset the connection, and
        the caller's system may then throw away an answer that it has not read yet.
        """
        try:
            self.sock.shutdown(SHUT_WR)
        except OSError:
            self.drop()

    def drop(self) -> None:
        """Close at once."""
        if self.open:
            self.open = False
            self._server._close(self.sock)

    def read_on(self, wanted: bool) -> None:
        """Read from the socket, or leave what arrives there."""
        if not self.open:
            return
        poller = self._server._poller
        if wanted and not poller.isReading(self.sock):
            poller.addReader(self._server, self.sock)
        elif not wanted and poller.isReading(self.sock):
            poller.removeReader(self.sock)


def received(sock: socket) -> bytes | None:
    """Return what has arrived, empty at the end; None when nothing has."""
    try:
        return sock.recv(READ_SIZE)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""
