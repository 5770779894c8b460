"""Requests that crash the replicas that run them; real processes."""

import pytest

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.lab.poison import CRASH_EXIT_STATUS
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.platform.names import QUARANTINE_TOPIC
from tests.support import call, wait_for

POISON = "crash"
QUARANTINED = f'"{DecisionEvent.QUARANTINED.number}"'
BODY = b'{"text": "crash"}'
OPTIONS = {"poison": POISON}
REPLICAS = 7
MAX_CRASHES = 6
"""Three crashes, and three more attempts."""


def lab_of(path):
    kind = "engines" if path in (CHAT, NON_RESUMABLE_CHAT) else "plain"
    shape = {"plain": 1, "engines": 1, kind: REPLICAS}
    return PlatformLab(
        PlatformShape(routers=3, plain_options=OPTIONS, engine_options=OPTIONS, **shape)
    )


def ask(lab, path, router, body=BODY):
    headers = generation(6, ("p", 50)) if path in (CHAT, NON_RESUMABLE_CHAT) else {}
    try:
        return lab.ask(path, router, body=body, headers=headers)
    except IncompleteResponse:
        return None


@pytest.mark.parametrize("path", [SAFE, UNSAFE, CHAT, NON_RESUMABLE_CHAT])
def test_request_that_crashes_replicas_is_quarantined_at_every_host(path):
    """Each retry at any host would crash one more replica."""
    with lab_of(path) as lab:
        for number in range(2 * REPLICAS):
            ask(lab, path, f"r{number % 3}")
        assert len(lab.crashed_replicas) <= MAX_CRASHES
        refused = ask(lab, path, "r0")
        assert refused.status == 503
        assert not lab.runs(refused.id)
        assert float(refused.headers["retry-after"]) > 1
        assert ask(lab, path, "r0", b'{"text": "sound"}').status == 200


def is_quarantined(lab, router):
    return QUARANTINED in lab.routers[router].stderr


def test_restarted_router_learns_which_requests_are_quarantined():
    """It starts without crash records and would run each of them again."""
    with lab_of(NON_RESUMABLE_CHAT) as lab:
        for _ in range(2):
            ask(lab, NON_RESUMABLE_CHAT, "r0")
        wait_for(
            lambda: all(is_quarantined(lab, name) for name in lab.routers),
            "all have it",
        )
        assert len(lab.crashed_replicas) == 2
        lab.routers["r1"].kill()
        lab.launch_router("r1")
        lab.wait_ready("r1")
        wait_for(lambda: is_quarantined(lab, "r1"), "the new process knows")
        assert ask(lab, NON_RESUMABLE_CHAT, "r1").status == 503
        assert len(lab.crashed_replicas) == 2


def test_requests_stay_quarantined_when_all_routers_end_at_once():
    """No host is left to pass on the crash records."""
    with lab_of(NON_RESUMABLE_CHAT) as lab:
        for _ in range(2):
            ask(lab, NON_RESUMABLE_CHAT, "r0")
        wait_for(lambda: lab.newest_values(QUARANTINE_TOPIC), "the store has it")
        for router in list(lab.routers):
            lab.routers[router].kill()
        for router in list(lab.routers):
            lab.launch_router(router)
        wait_for(
            lambda: all(is_quarantined(lab, name) for name in lab.routers),
            "all have it",
        )
        for router in lab.routers:
            lab.wait_ready(router)
            assert ask(lab, NON_RESUMABLE_CHAT, router).status == 503
        assert len(lab.crashed_replicas) == 2


PLANS = {
    "engine": LabPlan(engines=REPLICAS, engine_options=OPTIONS),
    "engine that resumes": LabPlan(
        engines=REPLICAS,
        engine_options={**OPTIONS, "resumes": True},
        engine_fields={"resumes": True},
    ),
    "service": LabPlan(services=REPLICAS, service_options=OPTIONS),
}
CALLS = {
    "engine": {"model": "scribe", "stream": True},
    "engine that resumes": {"model": "scribe", "stream": True},
    "service": {},
}


def own_call(lab, kind, router, text, key=""):
    headers = {"Authorization": f"Bearer {account_api_key('acme')}"}
    path = "/v1/chat/completions"
    if kind == "service":
        path, headers["Idempotency-Key"] = "/services/rounds/visit", key
    message = {"role": "user", "content": text}
    body = {**CALLS[kind], "messages": [message], "x_tokens": 3}
    try:
        return call(lab.routers[router].address, "POST", path, body, headers)
    except OSError:
        return None


@pytest.mark.parametrize("kind", PLANS)
def test_request_that_crashes_endpoints_is_quarantined_on_the_own_interface(kind):
    """Each retry, also of a protected action with a new key, would crash one more."""
    with Lab(PLANS[kind]) as lab:
        endpoints = lab.services if kind == "service" else lab.engines
        wait_for(
            lambda: own_call(lab, kind, "r1", "sound", "s").status == 200, "an answer"
        )
        for number in range(2 * REPLICAS):
            own_call(lab, kind, f"r{number % 3 + 1}", POISON, f"key-{number}")
        crashed = [
            endpoint.popen.poll() == CRASH_EXIT_STATUS
            for endpoint in endpoints.values()
        ]
        assert sum(crashed) <= MAX_CRASHES
        refused = own_call(lab, kind, "r1", POISON, "one-more")
        assert refused.status == 503
        assert refused.json["error"]["kind"] == "quarantined"
        assert refused.json["error"]["ran"] == "no"
        if kind == "service":
            ran = own_call(lab, kind, "r1", POISON, "key-0").json["error"]["ran"]
            assert ran == "unknown", "the first one with this key was sent"
        after = [
            endpoint.popen.poll() == CRASH_EXIT_STATUS
            for endpoint in endpoints.values()
        ]
        assert after == crashed
