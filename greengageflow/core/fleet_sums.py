"""Sums of what many routers tell, so that none has to hear all of them.

In a large fleet each router tells the relays of its availability zone. A relay adds
up its zone, exchanges the sum with the relays of other zones, and tells its zone the
sums of all. A router takes its own part off again: the sum says which of its messages
it counts.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from greengageflow.core.endpoint_load import LoadShare, load_shares

AccountKey = tuple[str, str]
QUIET_S = 1.0
KEPT = 64
LEAST_RELAY_TURNS = 2
MOST_RELAY_TURNS = 8
HOSTS_A_TURN = 40


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """What routers told lately, added up.

    Args:
        served: Work begun lately by service and client account.
        offered: Work asked for lately by service and client account.
        loads: Requests under way by endpoint.
        hosts: Routers that are counted.
    """

    served: Mapping[AccountKey, float] = field(default_factory=dict)
    offered: Mapping[AccountKey, float] = field(default_factory=dict)
    loads: Mapping[str, LoadShare] = field(default_factory=dict)
    hosts: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SumReport:
    """What a relay tells: the sum of its zone, or that of the whole fleet.

    Args:
        host: The relay.
        boot: Start of its process.
        number: Count of its sums.
        base: Number of the sum with which its tables began, see ``sum_changes``.
        zone: Its availability zone.
        whole: It is the sum of all zones.
        totals: The sums.
        counted: Sequence of the newest message that is counted, by host of the zone.
        work_counted: The same when the work was told; not sent, see ``sum_changes``.
        version: Newest configuration that a counted router knows.
        list_mark: Offset of the last change of the list that one knows.
        heard_s: Seconds since that configuration was known to be the newest.
        list_heard_s: The same of the list.
        placed: Prompt parts and the endpoints that they were sent to lately.
    """

    host: str
    boot: int
    number: int
    zone: str
    whole: bool
    totals: FleetTotals
    counted: Mapping[str, int] = field(default_factory=dict)
    work_counted: Mapping[str, int] = field(default_factory=dict)
    base: int = 0
    version: int = 0
    list_mark: int = 0
    heard_s: float = float("inf")
    list_heard_s: float = float("inf")
    placed: tuple[tuple[str, str], ...] = ()


def relay_turns(hosts: int) -> int:
    """Return the turns from one sum of a relay to the next, in a fleet of ``hosts``.

    What a sum costs grows with the fleet, and so does the number of sums; from 120
    hosts on they become rarer. One that is lost must not make a relay seem silent,
    so that two of the longest intervals stay below ``QUIET_S``.
    """
    return min(MOST_RELAY_TURNS, max(LEAST_RELAY_TURNS, hosts // HOSTS_A_TURN))


def merge(parts: Iterable[FleetTotals]) -> FleetTotals:
    """Return the sum of several sums."""
    served: dict[AccountKey, float] = defaultdict(float)
    offered: dict[AccountKey, float] = defaultdict(float)
    known = list(parts)
    hosts = 0
    for part in known:
        hosts += part.hosts
        for key, work in part.served.items():
            served[key] += work
        for key, work in part.offered.items():
            offered[key] += work
    return FleetTotals(served, offered, sum_loads(p.loads for p in known), hosts)


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


def without(whole: FleetTotals, own: FleetTotals) -> FleetTotals:
    """Return a sum less one router's part; nothing falls below 0."""

    def less(
        sums: Mapping[AccountKey, float], part: Mapping[AccountKey, float]
    ) -> dict[AccountKey, float]:
        left = dict(sums)
        left.update(
            (key, max(0.0, sums[key] - x)) for key, x in part.items() if key in sums
        )
        return left

    return FleetTotals(
        less(whole.served, own.served),
        less(whole.offered, own.offered),
        loads_without(whole.loads, own.loads),
        max(0, whole.hosts - own.hosts),
    )


def loads_without(
    whole: Mapping[str, LoadShare], own: Mapping[str, LoadShare]
) -> dict[str, LoadShare]:
    """Return loads less one router's part; nothing falls below 0."""
    loads = dict(whole)
    for name, (running, reading, memory) in own.items():
        if name in loads:
            a, b, c = loads[name]
            loads[name] = LoadShare(
                max(0, a - running), max(0.0, b - reading), max(0.0, c - memory)
            )
    return loads


class OwnHistory:
    """What this router told of itself lately, by sequence."""

    def __init__(self) -> None:
        self._told: deque[tuple[int, FleetTotals]] = deque(maxlen=KEPT)

    def note(self, sequence: int, totals: FleetTotals) -> None:
        """Note what a report or notice told."""
        self._told.append((sequence, totals))

    def at(self, sequence: int) -> FleetTotals:
        """Return what was told up to ``sequence``; nothing when it is not known."""
        for told, totals in reversed(self._told):
            if told <= sequence:
                return totals
        return FleetTotals()
