"""Serialization of request and response heads and of chunks."""

import re
from collections.abc import Iterable
from functools import lru_cache
from http import HTTPStatus
from time import time
from wsgiref.handlers import format_date_time

Header = tuple[str, str]

CONTINUE_RESPONSE = b"HTTP/1.1 100 \r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
_REASONS = {status.value: status.phrase for status in HTTPStatus}
_TOKEN = re.compile(r"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"[\x21-\x7e]+")


class BadHead(ValueError):
    """The head to be sent is not valid HTTP/1.1."""


def request_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Return the request line and headers.

    Raises:
        BadHead: Method, target or a header is not valid.
    """
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(target):
        raise BadHead(f"invalid method or target: {method!r} {target!r}")
    return _head(f"{method} {target} HTTP/1.1", headers)


def response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return the status line and headers of a response.

    Raises:
        BadHead: A header is not valid.
    """
    return _head(f"HTTP/1.1 {status} {_REASONS.get(status, '')}", headers)


def _head(start_line: str, headers: Iterable[Header]) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    head = "\r\n".join(lines).encode("latin-1", "replace")
    # An extra line end would start another header or message (header injection).
    line_ends = len(lines) - 1
    if (
        head.count(b"\n") != line_ends
        or head.count(b"\r") != line_ends
        or b"\0" in head
    ):
        raise BadHead(f"line end or NUL in {start_line!r} or its headers")
    return head


def chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def date_header() -> Header:
    """Return the ``Date`` header for the current time."""
    return "Date", _date(int(time()))


@lru_cache(maxsize=2)
def _date(second: int) -> str:
    return format_date_time(second)
