"""Deterministic fold of the configuration log into the configuration in force.

Routers that have folded the same prefix of the log hold the same state without any
coordination. The result therefore depends on nothing local: not on the clock, the
host or the software version. A record that this release cannot interpret halts the
fold; its meaning is never guessed.
"""

from collections import deque
from dataclasses import dataclass, replace
from typing import Any

from greengageflow.core._schema_common import DEFAULT_POLICY
from greengageflow.core.catalog import FleetConfig
from greengageflow.core.decisions import (
    Accepted,
    Adopted,
    Decision,
    Outcome,
    Reason,
    Rejected,
    Skipped,
)
from greengageflow.core.schema import (
    BASE_SCHEMA,
    SCHEMAS,
    AllowSchemaRecord,
    ConfigRecord,
    Head,
    RecordKind,
    SnapshotRecord,
    parse_head,
    parse_record,
    snapshot_document,
)

CONFIG_STREAM = "config"
HISTORY_LENGTH = 100
_MAX_FAULTS_SHOWN = 5


@dataclass(frozen=True, slots=True)
class State:
    """Result of folding a prefix of the log.

    Args:
        config: Configuration in force.
        highest: Highest schema version that may be published.
        offset: Offset of the last record folded; -1 before the first.
    """

    config: FleetConfig = FleetConfig(policy=DEFAULT_POLICY)
    highest: int = BASE_SCHEMA
    offset: int = -1

    @property
    def revision(self) -> int:
        """Number of accepted records."""
        return self.config.revision


