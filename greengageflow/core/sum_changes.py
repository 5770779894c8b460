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
        since: Number of the sum since which the values changed.
        first_index: Index of the first new key.
        new_keys: Keys that were added since then.
        values: Changed values by the index of their key.
    """

    since: int
    first_index: int = 0
    new_keys: tuple[K, ...] = ()
    values: Mapping[int, V] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class SumDelta:
    """Delta of a sum.

    Args:
        host: The relay.
        boot: Start time of its process.
        number: Sequence number of the sum.
        fleet_wide: It belongs to the sum of all zones, not to that of one.
        base: Number of the sum at which the relay's tables were last reset.
        loads: Changed loads.
        included: Changed report sequences that are included.
        work: Changed work (served, offered); None in messages without work.
        hosts: Routers that are included.
        version: As in the sum.
        list_mark: As in the sum.
        config_age_s: As in the sum.
        list_age_s: As in the sum.
        placed: Prompt parts, and indexes of the endpoints that got them lately.
    """

    host: str
    boot: int
    number: int
    fleet_wide: bool
    base: int
    loads: TableDelta[str, LoadShare]
    included: TableDelta[str, int]
    work: TableDelta[AccountKey, Work] | None = None
    hosts: int = 0
    version: int = 0
    list_mark: int = 0
    config_age_s: float = inf
    list_age_s: float = inf
    placed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FullSumRequest:
    """Request of a router for a full sum.

    Args:
        fleet_wide: The sum of all zones is wanted, not that of one.
    """

    fleet_wide: bool


class _DeltaTable(Generic[K, V]):
    """A table as the receivers of its deltas hold it.

    Args:
        removed_value: Value of keys that are no longer in the sums.
    """

    def __init__(self, removed_value: V) -> None:
        self.values: dict[K, V] = {}
        self._removed_value = removed_value
        self.indexes: dict[K, int] = {}
        self._changed_in: dict[K, int] = {}
        self._sizes_sent = deque([(0, 0)], maxlen=DELTA_OVERLAP_MESSAGES)

    def update(self, number: int, values: Mapping[K, V]) -> TableDelta[K, V]:
        """Take the current values; return the changes that the next delta covers."""
        current = self.values
        for key in current.keys() - values.keys():
            if current[key] != self._removed_value:
                current[key] = self._removed_value
                self._changed_in[key] = number
        # Set operations skip the unchanged entries, which are most of them.
        for key, value in values.items() - current.items():
            current[key] = value
            self._changed_in[key] = number
            self.indexes.setdefault(key, len(self.indexes))
        since, first_index = self._sizes_sent[0]
        self._sizes_sent.append((number, len(current)))
        self._changed_in = {
            key: at for key, at in self._changed_in.items() if at > since
        }
        indexes = self.indexes
        return TableDelta(
            since=since,
            first_index=first_index,
            new_keys=tuple(islice(indexes, first_index, None)),
            values={indexes[key]: current[key] for key in self._changed_in},
        )

    def is_sparse(self, live_keys: int) -> bool:
        """Return whether most keys are removed ones, with ``live_keys`` others."""
        return len(self.values) > 2 * live_keys + SPARE_KEYS


class SumPublisher:
    """Turns the successive sums of a relay into full sums and deltas."""

    def __init__(self) -> None:
        self._full_at = -inf
        self._work_at = -inf
        self._first_sent_at: dict[tuple[str, str], float] = {}
        self._reset_tables(0)

    def _reset_tables(self, number: int) -> None:
        self._base = number
        self._loads: _DeltaTable[str, LoadShare] = _DeltaTable(NO_LOAD)
        self._included: _DeltaTable[str, int] = _DeltaTable(0)
        self._work: _DeltaTable[AccountKey, Work] = _DeltaTable((0, 0))

    def request_full_sum(self, now: float) -> bool:
        """Make the next message a full sum; return whether to send it at once.

        Many routers may miss the same message and ask one after the other, so a
        request within ``MIN_FULL_SUM_INTERVAL_S`` of the last full sum is ignored.
        """
        if now - self._full_at < MIN_FULL_SUM_INTERVAL_S:
            return False
        self._full_at = -inf
        return True

    def is_work_due(self, now: float) -> bool:
        """Return whether the next message carries work; otherwise it may be omitted."""
        # Slightly early: with turns of 0.1 s the interval would otherwise be 0.3 s.
        is_due = now - self._work_at >= 0.8 * WORK_INTERVAL_S
        return is_due or now - self._full_at >= FULL_SUM_INTERVAL_S

    def next_message(self, now: float, report: SumReport) -> SumReport | SumDelta:
        """Return the full sum, or its delta."""
        totals, number = report.totals, report.number
        loads = {name: _as_integers(load) for name, load in totals.loads.items()}
        placed = self._pairs_to_send(now, report)
        for _, endpoint in placed:
            loads.setdefault(endpoint, NO_LOAD)
        if self.is_work_due(now) and self._is_sparse(report):
            self._reset_tables(number)
            self._full_at = -inf
        changed = self._loads.update(number, loads)
        included = self._included.update(number, report.included)
        is_full = now - self._full_at >= FULL_SUM_INTERVAL_S
        work = None
        if self.is_work_due(now):
            self._work_at = now
            work = self._work.update(number, work_by_account(totals))
        if is_full:
            self._full_at = now
            return replace(self._full_sum(report), placed=placed)
        return SumDelta(
            host=report.host,
            boot=report.boot,
            number=number,
            fleet_wide=report.fleet_wide,
            base=self._base,
            loads=changed,
            included=included,
            work=work,
            hosts=totals.hosts,
            version=report.version,
            list_mark=report.list_mark,
            config_age_s=report.config_age_s,
            list_age_s=report.list_age_s,
            placed=tuple((part, self._loads.indexes[name]) for part, name in placed),
        )

    def _is_sparse(self, report: SumReport) -> bool:
        totals = report.totals
        return (
            self._loads.is_sparse(len(totals.loads))
            or self._included.is_sparse(len(report.included))
            or self._work.is_sparse(len(totals.offered))
        )

    def _full_sum(self, report: SumReport) -> SumReport:
        """Return the full sum with all keys in the order of their indexes."""
        work = self._work.values.items()
        totals = FleetTotals(
            {key: row[0] for key, row in work},
            {key: row[1] for key, row in work},
            dict(self._loads.values),
            report.totals.hosts,
        )
        included = dict(self._included.values)
        return replace(report, totals=totals, included=included, base=self._base)

    def _pairs_to_send(
        self, now: float, report: SumReport
    ) -> tuple[tuple[str, str], ...]:
        """Return the pairs that were first sent within ``PLACED_REPEAT_S``.

        Reports repeat a pair for 0.3 s, and each sum of that time used to repeat it
        as well. Sending it twice is enough against one lost message, unless sums are
        far apart.
        """
        oldest_kept = now - PLACED_MEMORY_S
        self._first_sent_at = {
            pair: at for pair, at in self._first_sent_at.items() if at > oldest_kept
        }
        for pair in report.placed:
            self._first_sent_at.setdefault(pair, now)
        repeat_since = now - PLACED_REPEAT_S
        return tuple(
            pair for pair, at in self._first_sent_at.items() if at >= repeat_since
        )


class ReceivedSum:
    """The sum of one relay, kept up to date by deltas.

    Args:
        now: Time at which the full sum arrived.
        report: The full sum.
        sent_after: Time before which it was not sent, see ``tick_echo``.
    """

    def __init__(self, now: float, report: SumReport, sent_after: float) -> None:
        self.at = now
        self.sent_after = sent_after
        self.report = replace(report, work_included=report.included)
        self._work_number = report.number
        self._endpoints = list(report.totals.loads)
        self._hosts = list(report.included)
        self._accounts = list(report.totals.served)

    def is_outdated(self, boot: int, number: int) -> bool:
        """Return whether a message is not newer than the last one applied."""
        return (boot, number) <= (self.report.boot, self.report.number)

    def has_gap_before(self, delta: SumDelta) -> bool:
        """Return whether a message that this delta builds on was missed."""
        if delta.boot != self.report.boot or delta.base != self.report.base:
            return True
        number = self.report.number
        work = delta.work
        is_work_missing = work is not None and self._work_number < work.since
        return is_work_missing or number < min(delta.loads.since, delta.included.since)

    def apply(self, now: float, delta: SumDelta, sent_after: float) -> None:
        """Apply a delta without a gap before it.

        Raises:
            LookupError: An index has no key.
        """
        before, totals = self.report, self.report.totals
        loads = dict(totals.loads)
        loads.update(_with_keys(self._endpoints, delta.loads))
        included = dict(before.included)
        included.update(_with_keys(self._hosts, delta.included))
        served, offered, work_included = (
            totals.served,
            totals.offered,
            before.work_included,
        )
        if delta.work is not None:
            work = dict(_with_keys(self._accounts, delta.work))
            served = {**served, **{key: row[0] for key, row in work.items()}}
            offered = {**offered, **{key: row[1] for key, row in work.items()}}
            work_included = included
            self._work_number = delta.number
        self.at, self.sent_after = now, sent_after
        self.report = replace(
            before,
            number=delta.number,
            totals=FleetTotals(served, offered, loads, delta.hosts),
            included=included,
            work_included=work_included,
            version=delta.version,
            list_mark=delta.list_mark,
            config_age_s=delta.config_age_s,
            list_age_s=delta.list_age_s,
            placed=tuple((part, self._endpoints[at]) for part, at in delta.placed),
        )


def _with_keys(keys: list[K], delta: TableDelta[K, V]) -> Iterable[tuple[K, V]]:
    """Add the new keys; return the changed values with their keys."""
    if delta.new_keys:
        keys[delta.first_index :] = delta.new_keys
    return [(keys[index], value) for index, value in delta.values.items()]


def _as_integers(load: LoadShare) -> LoadShare:
    running, reading, memory = load
    return LoadShare(running, int(reading), int(memory))


def work_by_account(totals: FleetTotals) -> dict[AccountKey, Work]:
    """Return (served, offered) work by service and account."""
    served, offered = totals.served, totals.offered
    return {
        key: (int(served.get(key, 0)), int(offered.get(key, 0)))
        for key in served.keys() | offered.keys()
    }
