"""What each router tells the others of itself, and what one makes of it."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from greengageflow.core.endpoint_load import LoadShare

QUIET_S = 1.5
FORGET_S = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """The present state of one router; each report stands for itself.

    Args:
        host: Host name.
        boot: Start of the process; later ones are greater.
        number: Count of its reports.
        sequence: Count of its reports and notices.
        ip: IP number for reports.
        port: UDP port for reports.
        zone: Availability zone.
        stopping: It takes no more requests.
        served: Work begun lately by service and client account (faded sums).
        offered: Work asked for lately by service and client account.
        loads: What it has under way by endpoint.
        version: Configuration in force there.
        list_mark: Offset of the last change of the list of endpoints that it knows.
        heard_s: Seconds since its configuration was known to be the newest.
        list_heard_s: Seconds since its list was known to be the newest.
        placed: Prompt parts and the endpoints that they were sent to, lately.
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
    heard_s: float = float("inf")
    list_heard_s: float = float("inf")
    placed: tuple[tuple[str, str], ...] = ()
    peers: tuple[tuple[str, int], ...] = ()

    @property
    def address(self) -> tuple[str, int]:
        """IP number and UDP port."""
        return self.ip, self.port


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadNotice:
    """What changed at one router since its last report or notice.

    Args:
        host: Host name.
        boot: Start of the process.
        number: Number of the report that it adds to.
        sequence: Count of its reports and notices.
        loads: What it has under way now at the endpoints where that changed.
        placed: Prompt parts and the endpoints that they were sent to.
    """

    host: str
    boot: int
    number: int
    sequence: int
    loads: Mapping[str, LoadShare]
    placed: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class HeardReport:
    """A report and the time at which it came."""

    report: PeerReport
    at: float


class PeerBook:
    """The newest report of each other router.

    Args:
        host: This host, whose own reports are left out.
    """

    def __init__(self, host: str) -> None:
        self.revision = 0
        self._host = host
        self._heard: dict[str, HeardReport] = {}

    def put(self, now: float, report: PeerReport) -> bool:
        """Take a report; False when it is old or this host's own."""
        if report.host == self._host:
            return False
        known = self._heard.get(report.host)
        if known is not None:
            before = (known.report.boot, known.report.number)
            if (report.boot, report.number) <= before:
                return False
        self._heard[report.host] = HeardReport(report, now)
        self.revision += 1
        return True

    def add(self, notice: LoadNotice) -> bool:
        """Take a notice; False when the report that it adds to is not known."""
        known = self._heard.get(notice.host)
        if known is None:
            return False
        report = known.report
        if (report.boot, report.number) != (notice.boot, notice.number):
            return False
        if notice.sequence <= report.sequence:
            return False
        loads = {**report.loads, **notice.loads}
        report = replace(report, loads=loads, sequence=notice.sequence)
        self._heard[notice.host] = HeardReport(report, known.at)
        self.revision += 1
        return True

    def live(self, now: float) -> Iterator[HeardReport]:
        """Yield what was heard lately, and forget who was silent for long."""
        for host, heard in list(self._heard.items()):
            if now - heard.at <= QUIET_S:
                yield heard
            elif now - heard.at > FORGET_S:
                del self._heard[host]

    def count(self, now: float) -> int:
        """Return how many other routers were heard lately."""
        return sum(1 for _ in self.live(now))
