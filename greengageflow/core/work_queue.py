"""Requests of one service that wait at this host, by client account."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits.

    Args:
        id: Its id here.
        account: Client account.
        work: Cost in the service's unit.
        priority: Rank within its account, 0 is the highest.
        arrived: Time at which it came.
        target_at: Time by which its answer is worth most.
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
    """Waiting requests; the least-served account's first request comes next.

    All are kept in order: a queue that is looked through at each arrival and each end
    takes a host's processor just when it is long.
    """

    def __init__(self) -> None:
        self._by_account: dict[str, _Line] = {}
        self._entries: dict[str, tuple[Waiter, int]] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._orders = count()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._entries)

    def waiting(self, account: str) -> int:
        """Return how many requests of an account wait."""
        line = self._by_account.get(account)
        return len(line) if line else 0

    def put(self, waiter: Waiter) -> None:
        """Queue a request."""
        order = next(self._orders)
        self._by_account.setdefault(waiter.account, _Line()).put(waiter, order)
        self._entries[waiter.id] = waiter, order
        heappush(self._expiries, (waiter.give_up_at, order, waiter.id))

    def remove(self, request: str) -> Waiter | None:
        """Take a request out; None when it does not wait."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        waiter, order = entry
        line = self._by_account[waiter.account]
        line.remove(waiter, order)
        if not line:
            del self._by_account[waiter.account]
        return waiter

    def heads(self, now: float, level: Callable[[str], float]) -> Iterator[Waiter]:
        """Yield the next request of each account, least-served account first.

        Within an account the one whose target is nearest comes first, and those that
        are late already come last: they are worth less than one that goes late for
        their sake.

        Args:
            now: The time.
            level: Returns an account's service lately; the lowest comes first.
        """
        for account in sorted(self._by_account, key=level):
            yield self._by_account[account].head(now)

    def expired(self, now: float) -> Iterator[Waiter]:
        """Take out and yield the requests whose time to wait is over."""
        while (expiry := self.next_expiry()) is not None and expiry <= now:
            _, _, request = heappop(self._expiries)
            yield self.remove(request)

    def next_expiry(self) -> float | None:
        """Return the time at which the next request is given up, or None."""
        while self._expiries:
            give_up_at, order, request = self._expiries[0]
            if self._entries.get(request, (None, -1))[1] == order:
                return give_up_at
            heappop(self._expiries)
        return None


class _Line:
    """The waiting requests of one account, by priority and target."""

    def __init__(self) -> None:
        self._by_priority: dict[int, list[tuple[float, int, Waiter]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def put(self, waiter: Waiter, order: int) -> None:
        line = self._by_priority.setdefault(waiter.priority, [])
        insort(line, (waiter.target_at, order, waiter))

    def remove(self, waiter: Waiter, order: int) -> None:
        line = self._by_priority[waiter.priority]
        del line[bisect_left(line, (waiter.target_at, order))]
        if not line:
            del self._by_priority[waiter.priority]

    def head(self, now: float) -> Waiter:
        line = self._by_priority[min(self._by_priority)]
        in_time = bisect_right(line, now, key=lambda entry: entry[0])
        return line[in_time if in_time < len(line) else 0][2]
