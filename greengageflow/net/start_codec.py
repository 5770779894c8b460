"""Messages about starts of endpoints as values for msgpack."""

from collections.abc import Iterable
from math import isfinite
from typing import Any

from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.unproven_starts import (
    UnprovenStart,
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.net._columns import (
    check_counts,
    check_names,
    pack_addresses,
    read_addresses,
)

UNPROVEN_START_QUERY, UNPROVEN_START_REPORT, START_TIMES_REPORT = 35, 36, 37


def start_query_values(query: UnprovenStartQuery) -> tuple[Any, ...]:
    """Return the values of a query, its type number first."""
    address = pack_addresses(((query.ip, query.port),))
    rows = _rows(query.starts)
    return UNPROVEN_START_QUERY, address, query.number, query.service, rows


def start_report_values(report: UnprovenStartReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    rows = _rows(report.starts)
    return UNPROVEN_START_REPORT, report.host, report.number, report.service, rows


def _rows(starts: Iterable[UnprovenStart]) -> list[tuple[str, float]]:
    return [(row.start, row.age_s) for row in starts]


def parse_start_query(values: list[Any]) -> UnprovenStartQuery:
    """Return a query.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    address, number, service, rows = values
    ((ip, port),) = read_addresses(address)
    check_names((service,))
    check_counts([number])
    return UnprovenStartQuery(ip, port, number, service, _parse_starts(rows))


def parse_start_report(values: list[Any]) -> UnprovenStartReport:
    """Return a report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    host, number, service, rows = values
    check_names((host, service))
    check_counts([number])
    return UnprovenStartReport(host, number, service, _parse_starts(rows))


def _parse_starts(rows: list[Any]) -> tuple[UnprovenStart, ...]:
    return tuple(_parse_start(*row) for row in rows)


def _parse_start(start: Any, age_s: Any) -> UnprovenStart:
    check_names((start,))
    age = float(age_s)
    if not (isfinite(age) and age >= 0):
        raise ValueError("invalid age")
    return UnprovenStart(start, age)


def parse_start_times_report(values: list[Any]) -> StartTimesReport:
    """Return a report that start times are stated.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    check_names(values)
    return StartTimesReport(tuple(values))
