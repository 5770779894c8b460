"""Queue of one service's requests at this host, by client account."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request.

    Args:
        id: Its id on this host.
        account: Client account.
        work: Cost in the service's unit.
        priority: Rank within its account, 0 is the highest.
        arrived: Arrival time.
        target_at: Time by which it should be answered.
        give_up_at: Time at which it is refused.
    """

    id: str
    account: str
    work: float
    priority: int
    arrived: float
    target_at: float
    give_up_at: float


class WorkQueue:
    """Priority queue that serves the account with the least recent work first.

    Requests are kept sorted. Scanning the queue at each arrival and each end of a
    request would use up a host's processor just when the queue is long.
    """

    def __init__(self) -> None:
        self._by_account: dict[str, _AccountQueue] = {}
        self._entries: dict[str, tuple[QueuedRequest, int]] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._orders = count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def waiting(self, account: str) -> int:
        """Return the number of queued requests of an account."""
        line = self._by_account.get(account)
        return len(line) if line else 0

    def put(self, waiter: QueuedRequest) -> None:
        """Add a request."""
        order = next(self._orders)
        self._by_account.setdefault(waiter.account, _AccountQueue()).put(waiter, order)
        self._entries[waiter.id] = waiter, order
        heappush(self._expiries, (waiter.give_up_at, order, waiter.id))

    def remove(self, request: str) -> QueuedRequest | None:
        """Remove and return a request, or return None if it is not queued."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        waiter, order = entry
        line = self._by_account[waiter.account]
        line.remove(waiter, order)
        if not line:
            del self._by_account[waiter.account]
        return waiter

    def heads(
        self, now: float, level: Callable[[str], float]
    ) -> Iterator[QueuedRequest]:
        """Yield the next request of each account, least-served account first.

        Within an account the earliest target comes first. Requests that are already
        late come last, since serving them first would make other requests late too.

        Args:
            now: The time.
            level: Returns an account's recent work; the lowest comes first.
        """
        for account in sorted(self._by_account, key=level):
            yield self._by_account[account].head(now)

    def expired(self, now: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests whose ``give_up_at`` has passed."""
        while (expiry := self.next_expiry()) is not None and expiry <= now:
            _, _, request = heappop(self._expiries)
            yield self.remove(request)

    def next_expiry(self) -> float | None:
        """Return the time at which the next request expires, or None."""
        while self._expiries:
            give_up_at, order, request = self._expiries[0]
            if self._entries.get(request, (None, -1))[1] == order:
                return give_up_at
            heappop(self._expiries)
        return None


class _AccountQueue:
    """The queued requests of one account, by priority and target."""

    def __init__(self) -> None:
        self._by_priority: dict[int, list[tuple[float, int, QueuedRequest]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def put(self, waiter: QueuedRequest, order: int) -> None:
        line = self._by_priority.setdefault(waiter.priority, [])
        insort(line, (waiter.target_at, order, waiter))

    def remove(self, waiter: QueuedRequest, order: int) -> None:
        line = self._by_priority[waiter.priority]
        del line[bisect_left(line, (waiter.target_at, order))]
        if not line:
            del self._by_priority[waiter.priority]

    def head(self, now: float) -> QueuedRequest:
        line = self._by_priority[min(self._by_priority)]
        in_time = bisect_right(line, now, key=lambda entry: entry[0])
        return line[in_time if in_time < len(line) else 0][2]
