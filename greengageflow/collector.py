"""Sums the service of one zone's routers and spreads the fleet's totals.

Each zone has one collector a shard of accounts. It adds up what the zone's routers
report, exchanges the zone's sums with the collectors of the same shard in the other
zones, and sends the fleet's totals to the routers of its own zone.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from greengageflow._offsets import Offsets
from greengageflow.effects import Send
from greengageflow.messages import (
    AccountService,
    FleetTotals,
    PeerId,
    ShareReport,
    ZoneTotals,
)
from greengageflow.placement import FleetView
from greengageflow.shares import FULL_REPORT_EVERY, ServiceLedger, shard_of

_SETTLE_INTERVALS = 3


@dataclass(slots=True)
class _Origin:
    """Last counters of one life of a router, with the report that had them."""

    boot: int
    full: bool = False
    rows: dict[str, tuple[int, AccountService]] = field(default_factory=dict)


@dataclass(slots=True)
class _Account:
    """What is known of one account.

    Args:
        base: Tokens of this zone that an earlier collector counted.
        served: Tokens of this zone that were counted here.
        pending: Pending tokens of this zone.
        waiting: Requests waiting in this zone.
        raised: See ``_offsets``.
        forgiven: See ``_offsets``.
        zones: Sums of the other zones.
    """

    base: float = 0.0
    served: float = 0.0
    pending: float = 0.0
    waiting: int = 0
    raised: float = 0.0
    forgiven: float = 0.0
    zones: dict[str, AccountService] = field(default_factory=dict)


class Collector:
    """Collects shards of accounts for the zone of this router.

    Args:
        own: This router.
        ledger: This router's ledger, which gives the totals known so far.
        interval_s: Seconds between two calls of ``report``.
    """

    def __init__(
        self, own: PeerId, ledger: ServiceLedger, *, interval_s: float = 0.5
    ) -> None:
        self._own = own
        self._ledger = ledger
        self._interval_s = interval_s
        self._offsets = Offsets(ledger)
        self._view: FleetView | None = None
        self._zone = ""
        self._ready_at: dict[int, float] = {}
        self._ready: set[int] = set()
        self._origins: dict[str, _Origin] = {}
        self._accounts: dict[str, _Account] = {}
        self._sent: dict[str, AccountService] = {}
        self._told: dict[str, AccountService] = {}
        self._peers: set[PeerId] = set()
        self._new_routers: set[str] = set()
        self._partners: dict[tuple[str, int], PeerId | None] = {}
        self._new_partners: set[tuple[str, int]] = set()
        self._seq = 0

    @property
    def shards(self) -> frozenset[int]:
        """Shards of accounts that this router collects."""
        return frozenset(self._ready_at)

    # The view.

    def on_view(self, now: float, view: FleetView) -> None:
        """Take over a changed view of the fleet."""
        self._view = view
        self._zone = view.zone
        shards = {
            shard
            for shard in range(self._ledger.shards)
            if view.collector_of(self._zone, shard) == self._own.host
        }
        settle_s = _SETTLE_INTERVALS * self._interval_s
        for shard in self._ready_at.keys() - shards:
            self._drop(shard)
        for shard in shards - self._ready_at.keys():
            self._ready_at[shard] = now + settle_s
        self._note_peers(view)
        self._note_partners(view)
        self._forget_origins(view)

    def _drop(self, shard: int) -> None:
        del self._ready_at[shard]
        self._ready.discard(shard)
        for account in [a for a in self._accounts if self._shard(a) == shard]:
            del self._accounts[account]
            self._sent.pop(account, None)
            self._told.pop(account, None)
            for origin in self._origins.values():
                origin.rows.pop(account, None)

    def _shard(self, account: str) -> int:
        return shard_of(account, self._ledger.shards)

    def _note_peers(self, view: FleetView) -> None:
        peers = {PeerId(host, member.boot) for host, member in view.live.items()}
        for peer in peers - self._peers:
            if view.live[peer.host].zone == self._zone:
                self._new_routers.add(peer.host)
        self._peers = peers

    def _note_partners(self, view: FleetView) -> None:
        partners = {}
        for zone in view.zones - {self._zone}:
            for shard in self._ready_at:
                host = view.collector_of(zone, shard)
                partner = PeerId(host, view.live[host].boot) if host else None
                partners[zone, shard] = partner
                if partner and self._partners.get((zone, shard)) != partner:
                    self._new_partners.add((zone, shard))
        self._partners = partners

    def _forget_origins(self, view: FleetView) -> None:
        for host, origin in list(self._origins.items()):
            if PeerId(host, origin.boot) in self._peers:
                continue
            for account, (seq, row) in origin.rows.items():
                rest = replace(row, pending=0.0, waiting=0)
                self._count(account, row, rest)
                origin.rows[account] = (seq, rest)
            # A router that is only cut off keeps its counters: when it is back,
            # what it served meanwhile is their difference.
            if view.is_gone(PeerId(host, origin.boot)):
                del self._origins[host]

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> None:
        """Take in a report or another zone's totals."""
        match message:
            case ShareReport():
                self._on_report(sender, message)
            case ZoneTotals(zone=zone, services=services):
                self._on_zone(sender, zone, services)

    def _on_report(self, sender: PeerId, report: ShareReport) -> None:
        if self._view is None or self._view.is_gone(sender):
            return
        origin = self._origins.get(sender.host)
        if origin is None or origin.boot < sender.boot:
            origin = self._origins[sender.host] = _Origin(sender.boot)
        if origin.boot != sender.boot:
            return
        for row in report.services:
            if self._shard(row.account) in self._ready_at:
                self._on_row(origin, report.seq, row)
        origin.full = origin.full or report.full

    def _on_row(self, origin: _Origin, seq: int, row: AccountService) -> None:
        known = origin.rows.get(row.account)
        if known is not None and known[0] >= seq:
            return
        if known is not None:
            before = known[1]
        elif origin.full:
            before = AccountService(row.account, 0.0)
        else:
            # An earlier collector has counted what this router served so far;
            # counting it again would charge the account twice.
            before = AccountService(row.account, row.served)
        origin.rows[row.account] = (seq, row)
        self._count(row.account, before, row)

    def _count(self, name: str, old: AccountService, new: AccountService) -> None:
        account = self._account(name)
        account.served += max(0.0, new.served - old.served)
        account.pending += new.pending - old.pending
        account.waiting += new.waiting - old.waiting

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account()
        return account

    def _on_zone(
        self, sender: PeerId, zone: str, services: Iterable[AccountService]
    ) -> None:
        for row in services:
            if self._shard(row.account) not in self._ready_at:
                continue
            account = self._account(row.account)
            account.raised = max(account.raised, row.raised)
            account.forgiven = max(account.forgiven, row.forgiven)
            if zone == self._zone:
                counted = account.served if self._is_ready(row.account) else 0.0
                account.base = max(account.base, row.served - counted)
            else:
                self._merge(account, sender, zone, row)

    def _is_ready(self, account: str) -> bool:
        return self._shard(account) in self._ready

    def _merge(
        self, account: _Account, sender: PeerId, zone: str, row: AccountService
    ) -> None:
        known = account.zones.get(zone)
        if known is not None and row.served < known.served:
            return
        member = self._view.live.get(sender.host) if self._view else None
        if member is None or member.zone != zone:
            # A third zone's copy: good for the sum, too old for the rest.
            pending = known.pending if known else 0.0
            row = replace(row, pending=pending, waiting=known.waiting if known else 0)
        account.zones[zone] = row

    # Time.

    def report(self, now: float) -> Iterator[Send]:
        """Yield the totals for other collectors and the zone's routers.

        Call it each share interval.
        """
        if self._view is None:
            return
        self._seq += 1
        self._offsets.measure(now)
        self._become_ready(now)
        names = [name for name in self._accounts if self._is_ready(name)]
        totals = {name: self._shifted_total(name) for name in names}
        if self._seq % FULL_REPORT_EVERY == 0:
            self._sent.clear()
            self._told.clear()
        yield from self._send_known_zones()
        yield from self._send_zone_totals(names)
        yield from self._send_fleet_totals(totals)

    def _become_ready(self, now: float) -> None:
        for shard, ready_at in self._ready_at.items():
            if ready_at <= now and shard not in self._ready:
                self._start_from_totals(shard)
                self._ready.add(shard)

    def _start_from_totals(self, shard: int) -> None:
        for name, total in self._ledger.totals.items():
            if self._shard(name) != shard:
                continue
            account = self._account(name)
            account.raised = max(account.raised, total.raised)
            account.forgiven = max(account.forgiven, total.forgiven)
            elsewhere = sum(row.served for row in account.zones.values())
            account.base = max(account.base, total.served - elsewhere)

    def _shifted_total(self, name: str) -> AccountService:
        account = self._accounts[name]
        raised, forgiven = self._offsets.shift(self._total(name))
        account.raised += raised
        account.forgiven += forgiven
        return self._total(name)

    def _total(self, name: str) -> AccountService:
        account = self._accounts[name]
        zones = account.zones
        live = [row for zone, row in zones.items() if zone in self._view.zones]
        return AccountService(
            name,
            self._zone_row(name).served + sum(row.served for row in zones.values()),
            max(0, round(account.pending + sum(row.pending for row in live))),
            account.waiting + sum(row.waiting for row in live),
            round(account.raised),
            round(account.forgiven),
        )

    def _zone_row(self, name: str) -> AccountService:
        account = self._accounts[name]
        return AccountService(
            name,
            round(account.base + account.served),
            max(0, round(account.pending)),
            account.waiting,
            round(account.raised),
            round(account.forgiven),
        )

    def _send_known_zones(self) -> Iterator[Send]:
        """Tell collectors that took over what is known, of their own zone too."""
        rows: dict[tuple[str, str], list[AccountService]] = {}
        for partner in self._new_partners & self._partners.keys():
            host = self._partners[partner].host
            for name, account in self._accounts.items():
                if self._shard(name) == partner[1]:
                    for zone, row in account.zones.items():
                        rows.setdefault((host, zone), []).append(row)
                    if self._is_ready(name):
                        own = self._zone_row(name)
                        rows.setdefault((host, self._zone), []).append(own)
        self._new_partners.clear()
        for (host, zone), services in rows.items():
            yield Send(host, ZoneTotals(zone, tuple(services)))

    def _send_zone_totals(self, names: list[str]) -> Iterator[Send]:
        rows: dict[str, list[AccountService]] = {}
        others = self._view.zones - {self._zone}
        for name in names:
            row = self._zone_row(name)
            if not others or self._sent.get(name) == row:
                continue
            self._sent[name] = row
            for zone in others:
                host = self._view.collector_of(zone, self._shard(name))
                if host:
                    rows.setdefault(host, []).append(row)
        for host, services in rows.items():
            yield Send(host, ZoneTotals(self._zone, tuple(services)))

    def _send_fleet_totals(self, totals: dict[str, AccountService]) -> Iterator[Send]:
        changed = [row for name, row in totals.items() if self._told.get(name) != row]
        self._told.update(totals)
        news = FleetTotals(tuple(changed), self._seq)
        full = FleetTotals(tuple(totals.values()), self._seq)
        for host in self._view.zone_hosts(self._zone):
            message = full if host in self._new_routers else news
            if message.services:
                yield Send(host, message)
        if totals:
            self._new_routers.clear()
