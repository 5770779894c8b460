"""Validation of the pieces of a streamed response.

A piece is one event of the stream, with a part of the generated text.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from greengageflow.net._sse import ServerEvent

END_MARKER = b"[DONE]"
_decode = json.JSONDecoder().decode


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of one request, as reported by the engine."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class Piece:
    """One validated piece of a streamed response.

    Args:
        seq: Sequence number, counted from 0.
        content: Text, possibly empty.
        finish_reason: Finish reason on the last piece, else None.
        usage: Token counts; the last piece may carry them.
        raw: The event as sent by the engine, to be forwarded unchanged.
    """

    seq: int
    content: str
    finish_reason: str | None
    usage: Usage | None
    raw: bytes


def parse_usage(value: Any) -> Usage | None:
    """Return the token counts in a JSON value, or None if it has none."""
    match value:
        case {"prompt_tokens": int(prompt), "completion_tokens": int(completion)}:
            return Usage(prompt, completion)
    return None


class InvalidStream(Exception):
    """The stream has a gap or an invalid piece and cannot continue."""


class RunRestarted(Exception):
    """A resumed stream does not go on, but is one of another run."""


class PieceFilter:
    """Passes only the pieces of one request, each once and in order.

    Args:
        request_id: Request id that the pieces must carry.

    Attributes:
        next_seq: Sequence number of the next piece.
        finished: True after the piece with the finish reason.
        done: True after the end marker ``[DONE]``.
        usage: Token counts of the last piece, if it had any.
        foreign: Number of dropped pieces of other requests.
        duplicates: Number of dropped duplicate pieces.
    """

    def __init__(self, request_id: str) -> None:
        self.next_seq = 0
        self.finished = False
        self.done = False
        self.usage: Usage | None = None
        self.foreign = 0
        self.duplicates = 0
        self._id = request_id
        self._is_resumed = False

    def on_resume(self) -> None:
        """Handle a resumption; its first piece must be the next one."""
        self._is_resumed = self.next_seq > 0 and not self.finished

    def pieces(self, events: Iterator[ServerEvent]) -> Iterator[Piece]:
        """Yield the valid pieces in ``events``, up to the end marker.

        Raises:
            InvalidStream: A piece is missing or invalid.
            RunRestarted: The pieces are those of a run that was started again.
        """
        for event in events:
            if event.data == END_MARKER:
                self.done = True
                return
            piece = self._check(event)
            if piece is not None:
                yield piece

    def _check(self, event: ServerEvent) -> Piece | None:
        try:
            document = _decode(str(event.data, "utf-8", "surrogatepass"))
            piece_id = document["id"]
            seq = int(document["seq"])
            choice = document["choices"][0]
            content = choice["delta"].get("content") or ""
            if not isinstance(content, str):
                raise TypeError("content is not a string")
            reason = choice.get("finish_reason")
        except (
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as exc:
            raise InvalidStream("invalid piece in the stream") from exc
        # Engines batch many requests. A piece of another request would show the
        # caller someone else's text; a late duplicate would repeat its own text.
        if piece_id != self._id:
            self.foreign += 1
            return None
        if self._is_resumed and seq < self.next_seq:
            raise RunRestarted(f"resumed at piece {seq}, not {self.next_seq}")
        self._is_resumed = False
        if seq < self.next_seq or self.finished:
            self.duplicates += 1
            return None
        if seq > self.next_seq:
            raise InvalidStream(f"piece {self.next_seq} is missing")
        self.next_seq += 1
        usage = parse_usage(document.get("usage"))
        if reason is not None:
            self.finished = True
            self.usage = usage
        return Piece(seq, content, reason, usage, event.raw)
