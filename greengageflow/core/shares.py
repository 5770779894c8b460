"""Service per account: this router's counters and the totals of the fleet.

``ServiceLedger`` holds this router's own counters, which it reports to the collectors
of its zone, and the fleet totals that the collectors send back. ``collector``
implements the collecting side.
"""

from collections.abc import Iterator, Mapping
from hashlib import blake2b

from greengageflow.core.catalog import FleetConfig
from greengageflow.core.effects import Send
from greengageflow.core.messages import AccountService, FleetTotals, PeerId, ShareReport
from greengageflow.core.placement import FleetView

SHARDS = 64
FULL_REPORT_EVERY = 10
REPORT_INTERVALS_S = ((22, 0.5), (90, 1.0), (180, 1.5), (360, 2.0))
"""Pairs of a maximum fleet size and the seconds between reports up to that size."""


def shard_of(account: str, shards: int = SHARDS) -> int:
    """Return the shard of an account, which is the same on every router."""
    return int.from_bytes(blake2b(account.encode(), digest_size=4).digest()) % shards


def share_interval_s(policy_s: float, routers: int) -> float:
    """Return the seconds between two service reports in a fleet of this size.

    A collector sends the totals of every account to every router of its zone, so its
    traffic grows with the fleet. The interval grows along with it, but in steps:
    routers come and go, and each change of the interval restarts the timers.
    """
    max_size, longest_s = REPORT_INTERVALS_S[-1]
    intervals = (
        interval_s for size, interval_s in REPORT_INTERVALS_S if routers <= size
    )
    return max(policy_s, next(intervals, longest_s * -(-routers // max_size)))


class Meter:
    """Counts the service of one request at its entry router.

    Args:
        counter: Counter of the request's account.
        cost: Expected cost, in tokens; pending until served or settled.
    """

    __slots__ = ("_counter", "_pending", "served")

    def __init__(self, counter: "_Counter", cost: float) -> None:
        self._counter = counter
        self._pending = max(0.0, cost)
        self.served = 0.0
        counter.pending += self._pending

    def charge(self, tokens: float) -> None:
        """Count newly served tokens."""
        self.served += tokens
        self._counter.served += tokens
        covered = min(self._pending, tokens)
        self._pending -= covered
        self._counter.pending -= covered

    def settle(self, served: float) -> None:
        """End the request with ``served`` tokens in total; never lowers the count."""
        self.charge(max(0.0, served - self.served))
        self._counter.pending -= self._pending
        self._pending = 0.0


class _Counter:
    __slots__ = ("pending", "served", "waiting")

    def __init__(self) -> None:
        self.served = 0.0
        self.pending = 0.0
        self.waiting = 0

    def snapshot(self, account: str) -> AccountService:
        pending = max(0, round(self.pending))
        return AccountService(account, round(self.served), pending, self.waiting)


class ServiceLedger:
    """Service counters of one router, and the fleet totals.

    Args:
        own: This router.
        shards: Number of account shards.
        local_only: True to ignore the fleet totals (baseline for comparison).
    """

    def __init__(
        self, own: PeerId, *, shards: int = SHARDS, local_only: bool = False
    ) -> None:
        self.shards = shards
        self._own = own
        self._local_only = local_only
        self._counters: dict[str, _Counter] = {}
        self._totals: dict[str, AccountService] = {}
        self._weights: dict[str, float] = {}
        self._sent: dict[str, AccountService] = {}
        self._last_seq: dict[PeerId, int] = {}
        self._totals_at: dict[str, float] = {}
        self._collectors: tuple[PeerId | None, ...] = ()
        self._seq = 0
        self._floor: float | None = None

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply the accounts' weights."""
        self._weights = {name: acc.weight for name, acc in cfg.accounts.items()}
        self._floor = None

    @property
    def totals(self) -> Mapping[str, AccountService]:
        """The fleet totals per account, as last received."""
        return self._totals

    # This router's own service.

    def start_meter(self, account: str, cost: float) -> Meter:
        """Start counting the service of one request."""
        return Meter(self._counter(account), cost)

    def set_waiting(self, account: str, waiting: int) -> None:
        """Set the number of an account's requests that wait here."""
        self._counter(account).waiting = waiting

    def _counter(self, account: str) -> _Counter:
        counter = self._counters.get(account)
        if counter is None:
            counter = self._counters[account] = _Counter()
        return counter

    def report(self, view: FleetView) -> Iterator[Send]:
        """Yield one report per collector; called once per share interval."""
        self._seq += 1
        collectors = self._find_collectors(view)
        full = collectors != self._collectors or self._seq % FULL_REPORT_EVERY == 0
        if full:
            self._sent.clear()
        self._collectors = collectors
        rows = {host: [] for host in self._shard_masks() if full}
        for account, counter in self._counters.items():
            row = counter.snapshot(account)
            peer = collectors[shard_of(account, self.shards)]
            if peer and self._sent.get(account) != row:
                self._sent[account] = row
                rows.setdefault(peer.host, []).append(row)
        for host, services in rows.items():
            mask = self._shard_masks()[host] if full else 0
            yield Send(host, ShareReport(self._seq, tuple(services), mask))

    def _find_collectors(self, view: FleetView) -> tuple[PeerId | None, ...]:
        hosts = (view.collector_of(view.zone, shard) for shard in range(self.shards))
        return tuple(PeerId(h, view.live[h].boot) if h else None for h in hosts)

    def _shard_masks(self) -> dict[str, int]:
        """Return the shards of each collector, as bit masks."""
        masks: dict[str, int] = {}
        for shard, peer in enumerate(self._collectors):
            if peer:
                masks[peer.host] = masks.get(peer.host, 0) | 1 << shard
        return masks

    # The fleet's service.

    def on_totals(self, now: float, sender: PeerId, message: FleetTotals) -> None:
        """Apply fleet totals; duplicates and late copies are ignored."""
        if message.seq <= self._last_seq.get(sender, 0):
            return
        self._last_seq[sender] = message.seq
        for row in message.services:
            self._totals[row.account] = row
            self._totals_at[row.account] = now
        self._floor = None

    def totals_at(self, account: str) -> float:
        """Return the time at which an account's totals were last received."""
        return self._totals_at.get(account, float("-inf"))

    def weight(self, account: str) -> float:
        """Return the account's weight; 1 for an unknown account."""
        return self._weights.get(account, 1.0)

    def level(self, account: str) -> float:
        """Return the account's virtual service: weighted, with offsets.

        An account that is not backlogged anywhere in the fleet is at the floor or
        above, so that idle time earns no credit.
        """
        row = self._row(account)
        level = level_of(row, self.weight(account))
        return level if row.waiting else max(level, self.floor)

    def _row(self, account: str) -> AccountService:
        total = None if self._local_only else self._totals.get(account)
        if total is not None:
            return total
        counter = self._counters.get(account) or _Counter()
        return counter.snapshot(account)

    @property
    def floor(self) -> float:
        """Lowest level of backlogged accounts; if there are none, the highest level."""
        if self._floor is None:
            names = self._counters if self._local_only else self._totals
            rows = [self._row(name) for name in names]
            self._floor = floor_of(rows, self._weights)
        return self._floor


def level_of(row: AccountService, weight: float) -> float:
    """Return the virtual service of an account with the given totals."""
    return (row.served + row.pending + row.raised - row.forgiven) / weight


def floor_of(rows: list[AccountService], weights: Mapping[str, float]) -> float:
    """Return the level at which a formerly idle account starts."""
    levels = [
        (row.waiting, level_of(row, weights.get(row.account, 1.0))) for row in rows
    ]
    backlogged = [level for waiting, level in levels if waiting]
    if backlogged:
        return min(backlogged)
    return max((level for _, level in levels), default=0.0)
