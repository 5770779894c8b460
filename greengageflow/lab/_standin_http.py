"""Base of the stand-ins: JSON over ``circuits.web`` and fault injection."""

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
    """The request is malformed; answered with status 400."""


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """An HTTP request to a stand-in.

    Args:
        req: The request of ``circuits.web``.
        res: Its response.
        data: The request's body.
        faulty: Whether the faults that can be restricted apply to this request.
    """

    req: Request
    res: Response
    data: bytes
    faulty: bool = False

    @property
    def sock(self) -> socket:
        """Connection on which the request arrived."""
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
            BadCallError: The body is not a JSON object.
        """
        try:
            value = json.loads(self.data or b"{}")
        except ValueError as exc:
            raise BadCallError(f"request body is not JSON: {exc}") from exc
        if not isinstance(value, dict):
            raise BadCallError("request body is not a JSON object")
        return value

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self.req.headers.get(name)

    def number(self, name: str, default: float) -> float:
        """Return a query parameter as a number.

        Raises:
            BadCallError: The value is not a finite number of at least 0.
        """
        text = parse_qs(self.req.qs or "").get(name, [str(default)])[0]
        try:
            value = float(text)
        except ValueError as exc:
            raise BadCallError(f"query parameter {name} is not a number") from exc
        if not isfinite(value) or value < 0:
            raise BadCallError(
                f"query parameter {name} must be finite and not negative"
            )
        return value


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; bytes are sent unchanged, other bodies as JSON."""

    status: int
    body: object
    headers: Mapping[str, str] = field(default_factory=dict)


class StandIn(BaseComponent):
    """HTTP server whose subclasses answer each ``Call``.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
    """

    channel = "web"

    #: Paths exempt from faults, because tests read the ground truth there.
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
        """Answer a call; None if ``reply`` or ``open_stream`` follows later."""
        raise NotImplementedError

    def operation(self, call: Call) -> str:
        """Return the operation name that the ``only`` fault is matched with."""
        return call.method.lower()

    def on_faults_changed(self) -> None:
        """Called after the faults were set."""

    def on_disconnect(self, sock: socket) -> None:
        """Called after a connection closed."""

    def reply(self, call: Call, reply: Reply) -> None:
        """Send a response, or cut the connection if a fault drops the response."""
        if call.faulty and self.faults.lose_answers > 0:
            self.faults = self.faults.after_lost_answer()
            self.cut(call)
            return
        self._write_reply(call, reply)

    def cut(self, call: Call) -> None:
        """Close the connection of a call after its pending output was sent."""
        self.fire(close(call.sock))

    def open_stream(
        self, call: Call, content_type: str, headers: dict[str, str] | None = None
    ) -> None:
        """Send the head of a streamed response."""
        common_lines = "".join(
            f"{name}: {value}\r\n"
            for name, value in (self._common_headers | (headers or {})).items()
        )
        extra_lines = common_lines + ("Connection: close\r\n" if call.res.close else "")
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
            f"Transfer-Encoding: chunked\r\n{extra_lines}\r\n"
        )
        self._send(call.sock, head.encode())

    def push(self, call: Call, data: bytes) -> None:
        """Send one chunk of a streamed response."""
        self._send(call.sock, b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self, call: Call) -> None:
        """End a streamed response; the connection stays open for the next request."""
        self._send(call.sock, b"0\r\n\r\n")
        # Lets circuits.web drop the request, and close the connection if requested.
        self.fire(stream(call.res, None))

    def _send(self, sock: socket, data: bytes) -> None:
        # Writes to the socket directly: events would cost three dispatches per chunk,
        # and a chunk could overtake the head, whose event fires a second one. Data that
        # the socket doesn't accept goes to circuits' buffer, as does all later data
        # until that buffer is empty.
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
        headers = {**reply.headers, **self._common_headers}
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
    def _common_headers(self) -> dict[str, str]:
        return {SERVER_LEAVING: "1"} if self.faults.says_leaving else {}

    def _matches_faults(self, call: Call) -> bool:
        faults = self.faults
        if call.path == "/fault" or call.path in self.control_paths:
            return False
        if faults.only and faults.only != self.operation(call):
            return False
        return faults.contains.encode() in call.data

    def _run_and_reply(self, call: Call, work: Callable[[Call], Reply | None]) -> None:
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
            faults_set = call.json
            if unknown := faults_set.keys() - FAULT_NAMES:
                raise BadCallError(f"unknown faults: {sorted(unknown)}")
            self.faults = Faults(**faults_set)
            self.on_faults_changed()
        return Reply(200, asdict(self.faults))

    def _handle_call(self, call: Call) -> None:
        faults = self.faults
        if call.path == "/fault":
            self._run_and_reply(call, self._set_faults)
        elif call.faulty and faults.down:
            reply = Reply(503, {"error": "down"}, {"Retry-After": "1"})
            self._write_reply(call, reply)
        elif call.faulty and faults.backoff_s > 0:
            headers = {"Retry-After": str(faults.backoff_s)}
            self._write_reply(call, Reply(503, {"error": "busy"}, headers))
        elif call.faulty and faults.delay_s > 0:
            self.timers.after(
                faults.delay_s, lambda: self._run_and_reply(call, self.answer)
            )
        else:
            self._run_and_reply(call, self.answer)

    def _with_fault_flag(self, call: Call) -> Call:
        if not self._matches_faults(call):
            return call
        if self.faults.skip > 0:
            self.faults = self.faults.after_skip()
            return call
        return replace(call, faulty=True)

    @handler("request", priority=10)
    def _on_request(self, event, req: Request, res: Response) -> bool:
        event.stop()
        self._handle_call(self._with_fault_flag(Call(req, res, req.body.read())))
        # circuits.web sends its own response unless the handler returns a boolean.
        return True

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        self.on_disconnect(sock)

    @handler("ready")
    def _on_ready(self, server, bind) -> None:
        line = {"ready": True, "host": bind[0], "port": bind[1]}
        print(json.dumps(line), flush=True)

    @handler("signal", channel="*", priority=10)
    def _on_signal(self, event, signo, frame) -> None:
        event.stop()
        sys.exit(0)
