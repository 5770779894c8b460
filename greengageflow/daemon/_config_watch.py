"""Log interface, snapshot schedule and event logging of the config follower."""

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


class SnapshotSchedule:
    """Decides when a snapshot of the state must be appended to the log.

    Duplicate snapshots are harmless, so a failed append is retried at the next check.

    Args:
        interval_s: Maximum age of the newest snapshot, in seconds.
        start_time: Unix time from which the first interval is measured.
    """

    def __init__(self, interval_s: float, start_time: float) -> None:
        self.first_offset = 0
        self._interval_s = interval_s
        self._snapshot_time = start_time
        self._snapshot_offset = -1

    def on_outcome(self, record: LogRecord, outcome: Outcome) -> None:
        """Record the time and offset of a valid snapshot."""
        match outcome:
            case Adopted() | Skipped(reason=Reason.SNAPSHOT_KNOWN):
                self._snapshot_time = record.time
                self._snapshot_offset = record.offset

    def is_due(self, now: float) -> bool:
        """Return whether the newest snapshot is too old or trimmed from the log."""
        trimmed = self.first_offset > max(self._snapshot_offset, 0)
        return trimmed or now - self._snapshot_time >= self._interval_s


def log_outcome(offset: int, author: str, outcome: Outcome) -> None:
    """Log the event for the outcome of a record."""
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
