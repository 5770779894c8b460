"""Evacuations of zones as values for msgpack."""

from typing import Any

from greengageflow.core.evacuation import EvacuationRecord, EvacuationReport
from greengageflow.net._columns import check_names

EVACUATION_REPORT = 30

_MAX_MARK = 2**63


def evacuation_report_values(report: EvacuationReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    rows = [(r.zone, r.mark, r.evacuated) for r in report.records]
    return EVACUATION_REPORT, rows


def parse_evacuation_report(values: list[Any]) -> EvacuationReport:
    """Return an evacuation report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return EvacuationReport(tuple(_parse_record(*row) for row in rows))


def _parse_record(zone: Any, mark: Any, evacuated: Any) -> EvacuationRecord:
    check_names((zone,))
    if type(mark) is not int or not 0 <= mark <= _MAX_MARK:
        raise ValueError(f"invalid mark: {mark!r}")
    if type(evacuated) is not bool:
        raise ValueError(f"invalid state: {evacuated!r}")
    return EvacuationRecord(zone, mark, evacuated)
