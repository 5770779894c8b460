"""Times at which callers of rejected requests are told to retry, by account.

Requests that are rejected in a burst would all retry together if they were told the
same delay. Each account has its own schedule, so that it moves only its own retries.
"""

from collections import OrderedDict
from copy import copy
from dataclasses import dataclass
from math import exp, inf

MAX_ACCOUNTS = 256
"""Maximum number of accounts with a schedule."""
RATE_DECAY_S = 2.0
"""Time constant of the decay of an account's starts, in seconds; as for its usage."""
MIN_RETURN_RATE = 2.0
"""Minimum rate of an account's retries, per second.

An account of which nothing was started lately still gets eight retry times until a cap
of 5 s.
"""
MIN_SPREAD_S = 1.0
"""Minimum interval before the cap over which retries beyond the schedule spread.

The earliest retry of an account far above its share is at the cap, or just before it.
"""
SPREAD_STEP = 0.6180339887498949
"""Golden ratio; the fractions of its multiples are spread evenly for any count."""


@dataclass(slots=True)
class _Account:
    """Schedule of one account.

    Args:
        next_at: Earliest time of its next retry.
        starts: Its decayed number of started requests at ``counted_at``.
        counted_at: Time of its last start.
        beyond: Number of retries that were told a time beyond the schedule.
    """

    next_at: float = -inf
    starts: float = 0.0
    counted_at: float = 0.0
    beyond: int = 0

    def starts_at(self, now: float) -> float:
        return self.starts * exp(min(0.0, (self.counted_at - now) / RATE_DECAY_S))


class ReturnSchedule:
    """Schedules the retries of each account at the rate at which it is served.

    Args:
        max_delay_s: Maximum delay of a retry, in seconds.
    """

    def __init__(self, max_delay_s: float) -> None:
        self._max_delay_s = max_delay_s
        self._accounts: OrderedDict[str, _Account] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of accounts with a schedule."""
        return len(self._accounts)

    def on_start(self, now: float, account: str) -> None:
        """Record that a request of an account was started."""
        found = self._used(now, account)
        found.starts = found.starts_at(now) + 1.0
        found.counted_at = now

    def take(self, now: float, account: str, earliest_s: float) -> float:
        """Return the delay of a rejected request's retry, and reserve its time.

        Args:
            now: The time.
            account: Client account.
            earliest_s: Earliest retry of the account from now, in seconds.
        """
        found = self._used(now, account)
        retry_at = max(now + earliest_s, found.next_at)
        if retry_at <= now + self._max_delay_s:
            rate = max(MIN_RETURN_RATE, found.starts_at(now) / RATE_DECAY_S)
            found.next_at = retry_at + 1.0 / rate
            return retry_at - now
        # The next retry time stays as it is. If each of these requests moved it, the
        # retries of a burst would determine the delays long after its end.
        found.beyond += 1
        return self._delay_beyond(found.beyond, earliest_s)

    def peek(self, now: float, account: str, earliest_s: float) -> float:
        """Return the delay that ``take`` would return, without a change of state."""
        found = self._accounts.get(account, _Account())
        retry_at = max(now + earliest_s, found.next_at)
        if retry_at <= now + self._max_delay_s:
            return retry_at - now
        return self._delay_beyond(found.beyond + 1, earliest_s)

    def snapshot(self) -> "ReturnSchedule":
        """Return a copy that can be changed without an effect on this object."""
        found = ReturnSchedule(self._max_delay_s)
        copies = ((name, copy(account)) for name, account in self._accounts.items())
        found._accounts = OrderedDict(copies)
        return found

    def _delay_beyond(self, number: int, earliest_s: float) -> float:
        """Return the delay of an account's retry for which its schedule has no time."""
        first_s = min(earliest_s, self._max_delay_s - MIN_SPREAD_S)
        fraction = SPREAD_STEP * number % 1.0
        return first_s + fraction * (self._max_delay_s - first_s)

    def _used(self, now: float, account: str) -> _Account:
        """Return the schedule of an account, which becomes the most recently used."""
        accounts = self._accounts
        found = accounts.get(account)
        if found is not None:
            accounts.move_to_end(account)
            return found
        if len(accounts) >= MAX_ACCOUNTS:
            del accounts[self._evicted(now)]
        found = accounts[account] = _Account()
        return found

    def _evicted(self, now: float) -> str:
        """Return the account to evict: without retries to come, or least recent."""
        least_recent = next(iter(self._accounts))
        passed = (a for a, found in self._accounts.items() if found.next_at <= now)
        return next(passed, least_recent)
