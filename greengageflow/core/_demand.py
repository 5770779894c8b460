"""Demand that entry routers have registered with one endpoint owner."""

from collections.abc import Iterator
from dataclasses import dataclass

from greengageflow.core.messages import Demand, PeerId
from greengageflow.core.placement import FleetView

FORGET_S = 20.0


@dataclass(slots=True)
class Waiting:
    """Demand of one account at one entry router.

    Args:
        peer: The entry router.
        seq: Sequence number of the ``Demand`` message.
        waiting: Requests that wait there without a grant from this owner.
        cost: Expected cost of one request, in tokens.
        since: Time at which the demand became non-zero.
        heard_at: Time of the last ``Demand`` message.
        granted: Serial number of this owner's last grant to it.
    """

    peer: PeerId
    seq: int
    waiting: int
    cost: float
    since: float
    heard_at: float
    granted: int = 0


class DemandBook:
    """Demand for one pool, by account and entry router."""

    def __init__(self) -> None:
        self.heard_at = float("-inf")
        self._accounts: dict[str, dict[str, Waiting]] = {}
        self._serial = 0

    def put(self, now: float, sender: PeerId, demand: Demand) -> None:
        """Apply a ``Demand`` message; duplicates and late copies are ignored."""
        entries = self._accounts.setdefault(demand.account, {})
        old = entries.get(sender.host)
        if old and (sender.boot, demand.seq) <= (old.peer.boot, old.seq):
            return
        if demand.waiting:
            self.heard_at = now
        fresh = old is None or not old.waiting
        entries[sender.host] = Waiting(
            sender,
            demand.seq,
            demand.waiting,
            demand.cost,
            now if fresh else old.since,
            now,
            old.granted if old else 0,
        )

    def candidates(self, view: FleetView) -> Iterator[tuple[str, Waiting]]:
        """Yield each waiting account with its least recently granted router."""
        for account, entries in self._accounts.items():
            ready = [
                entry
                for entry in entries.values()
                if entry.waiting > 0 and view.is_live(entry.peer)
            ]
            if ready:
                yield account, min(ready, key=lambda entry: entry.granted)

    def take(self, entry: Waiting) -> None:
        """Count one request of an entry router as granted."""
        self._serial += 1
        entry.granted = self._serial
        entry.waiting -= 1

    def any_waiting(self, view: FleetView) -> bool:
        """Return whether requests wait at a live entry router."""
        return next(self.candidates(view), None) is not None

    def forget(self, now: float, view: FleetView) -> None:
        """Drop demand that was not refreshed or whose router is dead."""
        for account, entries in list(self._accounts.items()):
            for host, entry in list(entries.items()):
                if now - entry.heard_at > FORGET_S or view.is_terminated(entry.peer):
                    del entries[host]
            if not entries:
                del self._accounts[account]
