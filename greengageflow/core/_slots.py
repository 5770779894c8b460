"""Slot accounting of one endpoint at its owner."""

from collections import OrderedDict
from dataclasses import dataclass

from greengageflow.core._charges import Charge
from greengageflow.core._unregistered import REPORT_LAG_MAX_S, UnregisteredRequests
from greengageflow.core.catalog import Endpoint
from greengageflow.core.limits import SlotLimit
from greengageflow.core.messages import GrantTaken, PeerId
from greengageflow.core.placement import FleetView

_RELEASED_LIMIT = 512
_REPORT_MAX_AGE_S = 3.0


@dataclass(slots=True)
class SlotLease:
    """One slot in use by an entry router.

    Args:
        peer: Entry router that uses the slot.
        account: Client account that it is granted to.
        ends_at: Latest time at which the request ends.
        retransmit_at: Time to retransmit the grant; None once it was answered.
        charge: Charge to the account for the grant, if issued here.
        granted_at: Time at which the slot was granted or registered here.
        unreachable: True when the entry router is unreachable.
        demand_seq: Sequence number of the demand that the grant serves.
    """

    peer: PeerId
    account: str
    ends_at: float
    retransmit_at: float | None = None
    charge: Charge | None = None
    granted_at: float = float("-inf")
    unreachable: bool = False
    demand_seq: int = 0

    @property
    def due_at(self) -> float:
        """Time at which the grant is retransmitted or the slot expires."""
        return (
            self.ends_at
            if self.retransmit_at is None
            else min(self.retransmit_at, self.ends_at)
        )


class EndpointSlots:
    """Counts the used and free slots of one endpoint.

    Args:
        endpoint: The endpoint as configured.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.limit = SlotLimit(endpoint.slots)
        self.leases: dict[str, SlotLease] = {}
        self.leaving_generation = 0
        self.owned = False
        self._quota = 0
        self._pending_growth: list[tuple[float, int]] = []
        self._uncertain_until = float("-inf")
        self._registered: set[str] = set()
        self._peak_registered = 0
        self._released: OrderedDict[str, None] = OrderedDict()
        self._reported_at = float("-inf")
        self._reported = 0
        self._unregistered = UnregisteredRequests()

    @property
    def leaving(self) -> bool:
        """Whether the endpoint gets no new requests."""
        has_left = self.leaving_generation >= self.endpoint.generation
        return has_left or self.endpoint.leaving

    def configure(self, endpoint: Endpoint) -> None:
        """Apply a changed configuration of the endpoint."""
        if endpoint.generation != self.endpoint.generation:
            self.limit = SlotLimit(endpoint.slots)
        self.endpoint = endpoint
        self.limit.resize(endpoint.slots)

    def on_ownership_lost(self) -> None:
        """Stop granting slots, since another router owns the endpoint now."""
        self.owned = False
        self._quota = 0
        self._pending_growth.clear()

    def set_quota(
        self,
        now: float,
        quota: int,
        settle_s: float,
        uncertain_s: float,
        partitioned: bool,
    ) -> None:
        """Set the slot quota of this side of a partition to ``quota``.

        An increase takes effect after ``settle_s``: requests started under another
        owner may run in the added slots while their ``GrantTaken`` is in transit. A
        decrease takes effect immediately.

        Args:
            now: Current time.
            quota: Slots that this side of a partition may use.
            settle_s: Seconds in which running requests are registered here.
            uncertain_s: Seconds for which unreachable routers may run requests that are
                not registered here; 0 when all routers are reachable.
            partitioned: True when routers have just become unreachable.
        """
        if self._quota:
            # The other side of the partition may still use slots that move to this
            # side's quota, including those of a host that was back only briefly.
            settle_s = max(settle_s, uncertain_s)
            if partitioned:
                self._pending_growth.clear()
        else:
            if not self._pending_growth:
                self._registered.clear()
                self._peak_registered = 0
                self._unregistered.on_new_owner(now)
            if uncertain_s:
                self._uncertain_until = now + uncertain_s
        self.owned = True
        self._quota = min(self._quota, quota)
        self._pending_growth = [
            (at, min(slots, quota)) for at, slots in self._pending_growth
        ]
        planned = self._pending_growth[-1][1] if self._pending_growth else self._quota
        if quota > planned:
            self._pending_growth.append((now + settle_s, quota))
        self.apply_growth(now)

    def end_uncertainty(self, now: float, settle_s: float) -> None:
        """End the uncertainty about unregistered requests: all routers are live.

        Quota increases planned while some were unreachable no longer wait for the
        deadline of requests, which their routers now register within ``settle_s``.
        """
        self._uncertain_until = float("-inf")
        self._pending_growth = [
            (min(at, now + settle_s), slots) for at, slots in self._pending_growth
        ]

    def apply_growth(self, now: float) -> None:
        """Apply the quota increases that are due."""
        while self._pending_growth and self._pending_growth[0][0] <= now:
            _, self._quota = self._pending_growth.pop(0)
            self._unregistered.on_growth(now)

    def free(self, now: float) -> int:
        """Return the number of slots that may be granted now."""
        if self.leaving:
            return 0
        self.apply_growth(now)
        usable = min(self._quota, self.limit.allowed(now))
        unreachable = sum(lease.unreachable for lease in self.leases.values())
        uncertain = unreachable or now < self._uncertain_until
        if uncertain and now - self._reported_at <= _REPORT_MAX_AGE_S:
            return self._free_by_report(usable)
        # An unreachable router may run requests that the previous owner granted.
        # Granting their slots again would overload the endpoint. Only as many slots
        # as were registered here at the same time are known not to be among them.
        if now < self._uncertain_until:
            usable = min(usable, self._peak_registered)
        # Requests that are registered late still use their slots, also those of the
        # other side of a partition, which are not part of this side's quota.
        unused = self.endpoint.slots - self._unregistered.count(now)
        return max(0, min(usable, unused) - len(self.leases))

    def _free_by_report(self, usable: int) -> int:
        """Return the free slots by load report, while routers are unreachable.

        Without the report, the slots of unreachable routers would stay unused until
        the requests' deadline: a third of the endpoint for a minute after each lost
        host. The endpoint's own count shows earlier that the requests ended. The
        count lags, so grants issued since are added to it, including those of routers
        that became unreachable since, which also count in the quota. The other side of
        a partition stays within its own quota, so the sum fits the endpoint.
        """
        cutoff = self._reported_at - REPORT_LAG_MAX_S
        leases = self.leases.values()
        recent = sum(lease.granted_at > cutoff for lease in leases)
        used = sum(
            lease.granted_at > cutoff or not lease.unreachable for lease in leases
        )
        running = self._reported + recent
        return max(0, min(usable - used, self.endpoint.slots - running))

    def on_load_report(self, now: float, running: int) -> None:
        """Record the number of running requests that the endpoint reports."""
        self._reported_at = now
        self._reported = running
        self._unregistered.on_report(now, running)

    def update_reachability(self, view: FleetView) -> None:
        """Update which entry routers are reachable."""
        for lease in self.leases.values():
            lease.unreachable = not view.is_live(lease.peer)

    def grant(self, now: float, grant: str, lease: SlotLease) -> None:
        """Count a slot that is granted now as used."""
        self._unregistered.on_granted()
        self._add_lease(now, grant, lease)

    def _add_lease(self, now: float, grant: str, lease: SlotLease) -> None:
        self.leases[grant] = lease
        self._unregistered.on_count(now, len(self.leases))
        self._count_registered(grant)

    def _count_registered(self, grant: str) -> None:
        self._registered.add(grant)
        self._registered &= self.leases.keys()
        self._peak_registered = max(self._peak_registered, len(self._registered))

    def on_taken(self, now: float, sender: PeerId, message: GrantTaken) -> None:
        """Count a slot as used by a running request, whichever owner granted it."""
        if message.grant in self._released:
            return
        lease = self.leases.get(message.grant)
        ends_at = now + message.deadline_s
        if lease is None:
            lease = SlotLease(sender, message.account, ends_at, granted_at=now)
            self._unregistered.on_late_registration()
            self._add_lease(now, message.grant, lease)
            return
        lease.ends_at = ends_at if lease.retransmit_at else min(lease.ends_at, ends_at)
        lease.retransmit_at = None
        self._count_registered(message.grant)

    def release(self, now: float, grant: str) -> SlotLease | None:
        """Free a slot; return None when the grant does not use one (any more).

        A duplicate, or a copy that arrives after the slot expired, must not free a
        slot again: another request may already use it. A copy of ``GrantTaken`` that
        arrives later must not count the slot as used.
        """
        self._released[grant] = None
        if len(self._released) > _RELEASED_LIMIT:
            self._released.popitem(last=False)
        lease = self.leases.pop(grant, None)
        self._unregistered.on_count(now, len(self.leases))
        return lease

    def expire(self, now: float, view: FleetView) -> None:
        """Free slots whose requests have certainly ended."""
        for grant, lease in list(self.leases.items()):
            if lease.ends_at <= now or view.is_terminated(lease.peer):
                del self.leases[grant]
        self._unregistered.on_count(now, len(self.leases))

    @property
    def due_at(self) -> float:
        """Time of the next retransmission, expiry or quota increase."""
        times = [lease.due_at for lease in self.leases.values()]
        if self._pending_growth:
            times.append(self._pending_growth[0][0])
        return min(times, default=float("inf"))
