"""What callers, replicas and the operator saw in a soak; seconds are monotonic."""

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Any

Row = dict[str, Any]


class Kind(StrEnum):
    """Kind of a request; a probe asks for the route that one version has."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    CHAT = "chat"
    TALE = "tale"
    PROBE = "probe"


STREAMS = (Kind.CHAT, Kind.TALE)
ONCE = (Kind.UNSAFE, Kind.TALE)


class End(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    TORN = "torn"
    JUNK = "junk"
    SILENT = "silent"
    UNSENT = "unsent"
    LEFT = "left"


@dataclass(slots=True, eq=False)
class Asked:
    """One request as its caller saw it.

    Args:
        wanted: Events of a whole stream.
        version: Configuration whose route a probe asks for.
        life: Number of starts of the router when the request was sent.
        opened: When its connection was opened.
        port: Caller's port of its connection.
        first: Whether it was the first on its connection.
        sent: Just before its first byte was sent.
        ended: When the caller saw its end.
        answer_id: Id of the request that the answer names.
        leaving: The answer says that its replica leaves.
        events: Number and text of each event, as they came.
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


@dataclass(slots=True, eq=False)
class Trouble:
    """A time in which a process or link was harmed; ``planned``: by a SIGTERM."""

    name: str
    began: float
    ended: float = inf
    planned: bool = False


@dataclass(frozen=True, slots=True)
class Leaving:
    """A replica whose leaving the store had acknowledged at ``acked``."""

    replica: str
    acked: float


@dataclass(slots=True)
class Poisoned:
    """A request that crashes each replica that runs it, repeated by its caller.

    Args:
        body: Its body.
        crashed: When each replica was seen to have crashed under it.
    """

    body: str
    crashed: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Published:
    """A configuration, and the key that it took away."""

    version: int
    sent: float
    acked: float
    revoked: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """A connection that the fault proxy took for a router that did not listen."""

    router: str
    port: int
    at: float


@dataclass(slots=True)
class Facts:
    """All that was seen in a run.

    Args:
        rows: Requests that came to replicas, as the stand-ins tell them.
        late: When the machine was late, and by how much: (time, seconds).
    """

    asked: list[Asked] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)
    poisoned: list[Poisoned] = field(default_factory=list)
    late: list[tuple[float, float]] = field(default_factory=list)

    def late_s(self, began: float, ended: float) -> float:
        """Return by how many seconds the machine was late around a span."""
        near = (s for at, s in self.late if began - 1.0 <= at <= ended + 1.0 + s)
        return max(near, default=0.0)

    def rows_by_id(self) -> dict[str, list[Row]]:
        """Return the replicas' rows of each request."""
        found: dict[str, list[Row]] = {}
        for row in self.rows:
            found.setdefault(row["id"], []).append(row)
        return found


def place_of(replica: str) -> str:
    """Return the place that a replica's incarnations share: ``app-0.2``, app-0."""
    return replica.partition(".")[0]


def store_names(router: str) -> set[str]:
    """Return the names without which a router cannot hear the store."""
    return {router, "store", f"store:{router}"}


def path_names(asked: Asked, rows: list[Row]) -> set[str]:
    """Return the processes and links that one request depended on."""
    places = {place_of(row["replica"]) for row in rows}
    links = {f"link:{place}" for place in places}
    return store_names(asked.router) | {f"front:{asked.router}"} | places | links
