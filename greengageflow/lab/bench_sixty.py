"""Compares the cost of 9 and 60 real routers with the cost predicted by slopes."""

import json
import os
from collections.abc import Iterable, Mapping
from time import monotonic, sleep
from typing import Any

from greengageflow.lab._capacity_rows import Slopes
from greengageflow.lab._slopes_requests import entry_backlog
from greengageflow.lab._slopes_shares import SharesWorld
from greengageflow.lab.bench_latency import usage_of
from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_plan import ChatLoad, LoadPlan
from greengageflow.lab.slopes import load, save

SIZES = (9, 60)
ZONES = 7
ENGINES = 10
ACCOUNTS = tuple(f"account{n:03d}" for n in range(10))
BACKLOGGED = 2
RATE_PER_S = 2.0
OUTSTANDING = 60
SECONDS = 20.0
SETTLE_S = 5.0


def sixty_plan(routers: int) -> LabPlan:
    """Return a fleet of ``routers`` routers and ten engines with few slots."""
    return LabPlan(
        routers=routers,
        zones=tuple(f"z{n}" for n in range(ZONES)),
        engines=ENGINES,
        services=1,
        slots=4,
        accounts=dict.fromkeys(ACCOUNTS, 1.0),
        queue_limit=4096,
        engine_options={"base_pace_s": 0.02, "per_request_pace_s": 0.0},
    )


def _load(lab: Lab) -> LoadPlan:
    def chat(number: int) -> ChatLoad:
        backlogged = number < BACKLOGGED
        return ChatLoad(
            account=ACCOUNTS[number],
            key=account_api_key(ACCOUNTS[number]),
            model=lab.plan.model,
            median_tokens=40,
            sigma=0.5,
            outstanding=OUTSTANDING if backlogged else 0,
            rate_per_s=0.0 if backlogged else RATE_PER_S,
        )

    return LoadPlan(
        routers=tuple(router.address for router in lab.routers.values()),
        loads=tuple(chat(number) for number in range(len(ACCOUNTS))),
        duration_s=SECONDS,
    )


def _totals(lab: Lab) -> dict[str, float]:
    """Return the total traffic, processor time and memory of all routers."""
    states = [lab.status(host)["control"] for host in lab.routers]
    found = {
        name: float(sum(state[name] for state in states))
        for name in ("bytes_out", "messages_out", "dropped")
    }
    types: dict[str, float] = {}
    for state in states:
        for kind, size in state["out_by_type"].items():
            types[kind] = types.get(kind, 0.0) + size
    found.update({f"type {kind}": size for kind, size in types.items()})
    usages = [usage_of(router) for router in lab.routers.values()]
    found["cpu"] = sum(1e6 * usage.cpu_s for usage in usages)
    found["rss_mb"] = sum(usage.rss_mb for usage in usages)
    return found


def run_size(routers: int) -> dict[str, Any]:
    """Run one fleet and return the cost per router and second, quiet and loaded."""
    with Lab(sixty_plan(routers)) as lab:
        sleep(SETTLE_S)
        first, start = _totals(lab), monotonic()
        sleep(SETTLE_S)
        quiet, middle = _totals(lab), monotonic()
        results = LoadClient(_load(lab)).run()
        end = _totals(lab)
        seconds = monotonic() - middle
    complete_count = sum(one.complete for one in results)

    def rate(name: str, early: Mapping, late: Mapping, span: float) -> float:
        return (late.get(name, 0.0) - early.get(name, 0.0)) / span / routers

    row = {
        "routers": routers,
        "load": os.getloadavg()[0],
        "seconds": seconds,
        "answers": len(results),
        "whole": complete_count,
        "requests_per_s": len(results) / seconds,
        "rss_mb": end["rss_mb"] / routers,
        "dropped": rate("dropped", quiet, end, seconds),
        "types": {
            name[5:]: rate(name, quiet, end, seconds)
            for name in end
            if name.startswith("type ")
        },
    }
    for name, key in (
        ("bytes_out", "bytes"),
        ("messages_out", "messages"),
        ("cpu", "cpu"),
    ):
        row[f"quiet_{key}"] = rate(name, first, quiet, middle - start)
        row[key] = rate(name, quiet, end, seconds)
    return row


def expect(row: Mapping[str, Any], slopes: Slopes) -> dict[str, float]:
    """Return the cost that the slopes predict for the fleet and load of a run."""
    routers = row["routers"]
    each = row["requests_per_s"] / routers
    shares = SharesWorld(routers, ZONES, len(ACCOUNTS), len(ACCOUNTS)).measure()
    backlog = entry_backlog(BACKLOGGED)
    names = {"bytes": "bytes_out", "messages": "messages_out"}
    found = {}
    for key, name in names.items():
        found[f"{key}_expected"] = (
            slopes.predict(f"membership/members/{name}", routers)
            + shares[f"{name}_mean"]
            + each * slopes.slope(f"entry/requests/{name}")
            + each * slopes.slope(f"owner/grants/{name}")
            + backlog[name] * min(1.0, ENGINES / 16)
        )
    found["cpu_expected"] = (
        slopes.predict("membership/members/cpu_us", routers)
        + shares["cpu_us_mean"]
        + each * slopes.slope("entry/requests/cpu_us")
        + each * slopes.slope("owner/grants/cpu_us")
        + backlog["cpu_us"]
        + found["messages_expected"] * slopes.slope("link/messages a second/cpu_us")
    )
    return found


def run_sixty(sizes: Iterable[int] = SIZES) -> None:
    """Run each size, and print and save the results."""
    document = load()
    slopes = Slopes(document["slopes"])
    rows = []
    for routers in sizes:
        row = run_size(routers)
        row.update(expect(row, slopes))
        rows.append(row)
        print(json.dumps({"bench": "sixty", **row}), flush=True)
    document = load()
    document["sixty"] = rows
    save(document)
