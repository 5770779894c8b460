"""Socket of one caller's connection."""

from socket import SHUT_WR, socket
from time import monotonic

from greengageflow.net._caller_conn import CallerConnection, Phase
from greengageflow.net.caller_sockets import CallerSockets

MAX_READ_BYTES = 65_536
QUEUE_SLICE_BYTES = 65_536


class CallerLink:
    """Socket of one ``CallerConnection``.

    Args:
        server: Polls the socket and sends queued data.
        sock: Accepted socket, non-blocking.
    """

    def __init__(self, server: CallerSockets, sock: socket) -> None:
        self.sock = sock
        self.conn: CallerConnection | None = None
        self.open = True
        self.is_finishing = False
        self._server = server

    @property
    def idle(self) -> bool:
        """Whether the connection is open and has no request in progress."""
        return self.open and self.conn.phase is Phase.IDLE

    @property
    def queued_bytes(self) -> int:
        """Number of bytes queued for sending."""
        return sum(map(len, self._server._buffers.get(self.sock, ())))

    def send(self, data: bytes) -> None:
        """Send as much as the socket accepts now and queue the rest."""
        if not self.open:
            return
        rest = memoryview(data)
        if not self.conn.queued_bytes:
            rest = rest[self._send_now(rest) :]
        if not rest or not self.open:
            return
        if not self.conn.queued_bytes:
            self.conn.send_progress_at = monotonic()
        for start in range(0, len(rest), QUEUE_SLICE_BYTES):
            self._server.write(
                self.sock, bytes(rest[start : start + QUEUE_SLICE_BYTES])
            )
        self.conn.queued_bytes += len(rest)

    def _send_now(self, data: memoryview) -> int:
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.drop()
            return 0

    def finish(self) -> None:
        """Close after all queued data is sent."""
        self.is_finishing = True
        if not self.conn.queued_bytes:
            self.shut_down_sending()

    def shut_down_sending(self) -> None:
        """Shut down the sending side; the caller's close ends the connection.

        Closing while bytes from the caller are unread would reset the connection, and
        the caller's kernel may then discard an answer that it has not read yet.
        """
        self.set_reset_on_close(False)
        try:
            self.sock.shutdown(SHUT_WR)
        except OSError:
            self.drop()

    def drop(self) -> None:
        """Close immediately."""
        if self.open:
            self.open = False
            self._server._close(self.sock)

    def set_reset_on_close(self, enabled: bool) -> None:
        """Set whether any close resets the connection, except after ``finish``."""
        if not self.open:
            return
        try:
            self._server.set_reset_on_close(self.sock, enabled)
        except OSError:
            self.drop()

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading from the socket."""
        if not self.open:
            return
        poller = self._server._poller
        if enabled and not poller.isReading(self.sock):
            poller.addReader(self._server, self.sock)
        elif not enabled and poller.isReading(self.sock):
            poller.removeReader(self.sock)


def receive_available(sock: socket) -> bytes | None:
    """Return received bytes, empty at end of stream, or None if there are none."""
    try:
        return sock.recv(MAX_READ_BYTES)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def receive_with_end(sock: socket) -> tuple[bytes | None, bool]:
    """Return received bytes, or None, and whether the caller closed the connection.

    On an overloaded host a request may arrive with its caller's close. Handling
    it would only delay callers that are still connected.
    """
    data = receive_available(sock)
    if data is None or len(data) >= MAX_READ_BYTES:
        return data, False
    more = receive_available(sock) if data else b""
    return (data, False) if more is None else (data + more, not more)
