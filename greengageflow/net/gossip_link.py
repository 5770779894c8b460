"""Datagrams between routers.

A report stands for itself, and the next one replaces it. Over TCP a link that was cut
would bring seconds of old reports in a row when it heals, and each peer would cost a
connection; a datagram that is lost is made good by the next one.
"""

from collections.abc import Callable
from contextlib import suppress
from socket import AF_INET, SOCK_DGRAM, socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from greengageflow.net._fragments import MAX_DATAGRAM_BYTES, Reassembler, split

MOST_IN_A_ROW = 64


class GossipLink(BaseComponent):
    """One UDP socket on the circuits poller.

    Args:
        ip: IP number to bind to.
        port: UDP port, or 0 for a free one.
        on_datagram: Takes what arrives.

    Raises:
        OSError: The address cannot be bound.
    """

    channel = "gossip"

    def __init__(
        self, ip: str, port: int, on_datagram: Callable[[bytes], None]
    ) -> None:
        super().__init__()
        self.bytes_out = 0
        self.bytes_in = 0
        self.too_long = 0
        self._number = 0
        self._reassembler = Reassembler()
        self._on_datagram = on_datagram
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((ip, port))
        self._poller: BasePoller | None = None

    @property
    def address(self) -> tuple[str, int]:
        """IP number and UDP port."""
        return self._sock.getsockname()

    def start(self) -> None:
        """Begin to listen, once the poller is there."""
        self._poller = findcmp(self.root, BasePoller) or EPoll().register(self)
        self._poller.addReader(self, self._sock)

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Send a message, at best effort."""
        self._number += 1
        try:
            datagrams = list(split(self._number, data))
        except ValueError:
            self.too_long += 1
            return
        with suppress(OSError):
            for datagram in datagrams:
                self._sock.sendto(datagram, address)
                self.bytes_out += len(datagram)

    @handler("_read")
    def on_readable(self, sock: socket) -> None:
        """Take what has arrived; called by the poller, or as its event."""
        if sock is not self._sock:
            return
        for _ in range(MOST_IN_A_ROW):
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.bytes_in += len(data)
            message = self._reassembler.take(sender, data)
            if message is not None:
                self._on_datagram(message)
