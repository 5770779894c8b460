"""Leaving signs of endpoints as values for msgpack."""

from typing import Any

from greengageflow.core.leaving_signs import LeavingReport, LeavingSign
from greengageflow.net._columns import check_names

LEAVING = 29

_LATEST = 2**53


def leaving_values(report: LeavingReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    return LEAVING, [(sign.endpoint, sign.born) for sign in report.signs]


def leaving_of(values: list[Any]) -> LeavingReport:
    """Return a leaving report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return LeavingReport(tuple(_sign(*row) for row in rows))


def _sign(endpoint: Any, born: Any) -> LeavingSign:
    check_names((endpoint,))
    if type(born) is not int or not 0 <= born <= _LATEST:
        raise ValueError(f"invalid start time: {born!r}")
    return LeavingSign(endpoint, born)
