"""The answer to one call of a caller."""

import json
from collections.abc import Callable, Iterable
from functools import lru_cache
from http import HTTPStatus
from math import ceil
from typing import Any, Protocol

from greengageflow.core.arrival_gate import RETRY_AFTER_S
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
    """Where an answer goes: the caller's connection."""

    @property
    def blocked(self) -> bool:
        """True when the caller reads too slowly for more."""

    def send_whole(
        self, status: int, headers: Iterable[Header], body: bytes, *, close: bool
    ) -> None:
        """Send a whole answer."""

    def send_head(self, status: int, headers: Iterable[Header]) -> None:
        """Begin a streamed answer."""

    def send_piece(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""

    def send_end(self, data: bytes) -> None:
        """Send the last piece and end the streamed answer."""

    def cut(self, data: bytes) -> None:
        """Send ``data`` and close without ending the answer."""


def whole_seconds(seconds: float) -> str:
    """Return a time to come back as HTTP writes it, in whole seconds."""
    return str(max(1, ceil(seconds)))


def error_headers(
    exc: RouterError, retry_after: Callable[[float], str] = whole_seconds
) -> list[Header]:
    """Return the headers that go with an error's body."""
    headers = []
    if exc.retry_after_s is not None:
        headers.append(("Retry-After", retry_after(exc.retry_after_s)))
    if exc.kind is ErrorKind.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


@lru_cache(maxsize=2)
def busy_answer(retry_after: Callable[[float], str], _second: int) -> bytes:
    """Return a whole answer that refuses a request and ends the connection.

    Args:
        retry_after: Writes a time to come back.
        _second: Time of day; each answer is made once a second.
    """
    text = "this host is busy"
    exc = RouterError(ErrorKind.HOST_BUSY, text, retry_after_s=RETRY_AFTER_S)
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
    return "\r\n".join([*lines, "", ""]).encode() + body


class Reply:
    """Answers one call, once; after the end or when the caller is gone it is inert.

    Args:
        sink: The caller's connection.
        retry_after: Writes a time to come back.
    """

    def __init__(
        self, sink: AnswerSink, retry_after: Callable[[float], str] = whole_seconds
    ) -> None:
        self.on_drain: Callable[[], None] | None = None
        """Called when a caller that blocked reads again."""
        self._sink: AnswerSink | None = sink
        self._streaming = False
        self._retry_after = retry_after

    @property
    def open(self) -> bool:
        """True until the answer has ended or the caller is gone."""
        return self._sink is not None

    @property
    def streaming(self) -> bool:
        """True once a streamed answer has begun."""
        return self._streaming

    @property
    def blocked(self) -> bool:
        """True when pieces should be held back until ``on_drain`` is called."""
        return self._sink is not None and self._sink.blocked

    def _take_sink(self) -> AnswerSink | None:
        sink, self._sink = self._sink, None
        return sink

    def detach(self) -> None:
        """Note that the caller is gone."""
        self._take_sink()

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
        """Answer with bytes.

        Args:
            status: HTTP status code.
            headers: Headers; length and framing are added.
            body: Whole body.
            close: True to close the connection afterwards.
        """
        if self._streaming:
            self.abort()
        sink = self._take_sink()
        if sink is not None:
            sink.send_whole(status, headers, body, close=close)

    def error(
        self,
        exc: RouterError,
        headers: Iterable[Header] = (),
        *,
        close: bool = False,
    ) -> None:
        """Answer with an error; a streamed answer that has begun is cut."""
        if self._streaming:
            self.abort(exc)
            return
        body = json.dumps(exc.body).encode()
        told = error_headers(exc, self._retry_after)
        all_headers = (("Content-Type", JSON_TYPE), *told, *headers)
        self.raw(exc.status, all_headers, body, close=close)

    def start_stream(self, headers: Iterable[Header] = ()) -> None:
        """Begin a stream of server-sent events."""
        self.begin(200, (*STREAM_HEADERS, *headers))

    def begin(self, status: int, headers: Iterable[Header]) -> None:
        """Begin an answer whose body comes in pieces."""
        if self._sink is not None and not self._streaming:
            self._streaming = True
            self._sink.send_head(status, headers)

    def piece(self, data: bytes) -> None:
        """Send whole events of the stream."""
        if self._sink is not None:
            self._sink.send_piece(data)

    def end_stream(self) -> None:
        """End the stream as complete, with ``[DONE]``."""
        self.finish(STREAM_END)

    def finish(self, data: bytes = b"") -> None:
        """Send the last bytes and end an answer that was begun."""
        sink = self._take_sink()
        if sink is not None:
            sink.send_end(data)

    def abort(self, exc: RouterError | None = None) -> None:
        """Close so that the caller sees that the answer is not whole.

        Args:
            exc: Sent as an ``error`` event first when the answer is a stream.
        """
        sink = self._take_sink()
        if sink is None:
            return
        if exc is not None and self._streaming:
            body = json.dumps(exc.body).encode()
            sink.cut(b"event: error\ndata: " + body + b"\n\n")
        else:
            sink.cut(b"")
