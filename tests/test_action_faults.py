"""At-most-once execution of protected actions, with real processes and faults."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from tests.support import fault_proxy, wait_for

PLAN = LabPlan(engines=1, services=2, deadline_s=20.0)
PATH = "/services/rounds/dispatch/visit"
STREAMS = [f"actions-{n}" for n in range(16)]


@contextmanager
def proxied_lab(plan=PLAN):
    with fault_proxy() as proxy, Lab(plan, route=proxy.route) as lab:
        yield lab, proxy


@pytest.fixture(scope="module")
def shared():
    with proxied_lab() as pair:
        yield pair


@pytest.fixture
def lab(shared):
    lab, proxy = shared
    yield lab
    proxy.rules()
    lab.log.fault()
    for service in lab.services.values():
        service.fault()


def dispatch(lab, host, key, body=None, **headers):
    request_headers = {
        "Authorization": f"Bearer {account_api_key('acme')}",
        "Idempotency-Key": key,
    }
    return lab.routers[host].call(
        "POST", PATH, body or {"villa": 7}, headers={**request_headers, **headers}
    )


def effects(lab, key):
    return [
        effect
        for service in lab.services.values()
        for effect in service.call("GET", "/effects").json["effects"]
        if effect["key"] == key
    ]


def logged_records(lab, kind, key):
    """Return the log's records of one kind for a key of account acme."""
    records = []
    for stream in STREAMS:
        response = lab.log.call("GET", f"/streams/{stream}/records?from=0&limit=1000")
        if response.status == 200:
            rows = (row["record"] for row in response.json["records"])
            records += [r for r in rows if r["t"] == kind and r["k"] == f"acme\n{key}"]
    return records


def error(response):
    return response.json["error"]


def test_concurrent_requests_with_one_key_run_once(lab):
    """A client repeats an action while the first attempt is still running.

    Three routers get the same key at the same time. Each appends an intent; the router
    whose intent is first in the log sends, the others wait and return its response.
    """
    for service in lab.services.values():
        service.fault(answer_delay_s=0.3)
    with ThreadPoolExecutor(3) as threads:
        responses = list(
            threads.map(lambda h: dispatch(lab, h, "k-three"), lab.routers)
        )
    assert [response.status for response in responses] == [200, 200, 200]
    assert len({response.data for response in responses}) == 1
    assert len(effects(lab, "k-three")) == 1


def test_same_key_with_different_body_is_a_conflict(lab):
    assert dispatch(lab, "r1", "k-conflict").status == 200
    response = dispatch(lab, "r2", "k-conflict", {"villa": 8})
    assert response.status == 409
    assert error(response)["ran"] == "no"
    assert len(effects(lab, "k-conflict")) == 1


def test_log_outage_refuses_action_and_leaves_key_free(lab):
    """The caller gets "not run" at once and succeeds when the log is back.

    Without an appended intent the action must not be sent, not even later when a
    retried append succeeds.
    """
    lab.log.fault(down=True)
    response = dispatch(lab, "r1", "k-down")
    assert response.status == 503
    assert error(response)["kind"] == "log_unavailable"
    assert error(response)["ran"] == "no"
    assert int(response.headers["retry-after"]) >= 1
    lab.log.fault()
    wait_for(lambda: lab.status("r1")["actions"]["unreported"] == 0, "release stored")
    assert effects(lab, "k-down") == []
    assert dispatch(lab, "r2", "k-down").status == 200
    assert len(effects(lab, "k-down")) == 1


@pytest.mark.parametrize("only", ["append", "read"])
@pytest.mark.parametrize("skip", [0, 1])
def test_lost_log_responses_do_not_repeat_an_action(lab, only, skip):
    """The action runs once even though responses of the log are lost.

    The router does not know that the record was appended and appends it again with
    the same nonce; the fold ignores the second copy.
    """
    key = f"k-lost-{only}-{skip}"
    lab.log.fault(only=only, lose_answers=2, skip=skip)
    response = dispatch(lab, "r1", key)
    assert response.status == 200
    assert dispatch(lab, "r3", key).data == response.data
    assert len(effects(lab, key)) == 1


