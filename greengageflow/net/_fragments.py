"""Fragmentation and reassembly of messages too long for one datagram."""

from collections import OrderedDict
from collections.abc import Iterator
from struct import Struct, error

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of a datagram, in bytes."""

MAX_FRAGMENTS = 64
MAX_INCOMPLETE_MESSAGES = 8
"""Maximum number of incomplete messages. Without the limit, a lost fragment would keep
the others of its message in memory forever."""

_FRAGMENT_MARKER = b"\xc1"  # never the first byte of a msgpack message
_HEADER = Struct(">cIHH")

Address = tuple[str, int]


def split(number: int, data: bytes) -> Iterator[bytes]:
    """Yield the datagrams of a message.

    Args:
        number: Distinguishes the messages of one sender.
        data: The message; if it fits into one datagram, it is sent unchanged.

    Raises:
        ValueError: The message needs more than ``MAX_FRAGMENTS`` datagrams.
    """
    if len(data) <= MAX_DATAGRAM_BYTES:
        yield data
        return
    max_payload_bytes = MAX_DATAGRAM_BYTES - _HEADER.size
    count = -(-len(data) // max_payload_bytes)
    if count > MAX_FRAGMENTS:
        raise ValueError(f"message too long: {len(data)} bytes")
    for index in range(count):
        head = _HEADER.pack(_FRAGMENT_MARKER, number % 2**32, index, count)
        yield head + data[index * max_payload_bytes : (index + 1) * max_payload_bytes]


class Reassembler:
    """Reassembles fragmented messages of any number of senders."""

    def __init__(self) -> None:
        self._incomplete: OrderedDict[tuple[Address, int, int], dict[int, bytes]]
        self._incomplete = OrderedDict()

    def take(self, sender: Address, data: bytes) -> bytes | None:
        """Return the message in or completed by a datagram, or None."""
        if not data.startswith(_FRAGMENT_MARKER):
            return data
        try:
            _, number, index, count = _HEADER.unpack_from(data)
        except error:
            return None
        if not index < count <= MAX_FRAGMENTS:
            return None
        key = (sender, number, count)
        fragments = self._incomplete.setdefault(key, {})
        fragments[index] = data[_HEADER.size :]
        if len(fragments) < count:
            if len(self._incomplete) > MAX_INCOMPLETE_MESSAGES:
                self._incomplete.popitem(last=False)
            return None
        del self._incomplete[key]
        return b"".join(fragments[fragment_index] for fragment_index in range(count))
