"""Messages about the software versions of streams as values for msgpack."""

from typing import Any

from greengageflow.core.version_affinity import (
    StreamVersion,
    StreamVersionQuery,
    StreamVersionReport,
)
from greengageflow.net._columns import check_names, pack_addresses, read_addresses

STREAM_VERSION_REPORT, STREAM_VERSION_QUERY = 31, 32


def version_report_values(report: StreamVersionReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    rows = [(row.request, row.service, row.version) for row in report.streams]
    return STREAM_VERSION_REPORT, rows


def version_query_values(query: StreamVersionQuery) -> tuple[Any, ...]:
    """Return the values of a query, its type number first."""
    address = pack_addresses(((query.ip, query.port),))
    return STREAM_VERSION_QUERY, address, query.request


def parse_version_report(values: list[Any]) -> StreamVersionReport:
    """Return a report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return StreamVersionReport(tuple(_parse_stream(*row) for row in rows))


def _parse_stream(request: Any, service: Any, version: Any) -> StreamVersion:
    check_names((request, service, version))
    if not version:
        raise ValueError("a stream has no version")
    return StreamVersion(request, service, version)


def parse_version_query(values: list[Any]) -> StreamVersionQuery:
    """Return a query.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    address, request = values
    ((ip, port),) = read_addresses(address)
    check_names((request,))
    return StreamVersionQuery(ip, port, request)
