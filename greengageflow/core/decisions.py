"""Decisions on configuration records."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Why a record was not accepted."""

    MALFORMED = "malformed"
    SCHEMA_NOT_ALLOWED = "schema_not_allowed"
    INVALID = "invalid"
    LOST = "lost"
    NOT_UNDERSTOOD = "not_understood"
    INCOMPLETE = "incomplete"
    REPEATED = "repeated"
    SNAPSHOT_KNOWN = "snapshot_known"
    SNAPSHOT_STALE = "snapshot_stale"
    SNAPSHOT_WRONG = "snapshot_wrong"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record took effect. Every router decides this alike."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record changes nothing. Every router decides this alike."""

    reason: Reason
    text: str


@dataclass(frozen=True, slots=True)
class Adopted:
    """The state came from a snapshot because earlier records were lost."""

    revision: int


@dataclass(frozen=True, slots=True)
class Skipped:
    """This router ignored the record. Other routers may decide differently."""

    reason: Reason
    text: str


Outcome = Accepted | Rejected | Adopted | Skipped


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on one record, kept for operators.

    Args:
        offset: Log offset of the record.
        author: Publisher as named in the record, or empty.
        nonce: Unique text by which the publisher recognizes its record, or empty.
        outcome: What was decided.
    """

    offset: int
    author: str
    nonce: str
    outcome: Outcome
