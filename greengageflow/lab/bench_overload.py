"""Measures overload and recovery of gateways with stand-in endpoints."""

import json
import os
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from subprocess import DEVNULL, Popen
from time import gmtime, monotonic, sleep, strftime
from typing import Any

from greengageflow.lab._overload_callers import CallPlan, CallRow
from greengageflow.lab._overload_fleet import (
    DEADLINE_MS,
    HOST,
    PATH,
    TARGET_MS,
    Endpoints,
    OverloadFleet,
    api_keys,
)
from greengageflow.lab._overload_sums import LoadPhase, OverloadSummary
from greengageflow.lab._processes import ROOT
from greengageflow.lab._slopes_svg import draw
from greengageflow.lab.bench_latency import Usage, usage_of

ENDPOINTS_BY_KIND = {
    "plain": Endpoints("plain", count=2, slots=4, work_ms=100.0),
    "engine": Endpoints("engine", count=3, slots=8, work_ms=5.0, prompt=300, wanted=40),
}
PHASES = (("0.5", 6.0), ("1", 9.0), ("2", 10.0), ("4", 10.0), ("0.5", 12.0))
BASELINE_PHASE, FIRST_SATURATED_PHASE, RECOVERY_PHASE = 0, 1, 4
START_DELAY_S = 1.0
CLIENT_EXIT_TIMEOUT_S = 20.0
PANELS = {
    "new requests/s": "fresh",
    "served in time/s": "in_time",
    "refused/s": "refused",
    "late/s": "late",
    "failed/s": "failed",
    "wait p50, ms": "wait_p50_ms",
    "wait p95, ms": "wait_p95_ms",
    "retries after a refusal/s": "again",
}


@dataclass(frozen=True, slots=True)
class Sample:
    """CPU usage, metrics and log sizes at one point in time."""

    at: float
    usage: dict[str, Usage]
    metrics: dict[str, float]
    log_bytes: dict[str, int]
    log_lines: dict[str, int]


def run_overload(
    kind: str = "plain",
    gateways: int = 1,
    work_ms: float = 0.0,
    out: str = "overload",
) -> dict[str, Any]:
    """Run gateways at 0.5, 1, 2, 4 and 0.5 times the capacity of the endpoints.

    Args:
        kind: ``plain`` or ``engine``.
        gateways: Number of gateways.
        work_ms: Run time of a plain request, or of an engine step, in milliseconds;
            0 for the default.
        out: Path of the JSON and the SVG file, without extension.

    Returns:
        The content of the JSON file.

    Raises:
        KeyError: ``kind`` is unknown.
        RuntimeError: The load generator exited with an error.
    """
    endpoints = ENDPOINTS_BY_KIND[kind]
    if work_ms:
        endpoints = replace(endpoints, work_ms=work_ms)
    load_phases = list(_load_phases(endpoints.capacity))
    with OverloadFleet(endpoints, gateways) as fleet:
        load_before = os.getloadavg()[0]
        start, rows, samples = _run_load_generator(fleet, endpoints, load_phases)
        started_at = {
            run["id"]: run["begun"] - start
            for run in fleet.runs()
            if run["begun"] is not None
        }
    summary = OverloadSummary(rows, started_at, TARGET_MS / 1000)
    document = {
        "date": strftime("%Y-%m-%d %H:%M UTC", gmtime()),
        "load_average": [round(load_before, 2), round(os.getloadavg()[0], 2)],
        "gateways": gateways,
        "endpoints": asdict(endpoints) | {"capacity": round(endpoints.capacity, 2)},
        "target_ms": TARGET_MS,
        **_summarize(summary, load_phases, samples),
        "seconds": list(summary.per_second(load_phases[-1].end)),
    }
    Path(f"{out}.json").write_text(json.dumps(document, indent=1) + "\n")
    Path(f"{out}.svg").write_text(_plot(document["seconds"]))
    return document


def _load_phases(capacity: float) -> Iterator[LoadPhase]:
    begin = 0.0
    for name, seconds in PHASES:
        yield LoadPhase(name, begin, begin + seconds, float(name) * capacity)
        begin += seconds


