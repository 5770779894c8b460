"""Sums of which only what changed is told.

A whole sum comes about each second; those between name what changed since the fifth
message before, so that four that are lost in a row are made good by the next one. Keys
go as numbers, their places in a table that grows in the order in which the relay first
told them. A router that missed more asks for a whole sum.

Work of accounts changes with each moment, and routers tell it four times a second; it
goes in some of the messages, and with it which messages of routers it counts. So a
router takes off its own part of the loads and of the work as they were counted.
"""

from collections import deque
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice
from math import inf
from typing import Generic, TypeVar

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import AccountKey, FleetTotals, SumReport

WHOLE_S = 1.0
WORK_S = 0.25
ASKED_S = 0.1
OVERLAP = 5
SPARE = 64
AGAIN_S = 0.15
TOLD_PLACES_S = 1.0
NOTHING = LoadShare(0, 0, 0)

Work = tuple[int, int]
K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes(Generic[K, V]):
    """What changed in one table.

    Args:
        after: Number of the sum since which it did.
        start: Place of the first new key.
        new: Keys that came since then.
        values: New values by place of their key.
    """

    after: int
    start: int = 0
    new: tuple[K, ...] = ()
    values: Mapping[int, V] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class SumChanges:
    """What changed in a sum.

    Args:
        host: The relay.
        boot: Start of its process.
        number: Count of its sums.
        whole: It is of the sum of all zones.
        base: Number of the sum with which the relay's tables began.
        loads: Changed loads.
        counted: Changed sequences of the messages that are counted.
        work: Changed work (begun, asked for), when this message tells it.
        hosts: Routers that are counted.
        version: As in the sum.
        list_mark: As in the sum.
        heard_s: As in the sum.
        list_heard_s: As in the sum.
        placed: Prompt parts, and places of endpoints that got them lately.
    """

    host: str
    boot: int
    number: int
    whole: bool
    base: int
    loads: Changes[str, LoadShare]
    counted: Changes[str, int]
    work: Changes[AccountKey, Work] | None = None
    hosts: int = 0
    version: int = 0
    list_mark: int = 0
    heard_s: float = inf
    list_heard_s: float = inf
    placed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class SumWanted:
    """A router asks a relay for a whole sum.

    Args:
        whole: It is that of all zones.
    """

    whole: bool


class _Told(Generic[K, V]):
    """A table as it was told.

    Args:
        gone: What keys hold that are in the sums no more.
    """

    def __init__(self, gone: V) -> None:
        self.values: dict[K, V] = {}
        self._gone = gone
        self.places: dict[K, int] = {}
        self._changed: dict[K, int] = {}
        self._sizes = deque([(0, 0)], maxlen=OVERLAP)

    def change(self, number: int, values: Mapping[K, V]) -> Changes[K, V]:
        """Return what differs from what was told some messages ago."""
        known = self.values
        for key in known.keys() - values.keys():
            if known[key] != self._gone:
                known[key] = self._gone
                self._changed[key] = number
        # As sets, since most entries are as they were: no step for each of them.
        for key, value in values.items() - known.items():
            known[key] = value
            self._changed[key] = number
            self.places.setdefault(key, len(self.places))
        after, start = self._sizes[0]
        self._sizes.append((number, len(known)))
        self._changed = {key: at for key, at in self._changed.items() if at > after}
        places = self.places
        return Changes(
            after=after,
            start=start,
            new=tuple(islice(places, start, None)),
            values={places[key]: known[key] for key in self._changed},
        )

    def is_worn(self, live: int) -> bool:
        """Return whether most keys are gone, when ``live`` are not."""
        return len(self.values) > 2 * live + SPARE


