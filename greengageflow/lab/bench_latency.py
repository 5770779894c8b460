"""``make bench``: overhead of one router against direct calls and a bare server."""

import json
import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import pairwise
from subprocess import Popen
from time import sleep

from greengageflow.lab._processes import Process, start
from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_plan import ChatLoad, LoadPlan, Result, ServiceLoad
from greengageflow.lab.measures import Window, percentile

QUANTILES = (0.5, 0.95, 0.99)
ROUNDS = 4
ROUND_S = 4.0
RATE_PER_S = 50.0
CLIENTS = 3
OUTSTANDING = 8
THROUGHPUT_S = 5.0
STREAMS = 72
PACE_S = 0.02
STREAM_S = 10.0
IDLE_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds and resident memory in MB of one process."""

    cpu_s: float
    rss_mb: float


def usage_of(process: Process | Popen) -> Usage:
    """Read the usage of a process from ``/proc``."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{process.pid}/statm") as file:
        pages = int(file.read().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(cpu_s, pages * _PAGE_BYTES / 1e6)


def bench_plan() -> LabPlan:
    """Return a fleet of one router, three engines and three service replicas."""
    return LabPlan(
        routers=1,
        zones=("z1",),
        engines=3,
        services=3,
        slots=64,
        service_slots=64,
        accounts={"acme": 1.0},
        queue_limit=10_000,
        engine_options={"base_pace_s": PACE_S, "per_request_pace_s": 0.0},
    )


def _run(plan: LoadPlan) -> list[Result]:
    return LoadClient(plan).run()


def _calls(rate: float = 0.0, outstanding: int = 0) -> ServiceLoad:
    return ServiceLoad(
        account="acme",
        key=account_api_key("acme"),
        service="rounds",
        path="notes",
        rate_per_s=rate,
        outstanding=outstanding,
    )


def _plan(address: tuple[str, int], load: object, seconds: float) -> LoadPlan:
    return LoadPlan(routers=(address,), loads=(load,), duration_s=seconds)


def added_latency(lab: Lab) -> dict[str, float]:
    """Compare routed and direct service calls in alternating rounds."""
    direct, routed = [], []
    replica = next(iter(lab.services.values())).address
    router = lab.routers["r1"].address
    for _ in range(ROUNDS):
        for address, found in ((replica, direct), (router, routed)):
            results = _run(_plan(address, _calls(rate=RATE_PER_S), ROUND_S))
            found += [one.end - one.sent for one in results if one.status == 200]
    row = {"calls": len(routed)}
    for share in QUANTILES:
        name = f"p{share * 100:.0f}"
        row[f"direct_{name}_ms"] = 1000 * percentile(direct, share)
        row[f"routed_{name}_ms"] = 1000 * percentile(routed, share)
        row[f"added_{name}_ms"] = row[f"routed_{name}_ms"] - row[f"direct_{name}_ms"]
    return row


def throughput(process: Process) -> dict[str, float]:
    """Return answers per second and processor time per answer in a closed loop."""
    plan = _plan(process.address, _calls(outstanding=OUTSTANDING), THROUGHPUT_S)
    before = usage_of(process)
    with ProcessPoolExecutor(CLIENTS) as clients:
        runs = list(clients.map(_run, [plan] * CLIENTS))
    cpu_s = usage_of(process).cpu_s - before.cpu_s
    done = [one for run in runs for one in run if one.status == 200]
    seconds = max(one.end for one in done) - min(one.sent for one in done)
    return {
        "answers_per_s": len(done) / seconds,
        "cpu_us_per_answer": 1e6 * cpu_s / len(done),
        "failed": sum(len(run) for run in runs) - len(done),
    }


def streaming(lab: Lab) -> dict[str, float]:
    """Stream at the design rate of one router and measure the cost per piece."""
    router = lab.routers["r1"]
    load = ChatLoad(
        account="acme",
        key=account_api_key("acme"),
        model=lab.plan.model,
        outstanding=STREAMS,
        median_tokens=200,
        sigma=0.5,
    )
    before = usage_of(router)
    results = _run(_plan(router.address, load, STREAM_S))
    after = usage_of(router)
    pieces = sum(one.tokens for one in results if one.complete)
    start = min(one.sent for one in results)
    window = Window(start + STREAM_S / 5, start + STREAM_S)
    steady = sum(window.contains(time) for one in results for time in one.times)
    gaps = list(_gaps(results))
    return {
        "streams": STREAMS,
        "complete": sum(one.complete for one in results),
        "answers": len(results),
        "pieces_per_s": steady / window.seconds,
        "cpu_us_per_piece": 1e6 * (after.cpu_s - before.cpu_s) / pieces,
        "gap_p95_ms": 1000 * percentile(gaps, 0.95),
        "pace_ms": 1000 * PACE_S,
        "rss_mb_before": before.rss_mb,
        "rss_mb_after": after.rss_mb,
    }


def _gaps(results: list[Result]) -> Iterator[float]:
    for result in results:
        for one, other in pairwise(result.times):
            yield other - one


def idle(process: Process) -> dict[str, float]:
    """Return the cost of an idle router, which is that of its periodic control work."""
    before = usage_of(process)
    sleep(IDLE_S)
    after = usage_of(process)
    share = (after.cpu_s - before.cpu_s) / IDLE_S
    return {"cpu_percent_of_core": 100 * share, "rss_mb": after.rss_mb}


def run_bench() -> None:
    """Run all parts and print a JSON line for each.

    Load averages are printed before and after them.
    """
    _print_row("load", _load())
    with Lab(bench_plan()) as lab:
        _print_row("idle", idle(lab.routers["r1"]))
        _print_row("added_latency", added_latency(lab))
        _print_row("routed_throughput", throughput(lab.routers["r1"]))
        bare = start("greengageflow.lab._bare_answerer")
        try:
            _print_row("bare_throughput", throughput(bare))
        finally:
            bare.kill()
        _print_row("streaming", streaming(lab))
    _print_row("load", _load())


def _load() -> dict[str, float]:
    names = ("minute", "five_minutes", "quarter_hour")
    return dict(zip(names, os.getloadavg(), strict=True))


def _print_row(name: str, row: dict[str, float]) -> None:
    rounded = {key: round(value, 3) for key, value in row.items()}
    print(json.dumps({"bench": name, **rounded}), flush=True)
