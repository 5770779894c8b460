"""Received sums, one for each relay and scope."""

from enum import Enum

from greengageflow.core.fleet_sums import QUIET_S, SumReport
from greengageflow.core.sum_changes import ReceivedSum, SumDelta


class SumOutcome(Enum):
    """Outcome of a received message."""

    NEW = "new"
    OLD = "old"
    MISSED = "missed"
    """Messages before it are missing: a full sum is needed."""


class SumTable:
    """The newest sum of each relay."""

    def __init__(self) -> None:
        self._received: dict[tuple[str, bool], ReceivedSum] = {}

    def put(self, now: float, message: SumReport | SumDelta) -> SumOutcome:
        """Apply a full sum or a delta."""
        key = (message.host, message.fleet_wide)
        current = self._received.get(key)
        if current is not None and current.is_outdated(message.boot, message.number):
            return SumOutcome.OLD
        match message:
            case SumReport():
                self._received[key] = ReceivedSum(now, message)
            case SumDelta() if current is None or current.has_gap_before(message):
                return SumOutcome.MISSED
            case SumDelta():
                try:
                    current.apply(now, message)
                except LookupError:
                    return SumOutcome.MISSED
        return SumOutcome.NEW

    def placed(self, host: str, fleet_wide: bool) -> tuple[tuple[str, str], ...]:
        """Return the prompt parts and endpoints in the newest sum of a relay."""
        return self._received[host, fleet_wide].report.placed

    def zone_sums(self, now: float, own_zone: str) -> list[tuple[SumReport, float]]:
        """Return the newest sum of each other zone with its arrival time."""
        newest: dict[str, tuple[SumReport, float]] = {}
        for report, at in self._live(now, fleet_wide=False):
            current = newest.get(report.zone)
            if report.zone != own_zone and (current is None or at > current[1]):
                newest[report.zone] = (report, at)
        return list(newest.values())

    def fleet_sum(self, now: float) -> tuple[SumReport, float] | None:
        """Return the newest fleet sum with its arrival time, or None if all expired."""
        return max(
            self._live(now, fleet_wide=True), key=lambda row: row[1], default=None
        )

    def _live(self, now: float, *, fleet_wide: bool) -> list[tuple[SumReport, float]]:
        for key, received in list(self._received.items()):
            if now - received.at > QUIET_S:
                del self._received[key]
        return [
            (row.report, row.at)
            for key, row in self._received.items()
            if key[1] is fleet_wide
        ]
