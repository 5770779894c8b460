"""Crash reports as values for msgpack."""

from collections.abc import Iterable
from math import isfinite
from typing import Any

from greengageflow.core.quarantine import FINGERPRINT_BYTES, CrashRecord, CrashReport
from greengageflow.net._columns import check_names

CRASH_REPORT = 28


def crash_report_values(report: CrashReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    rows = [
        (record.fingerprint, record.crashed, record.cleared, round(record.age_s, 3))
        for record in report.records
    ]
    return CRASH_REPORT, rows


def parse_crash_report(values: list[Any]) -> CrashReport:
    """Return a crash report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return CrashReport(tuple(_parse_record(*row) for row in rows))


def _parse_record(
    fingerprint: Any, crashed: Any, cleared: Any, age_s: Any
) -> CrashRecord:
    if not isinstance(fingerprint, bytes) or len(fingerprint) != FINGERPRINT_BYTES:
        raise ValueError(f"invalid fingerprint: {fingerprint!r}")
    age_s = float(age_s)
    if not isfinite(age_s) or age_s < 0:
        raise ValueError(f"age is negative or not finite: {age_s!r}")
    return CrashRecord(fingerprint, _parse_names(crashed), _parse_names(cleared), age_s)


def _parse_names(values: Iterable[Any]) -> tuple[str, ...]:
    names = tuple(values)
    check_names(names)
    return names
