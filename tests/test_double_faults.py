"""Two concurrent faults, with real processes behind a fault proxy."""

from concurrent.futures import ThreadPoolExecutor

from greengageflow.lab.lab import LabPlan, account_api_key
from greengageflow.lab.load_plan import ServiceLoad
from tests.fleet_support import (
    ENGINE,
    BackgroundLoad,
    assert_results_consistent,
    chats,
    effects,
    executions,
    members,
    partition_rules,
    peak_concurrency,
    proxied_lab,
    wait_started,
)
from tests.support import wait_for

SLOTS = 4
PLAN = LabPlan(
    routers=5,
    engines=3,
    services=2,
    slots=SLOTS,
    engine_options=ENGINE,
    timing={"probe_interval_s": 0.2, "suspect_s": 0.8},
)
LEFT_SIDE = {"r1", "r2"}
RIGHT_SIDE = {"r3", "r4", "r5"}
ACTION = "/services/rounds/dispatch/visit"


def actions(account, **options):
    return ServiceLoad(
        account=account,
        key=account_api_key(account),
        service="rounds",
        path="dispatch/visit",
        protected=True,
        **options,
    )


def dispatch(lab, host, key):
    request_headers = {
        "Authorization": f"Bearer {account_api_key('bolt')}",
        "Idempotency-Key": key,
    }
    return lab.routers[host].call("POST", ACTION, {"villa": 7}, headers=request_headers)


def wait_for_views(lab, *sides):
    for side in sides:
        for host in side:
            wait_for(
                lambda h=host, s=side: members(lab, h) == set(s), f"view of {host}"
            )


def repeated_keys(lab):
    keys = [effect["key"] for effect in effects(lab) if effect["key"]]
    return {key for key in keys if keys.count(key) > 1}


def test_partition_during_log_outage():
    """Chats continue on both sides; protected actions are refused as not run.

    Both sides may get the same key. Without the log neither may send the action. When
    the log is back before the partition heals, the log order decides which side sends.
    """
    both = chats("acme", outstanding=20), actions("acme", rate_per_s=5)
    with proxied_lab(PLAN) as (lab, proxy), BackgroundLoad(lab, *both) as load:
        wait_for(lambda: len(executions(lab)) > 30, "load runs")
        proxy.rules(*partition_rules(lab, LEFT_SIDE, RIGHT_SIDE))
        lab.log.fault(down=True)
        wait_for_views(lab, LEFT_SIDE, RIGHT_SIDE)
        both = ("r1", "r3")
        with ThreadPoolExecutor(2) as threads:
            refused = list(threads.map(lambda h: dispatch(lab, h, "k-both"), both))
        for answer in refused:
            assert answer.json["error"]["kind"] == "log_unavailable"
            assert answer.json["error"]["ran"] == "no"
        lab.log.fault()

        def both_succeed():
            with ThreadPoolExecutor(2) as threads:
                answers = list(threads.map(lambda h: dispatch(lab, h, "k-both"), both))
            return all(answer.status == 200 for answer in answers) and answers

        answers = wait_for(both_succeed, "both sides return the same response")
        assert answers[0].data == answers[1].data
        proxy.rules()
        wait_for_views(lab, set(lab.routers))
        wait_started(lab, 100)
        results = load.stop()
        assert_results_consistent(lab, results)
        assert all(result.complete for result in results if result.kind == "chat")
        assert repeated_keys(lab) == set()
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS


def test_router_killed_during_partition():
    """Only the killed router's callers are affected; no side exceeds the slots.

    From the other side, a dead router cannot be told from a partitioned one, so its
    slots stay unused there until the partition heals.
    """
    chat = chats("acme", outstanding=30)
    with proxied_lab(PLAN) as (lab, proxy), BackgroundLoad(lab, chat) as load:
        wait_for(lambda: len(executions(lab)) > 30, "load runs")
        proxy.rules(*partition_rules(lab, LEFT_SIDE, RIGHT_SIDE))
        wait_for_views(lab, LEFT_SIDE, RIGHT_SIDE)
        killed_address = lab.routers["r3"].address
        lab.routers["r3"].kill()
        wait_for_views(lab, LEFT_SIDE, RIGHT_SIDE - {"r3"})
        proxy.rules()
        wait_for_views(lab, set(lab.routers) - {"r3"})
        lab.restart_router("r3")
        wait_for_views(lab, set(lab.routers))
        wait_started(lab, 100)
        results = load.stop()
        assert_results_consistent(lab, results)
        assert all(
            result.complete for result in results if result.router != killed_address
        )
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS


def test_frozen_writer_does_not_repeat_actions():
    """The writer of a key's records freezes while another router requests the key.

    A new writer takes over and accepts one attempt. The old writer resumes with its
    earlier requests; its late records must not let the action run again.
    """
    keys = [f"k-writer-{n}" for n in range(12)]
    with proxied_lab(PLAN) as (lab, _):
        with ThreadPoolExecutor(12) as threads:
            lab.log.fault(only="append", answer_delay_s=1.0)
            futures = [threads.submit(dispatch, lab, "r2", key) for key in keys]
            wait_for(lambda: lab.status("r1")["actions"]["outbox"] > 0, "r1 writes")
            lab.routers["r1"].pause()
            remaining = set(lab.routers) - {"r1"}
            wait_for_views(lab, remaining)
            lab.log.fault()
            other_answers = list(
                threads.map(lambda key: dispatch(lab, "r4", key), keys)
            )
            lab.routers["r1"].resume()
            answers = [future.result() for future in futures]
        wait_for_views(lab, set(lab.routers))
        assert repeated_keys(lab) == set()
        ran = {effect["key"] for effect in effects(lab)}
        for key, first, other in zip(keys, answers, other_answers, strict=True):
            for answer in (first, other):
                assert answer.status == 200 or answer.json["error"]["ran"] != "yes"
                if answer.status == 200:
                    assert key in ran
        repeats = [dispatch(lab, "r5", key) for key in keys]
        assert {a.status for a in repeats if a.status == 200} == {200}
        assert repeated_keys(lab) == set()


def both_accounts_served(lab):
    """Return whether each account has at least a third of the last 90 starts."""
    last = sorted(executions(lab), key=lambda execution: execution["started"])[-90:]
    left = sum(execution["request_id"].split("-")[0] in LEFT_SIDE for execution in last)
    return 30 <= left <= 60


def test_no_account_starves_after_partition_heals():
    """An account that only one side served is not starved after the totals merge.

    During the partition both sides serve without the other's counters. The difference
    found afterwards becomes a bounded debt, so both accounts soon get their share.
    """
    both = (
        chats("acme", outstanding=24, routers=(0, 1)),
        chats("bolt", outstanding=24, routers=(2, 3, 4), start_s=5),
    )
    with proxied_lab(PLAN) as (lab, proxy), BackgroundLoad(lab, *both) as load:
        wait_for(lambda: len(executions(lab)) > 30, "load runs")
        proxy.rules(*partition_rules(lab, LEFT_SIDE, RIGHT_SIDE))
        wait_for_views(lab, LEFT_SIDE, RIGHT_SIDE)
        count_before = len(executions(lab))
        wait_for(lambda: len(executions(lab)) > count_before + 150, "both sides serve")
        proxy.rules()
        wait_for_views(lab, set(lab.routers))
        wait_for(lambda: both_accounts_served(lab), "both accounts are served")
        wait_started(lab, 100)
        results = load.stop()
        assert_results_consistent(lab, results)
        assert all(result.complete for result in results)
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS
