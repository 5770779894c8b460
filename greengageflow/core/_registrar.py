"""Registers the demand of a router's queues with endpoint owners."""

from collections.abc import Iterable, Iterator
from random import Random

from greengageflow.core._waiting import AccountQueue, Registration
from greengageflow.core.effects import Send
from greengageflow.core.messages import Demand, PeerId
from greengageflow.core.placement import FleetView

_EXPAND_FAST_S = 0.005
_EXPAND_SLOW_S = 0.5
_OWNER_LIMIT_FACTOR = 2
_REFRESH_S = 4.0
_MAX_REFRESH_S = 8.0
"""Less than half of the time after which an owner drops demand not refreshed."""
_REFRESHES_PER_S = 2.0
_NEVER = float("inf")


class DemandRegistrar:
    """Registers queue demand with owners, using few messages.

    Demand goes to one owner first, to more if no grant arrives within milliseconds,
    and finally to up to twice ``quick_owner_limit`` owners. It is sent again when the
    number of waiting requests has doubled or halved, and every few seconds, so that a
    lost message does not leave a request waiting.

    Args:
        own: This router.
        random: Random source for the order in which owners are asked.
        quick_owner_limit: Number of owners that are asked in quick succession.
    """

    def __init__(
        self, own: PeerId, random: Random, *, quick_owner_limit: int = 8
    ) -> None:
        self.quick_owner_limit = quick_owner_limit
        self._own = own
        self._random = random
        self._view: FleetView | None = None
        self._pool_endpoints: dict[str, list[str]] = {}
        self._owners: dict[str, list[str]] = {}
        self._seq = 0

    @property
    def last_seq(self) -> int:
        """Sequence number of the last ``Demand`` that was sent."""
        return self._seq

    def on_placement(
        self, view: FleetView, pool_endpoints: dict[str, list[str]]
    ) -> None:
        """Apply a view and the endpoints of each pool."""
        self._view = view
        self._pool_endpoints = pool_endpoints
        self._owners.clear()

    def owners(self, pool: str) -> list[str]:
        """Return the hosts that own endpoints of a pool, sorted by name."""
        if pool not in self._owners:
            names = self._pool_endpoints.get(pool, ())
            hosts = {self._view.owner_of(name) for name in names}
            self._owners[pool] = sorted(hosts - {None})
        return self._owners[pool]

    def register(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Register the demand of a queue that has just become non-empty."""
        queue.refresh_at = now + _REFRESH_S
        yield from self.expand(now, queue)

    def expand(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Ask 1, 2, 4, … owners up to the quick limit, then one more at a time."""
        owners = self.owners(queue.pool)
        owner_limit = min(self.quick_owner_limit * _OWNER_LIMIT_FACTOR, len(owners))
        registered = len(queue.registrations)
        is_quick = registered < self.quick_owner_limit
        target = (
            min(self.quick_owner_limit, max(1, 2 * registered))
            if is_quick
            else registered + 1
        )
        yield from self._ask_more(queue, owners, min(target, owner_limit))
        pause_s = _EXPAND_FAST_S if is_quick else _EXPAND_SLOW_S
        queue.expand_at = (
            now + pause_s if len(queue.registrations) < owner_limit else _NEVER
        )

    def _ask_more(
        self, queue: AccountQueue, owners: list[str], target: int
    ) -> Iterator[Send]:
        if not queue.registrations and target:
            yield self.send_demand(queue, self._first_owner(queue, owners))
        count = min(len(owners), target + len(queue.registrations))
        for host in self._random.sample(owners, count):
            if len(queue.registrations) < target and host not in queue.registrations:
                yield self.send_demand(queue, host)

    def _first_owner(self, queue: AccountQueue, owners: list[str]) -> str:
        affinity = queue.head.affinity if queue.head else ""
        if affinity and affinity in self._pool_endpoints.get(queue.pool, ()):
            host = self._view.owner_of(affinity)
            if host is not None:
                return host
        if self._own.host in owners:
            return self._own.host
        return self._random.choice(owners)

    def send_demand(self, queue: AccountQueue, host: str) -> Send:
        """Register or refresh the queue's demand with one owner."""
        boot = self._view.live[host].boot
        queue.registrations[host] = Registration(PeerId(host, boot), len(queue))
        self._seq += 1
        head = queue.head
        message = Demand(
            self._seq,
            queue.account,
            queue.pool,
            len(queue),
            head.cost if head else 0.0,
            head.affinity if head else "",
        )
        return Send(host, message)

    def update(self, queue: AccountQueue) -> Iterator[Send]:
        """Update owners whose registered count has doubled or halved."""
        count = len(queue)
        for host, registration in list(queue.registrations.items()):
            if (
                not count
                or 2 * registration.waiting <= count
                or registration.waiting >= 2 * count
            ):
                yield self.send_demand(queue, host)
        if not count:
            queue.registrations.clear()

    def refresh(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Refresh the demand at all asked owners; the more owners, the less often.

        With many owners one lost message matters less, and with twenty backlogged
        accounts refreshes are most of a router's messages in a large fleet.
        """
        pause_s = max(_REFRESH_S, len(queue.registrations) / _REFRESHES_PER_S)
        queue.refresh_at = now + min(pause_s, _MAX_REFRESH_S)
        for host in list(queue.registrations):
            yield self.send_demand(queue, host)

    def reassign(self, now: float, queues: Iterable[AccountQueue]) -> Iterator[Send]:
        """Replace owners that are no longer live or own no endpoint of the pool."""
        for queue in queues:
            owners = self.owners(queue.pool)
            for host, registration in list(queue.registrations.items()):
                if host not in owners or not self._view.is_live(registration.owner):
                    del queue.registrations[host]
            if queue.requests:
                yield from self.register(now, queue)
