"""Reports of stated start times as values for msgpack."""

from typing import Any

from greengageflow.core.start_report import StartTimesReport

START_TIMES_REPORT = 35


def parse_start_times_report(values: list[Any]) -> StartTimesReport:
    """Return a report.

    Raises:
        ValueError: It has values.
    """
    if values:
        raise ValueError("unexpected values")
    return StartTimesReport()
