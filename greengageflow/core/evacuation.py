"""Availability zones that operators have evacuated, by the records of the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

RESTORE_HOLD_S = 10.0
"""Time for which evacuations that a restored store lacks stay in effect, in seconds.

Operators write again what the store has lost.
"""


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Newest known state of one zone.

    Args:
        zone: Availability zone.
        mark: Mark of the store's record, or of a snapshot that lacks one.
        evacuated: Whether the zone's endpoints get no new work.
    """

    zone: str
    mark: int
    evacuated: bool


@dataclass(frozen=True, slots=True)
class EvacuationReport:
    """A message to other hosts with the state of zones."""

    records: tuple[EvacuationRecord, ...]


class Evacuations:
    """The state of all zones that were ever evacuated.

    Records may arrive in any order and more than once; the highest mark wins.
    """

    def __init__(self) -> None:
        self._records: dict[str, EvacuationRecord] = {}
        self._release_at: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Zones that are evacuated."""
        return frozenset(r.zone for r in self._records.values() if r.evacuated)

    @property
    def records(self) -> tuple[EvacuationRecord, ...]:
        """All records, for other hosts."""
        return tuple(self._records.values())

    def apply(self, records: Iterable[EvacuationRecord]) -> frozenset[str]:
        """Apply records; return the zones that are no longer evacuated."""
        before = self.zones
        for record in records:
            known = self._records.get(record.zone)
            if known is None or record.mark > known.mark:
                self._records[record.zone] = record
                self._release_at.pop(record.zone, None)
        return before - self.zones

    def apply_snapshot(
        self, now: float, marks: Mapping[str, int], mark: int, *, restored: bool
    ) -> frozenset[str]:
        """Apply a snapshot of the store; return the zones that it releases.

        Args:
            now: Current time.
            marks: Marks of the evacuations in the snapshot, by zone.
            mark: Mark of the snapshot.
            restored: The store was restored from a copy, and may have lost records.
        """
        missing = self.zones - marks.keys()
        if restored:
            for zone in missing:
                self._release_at.setdefault(zone, now + RESTORE_HOLD_S)
            missing = frozenset()
        listed = (EvacuationRecord(zone, at, True) for zone, at in marks.items())
        absent = (EvacuationRecord(zone, mark, False) for zone in missing)
        return self.apply((*listed, *absent))

    def release_due(self, now: float) -> frozenset[str]:
        """Return the zones released since a restored store still lacks their record."""
        due = [zone for zone, at in self._release_at.items() if at <= now]
        records = [self._records[zone] for zone in due]
        return self.apply(EvacuationRecord(r.zone, r.mark + 1, False) for r in records)
