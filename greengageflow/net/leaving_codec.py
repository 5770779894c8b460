"""Leaving signs of endpoints as values for msgpack."""

from typing import Any

from greengageflow.core.leaving_signs import LeavingReport, LeavingSign
from greengageflow.net._columns import check_names

LEAVING_REPORT = 29

_MAX_START = 2**53


def leaving_report_values(report: LeavingReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    return LEAVING_REPORT, [(sign.endpoint, sign.born) for sign in report.signs]


def parse_leaving_report(values: list[Any]) -> LeavingReport:
    """Return a leaving report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return LeavingReport(tuple(_parse_sign(*row) for row in rows))


def _parse_sign(endpoint: Any, born: Any) -> LeavingSign:
    check_names((endpoint,))
    if type(born) is not int or not 0 <= born <= _MAX_START:
        raise ValueError(f"invalid start time: {born!r}")
    return LeavingSign(endpoint, born)
