"""Streams that began at a start whose version no list names, taken up by callers."""

from signal import SIGCONT, SIGSTOP

import pytest

from greengageflow.lab.platform_lab import (
    CHAT,
    PlatformLab,
    PlatformShape,
    configuration,
)
from greengageflow.platform.names import LOG_READ, RESUMES
from tests.support import wait_for
from tests.test_restarted_in_place import (
    ENGINE,
    EVENTS,
    PROMPT,
    begin,
    request_body,
    restart,
    resume,
)

SHORT_TIMEOUT_MS = 2_000
"""Timeout of the stream's route; versions count after two of them."""


@pytest.fixture
def lab():
    shape = PlatformShape(
        routers=3, plain=0, engines=2, engine_options={**ENGINE, "born": 1000}
    )
    with PlatformLab(shape) as lab:
        config = configuration(2)
        for route in config["routes"]:
            route["timeout_ms"] = SHORT_TIMEOUT_MS
        lab.publish(config)
        wait_for(lambda: goes_on(lab), "a single version for long")
        yield lab


def goes_on(lab):
    """Whether a stream whose version no host keeps goes on.

    It is asked of the router that reads the list of endpoints.
    """
    return resume(lab, "r0", {RESUMES: "unknown"}) == (200, ["v1"] * (EVENTS - 2))


def begin_at(lab, engine, router="r1"):
    """Start a stream at an engine and read its first event."""
    while True:
        client, request, found = begin(lab, router, events=1)
        if found == engine:
            return client, request
        client.close(reset=True)


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("router_dies", [True, False])
def test_a_stream_of_an_unlisted_start_is_not_joined_to_the_only_version_listed(
    lab, router_dies, is_named
):
    """The host that had begun it was gone, or its caller did not name the stream."""
    restart(lab, "scribe-0", release="v2")
    client, request = begin_at(lab, "scribe-0")
    if router_dies:
        lab.routers["r1"].popen.kill()
    client.close(reset=True)
    headers = {RESUMES: request} if is_named else {}
    assert set(resume(lab, "r0", headers)[1]) <= {"v2"}


def test_streams_go_on_once_an_engine_is_listed_again_at_the_same_version(lab):
    """They were refused for two timeouts by the router that had seen the start."""
    restart(lab, "scribe-0", release="v1")
    begin_at(lab, "scribe-0", "r0")[0].close(reset=True)
    assert not goes_on(lab)
    lab.set_state("scribe-0", "ready")
    wait_for(lambda: goes_on(lab), "streams go on")


def test_a_stream_of_an_unlisted_start_that_no_other_host_records_is_not_begun(lab):
    """Its caller would take it up at a host that knows nothing of it."""
    restart(lab, "scribe-0", release="v2")
    lab.kill_replica("scribe-1")
    for router in ("r0", "r2"):
        lab.routers[router].popen.send_signal(SIGSTOP)
    answer = lab.ask(CHAT, "r1", body=request_body(), headers=PROMPT)
    assert answer.status == 502 and b"tokens" not in answer.body
    for router in ("r0", "r2"):
        lab.routers[router].popen.send_signal(SIGCONT)
    begin_at(lab, "scribe-0")


def test_a_stream_of_unknown_version_does_not_go_on_by_a_list_that_is_not_current(lab):
    """Another host may have begun it at a version that was listed meanwhile."""
    lab.set_store_faults(down=True, path=LOG_READ)
    assert resume(lab, "r0", {RESUMES: "unknown"}) == (503, [])
    lab.set_store_faults()
    wait_for(lambda: goes_on(lab), "the list is read again")
