"""Hierarchical aggregation of router reports.

In a large fleet a router does not receive the reports of all others. Each one reports
to the relays of its availability zone. A relay aggregates its zone, exchanges the sum
with the relays of other zones, and sends the sum of the fleet to its zone. A router
then subtracts its own part: the sum names the newest of its messages that it includes.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from greengageflow.core.endpoint_load import LoadShare, load_shares

AccountKey = tuple[str, str]
QUIET_S = 1.0
"""Seconds after which a received sum expires."""

HISTORY_MESSAGES = 64
"""Own messages whose totals are kept, to be subtracted from sums."""

MIN_RELAY_TURNS = 2
MAX_RELAY_TURNS = 8
HOSTS_PER_TURN = 40


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """Sum of the reports of several routers.

    Args:
        served: Work started lately by service and client account.
        offered: Work requested lately by service and client account.
        loads: Load in flight by endpoint.
        hosts: Routers that are included.
    """

    served: Mapping[AccountKey, float] = field(default_factory=dict)
    offered: Mapping[AccountKey, float] = field(default_factory=dict)
    loads: Mapping[str, LoadShare] = field(default_factory=dict)
    hosts: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SumReport:
    """Full sum of a relay: that of its zone, or that of the whole fleet.

    Args:
        host: The relay.
        boot: Start time of its process.
        number: Sequence number of the sum.
        base: Number of the sum at which the relay's tables were last reset, see
            ``sum_changes``.
        zone: Its availability zone.
        fleet_wide: It is the sum of all zones, not that of one.
        totals: The totals.
        included: Sequence of the newest message that is included, by host of the zone.
        work_included: The same for the work, which is updated less often; set by the
            receiver, not sent, see ``sum_changes``.
        version: Newest configuration that an included router has.
        list_mark: Newest offset up to which one has read the list of endpoints.
        config_age_s: Seconds since that configuration was confirmed as the newest.
        list_age_s: Seconds since that list was confirmed as the newest.
        placed: Prompt parts and the endpoints that they were sent to lately.
    """

    host: str
    boot: int
    number: int
    zone: str
    fleet_wide: bool
    totals: FleetTotals
    included: Mapping[str, int] = field(default_factory=dict)
    work_included: Mapping[str, int] = field(default_factory=dict)
    base: int = 0
    version: int = 0
    list_mark: int = 0
    config_age_s: float = float("inf")
    list_age_s: float = float("inf")
    placed: tuple[tuple[str, str], ...] = ()


def relay_turns(hosts: int) -> int:
    """Return the turns between two sums of a relay, in a fleet of ``hosts``.

    The cost of a sum grows with the fleet, and so does the number of its receivers;
    from 120 hosts on sums are sent less often. One lost sum must not make a relay
    appear dead, so two of the longest intervals are shorter than ``QUIET_S``.
    """
    return min(MAX_RELAY_TURNS, max(MIN_RELAY_TURNS, hosts // HOSTS_PER_TURN))


def merge(parts: Iterable[FleetTotals]) -> FleetTotals:
    """Return the sum of several totals."""
    served: dict[AccountKey, float] = defaultdict(float)
    offered: dict[AccountKey, float] = defaultdict(float)
    all_parts = list(parts)
    hosts = 0
    for part in all_parts:
        hosts += part.hosts
        for key, work in part.served.items():
            served[key] += work
        for key, work in part.offered.items():
            offered[key] += work
    return FleetTotals(served, offered, sum_loads(p.loads for p in all_parts), hosts)


def sum_loads(parts: Iterable[Mapping[str, LoadShare]]) -> dict[str, LoadShare]:
    """Return the sum of several routers' loads, by endpoint."""
    sums: dict[str, list[float]] = {}
    for part in parts:
        for endpoint, (running, reading, memory) in part.items():
            total = sums.get(endpoint)
            if total is None:
                sums[endpoint] = [running, reading, memory]
            else:
                total[0] += running
                total[1] += reading
                total[2] += memory
    return dict(zip(sums, load_shares(sums.values()), strict=True))


def subtract_totals(total: FleetTotals, own: FleetTotals) -> FleetTotals:
    """Return totals minus one router's part, clamped at 0."""

    def minus(
        sums: Mapping[AccountKey, float], part: Mapping[AccountKey, float]
    ) -> dict[AccountKey, float]:
        rest = dict(sums)
        rest.update(
            (key, max(0.0, sums[key] - x)) for key, x in part.items() if key in sums
        )
        return rest

    return FleetTotals(
        minus(total.served, own.served),
        minus(total.offered, own.offered),
        subtract_loads(total.loads, own.loads),
        max(0, total.hosts - own.hosts),
    )


def subtract_loads(
    total: Mapping[str, LoadShare], own: Mapping[str, LoadShare]
) -> dict[str, LoadShare]:
    """Return loads minus one router's part, clamped at 0."""
    loads = dict(total)
    for name, (running, reading, memory) in own.items():
        if name in loads:
            a, b, c = loads[name]
            loads[name] = LoadShare(
                max(0, a - running), max(0.0, b - reading), max(0.0, c - memory)
            )
    return loads


class OwnHistory:
    """The last totals that this router reported of itself, by sequence."""

    def __init__(self) -> None:
        self._entries: deque[tuple[int, FleetTotals]] = deque(maxlen=HISTORY_MESSAGES)

    def record(self, sequence: int, totals: FleetTotals) -> None:
        """Record the totals of a report or notice."""
        self._entries.append((sequence, totals))

    def as_of(self, sequence: int) -> FleetTotals:
        """Return the totals as of ``sequence``, empty ones when it is not known."""
        for entry_sequence, totals in reversed(self._entries):
            if entry_sequence <= sequence:
                return totals
        return FleetTotals()
