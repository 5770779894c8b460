"""Whole answers without a length, of endpoints that live, reach their callers."""

from contextlib import closing
from time import sleep

import pytest
from http_fakes import FakePeer, Loop
from http_fakes import wait_for as wait_until

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.daemon.end_check import EndCheck, EndFinding
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    KEY,
    PlatformLab,
    PlatformShape,
    configuration,
    route,
)
from greengageflow.lab.scripted_endpoint import (
    EVENTS,
    Framing,
    Run,
    Script,
    ScriptedEndpoint,
    event,
    whole_body,
)
from greengageflow.platform.names import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    REPORT_PATH,
    SERVERS_TOPIC,
    STREAM,
)
from tests.support import wait_for

LATE_REPORT_S = 2.0
SHORT_DEADLINE_MS = 600
ROUTES = {
    "safe": {"kind": IDEMPOTENT},
    "unsafe": {"kind": NON_IDEMPOTENT},
    "stream-tale": {"kind": STREAM, "resumable": False},
}


class LateReporter(ScriptedEndpoint):
    """An endpoint whose reports take a time once they are late."""

    is_late = False

    def _answer(self, conn, path, headers, body):
        if path == REPORT_PATH and self.is_late:
            sleep(LATE_REPORT_S)
        return super()._answer(conn, path, headers, body)


@pytest.fixture(scope="module")
def fleet():
    with PlatformLab(PlatformShape(plain=0)) as lab:
        routes = [
            route(name, f"/{name}/", "svc", **row) for name, row in ROUTES.items()
        ]
        services = [{"name": "svc", "health_path": "/health", "max_conns": 200}]
        lab.publish(configuration(version=2, services=services, routes=routes))
        script = Script()
        endpoint = LateReporter("e", "svc", script, lambda _endpoint: None)
        lab.append_raw(SERVERS_TOPIC, (endpoint.name.encode(), endpoint.entry))
        wait_for(lambda: lab.ask("/safe/", body=b"warm").status == 200, "e is listed")
        yield lab, script, endpoint
        endpoint.stop()


def body_of(fleet, name, subject, **options):
    """Return the body of a whole answer without a length as its caller gets it."""
    lab, script, endpoint = fleet
    script.set(subject, [Run(Framing.CLOSE)])
    client = lab.client()
    client.send(f"/{name}/", subject.encode(), key=KEY, **options)
    assert client.head().status == 200
    body = b""
    try:
        for piece in client.pieces():
            body += piece
    except IncompleteResponse:
        return body, "cut"
    return body, "complete"


def whole(name, subject):
    if name == "stream-tale":
        numbers = range(1, EVENTS + 1)
        return b"".join(event(subject, number, "v0") for number in numbers), "complete"
    return whole_body(subject, "v0"), "complete"


@pytest.mark.parametrize("name", ROUTES)
def test_a_whole_answer_is_not_held_past_a_short_deadline(fleet, name):
    """It was held for the second check, and its caller got a 504."""
    subject = f"short-{name}"
    found = body_of(fleet, name, subject, deadline_ms=SHORT_DEADLINE_MS)
    assert found == whole(name, subject)


@pytest.mark.parametrize("name", ROUTES)
def test_a_whole_answer_is_not_lost_with_a_report_that_is_late(fleet, name):
    """A check without an answer shows nothing, but counted as the endpoint's end."""
    fleet[2].is_late = True
    subject = f"late-{name}"
    try:
        assert body_of(fleet, name, subject) == whole(name, subject)
    finally:
        fleet[2].is_late = False


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_rejected_check_does_not_show_that_the_endpoint_has_ended(status):
    """Whole streams of starts that had been verified were cut."""

    def reject(conn, _number):
        conn.request()
        conn.send(b"HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n" % status)

    loop, peer, found = Loop(), FakePeer(reject), []
    loop.thread.start()
    check = EndCheck(
        ListedEndpoint("e", "s", "127.0.0.1", peer.port, "z", born=7),
        "r",
        found.append,
        on_other_start=pytest.fail,
        states_start=True,
        pool=loop.pool,
        timers=loop.timers,
    )
    with closing(loop), closing(peer):
        loop.call(check.start)
        assert wait_until(lambda: found) != [EndFinding.GONE]
