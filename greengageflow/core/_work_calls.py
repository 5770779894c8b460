"""Schedules the work calls of an owner that has free slots but no demand."""

from collections.abc import Iterator
from random import Random

from greengageflow.core.effects import Send
from greengageflow.core.messages import WorkCall

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0
_PEERS = 2


class WorkCalls:
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
        self._pause_s = _FIRST_PAUSE_S
        self.at = 0.0

    def reset(self) -> None:
        """Reset the backoff, since there was demand."""
        self._pause_s = _FIRST_PAUSE_S
        self.at = 0.0

    def call(self, now: float, free: int, hosts: list[str]) -> Iterator[Send]:
        """Yield the calls of one round, and schedule the next after the backoff."""
        self.at = now + self._pause_s
        self._pause_s = min(_LONGEST_PAUSE_S, self._pause_s * 2)
        for host in self._random.sample(hosts, min(_PEERS, len(hosts))):
            yield Send(host, WorkCall(self._pool, free))
