"""Outbound HTTP/1.1 over non-blocking sockets on the circuits poller.

``circuits.web.client`` buffers a response until it is complete and so cannot stream.
This pool passes the body to receivers as it arrives.
"""

from collections.abc import Callable, Iterator
from contextlib import suppress
from socket import socket
from time import monotonic

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from greengageflow.net._exchange import Collector, Exchange
from greengageflow.net._http_conn import (
    BodyData,
    Connection,
    End,
    InvalidResponse,
    ResponseTruncated,
)
from greengageflow.net._http_parse import Head
from greengageflow.net._http_write import BadHead
from greengageflow.net._idle_conns import IdleConns
from greengageflow.net._verifier import Verifier
from greengageflow.net.http_messages import (
    Failure,
    FailureKind,
    HttpRequest,
    Receiver,
    Response,
)
from greengageflow.net.timers import Subscription, Timers

__all__ = [
    "Exchange",
    "Failure",
    "FailureKind",
    "Head",
    "HttpPool",
    "HttpRequest",
    "Receiver",
    "Response",
]

SWEEP_INTERVAL_S = 0.1
DEFAULT_MAX_BODY_BYTES = 1_048_576


class HttpPool(BaseComponent):
    """HTTP client that reuses connections.

    Receivers are called from the event loop, never from within ``open``.

    Args:
        timers: Timer service.
        source_ip: Local IP address to bind outgoing connections to, or None.
        max_idle: Maximum number of idle connections per address.
        max_idle_total: Maximum number of idle connections in total.
        idle_s: Idle time after which a connection is closed, in seconds.

    Attributes:
        stale_retries: Number of requests that were retried on a new connection
            because a reused one had been closed.
        verifier: Verifies connections for requests that need it.
    """

    channel = "http_pool"

    def __init__(
        self,
        timers: Timers,
        *,
        source_ip: str | None = None,
        max_idle: int = 16,
        max_idle_total: int = 4096,
        idle_s: float = 20.0,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._source_ip = source_ip
        self._poller: BasePoller | None = None
        self._active: dict[socket, Exchange] = {}
        self._idle = IdleConns(
            self._close,
            max_per_address=max_idle,
            max_total=max_idle_total,
            idle_s=idle_s,
        )
        self._sweep: Subscription | None = None
        self.stale_retries = 0
        self.verifier = Verifier(
            self._exchange,
            start=self._start,
            connect=self._connect,
            close=self._close,
            report=self._report,
        )

    def open(self, request: HttpRequest, receiver: Receiver) -> Exchange:
        """Send ``request`` and pass the response to ``receiver`` as it arrives.

        Raises:
            BadHead: The request is not valid HTTP.
        """
        exchange = self._exchange(request, receiver)
        max_idle_s = float("inf") if request.retry_stale else request.reuse_s
        conn = self._idle.take(request, max_idle_s)
        if conn is None:
            self._connect(exchange)
        else:
            self._start_verified(exchange, conn)
        return exchange

    def _exchange(self, request: HttpRequest, receiver: Receiver) -> Exchange:
        return Exchange(
            request,
            receiver,
            on_pause_changed=self._update_poller,
            on_cancel=self._drop,
        )

    def fetch(
        self,
        request: HttpRequest,
        on_done: Callable[[Response | Failure], None],
        limit: int = DEFAULT_MAX_BODY_BYTES,
    ) -> Exchange:
        """Send ``request`` and call ``on_done`` once with the complete response.

        Args:
            request: Request to send.
            on_done: Called with the response or the failure.
            limit: Maximum body size in bytes; a larger body is a failure.

        Raises:
            BadHead: The request is not valid HTTP.
        """
        collector = Collector(on_done, limit)
        collector.exchange = self.open(request, collector)
        return collector.exchange

    # Connections.

    def _find_poller(self) -> BasePoller:
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller) or EPoll().register(self)
        return self._poller

    def _connect(self, exchange: Exchange, *, verify: bool = True) -> None:
        try:
            conn = Connection(exchange.request.address, self._source_ip)
        except OSError as exc:
            failure = Failure(
                FailureKind.CONNECT, exchange.sent_on_earlier_connection, str(exc)
            )
            self._timers.after(0, lambda: self._report(exchange, failure))
            return
        self._find_poller().addReader(self, conn.sock)
        if verify:
            self._start_verified(exchange, conn)
        else:
            self._start(exchange, conn)

    def _start_verified(self, exchange: Exchange, conn: Connection) -> None:
        verification = exchange.request.verification
        if verification is None or verification.allows(conn.verdict):
            self._start(exchange, conn)
        else:
            self.verifier.verify(exchange, conn)

    def _start(self, exchange: Exchange, conn: Connection) -> None:
        request = exchange.request
        try:
            conn.prepare(
                request.method,
                request.path,
                request.headers,
                request.body,
                until_close=request.until_close,
                accepts=request.accepts,
                echo=request.echo,
                keeps_rejected=request.keeps_rejected,
            )
        except BadHead:
            self._close(conn)
            raise
        exchange.conn = conn
        exchange.last_progress_at = now = monotonic()
        conn.sent_requests.add(request.request_id, now)
        self._active[conn.sock] = exchange
        if conn.connected:
            # An error persists and is reported at the write event requested below.
            with suppress(OSError):
                conn.flush()
        self._update_poller(exchange)
        self._schedule_sweep()

    def _update_poller(self, exchange: Exchange) -> None:
        conn = exchange.conn
        if conn is None:
            return
        poller = self._find_poller()
        reading = poller.isReading(conn.sock)
        wants_read = not (exchange.paused or conn.ends_when_sent)
        if reading and not wants_read:
            poller.removeReader(conn.sock)
        elif wants_read and not reading:
            poller.addReader(self, conn.sock)
        writing = poller.isWriting(conn.sock)
        if conn.wants_write and not writing:
            poller.addWriter(self, conn.sock)
        elif writing and not conn.wants_write:
            poller.removeWriter(conn.sock)

    def _close(self, conn: Connection) -> None:
        # Unregister before closing: the poller looks sockets up by file descriptor,
        # and a later socket that reuses the descriptor would get this one's events.
        self._find_poller().discard(conn.sock)
        conn.close()

    # Completion and failure of exchanges.

    def _drop(self, exchange: Exchange) -> None:
        check, exchange.check = exchange.check, None
        if check is not None:
            check.cancel()
        conn = exchange.conn
        if conn is not None and self._active.pop(conn.sock, None) is not None:
            self._close(conn)

    def _report(self, exchange: Exchange, failure: Failure) -> None:
        if exchange.active:
            exchange.active = False
            exchange.receiver.on_failure(failure)

    def _fail(
        self,
        exchange: Exchange,
        kind: FailureKind,
        message: str,
        *,
        stale: bool = False,
        timed_out: bool = False,
    ) -> None:
        conn = exchange.conn
        sent = exchange.sent_on_earlier_connection or (
            conn is not None and conn.sent_any
        )
        self._drop(exchange)
        self._report(exchange, Failure(kind, sent, message, stale, timed_out))

    def _on_connection_lost(self, exchange: Exchange, message: str) -> None:
        conn = exchange.conn
        stale = conn.reused and not conn.received_any
        if not conn.connected:
            self._fail(exchange, FailureKind.CONNECT, message)
        elif stale and exchange.request.allows_stale_retry():
            # A server may close an idle connection at any time, also just as a
            # request is sent on it. This affects only reused connections, so one
            # retry on a new connection is enough. The server may also have read the
            # request and crashed, so a later failure must report it as sent.
            exchange.sent_on_earlier_connection = (
                exchange.sent_on_earlier_connection or conn.sent_any
            )
            self.stale_retries += 1
            self._drop(exchange)
            self._connect(exchange)
        else:
            self._fail(exchange, FailureKind.CUT, message, stale=stale)

    def _finish(self, exchange: Exchange, end: End) -> None:
        conn = exchange.conn
        del self._active[conn.sock]
        exchange.active = False
        exchange.framing = end.framing
        if exchange.paused:
            self._find_poller().addReader(self, conn.sock)
        if not end.reusable:
            self._close(conn)
        elif exchange.is_check:
            exchange.freed_conn = conn
        else:
            self._idle.keep(conn)
            self._schedule_sweep()
        exchange.receiver.on_end()

    # Poller events.

    @handler("_read")
    def on_readable(self, sock: socket) -> None:
        """Read available data; called by the poller directly or as its event."""
        exchange = self._active.get(sock)
        if exchange is not None:
            self._receive(exchange)
        else:
            self._idle.drop(sock)

    def _receive(self, exchange: Exchange) -> None:
        if exchange.paused or not exchange.conn.connected:
            return
        exchange.last_progress_at = monotonic()
        try:
            for part in exchange.conn.receive():
                self._deliver(exchange, part)
                if not exchange.active:
                    return
        except ResponseTruncated as exc:
            self._on_connection_lost(exchange, str(exc))
        except InvalidResponse as exc:
            self._fail(exchange, FailureKind.BROKEN, str(exc))
        except Exception as exc:
            # The receiver lost the data of this read; continuing would leave a gap.
            self._fail(exchange, FailureKind.BROKEN, f"receiver failed: {exc!r}")
            raise
        else:
            if exchange.conn.ends_when_sent:
                self._update_poller(exchange)

    def _deliver(self, exchange: Exchange, part: Head | BodyData | End) -> None:
        match part:
            case Head():
                exchange.receiver.on_head(part)
            case BodyData(data, is_last):
                exchange.at_last_data = is_last
                exchange.receiver.on_data(data)
            case End():
                self._finish(exchange, part)

    @handler("_write")
    def on_writable(self, sock: socket) -> None:
        """Send buffered data; called by the poller directly or as its event."""
        exchange = self._active.get(sock)
        if exchange is None:
            return
        conn = exchange.conn
        try:
            if not conn.connected:
                conn.check_connected()
            if exchange.past_send_deadline:
                self._fail(
                    exchange,
                    FailureKind.TIMEOUT,
                    "send deadline passed before the first byte was sent",
                )
                return
            conn.flush()
        except OSError as exc:
            self._on_write_error(exchange, str(exc))
            return
        exchange.last_progress_at = monotonic()
        if conn.ends_when_sent and not conn.wants_write:
            self._finish(exchange, conn.end_by_close())
        else:
            self._update_poller(exchange)

    def _on_write_error(self, exchange: Exchange, message: str) -> None:
        # A server may respond early (413) and close while the body is still being
        # sent. Prefer its response, which is in the receive buffer, over a write
        # error.
        if exchange.conn.connected:
            exchange.paused = False
            self._receive(exchange)
        if exchange.active and exchange.conn.sock in self._active:
            self._on_connection_lost(exchange, message)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        exchange = self._active.get(sock)
        if exchange is not None:
            self._on_write_error(exchange, "connection lost")
        else:
            self._idle.drop(sock)

    # Timeouts.

    def _schedule_sweep(self) -> None:
        if self._sweep is None:
            self._sweep = self._timers.after(SWEEP_INTERVAL_S, self._on_sweep)

    def _timed_out(self, now: float) -> Iterator[Exchange]:
        for exchange in list(self._active.values()):
            if (
                not exchange.paused
                and now - exchange.last_progress_at > exchange.timeout_s
            ):
                yield exchange

    def _on_sweep(self) -> None:
        self._sweep = None
        now = monotonic()
        for exchange in self._timed_out(now):
            if exchange.active:
                self._on_timeout(exchange)
        self._idle.expire(now)
        if self._active or self._idle:
            self._schedule_sweep()

    def _on_timeout(self, exchange: Exchange) -> None:
        kind, text = FailureKind.CONNECT, "connect timeout"
        if exchange.conn.connected:
            kind, text = FailureKind.TIMEOUT, "idle timeout"
        self._fail(exchange, kind, text, timed_out=True)

    @handler("stopped", channel="*")
    def _on_stopped(self, _manager: object) -> None:
        for exchange in list(self._active.values()):
            exchange.cancel()
        self._idle.close()
