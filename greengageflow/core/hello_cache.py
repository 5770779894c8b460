"""Cache of decoded hellos, which arrive repeatedly as the same bytes."""

from greengageflow.core.router_table import Hello

MAX_HELLOS = 2_000


class HelloCache:
    """Maps datagrams to decoded hellos, so that each distinct one is decoded once.

    In a fleet of hundreds of routers, hellos are most of the received datagrams.
    """

    def __init__(self) -> None:
        self._hellos: dict[bytes, Hello] = {}

    def __len__(self) -> int:
        """Return the number of cached hellos."""
        return len(self._hellos)

    def get(self, data: bytes) -> Hello | None:
        """Return the cached hello of a datagram, or None."""
        return self._hellos.get(data)

    def put(self, data: bytes, hello: Hello) -> None:
        """Cache the hello of a datagram; a full cache is cleared first."""
        if len(self._hellos) >= MAX_HELLOS:
            self._hellos.clear()
        self._hellos[data] = hello
