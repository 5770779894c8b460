"""Fleets, load and faults of ``greengage-bench fleet``."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from greengageflow.lab._proxy_client import Proxy
from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.load_plan import ChatLoad, Load, LoadPlan, ServiceLoad
from greengageflow.lab.measures import Window

ROUTERS = 9
ENGINES = 9
SLOTS = 4
PACE_S = 0.02
SCENARIOS = ("steady", "partition", "kill", "outage")
POLICIES = ("central", "local", "split", "owned")
LARGE = {"large-1": 2.0, "large-2": 1.0, "large-3": 1.0}
FLOOD = "flood"
SMALL = tuple(f"small-{number}" for number in range(1, 12))
OFFICE = "office"
ACCOUNTS = {**LARGE, FLOOD: 1.0, **dict.fromkeys((*SMALL, OFFICE), 1.0)}

_LARGE_OUTSTANDING = 45
_FLOOD_OUTSTANDING = 80
_DEADLINE_S = 45.0
_QUIET_END_SHARE = 0.25
_BACKLOG_END_SHARE = 0.625
_WARM_UP_S = 2.0
_FAULT_SPAN_SHARES = (0.3, 0.7)
_HOST_LIST_DELAY_S = 3.0


@dataclass(frozen=True, slots=True)
class Site:
    """Deployment site that the bench models.

    Args:
        zones: Availability zones.
        model: Name of the model's pool.
        service: Name of the plain service's pool.
        delay_s: One-way delay between routers in different zones, in seconds.
    """

    zones: tuple[str, ...]
    model: str
    service: str
    delay_s: float


SITES = {
    "peristeri": Site(("marousi", "piraeus", "kifisia"), "scribe", "rounds-app", 0.001),
    "parada-viva": Site(
        ("boa-viagem", "santo-amaro", "varzea"), "caju-llm", "bilhete-app", 0.0005
    ),
}


@dataclass(frozen=True, slots=True)
class Phases:
    """Phases of a run, in seconds from its start.

    At first only small accounts send requests. Then large accounts are backlogged too,
    and in the last phase one account floods the fleet.

    Args:
        seconds: Length of the run.
    """

    seconds: float

    @property
    def quiet_s(self) -> float:
        """End of the first phase."""
        return _QUIET_END_SHARE * self.seconds

    @property
    def backlog_s(self) -> float:
        """End of the second phase."""
        return _BACKLOG_END_SHARE * self.seconds

    def windows(self, start: float) -> dict[str, Window]:
        """Return the phases in Unix seconds, each without its warm-up."""
        quiet, backlog = start + self.quiet_s, start + self.backlog_s
        return {
            "quiet": Window(start + _WARM_UP_S, quiet),
            "backlog": Window(quiet + _WARM_UP_S, backlog),
            "flood": Window(backlog + _WARM_UP_S, start + self.seconds),
            "busy": Window(quiet + _WARM_UP_S, start + self.seconds),
        }


def lab_plan(site: Site, policy: str, **knobs: float) -> LabPlan:
    """Return the fleet of a policy; ``central`` has one router."""
    central = policy == "central"
    return LabPlan(
        routers=1 if central else ROUTERS,
        zones=site.zones,
        engines=ENGINES,
        services=3,
        slots=SLOTS,
        accounts=ACCOUNTS,
        queue_limit=1000,
        deadline_s=_DEADLINE_S,
        model=site.model,
        service=site.service,
        engine_options={"base_pace_s": PACE_S, "per_request_pace_s": 0.0},
        policy=knobs,
        sharing="owned" if central else policy,
    )


def load_plan(lab: Lab, phases: Phases, seed: int) -> LoadPlan:
    """Return the load, which has the same requests for every policy."""
    addresses = [router.address for router in lab.routers.values()]
    # A single router fills all nine positions, so that router selection consumes the
    # same random numbers under every policy.
    spread = tuple(addresses[n % len(addresses)] for n in range(ROUTERS))
    return LoadPlan(
        routers=spread,
        loads=tuple(_loads(lab.plan, phases)),
        duration_s=phases.seconds,
        seed=seed,
    )


def _loads(plan: LabPlan, phases: Phases) -> Iterator[Load]:
    quiet_s, backlog_s = phases.quiet_s, phases.backlog_s
    routers_by_account = {"large-1": (), "large-2": (0, 1), "large-3": (3, 8)}
    for account, routers in routers_by_account.items():
        yield _chats(
            plan,
            account,
            routers=routers,
            outstanding=_LARGE_OUTSTANDING,
            start_s=quiet_s,
        )
    yield _chats(plan, FLOOD, outstanding=_FLOOD_OUTSTANDING, start_s=backlog_s)
    for account in SMALL:
        yield _chats(plan, account, rate_per_s=2.0, median_tokens=12.0, sigma=0.8)
    yield ServiceLoad(
        account=OFFICE,
        key=account_api_key(OFFICE),
        rate_per_s=3.0,
        service=plan.service,
        path="dispatch/visit",
        protected=True,
    )


def _chats(plan: LabPlan, account: str, **options: object) -> ChatLoad:
    defaults = {"median_tokens": 60.0, "sigma": 1.0, "most_tokens": 1000}
    return ChatLoad(
        account=account,
        key=account_api_key(account),
        model=plan.model,
        **{**defaults, **options},
    )


def zone_delay_rules(lab: Lab, site: Site) -> list[dict[str, object]]:
    """Return the proxy rules for delays between routers in different zones."""
    return [
        {**_link(lab, one, other), "do": "delay", "delay_s": site.delay_s}
        for one in lab.settings
        for other in lab.settings
        if lab.settings[one]["zone"] != lab.settings[other]["zone"]
    ]


def _link(lab: Lab, source: str, target: str) -> dict[str, object]:
    return {"source": lab.settings[source]["ip"], "route": f"peer-{target}"}


def _partition_rules(lab: Lab) -> list[dict[str, object]]:
    left, right = set(list(lab.settings)[:5]), set(list(lab.settings)[5:])
    return [
        {**_link(lab, one, other), "do": "freeze"}
        for one in lab.settings
        for other in lab.settings
        if (one in left) != (other in left) and right
    ]


def faults(
    scenario: str, lab: Lab, proxy: Proxy, phases: Phases, delay_rules: list[dict]
) -> Iterator[tuple[float, Callable[[], None]]]:
    """Yield times, in seconds from the run's start, and calls that toggle faults."""
    length = phases.seconds - phases.quiet_s
    begin, end = (phases.quiet_s + part * length for part in _FAULT_SPAN_SHARES)
    hosts = list(lab.settings)
    match scenario:
        case "partition":
            yield begin, lambda: proxy.rules(*_partition_rules(lab), *delay_rules)
            yield end, lambda: proxy.rules(*delay_rules)
        case "kill" if len(hosts) > 1:
            yield begin, lab.routers[hosts[-1]].kill
            yield begin + _HOST_LIST_DELAY_S, lambda: lab.set_host_list(hosts[:-1])
        case "outage":
            yield begin, lambda: lab.log.fault(down=True)
            yield end, lambda: lab.log.fault()