def test_slow_log_does_not_repeat_an_action(lab):
    lab.log.fault(answer_delay_s=0.4)
    response = dispatch(lab, "r1", "k-slow")
    assert response.status == 200
    assert dispatch(lab, "r2", "k-slow").data == response.data
    assert len(effects(lab, "k-slow")) == 1


def test_response_lost_after_execution_is_unknown_and_never_retried(lab):
    """The caller gets "unknown", never "not run", on the first try and every retry.

    The service executed the action and the connection broke before its response. A
    router that retried it, or released the key, could run the action twice.
    """
    for service in lab.services.values():
        service.fault(lose_answers=1)
    response = dispatch(lab, "r1", "k-unknown")
    assert error(response)["ran"] == "unknown"
    wait_for(lambda: logged_records(lab, "outcome", "k-unknown"), "outcome in the log")
    for host in lab.routers:
        assert error(dispatch(lab, host, "k-unknown"))["ran"] == "unknown"
    assert len(effects(lab, "k-unknown")) == 1


def test_unreachable_endpoint_releases_the_key():
    """No byte was sent, so the caller gets "not run" and may retry."""
    with Lab(PLAN) as lab:
        for service in lab.services.values():
            service.kill()
        response = dispatch(lab, "r1", "k-refused")
        assert error(response)["ran"] == "no"
        wait_for(
            lambda: logged_records(lab, "release", "k-refused"), "release in the log"
        )
        assert error(dispatch(lab, "r2", "k-refused"))["ran"] == "no"


def test_router_killed_between_intent_and_send_leaves_outcome_unknown():
    """The caller's connection breaks; a retry through another router gets "unknown".

    The intent is in the log and its router is dead. No other router can tell whether
    the action was sent, so neither "not run" nor a second attempt is safe.
    """
    with proxied_lab() as (lab, _):
        lab.log.fault(only="append", answer_delay_s=2.0)
        with ThreadPoolExecutor(1) as threads:
            first_attempt = threads.submit(dispatch, lab, "r1", "k-killed")
            wait_for(
                lambda: logged_records(lab, "intent", "k-killed"), "intent in the log"
            )
            lab.routers["r1"].kill()
            assert first_attempt.exception() is not None
        lab.log.fault()
        response = dispatch(lab, "r2", "k-killed")
        assert error(response)["ran"] == "unknown"
        assert len(effects(lab, "k-killed")) <= 1


def test_router_frozen_past_deadline_sends_nothing_after_resume():
    """An action must not be sent after its deadline.

    The router is frozen after its intent is appended and resumes after all timeouts.
    It still holds the first intent, but the deadline has passed.
    """
    with proxied_lab() as (lab, _):
        lab.log.fault(only="append", answer_delay_s=2.0)
        with ThreadPoolExecutor(1) as threads:
            first_attempt = threads.submit(
                dispatch, lab, "r1", "k-frozen", **{"X-Deadline-S": "3"}
            )
            wait_for(
                lambda: logged_records(lab, "intent", "k-frozen"), "intent in the log"
            )
            lab.routers["r1"].pause()
            lab.log.fault()
            response = dispatch(lab, "r2", "k-frozen", **{"X-Deadline-S": "8"})
            assert error(response)["ran"] == "unknown"
            lab.routers["r1"].resume()
            assert error(first_attempt.result())["ran"] == "no"
        wait_for(
            lambda: logged_records(lab, "release", "k-frozen"), "release in the log"
        )
        assert effects(lab, "k-frozen") == []
        assert dispatch(lab, "r3", "k-frozen").status == 200
        assert len(effects(lab, "k-frozen")) == 1
