"""Records of the platform's log, and the results of appends and reads."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream.

    Args:
        offset: Position in the stream.
        time: Unix time at which it was appended, in seconds.
        record: The JSON value that was appended.
    """

    offset: int
    time: float
    record: Any


@dataclass(frozen=True, slots=True)
class Records:
    """Records that were read, in offset order."""

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class OffsetTrimmed:
    """The requested offset is older than the first retained record."""

    first_offset: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended, starting at ``first_offset``."""

    first_offset: int
    count: int


@dataclass(frozen=True, slots=True)
class LogFailure:
    """An append or a read failed.

    Args:
        effect_unknown: Whether the records may have been appended anyway.
        message: Description of the failure.
        retry_after_s: Delay before the next try that the log asked for, in seconds.
    """

    effect_unknown: bool
    message: str
    retry_after_s: float | None = None


ReadResult = Records | OffsetTrimmed | LogFailure
AppendResult = Appended | LogFailure
