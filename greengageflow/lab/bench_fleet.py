"""``make bench-fleet``: compares slot sharing policies under the same load.

Nine routers in three zones, nine engines and three service replicas serve sixteen
accounts. ``central`` is the reference, in which one router receives all requests.
"""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from itertools import chain
from os import getloadavg
from pathlib import Path
from time import time
from typing import Any

from greengageflow.core.catalog import Policy
from greengageflow.lab._fleet_load import (
    ACCOUNTS,
    ENGINES,
    FLOOD,
    LARGE,
    POLICIES,
    SCENARIOS,
    SITES,
    SLOTS,
    SMALL,
    Phases,
    Site,
    faults,
    lab_plan,
    load_plan,
    zone_delay_rules,
)
from greengageflow.lab._fleet_traffic import Reading, read_counters, traffic
from greengageflow.lab._processes import start
from greengageflow.lab._proxy_client import Proxy
from greengageflow.lab.lab import Lab
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_check import verify
from greengageflow.lab.load_plan import CONNECTION_ERROR, Result
from greengageflow.lab.measures import (
    Window,
    fairness_gap,
    percentile,
    utilisation,
    waiting_times_s,
)

QUANTILES = (0.5, 0.95, 0.99)
_SETTLE_S = 2.0


@dataclass(frozen=True, slots=True)
class Experiment:
    """Parameters of one run.

    Args:
        site: Name of the site.
        policy: Slot sharing policy.
        scenario: Injected fault.
        seconds: Length of the load in seconds.
        seed: Seed of the load.
        proxied: Whether messages between routers pass through the fault proxy.
        share_interval_s: Seconds between service reports.
    """

    site: str
    policy: str
    scenario: str
    seconds: float
    seed: int
    proxied: bool
    share_interval_s: float = Policy().share_interval_s


class Run:
    """Runs one experiment.

    Args:
        experiment: Parameters of the run.
    """

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._phases = Phases(experiment.seconds)
        self._readings: list[Reading] = []

    def row(self) -> dict[str, Any]:
        """Run the experiment and return its measures as one flat row.

        Units are part of the names.
        """
        experiment = self._experiment
        site = SITES[experiment.site]
        with _proxied_lab(site, experiment) as (lab, proxy, process):
            delay_rules = zone_delay_rules(lab, site) if proxy else []
            if proxy:
                proxy.rules(*delay_rules)
            plan = load_plan(lab, self._phases, experiment.seed)
            others = {"proxy": process} if process else {}
            fault_events = faults(
                experiment.scenario, lab, proxy, self._phases, delay_rules
            )
            events = [*fault_events, *self._scheduled_readings(lab, others)]
            began = time()
            results = LoadClient(plan).run(events)
            executions = list(_gather(lab.engines, "executions"))
            effects = list(_gather(lab.services, "effects"))
        windows = self._phases.windows(began)
        return {
            **asdict(experiment),
            **_service_figures(results, executions, windows),
            **_small_waits(results, windows),
            **_outcomes(results, verify(results, executions, effects)),
            **traffic(*self._readings),
            "machine_load": getloadavg()[0],
        }

    def _scheduled_readings(self, lab: Lab, others: dict[str, Any]) -> Iterator[tuple]:
        def take_reading() -> None:
            self._readings.append(read_counters(lab, others))

        yield self._phases.quiet_s + _SETTLE_S, take_reading
        yield self._phases.seconds, take_reading


@contextmanager
def _proxied_lab(site: Site, experiment: Experiment) -> Iterator[tuple]:
    interval_s = experiment.share_interval_s
    plan = lab_plan(site, experiment.policy, share_interval_s=interval_s)
    if not experiment.proxied:
        with Lab(plan) as lab:
            yield lab, None, None
        return
    process = start("greengageflow.lab.fault_proxy", "127.0.0.1")
    proxy = Proxy(process.address)

    def route(name: str, address: tuple[str, int]) -> tuple[str, int]:
        return proxy.route(name, address) if name.startswith("peer-") else address

    try:
        with Lab(plan, route=route) as lab:
            yield lab, proxy, process
    finally:
        proxy.close()
        process.kill()


def _gather(processes: dict, name: str) -> Iterator[dict[str, Any]]:
    for process in processes.values():
        yield from process.call("GET", f"/{name}").json[name]


