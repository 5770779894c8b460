"""Formatting of the output of ``greengage-ctl``."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass, fields
from datetime import UTC, datetime
from typing import Any

from greengageflow.core.catalog import FleetConfig
from greengageflow.core.decisions import Accepted, Adopted, Decision
from greengageflow.ops.ctl_publish import Rollout

_SECTIONS = (("account", "accounts"), ("pool", "pools"), ("endpoint", "endpoints"))


@dataclass(frozen=True, slots=True)
class Report:
    """Output of a command.

    Args:
        text: Human-readable output.
        data: JSON value printed with ``--json``.
        ok: Whether the command succeeded; False gives exit status 1.
    """

    text: str
    data: Any = None
    ok: bool = True


def format_table(rows: Iterable[Sequence[object]]) -> str:
    """Format rows as aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def differences(old: FleetConfig, new: FleetConfig) -> Iterator[str]:
    """Yield one line per account, pool or endpoint that differs, and the policy."""
    for kind, section in _SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        for name in sorted(before.keys() | after.keys()):
            yield from _difference(f"{kind} {name}", before.get(name), after.get(name))
    yield from _difference("policy", old.policy, new.policy)


def _difference(label: str, old: Any, new: Any) -> Iterator[str]:
    if old is None:
        yield f"+ {label}: {_values(new)}"
    elif new is None:
        yield f"- {label}"
    elif old != new:
        yield f"~ {label}: {_changes(old, new)}"


def _values(item: Any) -> str:
    shown = (f"{key}={value}" for key, value in asdict(item).items() if key != "name")
    return ", ".join(shown)


def _changes(old: Any, new: Any) -> str:
    pairs = ((f.name, getattr(old, f.name), getattr(new, f.name)) for f in fields(old))
    return ", ".join(f"{name} {a} -> {b}" for name, a, b in pairs if a != b)


def decision_row(decision: Decision, unix_time: float | None) -> dict[str, Any]:
    """Return a decision as a JSON object."""
    outcome = decision.outcome
    when = None
    if unix_time is not None:
        when = datetime.fromtimestamp(unix_time, UTC).isoformat(timespec="seconds")
    return {
        "offset": decision.offset,
        "time": when,
        "author": decision.author,
        "nonce": decision.nonce,
        "outcome": type(outcome).__name__.lower(),
        "revision": getattr(outcome, "revision", None),
        "reason": getattr(outcome, "reason", None),
        "text": getattr(outcome, "text", ""),
    }


def decision_text(decision: Decision) -> str:
    """Describe the outcome of a record in one line."""
    match decision.outcome:
        case Accepted(revision):
            return f"accepted as revision {revision}"
        case Adopted(revision):
            return f"snapshot, revision {revision} adopted"
        case outcome:
            verb = type(outcome).__name__.lower()
            return f"{verb}, {outcome.reason}: {outcome.text}"


def history_text(
    rows: Iterable[Mapping[str, Any]], decisions: Iterable[Decision]
) -> str:
    """Format decisions as a table."""
    lines = [("OFFSET", "TIME", "AUTHOR", "OUTCOME")]
    for row, decision in zip(rows, decisions, strict=True):
        line = row["offset"], row["time"], row["author"] or "-", decision_text(decision)
        lines.append(line)
    return format_table(lines)


def status_text(rows: Mapping[str, Any]) -> str:
    """Format router statuses as a table; a ``str`` status is an error message."""
    lines = [("ROUTER", "HOST", "ZONE", "STATE", "REVISION", "LOG", "REMARK")]
    for address, status in rows.items():
        if isinstance(status, str):
            lines.append((address, "-", "-", "unreachable", "-", "-", status))
            continue
        config = status.get("config", {})
        remark = config.get("halted") or (
            "" if config.get("complete", True) else "records of the log are missing"
        )
        lines.append(
            (
                address,
                status.get("host", "-"),
                status.get("zone", "-"),
                status.get("state", "-"),
                config.get("revision", "-"),
                config.get("log", "-"),
                remark,
            )
        )
    return format_table(lines)


def rollout_text(rollout: Rollout) -> str:
    """Describe how many routers apply a revision and which ones do not."""
    total = len(rollout.in_force) + len(rollout.pending)
    lines = [
        f"in force on {len(rollout.in_force)} of {total} after {rollout.seconds:.1f} s"
    ]
    lines += [f"not on {address}: {why}" for address, why in rollout.pending.items()]
    return "\n".join(lines)


def trace_text(spans: Sequence[Mapping[str, Any]]) -> str:
    """Format spans as a tree, with start and duration in milliseconds."""
    span_ids = {span["span"] for span in spans}
    children: dict[Any, list[Mapping[str, Any]]] = {}
    for span in sorted(spans, key=lambda item: item["start_ns"]):
        # The parent span of the caller is recorded elsewhere, not in this file.
        parent = span["parent"] if span["parent"] in span_ids else None
        children.setdefault(parent, []).append(span)
    start = min(span["start_ns"] for span in spans)
    rows = [("START", "LENGTH", "HOST", "SPAN")]
    stack = [(span, 0) for span in reversed(children.get(None, []))]
    while stack:
        span, depth = stack.pop()
        rows.append(_span_row(span, depth, start))
        nested = reversed(children.get(span["span"], []))
        stack += [(child, depth + 1) for child in nested]
    return format_table(rows)


def _span_row(span: Mapping[str, Any], depth: int, start: int) -> tuple[str, ...]:
    attributes = span.get("attributes") or {}
    shown = " ".join(f"{key}={value}" for key, value in attributes.items())
    return (
        f"{(span['start_ns'] - start) / 1e6:.2f}",
        f"{(span['end_ns'] - span['start_ns']) / 1e6:.2f}",
        span["host"],
        f"{'  ' * depth}{span['name']} {shown}".rstrip(),
    )
