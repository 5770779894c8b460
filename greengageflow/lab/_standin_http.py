"""What the stand-ins share: JSON over ``circuits.web`` and the faults."""

import json
import sys
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field, replace
from math import isfinite
from socket import socket
from urllib.parse import parse_qs

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close
from circuits.web import BaseServer
from circuits.web.events import response, stream
from circuits.web.wrappers import Request, Response

from greengageflow.lab._standin_faults import FAULT_NAMES, Faults
from greengageflow.net.http_messages import SERVER_LEAVING
from greengageflow.net.timers import Timers

JSON_TYPE = "application/json"


class BadCallError(Exception):
    """The request of the caller makes no sense."""


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """One HTTP request that a stand-in has to answer.

    Args:
        req: The request of ``circuits.web``.
        res: Its response.
        data: The request's body.
        faulty: Whether the faults that can be restricted apply to it.
    """

    req: Request
    res: Response
    data: bytes
    faulty: bool = False

    @property
    def sock(self) -> socket:
        """Connection that the request came on."""
        return self.req.sock

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.req.method

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.req.path

    @property
    def parts(self) -> list[str]:
        """Segments of the path."""
        return self.path.strip("/").split("/")

    @property
    def json(self) -> dict:
        """The body as a JSON object.

        Raises:
            BadCallError: If it is none.
        """
        try:
            value = json.loads(self.data or b"{}")
        except ValueError as exc:
            raise BadCallError(f"not JSON: {exc}") from exc
        if not isinstance(value, dict):
            raise BadCallError("not a JSON object")
        return value

    def header(self, name: str) -> str | None:
        """Return a header, or None."""
        return self.req.headers.get(name)

    def number(self, name: str, default: float) -> float:
        """Return a number of the query.

        Raises:
            BadCallError: If it is no number.
        """
        text = parse_qs(self.req.qs or "").get(name, [str(default)])[0]
        try:
            value = float(text)
        except ValueError as exc:
            raise BadCallError(f"{name} is no number") from exc
        if not isfinite(value) or value < 0:
            raise BadCallError(f"{name} is out of range")
        return value


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer: a JSON value, or bytes as they are."""

    status: int
    body: object
    headers: Mapping[str, str] = field(default_factory=dict)


class StandIn(BaseComponent):
    """Base of the stand-ins: an HTTP server whose subclass answers ``Call``s.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
    """

    channel = "web"

    #: Paths that faults leave alone, because tests compare by them.
    control_paths: frozenset[str] = frozenset()

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__()
        self.faults = Faults()
        self.timers = Timers().register(self)
        self._poller = EPoll().register(self)
        self._web = BaseServer(
            (host, port), display_banner=False, backlog=1024
        ).register(self)

    def answer(self, call: Call) -> Reply | None:
        """Answer a call; None when ``reply`` or ``open_stream`` comes later."""
        raise NotImplementedError

    def operation(self, call: Call) -> str:
        """Name what a call does, for faults that are restricted to it."""
        return call.method.lower()

    def faults_changed(self) -> None:
        """React to new faults."""

    def gone(self, sock: socket) -> None:
        """React to a connection that closed."""

    def reply(self, call: Call, reply: Reply) -> None:
        """Send an answer, unless a fault loses it."""
        if call.faulty and self.faults.lose_answers > 0:
            self.faults = self.faults.lost()
            self.cut(call)
            return
        self._write_reply(call, reply)

    def cut(self, call: Call) -> None:
        """Close the connection of a call once what was written is out."""
        self.fire(close(call.sock))

    def open_stream(self, call: Call, content_type: str) -> None:
        """Send the head of a streamed answer."""
        signs = "".join(f"{name}: {value}\r\n" for name, value in self._signs.items())
        end = signs + ("Connection: close\r\n" if call.res.close else "")
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
            f"Transfer-Encoding: chunked\r\n{end}\r\n"
        )
        self._send(call.sock, head.encode())

    def push(self, call: Call, data: bytes) -> None:
        """Send one piece of a streamed answer."""
        self._send(call.sock, b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self, call: Call) -> None:
        """End a streamed answer; the connection stays open for the next request."""
        self._send(call.sock, b"0\r\n\r\n")
        # Makes circuits.web forget the request and close when the caller asked to.
        self.fire(stream(call.res, None))

    def _send(self, sock: socket, data: bytes) -> None:
        # Events would cost three dispatches a piece, and a piece could overtake
        # the head, whose event fires another one. What the socket doesn't take
        # goes to circuits' buffer, and then everything does until that is empty.
        sent = 0
        if sock.fileno() < 0:
            return
        if not self._poller.isWriting(sock):
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.fire(close(sock))
                return
        if sent < len(data):
            self._web.server.write(sock, data[sent:])

    def _write_reply(self, call: Call, reply: Reply) -> None:
        if call.sock.fileno() < 0:
            return
        call.res.status = reply.status
        headers = {**reply.headers, **self._signs}
        for name, value in headers.items():
            call.res.headers[name] = value
        if isinstance(reply.body, bytes):
            call.res.headers["Content-Type"] = "application/octet-stream"
            call.res.body = reply.body
        else:
            call.res.headers["Content-Type"] = JSON_TYPE
            call.res.body = json.dumps(reply.body, ensure_ascii=False)
        self.fire(response(call.res))

    @property
    def _signs(self) -> dict[str, str]:
        return {SERVER_LEAVING: "1"} if self.faults.says_leaving else {}

    def _applies(self, call: Call) -> bool:
        faults = self.faults
        if call.path == "/fault" or call.path in self.control_paths:
            return False
        if faults.only and faults.only != self.operation(call):
            return False
        return faults.contains.encode() in call.data

    def _guarded(self, call: Call, work: Callable[[Call], Reply | None]) -> None:
        try:
            reply = work(call)
        except BadCallError as exc:
            reply = Reply(400, {"error": str(exc)})
        if reply is None:
            return
        if call.faulty and self.faults.answer_delay_s > 0:
            delay_s = self.faults.answer_delay_s
            self.timers.after(delay_s, lambda: self.reply(call, reply))
        else:
            self.reply(call, reply)

    def _set_faults(self, call: Call) -> Reply:
        if call.method == "POST":
            wanted = call.json
            if unknown := wanted.keys() - FAULT_NAMES:
                raise BadCallError(f"unknown faults: {sorted(unknown)}")
            self.faults = Faults(**wanted)
            self.faults_changed()
        return Reply(200, asdict(self.faults))

    def _start(self, call: Call) -> None:
        faults = self.faults
        if call.path == "/fault":
            self._guarded(call, self._set_faults)
        elif call.faulty and faults.down:
            reply = Reply(503, {"error": "down"}, {"Retry-After": "1"})
            self._write_reply(call, reply)
        elif call.faulty and faults.backoff_s > 0:
            headers = {"Retry-After": str(faults.backoff_s)}
            self._write_reply(call, Reply(503, {"error": "busy"}, headers))
        elif call.faulty and faults.delay_s > 0:
            self.timers.after(faults.delay_s, lambda: self._guarded(call, self.answer))
        else:
            self._guarded(call, self.answer)

    def _marked(self, call: Call) -> Call:
        if not self._applies(call):
            return call
        if self.faults.skip > 0:
            self.faults = self.faults.skipped()
            return call
        return replace(call, faulty=True)

    @handler("request", priority=10)
    def _on_request(self, event, req: Request, res: Response) -> bool:
        event.stop()
        self._start(self._marked(Call(req, res, req.body.read())))
        # circuits.web answers by itself unless the value is a boolean.
        return True

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        self.gone(sock)

    @handler("ready")
    def _on_ready(self, server, bind) -> None:
        line = {"ready": True, "host": bind[0], "port": bind[1]}
        print(json.dumps(line), flush=True)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, signo, frame) -> None:
        event.stop()
        sys.exit(0)
