"""Service sums per account and zone, as kept by one collector."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from greengageflow.core.messages import AccountService, PeerId, ShareReport
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import shard_of

_ACCEPT_LOWER_AFTER_ROWS = 20


@dataclass(slots=True)
class RouterCounters:
    """Last reported counters of one boot of a router.

    Args:
        boot: Boot number of the router.
        full: Shards, as a bit mask, for which a full report was received.
        rows: Report sequence number and counters, by account.
    """

    boot: int
    full: int = 0
    rows: dict[str, tuple[int, AccountService]] = field(default_factory=dict)

    def baseline(self, row: AccountService, shard: int) -> AccountService:
        """Return the counters that the sums already include, before ``row``."""
        previous = self.rows.get(row.account)
        if previous is not None:
            return previous[1]
        # Until the first full report, the router's service so far has been counted by
        # an earlier collector. Counting it again would charge the account twice.
        reported_in_full = self.full >> shard & 1
        return AccountService(row.account, 0.0 if reported_in_full else row.served)


@dataclass(slots=True)
class AccountSums:
    """Service sums of one account.

    Args:
        base: Tokens served in this zone, counted by earlier collectors.
        served: Tokens served in this zone, counted here.
        pending: Pending tokens in this zone.
        waiting: Waiting requests in this zone.
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
    _lower_count: dict[str, int] = field(default_factory=dict)
    _shortfall_since: float | None = None

    def count(self, old: AccountService, new: AccountService) -> None:
        """Add the difference between two values of a router's counters."""
        self.served += max(0.0, new.served - old.served)
        self.pending += new.pending - old.pending
        self.waiting += new.waiting - old.waiting

    def merge_offsets(self, row: AccountService) -> None:
        """Merge the offsets of another collector, by maximum."""
        self.raised = max(self.raised, row.raised)
        self.forgiven = max(self.forgiven, row.forgiven)

    def merge_base(self, served: float) -> None:
        """Merge the zone's service as counted by an earlier collector."""
        self.base = max(self.base, served)

    def merge_shortfall(self, now: float, served: float, confirm_s: float) -> None:
        """Raise the base to ``served`` if it stays higher for ``confirm_s``.

        Service that routers counted while unreachable arrives with their next reports,
        within two intervals. What is still missing was lost with an earlier collector.
        """
        shortfall = served - self.base - self.served
        if shortfall <= 0:
            self._shortfall_since = None
        elif self._shortfall_since is None:
            self._shortfall_since = now
        elif now - self._shortfall_since >= confirm_s:
            self.base += shortfall
            self._shortfall_since = None

    def fold_into_base(self) -> None:
        """Fold the counters into the base, since another router takes over."""
        self.base += self.served
        self.served = self.pending = 0.0
        self.waiting = 0

    def is_ahead(self, zone: str, row: AccountService) -> bool:
        """Return whether this router has a higher sum for a zone than ``row``."""
        previous = self.zones.get(zone)
        return previous is not None and row.served < previous.served

    def merge_zone(self, zone: str, row: AccountService, authoritative: bool) -> None:
        """Merge another zone's sums; normally ``served`` does not decrease.

        A collector that took over without the previous sum starts from zero. If its
        rows were ignored until it caught up, the zone's service would be uncharged in
        the meantime, so a lower value is accepted once it has been repeated.
        """
        previous = self.zones.get(zone) or AccountService(row.account, 0.0)
        if row.served < previous.served:
            self._lower_count[zone] = self._lower_count.get(zone, 0) + authoritative
            if self._lower_count[zone] < _ACCEPT_LOWER_AFTER_ROWS:
                return
        if authoritative:
            self._lower_count.pop(zone, None)
        else:
            # A replicated row has a valid sum, but its other fields are outdated.
            row = replace(row, pending=previous.pending, waiting=previous.waiting)
        self.zones[zone] = row

    def zone_row(self, account: str) -> AccountService:
        """Return the sums of this zone."""
        return AccountService(
            account,
            round(self.base + self.served),
            max(0, round(self.pending)),
            self.waiting,
            round(self.raised),
            round(self.forgiven),
        )

    def total(self, account: str, zones: set[str]) -> AccountService:
        """Return the sums of the fleet.

        Pending tokens and waiting requests only count in ``zones``, the live zones.
        """
        own = self.zone_row(account)
        live = [row for zone, row in self.zones.items() if zone in zones]
        return replace(
            own,
            served=own.served + sum(row.served for row in self.zones.values()),
            pending=own.pending + sum(row.pending for row in live),
            waiting=own.waiting + sum(row.waiting for row in live),
        )


class ZoneSums:
    """Sums of all accounts that one router collects.

    Args:
        shards: Number of account shards.
    """

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self.accounts: dict[str, AccountSums] = {}
        self._routers: dict[str, RouterCounters] = {}

    def for_account(self, account: str) -> AccountSums:
        """Return the sums of an account, created empty when missing."""
        sums = self.accounts.get(account)
        if sums is None:
            sums = self.accounts[account] = AccountSums()
        return sums

    def on_report(
        self, sender: PeerId, report: ShareReport, services: Iterable[AccountService]
    ) -> None:
        """Apply the rows of a report that belong to shards collected here."""
        counters = self._routers.get(sender.host)
        if counters is None or counters.boot < sender.boot:
            self._clear_in_flight(counters)
            counters = self._routers[sender.host] = RouterCounters(sender.boot)
        if counters.boot != sender.boot:
            return
        for row in services:
            previous = counters.rows.get(row.account)
            if previous is None or previous[0] < report.seq:
                shard = shard_of(row.account, self._shards)
                self.for_account(row.account).count(counters.baseline(row, shard), row)
                counters.rows[row.account] = (report.seq, row)
        counters.full |= report.full

    def _clear_in_flight(self, counters: RouterCounters | None) -> None:
        if counters is None:
            return
        for account, (seq, row) in counters.rows.items():
            rest = replace(row, pending=0.0, waiting=0)
            self.for_account(account).count(row, rest)
            counters.rows[account] = (seq, rest)

    def on_view(self, view: FleetView) -> None:
        """Remove the pending tokens and waiting requests of unreachable routers."""
        for host, counters in list(self._routers.items()):
            peer = PeerId(host, counters.boot)
            if view.is_live(peer):
                continue
            self._clear_in_flight(counters)
            # The counters of a router that is only unreachable are kept: when it is
            # back, their difference is what it served meanwhile.
            if view.is_terminated(peer):
                del self._routers[host]

    def start_collecting(self, shard: int) -> None:
        """Start collecting a shard; its service so far was counted elsewhere."""
        for counters in self._routers.values():
            counters.full &= ~(1 << shard)

    def stop_collecting(self, shard: int) -> None:
        """Stop collecting a shard, but keep its sums."""
        for name in self.names(shard):
            self.accounts[name].fold_into_base()
            for counters in self._routers.values():
                counters.rows.pop(name, None)

    def drop(self, shard: int) -> None:
        """Delete the sums of a shard."""
        for name in self.names(shard):
            del self.accounts[name]

    def names(self, shard: int) -> list[str]:
        """Return the accounts of a shard."""
        return [n for n in self.accounts if shard_of(n, self._shards) == shard]
