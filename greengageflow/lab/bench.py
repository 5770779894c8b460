"""``greengage-bench``: demo, load and experiments on a fleet of real processes."""

import json
import sys

import fire

from greengageflow.core.catalog import Policy
from greengageflow.lab.bench_demo import run_demo
from greengageflow.lab.bench_fleet import POLICIES, run_fleet
from greengageflow.lab.bench_latency import run_bench
from greengageflow.lab.bench_overload import run_overload
from greengageflow.lab.bench_policy import MECHANISMS, run_policy
from greengageflow.lab.bench_sixty import SIZES, run_sixty
from greengageflow.lab.capacity import write_page
from greengageflow.lab.gateway_slopes import profile_roles, run_gateway
from greengageflow.lab.slopes import ROLES, run_events, run_slopes
from greengageflow.lab.soak import run_seeds


def demo() -> None:
    """Serve real requests through three routers and check every answer.

    The last line is a JSON object; the exit status is 0 only without violations.

    Example:
        greengage-bench demo
    """
    sys.exit(run_demo())


def latency() -> None:
    """Measure the idle cost of a router and its overhead per call and per piece.

    Example:
        greengage-bench latency
    """
    run_bench()


def fleet(
    plan: str = "peristeri",
    policies: str | tuple[str, ...] = POLICIES,
    scenario: str = "steady",
    seconds: float = 28.0,
    seed: int = 1,
    proxied: bool = True,
    share_interval_s: float = Policy().share_interval_s,
    out: str | None = None,
) -> None:
    """Compare slot sharing policies on nine routers and nine engines.

    Args:
        plan: ``peristeri`` or ``parada-viva``.
        policies: Any of ``central``, ``local``, ``split``, ``owned``.
        scenario: ``steady``, ``partition``, ``kill`` or ``outage``.
        seconds: Length of each run.
        seed: Seed of the load.
        proxied: Whether to route messages between routers through the fault proxy
            and its delays.
        share_interval_s: Seconds between service reports.
        out: File to which one JSON line per policy is appended.

    Example:
        greengage-bench fleet --policies=central,owned --out=fleet.jsonl
    """
    names = policies.split(",") if isinstance(policies, str) else policies
    status = run_fleet(
        plan=plan,
        policies=tuple(names),
        scenario=scenario,
        seconds=seconds,
        seed=seed,
        proxied=proxied,
        share_interval_s=share_interval_s,
        out=out,
    )
    sys.exit(status)


def overload(
    kind: str = "plain",
    gateways: int = 1,
    work_ms: float = 0.0,
    out: str = "overload",
) -> None:
    """Load gateways with 0.5, 1, 2, 4 and 0.5 times the capacity of the endpoints.

    Endpoints are stand-ins. A run takes about a minute and prints its results without
    the figures of each second.

    Args:
        kind: ``plain`` or ``engine``.
        gateways: Number of gateways.
        work_ms: Milliseconds of a plain request or of an engine's step; 0 for the
            default.
        out: Path of the JSON and SVG files, without the suffix.

    Example:
        greengage-bench overload --kind=engine --gateways=2 --out=engine
    """
    found = run_overload(kind=kind, gateways=gateways, work_ms=work_ms, out=out)
    print(json.dumps({**found, "seconds": len(found["seconds"])}, indent=1))


def slopes(*roles: str, events: bool = True) -> None:
    """Measure the cost of each role as one driver grows, and write the page.

    Args:
        roles: Roles to measure, all by default; others keep their saved figures.
        events: Whether to simulate the loss of a zone and of the other region.

    Example:
        greengage-bench slopes link
    """
    run_slopes(roles or ROLES)
    if events:
        run_events()
    write_page()


def capacity() -> None:
    """Write docs/CAPACITY.md from docs/slopes.json.

    Example:
        greengage-bench capacity
    """
    write_page()


def gateway(*sizes: int, profile: bool = False) -> None:
    """Measure the gateway's control cost in simulated fleets, and write the page.

    Args:
        sizes: Numbers of routers out of 9, 69 and 360, all by default. Results are
            saved only if all sizes are measured.
        profile: Whether to print a profile instead of saving results.

    Example:
        greengage-bench gateway 69 --profile
    """
    if profile:
        profile_roles(*sizes)
        return
    run_gateway(*sizes)
    if not sizes:
        write_page()


def sixty(*sizes: int) -> None:
    """Run 9 and 60 router processes, compare with the slopes, write the page.

    Args:
        sizes: Numbers of routers.

    Example:
        greengage-bench sixty 9 60
    """
    run_sixty(sizes or SIZES)
    write_page()


def soak(
    seed: int = 1, seeds: str = "", seconds: float = 20.0, out: str = "soak-runs"
) -> None:
    """Run a fleet under random faults and check all guarantees.

    Args:
        seed: Seed of the fault plan.
        seeds: Range ``A-B`` of seeds, run in sequence.
        seconds: Time in which new faults start.
        out: Directory for plans and logs of failed seeds.

    Example:
        greengage-bench soak --seeds 1-10
    """
    first, _, last = (seeds or str(seed)).partition("-")
    sys.exit(run_seeds(range(int(first), int(last or first) + 1), seconds, out) > 0)


def policy(
    sheet: str = "long",
    seeds: str = "1-12",
    without: str | tuple[str, ...] = (),
    out: str = "",
) -> None:
    """Run the decision core against simulated engines in simulated time.

    Prints means over the seeds with standard errors, and the paired difference for
    each mechanism that is left out.

    Args:
        sheet: ``long`` or ``short`` prompts, ``slots`` (engines with few slots) or
            ``speeds`` (the same, with engines of different speeds).
        seeds: Seeds, as ``FIRST-LAST``.
        without: Mechanisms to leave out, one at a time, or ``all``.
        out: SVG file for the worth per second.

    Example:
        greengage-bench policy --seeds 1-20 --without zones,fetch
    """
    first, _, last = str(seeds).partition("-")
    names = tuple(without.split(",")) if isinstance(without, str) else tuple(without)
    names = tuple(MECHANISMS) if names == ("all",) else names
    unknown = [name for name in names if name not in MECHANISMS]
    if unknown:
        sys.exit(
            f"unknown mechanism {unknown[0]!r}; choose from {', '.join(MECHANISMS)}"
        )
    run_policy(sheet, range(int(first), int(last or first) + 1), names, out)


class Commands:
    """Demo, load and experiments on a fleet of real processes.

    Example:
        greengage-bench demo
        greengage-bench latency
        greengage-bench fleet --plan=peristeri --policies=central,owned
        greengage-bench overload --kind=engine
        greengage-bench slopes && greengage-bench capacity
        greengage-bench gateway
        greengage-bench sixty 9 60
        greengage-bench soak --seed 3
    """

    def __init__(self) -> None:
        self.demo = demo
        self.fleet = fleet
        self.latency = latency
        self.overload = overload
        self.policy = policy
        self.slopes = slopes
        self.capacity = capacity
        self.gateway = gateway
        self.sixty = sixty
        self.soak = soak


def main() -> None:
    """Run the program."""
    fire.Fire(Commands(), name="greengage-bench")


if __name__ == "__main__":
    main()
