"""Messages between routers as UDP datagrams.

Each report is self-contained and replaces the one before, so a lost datagram is made
up for by the next. With TCP, each peer would need a connection, and a restored
connection would first deliver seconds of outdated reports.
"""

from collections.abc import Callable
from contextlib import suppress
from socket import AF_INET, SOCK_DGRAM, socket

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from greengageflow.net._fragments import MAX_DATAGRAM_BYTES, Reassembler, split

MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAMS_AT_ONCE = 1024


class GossipLink(BaseComponent):
    """One UDP socket on the circuits poller.

    Args:
        ip: IP number to bind to.
        port: UDP port; 0 selects a free one.
        on_message: Called with each complete message, reassembled from fragments.

    Raises:
        OSError: The address cannot be bound.
    """

    channel = "gossip"

    def __init__(self, ip: str, port: int, on_message: Callable[[bytes], None]) -> None:
        super().__init__()
        self.bytes_out = 0
        self.bytes_in = 0
        self.oversized_messages = 0
        self._message_id = 0
        self._reassembler = Reassembler()
        self._on_message = on_message
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((ip, port))
        self._poller: BasePoller | None = None
        self._batching = False

    @property
    def batching(self) -> bool:
        """Whether messages are received only when ``receive_pending`` is called.

        Most wake-ups of an idle router were for single messages that may wait.
        """
        return self._batching

    @batching.setter
    def batching(self, batching: bool) -> None:
        if batching == self._batching or self._poller is None:
            return
        self._batching = batching
        if batching:
            self._poller.removeReader(self._sock)
        else:
            self._poller.addReader(self, self._sock)

    def receive_pending(self) -> None:
        """Receive the messages that have arrived without waiting for the poller."""
        self._receive(MAX_DATAGRAMS_AT_ONCE)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and UDP port of the socket."""
        return self._sock.getsockname()

    def start(self) -> None:
        """Start to receive; the component has to be registered before."""
        self._poller = findcmp(self.root, BasePoller) or EPoll().register(self)
        self._poller.addReader(self, self._sock)

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Send a message, best effort; one that is too long is counted and dropped."""
        self._message_id += 1
        try:
            datagrams = list(split(self._message_id, data))
        except ValueError:
            self.oversized_messages += 1
            return
        with suppress(OSError):
            for datagram in datagrams:
                self._sock.sendto(datagram, address)
                self.bytes_out += len(datagram)

    @handler("_read")
    def on_readable(self, sock: socket) -> None:
        """Receive pending datagrams; called by the poller or through its event."""
        if sock is self._sock:
            self._receive(MAX_DATAGRAMS_PER_READ)

    def _receive(self, max_datagrams: int) -> None:
        for _ in range(max_datagrams):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.bytes_in += len(data)
            message = self._reassembler.take(sender, data)
            if message is not None:
                self._on_message(message)
