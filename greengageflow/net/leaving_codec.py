"""Endpoints' signs of leaving as values for msgpack."""

from typing import Any

from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.net._columns import check_names

LEAVING = 29

_LATEST = 2**53


def leaving_values(report: LeavingReport) -> tuple[Any, ...]:
    """Return the values of a report, its kind first."""
    return LEAVING, [(sign.endpoint, sign.born) for sign in report.endpoints]


def leaving_of(values: list[Any]) -> LeavingReport:
    """Return a report; raises ValueError, TypeError for what is none."""
    (rows,) = values
    return LeavingReport(tuple(_sign(*row) for row in rows))


def _sign(endpoint: Any, born: Any) -> LeavingEndpoint:
    check_names((endpoint,))
    if type(born) is not int or not 0 <= born <= _LATEST:
        raise ValueError(f"no start: {born!r}")
    return LeavingEndpoint(endpoint, born)
