"""Requests and answers of HTTP/1.1 out of the bytes that arrive.

llhttp (by ``httptools``) reads them in its strict mode, many times as fast as a parser
in Python. What it does not check, and what would let two readers of the same bytes
disagree, is checked here.
"""

import re
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

HeaderLines = tuple[tuple[str, str], ...]

LARGEST_ANSWER_HEAD = 65_536
"""Most bytes of an answer's status line and headers."""

CHUNKED = "chunked"
_FRAMING = frozenset({"host", "content-length", "transfer-encoding"})


_LENGTH = re.compile(rb"\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r", re.IGNORECASE)
_CHUNKED = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)


def is_whole_request(data: bytes) -> bool:
    """Return whether bytes plainly hold one whole request and nothing else."""
    end = data.find(b"\r\n\r\n")
    if end < 0 or _CHUNKED.search(data, 0, end):
        return False
    found = _LENGTH.findall(data, 0, end + 2)
    length = int(found[0]) if found else 0
    return len(found) <= 1 and len(data) == end + 4 + length


class BadMessage(Exception):
    """The bytes are not valid HTTP/1.1.

    Args:
        text: What is wrong.
        too_large: The head is larger than allowed.
    """

    def __init__(self, text: str, *, too_large: bool = False) -> None:
        super().__init__(text)
        self.too_large = too_large


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request before its body.

    Args:
        method: Its method.
        target: Path and query.
        headers: Names in lower case and values, in the order received.
        version: HTTP version.
        size: Bytes of target and headers.
        keep_alive: The connection may carry another request afterwards.
    """

    method: str
    target: str
    headers: HeaderLines
    version: str
    size: int
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Body:
    """Bytes of a body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """The message is whole."""


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer.

    Args:
        status: HTTP status code.
        headers: Names in lower case and values, in the order received.
    """

    status: int
    headers: HeaderLines

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name`` (lower case)."""
        return next((value for key, value in self.headers if key == name), default)


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is whole.

    Args:
        keep_alive: The connection may carry another one.
    """

    keep_alive: bool


Event = RequestHead | Head | Body | MessageEnd | AnswerEnd | BadMessage


class _Headers:
    """Collects the header lines of one message."""

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
        """Return the lines so far; those behind a body (trailers) come later."""
        return tuple(self._lines)

    def values(self, name: str) -> list[str]:
        """Return all values of a header that says where a message goes or ends."""
        return self._framing.get(name, [])

    def check_coding(self) -> None:
        """Refuse a coding of the body that is not known here.

        The parser itself refuses two lengths, and a length beside chunks.
        """
        codings = self.values("transfer-encoding")
        if codings and [coding.lower() for coding in codings] != [CHUNKED]:
            raise BadMessage("only the transfer-encoding chunked is known")


class _MessageReader:
    """What both readers share: the parser, the bound on a head, and its errors.

    Callbacks of the parser are methods of the readers.

    Args:
        parser: Class of the parser.
        largest_head: Most bytes before the end of a message's headers.
    """

    def __init__(
        self,
        parser: type[HttpRequestParser] | type[HttpResponseParser],
        largest_head: int,
    ) -> None:
        self.begun = False
        """Whether bytes of a message arrived that is not whole yet."""
        self._parser = parser(self)
        self._largest_head = largest_head
        self._events: deque[Event] = deque()
        self._headers = _Headers()
        self._head_bytes = 0
        self._in_head = True
        self._over = False

    def _parse(self, data: bytes) -> None:
        if self._over:
            return
        # Counted by reads: one that holds the end of a head also counts what follows.
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._on_upgrade()
        except HttpParserError as exc:
            # What a method of this class raised comes wrapped.
            cause = exc.__context__
            known = cause if isinstance(cause, BadMessage) else BadMessage(str(exc))
            self._end(known)
        if self._in_head and self.begun and self._head_bytes > self._largest_head:
            self._end(BadMessage("head too large", too_large=True))

    def _on_upgrade(self) -> None:
        """Take note that what follows is of another protocol."""
        raise NotImplementedError

    def _end(self, exc: BadMessage) -> None:
        self._over = True
        self._events.append(exc)

    def _next(self) -> "Event":
        event = self._events.popleft()
        if isinstance(event, BadMessage):
            raise event
        return event

    def _end_head(self) -> None:
        self._in_head = False
        self._head_bytes = 0

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._headers = _Headers()
        self._in_head = self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.add(name, value)

    def on_message_complete(self) -> None:
        self.begun = False
        self._in_head = True


class RequestReader(_MessageReader):
    """Reads the requests of one connection.

    Args:
        largest_head: Most bytes before the end of a request's headers.
    """

    def __init__(self, largest_head: int) -> None:
        super().__init__(HttpRequestParser, largest_head)
        self._target = b""

    def feed(self, data: bytes) -> None:
        """Take bytes; what is in them comes from ``next``."""
        self._parse(data)

    def next(self) -> RequestHead | Body | MessageEnd | None:
        """Return what comes next, or None when more bytes are needed.

        Raises:
            BadMessage: The bytes are not valid HTTP/1.1.
        """
        return self._next() if self._events else None

    @property
    def has_more(self) -> bool:
        """Whether anything of a next request has arrived."""
        return bool(self._events) or self.begun

    @property
    def body_arrived(self) -> bool:
        """Whether something of a body, or a request's end, waits to be taken."""
        return bool(self._events)

    def _on_upgrade(self) -> None:
        # No other protocol is spoken here, and bytes that follow are of one.
        self._over = True

    # Called by the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        self._end_head()
        headers, version = self._headers, self._parser.get_http_version()
        headers.check_coding()
        hosts = headers.values("host")
        if len(hosts) > 1 or (not hosts and version == "1.1"):
            raise BadMessage("a request has one host header")
        self._events.append(
            RequestHead(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                headers.lines(),
                version,
                len(self._target) + headers.size,
                self._parser.should_keep_alive() and not self._parser.should_upgrade(),
            )
        )

    def on_body(self, data: bytes) -> None:
        self._events.append(Body(data))

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._events.append(MessageEnd())