class Fold:
    """Folds records into the configuration in force.

    Args:
        supported_schemas: Schema versions that this release supports. Only tests pass
            fewer than all.
        history_length: Number of latest decisions kept for operators.
    """

    def __init__(
        self,
        *,
        supported_schemas: frozenset[int] = frozenset(SCHEMAS),
        history_length: int = HISTORY_LENGTH,
    ) -> None:
        self.supported_schemas = supported_schemas
        self._state = State()
        self._history: deque[Decision] = deque(maxlen=history_length)
        self._trimmed_before = 0
        self._scanned_offset = -1
        self.halted = ""

    @property
    def state(self) -> State:
        """State after the last record folded."""
        return self._state

    @property
    def config(self) -> FleetConfig:
        """Configuration in force."""
        return self._state.config

    @property
    def offset(self) -> int:
        """Offset of the last record folded; -1 before the first."""
        return self._state.offset

    @property
    def complete(self) -> bool:
        """Whether all earlier records are folded, so that new ones can be decided.

        False after records were trimmed from the log before they were read here.
        """
        return self._trimmed_before <= self.offset + 1

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self.offset + 1 if self.complete else self._scanned_offset + 1

    @property
    def history(self) -> tuple[Decision, ...]:
        """The latest decisions, oldest first."""
        return tuple(self._history)

    def skip_to(self, first_offset: int) -> None:
        """Record that the log was trimmed and now begins at ``first_offset``."""
        if first_offset > self.next_offset:
            self._trimmed_before = first_offset
            self._scanned_offset = first_offset - 1

    def apply(self, offset: int, value: Any) -> Outcome:
        """Decide on the record at ``offset`` and fold it if it is accepted.

        Args:
            offset: Log offset of the record. Below ``next_offset`` it is a
                duplicate, which changes nothing.
            value: The record's JSON value.

        Raises:
            ValueError: ``offset`` is above ``next_offset``.
        """
        if offset > self.next_offset:
            raise ValueError(
                f"record {offset} is out of order after {self.next_offset - 1}"
            )
        if offset < self.next_offset:
            return Skipped(Reason.REPEATED, "already folded")
        outcome = self._decide(offset, value)
        if self.halted:
            return outcome
        self._history.append(_decision(offset, value, outcome))
        match outcome:
            case Adopted():
                pass
            case _ if self.complete:
                self._state = replace(self._state, offset=offset)
            case _:
                self._scanned_offset = offset
        return outcome

    def restore(self, value: Any) -> bool:
        """Adopt a peer's snapshot if it is newer; return whether it was adopted.

        Args:
            value: JSON value as returned by ``snapshot``.

        Raises:
            ExceptionGroup: The value is not a valid snapshot.
        """
        head = parse_head(value)
        if (
            head.schema not in self.supported_schemas
            or head.kind is not RecordKind.SNAPSHOT
        ):
            return False
        return self._adopt(parse_record(value, head))

    def snapshot(self, author: str) -> dict[str, Any]:
        """Return the state as a snapshot record for the log or for a peer."""
        record = SnapshotRecord(
            revision=self._state.revision,
            through_offset=self.offset,
            config_offset=self.config.offset,
            highest=self._state.highest,
            schema=self._snapshot_schema,
            form=None,
            author=author,
        )
        return snapshot_document(record, self.config)

    @property
    def _snapshot_schema(self) -> int:
        """Highest allowed schema that is supported here; it expresses all state."""
        return max(n for n in self.supported_schemas if n <= self._state.highest)

    def _decide(self, offset: int, value: Any) -> Outcome:
        try:
            head = parse_head(value)
        except ExceptionGroup as exc:
            return self._reject_or_skip(Reason.MALFORMED, _join_faults(exc))
        if head.kind is RecordKind.SNAPSHOT:
            return self._decide_snapshot(offset, value, head)
        if not self.complete:
            text = f"records before {self._trimmed_before} are lost"
            return Skipped(Reason.INCOMPLETE, text)
        if head.schema > self._state.highest:
            return Rejected(
                Reason.SCHEMA_NOT_ALLOWED,
                f"schema {head.schema}, but {self._state.highest} is the highest"
                " allowed",
            )
        if head.schema not in self.supported_schemas:
            return self._halt(offset, head)
        try:
            record = parse_record(value, head)
        except ExceptionGroup as exc:
            return Rejected(Reason.INVALID, _join_faults(exc))
        return self._decide_change(offset, record)

    def _reject_or_skip(self, reason: Reason, text: str) -> Outcome:
        return Rejected(reason, text) if self.complete else Skipped(reason, text)

    def _halt(self, offset: int, head: Head) -> Outcome:
        # Guessing what an allowed but unsupported schema means would make this
        # router's configuration diverge, so it keeps the current one.
        self.halted = (
            f"record {offset} has schema {head.schema}, which this release does not"
            " understand"
        )
        return Skipped(Reason.NOT_UNDERSTOOD, self.halted)

    def _decide_change(
        self, offset: int, record: ConfigRecord | AllowSchemaRecord
    ) -> Outcome:
        state = self._state
        if record.replaces != state.revision:
            return Rejected(
                Reason.LOST,
                f"replaces revision {record.replaces}, but {state.revision} is in"
                " force",
            )
        revision = state.revision + 1
        match record:
            case ConfigRecord():
                merged = SCHEMAS[record.schema].merge(state.config, record.form)
                config = replace(merged, revision=revision, offset=offset)
                self._state = replace(state, config=config)
            case AllowSchemaRecord() if record.highest <= state.highest:
                return Rejected(
                    Reason.INVALID,
                    f"highest: expected more than {state.highest}, which is allowed"
                    " already",
                )
            case AllowSchemaRecord():
                config = replace(state.config, revision=revision, offset=offset)
                self._state = replace(state, config=config, highest=record.highest)
        return Accepted(revision)

    def _decide_snapshot(self, offset: int, value: Any, head: Head) -> Outcome:
        if head.schema not in self.supported_schemas:
            return Skipped(Reason.NOT_UNDERSTOOD, f"snapshot of schema {head.schema}")
        try:
            record = parse_record(value, head)
        except ExceptionGroup as exc:
            return self._reject_or_skip(Reason.INVALID, _join_faults(exc))
        if self.complete:
            return self._compare_snapshot(record)
        if record.through_offset + 1 < self._trimmed_before:
            text = (
                f"ends at {record.through_offset}, lost before {self._trimmed_before}"
            )
            return Skipped(Reason.SNAPSHOT_STALE, text)
        if record.through_offset < offset and self._adopt(record):
            return Adopted(self._state.revision)
        return Skipped(Reason.SNAPSHOT_WRONG, "does not extend the state folded here")

    def _compare_snapshot(self, record: SnapshotRecord) -> Outcome:
        """Compare a snapshot with the folded state, which is kept in any case."""
        if record.revision < self._state.revision:
            return Skipped(Reason.SNAPSHOT_STALE, f"revision {record.revision}")
        expected = replace(self._state, offset=record.through_offset)
        if _state_from_snapshot(record) != expected:
            text = f"revision {record.revision} differs from the folded one"
            return Skipped(Reason.SNAPSHOT_WRONG, text)
        return Skipped(Reason.SNAPSHOT_KNOWN, f"revision {record.revision}")

    def _adopt(self, record: SnapshotRecord) -> bool:
        newer = record.through_offset > self.offset
        if not newer or record.revision < self._state.revision:
            return False
        self._state = _state_from_snapshot(record)
        self.halted = ""
        return True


def _state_from_snapshot(record: SnapshotRecord) -> State:
    merged = SCHEMAS[record.schema].merge(State().config, record.form)
    config = replace(merged, revision=record.revision, offset=record.config_offset)
    return State(config, record.highest, record.through_offset)


def _decision(offset: int, value: Any, outcome: Outcome) -> Decision:
    author, nonce = (_string_field(value, name) for name in ("author", "nonce"))
    return Decision(offset, author, nonce, outcome)


def _string_field(value: Any, name: str) -> str:
    text = value.get(name, "") if type(value) is dict else ""
    return text[:256] if type(text) is str else ""


def _join_faults(group: ExceptionGroup) -> str:
    shown = [str(exc) for exc in group.exceptions[:_MAX_FAULTS_SHOWN]]
    more = len(group.exceptions) - len(shown)
    if more:
        shown.append(f"and {more} more")
    return "; ".join(shown)
