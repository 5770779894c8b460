"""HTTP server of the platform's fakes: h11 reads, answers are written as raw bytes.

``circuits.web`` cannot answer before a body is read, tear an answer or send two.
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
class Wire:
    """One connection; a ``mute`` one swallows what is sent on it.

    A ``dropped`` one is reset by what comes next on it.
    """

    listener: "Listener"
    sock: socket
    ip: str
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    call: "Call | None" = None
    mute: bool = False
    dropped: bool = False
    open: bool = True

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        # circuits closes a socket first and tells of it later; a write in between
        # fails, and would end whatever loop of the fake made it.
        if self.open and not self.mute and self.sock.fileno() >= 0:
            self.listener.server.write(self.sock, data)

    def close(self) -> None:
        """Close once what was sent is out."""
        if self.open:
            self.listener.server.close(self.sock)

    def reset(self) -> None:
        """Reset at once; what was not sent yet is lost."""
        if self.open:
            self.listener.reset(self.sock)


@dataclass(slots=True, eq=False)
class Call:
    """One request; ``headers`` has names in lower case, ``body`` grows as it comes."""

    wire: Wire
    method: str
    target: str
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False
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
        """The body as JSON; {} without a body.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(bytes(self.body) or b"{}")


def answer_bytes(
    status: int, body: object = b"", headers: Mapping[str, str] | None = None
) -> bytes:
    """Return a whole answer; a body that is not bytes goes as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    kind = "application/octet-stream" if data is body else "application/json"
    lines = {"Content-Type": kind, "Content-Length": str(len(data)), **(headers or {})}
    return head_bytes(status, lines) + data


def head_bytes(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} -\r\n{lines}\r\n".encode("latin-1")


class Listener(BaseComponent):
    """One listening port, its connections, and the requests read from them."""

    def __init__(self, owner: "HttpFake", channel: str, bind: tuple[str, int]) -> None:
        super().__init__(channel=channel)
        self.owner = owner
        self.wires: dict[socket, Wire] = {}
        self.server = TCPServer(bind, channel=channel, backlog=1024).register(self)
        self.address = (self.server.host, self.server.port)

    def stop(self) -> None:
        """Close the port and all connections; connecting is refused from now on."""
        self.server.close()
        self.server.unregister()

    def go_on(self) -> None:
        """Listen again at the same address."""
        bind, name = self.address, self.channel
        self.server = TCPServer(bind, channel=name, backlog=1024).register(self)

    def reset(self, sock: socket) -> None:
        """Reset a connection."""
        # circuits shuts a socket down before it closes it; that would send an
        # orderly end first, which a caller may take for the end of an answer.
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.owner.poller.discard(sock)
        sock.close()
        self.server._close(sock)

    @handler("connect")
    def _on_connect(self, sock: socket, ip: str, port: int) -> None:
        wire = self.wires[sock] = Wire(self, sock, ip)
        if self.channel == DATA:
            self.owner.connected(wire)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        if wire := self.wires.pop(sock, None):
            wire.open = False
            if self.channel == DATA:
                self.owner.gone(wire)

    @handler("read")
    def _on_read(self, sock: socket, data: bytes) -> None:
        wire = self.wires.get(sock)
        if wire and wire.dropped:
            wire.reset()
        elif wire:
            wire.http.receive_data(data)
            self._advance(wire)

    def _events(self, wire: Wire) -> Iterator[h11.Event]:
        while wire.open:
            try:
                event = wire.http.next_event()
            except h11.RemoteProtocolError as exc:
                wire.send(answer_bytes(400, {"error": str(exc)}))
                wire.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            yield event

    def _advance(self, wire: Wire) -> None:
        for event in self._events(wire):
            match event:
                case h11.Request():
                    names = (
                        (n.decode(), v.decode("latin-1")) for n, v in event.headers
                    )
                    target = event.target.decode("latin-1")
                    wire.call = Call(wire, event.method.decode(), target, dict(names))
                    if self.channel == DATA:
                        self.owner.head_arrived(wire.call)
                case h11.Data():
                    wire.call.body += event.data
                case h11.EndOfMessage():
                    wire.call.whole = True
                    self._arrived(wire.call)
                case _:
                    return

    def _arrived(self, call: Call) -> None:
        if call.answered:
            self._renew(call.wire)
        elif self.channel == CONTROL:
            try:
                answer = self.owner.control(call)
            except (ValueError, TypeError, KeyError) as exc:
                answer = answer_bytes(400, {"error": repr(exc)})
            self.finish(call, answer)
        else:
            self.owner.arrived(call)

    def finish(self, call: Call, data: bytes) -> None:
        """Send the last bytes of an answer and read the next request."""
        call.wire.send(data)
        if not call.answered:
            call.answered = True
            if call.whole:
                self._renew(call.wire)

    def _renew(self, wire: Wire) -> None:
        # h11 would have to see the answers too; a parser for each request spares
        # that, and what was read too far goes to the next.
        rest, _ = wire.http.trailing_data
        wire.http = h11.Connection(h11.SERVER)
        wire.call = None
        if rest:
            wire.http.receive_data(rest)
            self._advance(wire)


class HttpFake(BaseComponent):
    """Base of the platform's fakes: a port for the product, one for the tests.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        control_port: TCP port that no fault touches; 0 for any free one.
    """

    def __init__(self, host: str, port: int, control_port: int) -> None:
        super().__init__()
        self.timers = Timers().register(self)
        self.poller = EPoll().register(self)
        self.data = Listener(self, DATA, (host, port)).register(self)
        self.side = Listener(self, CONTROL, (host, control_port)).register(self)

    def connected(self, wire: Wire) -> None:
        """React to a new connection."""

    def head_arrived(self, call: Call) -> None:
        """React to a request whose body may still be on its way."""

    def arrived(self, call: Call) -> None:
        """Answer a whole request, now or later, by ``finish``."""
        raise NotImplementedError

    def control(self, call: Call) -> bytes:
        """Answer a call of a test.

        Raises:
            ValueError: The call makes no sense; so do TypeError and KeyError.
        """
        raise NotImplementedError

    def gone(self, wire: Wire) -> None:
        """React to a connection that ended."""

    def finish(self, call: Call, data: bytes) -> None:
        """Send the last bytes of an answer."""
        self.data.finish(call, data)

    @handler("started")
    def _on_started(self, *_: object) -> None:
        host, port = self.data.address
        line = {"ready": True, "host": host, "port": port}
        print(json.dumps({**line, CONTROL: self.side.address[1]}), flush=True)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, signo, frame) -> None:
        event.stop()
        sys.exit(0)
