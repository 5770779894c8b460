"""Incremental parser of server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
_FIELD = b"data:"


class EventTooLarge(Exception):
    """An unfinished event exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event.

    Args:
        raw: The event as received, including the blank line, with CRLF replaced by
            LF.
        data: Contents of the ``data`` fields, joined by LF.
    """

    raw: bytes
    data: bytes


def _data_of(block: bytes) -> bytes | None:
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    lines = [
        line.removeprefix(_FIELD).removeprefix(b" ")
        for line in block.split(b"\n")
        if line.startswith(_FIELD)
    ]
    return b"\n".join(lines) if lines else None


class EventStream:
    """Splits a byte stream into events; events without data are skipped.

    Args:
        limit: Maximum size of an unfinished event, in bytes.
    """

    def __init__(self, limit: int = MAX_EVENT_BYTES) -> None:
        self._limit = limit
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Yield the events completed by ``data``.

        Raises:
            EventTooLarge: An unfinished event exceeds the limit.
        """
        for block in self._blocks(data):
            content = _data_of(block)
            if content is not None:
                yield ServerEvent(block + b"\n\n", content)

    def _blocks(self, data: bytes) -> Iterator[bytes]:
        text = self._buffer + data
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n")
        *blocks, self._buffer = text.split(b"\n\n")
        if len(self._buffer) > self._limit:
            raise EventTooLarge(f"event larger than {self._limit} bytes")
        for block in blocks:
            yield block.lstrip(b"\n")
