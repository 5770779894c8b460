"""``greengage-ctl where``: where a request would go now."""

from collections.abc import Iterator, Mapping
from typing import Any

from greengageflow.ops._ctl_config import BadInputError
from greengageflow.ops._ctl_files import read_text
from greengageflow.ops._ctl_text import Report, format_table
from greengageflow.ops._platform_http import (
    CallError,
    explain_placement,
    parse_address,
)

_HEADINGS = (
    "ENDPOINT",
    "ZONE",
    "RUNNING",
    "WAIT",
    "READS",
    "CACHED",
    "WORK",
    "SLOW",
    "FAILS",
    "COST",
    "REMARK",
)


def where(gateway: str, query: Mapping[str, str], key_file: str = "") -> Report:
    """Ask one gateway where a request would go.

    Args:
        gateway: ``IP:PORT`` of its metrics listener.
        query: Description of the request; empty values are left out.
        key_file: File with the account key, ``-`` for standard input, or empty.

    Raises:
        BadInputError: The address or the key is not valid.
        CallError: The gateway is unreachable or refuses.
    """
    try:
        address = parse_address(gateway)
    except ValueError as exc:
        raise BadInputError(str(exc)) from None
    given = {name: value for name, value in query.items() if value}
    key = _read_key(key_file) if key_file else ""
    found = explain_placement(address, given, key)
    try:
        return Report(placement_text(found), found)
    except (KeyError, TypeError, ValueError) as exc:
        raise CallError(f"{address}: invalid response: {exc!r}") from None


def _read_key(path: str) -> str:
    key = read_text(path).strip()
    if not key or not all("!" <= char <= "~" for char in key):
        raise BadInputError("--key_file: must contain one key of visible ASCII")
    return key


def placement_text(found: Mapping[str, Any]) -> str:
    """Describe an explanation: the decision, and a table of the endpoints."""
    rows = [_HEADINGS, *(_row(row, found) for row in found["candidates"])]
    return "\n".join([*_decision_lines(found), "", format_table(rows)])


def _decision_lines(found: Mapping[str, Any]) -> Iterator[str]:
    account = found["account"] or "-"
    yield f"route {found['route']}, service {found['service']}, account {account}"
    if not found["decided_here"]:
        yield (
            f"{found['placer']} decides; {found['host']} was asked and would itself "
            "choose as follows"
        )
    yield f"{found['host']}: {_decision(found)}"
    if found["beyond_share"]:
        yield "the request is beyond a share: it may use spare capacity only"
    if found["account_queued"]:
        yield "requests of the account are queued before it"
    age_s = found["load_report_age_s"]
    reports = (
        "no load reports yet" if age_s is None else f"load reports {age_s:.2f} s old"
    )
    yield f"{reports}, {found['service_queued']} queued requests of the service"


def _decision(found: Mapping[str, Any]) -> str:
    refusal = found["refusal"]
    match found["outcome"]:
        case "start":
            return f"starts at {found['endpoint']}"
        case "queue":
            return (
                f"queued; if there is no room within {refusal['after_s']:.2f} s: "
                f"{_refusal(refusal)}"
            )
    return f"refused: {_refusal(refusal)}"


def _refusal(refusal: Mapping[str, Any]) -> str:
    return (
        f"{refusal['kind']}, {refusal['message']}, "
        f"Retry-After {refusal['retry_after_s']:.2f}"
    )


def _row(row: Mapping[str, Any], found: Mapping[str, Any]) -> tuple[str, ...]:
    wait_s = row["queue_wait_s"] if row["wait_s"] is None else row["wait_s"]
    return (
        row["id"],
        row["zone"],
        f"{row['running']}/{row['slots']}",
        f"{wait_s:.3f}",
        _number(row["reading"], 0),
        str(row["cached_tokens"]),
        _number(row["work_left"], 2),
        f"{row['slowness']:.2f}",
        f"{row['failure_rate']:.2f}",
        _number(row["cost"], 3),
        _remark(row, found),
    )


def _number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _remark(row: Mapping[str, Any], found: Mapping[str, Any]) -> str:
    remarks = []
    if row["id"] == found["endpoint"]:
        remarks.append("chosen")
    if row["excluded"]:
        remarks.append(row["excluded"])
    if row["excluded_s"]:
        remarks.append(f"for {row['excluded_s']:.1f} s")
    if row["placer"] not in ("", found["host"]):
        remarks.append(f"placer {row['placer']}")
    if row["fetch_from"]:
        remarks.append(f"fetches from {row['fetch_from']}")
    return ", ".join(remarks)