class SumTeller:
    """Makes of a relay's sums, one after the other, what it sends."""

    def __init__(self) -> None:
        self._whole_at = -inf
        self._work_at = -inf
        self._placed: dict[tuple[str, str], float] = {}
        self._begin(0)

    def _begin(self, number: int) -> None:
        self._base = number
        self._loads: _Told[str, LoadShare] = _Told(NOTHING)
        self._counted: _Told[str, int] = _Told(0)
        self._work: _Told[AccountKey, Work] = _Told((0, 0))

    def want_whole(self, now: float) -> bool:
        """Make the next one whole, and return whether it is due at once.

        Many may have missed the same one, and ask for it one after the other.
        """
        if now - self._whole_at < ASKED_S:
            return False
        self._whole_at = -inf
        return True

    def tells_work(self, now: float) -> bool:
        """Return whether the next message tells work; else it may be left out."""
        # A little early, or turns of 0.1 s would make 0.3 s of it.
        is_due = now - self._work_at >= 0.8 * WORK_S
        return is_due or now - self._whole_at >= WHOLE_S

    def tell(self, now: float, report: SumReport) -> SumReport | SumChanges:
        """Return the sum, or what changed in it."""
        totals, number = report.totals, report.number
        loads = {name: _rounded(load) for name, load in totals.loads.items()}
        placed = self._new_placed(now, report)
        for _, endpoint in placed:
            loads.setdefault(endpoint, NOTHING)
        if self.tells_work(now) and self._is_worn(report):
            self._begin(number)
            self._whole_at = -inf
        changed = self._loads.change(number, loads)
        counted = self._counted.change(number, report.counted)
        is_whole = now - self._whole_at >= WHOLE_S
        work = None
        if self.tells_work(now):
            self._work_at = now
            work = self._work.change(number, work_of(totals))
        if is_whole:
            self._whole_at = now
            return replace(self._whole(report), placed=placed)
        return SumChanges(
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
        """Return a sum with all keys in the order of their places."""
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
        """Return the pairs that were not told before, or just now.

        Reports hold a pair for 0.3 s, and so did each sum in that time; twice, where
        sums are not far apart, is enough against a lost one.
        """
        old = now - TOLD_PLACES_S
        self._placed = {pair: at for pair, at in self._placed.items() if at > old}
        for pair in report.placed:
            self._placed.setdefault(pair, now)
        again = now - AGAIN_S
        return tuple(pair for pair, at in self._placed.items() if at >= again)


class SumHeard:
    """One relay's sum, kept up to date.

    Args:
        now: Time at which the whole sum came.
        report: The whole sum.
    """

    def __init__(self, now: float, report: SumReport) -> None:
        self.at = now
        self.report = replace(report, work_counted=report.counted)
        self._work_number = report.number
        self._endpoints = list(report.totals.loads)
        self._hosts = list(report.counted)
        self._accounts = list(report.totals.served)

    def is_old(self, boot: int, number: int) -> bool:
        """Return whether a message is no newer than what is known."""
        return (boot, number) <= (self.report.boot, self.report.number)

    def lacks(self, changes: SumChanges) -> bool:
        """Return whether changes before these were missed."""
        if changes.boot != self.report.boot or changes.base != self.report.base:
            return True
        number = self.report.number
        work = changes.work
        lost = work is not None and self._work_number < work.after
        return lost or number < min(changes.loads.after, changes.counted.after)

    def apply(self, now: float, changes: SumChanges) -> None:
        """Take changes of which none before were missed.

        Raises:
            LookupError: A place has no key.
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


def _named(keys: list[K], changes: Changes[K, V]) -> Iterable[tuple[K, V]]:
    """Take over new keys; return the values by their keys."""
    if changes.new:
        keys[changes.start :] = changes.new
    return [(keys[place], value) for place, value in changes.values.items()]


def _rounded(load: LoadShare) -> LoadShare:
    running, reading, memory = load
    return LoadShare(running, int(reading), int(memory))


def work_of(totals: FleetTotals) -> dict[AccountKey, Work]:
    """Return work begun and asked for, by service and account."""
    served, offered = totals.served, totals.offered
    return {
        key: (int(served.get(key, 0)), int(offered.get(key, 0)))
        for key in served.keys() | offered.keys()
    }
