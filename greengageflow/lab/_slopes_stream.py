"""Cost of the data path: pieces streamed through one real router."""

from time import monotonic

from greengageflow.lab._slopes_world import Experiment
from greengageflow.lab.bench_latency import bench_plan, usage_of
from greengageflow.lab.lab import Lab, account_api_key
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_plan import ChatLoad, LoadPlan

_RUN_S = 8.0


def stream_pieces(streams: int) -> dict[str, float]:
    """Measure streaming 50 pieces per second on each stream for 8 s."""
    with Lab(bench_plan()) as lab:
        router = lab.routers["r1"]
        load = ChatLoad(
            account="acme",
            key=account_api_key("acme"),
            model=lab.plan.model,
            outstanding=streams,
            median_tokens=400,
            sigma=0.1,
        )
        plan = LoadPlan(routers=(router.address,), loads=(load,), duration_s=_RUN_S)
        start, before = monotonic(), usage_of(router)
        results = LoadClient(plan).run()
        after, seconds = usage_of(router), monotonic() - start
        traffic = lab.status("r1")["control"]
    complete = [result for result in results if result.complete]
    pieces = sum(result.tokens for result in complete)
    assert len(complete) == len(results), "some answers are incomplete"
    return {
        "cpu_us": 1e6 * (after.cpu_s - before.cpu_s) / seconds,
        "pieces_per_s": pieces / seconds,
        "memory_bytes": 1e6 * (after.rss_mb - before.rss_mb),
        "peer_bytes": traffic["bytes_out"],
    }


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (Experiment("stream", "streams", (18, 36, 54, 72), stream_pieces),)
