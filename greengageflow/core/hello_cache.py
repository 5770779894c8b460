"""Hellos that come again and again as the same bytes."""

from greengageflow.core.router_table import Hello

KEPT = 2_000


class HelloCache:
    """Hellos by the datagram that they came in, so that it is decoded once.

    In a fleet of hundreds they are most of what a router receives.
    """

    def __init__(self) -> None:
        self._known: dict[bytes, Hello] = {}

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._known)

    def get(self, data: bytes) -> Hello | None:
        """Return the hello in a datagram that came before, or None."""
        return self._known.get(data)

    def put(self, data: bytes, hello: Hello) -> None:
        """Remember the hello in a datagram."""
        if len(self._known) >= KEPT:
            self._known.clear()
        self._known[data] = hello
