"""Requests on kept connections that the endpoint closes before it answers."""

import pytest

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    SAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import call, wait_for

NO_RETRIES = {"budget_slack": 0, "budget_ratio": 0}


def lab_of(**shape):
    return PlatformLab(PlatformShape(plain=1, engines=1, **shape))


def ask(lab, path):
    """Return the answer, or None if the connection ended before it was complete."""
    headers = generation(6, ("p", 50)) if path == CHAT else {}
    try:
        return lab.ask(path, headers=headers, deadline_ms=12_000)
    except IncompleteResponse:
        return None


@pytest.mark.parametrize("how", ["close", "reset"])
def test_endpoint_that_ends_a_kept_connection_gets_no_retry_beyond_the_budget(how):
    """The connection pool retried such requests without charging the retry budget."""
    with lab_of(bounds=NO_RETRIES) as lab:
        for _ in range(4):
            assert ask(lab, SAFE).status == 200
            lab.set_faults("app-0", lose=how, times=1)
            ask(lab, SAFE)
        runs = [row["id"] for row in lab.runs()]
        assert len(runs) == len(set(runs))


def test_request_that_reached_no_endpoint_costs_no_retry_budget():
    """Otherwise attempts that no endpoint saw would use up the budget of callers."""
    with PlatformLab(PlatformShape(plain=2, bounds=NO_RETRIES)) as lab:
        lab.set_faults("app-0", refuse=True)
        assert [ask(lab, SAFE).status for _ in range(6)] == [200] * 6
        lab.set_faults("app-0")
        lab.set_faults("app-1", refuse=True)
        assert [ask(lab, SAFE).status for _ in range(6)] == [200] * 6


def test_retried_request_has_only_the_remaining_time():
    """With the first attempt's header, the endpoint would work past the deadline."""
    with lab_of(plain_options={"work_ms": 600}) as lab:
        assert ask(lab, SAFE).status == 200
        lab.set_faults("app-0", lose="reset", times=1)
        answer = ask(lab, SAFE)
        first, second = (int(row["deadline_ms"]) for row in lab.runs(answer.id))
        assert second <= first - 600


@pytest.mark.parametrize("path", [SAFE, CHAT])
def test_request_whose_kept_connection_was_closed_is_retried_at_its_endpoint(path):
    """Servers close idle connections, and there may be no other endpoint."""
    replica = "scribe-0" if path == CHAT else "app-0"
    with lab_of() as lab:
        for _ in range(4):
            assert ask(lab, path).status == 200
            lab.control(lab.replicas[replica], "POST", "/drop")
            assert ask(lab, path).status == 200
        wait_for(lambda: '"RETRIED"' in lab.router_logs, "the line")


RETRY_BURST = 10
"""Retries that the budget of a router of the own interface may accumulate."""


def test_own_interface_retries_no_more_than_its_budget_on_kept_connections():
    """The connection pool retried such requests without charging the retry budget."""
    plan = LabPlan(routers=1, engines=1, services=1, policy={"retry_ratio": 0})
    with Lab(plan) as lab:
        address, service = lab.routers["r1"].address, lab.services["s1"]
        headers = {"Authorization": f"Bearer {account_api_key('acme')}"}

        def visit():
            try:
                return call(address, "POST", "/services/rounds/visit", {}, headers)
            except OSError:
                return None

        wait_for(lambda: visit().status == 200, "an answer")
        for _ in range(4 * RETRY_BURST):
            service.fault(lose_answers=1)
            visit()
            visit()
        effects = service.call("GET", "/effects").json["effects"]
        ids = [row["request_id"] for row in effects]
        assert len(ids) - len(set(ids)) <= RETRY_BURST
