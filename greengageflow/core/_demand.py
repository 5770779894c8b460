"""Demand that entry routers have registered with one endpoint owner."""

from collections.abc import Iterator
from dataclasses import dataclass

from greengageflow.core.messages import Demand, PeerId
from greengageflow.core.placement import FleetView

DEMAND_TTL_S = 20.0


@dataclass(slots=True)
class EntryDemand:
    """Demand of one account at one entry router.

    Args:
        peer: The entry router.
        seq: Sequence number of the ``Demand`` message.
        waiting: Requests that wait there without a grant from this owner.
        cost: Expected cost of one request, in tokens.
        waiting_since: Time at which the demand became non-zero.
        updated_at: Time of the last ``Demand`` message.
        last_grant_seq: Serial number of this owner's last grant to it.
    """

    peer: PeerId
    seq: int
    waiting: int
    cost: float
    waiting_since: float
    updated_at: float
    last_grant_seq: int = 0


class PoolDemand:
    """Demand for one pool, by account and entry router."""

    def __init__(self) -> None:
        self.last_demand_at = float("-inf")
        self._accounts: dict[str, dict[str, EntryDemand]] = {}
        self._grant_seq = 0

    def update(self, now: float, sender: PeerId, demand: Demand) -> None:
        """Apply a ``Demand`` message; duplicates and late copies are ignored."""
        entries = self._accounts.setdefault(demand.account, {})
        old = entries.get(sender.host)
        if old and (sender.boot, demand.seq) <= (old.peer.boot, old.seq):
            return
        if demand.waiting:
            self.last_demand_at = now
        fresh = old is None or not old.waiting
        entries[sender.host] = EntryDemand(
            sender,
            demand.seq,
            demand.waiting,
            demand.cost,
            now if fresh else old.waiting_since,
            now,
            old.last_grant_seq if old else 0,
        )

    def candidates(self, view: FleetView) -> Iterator[tuple[str, EntryDemand]]:
        """Yield each waiting account with its least recently granted router."""
        for account, entries in self._accounts.items():
            ready = [
                entry
                for entry in entries.values()
                if entry.waiting > 0 and view.is_live(entry.peer)
            ]
            if ready:
                yield account, min(ready, key=lambda entry: entry.last_grant_seq)

    def on_granted(self, entry: EntryDemand) -> None:
        """Count one request of an entry router as granted."""
        self._grant_seq += 1
        entry.last_grant_seq = self._grant_seq
        entry.waiting -= 1

    def has_waiting(self, view: FleetView) -> bool:
        """Return whether requests wait at a live entry router."""
        return next(self.candidates(view), None) is not None

    def expire(self, now: float, view: FleetView) -> None:
        """Drop demand that was not refreshed or whose router is dead."""
        for account, entries in list(self._accounts.items()):
            for host, entry in list(entries.items()):
                if now - entry.updated_at > DEMAND_TTL_S or view.is_terminated(
                    entry.peer
                ):
                    del entries[host]
            if not entries:
                del self._accounts[account]
