"""Column encoding of tables of names and amounts in messages between routers.

A column is validated and copied as a whole. One call per value took half of the CPU
time of a relay in a large fleet.
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

_MAX_COUNT = 2**53
_ABSENT = -1
_ADDRESS = Struct("!4sH")


def work_columns(
    served: AccountSums, offered: AccountSums, *, ordered: bool = False
) -> list[tuple[Any, ...]]:
    """Return rows of a service, its accounts and their columns of work.

    Args:
        served: Work started.
        offered: Work requested.
        ordered: Group all accounts of a service into one row. Otherwise the order
            of the keys is kept, and a service may have several rows.
    """
    keys = dict.fromkeys([*served, *offered])
    rows = []
    groups: Iterable[tuple[str, Iterable[tuple[str, str]]]]
    groups = _by_service(keys) if ordered else groupby(keys, itemgetter(0))
    for service, group in groups:
        group_keys = list(group)
        served_column = [int(served.get(key, _ABSENT)) for key in group_keys]
        offered_column = [int(offered.get(key, _ABSENT)) for key in group_keys]
        rows.append(
            (
                service,
                [account for _, account in group_keys],
                served_column,
                offered_column,
            )
        )
    return rows


def _by_service(
    keys: Iterable[tuple[str, str]],
) -> Iterable[tuple[str, list[tuple[str, str]]]]:
    services: dict[str, list[tuple[str, str]]] = {}
    for key in keys:
        services.setdefault(key[0], []).append(key)
    return services.items()


def read_work(rows: Iterable[Any]) -> tuple[AccountSums, AccountSums]:
    """Return work started and work requested, each by service and account.

    Raises:
        ValueError: The rows are malformed.
    """
    served: dict[tuple[str, str], float] = {}
    offered: dict[tuple[str, str], float] = {}
    for service, accounts, served_column, offered_column in rows:
        check_names((service, *accounts))
        if not len(accounts) == len(served_column) == len(offered_column):
            raise ValueError("columns differ in length")
        keys = list(zip(repeat(service), accounts))
        for sums, column in ((served, served_column), (offered, offered_column)):
            check_counts(column, minimum=_ABSENT)
            cells = zip(keys, column, strict=True)
            if _ABSENT in column:
                cells = (cell for cell in cells if cell[1] != _ABSENT)
            sums.update(cells)
    return served, offered


def load_columns(loads: Mapping[str, LoadShare]) -> tuple[list[Any], ...]:
    """Return columns of endpoints, requests, prefill tokens and memory tokens."""
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
        ValueError: The columns are malformed.
    """
    names, *amounts = columns
    if len(amounts) != 3:
        raise ValueError("wrong number of load columns")
    check_names(names)
    check_counts([*chain(*amounts)])
    shares = load_shares(zip(*amounts, strict=True))
    return dict(zip(names, shares, strict=True))


def delta_columns(
    rows: Mapping[int, tuple[int, ...]], width: int
) -> tuple[list[int], ...]:
    """Return a column of row indexes and ``width`` columns of values."""
    columns = zip(*rows.values(), strict=True) if rows else repeat((), width)
    return (list(rows), *map(list, columns))


def read_delta(columns: Sequence[Any], width: int) -> dict[int, tuple[int, ...]]:
    """Return rows of ``width`` counts by row index.

    Raises:
        ValueError: The columns are malformed.
    """
    if len(columns) != width + 1:
        raise ValueError("wrong number of delta columns")
    for column in columns:
        check_counts(column)
    indexes, *values = columns
    return dict(zip(indexes, zip(*values, strict=True), strict=True))


def pair_columns(pairs: Iterable[tuple[str, Any]]) -> list[list[Any]]:
    """Return pairs as two columns."""
    return [[part for part, _ in pairs], [endpoint for _, endpoint in pairs]]


def read_pairs(columns: Sequence[Any]) -> Pairs:
    """Return pairs of names.

    Raises:
        ValueError: The columns are malformed.
    """
    parts, endpoints = columns
    check_names([*parts, *endpoints])
    return tuple(zip(parts, endpoints, strict=True))


def read_index_pairs(columns: Sequence[Any]) -> tuple[tuple[str, int], ...]:
    """Return pairs of a name and an index.

    Raises:
        ValueError: The columns are malformed.
    """
    parts, indexes = columns
    check_names(parts)
    check_counts(indexes)
    return tuple(zip(parts, indexes, strict=True))


def pack_addresses(addresses: Iterable[Address]) -> bytes:
    """Return IPv4 addresses and ports packed into six bytes each."""
    return b"".join(_ADDRESS.pack(inet_aton(ip), port) for ip, port in addresses)


def read_addresses(data: bytes) -> tuple[Address, ...]:
    """Return the IPv4 addresses and ports in packed data.

    Raises:
        ValueError: A port is 0.
        struct.error: The length is not a multiple of six bytes.
    """
    addresses = tuple((inet_ntoa(ip), port) for ip, port in _ADDRESS.iter_unpack(data))
    if any(not port for _, port in addresses):
        raise ValueError("port is 0")
    return addresses


def check_names(names: Iterable[Any]) -> None:
    """Raise ``ValueError`` unless all are strings."""
    if not set(map(type, names)) <= {str}:
        raise ValueError("names are not strings")


def check_counts(column: Sequence[Any], minimum: int = 0) -> None:
    """Raise ``ValueError`` unless all are integers within the bounds.

    A sum with a NaN or a string in it would make every later round of this router
    fail.
    """
    if not set(map(type, column)) <= {int}:
        raise ValueError("counts are not integers")
    if column and not (minimum <= min(column) and max(column) <= _MAX_COUNT):
        raise ValueError("counts are out of bounds")
