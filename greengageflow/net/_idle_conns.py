"""Idle connections of ``http_pool``, kept for reuse."""

from collections import defaultdict, deque
from collections.abc import Callable
from socket import socket
from time import monotonic

from greengageflow.net._http_conn import Connection
from greengageflow.net.http_messages import HttpRequest, Verdict


class IdleConns:
    """Idle connections by address; the most recently used one is taken first.

    Args:
        close: Closes a connection that is not or no longer kept.
        max_per_address: Maximum number of connections per address.
        max_total: Maximum number of connections in total.
        idle_s: Idle time after which a connection is closed, in seconds.
    """

    def __init__(
        self,
        close: Callable[[Connection], None],
        *,
        max_per_address: int,
        max_total: int,
        idle_s: float,
    ) -> None:
        self._close = close
        self._max_per_address = max_per_address
        self._max_total = max_total
        self._idle_s = idle_s
        self._idle_since: dict[socket, tuple[Connection, float]] = {}
        self._by_address: dict[tuple[str, int], deque[Connection]] = defaultdict(deque)

    def __len__(self) -> int:
        return len(self._idle_since)

    def take(self, request: HttpRequest, max_idle_s: float) -> Connection | None:
        """Return a connection for a request, or None.

        If the request has a verification, it is a connection that this allows, or else
        one that has not been verified yet.

        Args:
            request: Request to send. Connections that may have carried it are kept.
            max_idle_s: Return only a connection idle for less than this, in seconds.
        """
        verification = request.verification
        if verification is None:
            return self._take(request, max_idle_s, lambda _verdict: True)
        return self._take(request, max_idle_s, verification.allows) or self._take(
            request, max_idle_s, lambda verdict: verdict is None
        )

    def _take(
        self,
        request: HttpRequest,
        max_idle_s: float,
        accepts: Callable[[Verdict | None], bool],
    ) -> Connection | None:
        conns = self._by_address.get(request.address, ())
        for conn in reversed(tuple(conns)):
            if monotonic() - self._idle_since[conn.sock][1] >= max_idle_s:
                return None
            may_repeat_id = conn.sent_requests.may_include(
                request.request_id, request.first_sent_at
            )
            if may_repeat_id or not accepts(conn.verdict):
                continue
            conns.remove(conn)
            del self._idle_since[conn.sock]
            if not conn.is_stale():
                conn.reused = True
                return conn
            self._close(conn)
        return None

    def keep(self, conn: Connection) -> None:
        """Keep a connection, or close it if its address has reached the limit."""
        conns = self._by_address[conn.address]
        if len(conns) >= self._max_per_address:
            self._close(conn)
            return
        if len(self._idle_since) >= self._max_total:
            self.drop(next(iter(self._idle_since)))
        conns = self._by_address[conn.address]
        conns.append(conn)
        self._idle_since[conn.sock] = (conn, monotonic())

    def drop(self, sock: socket) -> None:
        """Close the connection of a socket, if it is kept here."""
        conn, _ = self._idle_since.pop(sock, (None, 0.0))
        if conn is None:
            return
        conns = self._by_address[conn.address]
        conns.remove(conn)
        if not conns:
            del self._by_address[conn.address]
        self._close(conn)

    def expire(self, now: float) -> None:
        """Close connections that have been idle for longer than the limit."""
        for sock, (_, since) in list(self._idle_since.items()):
            if now - since > self._idle_s:
                self.drop(sock)

    def close(self) -> None:
        """Close all connections."""
        for sock in list(self._idle_since):
            self.drop(sock)
