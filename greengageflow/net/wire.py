"""Wire format of the messages between routers.

A message is a msgpack array: host and boot time of its sender, the number of the
message type, then the fields in order; nested dataclasses are arrays, too. Type numbers
are never reused. Small whole floats are sent as integers, and trailing fields that have
their default value are omitted.
"""

from collections.abc import Mapping
from dataclasses import MISSING, fields
from types import MappingProxyType
from typing import Any

import msgpack

from greengageflow.core.messages import (
    AccountService,
    Ack,
    ConfigRequest,
    ConfigState,
    Demand,
    FleetTotals,
    Grant,
    GrantReturned,
    GrantTaken,
    IntentRequest,
    IntentVerdict,
    LeavingNotice,
    Member,
    OrderNotice,
    OutcomeReport,
    OutcomeStored,
    PeerId,
    Ping,
    PingRequest,
    ShareReport,
    View,
    ViewRequest,
    WorkCall,
    ZoneTotals,
)
from greengageflow.core.quarantine import CrashRecord, CrashReport

_COMPACT_INT_LIMIT = 2**32

TYPES: Mapping[int, type] = MappingProxyType(
    {
        1: Demand,
        2: Grant,
        3: GrantTaken,
        4: GrantReturned,
        5: ShareReport,
        6: ZoneTotals,
        7: FleetTotals,
        8: WorkCall,
        9: LeavingNotice,
        10: CrashReport,
        20: Ping,
        21: Ack,
        22: PingRequest,
        23: ViewRequest,
        24: View,
        40: ConfigRequest,
        41: ConfigState,
        42: OrderNotice,
        60: IntentRequest,
        61: IntentVerdict,
        62: OutcomeReport,
        63: OutcomeStored,
    }
)
_TYPE_NUMBERS = {type_: number for number, type_ in TYPES.items()}
_FIELDS = {
    type_: tuple(field.name for field in fields(type_))
    for type_ in (*TYPES.values(), AccountService, Member, CrashRecord)
}
_DEFAULTS = {
    type_: tuple(field.default for field in fields(type_)) for type_ in _FIELDS
}
_NESTED = {
    (ShareReport, "services"): AccountService,
    (ZoneTotals, "services"): AccountService,
    (FleetTotals, "services"): AccountService,
    (Ping, "updates"): Member,
    (Ack, "updates"): Member,
    (View, "members"): Member,
    (CrashReport, "records"): CrashRecord,
}


class MessageError(ValueError):
    """Bytes from a peer are not a message of a known type."""


def _to_row(item: Any) -> list[Any]:
    type_ = type(item)
    row = [_compact(getattr(item, name)) for name in _FIELDS[type_]]
    # ``decode`` fills in the defaults of omitted trailing fields.
    for default in reversed(_DEFAULTS[type_]):
        if default is MISSING or row[-1] != default:
            break
        row.pop()
    return row


def _compact(value: Any) -> Any:
    """Return a small whole float as an integer: 1 to 5 bytes instead of 9."""
    small = (
        type(value) is float and abs(value) < _COMPACT_INT_LIMIT and value.is_integer()
    )
    return int(value) if small else value


def _to_rows(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_row(item) for item in value]
    return value


def _to_tuple(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def encode(sender: PeerId, message: Any) -> bytes:
    """Return the encoded ``message`` from ``sender``."""
    row = [_to_rows(value) for value in _to_row(message)]
    return msgpack.packb([sender.host, sender.boot, _TYPE_NUMBERS[type(message)], *row])


def decode(data: bytes) -> tuple[PeerId, Any]:
    """Return the sender and the message encoded in ``data``.

    Raises:
        MessageError: The data is malformed or its message type is unknown.
    """
    try:
        host, boot, number, *row = msgpack.unpackb(data)
        type_ = TYPES[number]
        names = _FIELDS[type_]
        args = [
            tuple(nested(*map(_to_tuple, item)) for item in value)
            if (nested := _NESTED.get((type_, name)))
            else value
            for name, value in zip(names, row, strict=False)
        ]
        return PeerId(host, boot), type_(*args)
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as exc:
        raise MessageError(f"malformed peer message: {exc}") from exc
