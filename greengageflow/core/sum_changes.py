"""Incremental updates of sums.

A relay sends a full sum about once a second and deltas in between. A delta holds the
changes since the fifth message before it, so that the next one makes up for four lost
in a row. Keys are sent as indexes into a table that grows in the order in which the
relay first sent them. A router that missed more messages asks for a full sum.

The work of accounts changes all the time, and routers report it four times a second.
Only some messages carry it, with the report sequences that it includes. A router can
therefore subtract its own part of the loads and of the work as they were counted.
"""

from collections import deque
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice
from math import inf
from typing import Generic, TypeVar

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import AccountKey, FleetTotals, SumReport

FULL_SUM_INTERVAL_S = 1.0
"""Seconds between two full sums."""

WORK_INTERVAL_S = 0.25
"""Seconds between two messages that carry work."""

MIN_FULL_SUM_INTERVAL_S = 0.1
"""Least seconds between a full sum and one sent on request."""

DELTA_OVERLAP_MESSAGES = 5
"""Messages whose changes each delta covers."""

SPARE_KEYS = 64
"""Removed keys that a table may hold, besides as many as there are live ones."""

PLACED_REPEAT_S = 0.15
"""Seconds for which a new pair of prompt part and endpoint is sent."""

PLACED_MEMORY_S = 1.0
"""Seconds for which a pair that was sent is remembered."""

NO_LOAD = LoadShare(0, 0, 0)

Work = tuple[int, int]
K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDelta(Generic[K, V]):
    """Changes of one table.

    Args:
        after: Number of the sum since which the values changed.
        start: Index of the first new key.
        new: Keys that were added since then.
        values: Changed values by the index of their key.
    """

    after: int
    start: int = 0
    new: tuple[K, ...] = ()
    values: Mapping[int, V] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class SumDelta:
    """Delta of a sum.

    Args:
        host: The relay.
        boot: Start time of its process.
        number: Sequence number of the sum.
        whole: It belongs to the sum of all zones, not to that of one.
        base: Number of the sum at which the relay's tables were last reset.
        loads: Changed loads.
        counted: Changed report sequences that are included.
        work: Changed work (served, offered); None in messages without work.
        hosts: Routers that are included.
        version: As in the sum.
        list_mark: As in the sum.
        heard_s: As in the sum.
        list_heard_s: As in the sum.
        placed: Prompt parts, and indexes of the endpoints that got them lately.
    """

    host: str
    boot: int
    number: int
    whole: bool
    base: int
    loads: TableDelta[str, LoadShare]
    counted: TableDelta[str, int]
    work: TableDelta[AccountKey, Work] | None = None
    hosts: int = 0
    version: int = 0
    list_mark: int = 0
    heard_s: float = inf
    list_heard_s: float = inf
    placed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FullSumRequest:
    """Request of a router for a full sum.

    Args:
        whole: The sum of all zones is wanted, not that of one.
    """

    whole: bool


class _DeltaTable(Generic[K, V]):
    """A table as the receivers of its deltas hold it.

    Args:
        gone: Value of keys that are no longer in the sums.
    """

    def __init__(self, gone: V) -> None:
        self.values: dict[K, V] = {}
        self._gone = gone
        self.places: dict[K, int] = {}
        self._changed: dict[K, int] = {}
        self._sizes = deque([(0, 0)], maxlen=DELTA_OVERLAP_MESSAGES)

    def change(self, number: int, values: Mapping[K, V]) -> TableDelta[K, V]:
        """Take the current values; return the changes that the next delta covers."""
        known = self.values
        for key in known.keys() - values.keys():
            if known[key] != self._gone:
                known[key] = self._gone
                self._changed[key] = number
        # Set operations skip the unchanged entries, which are most of them.
        for key, value in values.items() - known.items():
            known[key] = value
            self._changed[key] = number
            self.places.setdefault(key, len(self.places))
        after, start = self._sizes[0]
        self._sizes.append((number, len(known)))
        self._changed = {key: at for key, at in self._changed.items() if at > after}
        places = self.places
        return TableDelta(
            after=after,
            start=start,
            new=tuple(islice(places, start, None)),
            values={places[key]: known[key] for key in self._changed},
        )

    def is_worn(self, live: int) -> bool:
        """Return whether most keys are removed ones, given ``live`` keys in use."""
        return len(self.values) > 2 * live + SPARE_KEYS


