"""``make demo``: serves requests on a small fleet and verifies every answer."""

import json
from time import time

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_check import verify
from greengageflow.lab.load_plan import ChatLoad, LoadPlan, Result, ServiceLoad
from greengageflow.lab.measures import (
    Window,
    fairness_gap,
    percentile,
    utilisation,
    waiting_times_s,
)

ACCOUNTS = {"estates": 2.0, "villas": 1.0, "phones": 1.0, "office": 1.0}
BACKLOGGED = ("estates", "villas")
DURATION_S = 10.0
WARM_UP_S = 2.0
ENGINE_OPTIONS = {"base_pace_s": 0.004, "per_request_pace_s": 0.0005}


def demo_plan() -> LabPlan:
    """Return a fleet of three routers, three engines and two service replicas."""
    return LabPlan(
        routers=3,
        engines=3,
        services=2,
        slots=4,
        accounts=ACCOUNTS,
        engine_options=ENGINE_OPTIONS,
    )


def demo_load(lab: Lab) -> LoadPlan:
    """Return the load: two backlogged accounts, a light one, and protected calls."""
    model, service = lab.plan.model, lab.plan.service
    loads = (
        ChatLoad(
            account="estates",
            key=account_api_key("estates"),
            outstanding=16,
            model=model,
            routers=(0,),
        ),
        ChatLoad(
            account="villas",
            key=account_api_key("villas"),
            outstanding=16,
            model=model,
            stream=True,
        ),
        ChatLoad(
            account="phones",
            key=account_api_key("phones"),
            rate_per_s=3,
            model=model,
            stream=False,
        ),
        ServiceLoad(
            account="office",
            key=account_api_key("office"),
            rate_per_s=2,
            service=service,
            path="dispatch/visit",
            protected=True,
        ),
    )
    addresses = tuple(router.address for router in lab.routers.values())
    return LoadPlan(routers=addresses, loads=loads, duration_s=DURATION_S)


def run_demo() -> int:
    """Run the demo, print a table and a JSON line, and return the exit status."""
    with Lab(demo_plan()) as lab:
        before = _control_bytes(lab)
        start = time()
        results = LoadClient(demo_load(lab)).run()
        seconds = time() - start
        after = _control_bytes(lab)
        executions = _gather(lab.engines, "executions")
        effects = _gather(lab.services, "effects")
    verdict = verify(results, executions, effects)
    window = Window(start + WARM_UP_S, start + DURATION_S)
    weights = {name: ACCOUNTS[name] for name in BACKLOGGED}
    summary = {
        "requests": len(results),
        "complete": verdict.complete,
        "refused_not_run": sum(one.ran == "no" for one in results),
        "unknown": sum(one.ran == "unknown" for one in results),
        "wrong_answers": len(verdict.faults),
        "fairness_gap_tokens": round(fairness_gap(results, weights, window), 1),
        "utilisation": round(utilisation(executions, 3 * 4, window), 4),
        "control_bytes_per_router_s": round((after - before) / 3 / seconds, 1),
    }
    _print_table(results)
    for fault in verdict.faults:
        print(fault)
    print(json.dumps(summary))
    all_complete = verdict.complete == len(results)
    return 0 if all_complete and not verdict.faults else 1


def _control_bytes(lab: Lab) -> int:
    return sum(lab.status(host)["control"]["bytes_out"] for host in lab.routers)


def _gather(processes: dict, name: str) -> list[dict]:
    return [
        one
        for process in processes.values()
        for one in process.call("GET", f"/{name}").json[name]
    ]


def _print_table(results: list[Result]) -> None:
    print("account    weight  sent whole  tokens  p95 wait")
    for account, weight in ACCOUNTS.items():
        own = [one for one in results if one.account == account]
        complete = sum(one.complete for one in own)
        tokens = sum(one.tokens for one in own if one.complete)
        wait = percentile(waiting_times_s(results, account), 0.95)
        print(
            f"{account:10} {weight:6.1f} {len(own):5} {complete:5} {tokens:7}",
            end="",
        )
        print(f"  {wait:.2f} s")
