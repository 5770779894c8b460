"""What a follower reads from, and what it notes of the records."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from greengageflow.core.decisions import (
    Accepted,
    Adopted,
    Outcome,
    Reason,
    Rejected,
    Skipped,
)
from greengageflow.core.log_records import LogRecord
from greengageflow.events import Event, log


class ConfigLog(Protocol):
    """The part of the log client that the follower uses."""

    def read(
        self, stream: str, from_offset: int, wait_s: float, on_done: Callable
    ) -> None:
        """Call ``on_done`` with ``Records``, ``OffsetTrimmed`` or ``LogFailure``."""

    def append(self, stream: str, records: Sequence[Any], on_done: Callable) -> None:
        """Call ``on_done`` with ``Appended`` or ``LogFailure``."""


class SnapshotClock:
    """Knows when the state must be appended again.

    Copies do no harm, so a failed append is simply tried again when it is due.

    Args:
        interval_s: Time after which a snapshot is old, in seconds.
        start: Unix time from which the first one is due.
    """

    def __init__(self, interval_s: float, start: float) -> None:
        self.first_offset = 0
        self._interval_s = interval_s
        self._time = start
        self._offset = -1

    def note(self, record: LogRecord, outcome: Outcome) -> None:
        """Take note of a snapshot that is right."""
        match outcome:
            case Adopted() | Skipped(reason=Reason.SNAPSHOT_KNOWN):
                self._time = record.time
                self._offset = record.offset

    def due(self, now: float) -> bool:
        """Tell whether the newest snapshot is old or no longer in the log."""
        forgotten = self.first_offset > max(self._offset, 0)
        return forgotten or now - self._time >= self._interval_s


def log_outcome(offset: int, author: str, outcome: Outcome) -> None:
    """Log the event that tells what became of a record."""
    match outcome:
        case Accepted(revision):
            log(Event.CONFIG_ACCEPTED, revision=revision, author=author, offset=offset)
        case Rejected(reason, text):
            log(
                Event.CONFIG_REJECTED,
                offset=offset,
                author=author,
                reason=reason.value,
                text=text,
            )
        case Adopted(revision):
            log(Event.CONFIG_ADOPTED, revision=revision, source=f"snapshot {offset}")
        case Skipped(Reason.NOT_UNDERSTOOD, text):
            log(Event.CONFIG_HALTED, text=text)
        case Skipped(Reason.SNAPSHOT_WRONG, text):
            log(Event.SNAPSHOT_WRONG, offset=offset, author=author, text=text)
