"""Whom to tell at once that this router lives."""

from collections.abc import Iterable
from itertools import islice

ANSWERED_IN_S = 0.2
"""Time in which a router that is told answers; what comes later is no answer."""

Address = tuple[str, int]


class Greetings:
    """Routers that this one has not told that it lives, as far as is known.

    Hellos go round all routers in turn, which in a fleet of hundreds takes seconds. In
    these a fleet that begins would disagree on who relays and who places.
    """

    def __init__(self) -> None:
        self._told: dict[Address, float] = {}
        self._due: dict[Address, None] = {}

    def add(self, addresses: Iterable[Address]) -> None:
        """Take note of where routers may be."""
        for address in addresses:
            if address not in self._told:
                self._due[address] = None

    def begun(self, now: float, address: Address) -> None:
        """Note that a process was heard for the first time.

        It may have begun after the one at its address was told.
        """
        told_at = self._told.get(address)
        if told_at is None or now - told_at > ANSWERED_IN_S:
            self._due[address] = None

    def forget(self, address: Address) -> None:
        """Forget an address at which nobody was heard for long."""
        self._told.pop(address, None)
        self._due.pop(address, None)

    def next(self, now: float, most: int) -> list[Address]:
        """Return up to ``most`` addresses to tell now."""
        found = list(islice(self._due, most))
        for address in found:
            del self._due[address]
            self._told[address] = now
        return found
