"""HTTP server for callers, on the sockets of a ``circuits`` TCP server.

``circuits`` accepts connections and writes to them. ``_caller_conn`` parses requests
and frames responses, because the parser of ``circuits.web`` loses requests and mixes
them up (see ``docs/design/http.md``).
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import nan
from socket import IPPROTO_TCP, TCP_INFO, socket
from struct import unpack_from
from time import monotonic
from typing import Protocol

from circuits import BaseComponent, handler

from greengageflow.core.routes import CallerLimits
from greengageflow.errors import RouterError
from greengageflow.net._caller_conn import CallerConnection, Phase
from greengageflow.net._caller_link import CallerLink, receive_with_end
from greengageflow.net._caller_parts import (
    AdmitAllGate,
    BodyBudget,
    CallInterface,
    Limits,
    RequestGate,
)
from greengageflow.net._http_parse import is_single_request
from greengageflow.net.caller_sockets import CallerSockets
from greengageflow.net.calls import (
    NATIVE_INTERFACE,
    CallerCall,
    ChatCall,
    HealthCall,
    ServiceCall,
    StatusCall,
)
from greengageflow.net.reply import Reply, host_busy_response
from greengageflow.net.timers import Timers

__all__ = [
    "CallerCall",
    "CallerServer",
    "ChatCall",
    "HealthCall",
    "Limits",
    "Reply",
    "RequestHandler",
    "ServiceCall",
    "StatusCall",
]

TIMEOUT_CHECK_INTERVAL_S = 0.2
IDLE_CLOSE_DIVISOR = 16
"""Reciprocal of the share of connections closed at once to make room."""

_TCP_INFO_BYTES = 104
_TCP_INFO_QUEUE_OFFSET = 24
"""Offset of the accept queue's length in Linux's ``tcp_info`` of a listener."""
DEFAULT_BODY_BUDGET = 67_108_864
"""Maximum size of the request bodies on all connections together, in bytes."""


class RequestHandler(Protocol):
    """Handles the requests of callers."""

    def on_call(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Handle a call and answer it through ``call.reply``, now or later."""

    def on_caller_disconnect(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Handle the disconnect of a caller whose call is unanswered."""

    def readiness_error(self) -> RouterError | None:
        """Return why the load balancer should send no requests, or None."""


class CallerServer(BaseComponent):
    """Accepts callers' connections and passes their requests on as typed calls.

    Args:
        ip: IP address to listen on.
        port: TCP port, or 0 for a free one.
        handler: Handles the calls.
        timers: Timer service.
        limits: Limits of each connection.
        max_connections: Maximum number of open connections. At the limit idle ones are
            closed; if there are none, the new one is.
        body_budget: Maximum bytes of the request bodies on all connections together,
            from their arrival to the end of their answers.
        interface: Parses callers' requests into calls.
        gate: Decides which requests are rejected unread because the host is busy.
        on_full: Called at the connection limit with the number of open connections
            and the number of idle ones that are closed to make room.
        channel: ``circuits`` channel; separates several servers in one process.

    Raises:
        OSError: Listening on the address failed.
    """

    channel = "callers"

    def __init__(
        self,
        ip: str,
        port: int,
        handler: RequestHandler,
        timers: Timers,
        *,
        limits: Limits | None = None,
        max_connections: int = 4096,
        body_budget: int = DEFAULT_BODY_BUDGET,
        interface: CallInterface = NATIVE_INTERFACE,
        gate: RequestGate | None = None,
        on_full: Callable[[int, int], None] = lambda _open, _idle: None,
        channel: str = "callers",
    ) -> None:
        super().__init__(channel=channel)
        self.limits = limits or Limits()
        self.sockets = CallerSockets(
            ip,
            port,
            self.channel,
            on_accepted=self._read_on_accept,
            on_connected=self._add_link,
            on_bytes=self._on_bytes,
        ).register(self)
        self._handler = handler
        self._interface = interface
        self._budget = BodyBudget(body_budget)
        self._max_connections = max_connections
        self.accepted_connections = 0
        self.abandoned = 0
        self._gate = gate or AdmitAllGate()
        self._on_full = on_full
        self._links: dict[socket, CallerLink] = {}
        self._address = (self.sockets.host, self.sockets.port)
        self._timers = timers
        timers.every(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and TCP port that the server listens on."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._links)

    @property
    def accept_queue_length(self) -> float:
        """Connections in the accept queue, or NaN if the system does not report it."""
        sock = self.sockets._sock
        try:
            info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _TCP_INFO_BYTES)
        except (OSError, AttributeError):
            return nan
        return unpack_from("I", info, _TCP_INFO_QUEUE_OFFSET)[0]

    @property
    def unfinished_answers(self) -> int:
        """Number of connections whose answer is not complete or not fully sent."""
        return sum(
            link.conn.phase is Phase.ANSWERING or link.conn.queued_bytes > 0
            for link in self._links.values()
        )

    def set_body_limit(self, body_limit: int) -> None:
        """Change the maximum body size for requests that begin from now on."""
        self.limits = replace(self.limits, body_bytes=body_limit)

    def set_request_limits(self, limits: CallerLimits) -> None:
        """Change the request limits for requests that begin from now on."""
        self.limits = replace(
            self.limits,
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            header_s=limits.header_s,
            keep_alive_s=limits.idle_s,
        )

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, with ``Connection: close``."""
        self.limits = replace(self.limits, close_after_answer=True)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones continue."""
        server = self.sockets
        if server._sock is not None:
            # Closing the listener resets connections still in its accept queue;
            # once accepted, they get an answer.
            server.accept_queued()
            server._close(server._sock)

    def drain(self) -> None:
        """Accept no new connections and close each open one after its answer.

        Otherwise a caller with a persistent connection may send its next request
        just as the process exits, and lose it.
        """
        self.stop_listening()
        self.limits = replace(self.limits, keep_alive_s=0.0)

    # Handler of the connections: answers health checks, passes on other calls.

    def on_call(self, call: CallerCall) -> None:
        """Answer a health check; pass any other call to the handler."""
        if not isinstance(call, HealthCall):
            self._handler.on_call(call)
            return
        error = self._handler.readiness_error()
        if error is None:
            call.reply.json(200, {"status": "ok"})
        else:
            call.reply.error(error)

    def on_caller_disconnect(self, call: CallerCall) -> None:
        """Tell the handler that a caller has disconnected."""
        if not isinstance(call, HealthCall):
            self._handler.on_caller_disconnect(call)

    # Sockets.

    def _add_link(self, sock: socket) -> CallerLink | None:
        link = CallerLink(self.sockets, sock)
        self.accepted_connections += 1
        if self._is_at_connection_limit and not self._close_idle_links():
            link.drop()
            return None
        link.conn = CallerConnection(
            link, self, lambda: self.limits, self._budget, self._interface
        )
        self._links[sock] = link
        return link

    @property
    def _is_at_connection_limit(self) -> bool:
        if len(self._links) < self._max_connections:
            return False
        # Closed connections stay listed until their disconnect event.
        return sum(link.open for link in self._links.values()) >= self._max_connections

    def _close_idle_links(self) -> bool:
        """Close the longest idle connections; return whether there were any.

        A caller whose next request crosses the close can safely send it again. A
        caller that cannot connect, or whose endpoint connection fails for lack of
        file descriptors, gets no answer.
        """
        idle = [link for link in self._links.values() if link.idle]
        idle.sort(key=lambda link: link.conn.phase_started_at)
        closing = idle[: 1 + self._max_connections // IDLE_CLOSE_DIVISOR]
        self._on_full(len(self._links), len(closing))
        for link in closing:
            link.drop()
        return bool(closing)

    @property
    def full(self) -> bool:
        """Whether the connection limit is reached and no connection is idle."""
        return self._is_at_connection_limit and not any(
            link.idle for link in self._links.values()
        )

    def _on_bytes(self, sock: socket) -> None:
        link = self._links.get(sock)
        if link is not None:
            self._read(link)

    def _read_on_accept(self, sock: socket) -> bool:
        """Read a new connection at once if the host is overloaded.

        Polling a connection until its end costs several times as much as rejecting
        its request. A connection whose request is incomplete is polled nevertheless:
        closing it while bytes are in transit would reset it.

        Returns:
            True if the connection needs no further setup.
        """
        if not self._gate.may_shed or self._is_at_connection_limit:
            return False
        data, has_ended = receive_with_end(sock)
        if data is None:
            return False
        if has_ended:
            self.accepted_connections += 1
            self.abandoned += 1
            sock.close()
            return True
        is_shed = self._gate.should_shed(data)
        if is_shed and is_single_request(data):
            self.accepted_connections += 1
            with suppress(OSError):
                sock.send(self._host_busy_response(data))
            sock.close()
            return True
        self.sockets.set_up(sock)
        link = self._add_link(sock)
        if link is not None and is_shed:
            link.conn.reject_unread(data, self._gate.retry_after_s)
        elif link is not None:
            link.conn.receive(data)
        return True

    def _host_busy_response(self, data: bytes) -> bytes:
        return host_busy_response(
            data, self._interface.retry_after, self._gate.retry_after_s
        )

    def _read(self, link: CallerLink) -> None:
        if not link.open:
            return
        data, has_ended = receive_with_end(link.sock)
        if data is None:
            return
        if not has_ended:
            if link.conn.phase is Phase.IDLE and self._gate.should_shed(data):
                link.conn.reject_unread(data, self._gate.retry_after_s)
                return
            link.conn.receive(data)
            return
        if data and link.conn.phase is Phase.IDLE:
            self.abandoned += 1
        link.drop()

    @handler("_write")
    def _on_socket_write(self, sock: socket) -> None:
        link = self._links.get(sock)
        if link is None or not link.open:
            return
        link.conn.on_sent(link.queued_bytes)
        if link.is_finishing and not link.conn.queued_bytes:
            link.shut_down_sending()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # ``circuits`` keeps an empty buffer and a closing queue entry for sockets that
        # failed while writing. Without this they would leak.
        server = self.sockets
        server._buffers.pop(sock, None)
        if sock in server._closeq:
            server._closeq.remove(sock)
        link = self._links.pop(sock, None)
        if link is not None:
            link.open = False
            link.conn.on_closed()

    def _check_timeouts(self) -> None:
        now = monotonic()
        if self.sockets.resume_accepting():
            self._on_full(len(self._links), 0)
        for link in list(self._links.values()):
            if link.open:
                link.conn.check_timeouts(now)
