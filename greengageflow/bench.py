"""``greengage-bench``: demo, load and experiments on a fleet of real processes."""

import sys

import fire

from greengageflow.bench_demo import run_demo
from greengageflow.bench_latency import run_bench
from greengageflow.bench_sixty import SIZES, run_sixty
from greengageflow.capacity import write_page
from greengageflow.slopes import ROLES, run_events, run_slopes


def demo() -> None:
    """Serve real requests through three routers and check every answer.

    The last line is one JSON object; the exit status is 0 only if nothing was wrong.

    Example:
        greengage-bench demo
    """
    sys.exit(run_demo())


def latency() -> None:
    """Measure added latency, throughput and streaming of one router.

    Example:
        greengage-bench latency
    """
    run_bench()


def slopes(*roles: str, events: bool = True) -> None:
    """Measure what each role costs as one driver grows, and write the page.

    Args:
        roles: Which to measure; all by default, the others keep what was saved.
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


def sixty(*sizes: int) -> None:
    """Run 9 and 60 router processes, compare with the slopes, write the page.

    Args:
        sizes: Numbers of routers.

    Example:
        greengage-bench sixty 9 60
    """
    run_sixty(sizes or SIZES)
    write_page()


def main() -> None:
    """Run the program."""
    commands = {
        "demo": demo,
        "latency": latency,
        "slopes": slopes,
        "capacity": capacity,
        "sixty": sixty,
    }
    fire.Fire(commands, name="greengage-bench")


if __name__ == "__main__":
    main()
