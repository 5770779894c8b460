"""Leaving endpoints, with real processes; each of three sources is sufficient."""

from dataclasses import replace
from time import time

import pytest

from greengageflow.lab.lab import Lab, LabPlan
from tests.fleet_support import (
    ENGINE,
    BackgroundLoad,
    assert_results_consistent,
    chats,
    executions,
    wait_started,
)
from tests.support import wait_for

SLOTS = 4
PLAN = LabPlan(
    routers=4,
    engines=2,
    slots=SLOTS,
    engine_options=ENGINE,
    timing={"probe_interval_s": 0.2, "suspect_s": 0.8, "host_list_interval_s": 0.3},
)
LONG_INTERVAL_S = 600.0


def publish(lab, **fields):
    """Publish the configuration with changed fields of engine e1."""
    config = lab.config()
    config["pools"][0]["endpoints"][0].update(fields)
    lab.wait_in_force(lab.publish(config))


def leave_by_config(lab):
    publish(lab, leaving=True)
    return lambda: publish(lab, leaving=False)


def leave_by_host_list(lab):
    lab.set_host_list(lab.routers, leaving=("e1",))
    return lambda: lab.set_host_list(lab.routers)


def leave_by_load_report(lab):
    lab.engines["e1"].call("POST", "/leaving", {"leaving": True})
    return lambda: lab.engines["e1"].call("POST", "/leaving", {"leaving": False})


def reports_leaving(lab):
    return lab.engines["e1"].call("GET", "/load").json["leaving"]


def is_marked_leaving(lab, host):
    return "e1" in lab.status(host)["leaving"]


def wait_for_leaving_mark(lab, hosts=None):
    for host in hosts or lab.routers:
        wait_for(
            lambda host=host: is_marked_leaving(lab, host),
            f"{host} has marked e1 as leaving",
        )


def wait_for_requests(lab, name, more=10):
    wait_started(lab, more, name)


def owner_of(lab, endpoint):
    owners = (h for h in lab.routers if endpoint in lab.status(h)["endpoints"])
    return next(owners, None)


@pytest.mark.parametrize(
    "report_leaving", [leave_by_config, leave_by_host_list, leave_by_load_report]
)
def test_one_leaving_report_stops_new_requests_for_the_generation(report_leaving):
    """No response is cut off when an endpoint leaves.

    The endpoint is reported as leaving under load, and the report is withdrawn later.
    Running requests complete and no new ones start, even after the withdrawal, until
    the endpoint's generation is raised.
    """
    with (
        Lab(PLAN) as lab,
        BackgroundLoad(lab, chats("acme", outstanding=30)) as load,
    ):
        wait_for_requests(lab, "e1")
        withdraw = report_leaving(lab)
        wait_for_leaving_mark(lab)
        marked_at = time()
        withdraw()
        wait_for_requests(lab, "e2", 60)
        assert not [
            execution
            for execution in executions(lab)
            if execution["engine"] == "e1" and execution["started"] > marked_at
        ]
        assert is_marked_leaving(lab, "r1")
        lab.engines["e1"].call("POST", "/leaving", {"leaving": False})
        publish(lab, generation=2)
        wait_for_requests(lab, "e1")
        results = load.stop()
        assert_results_consistent(lab, results)
        assert all(result.complete for result in results)
        assert {execution["state"] for execution in executions(lab)} == {"done"}


def test_outdated_host_list_does_not_mark_the_next_generation():
    """An operator replaces an endpoint; its full capacity must be usable.

    The host list still reports the old generation as leaving when the new one is in
    force. If that marked the new generation, the mark would be permanent.
    """
    with (
        Lab(PLAN) as lab,
        BackgroundLoad(lab, chats("acme", outstanding=20)) as load,
    ):
        wait_for_requests(lab, "e1")
        leave_by_host_list(lab)
        wait_for_leaving_mark(lab)
        publish(lab, generation=2)
        wait_for_requests(lab, "e1", 40)
        assert not is_marked_leaving(lab, "r1")
        assert_results_consistent(lab, load.stop())


def test_outdated_load_report_does_not_mark_the_next_generation():
    """The same with the endpoint's own load report, which lags by 4 s here.

    The report still says leaving while the endpoint is replaced, and the owner queries
    it every second. A later report that the new generation is leaving is accepted.
    """
    plan = replace(PLAN, engine_options={**ENGINE, "load_lag_s": 4.0})
    with (
        Lab(plan) as lab,
        BackgroundLoad(lab, chats("acme", outstanding=20)) as load,
    ):
        wait_for_requests(lab, "e1")
        withdraw = leave_by_load_report(lab)
        wait_for_leaving_mark(lab)
        withdraw()
        publish(lab, generation=2)
        wait_for(lambda: not reports_leaving(lab), "the report has caught up")
        wait_for_requests(lab, "e1", 40)
        assert not is_marked_leaving(lab, "r1")
        leave_by_load_report(lab)
        wait_for_leaving_mark(lab)
        assert_results_consistent(lab, load.stop())


def test_leaving_report_read_by_one_router_holds_for_later_owners():
    """In a large fleet each router reads the host list only once a minute or less.

    Here only one router reads the report, and it does not own the endpoint. It notifies
    the others; the owner is killed, and restarts without state and becomes owner again
    after the report is withdrawn. No request starts on the endpoint in the meantime.
    """
    with Lab(PLAN) as lab:
        first_owner = owner_of(lab, "e1")
        reader = next(host for host in lab.routers if host != first_owner)
        for host, settings in lab.settings.items():
            if host != reader:
                settings["timing"]["host_list_interval_s"] = LONG_INTERVAL_S
                lab.routers[host].stop()
                lab.restart_router(host)
        lab.wait_in_force()
        assert owner_of(lab, "e1") == first_owner
        entry = (list(lab.routers).index(reader),)
        chat = chats("acme", outstanding=20, routers=entry)
        with BackgroundLoad(lab, chat) as load:
            wait_for_requests(lab, "e1")
            leave_by_host_list(lab)
            wait_for_leaving_mark(lab)
            marked_at = time()
            lab.set_host_list(lab.routers)
            lab.routers[first_owner].kill()
            wait_for(
                lambda: first_owner not in lab.status(reader)["members"], "owner dead"
            )
            lab.restart_router(first_owner)
            wait_for_leaving_mark(lab, [first_owner])
            wait_for(
                lambda: "e1" in lab.status(first_owner)["endpoints"], "owner again"
            )
            wait_for_requests(lab, "e2", 80)
            assert not [
                execution
                for execution in executions(lab)
                if execution["engine"] == "e1" and execution["started"] > marked_at
            ]
            assert_results_consistent(lab, load.stop())
