"""Immediate announcement of this router to routers that may not know it yet."""

from collections.abc import Iterable
from itertools import islice

HELLO_ANSWER_TIMEOUT_S = 0.2
"""Time within which a hello counts as the answer to one sent to that address."""

Address = tuple[str, int]


class Announcer:
    """Queue of routers that have had no hello from this one since they started.

    Regular hellos rotate through all routers, which takes seconds in a fleet of
    hundreds. During that time the routers of a starting fleet would disagree on the
    relays and placers.
    """

    def __init__(self) -> None:
        self._sent_at: dict[Address, float] = {}
        self._pending: dict[Address, None] = {}

    def add(self, addresses: Iterable[Address]) -> None:
        """Queue addresses of possible routers that have had no hello yet."""
        for address in addresses:
            if address not in self._sent_at:
                self._pending[address] = None

    def on_start(self, now: float, address: Address) -> None:
        """Queue the address of a newly discovered process.

        The process may have started after the last hello to its address was sent.
        """
        sent_at = self._sent_at.get(address)
        if sent_at is None or now - sent_at > HELLO_ANSWER_TIMEOUT_S:
            self._pending[address] = None

    def remove(self, address: Address) -> None:
        """Remove an address that has been silent for long."""
        self._sent_at.pop(address, None)
        self._pending.pop(address, None)

    def next_batch(self, now: float, limit: int) -> list[Address]:
        """Dequeue up to ``limit`` addresses that are to get a hello now."""
        batch = list(islice(self._pending, limit))
        for address in batch:
            del self._pending[address]
            self._sent_at[address] = now
        return batch
