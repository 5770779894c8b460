"""Stamps of messages between routers, and the messages that ask for them."""

from struct import Struct
from typing import Any

from greengageflow.core.tick_echo import ClockTick, Stamp
from greengageflow.net._columns import pack_addresses, read_addresses

CLOCK_TICK = 34

_STAMP_MARKER = b"\x00"  # never the first byte of a message, which is a msgpack array
_STAMP = Struct(">cII")


def add_stamp(stamp: Stamp, message: bytes) -> bytes:
    """Return an encoded message with a stamp before it."""
    return _STAMP.pack(_STAMP_MARKER, stamp.tick, stamp.echo) + message


def split_stamp(data: bytes) -> tuple[Stamp | None, bytes]:
    """Return the stamp of a received message, if it has one, and the message."""
    if not data.startswith(_STAMP_MARKER) or len(data) < _STAMP.size:
        return None, data
    _, tick, echo = _STAMP.unpack_from(data)
    return Stamp(tick, echo), data[_STAMP.size :]


def clock_tick_values(message: ClockTick) -> tuple[Any, ...]:
    """Return the values of a message, its type number first."""
    return CLOCK_TICK, pack_addresses(((message.ip, message.port),)), message.tick


def parse_clock_tick(values: list[Any]) -> ClockTick:
    """Return a message.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    address, tick = values
    ((ip, port),) = read_addresses(address)
    return ClockTick(ip, port, int(tick))
