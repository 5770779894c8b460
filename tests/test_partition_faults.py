"""Network partitions between routers; real processes behind a proxy."""

import pytest

from greengageflow.lab.lab import LabPlan
from tests.fleet_support import (
    ENGINE,
    BackgroundLoad,
    assert_results_consistent,
    chats,
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
    services=1,
    slots=SLOTS,
    engine_options=ENGINE,
    timing={"probe_interval_s": 0.2, "suspect_s": 0.8},
)
HALVES = ({"r1", "r2", "r3"}, {"r4", "r5"})
ALONE = ({"r1"}, {"r2", "r3", "r4", "r5"})


def wait_served(lab, hosts):
    """Wait until routers of ``hosts`` have completed some new requests."""
    before = {execution["request_id"] for execution in executions(lab)}

    def served():
        new = (
            execution
            for execution in executions(lab)
            if execution["request_id"] not in before
        )
        done = (execution for execution in new if execution["state"] == "done")
        return (
            sum(execution["request_id"].split("-")[0] in hosts for execution in done)
            > 5
        )

    wait_for(served, f"{sorted(hosts)} serve")


@pytest.mark.parametrize("sides", [HALVES, ALONE], ids=["halves", "alone"])
def test_no_slot_is_used_twice_and_both_sides_serve(sides):
    """Callers on both sides of a partition are served, over two partitions in a row.

    Each side declares the other dead and takes over all endpoints. If both used all
    slots, the engines would run up to twice their configured load.
    """
    chat_loads = [chats(account, outstanding=20) for account in ("acme", "bolt")]
    with proxied_lab(PLAN) as (lab, proxy), BackgroundLoad(lab, *chat_loads) as load:
        for _ in range(2):
            proxy.rules(*partition_rules(lab, *sides))
            for side in sides:
                for host in side:
                    wait_for(lambda h=host, s=side: members(lab, h) == s, "split view")
            for side in sides:
                wait_served(lab, side)
            proxy.rules()
            for host in lab.routers:
                wait_for(lambda h=host: members(lab, h) == set(lab.routers), "one view")
        wait_started(lab, 100)
        results = load.stop()
        done = executions(lab)
        assert_results_consistent(lab, results)
        assert all(result.complete for result in results)
        assert max(peak_concurrency(done).values()) <= SLOTS


def test_slots_of_a_killed_router_return_when_the_platform_drops_it():
    """The full capacity is available again after a host died.

    A dead router's requests have ended, but one that is merely unreachable may still
    run some. So its slots are freed only when the platform's list drops the host.
    """
    chat = chats("acme", outstanding=40, routers=(1, 2, 3, 4))
    with proxied_lab(PLAN) as (lab, _), BackgroundLoad(lab, chat) as load:
        wait_for(lambda: len(executions(lab)) > 20, "load runs")
        lab.routers["r1"].kill()
        remaining = set(lab.routers) - {"r1"}
        wait_for(lambda: members(lab, "r2") == remaining, "r1 dead at r2")
        assert "r1" in lab.status("r2")["roster"]
        lab.set_host_list(remaining)
        wait_for(lambda: "r1" not in lab.status("r2")["roster"], "r1 off the roster")

        def all_slots_busy():
            loads = [e.call("GET", "/load").json for e in lab.engines.values()]
            return all(load["running"] == SLOTS for load in loads)

        wait_for(all_slots_busy, "every slot in use")
        wait_started(lab, 100)
        results = load.stop()
        assert_results_consistent(lab, results)
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS


def test_a_router_killed_under_load_cuts_only_its_own_callers():
    """Callers of the other routers are not affected.

    The router dies with streams, queued requests, demand and grants in flight. Its own
    callers see a broken connection, never an answer that looks complete.
    """
    chat_loads = (
        chats("acme", outstanding=30),
        chats("bolt", outstanding=10, routers=(1, 2)),
    )
    with proxied_lab(PLAN) as (lab, _), BackgroundLoad(lab, *chat_loads) as load:
        wait_for(lambda: len(executions(lab)) > 60, "load runs")
        victim = lab.routers["r1"].address
        lab.routers["r1"].kill()
        remaining = set(lab.routers) - {"r1"}
        wait_for(lambda: members(lab, "r2") == remaining, "r1 dead at r2")
        wait_started(lab, 150)
        results = load.stop()
        assert_results_consistent(lab, results)
        others = [result for result in results if result.router != victim]
        assert others
        assert all(result.complete for result in others)
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS


def test_a_frozen_router_rejoins():
    """A router paused for longer than every time-out serves again when it resumes.

    The others declare it dead and take over its endpoints; its earlier grants must
    not add to theirs.
    """
    chat = chats("acme", outstanding=30, routers=(1, 2, 3, 4))
    with proxied_lab(PLAN) as (lab, _), BackgroundLoad(lab, chat) as load:
        wait_for(lambda: len(executions(lab)) > 30, "load runs")
        lab.routers["r1"].pause()
        remaining = set(lab.routers) - {"r1"}
        wait_for(lambda: members(lab, "r2") == remaining, "r1 dead at r2")
        lab.routers["r1"].resume()
        for host in lab.routers:
            wait_for(lambda h=host: members(lab, h) == set(lab.routers), "one view")
        wait_started(lab, 100)
        results = load.stop()
        assert_results_consistent(lab, results)
        assert all(result.complete for result in results)
        assert max(peak_concurrency(executions(lab)).values()) <= SLOTS
