"""``greengage-bench``: demo, load and experiments on a fleet of real processes."""

import sys

import fire

from greengageflow.bench_demo import run_demo
from greengageflow.bench_latency import run_bench


def demo() -> None:
    """Serve real requests through three routers and check every answer.

    The last line is one JSON object; the exit status is 0 only if nothing was wrong.

    Example:
        greengage-bench demo
    """
    sys.exit(run_demo())


def latency() -> None:
    """Measure what one router takes when idle, and adds per call and per piece.

    Example:
        greengage-bench latency
    """
    run_bench()


def main() -> None:
    """Run the program."""
    fire.Fire({"demo": demo, "latency": latency}, name="greengage-bench")


if __name__ == "__main__":
    main()
