"""Answer to one call of a caller."""

import json
from collections.abc import Callable, Iterable
from functools import lru_cache
from http import HTTPStatus
from math import ceil
from time import time
from typing import Any, Protocol

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net._http_write import date_header

Header = tuple[str, str]

JSON_TYPE = "application/json"
STREAM_HEADERS: tuple[Header, ...] = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
)
STREAM_END = b"data: [DONE]\n\n"


class AnswerSink(Protocol):
    """Destination of an answer: the caller's connection."""

    @property
    def blocked(self) -> bool:
        """Whether the stream should pause because the caller reads too slowly."""

    def send_complete(
        self, status: int, headers: Iterable[Header], body: bytes, *, close: bool
    ) -> None:
        """Send a complete answer."""

    def send_head(
        self, status: int, headers: Iterable[Header], data: bytes, *, until_close: bool
    ) -> None:
        """Start a streamed answer, with ``data`` as its first part unless empty.

        Args:
            status: HTTP status code.
            headers: Headers; those of the framing are added.
            data: First bytes of the body.
            until_close: True if the end of the connection delimits the body, False if
                it is sent in chunks.
        """

    def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed answer."""

    def send_end(self, data: bytes) -> None:
        """Send the last part and end the streamed answer."""

    def abort(self, data: bytes) -> None:
        """Send ``data`` and close with the answer incomplete."""


def format_retry_after(seconds: float) -> str:
    """Return a delay as a ``Retry-After`` value, rounded up to whole seconds."""
    return str(max(1, ceil(seconds)))


def error_headers(
    exc: RouterError, retry_after: Callable[[float], str] = format_retry_after
) -> list[Header]:
    """Return the extra headers of an error answer."""
    headers = []
    if exc.retry_after_s is not None:
        headers.append(("Retry-After", retry_after(exc.retry_after_s)))
    if exc.kind is ErrorKind.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


def host_busy_response(
    data: bytes, retry_after: Callable[[float], str], retry_after_s: float
) -> bytes:
    """Return the complete answer that rejects a request and ends its connection.

    Args:
        data: First bytes of the request.
        retry_after: Formats the retry delay.
        retry_after_s: Retry delay, in seconds.
    """
    head, body = _host_busy_parts(retry_after, retry_after_s, int(time()))
    return head if data.startswith(b"HEAD ") else head + body


@lru_cache(maxsize=2)
def _host_busy_parts(
    retry_after: Callable[[float], str], retry_after_s: float, _second: int
) -> tuple[bytes, bytes]:
    # ``_second`` has the cache build one answer per second, with the current date.
    text = "this host is busy"
    exc = RouterError(ErrorKind.HOST_BUSY, text, retry_after_s=retry_after_s)
    body = json.dumps(exc.body).encode()
    headers = (
        date_header(),
        ("Content-Type", JSON_TYPE),
        *error_headers(exc, retry_after),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    )
    phrase = HTTPStatus(exc.status).phrase
    lines = [f"HTTP/1.1 {exc.status} {phrase}", *(f"{k}: {v}" for k, v in headers)]
    return "\r\n".join([*lines, "", ""]).encode(), body


class Reply:
    """Answers one call once; does nothing after the end or the caller's disconnect.

    Args:
        sink: The caller's connection.
        retry_after: Formats a retry delay.
    """

    def __init__(
        self, sink: AnswerSink, retry_after: Callable[[float], str] = format_retry_after
    ) -> None:
        self.on_drain: Callable[[], None] | None = None
        """Called when a paused stream may resume."""
        self._sink: AnswerSink | None = sink
        self._streaming = False
        self._until_close = False
        self._retry_after = retry_after

    @property
    def open(self) -> bool:
        """True until the answer ends or the caller disconnects."""
        return self._sink is not None

    @property
    def streaming(self) -> bool:
        """True once a streamed answer has started."""
        return self._streaming

    @property
    def until_close(self) -> bool:
        """True if the end of the connection delimits the started answer."""
        return self._until_close

    @property
    def blocked(self) -> bool:
        """True if the stream should pause until ``on_drain`` is called."""
        return self._sink is not None and self._sink.blocked

    def _detach_sink(self) -> AnswerSink | None:
        sink, self._sink = self._sink, None
        return sink

    def detach(self) -> None:
        """Disable the reply because the caller has disconnected."""
        self._detach_sink()

    def json(self, status: int, obj: Any, headers: Iterable[Header] = ()) -> None:
        """Answer with a JSON document."""
        body = json.dumps(obj).encode()
        self.raw(status, (("Content-Type", JSON_TYPE), *headers), body)

    def raw(
        self,
        status: int,
        headers: Iterable[Header],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Answer with a body of bytes.

        Args:
            status: HTTP status code.
            headers: Headers; length and framing are added.
            body: Complete body.
            close: True to close the connection afterwards.
        """
        if self._streaming:
            self.abort()
        sink = self._detach_sink()
        if sink is not None:
            sink.send_complete(status, headers, body, close=close)

    def error(
        self,
        exc: RouterError,
        headers: Iterable[Header] = (),
        *,
        close: bool = False,
    ) -> None:
        """Answer with an error; aborts a streamed answer that has started."""
        if self._streaming:
            self.abort(exc)
            return
        body = json.dumps(exc.body).encode()
        kind_headers = error_headers(exc, self._retry_after)
        all_headers = (("Content-Type", JSON_TYPE), *kind_headers, *headers)
        self.raw(exc.status, all_headers, body, close=close)

    def start_stream(self, headers: Iterable[Header] = ()) -> None:
        """Start a stream of server-sent events."""
        self.begin(200, (*STREAM_HEADERS, *headers))

    def begin(
        self,
        status: int,
        headers: Iterable[Header],
        data: bytes = b"",
        *,
        until_close: bool = False,
    ) -> None:
        """Start an answer whose body is sent in parts, of which ``data`` is the first.

        Sent with the head, the first part costs no system call of its own.

        Args:
            status: HTTP status code.
            headers: Headers; those of the framing are added.
            data: First part of the body.
            until_close: Delimit the body by the end of the connection, not by chunks,
                since nothing else shows its end.
        """
        if self._sink is not None and not self._streaming:
            self._streaming, self._until_close = True, until_close
            self._sink.send_head(status, headers, data, until_close=until_close)

    def send_chunk(self, data: bytes) -> None:
        """Send a part of a started answer; of an event stream, only whole events."""
        if self._sink is not None:
            self._sink.send_chunk(data)

    def end_stream(self) -> None:
        """Complete the stream with ``[DONE]``."""
        self.finish(STREAM_END)

    def finish(self, data: bytes = b"") -> None:
        """Send the last bytes and complete a started answer."""
        sink = self._detach_sink()
        if sink is not None:
            sink.send_end(data)

    def abort(self, exc: RouterError | None = None) -> None:
        """Close the connection such that the caller sees an incomplete answer.

        Args:
            exc: Sent first as an ``error`` event if the answer is a stream.
        """
        sink = self._detach_sink()
        if sink is None:
            return
        if exc is not None and self._streaming:
            body = json.dumps(exc.body).encode()
            sink.abort(b"event: error\ndata: " + body + b"\n\n")
        else:
            sink.abort(b"")
