"""Messages that are too long for one datagram."""

from collections import OrderedDict
from collections.abc import Iterator
from struct import Struct, error

LARGEST = 60_000
"""Most bytes in one datagram."""

MOST_PIECES = 64
MOST_OPEN = 8
"""Incomplete messages that are kept; a lost piece would hold its others for ever."""

_MARK = b"\xc1"  # msgpack never begins a message with it
_HEADER = Struct(">cIHH")

Address = tuple[str, int]


def split(number: int, data: bytes) -> Iterator[bytes]:
    """Yield a message as datagrams.

    Args:
        number: Tells the messages of one sender apart.
        data: The message, which is its own only datagram when it is short.

    Raises:
        ValueError: It is too long for that, too.
    """
    if len(data) <= LARGEST:
        yield data
        return
    room = LARGEST - _HEADER.size
    count = -(-len(data) // room)
    if count > MOST_PIECES:
        raise ValueError(f"message of {len(data)} bytes")
    for index in range(count):
        head = _HEADER.pack(_MARK, number % 2**32, index, count)
        yield head + data[index * room : (index + 1) * room]


class Fragments:
    """Joins the datagrams of long messages, from whichever senders they come."""

    def __init__(self) -> None:
        self._open: OrderedDict[tuple[Address, int, int], dict[int, bytes]]
        self._open = OrderedDict()

    def take(self, sender: Address, data: bytes) -> bytes | None:
        """Return the message that a datagram is or completes, or None."""
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
