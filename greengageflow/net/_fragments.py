"""Fragmentation and reassembly of messages too long for one datagram."""

from collections import OrderedDict
from collections.abc import Iterator
from struct import Struct, error

LARGEST = 60_000
"""Maximum size of a datagram, in bytes."""

MOST_PIECES = 64
MOST_OPEN = 8
"""Maximum number of incomplete messages. Without the limit, a lost fragment would keep
the others of its message in memory forever."""

_MARK = b"\xc1"  # never the first byte of a msgpack message
_HEADER = Struct(">cIHH")

Address = tuple[str, int]


def split(number: int, data: bytes) -> Iterator[bytes]:
    """Yield the datagrams of a message.

    Args:
        number: Distinguishes the messages of one sender.
        data: The message; if it fits into one datagram, it is sent unchanged.

    Raises:
        ValueError: The message needs more than ``MOST_PIECES`` datagrams.
    """
    if len(data) <= LARGEST:
        yield data
        return
    room = LARGEST - _HEADER.size
    count = -(-len(data) // room)
    if count > MOST_PIECES:
        raise ValueError(f"message too long: {len(data)} bytes")
    for index in range(count):
        head = _HEADER.pack(_MARK, number % 2**32, index, count)
        yield head + data[index * room : (index + 1) * room]


class Fragments:
    """Reassembles fragmented messages of any number of senders."""

    def __init__(self) -> None:
        self._open: OrderedDict[tuple[Address, int, int], dict[int, bytes]]
        self._open = OrderedDict()

    def take(self, sender: Address, data: bytes) -> bytes | None:
        """Return the message in or completed by a datagram, or None."""
        if not data.startswith(_MARK):
            return data
        try:
            _, number, index, count = _HEADER.unpack_from(data)
        except error:
            return None
        if not index < count <= MOST_PIECES:
            return None
        key = (sender, number, count)
        pieces = self._open.setdefault(key, {})
        pieces[index] = data[_HEADER.size :]
        if len(pieces) < count:
            if len(self._open) > MOST_OPEN:
                self._open.popitem(last=False)
            return None
        del self._open[key]
        return b"".join(pieces[place] for place in range(count))
