"""HTTP/1.1 protocol of one caller's connection, independent of the socket."""

from collections.abc import Callable, Iterable
from enum import Enum, auto
from time import monotonic

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net._caller_parts import (
    BodyBudget,
    CallInterface,
    Handler,
    Limits,
    Link,
)
from greengageflow.net._http_parse import (
    BadMessage,
    Body,
    Framing,
    RequestEnd,
    RequestHead,
    RequestParser,
)
from greengageflow.net._http_write import (
    CONTINUE_RESPONSE,
    LAST_CHUNK,
    chunk,
    date_header,
    response_head,
)
from greengageflow.net.calls import CallerCall, CallerRequest
from greengageflow.net.reply import Header, Reply, host_busy_response

BODILESS_STATUSES = frozenset({204, 304})
HTTP_VERSIONS = frozenset({"1.0", "1.1"})
CONNECTION_CLOSE: Header = ("connection", "close")


class Phase(Enum):
    """State of a connection."""

    IDLE = auto()
    READING = auto()
    ANSWERING = auto()
    CLOSING = auto()


class CallerConnection:
    """Parses requests one at a time and frames their answers.

    Args:
        link: Socket of the connection.
        handler: Handles the calls.
        limits: Returns the current limits.
        budget: Body budget shared by all connections.
        interface: Parses requests into calls.
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
        self.phase_started_at = monotonic()
        self.send_progress_at = self.phase_started_at
        self.queued_bytes = 0
        self._link = link
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._interface = interface
        self._requests = RequestParser(limits().header_bytes)
        self._head: RequestHead | None = None
        self._is_request_complete = False
        self._pipelined: list[bytes] = []
        self._body = bytearray()
        self._reserved_bytes = 0
        self._call: CallerCall | None = None
        self._reply: Reply | None = None
        self._pipelined_bytes = 0
        self._was_blocked = False
        self._stream_framing = Framing.NO_BODY
        self._advancing = False

    def _set_phase(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_started_at = monotonic()

    # Requests.

    def receive(self, data: bytes) -> None:
        """Process bytes received from the caller."""
        if self.phase is Phase.CLOSING:
            return
        if self.phase is Phase.IDLE:
            # Some clients send an extra empty line after a body.
            data = data.lstrip(b"\r\n")
        if not data:
            return
        if self.phase is Phase.ANSWERING:
            self._pipelined.append(data)
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > self._limits().pipelined_bytes:
                self._link.set_reading(False)
            return
        self._requests.feed(data)
        if self.phase is Phase.IDLE:
            self._set_phase(Phase.READING)
        self._advance()

    def reject_unread(self, data: bytes, retry_after_s: float) -> None:
        """Reject a request unread and close the connection.

        Args:
            data: First bytes of the request.
            retry_after_s: Retry delay of its caller, in seconds.
        """
        self._set_phase(Phase.ANSWERING)
        # Parsing the request would cost most of what handling it does.
        formatter = self._interface.retry_after
        self._link.send(host_busy_response(data, formatter, retry_after_s))
        self._close()

    def _advance(self) -> None:
        # An answer from within ``on_call`` re-enters this method; the loop that is
        # already running then continues with the next request.
        if self._advancing:
            return
        self._advancing = True
        try:
            while self.phase in (Phase.IDLE, Phase.READING) and self._step():
                pass
        finally:
            self._advancing = False
        if self.phase is Phase.IDLE and self._requests.has_more:
            self._set_phase(Phase.READING)

    def _step(self) -> bool:
        try:
            match self._requests.next():
                case RequestHead() as head:
                    self._set_phase(Phase.READING)
                    self._on_head(head)
                case Body(data):
                    self._on_body(data)
                case RequestEnd():
                    self._on_request()
                case None:
                    return False
        except BadMessage as exc:
            self._reject(self._protocol_error(exc))
        except RouterError as exc:
            self._reject(exc)
        return True

    @staticmethod
    def _protocol_error(exc: BadMessage) -> RouterError:
        if exc.too_large:
            return RouterError(ErrorKind.HEADERS_TOO_LARGE, "headers too large")
        return RouterError(ErrorKind.BAD_REQUEST, f"not valid HTTP: {exc}")

    def _on_head(self, head: RequestHead) -> None:
        self._head = head
        self._is_request_complete = False
        headers = dict(head.headers)
        self._check_head(head, headers)
        expects_continue = headers.get("expect", "").lower() == "100-continue"
        if (
            expects_continue
            and head.version == "1.1"
            and not self._requests.has_pending_events
        ):
            self._link.send(CONTINUE_RESPONSE)

    def _check_head(self, head: RequestHead, headers: dict[str, str]) -> None:
        limits = self._limits()
        if head.size > limits.header_bytes:
            raise RouterError(ErrorKind.HEADERS_TOO_LARGE, "headers too large")
        if head.version not in HTTP_VERSIONS:
            raise RouterError(ErrorKind.BAD_REQUEST, "HTTP version must be 1.0 or 1.1")
        length = headers.get("content-length")
        # With both headers, two parsers may disagree on where the request ends, and
        # one reads the rest as another caller's request (request smuggling).
        if length is not None and "transfer-encoding" in headers:
            message = "content-length and transfer-encoding must not be combined"
            raise RouterError(ErrorKind.BAD_REQUEST, message)
        self._interface.check_target(head.method, self._path(head))
        if length is not None and int(length) > limits.body_bytes:
            self._reject_body(limits)

    @staticmethod
    def _path(head: RequestHead) -> str:
        return head.target.partition("?")[0]

    @staticmethod
    def _reject_body(limits: Limits) -> None:
        message = f"body larger than {limits.body_bytes} bytes"
        raise RouterError(ErrorKind.BODY_TOO_LARGE, message)

    def _on_body(self, data: bytes) -> None:
        self._budget.reserve(len(data))
        self._reserved_bytes += len(data)
        self._body += data
        limits = self._limits()
        if len(self._body) > limits.body_bytes:
            self._reject_body(limits)

    def _take_body(self) -> bytes:
        body, self._body = bytes(self._body), bytearray()
        return body

    def _release_body(self) -> None:
        """Forget the body of a request that has been answered or abandoned."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body = bytearray()

    def _on_request(self) -> None:
        head = self._head
        self._is_request_complete = True
        body, is_http_1_0 = self._take_body(), head.version == "1.0"
        request = CallerRequest(
            head.method, head.target, head.headers, body, is_http_1_0
        )
        self._pipelined_bytes = 0
        self._set_phase(Phase.ANSWERING)
        self._reply = reply = Reply(self, self._interface.retry_after)
        try:
            self._call = self._interface.parse_call(request, reply)
            self._handler.on_call(self._call)
        except RouterError as exc:
            reply.error(exc)
        except Exception:
            # Without an answer the caller would wait until its own timeout.
            reply.error(RouterError(ErrorKind.INTERNAL, "internal error of the router"))
            raise

    def _reject(self, exc: RouterError) -> None:
        """Answer a request that is not completely read, then close."""
        self._release_body()
        headers: list[Header] = []
        if exc.kind is ErrorKind.METHOD_NOT_ALLOWED:
            methods = self._interface.allowed_methods(self._path(self._head))
            headers.append(("Allow", ", ".join(sorted(methods))))
        self._set_phase(Phase.ANSWERING)
        Reply(self, self._interface.retry_after).error(exc, headers, close=True)

    # Answers: the methods of ``reply.AnswerSink``.

    @property
    def blocked(self) -> bool:
        """Whether the stream should pause because the caller reads too slowly."""
        if self.queued_bytes > self._limits().high_water_bytes:
            self._was_blocked = True
        return self._was_blocked

    def send_complete(
        self, status: int, headers: Iterable[Header], body: bytes, *, close: bool
    ) -> None:
        """Send a complete answer."""
        lines = [date_header(), *headers]
        has_body = self._has_body(status)
        if has_body or (body and status not in BODILESS_STATUSES):
            lines.append(("content-length", str(len(body))))
        is_last = close or self._closes_after_answer
        if is_last:
            lines.append(CONNECTION_CLOSE)
        self._link.send(response_head(status, lines) + (body if has_body else b""))
        self._on_answered(is_last)

    def _has_body(self, status: int) -> bool:
        """Return whether an answer to the current request has a body."""
        head = self._head
        method = head.method if head else self._requests.unfinished_method
        return status not in BODILESS_STATUSES and method != "HEAD"

    @property
    def _closes_after_answer(self) -> bool:
        limits = self._limits()
        is_last = limits.close_after_answer or limits.keep_alive_s <= 0
        return is_last or not (self._is_request_complete and self._head.keep_alive)

    def send_head(
        self, status: int, headers: Iterable[Header], data: bytes, *, until_close: bool
    ) -> None:
        """Start a streamed answer, with ``data`` as its first part unless empty."""
        framing = Framing.CLOSE if until_close else Framing.CHUNKS
        self._stream_framing = framing if self._has_body(status) else Framing.NO_BODY
        lines = [date_header(), *headers]
        if self._stream_framing is Framing.CLOSE:
            # Closed in order before its end, the answer would look complete.
            self._link.set_reset_on_close(True)
        elif status not in BODILESS_STATUSES:
            lines.append(("transfer-encoding", "chunked"))
        if self._closes_after_stream:
            lines.append(CONNECTION_CLOSE)
        self._link.send(response_head(status, lines) + self._framed(data))

    @property
    def _closes_after_stream(self) -> bool:
        is_delimiter = self._stream_framing is Framing.CLOSE
        is_last = is_delimiter or self._limits().close_after_answer
        return is_last or not self._head.keep_alive

    def _framed(self, data: bytes) -> bytes:
        match self._stream_framing:
            case Framing.CLOSE:
                return data
            case Framing.CHUNKS if data:
                # HTTP/1.0 requests for streams are rejected.
                return chunk(data)
        return b""

    def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        if framed := self._framed(data):
            self._link.send(framed)

    def send_end(self, data: bytes) -> None:
        """Send the last part and end the streamed answer."""
        end = LAST_CHUNK if self._stream_framing is Framing.CHUNKS else b""
        if rest := self._framed(data) + end:
            self._link.send(rest)
        self._on_answered(self._closes_after_stream)

    def abort(self, data: bytes) -> None:
        """Send ``data`` and close with the answer incomplete."""
        if self._stream_framing is Framing.CLOSE:
            self._end_call()
            self._link.drop()
            return
        if data:
            self.send_chunk(data)
        self._close()

    def _on_answered(self, is_last: bool) -> None:
        self._call = self._reply = self._head = None
        self._is_request_complete = False
        self._release_body()
        self._was_blocked = False
        if is_last:
            self._close()
            return
        self._set_phase(Phase.IDLE)
        self._link.set_reading(True)
        pipelined, self._pipelined = self._pipelined, []
        for data in pipelined:
            self._requests.feed(data)
        self._advance()

    def _end_call(self) -> None:
        self._call = self._reply = None
        self._release_body()
        self._set_phase(Phase.CLOSING)

    def _close(self) -> None:
        self._end_call()
        self._link.set_reading(True)
        self._link.finish()

    # Socket events.

    def on_sent(self, queued_bytes: int) -> None:
        """Update the size of the send queue; resume a paused stream if it is short."""
        self.queued_bytes = queued_bytes
        self.send_progress_at = monotonic()
        if not self._was_blocked or queued_bytes > self._limits().low_water_bytes:
            return
        self._was_blocked = False
        reply = self._reply
        if reply is not None and reply.on_drain is not None:
            reply.on_drain()

    def on_closed(self) -> None:
        """Handle the close of the socket."""
        self._release_body()
        call, reply = self._call, self._reply
        self._call = self._reply = None
        self._set_phase(Phase.CLOSING)
        if reply is not None:
            reply.detach()
        if call is not None:
            self._handler.on_caller_disconnect(call)

    def check_timeouts(self, now: float) -> None:
        """Enforce the timeouts."""
        limits = self._limits()
        waited_s = now - self.phase_started_at
        if self.queued_bytes and now - self.send_progress_at > limits.write_s:
            self._link.drop()
        elif self.phase is Phase.READING and waited_s > self._request_timeout_s(limits):
            message = (
                f"request not received within {self._request_timeout_s(limits):g} s"
            )
            self._reject(RouterError(ErrorKind.REQUEST_TIMEOUT, message))
        elif self._is_expired(now, limits):
            self._link.drop()

    def _request_timeout_s(self, limits: Limits) -> float:
        is_body = self._head is not None and not self._is_request_complete
        return limits.body_s if is_body else limits.header_s

    def _is_expired(self, now: float, limits: Limits) -> bool:
        # The phase changes as soon as the answer is queued. The caller may still be
        # reading it, and closing now would truncate it.
        if self.queued_bytes:
            return False
        match self.phase:
            case Phase.IDLE:
                return now - self.phase_started_at > limits.keep_alive_s
            case Phase.CLOSING:
                # The linger time starts when the last byte is sent, not when queued.
                return (
                    now - max(self.phase_started_at, self.send_progress_at)
                    > limits.linger_s
                )
        return False
