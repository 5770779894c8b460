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
        expires_at: Time at which it is refused.
    """

    id: str
    account: str
    work: float
    priority: int
    arrived: float
    target_at: float
    expires_at: float


class WorkQueue:
    """Priority queue that serves the account with the least recent work first.

    Requests are kept sorted. Scanning the queue at each arrival and each end of a
    request would use up a host's processor just when the queue is long.
    """

    def __init__(self) -> None:
        self._by_account: dict[str, _AccountQueue] = {}
        self._entries: dict[str, tuple[QueuedRequest, int]] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def waiting(self, account: str) -> int:
        """Return the number of queued requests of an account."""
        account_queue = self._by_account.get(account)
        return len(account_queue) if account_queue else 0

    def put(self, queued: QueuedRequest) -> None:
        """Add a request."""
        sequence = next(self._sequence)
        self._by_account.setdefault(queued.account, _AccountQueue()).put(
            queued, sequence
        )
        self._entries[queued.id] = queued, sequence
        heappush(self._expiries, (queued.expires_at, sequence, queued.id))

    def remove(self, request: str) -> QueuedRequest | None:
        """Remove and return a request, or return None if it is not queued."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        queued, sequence = entry
        account_queue = self._by_account[queued.account]
        account_queue.remove(queued, sequence)
        if not account_queue:
            del self._by_account[queued.account]
        return queued

    def next_by_account(
        self, now: float, recent_usage: Callable[[str], float]
    ) -> Iterator[QueuedRequest]:
        """Yield the next request of each account, least-served account first.

        Within an account the earliest target comes first. Requests that are already
        late come last, since serving them first would make other requests late too.

        Args:
            now: The time.
            recent_usage: Returns an account's recent work; the lowest comes first.
        """
        for account in sorted(self._by_account, key=recent_usage):
            yield self._by_account[account].first(now)

    def would_be_next(self, now: float, queued: QueuedRequest) -> bool:
        """Whether a request, if it were added, would be the next of its account."""
        account_queue = self._by_account.get(queued.account)
        if account_queue is None:
            return True
        first = account_queue.first(now)

        def order(request: QueuedRequest) -> tuple[int, bool, float]:
            return request.priority, request.target_at <= now, request.target_at

        return order(queued) < order(first)

    def ahead_of(
        self,
        now: float,
        queued: QueuedRequest,
        recent_usage: Callable[[str], float],
        competes: Callable[[QueuedRequest], bool],
    ) -> Iterator[QueuedRequest]:
        """Yield requests that come before another one as long as they don't expire.

        Those of its account come first, which it can't overtake. Of other accounts only
        those are included that come first even if none of its account is served.

        Args:
            now: The time.
            queued: The other request, which may be in the queue.
            recent_usage: Returns an account's recent work; the lowest comes first.
            competes: Whether a request of another account can use all that the other
                one can. If not, it may hold up those behind it.
        """
        usage = recent_usage(queued.account)
        order = queued.priority, queued.target_at <= now, queued.target_at
        for account, account_queue in self._by_account.items():
            if account == queued.account:
                for other in account_queue:
                    is_late = other.target_at <= now
                    # It would be overtaken from its target on.
                    is_ahead = other.expires_at <= other.target_at or is_late
                    if (
                        is_ahead
                        and (other.priority, is_late, other.target_at) <= order
                        and other.id != queued.id
                    ):
                        yield other
                continue
            work = recent_usage(account)
            for other in account_queue:
                if work >= usage or not competes(other):
                    break
                yield other
                work += other.work

    def expired(self, now: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests whose ``expires_at`` has passed."""
        while (expiry := self.next_expiry()) is not None and expiry <= now:
            _, _, request = heappop(self._expiries)
            yield self.remove(request)

    def next_expiry(self) -> float | None:
        """Return the time at which the next request expires, or None."""
        while self._expiries:
            expires_at, sequence, request = self._expiries[0]
            if self._entries.get(request, (None, -1))[1] == sequence:
                return expires_at
            heappop(self._expiries)
        return None


class _AccountQueue:
    """The queued requests of one account, by priority and target."""

    def __init__(self) -> None:
        self._by_priority: dict[int, list[tuple[float, int, QueuedRequest]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def __iter__(self) -> Iterator[QueuedRequest]:
        for priority in sorted(self._by_priority):
            for _, _, queued in self._by_priority[priority]:
                yield queued

    def put(self, queued: QueuedRequest, sequence: int) -> None:
        entries = self._by_priority.setdefault(queued.priority, [])
        insort(entries, (queued.target_at, sequence, queued))

    def remove(self, queued: QueuedRequest, sequence: int) -> None:
        entries = self._by_priority[queued.priority]
        del entries[bisect_left(entries, (queued.target_at, sequence))]
        if not entries:
            del self._by_priority[queued.priority]

    def first(self, now: float) -> QueuedRequest:
        entries = self._by_priority[min(self._by_priority)]
        first_in_time = bisect_right(entries, now, key=lambda entry: entry[0])
        return entries[first_in_time if first_in_time < len(entries) else 0][2]
