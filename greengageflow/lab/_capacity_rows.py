"""Estimates a node's cost of each role at a fleet size from measured slopes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import exp
from typing import Any

BUDGET_CPU = 20_000.0
"""Microseconds of processor time per second: 2% of a core."""
BUDGET_BYTES = 30_000.0
BUDGET_MEMORY = 32e6
STREAMS = 16
APPENDS_A_STREAM = 10.0
KEY_KEPT_S = 600.0
OWNED_MOST = 8
OWNERS_ASKED = 16
NEIGHBOURS = 18
COLLECTORS = 37
IDLE_S = 10.0
WRITTEN_MOST = 2


@dataclass(frozen=True, slots=True)
class Size:
    """Size and load of a fleet.

    Args:
        nodes: Routers.
        replicas: Endpoints.
        requests: Requests per second.
        tokens: Tokens per second.
        accounts: Client accounts.
        backlogged: Accounts that always have requests waiting.
        zones: Availability zones.
        changes: Configuration changes per day.
        gap_s: Seconds between two tokens of an answer.
        protected: Share of requests that are protected actions.
    """

    nodes: int = 360
    replicas: int = 600
    requests: float = 2700.0
    tokens: float = 1.3e6
    accounts: int = 200
    backlogged: int = 20
    zones: int = 7
    changes: int = 540
    gap_s: float = 0.032
    protected: float = 0.01

    @property
    def node_requests(self) -> float:
        """Requests per second at one node."""
        return self.requests / self.nodes

    @property
    def answer_s(self) -> float:
        """Streaming time of an answer, in seconds."""
        return self.tokens / self.requests * self.gap_s

    @property
    def in_flight(self) -> float:
        """Requests in flight at one node."""
        return self.node_requests * (self.answer_s + 1.0)

    @property
    def busy_accounts(self) -> float:
        """Expected accounts in service at one node, assuming equal request rates."""
        return self.accounts * (1 - exp(-self.in_flight / self.accounts))

    @property
    def keys_a_stream(self) -> float:
        """Idempotency keys that the writer of one stream remembers."""
        return self.requests * self.protected * KEY_KEPT_S / STREAMS

    @property
    def appends(self) -> float:
        """Appends per second of all protected actions, two records each."""
        records = 2 * self.requests * self.protected
        return min(STREAMS * APPENDS_A_STREAM, records)


class Slopes:
    """Lookup of measured slopes.

    Args:
        entries: The ``slopes`` object of the JSON file.
    """

    def __init__(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        self._entries = entries

    def of(self, name: str) -> float:
        """Return the slope of a fitted line."""
        return self._entries[name]["slope"]

    def at(self, name: str, driver: float) -> float:
        """Return the outcome predicted by the fitted line at ``driver``."""
        entry = self._entries[name]
        return entry["intercept"] + entry["slope"] * driver

    def all(self, name: str) -> list[float]:
        """Return the measured outcomes of all points."""
        return [outcome for _, outcome in self._entries[name]["points"]]

    def point(self, name: str, driver: float) -> float:
        """Return the outcome measured at ``driver``."""
        return dict(self._entries[name]["points"])[driver]


@dataclass(frozen=True, slots=True)
class Row:
    """Cost of one role on one node, per second except for memory.

    Args:
        role: Name of the role.
        mechanism: Mechanism that implements it.
        cpu: Processor time, in microseconds.
        out: Bytes sent.
        taken: Bytes received.
        messages: Messages sent.
        memory: Bytes held.
        busiest: The row of the busiest node, if it differs.
    """

    role: str
    mechanism: str
    cpu: float = 0.0
    out: float = 0.0
    taken: float = 0.0
    messages: float = 0.0
    memory: float = 0.0
    busiest: "Row | None" = None

    @property
    def most(self) -> "Row":
        """The row of the busiest node."""
        return self.busiest or self


def total(rows: list[Row], title: str) -> Row:
    """Return a row with the totals of all rows."""
    names = ("cpu", "out", "taken", "messages", "memory")
    return Row(title, "", *(sum(getattr(row, n) for row in rows) for n in names))


def rows_at(slopes: Slopes, size: Size) -> list[Row]:
    """Return one row for each role."""
    rows = [
        *_request_rows(slopes, size),
        *_fleet_rows(slopes, size),
        *_config_rows(slopes, size),
        *_action_rows(slopes, size),
    ]
    return [*rows, _link_row(slopes, size, rows)]


def _request_rows(s: Slopes, size: Size) -> Iterator[Row]:
    rate = size.node_requests
    yield Row(
        "entry queue, per request",
        "one owner asked first, late binding of the grant",
        rate * s.of("entry/requests/cpu_us"),
        rate * s.of("entry/requests/bytes_out"),
        rate * s.of("entry/requests/bytes_in"),
        rate * s.of("entry/requests/messages_out"),
    )
    held = s.of("entry/waiting requests/memory_bytes") * 64 * size.backlogged
    name = "entry/backlogged accounts/"
    demand_bytes = s.at(f"{name}bytes_out", size.backlogged)
    yield Row(
        "entry queue, backlog",
        "absolute demand at no more than 16 owners, told again every 4 to 8 s",
        s.at(f"{name}cpu_us", size.backlogged),
        demand_bytes,
        demand_bytes,
        s.at(f"{name}messages_out", size.backlogged),
        held,
    )
    yield _owner_row(
        s, size, size.replicas / size.nodes, _owner_row(s, size, OWNED_MOST)
    )


def _owner_row(
    s: Slopes, size: Size, endpoints: float, busiest: Row | None = None
) -> Row:
    grants = size.requests / size.replicas * endpoints
    owners = size.nodes * (1 - exp(-size.replicas / size.nodes))
    routers = OWNERS_ASKED * size.nodes / owners
    slots = size.requests * (size.answer_s + 1) / size.replicas * endpoints
    book = s.of("owner/entry routers/memory_bytes") * routers
    return Row(
        "endpoint owner",
        "rendezvous owner grants to the account served least",
        grants * s.of("owner/grants/cpu_us")
        + s.at("owner/owned endpoints/cpu_us", endpoints),
        grants * s.of("owner/grants/bytes_out"),
        grants * s.of("owner/grants/bytes_in"),
        grants,
        slots * s.of("owner/slots in use/memory_bytes") + book,
        busiest,
    )


def _fleet_rows(s: Slopes, size: Size) -> Iterator[Row]:
    def shares(which: str, memory: float, busiest: Row | None = None) -> Row:
        names = ("cpu_us", "bytes_out", "bytes_in", "messages_out")
        values = [s.point(f"shares/routers/{n}_{which}", size.nodes) for n in names]
        return Row(
            "service counters",
            "64 shards summed by zone; the interval grows with the fleet",
            *values,
            memory,
            busiest,
        )

    name = "shares/routers of the zone/memory_bytes"
    held = s.at(name, size.nodes / size.zones)
    yield shares("mean", held, shares("busiest", held))
    values = [
        s.at(f"membership/members/{n}", size.nodes)
        for n in ("cpu_us", "bytes_out", "bytes_in", "messages_out")
    ]
    held = s.at("membership/members known/memory_bytes", size.nodes)
    yield Row(
        "membership, quiet", "probes of the ring, news riding on them", *values, held
    )
    changes = (52 * 3 + 8 * 2) / 86_400
    cost = s.at("view/members/member_lost_us", size.nodes)
    yield Row(
        "placement, 60 hosts a day",
        "rendezvous over one view; no election, no message",
        changes * cost,
        memory=s.at("view/members/memory_bytes", size.nodes),
    )


def _config_rows(s: Slopes, size: Size) -> Iterator[Row]:
    name = "configuration/endpoints/"
    rate = size.changes / 86_400
    cost = s.at(f"{name}fold_us", size.replicas)
    cost += s.at(f"{name}take_over_us", size.replicas)
    state = s.at(f"{name}state_bytes", size.replicas)
    yield Row(
        "configuration",
        "fold of the log; 2 readers a zone, others fetch a peer's state",
        rate * cost,
        rate * state,
        rate * state,
        2 * rate,
        2 * s.at(f"{name}memory_bytes", size.replicas),
    )
    hosts = size.nodes + size.replicas
    interval = max(2.0, size.nodes / 5.0)
    yield Row(
        "host list",
        "5 readings a second by the whole fleet",
        s.at("host list/hosts/cpu_us", hosts) / interval,
        0.0,
        s.at("host list/hosts/bytes", hosts) / interval,
    )


def _action_rows(s: Slopes, size: Size) -> Iterator[Row]:
    rate = size.node_requests * size.protected
    name = "actions/actions a second/"
    yield Row(
        "protected actions, entry",
        "first intent in the log may send",
        rate * s.of(f"{name}entry_cpu_us"),
        rate * s.of(f"{name}entry_bytes_out"),
        rate * s.of(f"{name}entry_bytes_in"),
        2 * rate,
    )
    yield _writer_row(s, size, STREAMS / size.nodes, _writer_row(s, size, WRITTEN_MOST))


def _writer_row(
    s: Slopes, size: Size, streams: float, busiest: Row | None = None
) -> Row:
    rate = size.requests * size.protected / STREAMS * streams
    name = "actions/actions a second/"
    held = size.keys_a_stream * s.of("actions/keys/memory_bytes")
    return Row(
        "protected actions, writer",
        "16 streams, each with one writer that appends for all",
        rate * s.of(f"{name}writer_cpu_us"),
        rate * s.of(f"{name}writer_bytes_out"),
        rate * s.of(f"{name}writer_bytes_in"),
        2 * rate,
        streams * held,
        busiest,
    )


def connections(size: Size) -> float:
    """Return the expected number of open connections of a node in each direction.

    Idle connections are closed after 10 s. Within that time a node contacts one owner
    per request, 16 owners per backlogged account, its collectors and its ring
    neighbours.
    """
    owners = size.nodes * (1 - exp(-size.replicas / size.nodes))
    spoken = IDLE_S * size.node_requests + OWNERS_ASKED * size.backlogged
    return owners * (1 - exp(-spoken / owners)) + COLLECTORS + NEIGHBOURS


def _link_row(s: Slopes, size: Size, rows: list[Row]) -> Row:
    def link(messages: float, busiest: Row | None = None) -> Row:
        return Row(
            "link",
            "ZeroMQ, one connection a peer and way, closed when idle",
            messages * s.of("link/messages a second/cpu_us"),
            memory=connections(size) * s.of("link/connections/memory_bytes"),
            busiest=busiest,
        )

    most = sum(row.most.messages for row in rows)
    return link(sum(row.messages for row in rows), link(most))