class AnswerReader(_MessageReader):
    """Reads the answers on one connection."""

    def __init__(self) -> None:
        super().__init__(HttpResponseParser, LARGEST_ANSWER_HEAD)
        self.until_close = False
        """Whether only the end of the connection ends the answer under way."""
        self._interim = False
        self._bodiless = False

    def expect(self, method: str) -> None:
        """Note the method of the request whose answer comes next."""
        self._bodiless = method == "HEAD"

    def feed(self, data: bytes) -> Iterator[Head | Body | AnswerEnd]:
        """Take bytes and yield what is in them.

        Raises:
            BadMessage: The bytes are not valid HTTP/1.1.
        """
        if data:
            self._parse(data)
        while self._events:
            yield self._next()

    def _on_upgrade(self) -> None:
        self._end(BadMessage("another protocol was not asked for"))

    # Called by the parser.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._interim = self.until_close = False

    def on_headers_complete(self) -> None:
        self._end_head()
        status = self._parser.get_status_code()
        self._interim = 100 <= status < 200
        headers = self._headers
        headers.check_coding()
        if self._interim:
            return
        known = headers.values("content-length") or headers.values("transfer-encoding")
        self.until_close = not known and status not in (204, 304)
        self._events.append(Head(status, headers.lines()))
        if self._bodiless and known and known != ["0"]:
            # The parser does not know that no body follows, and takes the next
            # answer for one.
            self.begun = self.until_close = False
            self._over = True
            self._events.append(AnswerEnd(keep_alive=False))

    def on_body(self, data: bytes) -> None:
        if not (self._interim or self._over):
            self._events.append(Body(data))

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if not (self._interim or self._over):
            self._events.append(AnswerEnd(self._parser.should_keep_alive()))