class SumPublisher:
    """Turns the successive sums of a relay into full sums and deltas."""

    def __init__(self) -> None:
        self._whole_at = -inf
        self._work_at = -inf
        self._placed: dict[tuple[str, str], float] = {}
        self._begin(0)

    def _begin(self, number: int) -> None:
        self._base = number
        self._loads: _DeltaTable[str, LoadShare] = _DeltaTable(NO_LOAD)
        self._counted: _DeltaTable[str, int] = _DeltaTable(0)
        self._work: _DeltaTable[AccountKey, Work] = _DeltaTable((0, 0))

    def request_full_sum(self, now: float) -> bool:
        """Make the next message a full sum; return whether to send it at once.

        Many routers may miss the same message and ask one after the other, so a
        request within ``MIN_FULL_SUM_INTERVAL_S`` of the last full sum is ignored.
        """
        if now - self._whole_at < MIN_FULL_SUM_INTERVAL_S:
            return False
        self._whole_at = -inf
        return True

    def is_work_due(self, now: float) -> bool:
        """Return whether the next message carries work; otherwise it may be omitted."""
        # Slightly early: with turns of 0.1 s the interval would otherwise be 0.3 s.
        is_due = now - self._work_at >= 0.8 * WORK_INTERVAL_S
        return is_due or now - self._whole_at >= FULL_SUM_INTERVAL_S

    def tell(self, now: float, report: SumReport) -> SumReport | SumDelta:
        """Return the full sum, or its delta."""
        totals, number = report.totals, report.number
        loads = {name: _rounded(load) for name, load in totals.loads.items()}
        placed = self._new_placed(now, report)
        for _, endpoint in placed:
            loads.setdefault(endpoint, NO_LOAD)
        if self.is_work_due(now) and self._is_worn(report):
            self._begin(number)
            self._whole_at = -inf
        changed = self._loads.change(number, loads)
        counted = self._counted.change(number, report.counted)
        is_whole = now - self._whole_at >= FULL_SUM_INTERVAL_S
        work = None
        if self.is_work_due(now):
            self._work_at = now
            work = self._work.change(number, work_of(totals))
        if is_whole:
            self._whole_at = now
            return replace(self._whole(report), placed=placed)
        return SumDelta(
            host=report.host,
            boot=report.boot,
            number=number,
            whole=report.whole,
            base=self._base,
            loads=changed,
            counted=counted,
            work=work,
            hosts=totals.hosts,
            version=report.version,
            list_mark=report.list_mark,
            heard_s=report.heard_s,
            list_heard_s=report.list_heard_s,
            placed=tuple((part, self._loads.places[name]) for part, name in placed),
        )

    def _is_worn(self, report: SumReport) -> bool:
        totals = report.totals
        return (
            self._loads.is_worn(len(totals.loads))
            or self._counted.is_worn(len(report.counted))
            or self._work.is_worn(len(totals.offered))
        )

    def _whole(self, report: SumReport) -> SumReport:
        """Return the full sum with all keys in the order of their indexes."""
        work = self._work.values.items()
        totals = FleetTotals(
            {key: row[0] for key, row in work},
            {key: row[1] for key, row in work},
            dict(self._loads.values),
            report.totals.hosts,
        )
        counted = dict(self._counted.values)
        return replace(report, totals=totals, counted=counted, base=self._base)

    def _new_placed(self, now: float, report: SumReport) -> tuple[tuple[str, str], ...]:
        """Return the pairs that were first sent within ``PLACED_REPEAT_S``.

        Reports repeat a pair for 0.3 s, and each sum of that time used to repeat it
        as well. Sending it twice is enough against one lost message, unless sums are
        far apart.
        """
        old = now - PLACED_MEMORY_S
        self._placed = {pair: at for pair, at in self._placed.items() if at > old}
        for pair in report.placed:
            self._placed.setdefault(pair, now)
        again = now - PLACED_REPEAT_S
        return tuple(pair for pair, at in self._placed.items() if at >= again)


class ReceivedSum:
    """The sum of one relay, kept up to date by deltas.

    Args:
        now: Time at which the full sum arrived.
        report: The full sum.
    """

    def __init__(self, now: float, report: SumReport) -> None:
        self.at = now
        self.report = replace(report, work_counted=report.counted)
        self._work_number = report.number
        self._endpoints = list(report.totals.loads)
        self._hosts = list(report.counted)
        self._accounts = list(report.totals.served)

    def is_old(self, boot: int, number: int) -> bool:
        """Return whether a message is not newer than the last one applied."""
        return (boot, number) <= (self.report.boot, self.report.number)

    def lacks(self, changes: SumDelta) -> bool:
        """Return whether a message that this delta builds on was missed."""
        if changes.boot != self.report.boot or changes.base != self.report.base:
            return True
        number = self.report.number
        work = changes.work
        lost = work is not None and self._work_number < work.after
        return lost or number < min(changes.loads.after, changes.counted.after)

    def apply(self, now: float, changes: SumDelta) -> None:
        """Apply a delta without a gap before it.

        Raises:
            LookupError: An index has no key.
        """
        before, totals = self.report, self.report.totals
        loads = dict(totals.loads)
        loads.update(_named(self._endpoints, changes.loads))
        counted = dict(before.counted)
        counted.update(_named(self._hosts, changes.counted))
        served, offered, work_counted = (
            totals.served,
            totals.offered,
            before.work_counted,
        )
        if changes.work is not None:
            work = dict(_named(self._accounts, changes.work))
            served = {**served, **{key: row[0] for key, row in work.items()}}
            offered = {**offered, **{key: row[1] for key, row in work.items()}}
            work_counted = counted
            self._work_number = changes.number
        self.at = now
        self.report = replace(
            before,
            number=changes.number,
            totals=FleetTotals(served, offered, loads, changes.hosts),
            counted=counted,
            work_counted=work_counted,
            version=changes.version,
            list_mark=changes.list_mark,
            heard_s=changes.heard_s,
            list_heard_s=changes.list_heard_s,
            placed=tuple((part, self._endpoints[at]) for part, at in changes.placed),
        )


def _named(keys: list[K], changes: TableDelta[K, V]) -> Iterable[tuple[K, V]]:
    """Add the new keys; return the changed values with their keys."""
    if changes.new:
        keys[changes.start :] = changes.new
    return [(keys[place], value) for place, value in changes.values.items()]


def _rounded(load: LoadShare) -> LoadShare:
    running, reading, memory = load
    return LoadShare(running, int(reading), int(memory))


def work_of(totals: FleetTotals) -> dict[AccountKey, Work]:
    """Return (served, offered) work by service and account."""
    served, offered = totals.served, totals.offered
    return {
        key: (int(served.get(key, 0)), int(offered.get(key, 0)))
        for key in served.keys() | offered.keys()
    }
