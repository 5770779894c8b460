"""Leaving signs of endpoints as values for msgpack."""

from typing import Any

from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.net._columns import check_names

LEAVING_REPORT = 29

_MAX_START = 2**53


def leaving_report_values(report: LeavingReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    return LEAVING_REPORT, [(sign.endpoint, sign.born) for sign in report.endpoints]


def parse_leaving_report(values: list[Any]) -> LeavingReport:
    """Return a leaving report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return LeavingReport(tuple(_parse_sign(*row) for row in rows))


def _parse_sign(endpoint: Any, born: Any) -> LeavingEndpoint:
    check_names((endpoint,))
    if type(born) is not int or not 0 <= born <= _MAX_START:
        raise ValueError(f"invalid start time: {born!r}")
    return LeavingEndpoint(endpoint, born)
