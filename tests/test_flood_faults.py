"""One account floods one router; real processes."""

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from tests.fleet_support import (
    ENGINE,
    BackgroundLoad,
    assert_results_consistent,
    chats,
    executions,
    peak_concurrency,
    wait_started,
)
from tests.support import wait_for

SLOTS = 4
QUEUE_LIMIT = 20
SMALL = ("bolt", "cole", "dora")
PLAN = LabPlan(
    routers=4,
    engines=3,
    slots=SLOTS,
    queue_limit=QUEUE_LIMIT,
    accounts={"flood": 1.0, **dict.fromkeys(SMALL, 1.0)},
    engine_options=ENGINE,
    timing={"probe_interval_s": 0.2, "suspect_s": 0.8},
)
ALL_SLOTS = PLAN.engines * SLOTS
# Each owner may fill its free slots with the flood before it learns of the small
# request, and once more if the fleet totals lag behind its own grants.
MAX_FLOOD_STARTS_AHEAD = 2 * ALL_SLOTS
FLOOD = chats("flood", outstanding=ALL_SLOTS + 4 * QUEUE_LIMIT, routers=(0,), sigma=0.3)


SMALL_LOADS = [
    chats(name, rate_per_s=1.5, routers=(1, 2, 3), sigma=0.3, start_s=3)
    for name in SMALL
]


def count_starts_while_waiting(result, starts, own_start):
    """Return the number of flood requests started while a small one waited."""
    return sum(result.sent < start < own_start for start in starts)


def running_counts(lab):
    return [e.call("GET", "/load").json["running"] for e in lab.engines.values()]


def ask(lab):
    body = {"model": "scribe", "x_tokens": 30}
    body["messages"] = [{"role": "user", "content": "flood"}]
    headers = {"Authorization": f"Bearer {account_api_key('flood')}"}
    return lab.routers["r1"].call("POST", "/v1/chat/completions", body, headers=headers)


def test_a_flood_at_one_router_delays_small_accounts_by_a_bounded_amount():
    """Small accounts at other routers get their fair share despite the flood.

    The flood is refused at once beyond its queue limit, with a Retry-After header, and
    still gets every slot without other demand. This also holds after its router was
    killed and restarted without its record of the account's usage.
    """
    with Lab(PLAN) as lab, BackgroundLoad(lab, FLOOD, *SMALL_LOADS) as load:
        wait_for(
            lambda: set(running_counts(lab)) == {SLOTS}, "the flood gets all slots"
        )
        refused = wait_for(
            lambda: (answer := ask(lab)).status == 429 and answer, "flood refused"
        )
        assert refused.json["error"]["kind"] == "queue_full"
        assert refused.json["error"]["ran"] == "no"
        assert int(refused.headers["retry-after"]) >= 1
        wait_for(
            lambda: sum(execution["tokens"] > 0 for execution in executions(lab)) > 150,
            "all run",
        )
        lab.routers["r1"].kill()
        lab.restart_router("r1")
        lab.wait_in_force()
        wait_for(lambda: set(running_counts(lab)) == {SLOTS}, "all slots again")
        wait_started(lab, 250)
        results = load.stop()
        done = executions(lab)
        assert_results_consistent(lab, results)
        assert max(peak_concurrency(done).values()) <= SLOTS
        by_id = {execution["request_id"]: execution["started"] for execution in done}
        floods = {result.request_id for result in results if result.account == "flood"}
        starts = [by_id[request_id] for request_id in floods & by_id.keys()]
        small = [result for result in results if result.account != "flood"]
        assert small
        assert all(result.complete for result in small)
        max_ahead = max(
            count_starts_while_waiting(result, starts, by_id[result.request_id])
            for result in small
        )
        assert max_ahead <= MAX_FLOOD_STARTS_AHEAD
        full = [result for result in results if result.error == "queue_full"]
        assert full
        assert {result.ran for result in full} == {"no"}
