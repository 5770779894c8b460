"""Overload section of docs/CAPACITY.md, from docs/overload-*.json."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from greengageflow.lab._processes import ROOT
from greengageflow.lab.bench_overload import PHASES

RUNS = ("plain", "plain-slow", "engine")
HEAD = """
### Overload and recovery on stand-ins

Made by `greengage-bench overload`, one run each. Callers come by a Poisson process,
and those who were refused once more, after Retry-After. *In time* are whole answers
within 800 ms of the time at which the caller was due (engines: the first event). A wait
lasts from there until the endpoint begins. Means leave out the first 2 s of a phase.
The callers' process and the stand-ins ran on the same machine, which others used. The
log has a budget of 200 lines a second; *dropped* counts by the metrics page what went
over it.
"""
TABLE = """
| load | in time/s | late/s | refused/s | wait p50, p95 ms | gateway core % \
| log lines/s, KB/s | dropped/s |
| --- | --- | --- | --- | --- | --- | --- | --- |"""


def overload_part() -> Iterator[str]:
    """Yield the lines of the section."""
    yield HEAD
    for name in RUNS:
        path = ROOT / "docs" / f"overload-{name}.json"
        yield from _run_section(name, json.loads(path.read_text()))


def _run_section(name: str, run: Mapping[str, Any]) -> Iterator[str]:
    endpoints = run["endpoints"]
    yield f"#### {name}\n"
    yield (
        f"{run['date']}, load average {run['load_average'][0]:g} to "
        f"{run['load_average'][1]:g}; {run['gateways']} gateway, {endpoints['count']} "
        f"endpoints of {endpoints['slots']} slots and {endpoints['work_ms']:g} ms, "
        f"which give at most {endpoints['capacity']:g} requests/s. "
        f"[Data](overload-{name}.json), [plot](overload-{name}.svg)."
    )
    yield TABLE
    yield from map(_row, run["phases"], (seconds for _, seconds in PHASES))
    ratio, recovery_s = run["ratio"], run["recovery_s"]
    normal = "never" if recovery_s is None else f"after {recovery_s:g} s"
    yield (
        f"\nIn time against the best phase: {ratio['2']:g} at twice, {ratio['4']:g} at "
        f"four times the load. Waits are normal again (p95 up to "
        f"{run['normal_wait_ms']:.0f} ms for 3 s) {normal}. Answers that were cut or "
        f"missing: {run['without_whole_answer']}.\n"
    )


def _row(phase: Mapping[str, Any], seconds: float) -> str:
    cores = [part for name, part in phase["core_percent"].items() if name[0] == "r"]
    dropped = sum(n for name, n in phase["counts"].items() if name.startswith("log"))
    cells = (
        phase["load"],
        f"{phase['in_time']:.1f}",
        f"{phase['late']:.1f}",
        f"{phase['refused']:.1f}",
        f"{phase['wait_p50_ms']:.0f}, {phase['wait_p95_ms']:.0f}",
        f"{max(cores):.0f}",
        f"{sum(phase['log_lines_per_s'].values()):.0f}, "
        f"{sum(phase['log_bytes_per_s'].values()) / 1000:.1f}",
        f"{dropped / seconds:.0f}",
    )
    return f"| {' | '.join(cells)} |"
