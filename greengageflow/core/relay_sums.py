"""Fleet aggregates of a large fleet: what members read and what relays compute."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_demand import sum_work
from greengageflow.core.fleet_sums import (
    FleetTotals,
    OwnHistory,
    SumReport,
    merge,
    subtract_loads,
    subtract_totals,
    sum_loads,
)
from greengageflow.core.peer_report import PeerReport, PeerTable, ReceivedReport
from greengageflow.core.router_table import Hello, RouterTable
from greengageflow.core.store_duty import StoreReport, merge_store_reports
from greengageflow.core.sum_changes import ReceivedSum, SumDelta, SumPublisher
from greengageflow.core.sum_table import SumTable
from greengageflow.core.zone_loads import ZoneLoads

TAKEOVER_S = 0.5
"""Age of the newest fleet sum, in seconds, from which the second relay takes over."""

RELAY_TIMEOUT_S = 1.5
"""Seconds without a message after which the relays of a zone are dropped."""

WORK_CACHE_S = 0.02
"""Seconds for which the cached work of the zone may be used again."""


@dataclass(frozen=True, slots=True)
class _CachedWork:
    """Cached work of the zone's other routers.

    Args:
        at: Time at which it was computed.
        revision: Revision of the peer reports that it was computed from.
        totals: The totals, without loads.
    """

    at: float
    revision: int
    totals: FleetTotals


class RelayAggregator:
    """Aggregates the reports of a zone, and the zones into a sum of the fleet.

    A relay computes the sums; a member reads those of its relay and subtracts its
    own part.

    Args:
        own: This router.
        table: Routers of the fleet.
        peers: Their newest reports.
        fade_s: Time constant of the exponential decay of work, in seconds.
        clock: Returns the time in seconds by which the age of the store's state is
            measured, by a clock that includes suspension.
    """

    def __init__(
        self,
        own: Hello,
        table: RouterTable,
        peers: PeerTable,
        fade_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.sums = SumTable()
        self.history = OwnHistory()
        self._own = own
        self._table = table
        self._peers = peers
        self._fade_s = fade_s
        self._clock = clock
        self._publishers = {fleet_wide: SumPublisher() for fleet_wide in (False, True)}
        self._zone_loads = ZoneLoads()
        self._cached_work: _CachedWork | None = None

    def peer_totals(self, now: float, quiet_s: float) -> FleetTotals:
        """Return the totals of all other routers."""
        loads = self.peer_loads(now, quiet_s)
        fleet = self._member_fleet_sum(now, quiet_s)
        if fleet is None:
            zones = self.sums.zone_sums(now, self._own.zone)
            parts = (replace(row.report.totals, loads={}) for row in zones)
            return replace(merge([self._member_work(now), *parts]), loads=loads)
        host = self._own.host
        hosts = self.history.as_of(fleet.included.get(host, 0)).hosts
        work = self.history.as_of(fleet.work_included.get(host, 0))
        own = replace(work, loads={}, hosts=hosts)
        return replace(
            subtract_totals(replace(fleet.totals, loads={}), own), loads=loads
        )

    def peer_loads(self, now: float, quiet_s: float) -> dict[str, LoadShare]:
        """Return the loads of all other routers."""
        fleet = self._member_fleet_sum(now, quiet_s)
        if fleet is None:
            zones = self.sums.zone_sums(now, self._own.zone)
            loads = self._zone_loads.update(self._member_reports(now))
            return sum_loads([loads, *(row.report.totals.loads for row in zones)])
        own = self.history.as_of(fleet.included.get(self._own.host, 0))
        return subtract_loads(fleet.totals.loads, own.loads)

    def _member_fleet_sum(self, now: float, quiet_s: float) -> SumReport | None:
        """Return the newest fleet sum, or None when this router computes it itself."""
        fleet = self.sums.fleet_sum(now)
        return None if fleet is None or self.is_relay(now, quiet_s) else fleet.report

    def is_relay(self, now: float, quiet_s: float) -> bool:
        """Return whether this router sends sums to its zone now.

        The second relay takes over when the first one has sent nothing lately, and
        does so before the last sums of the members expire. A member without sums
        assumes that it is the only router and starts as much as the whole fleet may.
        """
        relays = self._table.relays(now, quiet_s).get(self._own.zone, ())
        names = [row.host for row in relays]
        if self._own.host not in names:
            return False
        return names[0] == self._own.host or self.is_fleet_sum_overdue(now)

    def is_fleet_sum_overdue(self, now: float) -> bool:
        """Return whether no fleet sum has arrived within ``TAKEOVER_S``."""
        fleet = self.sums.fleet_sum(now)
        return fleet is None or now - fleet.at > TAKEOVER_S

    def drop_silent_relays(self, now: float, quiet_s: float) -> None:
        """Drop the relays of zones whose relays are all silent, so that others follow.

        A member watches the relays of its own zone, a relay those of the other zones.
        The failure detector for ordinary routers takes long in a fleet of hundreds,
        and the zone would be without sums until then.
        """
        relays = self._table.relays(now, quiet_s)
        own = self._own.zone
        is_relay = self._own.host in (row.host for row in relays.get(own, ()))
        for zone in relays.keys() - {own} if is_relay else {own}:
            self._table.drop_silent(now, relays.get(zone, ()), RELAY_TIMEOUT_S)

    def request_full_sum(self, now: float, fleet_wide: bool) -> bool:
        """Make the next sum a full one; return whether to send it at once."""
        return self._publishers[fleet_wide].request_full_sum(now)

    def next_messages(
        self, now: float, own: PeerReport, number: int
    ) -> tuple[SumReport | SumDelta, SumReport | SumDelta]:
        """Return the next message for other zones, and the one for this zone.

        Args:
            now: Current time.
            own: Current report of this router.
            number: Sequence number of the sums.
        """
        zone, fleet = self._aggregate(now, own, number)
        return (
            self._publishers[False].next_message(now, zone),
            self._publishers[True].next_message(now, fleet),
        )

    def _aggregate(
        self, now: float, own: PeerReport, number: int
    ) -> tuple[SumReport, SumReport]:
        store_now = self._clock()
        members = [*self._member_reports(now), ReceivedReport(own, now, store_now)]
        loads = self._zone_loads.update(members[:-1])
        totals = FleetTotals(loads=loads, hosts=len(members) - 1)
        own_totals = FleetTotals(loads=own.loads, hosts=1)
        is_due = any(
            publisher.is_work_due(now) for publisher in self._publishers.values()
        )
        if is_due:
            totals = replace(self._member_work(now), loads=loads)
            own_totals = FleetTotals(own.served, own.offered, own.loads, 1)
        totals = merge([totals, own_totals])
        state = merge_store_reports(store_now, map(store_state_of, members))
        placed = tuple(
            {pair for received in members for pair in received.report.placed}
        )
        zone = self._sum_report(number, totals, state, placed)
        zones = self.sums.zone_sums(now, self._own.zone)
        parts = [row.report.totals for row in zones]
        if not is_due:
            parts = [replace(part, served={}, offered={}) for part in parts]
        states = [state, *map(store_state_of, zones)]
        pairs = {pair for row in zones for pair in row.report.placed}
        fleet = self._sum_report(
            number,
            merge([totals, *parts]),
            merge_store_reports(store_now, states),
            (*placed, *pairs),
        )
        included = {
            received.report.host: received.report.sequence for received in members
        }
        return zone, replace(fleet, fleet_wide=True, included=included)

    def store_states(self, now: float) -> Iterator[StoreReport]:
        """Yield what the sums report about the store."""
        sums = self.sums.zone_sums(now, self._own.zone)
        fleet = self.sums.fleet_sum(now)
        if fleet is not None:
            sums.append(fleet)
        return map(store_state_of, sums)

    def _member_reports(self, now: float) -> list[ReceivedReport]:
        """Return the live reports of this router's zone."""
        reports = self._peers.live(now)
        return [
            received for received in reports if received.report.zone == self._own.zone
        ]

    def _member_work(self, now: float) -> FleetTotals:
        # A turn in which a round falls needs this twice.
        cached, revision = self._cached_work, self._peers.revision
        if cached and cached.revision == revision and now - cached.at <= WORK_CACHE_S:
            return cached.totals
        totals = sum_work(now, self._member_reports(now), self._fade_s)
        self._cached_work = _CachedWork(now, revision, totals)
        return totals

    def _sum_report(
        self,
        number: int,
        totals: FleetTotals,
        state: StoreReport,
        placed: tuple[tuple[str, str], ...],
    ) -> SumReport:
        return SumReport(
            host=self._own.host,
            boot=self._own.boot,
            number=number,
            zone=self._own.zone,
            fleet_wide=False,
            totals=totals,
            version=state.version,
            list_mark=state.list_mark,
            config_age_s=state.config_age_s,
            list_age_s=state.list_age_s,
            placed=placed,
        )


def store_state_of(received: ReceivedReport | ReceivedSum) -> StoreReport:
    """Return what a received report or sum says about the store."""
    report = received.report
    return StoreReport(
        received.sent_after,
        report.version,
        report.list_mark,
        report.config_age_s,
        report.list_age_s,
    )
