"""Crash reports as values for msgpack."""

from collections.abc import Iterable
from dataclasses import replace
from math import inf, isfinite
from typing import Any

from greengageflow.core.fingerprint import FINGERPRINT_BYTES, is_part
from greengageflow.core.quarantine import CrashRecord, CrashReport
from greengageflow.net._columns import check_names

CRASH_REPORT, PART_CRASH_REPORT = 28, 33


def crash_report_values(report: CrashReport) -> tuple[Any, ...]:
    """Return the values of a report, its type number first."""
    rows = [
        (record.fingerprint, record.crashed, record.cleared, round(record.age_s, 3))
        for record in report.records
    ]
    if not any(is_part(record.fingerprint) for record in report.records):
        return CRASH_REPORT, rows
    ages = [[round(age_s, 3) for age_s in record.ages_s] for record in report.records]
    return PART_CRASH_REPORT, rows, ages


def parse_crash_report(values: list[Any]) -> CrashReport:
    """Return a crash report.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    (rows,) = values
    return CrashReport(tuple(_parse_record(*row) for row in rows))


def parse_part_crash_report(values: list[Any]) -> CrashReport:
    """Return a crash report that has the time of each crash.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    rows, ages = values
    records = parse_crash_report([rows]).records
    return CrashReport(
        tuple(
            replace(record, ages_s=_parse_ages(ages_s, len(record.crashed)))
            for record, ages_s in zip(records, ages, strict=True)
        )
    )


def _parse_ages(values: Iterable[Any], count: int) -> tuple[float, ...]:
    ages_s = tuple(map(float, values))
    if len(ages_s) not in (0, count) or not all(0 <= age < inf for age in ages_s):
        raise ValueError(f"invalid ages: {ages_s!r}")
    return ages_s


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
