"""Service sums per account and zone, as kept by one collector."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from greengageflow.core.messages import AccountService, PeerId, ShareReport
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import shard_of

_BELIEVED_AFTER = 20


@dataclass(slots=True)
class Origin:
    """Last reported counters of one boot of a router.

    Args:
        boot: Boot number of the router.
        full: Shards, as a bit mask, for which a full report was received.
        rows: Report sequence number and counters, by account.
    """

    boot: int
    full: int = 0
    rows: dict[str, tuple[int, AccountService]] = field(default_factory=dict)

    def before(self, row: AccountService, shard: int) -> AccountService:
        """Return the counters that the sums already include, before ``row``."""
        known = self.rows.get(row.account)
        if known is not None:
            return known[1]
        # Until the first full report, the router's service so far has been counted by
        # an earlier collector. Counting it again would charge the account twice.
        known_anew = self.full >> shard & 1
        return AccountService(row.account, 0.0 if known_anew else row.served)


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
    _lower: dict[str, int] = field(default_factory=dict)
    _short_since: float | None = None

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

    def merge_late(self, now: float, served: float, patience_s: float) -> None:
        """Raise the base to ``served`` if it stays higher for ``patience_s``.

        Service that routers counted while unreachable arrives with their next reports,
        within two intervals. What is still missing was lost with an earlier collector.
        """
        short = served - self.base - self.served
        if short <= 0:
            self._short_since = None
        elif self._short_since is None:
            self._short_since = now
        elif now - self._short_since >= patience_s:
            self.base += short
            self._short_since = None

    def hand_over(self) -> None:
        """Fold the counters into the base, since another router takes over."""
        self.base += self.served
        self.served = self.pending = 0.0
        self.waiting = 0

    def knows_more(self, zone: str, row: AccountService) -> bool:
        """Return whether this router has a higher sum for a zone than ``row``."""
        known = self.zones.get(zone)
        return known is not None and row.served < known.served

    def merge_zone(self, zone: str, row: AccountService, first_hand: bool) -> None:
        """Merge another zone's sums; normally ``served`` does not decrease.

        A collector that took over without the previous sum starts from zero. If its
        rows were ignored until it caught up, the zone's service would be uncharged in
        the meantime, so a lower value is accepted once it has been repeated.
        """
        known = self.zones.get(zone) or AccountService(row.account, 0.0)
        if row.served < known.served:
            self._lower[zone] = self._lower.get(zone, 0) + first_hand
            if self._lower[zone] < _BELIEVED_AFTER:
                return
        if first_hand:
            self._lower.pop(zone, None)
        else:
            # A replicated row has a valid sum, but its other fields are outdated.
            row = replace(row, pending=known.pending, waiting=known.waiting)
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
        self._origins: dict[str, Origin] = {}

    def of(self, account: str) -> AccountSums:
        """Return the sums of an account, created empty when missing."""
        sums = self.accounts.get(account)
        if sums is None:
            sums = self.accounts[account] = AccountSums()
        return sums

    def on_report(
        self, sender: PeerId, report: ShareReport, services: Iterable[AccountService]
    ) -> None:
        """Apply the rows of a report that belong to shards collected here."""
        origin = self._origins.get(sender.host)
        if origin is None or origin.boot < sender.boot:
            self._zero(origin)
            origin = self._origins[sender.host] = Origin(sender.boot)
        if origin.boot != sender.boot:
            return
        for row in services:
            known = origin.rows.get(row.account)
            if known is None or known[0] < report.seq:
                shard = shard_of(row.account, self._shards)
                self.of(row.account).count(origin.before(row, shard), row)
                origin.rows[row.account] = (report.seq, row)
        origin.full |= report.full

    def _zero(self, origin: Origin | None) -> None:
        if origin is None:
            return
        for account, (seq, row) in origin.rows.items():
            rest = replace(row, pending=0.0, waiting=0)
            self.of(account).count(row, rest)
            origin.rows[account] = (seq, rest)

    def on_view(self, view: FleetView) -> None:
        """Remove the pending tokens and waiting requests of unreachable routers."""
        for host, origin in list(self._origins.items()):
            peer = PeerId(host, origin.boot)
            if view.is_live(peer):
                continue
            self._zero(origin)
            # The counters of a router that is only unreachable are kept: when it is
            # back, their difference is what it served meanwhile.
            if view.is_terminated(peer):
                del self._origins[host]

    def collect(self, shard: int) -> None:
        """Start collecting a shard; its service so far was counted elsewhere."""
        for origin in self._origins.values():
            origin.full &= ~(1 << shard)

    def hand_over(self, shard: int) -> None:
        """Stop collecting a shard, but keep its sums."""
        for name in self.names(shard):
            self.accounts[name].hand_over()
            for origin in self._origins.values():
                origin.rows.pop(name, None)

    def drop(self, shard: int) -> None:
        """Delete the sums of a shard."""
        for name in self.names(shard):
            del self.accounts[name]

    def names(self, shard: int) -> list[str]:
        """Return the accounts of a shard."""
        return [n for n in self.accounts if shard_of(n, self._shards) == shard]
