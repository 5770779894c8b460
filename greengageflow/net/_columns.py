"""Tables of names and amounts as columns, for messages between routers.

A column is checked and taken over at once. One call for each value made up half of
what a relay of a large fleet spent.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import repeat
from socket import inet_aton, inet_ntoa
from struct import Struct
from typing import Any

from greengageflow.core.endpoint_load import LoadShare

AccountSums = Mapping[tuple[str, str], float]
Address = tuple[str, int]
Pairs = tuple[tuple[str, str], ...]

_MOST = 2**53
_NONE = -1
_ADDRESS = Struct("!4sH")


def work_columns(served: AccountSums, offered: AccountSums) -> dict[str, list[Any]]:
    """Return accounts, work begun and work asked for as columns, by service."""
    services: dict[str, list[Any]] = {}
    for key in served.keys() | offered.keys():
        accounts, begun, asked = services.setdefault(key[0], [[], [], []])
        accounts.append(key[1])
        begun.append(int(served.get(key, _NONE)))
        asked.append(int(offered.get(key, _NONE)))
    return services


def read_work(services: Mapping[Any, Any]) -> tuple[AccountSums, AccountSums]:
    """Return work begun and work asked for by service and account.

    Raises:
        ValueError: It is no such table.
    """
    served: dict[tuple[str, str], float] = {}
    offered: dict[tuple[str, str], float] = {}
    for service, (accounts, begun, asked) in services.items():
        check_names((service, *accounts))
        for sums, column in ((served, begun), (offered, asked)):
            check_amounts(column, least=_NONE)
            rows = zip(zip(repeat(service), accounts), column, strict=False)
            if _NONE in column:
                rows = (row for row in rows if row[1] != _NONE)
            sums.update(rows)
        if not len(accounts) == len(begun) == len(asked):
            raise ValueError("columns of several lengths")
    return served, offered


def load_columns(loads: Mapping[str, LoadShare]) -> tuple[list[Any], ...]:
    """Return endpoints, requests, tokens to read and tokens kept as columns."""
    shares = loads.values()
    return (
        list(loads),
        [share.running for share in shares],
        [int(share.reading) for share in shares],
        [int(share.memory) for share in shares],
    )


def read_loads(columns: Sequence[Any]) -> dict[str, LoadShare]:
    """Return loads by endpoint.

    Raises:
        ValueError: They are no such columns.
    """
    names, *amounts = columns
    if len(amounts) != 3:
        raise ValueError("no loads")
    check_names(names)
    for column in amounts:
        check_amounts(column)
    shares = map(LoadShare._make, zip(*amounts, strict=True))
    return dict(zip(names, shares, strict=True))


def pair_columns(pairs: Pairs) -> list[list[str]]:
    """Return pairs of names as two columns."""
    return [[part for part, _ in pairs], [endpoint for _, endpoint in pairs]]


def read_pairs(columns: Sequence[Any]) -> Pairs:
    """Return pairs of names.

    Raises:
        ValueError: They are no such columns.
    """
    parts, endpoints = columns
    check_names(parts)
    check_names(endpoints)
    return tuple(zip(parts, endpoints, strict=True))


def pack_addresses(addresses: Iterable[Address]) -> bytes:
    """Return IP numbers and ports, six bytes each."""
    return b"".join(_ADDRESS.pack(inet_aton(ip), port) for ip, port in addresses)


def read_addresses(data: bytes) -> tuple[Address, ...]:
    """Return IP numbers and ports; names cannot be written this way.

    Raises:
        ValueError: There is a port 0.
        struct.error: Some bytes are too many.
    """
    found = tuple((inet_ntoa(ip), port) for ip, port in _ADDRESS.iter_unpack(data))
    if any(not port for _, port in found):
        raise ValueError("no port: 0")
    return found


def check_names(names: Iterable[Any]) -> None:
    """Raise ``ValueError`` unless all are text."""
    if not set(map(type, names)) <= {str}:
        raise ValueError("no names")


def check_amounts(column: Sequence[Any], least: int = 0) -> None:
    """Raise ``ValueError`` unless all are counts.

    Sums that hold NaN or text would end each later round of this router.
    """
    if not set(map(type, column)) <= {int}:
        raise ValueError("no counts")
    if column and not (least <= min(column) and max(column) <= _MOST):
        raise ValueError("counts out of bounds")
