"""Incremental HTTP/1.1 parsers for requests and responses.

They use llhttp (through ``httptools``) in strict mode, which is many times faster than
a parser in Python. This module adds the checks that llhttp lacks and without which two
parsers could read the same bytes differently (request smuggling).
"""

import re
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

HeaderLines = tuple[tuple[str, str], ...]

MAX_RESPONSE_HEAD_BYTES = 65_536
"""Maximum size of a response's status line and headers, in bytes."""

CHUNKED = "chunked"
_FRAMING = frozenset({"host", "content-length", "transfer-encoding"})


_CONTENT_LENGTH = re.compile(
    rb"\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r", re.IGNORECASE
)
_TRANSFER_ENCODING = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)


def is_single_request(data: bytes) -> bool:
    """Return whether ``data`` is exactly one complete request.

    A quick check without a full parse; chunked requests give False.
    """
    end = data.find(b"\r\n\r\n")
    if end < 0 or _TRANSFER_ENCODING.search(data, 0, end):
        return False
    found = _CONTENT_LENGTH.findall(data, 0, end + 2)
    length = int(found[0]) if found else 0
    return len(found) <= 1 and len(data) == end + 4 + length


class BadMessage(Exception):
    """The bytes are not valid HTTP/1.1.

    Args:
        text: Description of the error.
        too_large: True if the head exceeds the size limit.
    """

    def __init__(self, text: str, *, too_large: bool = False) -> None:
        super().__init__(text)
        self.too_large = too_large


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Lower-case names and values, in the order received.
        version: HTTP version.
        size: Size of target and headers in bytes.
        keep_alive: True if the connection may carry another request afterwards.
    """

    method: str
    target: str
    headers: HeaderLines
    version: str
    size: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Body:
    """Part of a message body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """End of a complete request."""


class Framing(StrEnum):
    """What delimits the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no_body"
    """The status or the request's method allows no body."""
    CLOSE = "close"
    """The end of the connection, which also ends a truncated body."""


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response.

    Args:
        status: HTTP status code.
        headers: Lower-case names and values, in the order received.
        framing: What delimits the body, or None if that is not known.
    """

    status: int
    headers: HeaderLines
    framing: Framing | None = None

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name`` (in lower case)."""
        return next((value for key, value in self.headers if key == name), default)


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """End of a complete response.

    Args:
        keep_alive: True if the connection may carry another exchange.
    """

    keep_alive: bool


Event = RequestHead | Head | Body | RequestEnd | ResponseEnd | BadMessage


class _Headers:
    """Header lines of one message."""

    def __init__(self) -> None:
        self.size = 0
        self._lines: list[tuple[str, str]] = []
        self._framing: dict[str, list[str]] = {}

    def add(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value) + 4
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1").strip(" \t")
        self._lines.append((key, text))
        if key in _FRAMING:
            self._framing.setdefault(key, []).append(text)

    def lines(self) -> HeaderLines:
        """Return the lines received so far; trailers arrive after the body."""
        return tuple(self._lines)

    def values(self, name: str) -> list[str]:
        """Return all values of a host or message length header."""
        return self._framing.get(name, [])

    def check_transfer_coding(self) -> None:
        """Reject any transfer coding except a single ``chunked``.

        The parser itself rejects repeated lengths, and a length with chunked coding.
        """
        codings = self.values("transfer-encoding")
        if codings and [coding.lower() for coding in codings] != [CHUNKED]:
            raise BadMessage("unsupported transfer-encoding; only chunked is supported")


class _MessageParser:
    """Base of both parsers: llhttp, the head size limit and error handling.

    The parser calls the ``on_...`` methods of the subclasses.

    Args:
        parser: Parser class of ``httptools``.
        max_head_bytes: Maximum size of a message's head, in bytes.
    """

    def __init__(
        self,
        parser: type[HttpRequestParser] | type[HttpResponseParser],
        max_head_bytes: int,
    ) -> None:
        self.in_message = False
        """Whether a message has started and is not complete yet."""
        self._parser = parser(self)
        self._max_head_bytes = max_head_bytes
        self._events: deque[Event] = deque()
        self._headers = _Headers()
        self._head_bytes = 0
        self._in_head = True
        self._stopped = False

    def _parse(self, data: bytes) -> None:
        if self._stopped:
            return
        # Counted per read: the read with the end of the head counts in full,
        # including data that follows.
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as exc:
            self._on_upgrade(data[exc.args[0] :])
        except HttpParserError as exc:
            # The parser wraps exceptions that were raised in a callback.
            cause = exc.__context__
            error = cause if isinstance(cause, BadMessage) else BadMessage(str(exc))
            self._fail(error)
        if (
            self._in_head
            and self.in_message
            and self._head_bytes > self._max_head_bytes
        ):
            self._fail(BadMessage("head too large", too_large=True))

    def _on_upgrade(self, rest: bytes) -> None:
        """Handle the data after a head that offers another protocol."""
        raise NotImplementedError

    def _fail(self, exc: BadMessage) -> None:
        if not self._stopped:
            self._stopped = True
            self._events.append(exc)

    def _next(self) -> "Event":
        event = self._events.popleft()
        if isinstance(event, BadMessage):
            raise event
        return event

    def _on_head_complete(self) -> None:
        self._in_head = False
        self._head_bytes = 0

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._headers = _Headers()
        self._in_head = self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.add(name, value)

    def on_message_complete(self) -> None:
        self.in_message = False
        self._in_head = True


