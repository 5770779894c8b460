"""Traffic and processor time of a fleet bench's routers between two readings."""

from collections import Counter
from dataclasses import dataclass
from time import time
from typing import Any

from greengageflow.lab._processes import Process
from greengageflow.lab.bench_latency import usage_of
from greengageflow.lab.lab import Lab
from greengageflow.lab.measures import mean


@dataclass(frozen=True, slots=True)
class Reading:
    """Counters of the fleet at a point in time.

    Args:
        at: Time in Unix seconds.
        control: Control counters of each running router.
        cpu_s: Processor time of each running router and of the proxy, in seconds.
        appends: Number of appends accepted by the log.
    """

    at: float
    control: dict[str, dict[str, Any]]
    cpu_s: dict[str, float]
    appends: int


def read_counters(lab: Lab, others: dict[str, Process]) -> Reading:
    """Read the counters of the running routers and of the log."""
    live = {h: r for h, r in lab.routers.items() if r.popen.poll() is None}
    control = {host: lab.status(host)["control"] for host in live}
    cpu_s = {name: usage_of(one).cpu_s for name, one in (live | others).items()}
    appends = lab.log.call("GET", "/stats").json["appends"]
    return Reading(time(), control, cpu_s, appends)


def traffic(before: Reading, after: Reading) -> dict[str, Any]:
    """Return means over the routers that ran throughout."""
    seconds = after.at - before.at
    hosts = after.control.keys()
    old = [before.control[host] for host in hosts]
    new = [after.control[host] for host in hosts]

    def rate(name: str) -> float:
        grown = sum(one[name] for one in new) - sum(one[name] for one in old)
        return grown / len(hosts) / seconds

    cpu = {
        name: (used - before.cpu_s[name]) / seconds
        for name, used in after.cpu_s.items()
    }
    return {
        "control_bytes_per_router_s": rate("bytes_out"),
        "control_messages_per_router_s": rate("messages_out"),
        "log_appends_per_s": (after.appends - before.appends) / seconds,
        "cpu_router_mean": mean(cpu[host] for host in hosts),
        "cpu_router_max": max(cpu[host] for host in hosts),
        "cpu_proxy": cpu.get("proxy", 0.0),
        "bytes_per_router_s_by_type": _by_type(old, new, seconds),
    }


def _by_type(old: list[dict], new: list[dict], seconds: float) -> dict[str, float]:
    grown: Counter[str] = Counter()
    for one in new:
        grown.update(one["out_by_type"])
    for one in old:
        grown.subtract(one["out_by_type"])
    scale = len(new) * seconds
    return {name: round(count / scale, 1) for name, count in sorted(grown.items())}