def _run_load_generator(
    fleet: OverloadFleet, endpoints: Endpoints, load_phases: list[LoadPhase]
) -> tuple[float, list[CallRow], list[Sample]]:
    start = monotonic() + START_DELAY_S
    plan = CallPlan(
        addresses=fleet.addresses,
        keys=api_keys(),
        path=PATH,
        host=HOST,
        deadline_ms=DEADLINE_MS,
        prompt=endpoints.prompt,
        wanted=endpoints.wanted,
        phases=[
            (load_phase.end - load_phase.begin, load_phase.rate)
            for load_phase in load_phases
        ],
        start=start,
    )
    plan_path, rows_path = fleet.directory / "plan.json", fleet.directory / "rows.json"
    plan_path.write_text(json.dumps(asdict(plan)))
    client = Popen(
        [
            sys.executable,
            "-m",
            "greengageflow.lab._overload_callers",
            plan_path,
            rows_path,
        ],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdin=DEVNULL,
    )
    try:
        samples = list(_samples(fleet, client, start, load_phases))
        if client.wait(CLIENT_EXIT_TIMEOUT_S):
            raise RuntimeError("load generator exited with an error")
    finally:
        client.kill()
        client.wait()
    rows = [CallRow(**row) for row in json.loads(rows_path.read_text())]
    return start, rows, samples


def _samples(
    fleet: OverloadFleet, client: Popen, start: float, load_phases: list[LoadPhase]
) -> Iterator[Sample]:
    """Yield a sample at the start of each phase and at the end of the last one."""
    for at in (*(load_phase.begin for load_phase in load_phases), load_phases[-1].end):
        sleep(max(0.0, start + at - monotonic()))
        processes = {**fleet.routers, **fleet.replicas}
        usage = {name: usage_of(process) for name, process in processes.items()}
        logs = {name: fleet.log_path(name).read_bytes() for name in fleet.routers}
        yield Sample(
            monotonic() - start,
            usage | {"callers": usage_of(client)},
            fleet.metrics(),
            {name: len(log) for name, log in logs.items()},
            {name: log.count(b"\n") for name, log in logs.items()},
        )


def _summarize(
    summary: OverloadSummary, load_phases: list[LoadPhase], samples: list[Sample]
) -> dict[str, Any]:
    phases = [
        summary.phase_means(load_phase) | _resource_usage(*samples[number : number + 2])
        for number, load_phase in enumerate(load_phases)
    ]
    best = max(phase["in_time"] for phase in phases)
    normal_wait_s = summary.normal_wait_s(load_phases[BASELINE_PHASE])
    return {
        "best_in_time": best,
        "ratio": {
            phase["load"]: round(phase["in_time"] / best, 3)
            for phase in phases[FIRST_SATURATED_PHASE:RECOVERY_PHASE]
        },
        "normal_wait_ms": round(1000 * normal_wait_s, 1),
        "recovery_s": summary.recovery_s(load_phases[RECOVERY_PHASE], normal_wait_s),
        "without_whole_answer": summary.failed_attempts,
        "phases": phases,
    }


def _resource_usage(before: Sample, after: Sample) -> dict[str, Any]:
    """Return CPU use, log rates and counter increases between two samples."""
    seconds = after.at - before.at
    counts = {
        name: round(value - before.metrics.get(name, 0.0))
        for name, value in after.metrics.items()
        if name.startswith(("refusals", "requests", "log_lines", "retries", "endpoint"))
    }
    return {
        "core_percent": {
            name: round(100 * (now.cpu_s - before.usage[name].cpu_s) / seconds, 1)
            for name, now in after.usage.items()
        },
        "log_lines_per_s": _rates(before.log_lines, after.log_lines, seconds),
        "log_bytes_per_s": _rates(before.log_bytes, after.log_bytes, seconds),
        "counts": {name: count for name, count in counts.items() if count},
    }


def _rates(
    before: dict[str, int], after: dict[str, int], seconds: float
) -> dict[str, float]:
    return {name: round((after[name] - before[name]) / seconds, 1) for name in after}


def _plot(seconds: list[dict[str, float]]) -> str:
    return draw(
        {
            title: {"points": [(row["second"], row[name]) for row in seconds]}
            for title, name in PANELS.items()
        }
    )
