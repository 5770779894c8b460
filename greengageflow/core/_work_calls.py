"""Schedules the work calls of an owner that has free slots but no demand."""

from collections.abc import Iterator
from random import Random

from greengageflow.core.effects import Send
from greengageflow.core.messages import WorkCall

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_CALLS_PER_ROUND = 2


class WorkCallSchedule:
    """Sends work calls for one pool, with exponential backoff.

    Requests may wait at a router that registered its demand only with other owners.
    Calling two random routers finds them within a few rounds, at a cost that does
    not grow with the fleet.

    Args:
        pool: Pool of the free slots.
        random: Random source for choosing routers.
    """

    def __init__(self, pool: str, random: Random) -> None:
        self._pool = pool
        self._random = random
        self._backoff_s = _INITIAL_BACKOFF_S
        self.next_at = 0.0

    def reset_backoff(self) -> None:
        """Reset the backoff, since there was demand."""
        self._backoff_s = _INITIAL_BACKOFF_S
        self.next_at = 0.0

    def send(self, now: float, free: int, hosts: list[str]) -> Iterator[Send]:
        """Yield the calls of one round, and schedule the next after the backoff."""
        self.next_at = now + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)
        for host in self._random.sample(hosts, min(_CALLS_PER_ROUND, len(hosts))):
            yield Send(host, WorkCall(self._pool, free))
