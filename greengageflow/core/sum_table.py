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

    def put(
        self,
        now: float,
        message: SumReport | SumDelta,
        sent_after: float = float("-inf"),
    ) -> SumOutcome:
        """Apply a full sum or a delta, which was not sent before ``sent_after``."""
        key = (message.host, message.fleet_wide)
        current = self._received.get(key)
        if current is not None and current.is_outdated(message.boot, message.number):
            return SumOutcome.OLD
        match message:
            case SumReport():
                self._received[key] = ReceivedSum(now, message, sent_after)
            case SumDelta() if current is None or current.has_gap_before(message):
                return SumOutcome.MISSED
            case SumDelta():
                try:
                    current.apply(now, message, sent_after)
                except LookupError:
                    return SumOutcome.MISSED
        return SumOutcome.NEW

    def placed(self, host: str, fleet_wide: bool) -> tuple[tuple[str, str], ...]:
        """Return the prompt parts and endpoints in the newest sum of a relay."""
        return self._received[host, fleet_wide].report.placed

    def zone_sums(self, now: float, own_zone: str) -> list[ReceivedSum]:
        """Return the newest sum of each other zone."""
        newest: dict[str, ReceivedSum] = {}
        for received in self._live(now, fleet_wide=False):
            zone = received.report.zone
            current = newest.get(zone)
            if zone != own_zone and (current is None or received.at > current.at):
                newest[zone] = received
        return list(newest.values())

    def fleet_sum(self, now: float) -> ReceivedSum | None:
        """Return the newest fleet sum, or None if all expired."""
        return max(
            self._live(now, fleet_wide=True), key=lambda row: row.at, default=None
        )

    def _live(self, now: float, *, fleet_wide: bool) -> list[ReceivedSum]:
        for key, received in list(self._received.items()):
            if now - received.at > QUIET_S:
                del self._received[key]
        return [row for key, row in self._received.items() if key[1] is fleet_wide]
