"""Tables of names and amounts as columns, for messages between routers.

A column is checked and taken over at once. One call for each value made up half of
what a relay of a large fleet spent.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import chain, groupby, repeat
from operator import itemgetter
from socket import inet_aton, inet_ntoa
from struct import Struct
from typing import Any

from greengageflow.core.endpoint_load import LoadShare, load_shares

AccountSums = Mapping[tuple[str, str], float]
Address = tuple[str, int]
Pairs = tuple[tuple[str, str], ...]

_MOST = 2**53
_NONE = -1
_ADDRESS = Struct("!4sH")


def work_columns(
    served: AccountSums, offered: AccountSums, *, ordered: bool = False
) -> list[tuple[Any, ...]]:
    """Return service, accounts, work begun and work asked for, as columns.

    Args:
        served: Work begun.
        offered: Work asked for.
        ordered: Put all accounts of a service together; else keys keep their order.
    """
    keys = dict.fromkeys([*served, *offered])
    rows = []
    groups: Iterable[tuple[str, Iterable[tuple[str, str]]]]
    groups = _by_service(keys) if ordered else groupby(keys, itemgetter(0))
    for service, group in groups:
        found = list(group)
        begun = [int(served.get(key, _NONE)) for key in found]
        asked = [int(offered.get(key, _NONE)) for key in found]
        rows.append((service, [account for _, account in found], begun, asked))
    return rows


def _by_service(
    keys: Iterable[tuple[str, str]],
) -> Iterable[tuple[str, list[tuple[str, str]]]]:
    services: dict[str, list[tuple[str, str]]] = {}
    for key in keys:
        services.setdefault(key[0], []).append(key)
    return services.items()


def read_work(rows: Iterable[Any]) -> tuple[AccountSums, AccountSums]:
    """Return work begun and work asked for by service and account.

    Raises:
        ValueError: It is no such table.
    """
    served: dict[tuple[str, str], float] = {}
    offered: dict[tuple[str, str], float] = {}
    for service, accounts, begun, asked in rows:
        check_names((service, *accounts))
        if not len(accounts) == len(begun) == len(asked):
            raise ValueError("columns of several lengths")
        keys = list(zip(repeat(service), accounts))
        for sums, column in ((served, begun), (offered, asked)):
            check_amounts(column, least=_NONE)
            cells = zip(keys, column, strict=True)
            if _NONE in column:
                cells = (cell for cell in cells if cell[1] != _NONE)
            sums.update(cells)
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
    check_amounts([*chain(*amounts)])
    shares = load_shares(zip(*amounts, strict=True))
    return dict(zip(names, shares, strict=True))


def change_columns(
    rows: Mapping[int, tuple[int, ...]], width: int
) -> tuple[list[int], ...]:
    """Return places, and the values there as ``width`` columns."""
    columns = zip(*rows.values(), strict=True) if rows else repeat((), width)
    return (list(rows), *map(list, columns))


def read_changes(columns: Sequence[Any], width: int) -> dict[int, tuple[int, ...]]:
    """Return rows of ``width`` counts by place.

    Raises:
        ValueError: They are no such columns.
    """
    if len(columns) != width + 1:
        raise ValueError("no changes")
    for column in columns:
        check_amounts(column)
    places, *values = columns
    return dict(zip(places, zip(*values, strict=True), strict=True))


def pair_columns(pairs: Iterable[tuple[str, Any]]) -> list[list[Any]]:
    """Return pairs as two columns."""
    return [[part for part, _ in pairs], [endpoint for _, endpoint in pairs]]


def read_pairs(columns: Sequence[Any]) -> Pairs:
    """Return pairs of names.

    Raises:
        ValueError: They are no such columns.
    """
    parts, endpoints = columns
    check_names([*parts, *endpoints])
    return tuple(zip(parts, endpoints, strict=True))


def read_places(columns: Sequence[Any]) -> tuple[tuple[str, int], ...]:
    """Return pairs of a name and a place.

    Raises:
        ValueError: They are no such columns.
    """
    parts, places = columns
    check_names(parts)
    check_amounts(places)
    return tuple(zip(parts, places, strict=True))


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
