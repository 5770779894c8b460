"""Helpers for tests with a fleet of routers."""

from collections.abc import Iterable, Mapping
from contextlib import contextmanager
from math import inf
from threading import Thread
from typing import Any

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_check import verify
from greengageflow.lab.load_plan import ChatLoad, LoadPlan, Result
from tests.support import fault_proxy, wait_for

ENGINE = {"base_pace_s": 0.004, "per_request_pace_s": 0.0002}


@contextmanager
def proxied_lab(plan: LabPlan):
    """A lab with a proxy on all connections except the callers'."""
    with fault_proxy() as proxy, Lab(plan, route=proxy.route) as lab:
        yield lab, proxy


def partition_rules(lab: Lab, left: Iterable[str], right: Iterable[str], do="freeze"):
    """Return proxy rules that partition two groups of routers from each other."""
    left, right = list(left), list(right)
    pairs = [(a, b) for a in left for b in right]
    return [
        {"do": do, "source": lab.settings[source]["ip"], "route": f"peer-{target}"}
        for source, target in (*pairs, *((b, a) for a, b in pairs))
    ]


def members(lab: Lab, host: str) -> set[str]:
    return set(lab.status(host)["members"])


def executions(lab: Lab) -> list[dict[str, Any]]:
    return [
        {**execution, "engine": name}
        for name, engine in lab.engines.items()
        for execution in engine.call("GET", "/executions").json["executions"]
    ]


def wait_started(lab: Lab, count: int, engine: str | None = None) -> None:
    """Wait until ``count`` further executions have started.

    The time limit applies to each execution, not to all of them: the total time
    depends on the machine's speed rather than on the fleet.
    """

    def started_count() -> int:
        return sum(
            engine in (None, execution["engine"]) for execution in executions(lab)
        )

    initial_count = started_count()
    for number in range(1, count + 1):
        wait_for(
            lambda n=number: started_count() >= initial_count + n,
            f"new work, {number} of {count}, {engine or 'anywhere'}",
        )


def wait_served(lab: Lab, account: str) -> None:
    """Wait until every router serves a request of the client account.

    A new owner first waits for grants of its predecessor to expire, so that a request
    with a short deadline is refused in a fleet that has just started.
    """
    message = {"role": "user", "content": "served"}
    body = {"model": lab.plan.model, "messages": [message], "x_tokens": 1}
    headers = {"Authorization": f"Bearer {account_api_key(account)}"}
    path = "/v1/chat/completions"
    for host, router in lab.routers.items():
        wait_for(
            lambda router=router: (
                router.call("POST", path, body, headers=headers).status == 200
            ),
            f"an answer at {host}",
        )


def effects(lab: Lab) -> list[dict[str, Any]]:
    return [
        effect
        for service in lab.services.values()
        for effect in service.call("GET", "/effects").json["effects"]
    ]


def peak_concurrency(observed: Iterable[Mapping[str, Any]]) -> dict[str, int]:
    """Return the peak number of concurrent executions of each engine."""
    concurrency_changes = []
    for execution in observed:
        if execution["started"] is not None:
            concurrency_changes.append((execution["started"], 1, execution["engine"]))
            concurrency_changes.append(
                (execution["ended"] or float("inf"), -1, execution["engine"])
            )
    running: dict[str, int] = {}
    peak: dict[str, int] = {}
    for _, change, engine in sorted(concurrency_changes):
        running[engine] = running.get(engine, 0) + change
        peak[engine] = max(peak.get(engine, 0), running[engine])
    return peak


def chats(account: str, **options: Any) -> ChatLoad:
    defaults = {"model": "scribe", "median_tokens": 60, "most_tokens": 400}
    return ChatLoad(
        account=account, key=account_api_key(account), **{**defaults, **options}
    )


class BackgroundLoad:
    """Runs loads on a thread until the end of the ``with`` block.

    On a busy machine, a load of fixed duration may end before the test reaches the step
    that needs it; so ``duration_s`` is only for tests that wait for the load's end.
    """

    def __init__(
        self, lab: Lab, *loads: Any, duration_s: float = inf, seed: int = 1
    ) -> None:
        addresses = tuple(router.address for router in lab.routers.values())
        plan = LoadPlan(
            routers=addresses, loads=loads, duration_s=duration_s, seed=seed
        )
        self._client = LoadClient(plan)
        self._results: list[Result] = []
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._client.stop()

    def _run(self) -> None:
        self._results = self._client.run()

    @property
    def running(self) -> bool:
        return self._thread.is_alive()

    def stop(self) -> list[Result]:
        """Stop the load and return its results."""
        self._client.stop()
        return self.results()

    def results(self) -> list[Result]:
        self._thread.join(120)
        assert not self._thread.is_alive()
        return self._results


def assert_results_consistent(lab: Lab, results: list[Result]) -> None:
    """Check every result against what the endpoints executed.

    Each answer must belong to its request and be complete or reported as cut; a request
    reported as not run must not have run.
    """
    verdict = verify(results, executions(lab), effects(lab))
    assert verdict.faults == ()
