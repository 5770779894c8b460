"""Whom to tell next that this router lives."""

from collections import deque
from collections.abc import Iterable
from itertools import islice
from random import Random

Address = tuple[str, int]


class HelloRing:
    """Goes round all known addresses, so that each one's turn comes.

    Drawn by lot each time, some would go unheard for so long that others take them
    for dead.

    Args:
        random: Draws where in the ring a new address comes.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._ring: deque[Address] = deque()
        self._known: set[Address] = set()

    def next(self, addresses: Iterable[Address], count: int) -> list[Address]:
        """Return the ``count`` addresses whose turn it is.

        Args:
            addresses: All that are known now.
            count: How many to tell.
        """
        now = set(addresses)
        gone = self._known - now
        if gone:
            self._ring = deque(one for one in self._ring if one not in gone)
        # Sorted, since the order of a set would differ from run to run.
        for address in sorted(now - self._known):
            # Anywhere, lest all routers tell a new one in the same round.
            self._ring.insert(self._random.randint(0, len(self._ring)), address)
        self._known = now
        found = list(islice(self._ring, count))
        self._ring.rotate(-len(found))
        return found
