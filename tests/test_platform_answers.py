"""Lost, foreign and spoiled answers of the platform's replicas, through one router."""

import json
from hashlib import sha256
from time import sleep

import pytest

from greengageflow.daemon.forwarder import STALL_TIMEOUT_S
from greengageflow.lab.platform_client import PlatformClient, Torn
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import wait_for

PROMISES = {408, 421, 429, 503}


@pytest.fixture(scope="module")
def lab():
    options = {"slots": 2, "queue": 0}
    with PlatformLab(PlatformShape(engines=1, plain_options=options)) as lab:
        yield lab


@pytest.fixture(autouse=True)
def sound(lab):
    yield
    for name in lab.replicas:
        lab.fault(name)


def outcome(client: PlatformClient, path: str, **options):
    """Return the id and the answer, None for a connection that ended before."""
    name = client.send(path, **{"key": KEY, **options})
    try:
        return name, client.answer()
    except Torn:
        return name, None


@pytest.mark.parametrize("how", ["close", "reset"])
def test_lost_answer_of_what_may_run_once_is_not_asked_for_again(lab, how):
    """A replica runs the request and its answer is lost. A second replica would run
    it twice; an answer that promises "not run" would have the caller do so."""
    for name in ("app-0", "app-1"):
        lab.fault(name, lose=how)
    for _ in range(5):
        name, answer = outcome(lab.client(), UNSAFE)
        assert len(lab.begun(name)) == 1
        assert answer is None or answer.status not in PROMISES | {200}


def test_lost_answer_of_what_may_run_again_comes_from_another_replica(lab):
    lab.fault("app-0", lose="close")
    for _ in range(8):
        name, answer = outcome(lab.client(), SAFE)
        assert answer.status == 200 and 1 <= len(lab.begun(name)) <= 2


@pytest.mark.parametrize("path", [SAFE, UNSAFE])
@pytest.mark.parametrize(
    "fault",
    [{"cut_after": 0}, {"unframed": "reset"}, {"spoil": True, "times": 1}],
    ids=["cut", "reset", "spoilt"],
)
def test_answer_that_is_not_whole_never_looks_whole(lab, path, fault):
    """A replica's answer is cut, reset or no HTTP at all: the caller gets a failure
    or a cut, or the whole answer of another run where it may run again."""
    for name in ("app-0", "app-1"):
        lab.fault(name, **fault)
    name, answer = outcome(lab.client(), path, deadline_ms=3000)
    assert len(lab.begun(name)) <= (2 if path == SAFE else 1)
    if answer is not None and answer.status == 200:
        assert path == SAFE and json.loads(answer.body)["id"] == name
    elif answer is not None:
        assert answer.status not in PROMISES


def test_answer_that_ends_with_its_connection_is_whole(lab):
    for name in ("app-0", "app-1"):
        lab.fault(name, unframed="close")
    answer = lab.ask(UNSAFE)
    assert answer.status == 200 and json.loads(answer.body)["id"] == answer.id


@pytest.mark.parametrize("extra", [{"extra": "at_once"}, {"extra": "late"}])
@pytest.mark.parametrize("path", [SAFE, UNSAFE])
def test_foreign_answer_reaches_no_caller(lab, path, extra):
    """A replica sends a second answer, of no request, after a whole one, at once or
    when the connection may already carry the next request: that request must not
    take it, and nobody may get bytes that were not asked for."""
    for name in ("app-0", "app-1"):
        lab.fault(name, extra_s=0.01, **extra)
    clients = [lab.client() for _ in range(4)]
    for number in range(40):
        client = clients[number % 4]
        name, answer = outcome(client, path)
        if answer is None:
            clients[number % 4] = lab.client()
        elif answer.status == 200:
            assert json.loads(answer.body)["id"] == name
            assert len(lab.begun(name)) <= (2 if path == SAFE else 1)
        else:
            assert answer.status not in PROMISES or not lab.begun(name)
    assert all(client.silent() for client in clients)


def test_early_answer_leaves_the_rest_of_the_body_in_its_place(lab):
    """A replica answers before it has read a long body and reads on: the rest of
    that body, and no other request, must follow on the connection."""
    for name in ("app-0", "app-1"):
        lab.fault(name, early=True)
    body = bytes(range(256)) * 4000
    sent = {}
    for number in range(8):
        given = body if number % 2 else b"short"
        sent[outcome(lab.client(), UNSAFE, body=given)[0]] = given
    for name, given in sent.items():
        (run,) = lab.begun(name)
        got = given[: run["body_bytes"]]
        assert run["body_sha256"] == sha256(got).hexdigest()
    assert {run["target"] for run in lab.runs()} <= {SAFE, UNSAFE, CHAT}


