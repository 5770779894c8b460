"""State reports between routers, and the table that keeps the newest of each peer."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from greengageflow.core.endpoint_load import LoadShare

LIVE_TIMEOUT_S = 1.5
"""Seconds without a report after which a peer is no longer counted as live."""

REPORT_RETENTION_S = 10.0
"""Seconds without a report after which a peer's last report is deleted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """Complete current state of one router; replaces its earlier reports.

    Args:
        host: Host name.
        boot: Start time of the process; that of a later start is greater.
        number: Sequence number among its reports.
        sequence: Sequence number among its reports and notices.
        ip: IP address for reports.
        port: UDP port for reports.
        zone: Availability zone.
        stopping: It accepts no more requests.
        served: Work started lately by service and client account (decayed sums).
        offered: Work requested lately by service and client account (decayed sums).
        loads: Its load in flight by endpoint.
        version: Configuration in force there.
        list_mark: Offset up to which it has read the list of endpoints.
        config_age_s: Seconds since its configuration was confirmed as the newest.
        list_age_s: Seconds since its list was confirmed as the newest.
        placed: Prompt parts and the endpoints that they were sent to lately.
        peers: Addresses of some routers that it knows.
    """

    host: str
    boot: int
    number: int
    sequence: int = 0
    ip: str
    port: int
    zone: str
    stopping: bool = False
    served: Mapping[tuple[str, str], float] = field(default_factory=dict)
    offered: Mapping[tuple[str, str], float] = field(default_factory=dict)
    loads: Mapping[str, LoadShare] = field(default_factory=dict)
    version: int = 0
    list_mark: int = 0
    config_age_s: float = float("inf")
    list_age_s: float = float("inf")
    placed: tuple[tuple[str, str], ...] = ()
    peers: tuple[tuple[str, int], ...] = ()

    @property
    def address(self) -> tuple[str, int]:
        """IP address and UDP port."""
        return self.ip, self.port


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadNotice:
    """Changes of one router's load since its last report or notice.

    Args:
        host: Host name.
        boot: Start time of the process.
        number: Number of the report that it updates.
        sequence: Sequence number among the router's reports and notices.
        loads: New load at the endpoints where it changed.
        placed: Prompt parts and the endpoints that they were sent to.
    """

    host: str
    boot: int
    number: int
    sequence: int
    loads: Mapping[str, LoadShare]
    placed: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A received report.

    Args:
        report: The report.
        at: Arrival time.
        sent_after: Time before which it was not sent, see ``tick_echo``.
    """

    report: PeerReport
    at: float
    sent_after: float = float("-inf")


class PeerTable:
    """The newest report of each other router.

    Args:
        host: This host, whose own reports are ignored.
    """

    def __init__(self, host: str) -> None:
        self.revision = 0
        self._host = host
        self._received: dict[str, ReceivedReport] = {}

    def put(
        self, now: float, report: PeerReport, sent_after: float = float("-inf")
    ) -> bool:
        """Store a report; False when it is outdated or this host's own."""
        if report.host == self._host:
            return False
        current = self._received.get(report.host)
        if current is not None:
            before = (current.report.boot, current.report.number)
            if (report.boot, report.number) <= before:
                return False
        self._received[report.host] = ReceivedReport(report, now, sent_after)
        self.revision += 1
        return True

    def apply_notice(self, notice: LoadNotice) -> bool:
        """Apply a notice; False when it is outdated or its report is not the newest."""
        current = self._received.get(notice.host)
        if current is None:
            return False
        report = current.report
        if (report.boot, report.number) != (notice.boot, notice.number):
            return False
        if notice.sequence <= report.sequence:
            return False
        loads = {**report.loads, **notice.loads}
        report = replace(report, loads=loads, sequence=notice.sequence)
        self._received[notice.host] = replace(current, report=report)
        self.revision += 1
        return True

    def live(self, now: float) -> Iterator[ReceivedReport]:
        """Yield the reports of live peers, and delete those of long-silent ones."""
        for host, received in list(self._received.items()):
            if now - received.at <= LIVE_TIMEOUT_S:
                yield received
            elif now - received.at > REPORT_RETENTION_S:
                del self._received[host]

    def count(self, now: float) -> int:
        """Return the number of live peers."""
        return sum(1 for _ in self.live(now))
