"""Slot accounting of one endpoint at its owner."""

from collections import OrderedDict
from dataclasses import dataclass

from greengageflow.core._charges import Charge
from greengageflow.core.catalog import Endpoint
from greengageflow.core.limits import SlotLimit
from greengageflow.core.messages import GrantTaken, PeerId
from greengageflow.core.placement import FleetView

_RETURNED_KEPT = 512
_REPORT_LAG_S = 2.0
"""Longest delay of an endpoint's load report, in seconds."""
_REPORT_FRESH_S = 3.0


@dataclass(slots=True)
class Hold:
    """One slot in use by an entry router.

    Args:
        peer: Entry router that uses the slot.
        account: Client account that it is granted to.
        ends_at: Latest time at which the request ends.
        ask_at: Time to retransmit the grant; None once it was answered.
        charge: Charge to the account for the grant, if issued here.
        since: Time at which the slot was granted or registered here.
        away: True when the entry router is unreachable.
    """

    peer: PeerId
    account: str
    ends_at: float
    ask_at: float | None = None
    charge: Charge | None = None
    since: float = float("-inf")
    away: bool = False

    @property
    def due_at(self) -> float:
        """Time at which the grant is retransmitted or the slot expires."""
        return self.ends_at if self.ask_at is None else min(self.ask_at, self.ends_at)


class EndpointSlots:
    """Counts the used and free slots of one endpoint.

    Args:
        endpoint: The endpoint as configured.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.limit = SlotLimit(endpoint.slots)
        self.holds: dict[str, Hold] = {}
        self.left_generation = 0
        self.owned = False
        self._usable = 0
        self._growth: list[tuple[float, int]] = []
        self._doubt_until = float("-inf")
        self._fresh: set[str] = set()
        self._known = 0
        self._returned: OrderedDict[str, None] = OrderedDict()
        self._reported_at = float("-inf")
        self._reported = 0

    @property
    def leaving(self) -> bool:
        """Whether the endpoint gets no new requests."""
        gone = self.left_generation >= self.endpoint.generation
        return gone or self.endpoint.leaving

    def configure(self, endpoint: Endpoint) -> None:
        """Apply a changed configuration of the endpoint."""
        if endpoint.generation != self.endpoint.generation:
            self.limit = SlotLimit(endpoint.slots)
        self.endpoint = endpoint
        self.limit.resize(endpoint.slots)

    def lose(self) -> None:
        """Stop granting slots, since another router owns the endpoint now."""
        self.owned = False
        self._usable = 0
        self._growth.clear()

    def own(
        self, now: float, borne: int, settle_s: float, doubt_s: float, cut: bool
    ) -> None:
        """Set the slot quota of this side of a partition to ``borne``.

        An increase takes effect after ``settle_s``: requests started under another
        owner may run in the added slots while their ``GrantTaken`` is in transit. A
        decrease takes effect immediately.

        Args:
            now: Current time.
            borne: Slots that this side of a partition may use.
            settle_s: Seconds in which running requests are registered here.
            doubt_s: Seconds for which unreachable routers may run requests that are
                not registered here; 0 when all routers are reachable.
            cut: True when routers have just become unreachable.
        """
        if self._usable:
            # The other side of the partition may still use slots that move to this
            # side's quota, including those of a host that was back only briefly.
            settle_s = max(settle_s, doubt_s)
            if cut:
                self._growth.clear()
        else:
            if not self._growth:
                self._fresh.clear()
                self._known = 0
            if doubt_s:
                self._doubt_until = now + doubt_s
        self.owned = True
        self._usable = min(self._usable, borne)
        self._growth = [(at, min(slots, borne)) for at, slots in self._growth]
        planned = self._growth[-1][1] if self._growth else self._usable
        if borne > planned:
            self._growth.append((now + settle_s, borne))
        self.settle(now)

    def clear_doubt(self) -> None:
        """End the uncertainty about unregistered requests: all routers are live."""
        self._doubt_until = float("-inf")

    def settle(self, now: float) -> None:
        """Apply the quota increases that are due."""
        while self._growth and self._growth[0][0] <= now:
            _, self._usable = self._growth.pop(0)

    def free(self, now: float) -> int:
        """Return the number of slots that may be granted now."""
        if self.leaving:
            return 0
        self.settle(now)
        usable = min(self._usable, self.limit.allowed(now))
        away = sum(hold.away for hold in self.holds.values())
        doubtful = away or now < self._doubt_until
        if doubtful and now - self._reported_at <= _REPORT_FRESH_S:
            return self._free_by_report(usable, len(self.holds) - away)
        # An unreachable router may run requests that the previous owner granted.
        # Granting their slots again would overload the endpoint. Only as many slots
        # as were registered here at the same time are known not to be among them.
        if now < self._doubt_until:
            usable = min(usable, self._known)
        return max(0, usable - len(self.holds))

    def _free_by_report(self, usable: int, reached: int) -> int:
        """Return the free slots by load report, while routers are unreachable.

        Without the report, the slots of unreachable routers would stay unused until
        the requests' deadline: a third of the endpoint for a minute after each lost
        host. The endpoint's own count shows earlier that the requests ended. The
        count lags, so grants issued since are added to it. The other side of a
        partition stays within its own quota, so the sum fits the endpoint.
        """
        before = self._reported_at - _REPORT_LAG_S
        recent = sum(h.since > before for h in self.holds.values() if not h.away)
        running = self._reported + recent
        return max(0, min(usable - reached, self.endpoint.slots - running))

    def report(self, now: float, running: int) -> None:
        """Record the number of running requests that the endpoint reports."""
        self._reported_at = now
        self._reported = running

    def note_reach(self, view: FleetView) -> None:
        """Update which entry routers are reachable."""
        for hold in self.holds.values():
            hold.away = not view.is_live(hold.peer)

    def hold(self, grant: str, hold: Hold) -> None:
        """Count a slot as used."""
        self.holds[grant] = hold
        self._confirm(grant)

    def _confirm(self, grant: str) -> None:
        self._fresh.add(grant)
        self._fresh &= self.holds.keys()
        self._known = max(self._known, len(self._fresh))

    def take(self, now: float, sender: PeerId, message: GrantTaken) -> None:
        """Count a slot as used by a running request, whichever owner granted it."""
        if message.grant in self._returned:
            return
        hold = self.holds.get(message.grant)
        ends_at = now + message.deadline_s
        if hold is None:
            hold = Hold(sender, message.account, ends_at, since=now)
            self.hold(message.grant, hold)
            return
        hold.ends_at = ends_at if hold.ask_at else min(hold.ends_at, ends_at)
        hold.ask_at = None
        self._confirm(message.grant)

    def give_back(self, grant: str) -> Hold | None:
        """Free a slot; return None when the grant does not use one (any more).

        A duplicate, or a copy that arrives after the slot expired, must not free a
        slot again: another request may already use it. A copy of ``GrantTaken`` that
        arrives later must not count the slot as used.
        """
        self._returned[grant] = None
        if len(self._returned) > _RETURNED_KEPT:
            self._returned.popitem(last=False)
        return self.holds.pop(grant, None)

    def expire(self, now: float, view: FleetView) -> None:
        """Free slots whose requests have certainly ended."""
        for grant, hold in list(self.holds.items()):
            if hold.ends_at <= now or view.is_terminated(hold.peer):
                del self.holds[grant]

    @property
    def due_at(self) -> float:
        """Time of the next retransmission, expiry or quota increase."""
        times = [hold.due_at for hold in self.holds.values()]
        if self._growth:
            times.append(self._growth[0][0])
        return min(times, default=float("inf"))
