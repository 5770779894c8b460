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
        self._heard: dict[tuple[str, bool], ReceivedSum] = {}

    def put(self, now: float, message: SumReport | SumDelta) -> SumOutcome:
        """Apply a full sum or a delta."""
        key = (message.host, message.whole)
        known = self._heard.get(key)
        if known is not None and known.is_old(message.boot, message.number):
            return SumOutcome.OLD
        match message:
            case SumReport():
                self._heard[key] = ReceivedSum(now, message)
            case SumDelta() if known is None or known.lacks(message):
                return SumOutcome.MISSED
            case SumDelta():
                try:
                    known.apply(now, message)
                except LookupError:
                    return SumOutcome.MISSED
        return SumOutcome.NEW

    def placed(self, host: str, whole: bool) -> tuple[tuple[str, str], ...]:
        """Return the prompt parts and endpoints in the newest sum of a relay."""
        return self._heard[host, whole].report.placed

    def zones(self, now: float, own: str) -> list[tuple[SumReport, float]]:
        """Return the newest sum of each other zone with its arrival time."""
        newest: dict[str, tuple[SumReport, float]] = {}
        for report, at in self._live(now, whole=False):
            known = newest.get(report.zone)
            if report.zone != own and (known is None or at > known[1]):
                newest[report.zone] = (report, at)
        return list(newest.values())

    def whole(self, now: float) -> tuple[SumReport, float] | None:
        """Return the newest fleet sum with its arrival time, or None if all expired."""
        return max(self._live(now, whole=True), key=lambda row: row[1], default=None)

    def _live(self, now: float, *, whole: bool) -> list[tuple[SumReport, float]]:
        for key, heard in list(self._heard.items()):
            if now - heard.at > QUIET_S:
                del self._heard[key]
        return [(h.report, h.at) for key, h in self._heard.items() if key[1] is whole]