class RequestParser(_MessageParser):
    """Parses the requests of one connection.

    Args:
        max_head_bytes: Maximum size of a request's head, in bytes.
    """

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(HttpRequestParser, max_head_bytes)
        self._target = b""
        self._declines_upgrade = False
        self._reads_declined_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; ``next`` returns the results."""
        self._parse(data)

    def next(self) -> RequestHead | Body | RequestEnd | None:
        """Return the next parsed part, or None if more bytes are needed.

        Raises:
            BadMessage: The bytes are not valid HTTP/1.1.
        """
        return self._next() if self._events else None

    @property
    def has_more(self) -> bool:
        """Whether part of another request has arrived."""
        return bool(self._events) or self.in_message

    @property
    def unfinished_method(self) -> str:
        """Method of a request whose head is incomplete or invalid; empty if unknown."""
        if not (self.in_message and self._target):
            return ""
        return self._parser.get_method().decode("latin-1")

    @property
    def has_pending_events(self) -> bool:
        """Whether ``next`` has a part of a body or the end of a request."""
        return bool(self._events)

    def _on_upgrade(self, rest: bytes) -> None:
        if not self._declines_upgrade:
            # The bytes after CONNECT are not HTTP/1.1.
            self._stopped = True
            return
        # The parser takes an offer of another protocol for the end of the request. A
        # new one, which is given the same framing, reads the body.
        self._reads_declined_body = True
        self._parser = HttpRequestParser(self)
        self._parse(self._body_framing() + rest)

    def _body_framing(self) -> bytes:
        names = ("content-length", "transfer-encoding")
        lines = [f"{k}: {v}" for k in names for v in self._headers.values(k)]
        head = "\r\n".join(["POST / HTTP/1.1", "host: x", *lines, "", ""])
        return head.encode("latin-1")

    # Called by the parser.

    def on_message_begin(self) -> None:
        if self._declines_upgrade:
            return
        super().on_message_begin()
        self._target = b""

    def on_url(self, url: bytes) -> None:
        if not self._declines_upgrade:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._declines_upgrade:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._declines_upgrade:
            return
        self._on_head_complete()
        headers, version = self._headers, self._parser.get_http_version()
        headers.check_transfer_coding()
        hosts = headers.values("host")
        if len(hosts) > 1 or (not hosts and version == "1.1"):
            raise BadMessage("request must have exactly one host header")
        method = self._parser.get_method().decode("latin-1")
        self._events.append(
            RequestHead(
                method,
                self._target.decode("latin-1"),
                headers.lines(),
                version,
                len(self._target) + headers.size,
                self._parser.should_keep_alive() and not self._parser.should_upgrade(),
            )
        )
        self._declines_upgrade = self._parser.should_upgrade() and method != "CONNECT"

    def on_body(self, data: bytes) -> None:
        if not self._stopped:
            self._events.append(Body(data))

    def on_message_complete(self) -> None:
        is_head_only = self._declines_upgrade and not self._reads_declined_body
        if self._stopped or is_head_only:
            return
        # What follows an offer may be in the other protocol.
        self._stopped = self._declines_upgrade
        super().on_message_complete()
        self._events.append(RequestEnd())


class ResponseParser(_MessageParser):
    """Parses the responses on one connection."""

    def __init__(self) -> None:
        super().__init__(HttpResponseParser, MAX_RESPONSE_HEAD_BYTES)
        self.framing = Framing.NO_BODY
        """What delimits the body of the current response."""
        self.until_close = False
        """Whether the current response is delimited by the end of the connection."""
        self._interim = False
        self._no_body = False

    def expect(self, method: str) -> None:
        """Set the method of the request whose response comes next."""
        self._no_body = method == "HEAD"

    def feed(self, data: bytes) -> Iterator[Head | Body | ResponseEnd]:
        """Parse received bytes and yield the results.

        Raises:
            BadMessage: The bytes are not valid HTTP/1.1.
        """
        if data:
            self._parse(data)
        while self._events:
            yield self._next()

    def _on_upgrade(self, _rest: bytes) -> None:
        self._fail(BadMessage("unexpected protocol upgrade"))

    # Called by the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._interim = self.until_close = False

    def on_headers_complete(self) -> None:
        self._on_head_complete()
        status = self._parser.get_status_code()
        self._interim = 100 <= status < 200
        headers = self._headers
        headers.check_transfer_coding()
        if self._interim:
            return
        framing = headers.values("content-length") or headers.values(
            "transfer-encoding"
        )
        self.until_close = not framing and status not in (204, 304)
        self.framing = self._framing(status)
        self._events.append(Head(status, headers.lines(), self.framing))
        has_body_framing = self.until_close or framing not in ([], ["0"])
        if self._no_body and has_body_framing:
            # This responds to HEAD and has no body. The parser does not know the
            # method and would read what follows as the body.
            self.in_message = self.until_close = False
            self._stopped = True
            self._events.append(ResponseEnd(keep_alive=False))

    def _framing(self, status: int) -> Framing:
        if self._no_body or status in (204, 304):
            return Framing.NO_BODY
        if self._headers.values("transfer-encoding"):
            return Framing.CHUNKS
        return Framing.CLOSE if self.until_close else Framing.LENGTH

    def on_body(self, data: bytes) -> None:
        if not (self._interim or self._stopped):
            self._events.append(Body(data))

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if not (self._interim or self._stopped):
            self._events.append(ResponseEnd(self._parser.should_keep_alive()))
