"""The listening socket of a caller server and the sockets that it accepts."""

from collections.abc import Callable
from contextlib import suppress
from socket import SO_SNDBUF, SOL_SOCKET, socket

from circuits import handler
from circuits.net.sockets import TCPServer

from greengageflow.net.poller import SocketSet

SEND_BUFFER = 131_072
"""Bytes that a caller's socket takes from us ahead of the caller."""

MOST_UNACCEPTED = 384
"""Connections that may wait to be accepted; a look turns so many away in time."""


class CallerSockets(TCPServer):
    """A server of ``circuits`` whose callers do not wait unseen.

    Who waits to be accepted is served oldest first, and nothing in the process knows of
    it. Behind a long queue a host that is late accepts callers who have given up, works
    for them and is later still, while it says that it is ready. A short queue turns the
    next one away at once, and each look at the listener empties it.

    Args:
        ip: IP number to listen on.
        port: TCP port, or 0 for a free one.
        channel: Tells the events of several servers in one process apart.
        on_accepted: Takes a new connection; returns whether nothing more is to be
            done about it.
        on_bytes: Takes an accepted socket on which something arrived.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        channel: str,
        *,
        on_accepted: Callable[[socket], bool],
        on_bytes: Callable[[socket], None],
    ) -> None:
        super().__init__(
            (ip, port),
            backlog=MOST_UNACCEPTED,
            channel=channel,
            socket_options=[(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER)],
        )
        self._clients = SocketSet()
        self._resting = False
        self._on_accepted = on_accepted
        self._on_bytes = on_bytes

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket) -> None:
        """Accept, or take what has arrived; the poller calls this."""
        # Not by the server's own handler, which at the end of the caller's bytes waits
        # for its buffer to drain while the poller reports the same end again and
        # again: a caller that stops reading would cost a whole core.
        if sock is self._sock:
            self.accept_waiting()
        else:
            self._on_bytes(sock)

    def accept_again(self) -> bool:
        """Look at the listener again, if descriptors had run out; return whether."""
        if not self._resting or self._sock is None:
            return False
        self._resting = False
        self._poller.addReader(self, self._sock)
        return True

    def accept_waiting(self) -> None:
        """Accept all connections that wait."""
        for _ in range(MOST_UNACCEPTED):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError:
                # No descriptor is left. The poller would report the listener again at
                # once, and a process that can take nobody use a whole core for it.
                self._poller.removeReader(self._sock)
                self._resting = True
                return
            with suppress(OSError):
                sock.setblocking(False)
                if not self._on_accepted(sock):
                    self._on_accept_done(sock)
