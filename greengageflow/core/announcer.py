"""Routers that have to learn at once that this one is alive."""

from collections.abc import Iterable
from itertools import islice

ANSWERED_IN_S = 0.2
"""Time in which a router answers a hello; what comes later is no answer."""

Address = tuple[str, int]


class Announcer:
    """Routers to which this one has not sent a hello since they started.

    Hellos go round all routers in turn, which in a fleet of hundreds takes seconds. In
    these a fleet that starts would disagree on who relays and who places.
    """

    def __init__(self) -> None:
        self._sent_at: dict[Address, float] = {}
        self._due: dict[Address, None] = {}

    def add(self, addresses: Iterable[Address]) -> None:
        """Take note of where routers may be."""
        for address in addresses:
            if address not in self._sent_at:
                self._due[address] = None

    def on_start(self, now: float, address: Address) -> None:
        """Note a process that was not known before.

        It may have started after the hello to its address was sent.
        """
        sent_at = self._sent_at.get(address)
        if sent_at is None or now - sent_at > ANSWERED_IN_S:
            self._due[address] = None

    def forget(self, address: Address) -> None:
        """Forget an address from which nothing came for long."""
        self._sent_at.pop(address, None)
        self._due.pop(address, None)

    def next_batch(self, now: float, most: int) -> list[Address]:
        """Return up to ``most`` addresses to send a hello to now."""
        found = list(islice(self._due, most))
        for address in found:
            del self._due[address]
            self._sent_at[address] = now
        return found
