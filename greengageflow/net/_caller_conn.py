"""The HTTP/1.1 side of one caller's connection, without its socket."""

from collections.abc import Callable, Iterable
from enum import Enum, auto
from http import HTTPStatus
from time import monotonic, time

import h11

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net._caller_parts import (
    BodyBudget,
    CallInterface,
    Handler,
    Limits,
    Link,
)
from greengageflow.net.calls import CallerCall, CallerRequest
from greengageflow.net.reply import Header, Reply, busy_answer, date_header

BODILESS = frozenset({204, 304})
HTTP_VERSIONS = frozenset({b"1.0", b"1.1"})
STATUS_HEADERS_TOO_LARGE = 431
_REASONS = {status.value: status.phrase for status in HTTPStatus}


class Phase(Enum):
    """Where a connection stands."""

    IDLE = auto()
    READING = auto()
    ANSWERING = auto()
    CLOSING = auto()


def _response(status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
    reason = _REASONS.get(status, "")
    return h11.Response(status_code=status, headers=headers, reason=reason)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class CallerConnection:
    """Reads requests one after the other and frames their answers.

    Args:
        link: The socket.
        handler: Takes the calls.
        limits: Gives the bounds in force.
        budget: Shared by all connections.
        interface: How callers speak.
    """

    def __init__(
        self,
        link: Link,
        handler: Handler,
        limits: Callable[[], Limits],
        budget: BodyBudget,
        interface: CallInterface,
    ) -> None:
        self.phase = Phase.IDLE
        self.phase_at = monotonic()
        self.moved_at = self.phase_at
        self.queued = 0
        self._link = link
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._interface = interface
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().headers
        )
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._call: CallerCall | None = None
        self._reply: Reply | None = None
        self._ahead = 0
        self._was_blocked = False
        self._advancing = False

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_at = monotonic()

    # Reading.

    def receive(self, data: bytes) -> None:
        """Take bytes from the caller."""
        if self.phase is Phase.CLOSING:
            return
        if self.phase is Phase.IDLE:
            # Some clients end a body with an empty line that is not part of it.
            data = data.lstrip(b"\r\n")
        if not data:
            return
        self._http.receive_data(data)
        if self.phase is Phase.ANSWERING:
            self._ahead += len(data)
            if self._ahead > self._limits().ahead:
                self._link.read_on(False)
            return
        if self.phase is Phase.IDLE:
            self._enter(Phase.READING)
        self._advance()

    def turn_away(self) -> None:
        """Answer a request unread, and close."""
        self._enter(Phase.ANSWERING)
        # Through no parser: that would cost most of what the request itself does.
        self._link.send(busy_answer(self._interface.retry_after, int(time())))
        self._close()

    def _advance(self) -> None:
        # An answer given from within ``on_call`` comes back here; the loop that
        # is already running takes the next request.
        if self._advancing:
            return
        self._advancing = True
        try:
            while self.phase in (Phase.IDLE, Phase.READING) and self._step():
                pass
        finally:
            self._advancing = False
        if self.phase is Phase.IDLE and self._http.trailing_data[0]:
            self._enter(Phase.READING)

    def _step(self) -> bool:
        try:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self._enter(Phase.READING)
                    self._on_head(event)
                case h11.Data():
                    self._on_body(event.data)
                case h11.EndOfMessage():
                    self._on_request()
                case _:
                    return False
        except h11.RemoteProtocolError as exc:
            self._refuse(self._protocol_error(exc))
        except RouterError as exc:
            self._refuse(exc)
        return True

    @staticmethod
    def _protocol_error(exc: h11.RemoteProtocolError) -> RouterError:
        if exc.error_status_hint == STATUS_HEADERS_TOO_LARGE:
            return RouterError(ErrorKind.HEADERS_TOO_LARGE, "headers too large")
        return RouterError(ErrorKind.BAD_REQUEST, f"not valid HTTP: {exc}")

    def _on_head(self, head: h11.Request) -> None:
        self._head = head
        self._check_head(head)
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._link.send(self._http.send(go_on))

    def _check_head(self, head: h11.Request) -> None:
        limits = self._limits()
        size = len(head.target) + sum(len(k) + len(v) + 4 for k, v in head.headers)
        if size > limits.headers:
            raise RouterError(ErrorKind.HEADERS_TOO_LARGE, "headers too large")
        if head.http_version not in HTTP_VERSIONS:
            raise RouterError(ErrorKind.BAD_REQUEST, "HTTP/1.1 is spoken here")
        headers = dict(head.headers)
        length = headers.get(b"content-length")
        # With both, two readers of the same bytes may disagree where the request
        # ends, and the rest is taken for another caller's request.
        if length is not None and b"transfer-encoding" in headers:
            message = "content-length and transfer-encoding exclude each other"
            raise RouterError(ErrorKind.BAD_REQUEST, message)
        self._interface.check_target(head.method.decode("latin-1"), self._path(head))
        if length is not None and int(length) > limits.body:
            self._refuse_body(limits)

    @staticmethod
    def _path(head: h11.Request) -> str:
        return head.target.decode("latin-1").partition("?")[0]

    @staticmethod
    def _refuse_body(limits: Limits) -> None:
        message = f"body larger than {limits.body} bytes"
        raise RouterError(ErrorKind.BODY_TOO_LARGE, message)

    def _on_body(self, data: bytes) -> None:
        self._budget.take(len(data))
        self._body += data
        limits = self._limits()
        if len(self._body) > limits.body:
            self._refuse_body(limits)

    def _take_body(self) -> bytes:
        self._budget.give(len(self._body))
        body, self._body = bytes(self._body), bytearray()
        return body

    def _on_request(self) -> None:
        head = self._head
        request = CallerRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers
            ),
            self._take_body(),
            head.http_version == b"1.0",
        )
        self._ahead = 0
        self._enter(Phase.ANSWERING)
        self._reply = reply = Reply(self, self._interface.retry_after)
        try:
            self._call = self._interface.parse_call(request, reply)
            self._handler.on_call(self._call)
        except RouterError as exc:
            reply.error(exc)
        except Exception:
            # Without an answer the caller would wait for its own timeout.
            reply.error(RouterError(ErrorKind.INTERNAL, "the router failed"))
            raise

    def _refuse(self, exc: RouterError) -> None:
        """Answer a request that was not read to its end, then close."""
        self._take_body()
        headers: list[Header] = []
        if exc.kind is ErrorKind.METHOD_NOT_ALLOWED:
            methods = self._interface.allowed_methods(self._path(self._head))
            headers.append(("Allow", ", ".join(sorted(methods))))
        self._enter(Phase.ANSWERING)
        Reply(self, self._interface.retry_after).error(exc, headers, close=True)

    # Answering: methods of ``reply.AnswerSink``.

    @property
    def blocked(self) -> bool:
        """True when the caller reads too slowly for more."""
        if self.queued > self._limits().high_water:
            self._was_blocked = True
        return self._was_blocked

    def _encode(self, headers: Iterable[Header]) -> list[tuple[bytes, bytes]]:
        return [
            (name.encode("latin-1"), value.encode("latin-1", "replace"))
            for name, value in (date_header(), *headers)
        ]

    def send_whole(
        self, status: int, headers: Iterable[Header], body: bytes, *, close: bool
    ) -> None:
        """Send a whole answer."""
        lines = self._encode(headers)
        is_head = self._head is not None and self._head.method == b"HEAD"
        if status not in BODILESS and (body or not is_head):
            lines.append((b"content-length", str(len(body)).encode()))
        if close or self._ends_with_answer:
            lines.append((b"connection", b"close"))
        parts = [self._http.send(_response(status, lines))]
        if body and status not in BODILESS and not is_head:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._link.send(b"".join(parts))
        self._on_answered()

    @property
    def _ends_with_answer(self) -> bool:
        limits = self._limits()
        return limits.last_answer or limits.keep_alive_s <= 0

    def send_head(self, status: int, headers: Iterable[Header]) -> None:
        """Begin a streamed answer."""
        lines = self._encode(headers)
        lines.append((b"transfer-encoding", b"chunked"))
        if self._limits().last_answer:
            lines.append((b"connection", b"close"))
        self._link.send(self._http.send(_response(status, lines)))

    def send_piece(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        # Streams are always chunked (HTTP/1.0 is refused), and h11 keeps no state
        # for a chunk; framing it here halves what a piece costs on this side.
        if data:
            self._link.send(_chunk(data))

    def send_end(self, data: bytes) -> None:
        """Send the last piece and end the streamed answer."""
        last = _chunk(data) if data else b""
        self._link.send(last + self._http.send(h11.EndOfMessage()))
        self._on_answered()

    def cut(self, data: bytes) -> None:
        """Send ``data`` and close without ending the answer."""
        if data:
            self.send_piece(data)
        self._close()

    def _on_answered(self) -> None:
        self._call = self._reply = None
        self._was_blocked = False
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done:
            self._close()
            return
        self._http.start_next_cycle()
        self._enter(Phase.IDLE)
        self._link.read_on(True)
        self._advance()

    def _close(self) -> None:
        self._call = self._reply = None
        self._enter(Phase.CLOSING)
        self._link.read_on(True)
        self._link.finish()

    # Socket events.

    def on_sent(self, queued: int) -> None:
        """Note that the caller read; ``queued`` bytes are left to be sent."""
        self.queued = queued
        self.moved_at = monotonic()
        if not self._was_blocked or queued > self._limits().low_water:
            return
        self._was_blocked = False
        reply = self._reply
        if reply is not None and reply.on_drain is not None:
            reply.on_drain()

    def on_lost(self) -> None:
        """Note that the socket is closed."""
        self._take_body()
        call, reply = self._call, self._reply
        self._call = self._reply = None
        self._enter(Phase.CLOSING)
        if reply is not None:
            reply.detach()
        if call is not None:
            self._handler.on_gone(call)

    def check_time(self, now: float) -> None:
        """Close what takes too long."""
        limits = self._limits()
        waited_s = now - self.phase_at
        if self.queued and now - self.moved_at > limits.write_s:
            self._link.drop()
        elif self.phase is Phase.READING and waited_s > self._reading_s(limits):
            message = f"request not received within {self._reading_s(limits):g} s"
            self._refuse(RouterError(ErrorKind.REQUEST_TIMEOUT, message))
        elif self._is_over(now, limits):
            self._link.drop()

    def _reading_s(self, limits: Limits) -> float:
        is_body = self._http.their_state is h11.SEND_BODY
        return limits.body_s if is_body else limits.request_s

    def _is_over(self, now: float, limits: Limits) -> bool:
        # An answer is given, for this side, when it is queued; the caller may still
        # be reading it, and closing now would cut it.
        if self.queued:
            return False
        match self.phase:
            case Phase.IDLE:
                return now - self.phase_at > limits.keep_alive_s
            case Phase.CLOSING:
                # The wait begins when the last byte left, not when it was queued.
                return now - max(self.phase_at, self.moved_at) > limits.linger_s
        return False
