"""Gateway section of docs/CAPACITY.md, from docs/gateway-slopes.json."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from greengageflow.lab._capacity_gateway_text import HEAD, MISFITS, STORE, TABLE
from greengageflow.lab._capacity_overload import overload_part
from greengageflow.lab._processes import ROOT

SAVED_PATH = ROOT / "docs" / "gateway-slopes.json"
REQUESTS_PER_S = 7.5
BUDGET_BYTES_PER_S = 30e3
BUDGET_CORE_SHARE = 0.02
BUDGET_MEMORY_BYTES = 32e6


def gateway_part() -> Iterator[str]:
    """Yield the lines of the section."""
    document = json.loads(SAVED_PATH.read_text())
    rows = document["rows"]
    yield HEAD.format(**document)
    yield TABLE
    yield from map(_row, rows)
    yield from _before(document)
    yield from _datagrams(document)
    yield STORE
    yield from _store(rows)
    yield from _log(document["log"])
    yield from overload_part()
    yield MISFITS


def _row(row: Mapping[str, Any]) -> str:
    core = row["core"] + row["sockets"]
    over = [
        name
        for name, value, budget in (
            ("core", core, BUDGET_CORE_SHARE),
            ("out", row["bytes_out"], BUDGET_BYTES_PER_S),
            ("in", row["bytes_in"], BUDGET_BYTES_PER_S),
            ("memory", row["memory"], BUDGET_MEMORY_BYTES),
        )
        if value > budget
    ]
    low, high = (100 * (edge + row["sockets"]) for edge in _min_max(row["cores"]))
    cells = (
        f"{row['routers']}",
        row["role"],
        f"{row['out']:.0f}, {row['bytes_out'] / 1000:.1f}",
        f"{row['in']:.0f}, {row['bytes_in'] / 1000:.1f}",
        f"{100 * core:.1f} ({low:.1f} to {high:.1f})",
        f"{row['memory'] / 1e6:.2f}",
        ", ".join(over) or "nothing",
    )
    return f"| {' | '.join(cells)} |"


def _min_max(values: list[float]) -> tuple[float, float]:
    return min(values), max(values)


def _before(document: Mapping[str, Any]) -> Iterator[str]:
    before = document.get("before")
    if before is None:
        return
    date, load = before["date"], before["load"]
    yield f"\nBefore sums of changes ({date}, load average {load}):\n"
    yield TABLE.strip().split("\n\n")[-1]
    yield from map(_row, before["rows"])


def _datagrams(document: Mapping[str, Any]) -> Iterator[str]:
    yield "\n### Size of datagrams\n"
    yield "| routers | largest sum of a zone | largest datagram | dropped |"
    yield "| --- | --- | --- | --- |"
    by_size: dict[int, list[Mapping[str, Any]]] = {}
    for row in document["rows"]:
        by_size.setdefault(row["routers"], []).append(row)
    for routers, rows in by_size.items():
        zone, largest = (max(r[k] for r in rows) for k in ("zone_sum", "largest"))
        dropped = sum(r["dropped"] for r in rows)
        yield f"| {routers} | {zone or 'none'} | {largest} | {dropped:.0f} |"
    low, high = _last_two(by_size)
    slope = (high[1] - low[1]) / (high[0] - low[0])
    limit = high[0] + (60_000 - high[1]) / slope
    yield (
        "\nOn the line through the two larger sizes (endpoints and accounts grow with "
        f"the fleet) the largest one passes 60,000 bytes at about {limit:.0f} routers, "
        "worked out, not run.\nLonger ones go in several datagrams (`net._fragments`), "
        "up to 64 of them; what is longer still is counted (`control_too_long`)."
    )


def _last_two(
    by_size: Mapping[int, list[Mapping[str, Any]]],
) -> tuple[tuple[int, int], tuple[int, int]]:
    points = [(n, max(r["largest"] for r in by_size[n])) for n in sorted(by_size)]
    return points[-2], points[-1]


def _store(rows: list[Mapping[str, Any]]) -> Iterator[str]:
    for routers in dict.fromkeys(row["routers"] for row in rows):
        fleet_rows = [row for row in rows if row["routers"] == routers]
        zones = fleet_rows[0]["zones"]
        routers_by_role = {"relay that reads the store": zones, "second relay": zones}
        calls_by_role = {row["role"]: row["calls"] for row in fleet_rows}
        total = sum(
            calls * routers_by_role.get(role, routers - 2 * zones)
            for role, calls in calls_by_role.items()
        )
        cells = (routers, zones, *(f"{calls:.2f}" for calls in calls_by_role.values()))
        yield f"| {' | '.join(map(str, cells))} | {3 / 0.9 * zones:.1f} | {total:.0f} |"


def _log(log: Mapping[str, float]) -> Iterator[str]:
    yield "\n### Decision log\n"
    yield "| requests/s a node | lines/s | KB/s | core % |"
    yield "| --- | --- | --- | --- |"
    for rate in (REQUESTS_PER_S, 2 * REQUESTS_PER_S):
        lines, kilobytes = rate * log["lines"], rate * log["bytes"] / 1000
        yield (
            f"| {rate:g} | {lines:.0f} | {kilobytes:.1f} |"
            f" {100 * rate * log['cpu']:.3f} |"
        )
    yield (
        f"\nTwo lines and {log['bytes']:.0f} bytes an answered request, "
        f"{1e6 * log['cpu']:.0f} µs with the flush to a file; the budget of 200 lines "
        f"a second is not reached, so nothing is sampled. The log goes to the host's "
        f"own descriptor and is no part of the 30 KB/s between routers."
    )
