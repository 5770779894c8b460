"""Estimates a node's cost of each role at a fleet size from measured slopes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import exp
from typing import Any

BUDGET_CPU_US_PER_S = 20_000.0
"""Microseconds of processor time per second: 2% of a core."""
BUDGET_BYTES_PER_S = 30_000.0
BUDGET_MEMORY_BYTES = 32e6
ACTION_STREAMS = 16
MAX_APPENDS_PER_STREAM_S = 10.0
KEY_RETENTION_S = 600.0
MAX_OWNED_ENDPOINTS = 8
MAX_OWNERS_PER_DEMAND = 16
RING_NEIGHBOURS = 18
COLLECTOR_CONNECTIONS = 37
IDLE_TIMEOUT_S = 10.0
MAX_WRITTEN_STREAMS = 2


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
    def keys_per_stream(self) -> float:
        """Idempotency keys that the writer of one stream remembers."""
        return self.requests * self.protected * KEY_RETENTION_S / ACTION_STREAMS

    @property
    def appends(self) -> float:
        """Appends per second of all protected actions, two records each."""
        records = 2 * self.requests * self.protected
        return min(ACTION_STREAMS * MAX_APPENDS_PER_STREAM_S, records)


class Slopes:
    """Lookup of measured slopes.

    Args:
        entries: The ``slopes`` object of the JSON file.
    """

    def __init__(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        self._entries = entries

    def slope(self, name: str) -> float:
        """Return the slope of a fitted line."""
        return self._entries[name]["slope"]

    def predict(self, name: str, driver: float) -> float:
        """Return the outcome predicted by the fitted line at ``driver``."""
        entry = self._entries[name]
        return entry["intercept"] + entry["slope"] * driver

    def outcomes(self, name: str) -> list[float]:
        """Return the measured outcomes of all points."""
        return [outcome for _, outcome in self._entries[name]["points"]]

    def measured_at(self, name: str, driver: float) -> float:
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
    def at_busiest(self) -> "Row":
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
        rate * s.slope("entry/requests/cpu_us"),
        rate * s.slope("entry/requests/bytes_out"),
        rate * s.slope("entry/requests/bytes_in"),
        rate * s.slope("entry/requests/messages_out"),
    )
    memory = s.slope("entry/waiting requests/memory_bytes") * 64 * size.backlogged
    name = "entry/backlogged accounts/"
    demand_bytes = s.predict(f"{name}bytes_out", size.backlogged)
    yield Row(
        "entry queue, backlog",
        "absolute demand at no more than 16 owners, told again every 4 to 8 s",
        s.predict(f"{name}cpu_us", size.backlogged),
        demand_bytes,
        demand_bytes,
        s.predict(f"{name}messages_out", size.backlogged),
        memory,
    )
    yield _owner_row(
        s, size, size.replicas / size.nodes, _owner_row(s, size, MAX_OWNED_ENDPOINTS)
    )


def _owner_row(
    s: Slopes, size: Size, endpoints: float, busiest: Row | None = None
) -> Row:
    grants = size.requests / size.replicas * endpoints
    owners = size.nodes * (1 - exp(-size.replicas / size.nodes))
    routers = MAX_OWNERS_PER_DEMAND * size.nodes / owners
    slots = size.requests * (size.answer_s + 1) / size.replicas * endpoints
    demand_memory = s.slope("owner/entry routers/memory_bytes") * routers
    return Row(
        "endpoint owner",
        "rendezvous owner grants to the account served least",
        grants * s.slope("owner/grants/cpu_us")
        + s.predict("owner/owned endpoints/cpu_us", endpoints),
        grants * s.slope("owner/grants/bytes_out"),
        grants * s.slope("owner/grants/bytes_in"),
        grants,
        slots * s.slope("owner/slots in use/memory_bytes") + demand_memory,
        busiest,
    )


def _fleet_rows(s: Slopes, size: Size) -> Iterator[Row]:
    def shares(which: str, memory: float, busiest: Row | None = None) -> Row:
        names = ("cpu_us", "bytes_out", "bytes_in", "messages_out")
        values = [
            s.measured_at(f"shares/routers/{n}_{which}", size.nodes) for n in names
        ]
        return Row(
            "service counters",
            "64 shards summed by zone; the interval grows with the fleet",
            *values,
            memory,
            busiest,
        )

    name = "shares/routers of the zone/memory_bytes"
    memory = s.predict(name, size.nodes / size.zones)
    yield shares("mean", memory, shares("busiest", memory))
    values = [
        s.predict(f"membership/members/{n}", size.nodes)
        for n in ("cpu_us", "bytes_out", "bytes_in", "messages_out")
    ]
    memory = s.predict("membership/members known/memory_bytes", size.nodes)
    yield Row(
        "membership, quiet", "probes of the ring, news riding on them", *values, memory
    )
    changes = (52 * 3 + 8 * 2) / 86_400
    cost = s.predict("view/members/member_lost_us", size.nodes)
    yield Row(
        "placement, 60 hosts a day",
        "rendezvous over one view; no election, no message",
        changes * cost,
        memory=s.predict("view/members/memory_bytes", size.nodes),
    )


def _config_rows(s: Slopes, size: Size) -> Iterator[Row]:
    name = "configuration/endpoints/"
    rate = size.changes / 86_400
    cost = s.predict(f"{name}fold_us", size.replicas)
    cost += s.predict(f"{name}take_over_us", size.replicas)
    state = s.predict(f"{name}state_bytes", size.replicas)
    yield Row(
        "configuration",
        "fold of the log; 2 readers a zone, others fetch a peer's state",
        rate * cost,
        rate * state,
        rate * state,
        2 * rate,
        2 * s.predict(f"{name}memory_bytes", size.replicas),
    )
    hosts = size.nodes + size.replicas
    interval = max(2.0, size.nodes / 5.0)
    yield Row(
        "host list",
        "5 readings a second by the whole fleet",
        s.predict("host list/hosts/cpu_us", hosts) / interval,
        0.0,
        s.predict("host list/hosts/bytes", hosts) / interval,
    )


def _action_rows(s: Slopes, size: Size) -> Iterator[Row]:
    rate = size.node_requests * size.protected
    name = "actions/actions a second/"
    yield Row(
        "protected actions, entry",
        "first intent in the log may send",
        rate * s.slope(f"{name}entry_cpu_us"),
        rate * s.slope(f"{name}entry_bytes_out"),
        rate * s.slope(f"{name}entry_bytes_in"),
        2 * rate,
    )
    yield _writer_row(
        s, size, ACTION_STREAMS / size.nodes, _writer_row(s, size, MAX_WRITTEN_STREAMS)
    )


def _writer_row(
    s: Slopes, size: Size, streams: float, busiest: Row | None = None
) -> Row:
    rate = size.requests * size.protected / ACTION_STREAMS * streams
    name = "actions/actions a second/"
    memory = size.keys_per_stream * s.slope("actions/keys/memory_bytes")
    return Row(
        "protected actions, writer",
        "16 streams, each with one writer that appends for all",
        rate * s.slope(f"{name}writer_cpu_us"),
        rate * s.slope(f"{name}writer_bytes_out"),
        rate * s.slope(f"{name}writer_bytes_in"),
        2 * rate,
        streams * memory,
        busiest,
    )


def connections(size: Size) -> float:
    """Return the expected number of open connections of a node in each direction.

    Idle connections are closed after 10 s. Within that time a node contacts one owner
    per request, 16 owners per backlogged account, its collectors and its ring
    neighbours.
    """
    owners = size.nodes * (1 - exp(-size.replicas / size.nodes))
    contacts = (
        IDLE_TIMEOUT_S * size.node_requests + MAX_OWNERS_PER_DEMAND * size.backlogged
    )
    return (
        owners * (1 - exp(-contacts / owners)) + COLLECTOR_CONNECTIONS + RING_NEIGHBOURS
    )


def _link_row(s: Slopes, size: Size, rows: list[Row]) -> Row:
    def link(messages: float, busiest: Row | None = None) -> Row:
        return Row(
            "link",
            "ZeroMQ, one connection a peer and way, closed when idle",
            messages * s.slope("link/messages a second/cpu_us"),
            memory=connections(size) * s.slope("link/connections/memory_bytes"),
            busiest=busiest,
        )

    busiest_messages = sum(row.at_busiest.messages for row in rows)
    return link(sum(row.messages for row in rows), link(busiest_messages))
