"""The callers' side: HTTP on the sockets of a ``circuits`` server.

``circuits`` accepts and writes; ``_caller_conn`` reads and frames, since the parser
of ``circuits.web`` loses and mixes requests (see ``docs/design/http.md``).
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import nan
from socket import IPPROTO_TCP, TCP_INFO, socket
from struct import unpack_from
from time import monotonic, time
from typing import Protocol

from circuits import BaseComponent, handler

from greengageflow.core.routes import CallerLimits
from greengageflow.errors import RouterError
from greengageflow.net._caller_conn import CallerConnection, Phase
from greengageflow.net._caller_link import READ_SIZE, CallerLink, received
from greengageflow.net._caller_parts import (
    BodyBudget,
    CallInterface,
    Limits,
    OpenGate,
    RequestGate,
)
from greengageflow.net._http_parse import is_single_request
from greengageflow.net.caller_sockets import CallerSockets
from greengageflow.net.calls import (
    OWN_INTERFACE,
    CallerCall,
    ChatCall,
    HealthCall,
    ServiceCall,
    StatusCall,
)
from greengageflow.net.reply import Reply, busy_answer
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

SWEEP_S = 0.2
GIVE_WAY = 16
"""Part of all connections, one in so many, that gives way at once."""

_INFO_SIZE = 104
_INFO_WAITING = 24
"""Where Linux's ``tcp_info`` of a listening socket has its queue's length."""


class RequestHandler(Protocol):
    """What callers' requests are handed to."""

    def on_call(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Take a call and answer it through ``call.reply``, now or later."""

    def on_gone(self, call: ChatCall | ServiceCall | StatusCall) -> None:
        """Note that the caller of an unanswered call is gone."""

    def unready(self) -> RouterError | None:
        """Return why the balancer should send nothing here, or None."""


class CallerServer(BaseComponent):
    """Takes callers' requests and hands them over as typed calls.

    Args:
        ip: IP number to listen on.
        port: TCP port, or 0 for a free one.
        handler: Takes the calls.
        timers: Timer service.
        limits: Bounds of each connection.
        max_connections: Most connections at once; more are closed at once.
        body_budget: Most bytes of request bodies under way on all connections.
        interface: How callers speak.
        gate: Says which requests are answered unread that the host is busy.
        on_full: Takes how many connections are open when there is no room for one more,
            and how many idle ones give way.
        channel: Tells the events of several servers in one process apart.

    Raises:
        OSError: The address cannot be listened on.
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
        body_budget: int = 67_108_864,
        interface: CallInterface = OWN_INTERFACE,
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
            on_accepted=self._take_accepted,
            on_bytes=self._on_bytes,
        ).register(self)
        self._handler = handler
        self._interface = interface
        self._budget = BodyBudget(body_budget)
        self._max_connections = max_connections
        self.taken = 0
        self.abandoned = 0
        self._gate = gate or OpenGate()
        self._on_full = on_full
        self._links: dict[socket, CallerLink] = {}
        self._address = (self.sockets.host, self.sockets.port)
        self._timers = timers
        timers.every(SWEEP_S, self._on_sweep)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and TCP port that it listens on."""
        return self._address

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._links)

    @property
    def unaccepted(self) -> float:
        """Connections that wait to be accepted, or NaN where that is not told."""
        sock = self.sockets._sock
        try:
            info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO_SIZE)
        except (OSError, AttributeError):
            return nan
        return unpack_from("I", info, _INFO_WAITING)[0]

    @property
    def answering(self) -> int:
        """Calls that are not answered yet."""
        return sum(
            link.conn.phase is Phase.ANSWERING or link.conn.queued > 0
            for link in self._links.values()
        )

    def set_body_limit(self, body_limit: int) -> None:
        """Change the largest body of requests that begin from now on."""
        self.limits = replace(self.limits, body=body_limit)

    def set_bounds(self, bounds: CallerLimits) -> None:
        """Change what callers may send, for requests that begin from now on."""
        self.limits = replace(
            self.limits,
            body=bounds.body_bytes,
            headers=bounds.header_bytes,
            request_s=bounds.header_s,
            keep_alive_s=bounds.idle_s,
        )

    def end_with_answers(self) -> None:
        """Let each answer from now on end its connection, and say so."""
        self.limits = replace(self.limits, last_answer=True)

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        server = self.sockets
        if server._sock is not None:
            # Closing would reset those that wait; accepted, they get an answer.
            server.accept_waiting()
            server._close(server._sock)

    def drain(self) -> None:
        """Take no new connections and end open ones, each after its answer.

        Callers that keep connections open would otherwise send their next request
        just when the process ends, and see it cut.
        """
        self.stop_listening()
        self.limits = replace(self.limits, keep_alive_s=0.0)

    # Handler of the connections: all calls but those answered here.

    def on_call(self, call: CallerCall) -> None:
        """Answer a health check, or hand the call over."""
        if not isinstance(call, HealthCall):
            self._handler.on_call(call)
            return
        error = self._handler.unready()
        if error is None:
            call.reply.json(200, {"status": "ok"})
        else:
            call.reply.error(error)

    def on_gone(self, call: CallerCall) -> None:
        """Pass on that a caller is gone."""
        if not isinstance(call, HealthCall):
            self._handler.on_gone(call)

    # Sockets.

    def _admit(self, sock: socket) -> CallerLink | None:
        link = CallerLink(self.sockets, sock)
        self.taken += 1
        if self._has_no_room and not self._make_room():
            link.drop()
            return None
        link.conn = CallerConnection(
            link, self, lambda: self.limits, self._budget, self._interface
        )
        self._links[sock] = link
        return link

    @property
    def _has_no_room(self) -> bool:
        if len(self._links) < self._max_connections:
            return False
        # Closed ones are among them until their event comes.
        return sum(link.open for link in self._links.values()) >= self._max_connections

    def _make_room(self) -> bool:
        """Close connections on which nothing is asked; return whether there were any.

        A caller whose next request crosses that close may send it again, while one that
        finds no room, or no file left for its endpoint, gets nothing.
        """
        idle = [link for link in self._links.values() if link.idle]
        idle.sort(key=lambda link: link.conn.phase_at)
        some = idle[: 1 + self._max_connections // GIVE_WAY]
        self._on_full(len(self._links), len(some))
        for link in some:
            link.drop()
        return bool(some)

    @property
    def full(self) -> bool:
        """Whether there is no room for one more connection, and none gives way."""
        return self._has_no_room and not any(link.idle for link in self._links.values())

    @handler("connect")
    def _on_connect(self, sock: socket, *_peer: object) -> None:
        if sock not in self._links and sock in self.sockets._clients:
            self._admit(sock)

    def _on_bytes(self, sock: socket) -> None:
        link = self._links.get(sock)
        if link is None and sock in self.sockets._clients:
            link = self._admit(sock)
        if link is not None:
            self._read(link)

    def _take_accepted(self, sock: socket) -> bool:
        """Read a new connection of a late host at once; return whether it was taken.

        To watch a connection, and to wait for its end, costs several times what it
        takes to turn its request away. One whose request has not arrived whole is
        watched, since closing it with bytes on their way would reset it.
        """
        if not self._gate.is_closing or self._has_no_room:
            return False
        data = received(sock)
        if data is None:
            return False
        if not data:
            self.taken += 1
            self.abandoned += 1
            sock.close()
            return True
        is_turned_away = self._gate.turns_away(data)
        if is_turned_away and is_single_request(data):
            self.taken += 1
            with suppress(OSError):
                sock.send(busy_answer(self._interface.retry_after, int(time())))
            sock.close()
            return True
        self.sockets._on_accept_done(sock)
        link = self._admit(sock)
        if link is not None and is_turned_away:
            link.conn.turn_away()
        elif link is not None:
            link.conn.receive(data)
        return True

    def _read(self, link: CallerLink) -> None:
        if not link.open:
            return
        data = received(link.sock)
        if data is None:
            return
        # A late host finds a request and its caller's close together. To decide
        # anything for it would only keep those waiting who are still there.
        more = received(link.sock) if 0 < len(data) < READ_SIZE else None
        if data and more != b"":
            if link.conn.phase is Phase.IDLE and self._gate.turns_away(data):
                link.conn.turn_away()
                return
            link.conn.receive(data + more if more else data)
            return
        if data and link.conn.phase is Phase.IDLE:
            self.abandoned += 1
        link.drop()

    @handler("_write")
    def _on_socket_write(self, sock: socket) -> None:
        link = self._links.get(sock)
        if link is None or not link.open:
            return
        link.conn.on_sent(link.queued)
        if link.finishing and not link.conn.queued:
            link.shut()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # The server keeps an empty buffer and a place in its closing queue for
        # sockets that broke while writing; over days they would pile up.
        server = self.sockets
        server._buffers.pop(sock, None)
        if sock in server._closeq:
            server._closeq.remove(sock)
        link = self._links.pop(sock, None)
        if link is not None:
            link.open = False
            link.conn.on_lost()

    def _on_sweep(self) -> None:
        now = monotonic()
        if self.sockets.accept_again():
            self._on_full(len(self._links), 0)
        for link in list(self._links.values()):
            if link.open:
                link.conn.check_time(now)