def _service_figures(
    results: list[Result], executions: list[dict], windows: dict[str, Window]
) -> dict[str, float]:
    flooded = {**LARGE, FLOOD: ACCOUNTS[FLOOD]}
    busy = windows["busy"]
    served = sum(busy.contains(moment) for one in results for moment in one.times)
    return {
        "gap_tokens": fairness_gap(results, LARGE, busy),
        "gap_flood_tokens": fairness_gap(results, flooded, windows["flood"]),
        "utilisation": utilisation(executions, ENGINES * SLOTS, busy),
        "tokens_per_s": served / busy.seconds,
        **{
            f"{name}_tokens_per_weight": _tokens(results, name, busy) / weight
            for name, weight in LARGE.items()
        },
    }


def _tokens(results: list[Result], account: str, window: Window) -> int:
    own = (one for one in results if one.account == account)
    return sum(window.contains(moment) for one in own for moment in one.times)


def _small_waits(results: list[Result], windows: dict[str, Window]) -> dict[str, float]:
    row: dict[str, float] = {}
    for phase in ("quiet", "backlog", "flood"):
        window = windows[phase]
        due = [one for one in results if window.contains(one.due)]
        found = list(chain.from_iterable(waiting_times_s(due, name) for name in SMALL))
        row[f"small_{phase}_n"] = len(found)
        for share in QUANTILES:
            name = f"small_{phase}_p{share * 100:.0f}_ms"
            row[name] = 1000 * percentile(found, share)
    return row


def _outcomes(results: list[Result], verdict: Any) -> dict[str, int]:
    refused = [one for one in results if one.ran == "no"]
    lost = [one for one in results if one.error == CONNECTION_ERROR]
    cut = [one for one in results if one.text and not one.complete and not one.ran]
    maybe_ran = [one for one in results if one.ran in ("yes", "unknown")]
    return {
        "requests": len(results),
        "complete": verdict.complete,
        "refused": len(refused),
        "refused_small": sum(one.account in SMALL for one in refused),
        "connection_lost": len(lost),
        "cut": len(cut),
        "ran_yes_or_unknown": len(maybe_ran),
        "wrong": len(verdict.wrong),
        "ran_though_refused": len(verdict.ran_though_refused),
        "doubled": len(verdict.duplicate_keys),
    }


def run_fleet(
    *,
    plan: str = "peristeri",
    policies: tuple[str, ...] = POLICIES,
    scenario: str = "steady",
    seconds: float = 28.0,
    seed: int = 1,
    proxied: bool = True,
    share_interval_s: float = Policy().share_interval_s,
    out: str | None = None,
) -> int:
    """Run each policy under the same load; print a JSON line for each, and a table.

    Args:
        plan: Name of the site.
        policies: Policies in the order of their runs.
        scenario: Injected fault.
        seconds: Length of each run.
        seed: Seed of the load.
        proxied: Whether to route messages between routers through the fault proxy
            and its delays.
        share_interval_s: Seconds between service reports.
        out: File to which the JSON lines are appended.

    Returns:
        1 if an answer was wrong, a refused request ran, or an action ran twice;
        else 0.
    """
    if plan not in SITES or scenario not in SCENARIOS or set(policies) - set(POLICIES):
        raise ValueError(
            f"plans: {list(SITES)}, scenarios: {SCENARIOS}, policies: {POLICIES}"
        )
    rows = []
    for policy in policies:
        experiment = Experiment(
            plan, policy, scenario, seconds, seed, proxied, share_interval_s
        )
        rows.append({key: _rounded(v) for key, v in Run(experiment).row().items()})
        line = json.dumps(rows[-1])
        print(line, flush=True)
        if out:
            with Path(out).open("a") as file:
                file.write(line + "\n")
    _print_table(rows)
    return int(any(r["wrong"] + r["ran_though_refused"] + r["doubled"] for r in rows))


def _rounded(value: Any) -> Any:
    return round(value, 4) if isinstance(value, float) else value


def _print_table(rows: list[dict[str, Any]]) -> None:
    skipped = {"policy", "bytes_per_router_s_by_type"}
    print(" " * 32, *(f"{row['policy']:>12}" for row in rows))
    for name in rows[0]:
        if name not in skipped:
            print(f"{name:32}", *(f"{row[name]!s:>12}" for row in rows))