def held(lab, path, count):
    """Have that many requests begin and hang at the plain replicas."""
    for name in ("app-0", "app-1"):
        lab.fault(name, hang=True)
    clients = [lab.client() for _ in range(count)]
    names = [client.send(path, key=KEY) for client in clients]
    wait_for(lambda: all(lab.begun(name) for name in names), "all begun")
    return clients, names


@pytest.mark.parametrize("path", [SAFE, UNSAFE])
def test_what_is_refused_never_runs(lab, path):
    """All places of the replicas are taken. Whoever is refused then must not run,
    also not when places are free again; nobody may wait for his deadline."""
    clients, _ = held(lab, path, 4)
    refused = [outcome(lab.client(), path, deadline_ms=3000) for _ in range(4)]
    for client in clients:
        client.close()
    for name in ("app-0", "app-1"):
        lab.fault(name)
    assert wait_for(lambda: lab.ask(path).status == 200, "places are free again")
    for name, answer in refused:
        assert answer.status in PROMISES and not lab.begun(name)
        assert float(answer.headers["retry-after"]) < 3


@pytest.mark.parametrize("reset", [False, True])
def test_request_ends_at_its_replica_when_its_caller_leaves(lab, reset):
    """The caller leaves; the replica, which would hang for 20 s, must be told by the
    end of its connection."""
    (client,), (name,) = held(lab, UNSAFE, 1)
    client.close(reset=reset)
    wait_for(lambda: lab.runs(name)[0]["ended"], "the run ended")
    assert [run["outcome"] for run in lab.runs(name)] == ["cancelled"]


def test_stream_ends_at_its_replica_when_its_caller_leaves(lab):
    client = lab.client()
    name = client.send(CHAT, key=KEY, headers=generation(50_000, ("e1", 50)))
    client.head()
    next(client.events())
    client.close()
    wait_for(lambda: lab.runs(name)[0]["ended"], "the run ended")
    assert [run["outcome"] for run in lab.runs(name)] == ["cancelled"]


def test_request_that_found_no_place_is_not_sent_again_when_its_caller_left(lab):
    """All replicas turn a request away and its caller leaves; then places become free:
    a later request gets one, and the one that was left never runs."""
    clients, _ = held(lab, SAFE, 4)
    waiting = lab.client()
    left = waiting.send(SAFE, key=KEY)
    wait_for(lambda: lab.runs(left), "it was sent")
    waiting.close()
    for name in ("app-0", "app-1"):
        lab.fault(name)
    for client in clients:
        client.close()
    wait_for(lambda: lab.ask(SAFE).status == 200, "a later request is served")
    assert not lab.begun(left)


def test_stream_that_stands_still_is_not_cut_when_nothing_else_can_go_on(lab):
    """The only engine stands still for longer than the router likes and then goes on.
    With no other engine to go on at, a router that gave up on it would cut the stream;
    its caller must get it whole."""
    client = lab.client()
    name = client.send(CHAT, key=KEY, headers=generation(600, ("e1", 50)))
    client.head()
    events = client.events()
    seen = [next(events)]
    engine = lab.replicas["scribe-0"]
    engine.pause()
    sleep(2 * STALL_TIMEOUT_S)
    engine.go_on()
    seen.extend(events)
    assert [event.id for event in seen] == list(range(1, 301))
    assert [run["outcome"] for run in lab.begun(name)] == ["done"]


def test_stream_that_stands_still_goes_back_when_the_next_engine_is_dead():
    """An engine stands still, and the stream is moved to one that has crashed and is
    still listed. The first goes on soon; its caller must get the stream whole."""
    with PlatformLab(PlatformShape(engines=2)) as lab:
        client = lab.client()
        name = client.send(CHAT, key=KEY, headers=generation(600, ("e1", 50)))
        client.head()
        events = client.events()
        seen = [next(events)]
        [run] = lab.begun(name)
        [other] = {"scribe-0", "scribe-1"} - {run["replica"]}
        lab.replicas[other].kill()
        engine = lab.replicas[run["replica"]]
        engine.pause()
        sleep(2 * STALL_TIMEOUT_S)
        engine.go_on()
        seen.extend(events)
        assert [event.id for event in seen] == list(range(1, 301))
