"""What a router of a large fleet knows of the others, and what a relay adds up."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_demand import sum_work
from greengageflow.core.fleet_sums import (
    FleetTotals,
    OwnHistory,
    SumReport,
    loads_without,
    merge,
    sum_loads,
    without,
)
from greengageflow.core.peer_report import HeardReport, PeerBook, PeerReport
from greengageflow.core.router_table import Hello, RouterTable
from greengageflow.core.store_duty import StoreReport, merge_store_reports
from greengageflow.core.sum_book import SumBook
from greengageflow.core.sum_changes import SumChanges, SumTeller
from greengageflow.core.zone_loads import ZoneLoads

STEP_IN_S = 0.5
SILENT_S = 1.5
"""Seconds after which relays of which nothing was heard are given up."""
SAME_S = 0.02


@dataclass(frozen=True, slots=True)
class _ZoneWork:
    """The work of the zone's other routers.

    Args:
        at: Time at which it was added up.
        revision: State of the book of reports then.
        totals: The sums, without loads.
    """

    at: float
    revision: int
    totals: FleetTotals


class RelaySums:
    """Adds up for a zone, and tells what one router knows of all others.

    Args:
        own: This router.
        table: Routers that were heard.
        book: Their reports.
        fade_s: Time constant of faded sums.
    """

    def __init__(
        self, own: Hello, table: RouterTable, book: PeerBook, fade_s: float
    ) -> None:
        self.sums = SumBook()
        self.history = OwnHistory()
        self._own = own
        self._table = table
        self._book = book
        self._fade_s = fade_s
        self._publishers = {whole: SumTeller() for whole in (False, True)}
        self._zone_loads = ZoneLoads()
        self._zone_work: _ZoneWork | None = None

    def others(self, now: float, quiet_s: float) -> FleetTotals:
        """Return the sums of all other routers."""
        loads = self.other_loads(now, quiet_s)
        whole = self._whole(now, quiet_s)
        if whole is None:
            zones = self.sums.zones(now, self._own.zone)
            parts = (replace(report.totals, loads={}) for report, _ in zones)
            return replace(merge([self._members_work(now), *parts]), loads=loads)
        host = self._own.host
        hosts = self.history.at(whole.counted.get(host, 0)).hosts
        work = self.history.at(whole.work_counted.get(host, 0))
        own = replace(work, loads={}, hosts=hosts)
        return replace(without(replace(whole.totals, loads={}), own), loads=loads)

    def other_loads(self, now: float, quiet_s: float) -> dict[str, LoadShare]:
        """Return the loads of all other routers."""
        whole = self._whole(now, quiet_s)
        if whole is None:
            zones = self.sums.zones(now, self._own.zone)
            loads = self._zone_loads.add_up(self._members(now))
            return sum_loads([loads, *(report.totals.loads for report, _ in zones)])
        own = self.history.at(whole.counted.get(self._own.host, 0))
        return loads_without(whole.totals.loads, own.loads)

    def _whole(self, now: float, quiet_s: float) -> SumReport | None:
        """Return the sum of the fleet, unless this router adds it up itself."""
        whole = self.sums.whole(now)
        return None if whole is None or self.is_relay(now, quiet_s) else whole[0]

    def is_relay(self, now: float, quiet_s: float) -> bool:
        """Return whether this router tells its zone the sums now.

        The second relay does so when nothing came from the first one lately, and
        before members drop the last sums: without any, each would take itself for
        the only router and begin what the whole fleet may.
        """
        relays = self._table.relays(now, quiet_s).get(self._own.zone, ())
        names = [row.host for row in relays]
        if self._own.host not in names:
            return False
        return names[0] == self._own.host or self.is_missed(now)

    def is_missed(self, now: float) -> bool:
        """Return whether no sum of the fleet came lately."""
        whole = self.sums.whole(now)
        return whole is None or now - whole[1] > STEP_IN_S

    def drop_silent(self, now: float, quiet_s: float) -> None:
        """Let the next routers of a zone relay whose relays fell silent together.

        A member hears the relays of its own zone all the time, a relay those of other
        zones. Until a router counts as dead like any other, which in a fleet of
        hundreds takes long, a zone would go without sums.
        """
        relays = self._table.relays(now, quiet_s)
        own = self._own.zone
        is_relay = self._own.host in (row.host for row in relays.get(own, ()))
        for zone in relays.keys() - {own} if is_relay else {own}:
            self._table.drop_silent(now, relays.get(zone, ()), SILENT_S)

    def want_whole(self, now: float, whole: bool) -> bool:
        """Return whether sums are due at once, since a router missed some."""
        return self._publishers[whole].want_whole(now)

    def tell(
        self, now: float, own: PeerReport, number: int
    ) -> tuple[SumReport | SumChanges, SumReport | SumChanges]:
        """Return what to tell other zones, and what to tell this one.

        Args:
            now: The time.
            own: The present report of this router.
            number: Count of its sums.
        """
        zone, whole = self._add(now, own, number)
        return (
            self._publishers[False].tell(now, zone),
            self._publishers[True].tell(now, whole),
        )

    def _add(
        self, now: float, own: PeerReport, number: int
    ) -> tuple[SumReport, SumReport]:
        members = [*self._members(now), HeardReport(own, now)]
        loads = self._zone_loads.add_up(members[:-1])
        totals = FleetTotals(loads=loads, hosts=len(members) - 1)
        mine = FleetTotals(loads=own.loads, hosts=1)
        is_due = any(teller.tells_work(now) for teller in self._publishers.values())
        if is_due:
            totals = replace(self._members_work(now), loads=loads)
            mine = FleetTotals(own.served, own.offered, own.loads, 1)
        totals = merge([totals, mine])
        word = merge_store_reports(
            now, (word_of(one.report, one.at) for one in members)
        )
        placed = tuple({pair for one in members for pair in one.report.placed})
        zone = self._sum(number, totals, word, placed)
        zones = self.sums.zones(now, self._own.zone)
        parts = [report.totals for report, _ in zones]
        if not is_due:
            parts = [replace(part, served={}, offered={}) for part in parts]
        words = [word, *(word_of(report, at) for report, at in zones)]
        pairs = {pair for report, _ in zones for pair in report.placed}
        whole = self._sum(
            number,
            merge([totals, *parts]),
            merge_store_reports(now, words),
            (*placed, *pairs),
        )
        counted = {one.report.host: one.report.sequence for one in members}
        return zone, replace(whole, whole=True, counted=counted)

    def words(self, now: float) -> Iterator[StoreReport]:
        """Yield what sums say of the store."""
        sums = self.sums.zones(now, self._own.zone)
        whole = self.sums.whole(now)
        if whole is not None:
            sums.append(whole)
        return (word_of(report, at) for report, at in sums)

    def _members(self, now: float) -> list[HeardReport]:
        """Return the reports of this router's zone."""
        heard = self._book.live(now)
        return [one for one in heard if one.report.zone == self._own.zone]

    def _members_work(self, now: float) -> FleetTotals:
        # A turn needs it twice when a round falls into it.
        known, revision = self._zone_work, self._book.revision
        if known and known.revision == revision and now - known.at <= SAME_S:
            return known.totals
        totals = sum_work(now, self._members(now), self._fade_s)
        self._zone_work = _ZoneWork(now, revision, totals)
        return totals

    def _sum(
        self,
        number: int,
        totals: FleetTotals,
        word: StoreReport,
        placed: tuple[tuple[str, str], ...],
    ) -> SumReport:
        return SumReport(
            host=self._own.host,
            boot=self._own.boot,
            number=number,
            zone=self._own.zone,
            whole=False,
            totals=totals,
            version=word.version,
            list_mark=word.list_mark,
            heard_s=word.config_age_s,
            list_heard_s=word.list_age_s,
            placed=placed,
        )


def word_of(report: PeerReport | SumReport, at: float) -> StoreReport:
    """Return what a router or a zone said of the store at a time."""
    return StoreReport(
        at, report.version, report.list_mark, report.heard_s, report.list_heard_s
    )
