"""HTTP server of the platform fakes: h11 parses, responses are written as raw bytes.

``circuits.web`` cannot respond before a body has been read, truncate a response or
send two responses to one request.
"""

import json
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET, socket
from struct import pack
from urllib.parse import parse_qsl

import h11
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.net.sockets import TCPServer

from greengageflow.net.timers import Timers

DATA = "data"
CONTROL = "control"


@dataclass(slots=True, eq=False)
class ServerConnection:
    """One connection.

    Args:
        listener: Listener that accepted it.
        sock: Its socket.
        ip: IP number of the client.
        http: Parser of the current request.
        call: Current request; None between requests.
        mute: Whether to discard everything that is sent on it.
        reset_on_data: Whether to reset it as soon as more data arrives.
        open: Whether it is still open.
    """

    listener: "Listener"
    sock: socket
    ip: str
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    call: "Call | None" = None
    mute: bool = False
    reset_on_data: bool = False
    open: bool = True

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        # circuits closes a socket before it fires the disconnect event. A write in
        # between raises, which would end the timer loop that made it.
        if self.open and not self.mute and self.sock.fileno() >= 0:
            self.listener.server.write(self.sock, data)

    def close(self) -> None:
        """Close once the write buffer is empty."""
        if self.open:
            self.listener.server.close(self.sock)

    def reset(self) -> None:
        """Reset at once and discard unsent data."""
        if self.open:
            self.listener.reset(self.sock)


@dataclass(slots=True, eq=False)
class Call:
    """One request; header names are in lower case, ``body`` grows as data arrives."""

    conn: ServerConnection
    method: str
    target: str
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    answered: bool = False

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return dict(parse_qsl(self.target.partition("?")[2]))

    @property
    def json(self) -> dict:
        """The body parsed as JSON; {} if it is empty.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(bytes(self.body) or b"{}")


def response_bytes(
    status: int, body: object = b"", headers: Mapping[str, str] | None = None
) -> bytes:
    """Return a complete response; a body that is not bytes is encoded as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    kind = "application/octet-stream" if data is body else "application/json"
    lines = {"Content-Type": kind, "Content-Length": str(len(data)), **(headers or {})}
    return head_bytes(status, lines) + data


def head_bytes(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the head of a response."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} -\r\n{lines}\r\n".encode("latin-1")


class Listener(BaseComponent):
    """Accepts connections on one port and parses the requests."""

    def __init__(self, owner: "HttpFake", channel: str, bind: tuple[str, int]) -> None:
        super().__init__(channel=channel)
        self.owner = owner
        self.connections: dict[socket, ServerConnection] = {}
        self.server = TCPServer(bind, channel=channel, backlog=1024).register(self)
        self.address = (self.server.host, self.server.port)

    def stop(self) -> None:
        """Close the port and all connections; new connections are refused."""
        self.server.close()
        self.server.unregister()

    def resume(self) -> None:
        """Listen again at the same address."""
        bind, name = self.address, self.channel
        self.server = TCPServer(bind, channel=name, backlog=1024).register(self)

    def reset(self, sock: socket) -> None:
        """Reset a connection."""
        # circuits shuts a socket down before it closes it. That would send a FIN
        # first, which a client may take for the end of a response.
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.owner.poller.discard(sock)
        sock.close()
        self.server._close(sock)

    @handler("connect")
    def _on_connect(self, sock: socket, ip: str, port: int) -> None:
        conn = self.connections[sock] = ServerConnection(self, sock, ip)
        if self.channel == DATA:
            self.owner.on_connect(conn)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        if conn := self.connections.pop(sock, None):
            conn.open = False
            if self.channel == DATA:
                self.owner.on_disconnect(conn)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        conn = self.connections.get(sock)
        if conn and conn.reset_on_data:
            conn.reset()
        elif conn:
            conn.http.receive_data(data)
            self._parse(conn)

    def _events(self, conn: ServerConnection) -> Iterator[h11.Event]:
        while conn.open:
            try:
                event = conn.http.next_event()
            except h11.RemoteProtocolError as exc:
                conn.send(response_bytes(400, {"error": str(exc)}))
                conn.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            yield event

    def _parse(self, conn: ServerConnection) -> None:
        for event in self._events(conn):
            match event:
                case h11.Request():
                    names = (
                        (n.decode(), v.decode("latin-1")) for n, v in event.headers
                    )
                    target = event.target.decode("latin-1")
                    conn.call = Call(conn, event.method.decode(), target, dict(names))
                    if self.channel == DATA:
                        self.owner.on_request_head(conn.call)
                case h11.Data():
                    conn.call.body += event.data
                case h11.EndOfMessage():
                    conn.call.complete = True
                    self._on_request_complete(conn.call)
                case _:
                    return

    def _on_request_complete(self, call: Call) -> None:
        if call.answered:
            self._start_next_request(call.conn)
        elif self.channel == CONTROL:
            try:
                answer = self.owner.on_control_call(call)
            except (ValueError, TypeError, KeyError) as exc:
                answer = response_bytes(400, {"error": repr(exc)})
            self.finish(call, answer)
        else:
            self.owner.on_request(call)

    def finish(self, call: Call, data: bytes) -> None:
        """Send the last bytes of a response and read the next request."""
        call.conn.send(data)
        if not call.answered:
            call.answered = True
            if call.complete:
                self._start_next_request(call.conn)

    def _start_next_request(self, conn: ServerConnection) -> None:
        # Reusing an h11 parser would require passing the responses through it, so
        # each request gets a new one, which starts with the surplus bytes.
        surplus, _ = conn.http.trailing_data
        conn.http = h11.Connection(h11.SERVER)
        conn.call = None
        if surplus:
            conn.http.receive_data(surplus)
            self._parse(conn)


class HttpFake(BaseComponent):
    """Base class of the platform fakes: one port for the product, one for tests.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        control_port: TCP port of the control calls, which faults don't affect; 0 for
            any free one.
    """

    def __init__(self, host: str, port: int, control_port: int) -> None:
        super().__init__()
        self.timers = Timers().register(self)
        self.poller = EPoll().register(self)
        self.data_listener = Listener(self, DATA, (host, port)).register(self)
        self.control_listener = Listener(self, CONTROL, (host, control_port)).register(
            self
        )

    def on_connect(self, conn: ServerConnection) -> None:
        """Handle a new connection."""

    def on_request_head(self, call: Call) -> None:
        """Handle a request whose body may still be incomplete."""

    def on_request(self, call: Call) -> None:
        """Handle a complete request; ``finish`` sends the response, now or later."""
        raise NotImplementedError

    def on_control_call(self, call: Call) -> bytes:
        """Return the response to a control call.

        Raises:
            ValueError: The call is invalid.
            TypeError: The call is invalid.
            KeyError: The call is invalid.
        """
        raise NotImplementedError

    def on_disconnect(self, conn: ServerConnection) -> None:
        """Handle a closed connection."""

    def finish(self, call: Call, data: bytes) -> None:
        """Send the last bytes of a response."""
        self.data_listener.finish(call, data)

    @handler("started")
    def _on_started(self, *_: object) -> None:
        host, port = self.data_listener.address
        line = {"ready": True, "host": host, "port": port}
        print(
            json.dumps({**line, CONTROL: self.control_listener.address[1]}), flush=True
        )

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, signo, frame) -> None:
        event.stop()
        sys.exit(0)
