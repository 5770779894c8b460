"""Registers the demand of a router's queues with endpoint owners."""

from collections.abc import Iterable, Iterator
from random import Random

from greengageflow.core._waiting import AccountQueue, Asked
from greengageflow.core.effects import Send
from greengageflow.core.messages import Demand, PeerId
from greengageflow.core.placement import FleetView

_WIDEN_FIRST_S = 0.005
_WIDEN_SLOWLY_S = 0.5
_MOST_FACTOR = 2
_REFRESH_S = 4.0
_LONGEST_REFRESH_S = 8.0
"""Less than half of the time after which an owner drops demand not refreshed."""
_REFRESHES_PER_S = 2.0
_NEVER = float("inf")


class DemandRegistrar:
    """Registers queue demand with owners, using few messages.

    Demand goes to one owner first, to more if no grant arrives within milliseconds,
    and finally to up to twice ``most`` owners. It is sent again when the number of
    waiting requests has doubled or halved, and every few seconds, so that a lost
    message does not leave a request waiting.

    Args:
        own: This router.
        random: Random source for the order in which owners are asked.
        most: Number of owners that are asked in quick succession.
    """

    def __init__(self, own: PeerId, random: Random, *, most: int = 8) -> None:
        self.most = most
        self._own = own
        self._random = random
        self._view: FleetView | None = None
        self._members: dict[str, list[str]] = {}
        self._owners: dict[str, list[str]] = {}
        self._seq = 0

    def place(self, view: FleetView, members: dict[str, list[str]]) -> None:
        """Apply a view and the endpoints of each pool."""
        self._view = view
        self._members = members
        self._owners.clear()

    def owners(self, pool: str) -> list[str]:
        """Return the hosts that own endpoints of a pool, sorted by name."""
        if pool not in self._owners:
            names = self._members.get(pool, ())
            hosts = {self._view.owner_of(name) for name in names}
            self._owners[pool] = sorted(hosts - {None})
        return self._owners[pool]

    def begin(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Register the demand of a queue that has just become non-empty."""
        queue.refresh_at = now + _REFRESH_S
        yield from self.widen(now, queue)

    def widen(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Ask 1, 2, 4, … up to ``most`` owners; then one more at a slower rate."""
        owners = self.owners(queue.pool)
        bound = min(self.most * _MOST_FACTOR, len(owners))
        asked = len(queue.asked)
        quick = asked < self.most
        target = min(self.most, max(1, 2 * asked)) if quick else asked + 1
        yield from self._ask_more(queue, owners, min(target, bound))
        pause_s = _WIDEN_FIRST_S if quick else _WIDEN_SLOWLY_S
        queue.ask_at = now + pause_s if len(queue.asked) < bound else _NEVER

    def _ask_more(
        self, queue: AccountQueue, owners: list[str], target: int
    ) -> Iterator[Send]:
        if not queue.asked and target:
            yield self.ask(queue, self._first(queue, owners))
        count = min(len(owners), target + len(queue.asked))
        for host in self._random.sample(owners, count):
            if len(queue.asked) < target and host not in queue.asked:
                yield self.ask(queue, host)

    def _first(self, queue: AccountQueue, owners: list[str]) -> str:
        affinity = queue.head.affinity if queue.head else ""
        if affinity and affinity in self._members.get(queue.pool, ()):
            host = self._view.owner_of(affinity)
            if host is not None:
                return host
        if self._own.host in owners:
            return self._own.host
        return self._random.choice(owners)

    def ask(self, queue: AccountQueue, host: str) -> Send:
        """Register or refresh the queue's demand with one owner."""
        boot = self._view.live[host].boot
        queue.asked[host] = Asked(PeerId(host, boot), len(queue))
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

    def restate(self, queue: AccountQueue) -> Iterator[Send]:
        """Update owners whose registered count has doubled or halved."""
        count = len(queue)
        for host, asked in list(queue.asked.items()):
            if not count or 2 * asked.waiting <= count or asked.waiting >= 2 * count:
                yield self.ask(queue, host)
        if not count:
            queue.asked.clear()

    def refresh(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Refresh the demand at all asked owners; the more owners, the less often.

        With many owners one lost message matters less, and with twenty backlogged
        accounts refreshes are most of a router's messages in a large fleet.
        """
        pause_s = max(_REFRESH_S, len(queue.asked) / _REFRESHES_PER_S)
        queue.refresh_at = now + min(pause_s, _LONGEST_REFRESH_S)
        for host in list(queue.asked):
            yield self.ask(queue, host)

    def replace(self, now: float, queues: Iterable[AccountQueue]) -> Iterator[Send]:
        """Replace owners that are no longer live or own no endpoint of the pool."""
        for queue in queues:
            owners = self.owners(queue.pool)
            for host, asked in list(queue.asked.items()):
                if host not in owners or not self._view.is_live(asked.owner):
                    del queue.asked[host]
            if queue.requests:
                yield from self.begin(now, queue)
