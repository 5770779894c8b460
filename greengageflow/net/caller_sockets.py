"""Listening socket of a caller server and the sockets that it accepts."""

from collections.abc import Callable
from contextlib import suppress
from socket import SO_LINGER, SO_SNDBUF, SOL_SOCKET, socket
from struct import pack

from circuits import handler
from circuits.net.sockets import TCPServer

from greengageflow.net.poller import SocketSet

SEND_BUFFER_BYTES = 131_072
"""Kernel send buffer of a caller's socket, in bytes."""

RESET_ON_CLOSE, ORDERLY_CLOSE = pack("ii", 1, 0), pack("ii", 0, 0)
"""Values of ``SO_LINGER``."""

MAX_ACCEPT_QUEUE = 384
"""Accept queue length; one pass can reject that many connections in time."""


class CallerSockets(TCPServer):
    """``circuits`` TCP server with a short accept queue, emptied on each pass.

    The kernel serves the accept queue oldest first, and the process does not see who
    waits in it. With a long queue an overloaded host accepts callers that have already
    given up, works for them and falls further behind while it reports that it is
    ready. With a short queue further connections are refused at once.

    Args:
        ip: IP address to listen on.
        port: TCP port, or 0 for a free one.
        channel: ``circuits`` channel; separates several servers in one process.
        on_accepted: Called with each new connection; returns True if it needs no
            further setup.
        on_connected: Called with each connection that was set up.
        on_bytes: Called with an accepted socket that is readable.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        channel: str,
        *,
        on_accepted: Callable[[socket], bool],
        on_connected: Callable[[socket], object],
        on_bytes: Callable[[socket], None],
    ) -> None:
        super().__init__(
            (ip, port),
            backlog=MAX_ACCEPT_QUEUE,
            channel=channel,
            socket_options=[(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)],
        )
        self._clients = SocketSet()
        self._is_accept_paused = False
        self._reset_on_close: set[socket] = set()
        self._on_accepted = on_accepted
        self._on_connected = on_connected
        self._on_bytes = on_bytes

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket) -> None:
        """Accept connections or read received data; called by the poller."""
        # The handler of ``circuits`` is not used: at end of stream it waits for its
        # write buffer to drain while the poller keeps reporting the end of stream.
        # A caller that stops reading would then use a whole core.
        if sock is self._sock:
            self.accept_queued()
        else:
            self._on_bytes(sock)

    def resume_accepting(self) -> bool:
        """Resume accepting if it was paused; return whether it was."""
        if not self._is_accept_paused or self._sock is None:
            return False
        self._is_accept_paused = False
        self._poller.addReader(self, self._sock)
        return True

    def accept_queued(self) -> None:
        """Accept all queued connections."""
        for _ in range(MAX_ACCEPT_QUEUE):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError:
                # No file descriptor is left. The poller would keep reporting the
                # listener, and the process would use a whole core in vain.
                self._poller.removeReader(self._sock)
                self._is_accept_paused = True
                return
            with suppress(OSError):
                sock.setblocking(False)
                if not self._on_accepted(sock):
                    self.set_up(sock)
                    self._on_connected(sock)

    def set_reset_on_close(self, sock: socket, enabled: bool) -> None:
        """Set whether a connection is reset when it is closed or the process ends.

        Raises:
            OSError: The socket is closed.
        """
        if enabled is (sock in self._reset_on_close):
            return
        value = RESET_ON_CLOSE if enabled else ORDERLY_CLOSE
        sock.setsockopt(SOL_SOCKET, SO_LINGER, value)
        if enabled:
            self._reset_on_close.add(sock)
        else:
            self._reset_on_close.remove(sock)

    def _close(self, sock: socket | None) -> None:
        if sock in self._reset_on_close:
            self._reset_on_close.remove(sock)
            # ``circuits`` shuts a socket down before it closes it, which would end
            # the connection in order.
            self._poller.discard(sock)
            sock.close()
        super()._close(sock)

    def set_up(self, sock: socket) -> None:
        """Poll an accepted connection.

        An event for it would take longer than accepting it.
        """
        self._on_accept_done(sock, fire_connect_event=False)
