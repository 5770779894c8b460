"""Streams while engines of several software versions serve, as real processes."""

import pytest

from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.platform.names import LAST_EVENT_ID, PROMPT_PREFIX, RESUMES
from tests.support import wait_for

RELEASES = ("v1", "v2")
EVENTS = 20
SHAPE = PlatformShape(
    routers=3,
    plain=0,
    engines=6,
    releases=RELEASES,
    engine_options={"step_ms": 30, "growth": 0, "stride": 1},
)


@pytest.fixture
def lab():
    with PlatformLab(SHAPE) as lab:
        yield lab


def prompt(shared="shared"):
    return generation(EVENTS, (shared, 50), ("own", 10))


def release_of(replica):
    return RELEASES[int(replica.partition("-")[2]) % len(RELEASES)]


def body_of(headers):
    """Return a body that differs for each prompt, as the bodies of callers do."""
    return headers[PROMPT_PREFIX].encode()


PROMPT = prompt()


def begin(lab, router="r0", prompt=PROMPT):
    """Start a stream and read two events; return the client, request and engine."""
    client = lab.client(router)
    request = client.send(CHAT, body_of(prompt), key=KEY, headers=prompt)
    seal = client.head().headers["x-greengageflow-response-seal"]
    events = client.events()
    assert [next(events).id, next(events).id] == [1, 2]
    return client, request, seal.partition(".")[0]


def resume(lab, router, request, headers=PROMPT):
    """Take a stream up at a router; return the answer and the engines that ran it."""
    headers = {**headers, LAST_EVENT_ID: 2, RESUMES: request}
    answer = lab.ask(CHAT, router, body=body_of(headers), headers=headers)
    return answer, [row["replica"] for row in lab.started_runs(answer.id)]


@pytest.mark.parametrize("attempt", range(3))
def test_a_stream_resumed_by_the_router_stays_at_its_version(lab, attempt):
    """Events of another version were joined to a stream that its engine had cut."""
    client, request, engine = begin(lab)
    lab.cut_streams(engine)
    assert [event.id for event in client.events()] == list(range(3, EVENTS + 1))
    ran = {row["replica"] for row in lab.started_runs(request)}
    assert len(ran) == 2
    assert {release_of(name) for name in ran} == {release_of(engine)}


def test_a_stream_is_cut_rather_than_joined_to_another_version(lab):
    """The last engine of a version ended, and its streams went on at another one."""
    client, request, engine = begin(lab)
    for name in lab.replicas:
        if release_of(name) == release_of(engine):
            lab.kill_replica(name)
    with pytest.raises((IncompleteResponse, AssertionError)):
        list(client.events())
    assert not lab.started_runs(request)


@pytest.mark.parametrize("router_dies", [False, True])
def test_streams_that_their_clients_take_up_stay_at_their_version(lab, router_dies):
    """Another router placed the rest of a stream like a new request."""
    begun = [begin(lab, prompt=prompt(f"shared-{number}")) for number in range(8)]
    for release in RELEASES:
        first = next(e for _, _, e in begun if release_of(e) == release)
        lab.kill_replica(first)
    if router_dies:
        lab.routers["r0"].popen.kill()
    for number, (client, request, engine) in enumerate(begun):
        client.close(reset=True)
        headers = prompt(f"shared-{number}")
        answer, ran = resume(lab, f"r{1 + number % 2}", request, headers=headers)
        assert answer.status == 200 and b"id: 3\n" in answer.body
        assert {release_of(name) for name in ran} == {release_of(engine)}


@pytest.mark.parametrize("request_id", ["0123456789abcdef", "", "x" * 300, "a,b c"])
def test_a_stream_of_unknown_version_is_not_joined_to_any(lab, request_id):
    """A client may name a request that no router has seen, or none."""
    answer, ran = resume(lab, "r1", request_id)
    assert answer.status == 503 and not ran
    assert resume(lab, "r1", begin(lab)[1])[0].status == 200


def test_a_stream_whose_version_has_left_is_refused_at_once(lab):
    """Its client learns at once that nothing can go on with its stream."""
    client, request, engine = begin(lab)
    client.close(reset=True)
    gone = [n for n in lab.replicas if release_of(n) == release_of(engine)]
    for name in gone:
        lab.set_state(name, "gone")
    wait_for(lambda: resume(lab, "r1", request)[0].status == 503, "refused")
    answer, ran = resume(lab, "r2", request)
    assert answer.status == 503 and not ran
