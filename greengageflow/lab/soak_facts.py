"""Records of callers, replicas and the operator in a soak run.

Times are monotonic seconds.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Any

Row = dict[str, Any]


class Kind(StrEnum):
    """Kind of a request; a probe requests the route that only one version has."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    CHAT = "chat"
    TALE = "tale"
    PROBE = "probe"


STREAM_KINDS = (Kind.CHAT, Kind.TALE)
AT_MOST_ONCE_KINDS = (Kind.UNSAFE, Kind.TALE)


class End(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    TORN = "torn"
    JUNK = "junk"
    SILENT = "silent"
    UNSENT = "unsent"
    LEFT = "left"


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request as recorded by its caller.

    Args:
        wanted: Number of events of a complete stream.
        version: Configuration version whose route a probe requests.
        life: Number of times the router had been started when the request was sent.
        opened: When the connection was opened.
        port: Local port of the caller's connection.
        first: Whether this is the first request on the connection.
        sent: Time just before the first byte was sent.
        ended: When the caller saw the end of the exchange.
        answer_id: Request id named in the answer.
        leaving: Whether the answer signals that the replica is leaving.
        events: Number and text of each event, in order of arrival.
        part: Shared prompt part beside the usual one, or empty.
        resumes: Record of the request whose stream this one takes up, or None.
    """

    id: str
    kind: Kind
    router: str
    key: str | None
    target: str
    deadline_s: float
    body_sha256: str
    wanted: int = 0
    version: int = 0
    life: int = 0
    opened: float = 0.0
    port: int = 0
    first: bool = False
    sent: float = 0.0
    ended: float = inf
    end: End = End.UNSENT
    status: int = 0
    answer_id: str = ""
    leaving: bool = False
    seal: str = ""
    body: bytes = b""
    events: list[tuple[int, str]] = field(default_factory=list)
    error: str = ""
    part: str = ""
    resumes: "RequestRecord | None" = None

    @property
    def first_request(self) -> "RequestRecord":
        """The request that brought the first event of the stream."""
        return self.resumes.first_request if self.resumes else self

    @property
    def last_event(self) -> int:
        """Number of the last event that the caller has received."""
        if self.events:
            return self.events[-1][0]
        return self.resumes.last_event if self.resumes else 0


@dataclass(slots=True, eq=False)
class Disruption:
    """Period of a fault on a process or link; ``planned`` means a SIGTERM."""

    name: str
    began: float
    ended: float = inf
    planned: bool = False


@dataclass(frozen=True, slots=True)
class ReplicaRemoval:
    """Replica whose removal the store acknowledged at ``acked``."""

    replica: str
    acked: float


@dataclass(slots=True)
class Evacuation:
    """Evacuation of a replica's zone.

    Args:
        place: Place of the only replica in the zone.
        acked: Time at which the store acknowledged it.
        ended: Time at which the operator took the zone back.
    """

    place: str
    acked: float
    ended: float = inf


@dataclass(slots=True)
class PoisonRequest:
    """A request that crashes every replica that runs it and that its caller retries.

    Args:
        body: Request body.
        crashed: Detection time of each replica crash that it caused.
        part: Name of the shared prompt part that crashes replicas, in requests that
            differ otherwise; empty if the whole request does.
    """

    body: str
    crashed: list[float] = field(default_factory=list)
    part: str = ""


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """Published configuration version and the key that it revoked."""

    version: int
    sent: float
    acked: float
    revoked: str = ""


@dataclass(frozen=True, slots=True)
class RefusedConnection:
    """Connection accepted by the fault proxy while its router was not listening."""

    router: str
    port: int
    at: float


@dataclass(slots=True)
class Facts:
    """All records of a run.

    Args:
        rows: Requests that arrived at replicas, as reported by the stand-ins.
        late: Scheduling delays of the test host: (time, seconds of delay).
    """

    asked: list[RequestRecord] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    troubles: list[Disruption] = field(default_factory=list)
    leavings: list[ReplicaRemoval] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    published: list[PublishedConfig] = field(default_factory=list)
    refused: list[RefusedConnection] = field(default_factory=list)
    poisoned: list[PoisonRequest] = field(default_factory=list)
    late: list[tuple[float, float]] = field(default_factory=list)

    def late_s(self, began: float, ended: float) -> float:
        """Return the longest scheduling delay of the test host around a span."""
        near = (s for at, s in self.late if began - 1.0 <= at <= ended + 1.0 + s)
        return max(near, default=0.0)

    def rows_by_id(self) -> dict[str, list[Row]]:
        """Return the replicas' rows, grouped by request id."""
        found: dict[str, list[Row]] = {}
        for row in self.rows:
            found.setdefault(row["id"], []).append(row)
        return found


def place_of(replica: str) -> str:
    """Return the place that a replica's incarnations share: app-0 for ``app-0.2``."""
    return replica.partition(".")[0]


def zone_of(replica: str) -> str:
    """Return the availability zone of a replica's place."""
    return f"zone-{place_of(replica)}"


def store_dependencies(router: str) -> set[str]:
    """Return the processes and links that a router needs to reach the store."""
    return {router, "store", f"store:{router}"}


def path_dependencies(record: RequestRecord, rows: list[Row]) -> set[str]:
    """Return the processes and links that a request depended on."""
    places = {place_of(row["replica"]) for row in rows}
    links = {f"link:{place}" for place in places}
    return (
        store_dependencies(record.router) | {f"front:{record.router}"} | places | links
    )
