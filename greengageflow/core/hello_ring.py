"""Rotation of the routers that get the next heartbeat from this one."""

from collections import deque
from collections.abc import Iterable
from itertools import islice
from random import Random

Address = tuple[str, int]


class HelloRing:
    """Round-robin rotation over all addresses.

    With a random choice in each round, some routers would get no heartbeat from this
    one for so long that they declare it dead.

    Args:
        random: Chooses the position of a new address in the ring.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._ring: deque[Address] = deque()
        self._addresses: set[Address] = set()

    def next(self, addresses: Iterable[Address], count: int) -> list[Address]:
        """Return the next ``count`` addresses and advance the rotation.

        Args:
            addresses: All current addresses; new ones join the ring, others leave it.
            count: Number of addresses to return.
        """
        current = set(addresses)
        removed = self._addresses - current
        if removed:
            self._ring = deque(
                address for address in self._ring if address not in removed
            )
        # Sorted, because the iteration order of a set differs between runs.
        for address in sorted(current - self._addresses):
            # At a random position, so that not all routers contact a new one in the
            # same round.
            self._ring.insert(self._random.randint(0, len(self._ring)), address)
        self._addresses = current
        batch = list(islice(self._ring, count))
        self._ring.rotate(-len(batch))
        return batch
