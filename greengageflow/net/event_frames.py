"""Splits a stream of server-sent events into events without changing their bytes."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

FRAME_LIMIT = 1_048_576
_END = re.compile(rb"\r?\n\r?\n")
_NUMBER = re.compile(rb"(?:^|\n)id: ?(\d{1,18})\r?(?:\n|$)")


class FrameTooLarge(Exception):
    """An unfinished event exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One event.

    Args:
        raw: Bytes of the event, including the blank line.
        number: Numeric event id, or None.
    """

    raw: bytes
    number: int | None


class EventFrames:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def torn(self) -> bool:
        """Whether an unfinished event remains."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the events completed by ``data``.

        Raises:
            FrameTooLarge: An unfinished event exceeds the limit.
        """
        text = self._rest + data
        at = 0
        for end in _END.finditer(text):
            raw = text[at : end.end()]
            at = end.end()
            found = _NUMBER.search(raw)
            yield Frame(raw, int(found[1]) if found else None)
        self._rest = text[at:]
        if len(self._rest) > FRAME_LIMIT:
            raise FrameTooLarge(f"event larger than {FRAME_LIMIT} bytes")
