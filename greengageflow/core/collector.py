"""Aggregates the service of a zone's routers and distributes the fleet totals.

Each zone has one collector per shard of accounts. It sums the reports of the zone's
routers, exchanges the zone's sums with the collectors of the same shard in the other
zones, and sends the fleet totals to the routers of its own zone.
"""

from collections.abc import Iterator
from typing import Any

from greengageflow.core._offsets import Offsets
from greengageflow.core._zone_sums import ZoneSums
from greengageflow.core.effects import Send
from greengageflow.core.messages import (
    AccountService,
    FleetTotals,
    PeerId,
    ShareReport,
    ZoneTotals,
)
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import FULL_REPORT_EVERY, ServiceLedger, shard_of

_SETTLE_INTERVALS = 3
_BASE_MERGE_INTERVALS = 10
_REPLICATE_EVERY_REPORTS = 4


class Collector:
    """Collects account shards for the zone of this router.

    Args:
        own: This router.
        ledger: This router's ledger, with the latest fleet totals.
        interval_s: Seconds between two calls of ``report``.
    """

    def __init__(
        self, own: PeerId, ledger: ServiceLedger, *, interval_s: float = 0.5
    ) -> None:
        self._own = own
        self._ledger = ledger
        self.set_interval(interval_s)
        self._offsets = Offsets(ledger)
        self._view: FleetView | None = None
        self._zone = ""
        self._ready_at: dict[int, float] = {}
        self._ready: set[int] = set()
        self._sums = ZoneSums(ledger.shards)
        self._sent: dict[str, AccountService] = {}
        self._broadcast: dict[str, AccountService] = {}
        self._routers: set[PeerId] = set()
        self._new_routers: set[str] = set()
        self._candidates: dict[int, tuple[str, ...]] = {}
        self._replicated: dict[tuple[str, str], tuple[float, float, float]] = {}
        self._partners: dict[tuple[str, int], PeerId] = {}
        self._new_partners: set[tuple[str, int]] = set()
        self._seq = 0

    def set_interval(self, interval_s: float) -> None:
        """Set the seconds between two calls of ``report``."""
        self._settle_s = _SETTLE_INTERVALS * interval_s
        self._base_merge_s = _BASE_MERGE_INTERVALS * interval_s

    @property
    def shards(self) -> frozenset[int]:
        """Account shards that this router collects."""
        return frozenset(self._ready_at)

    def _shard(self, account: str) -> int:
        return shard_of(account, self._ledger.shards)

    # Fleet view.

    def on_view(self, now: float, view: FleetView) -> None:
        """Apply a changed view of the fleet."""
        self._view = view
        self._zone = view.zone
        candidates = {
            shard: view.collectors_of(self._zone, shard)
            for shard in range(self._ledger.shards)
        }
        for shard, hosts in candidates.items():
            if hosts != self._candidates.get(shard):
                self._on_candidates(now, shard, hosts)
        self._candidates = candidates
        self._update_routers(view)
        self._update_partners(view)
        self._sums.on_view(view)

    def _on_candidates(self, now: float, shard: int, hosts: tuple[str, ...]) -> None:
        collects = hosts[:1] == (self._own.host,)
        if collects and shard not in self._ready_at:
            self._ready_at[shard] = now + self._settle_s
            self._sums.start_collecting(shard)
        if not collects and shard in self._ready_at:
            del self._ready_at[shard]
            self._ready.discard(shard)
            self._sums.stop_collecting(shard)
        if self._own.host not in hosts:
            self._sums.drop(shard)
        for key in [key for key in self._replicated if self._shard(key[0]) == shard]:
            del self._replicated[key]

    def _update_routers(self, view: FleetView) -> None:
        routers = {
            PeerId(host, view.live[host].boot) for host in view.zone_hosts(self._zone)
        }
        self._new_routers |= {peer.host for peer in routers - self._routers}
        self._routers = routers

    def _update_partners(self, view: FleetView) -> None:
        """Update the collectors of the same shards, in all zones including this."""
        partners = {}
        for zone in view.zones:
            for shard, hosts in self._candidates.items():
                host = view.collector_of(zone, shard)
                if host in (None, self._own.host) or self._own.host not in hosts:
                    continue
                partners[zone, shard] = PeerId(host, view.live[host].boot)
        changed = partners.items() - self._partners.items()
        self._new_partners |= {key for key, _ in changed}
        self._partners = partners

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> None:
        """Handle a service report or a zone's totals."""
        match message:
            case ShareReport(services=services):
                if self._view is not None and not self._view.is_terminated(sender):
                    collected = [row for row in services if self._collects(row)]
                    self._sums.on_report(sender, message, collected)
            case ZoneTotals(zone=zone, services=services):
                for row in services:
                    if self._own.host in self._candidates.get(
                        self._shard(row.account), ()
                    ):
                        self._on_zone_row(now, sender, zone, row)

    def _collects(self, row: AccountService) -> bool:
        return self._shard(row.account) in self._ready_at

    def _on_zone_row(
        self, now: float, sender: PeerId, zone: str, row: AccountService
    ) -> None:
        sums = self._sums.for_account(row.account)
        sums.merge_offsets(row)
        shard = self._shard(row.account)
        if zone != self._zone:
            member = self._view.live.get(sender.host)
            authoritative = member is not None and member.zone == zone
            if authoritative and sums.is_ahead(zone, row):
                self._new_partners.add((zone, shard))
            sums.merge_zone(zone, row, authoritative)
            return
        if shard not in self._ready_at:
            if row.served < sums.zone_row(row.account).served:
                self._new_partners.add((zone, shard))
            sums.merge_base(row.served)
        elif now <= self._ready_at[shard] + self._base_merge_s:
            # Service that the zone's previous collector counted.
            counted = sums.served if shard in self._ready else 0.0
            sums.merge_base(row.served - counted)
        else:
            sums.merge_shortfall(now, row.served, self._base_merge_s)

    # Timers.

    def report(self, now: float) -> Iterator[Send]:
        """Yield the totals for other collectors and the zone's routers.

        Called once per share interval.
        """
        if self._view is None:
            return
        self._seq += 1
        self._offsets.sample_rate(now)
        self._update_ready(now)
        names = [n for n in self._sums.accounts if self._shard(n) in self._ready]
        totals = {name: self._total_with_offsets(now, name) for name in names}
        if self._seq % FULL_REPORT_EVERY == 0:
            self._sent.clear()
            self._broadcast.clear()
        yield from self._send_handover()
        yield from self._send_zone_totals(names)
        if self._seq % _REPLICATE_EVERY_REPORTS == 0:
            yield from self._replicate(names)
        yield from self._send_fleet_totals(totals)

    def _update_ready(self, now: float) -> None:
        ready = {shard for shard, at in self._ready_at.items() if at <= now}
        if ready != self._ready:
            self._ready = ready
            self._sent.clear()
            self._broadcast.clear()

    def _total_with_offsets(self, now: float, name: str) -> AccountService:
        sums = self._sums.for_account(name)
        raised, forgiven = self._offsets.increments(
            now, sums.total(name, self._view.zones)
        )
        sums.raised += raised
        sums.forgiven += forgiven
        return sums.total(name, self._view.zones)

    def _all_zone_rows(self, name: str) -> dict[str, AccountService]:
        sums = self._sums.for_account(name)
        return {**sums.zones, self._zone: sums.zone_row(name)}

    def _send_handover(self) -> Iterator[Send]:
        """Send all known zone sums to new collectors, including their own zone's.

        A collector that has just restarted has no state. Without the sums, the
        accounts of its shards would be far below all others and get every slot.
        """
        rows: dict[tuple[str, str], list[AccountService]] = {}
        for key in self._new_partners & self._partners.keys():
            host = self._partners[key].host
            for name in self._sums.names(key[1]):
                for zone, row in self._all_zone_rows(name).items():
                    rows.setdefault((host, zone), []).append(row)
        self._new_partners.clear()
        yield from _zone_messages(rows)

    def _replicate(self, names: list[str]) -> Iterator[Send]:
        """Replicate changed sums of all zones to the standby collectors."""
        rows: dict[tuple[str, str], list[AccountService]] = {}
        for name in names:
            for zone, row in self._all_zone_rows(name).items():
                sums = (row.served, row.raised, row.forgiven)
                if self._replicated.get((name, zone)) == sums:
                    continue
                self._replicated[name, zone] = sums
                for host in self._candidates[self._shard(name)][1:]:
                    rows.setdefault((host, zone), []).append(row)
        yield from _zone_messages(rows)

    def _send_zone_totals(self, names: list[str]) -> Iterator[Send]:
        rows: dict[tuple[str, str], list[AccountService]] = {}
        for name in names:
            row = self._sums.for_account(name).zone_row(name)
            if self._sent.get(name) == row:
                continue
            self._sent[name] = row
            for zone in self._view.zones - {self._zone}:
                partner = self._partners.get((zone, self._shard(name)))
                if partner is not None:
                    rows.setdefault((partner.host, self._zone), []).append(row)
        yield from _zone_messages(rows)

    def _send_fleet_totals(self, totals: dict[str, AccountService]) -> Iterator[Send]:
        changed = [
            row for name, row in totals.items() if self._broadcast.get(name) != row
        ]
        self._broadcast.update(totals)
        delta = FleetTotals(tuple(changed), self._seq)
        full = FleetTotals(tuple(totals.values()), self._seq)
        for host in self._view.zone_hosts(self._zone):
            message = full if host in self._new_routers else delta
            if message.services:
                yield Send(host, message)
        if totals:
            self._new_routers.clear()


def _zone_messages(
    rows: dict[tuple[str, str], list[AccountService]],
) -> Iterator[Send]:
    for (host, zone), services in rows.items():
        yield Send(host, ZoneTotals(zone, tuple(services)))
