"""Answers that end with their connection, which does not show that they are whole."""

import json
from contextlib import closing, contextmanager
from dataclasses import dataclass
from functools import partial
from itertools import count
from time import sleep

import pytest
from http_fakes import FakePeer, Loop
from http_fakes import wait_for as wait_until

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.daemon.end_check import EndCheck, EndFinding, is_alive
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.net.http_messages import Failure, FailureKind, Response
from greengageflow.platform.names import REPLICA_ID
from greengageflow.platform.reports import lists_run
from tests.support import wait_for

EVENTS = 12
WHOLE = list(range(1, EVENTS + 1))
ENGINE = {"step_ms": 10, "growth": 0, "stride": 1, "framing": "close"}
ATTEMPTS = 20


@contextmanager
def engines(number, window_s=1, **bounds):
    # A budget that starts has nothing to spare for half of its window.
    bounds = {"budget_window_s": window_s, **bounds}
    shape = PlatformShape(plain=0, engines=number, engine_options=ENGINE, bounds=bounds)
    with PlatformLab(shape) as lab:
        yield lab


@pytest.fixture
def services():
    with PlatformLab(PlatformShape(plain=2)) as lab:
        yield lab


@pytest.fixture
def own_services():
    """One service endpoint of a gateway that the test ends."""
    with PlatformLab(PlatformShape(plain=1)) as lab:
        yield lab


def send(lab, path, number=0, shared="shared", **options):
    client = lab.client()
    prompt = generation(EVENTS, (shared, 50), (f"own-{number}", 10))
    # Requests that differ, since one whose engines crash is quarantined.
    options = {"key": KEY, "headers": prompt, **options}
    return client, client.send(path, b"%d" % number, **options)


@dataclass(frozen=True)
class Ended:
    """How a stream ended at its caller.

    Args:
        events: Ids of its events.
        is_cut: Whether it has no regular end.
        is_framed: Whether its framing states an end.
        status: HTTP status.
    """

    events: list
    is_cut: bool
    is_framed: bool
    status: int = 200


def receive(client):
    """Read a stream to its end."""
    events, is_cut = [], False
    head = client.head()
    try:
        for event in client.events() if head.status == 200 else client.pieces():
            events += [event.id] if head.status == 200 else []
    except IncompleteResponse:
        is_cut = True
    return Ended(events, is_cut, head.is_framed, head.status)


def ended(lab, path, number=0, shared="shared"):
    """Request a stream and read it to its end."""
    client, _ = send(lab, path, number, shared)
    return receive(client)


def stream(lab, path, number=0):
    """Return the event ids of a stream, and whether it looks complete."""
    found = ended(lab, path, number)
    assert found.status == 200
    return found.events, not found.is_cut


def set_faults(lab, **faults):
    for name in lab.replicas:
        lab.set_faults(name, **faults)


@pytest.mark.parametrize("path", [CHAT, NON_RESUMABLE_CHAT])
def test_a_stream_whose_engine_exits_between_events_does_not_look_complete(path):
    """Five of twelve events were passed on as a complete stream."""
    with engines(3) as lab:
        set_faults(lab, exit_after=5, runs="first")
        resumed = path == CHAT
        assert stream(lab, path) == ((WHOLE, True) if resumed else (WHOLE[:5], False))
        wait_for(lambda: len(lab.crashed_replicas) == 1, "an engine has exited")


@pytest.mark.parametrize("path", [CHAT, NON_RESUMABLE_CHAT])
def test_an_end_that_nothing_proves_is_not_framed(path):
    """An engine that lives closed a stream early, and the last chunk was sent."""
    with engines(1) as lab:
        lab.set_faults("scribe-0", close_after=5)
        assert ended(lab, path) == Ended(WHOLE[:5], is_cut=False, is_framed=False)
        lab.set_faults("scribe-0")
        assert ended(lab, path, 1) == Ended(WHOLE, is_cut=False, is_framed=False)


@pytest.mark.parametrize("path", [CHAT, NON_RESUMABLE_CHAT])
def test_a_stream_that_ends_before_its_first_event_is_not_complete(path):
    """An engine closed its connection after the head, and the stream was empty."""
    with engines(3) as lab:
        lab.set_faults("scribe-0", close_after=0)
        found = [ended(lab, path, n, shared=f"shared-{n}") for n in range(ATTEMPTS)]
        whole = Ended(WHOLE, is_cut=False, is_framed=False)
        failed = [one for one in found if one != whole]
        assert bool(failed) == (path == NON_RESUMABLE_CHAT)
        assert all(one.status == 502 for one in failed)


LATER_EVIDENCE = [
    {"goes_on": True},
    {"exit_after_close_s": 0.1},
]


@pytest.mark.parametrize("evidence", LATER_EVIDENCE, ids="-".join)
@pytest.mark.parametrize(
    ("path", "number", "expected"),
    [
        (NON_RESUMABLE_CHAT, 2, (WHOLE[:5], False)),
        (CHAT, 1, (WHOLE[:5], False)),
        (CHAT, 2, (WHOLE, True)),
    ],
)
def test_what_an_engine_shows_after_an_early_end_counts(
    path, number, expected, evidence
):
    """A run that was still listed, or whose process ended soon, looked complete."""
    with engines(number) as lab:
        set_faults(lab, close_after=5, runs="first", **evidence)
        assert stream(lab, path) == expected


@pytest.mark.parametrize(
    "evidence", [{}, *LATER_EVIDENCE], ids=lambda found: "-".join(found) or "none"
)
def test_a_failed_question_does_not_prove_an_end(evidence):
    """The engine that was asked for more events failed, and the last chunk was sent."""
    with two_engines() as lab:
        lab.set_faults("scribe-0", close_after=5, runs="first", **evidence)
        lab.set_faults("scribe-1", cut_after=0, runs="resumed")
        for client, _ in asked_streams(lab):
            found = receive(client)
        assert found == Ended(WHOLE[:5], is_cut=bool(evidence), is_framed=False)


def test_a_stream_with_chunks_does_not_get_its_last_one_without_a_proof():
    """A stream that began with chunks went on at an engine that sends none."""
    with two_engines() as lab:
        lab.set_faults("scribe-1", cut_after=5, runs="first")
        lab.set_faults("scribe-0", close_after=2, runs="resumed")
        found = [ended(lab, CHAT, n, shared=f"shared-{n}") for n in range(ATTEMPTS)]
        framed = [one for one in found if one.is_framed]
        assert Ended(WHOLE[:7], is_cut=True, is_framed=True) in framed
        assert all(one.is_cut for one in framed)


def test_a_gateway_that_is_killed_does_not_end_a_stream_in_order():
    """The connections of a killed process are closed in order."""
    with engines(1) as lab:
        lab.set_faults("scribe-0", hang_after=5)
        client, _ = send(lab, CHAT)
        client.head()
        events = client.events()
        assert [next(events).id for _ in WHOLE[:5]] == WHOLE[:5]
        lab.routers["r0"].popen.kill()
        with pytest.raises(IncompleteResponse):
            next(events)


def test_a_stop_ends_streams_without_a_length_in_order():
    """A gateway that stops reset the connections of streams that were whole."""
    with engines(2) as lab:
        clients = [
            send(lab, path, number)[0]
            for number, path in enumerate([CHAT, NON_RESUMABLE_CHAT])
        ]
        heads = [client.head() for client in clients]
        lab.terminate("r0")
        for client, head in zip(clients, heads, strict=True):
            assert head.status == 200 and not head.is_framed
            assert [event.id for event in client.events()] == WHOLE


@pytest.mark.parametrize("path", [CHAT, NON_RESUMABLE_CHAT])
@pytest.mark.parametrize("number", [1, 3])
def test_whole_streams_are_complete(path, number):
    """A router that trusts no such end would cut streams that are whole."""
    with engines(number, budget_slack=4) as lab:
        streams = [stream(lab, path, n) for n in range(ATTEMPTS)]
        assert streams == [(WHOLE, True)] * ATTEMPTS


def test_the_last_engine_exits_between_events():
    """No endpoint was left to ask, and the stream looked complete."""
    with engines(1) as lab:
        lab.set_faults("scribe-0", exit_after=5)
        assert stream(lab, CHAT) == (WHOLE[:5], False)
        wait_for(lambda: "ENDPOINT_CRASHED" in lab.router_logs, "the crash is noticed")


@contextmanager
def two_engines():
    with engines(1) as lab:
        options = {**ENGINE, "framing": "chunked", "service": "scribe", "model": "m"}
        lab.add_replica("scribe-1", **options)
        wait_for(lambda: "scribe-1" in lab.router_logs, "the engine is listed")
        yield lab


def asked_streams(lab, **options):
    """Yield clients and ids of streams until another engine is asked after an end."""
    for number in count():
        assert number < 5 * ATTEMPTS
        client, request = send(lab, CHAT, number, **options)
        yield client, request
        if runs_after_end(lab, request):
            return


@pytest.mark.parametrize("asked", ["close", "chunked"])
def test_a_stream_that_a_living_engine_ends_early_goes_on_elsewhere(asked):
    """An engine closed its connection between two events; it looked like the end."""
    with engines(2) if asked == "close" else two_engines() as lab:
        set_faults(lab, close_after=5, runs="first")
        for client, _ in asked_streams(lab):
            client.head()
            received = [event.id for event in client.events()]
        assert received == WHOLE


@pytest.mark.parametrize(
    "fault",
    [
        {},
        {"fail": 500},
        {"backoff_s": 5},
        {"shed": 1000},
        {"hang": True},
        {"cut_after": 0},
    ],
    ids=lambda fault: "-".join(fault) or "none",
)
def test_a_whole_stream_is_complete_whatever_the_asked_engine_does(fault):
    """Another engine that does not answer says nothing against the first one."""
    with engines(2) as lab:
        set_faults(lab, **fault, runs="resumed")
        for client, _ in asked_streams(lab):
            assert client.head().status == 200
            assert [event.id for event in client.events()] == WHOLE


def test_the_deadline_does_not_cut_a_whole_stream():
    """The deadline passed while another engine was asked, and the stream was cut."""
    with engines(2) as lab:
        set_faults(lab, hang=True, runs="resumed")
        for client, _ in asked_streams(lab, deadline_ms=1000):
            client.head()
            assert [event.id for event in client.events()] == WHOLE


def test_the_asked_engine_stops_when_the_caller_leaves():
    """An engine went on with a stream that nobody waited for."""
    with engines(2) as lab:
        set_faults(lab, hang=True, runs="resumed")
        for client, request in asked_streams(lab):
            client.head()
            events = client.events()
            assert [next(events).id for _ in WHOLE] == WHOLE
            wait_for(lambda r=request: followed(lab, r), "the stream is checked")
            client.close()
        cancelled = partial(runs_after_end, lab, request, cancelled=True)
        wait_for(cancelled, "the run after the end is cancelled")
        assert not logged(lab, request, "FINISHED")


def proof_of(lab, request):
    """Return what showed the end of an answer, as logged once it is finished."""
    wait_for(lambda: logged(lab, request, "FINISHED"), "the answer is finished")
    rows = map(json.loads, lab.router_logs.splitlines())
    return next(
        r["proof"] for r in rows if r.get("request") == request and "proof" in r
    )


@pytest.mark.parametrize(
    ("framing", "path", "proofs"),
    [
        ("chunked", CHAT, {"framing"}),
        ("close", NON_RESUMABLE_CHAT, {"none"}),
        ("close", CHAT, {"none", "confirmed"}),
    ],
)
def test_the_log_names_what_showed_the_end_of_a_stream(framing, path, proofs):
    """Lines did not tell an end that nothing proves from one that was confirmed."""
    options = {**ENGINE, "framing": framing}
    found = set()
    with PlatformLab(PlatformShape(plain=0, engines=2, engine_options=options)) as lab:
        for number in range(ATTEMPTS):
            client, request = send(lab, path, number)
            client.head()
            assert [event.id for event in client.events()] == WHOLE
            found.add(proof_of(lab, request))
    assert found and found <= proofs


def runs_after_end(lab, request, **fields):
    rows = [row for row in lab.runs(request) if row["last_event_id"]]
    return [row for row in rows if fields.items() <= row.items()]


def logged(lab, request, event):
    lines = lab.router_logs.splitlines()
    return any(request in line and event in line for line in lines)


def followed(lab, request):
    """Whether a stream has ended at the router, or another engine is asked about it."""
    return logged(lab, request, "FINISHED") or runs_after_end(lab, request)


def answers(lab, path, number):
    """Return the answers to requests sent at once; None if one looks incomplete."""
    clients = [lab.client() for _ in range(number)]
    for position, client in enumerate(clients):
        client.send(path, b"%d" % position, key=KEY)
    for client in clients:
        try:
            yield client.answer()
        except IncompleteResponse:
            yield None


@pytest.mark.parametrize("status", [0, 404, 500])
@pytest.mark.parametrize("path", [SAFE, UNSAFE])
def test_an_answer_whose_process_exits_is_not_passed_on(services, path, status):
    """Half of a body without a length was passed on with a Content-Length."""
    services.set_faults("app-0", unframed="exit", fail=status)
    received = list(answers(services, path, number=6))
    wait_for(lambda: services.crashed_replicas == ["app-0"], "it has exited")
    good = [answer for answer in received if answer and answer.status == 200]
    for answer in good:
        assert json.loads(answer.body)["id"] == answer.id
    failed = [answer for answer in received if answer not in good]
    assert bool(failed) == (path == UNSAFE)
    assert all(answer is None or answer.status == 502 for answer in failed)


@pytest.mark.parametrize("path", [SAFE, UNSAFE])
@pytest.mark.parametrize("status", [0, 404])
def test_half_of_a_plain_answer_is_not_framed(services, path, status):
    """A service that lives closed an answer early, and a Content-Length was added."""
    set_faults(services, unframed="early", fail=status)
    answer = services.ask(path)
    assert answer.status == (status or 200) and not answer.is_framed
    with pytest.raises(json.JSONDecodeError):
        json.loads(answer.body)


PADDING = 6_000_000


def large_answer(lab):
    """Return a client that has read the head of a large answer without a length."""
    set_faults(lab, unframed="close", padding=PADDING)
    client = lab.client()
    client.send(SAFE, key=KEY)
    assert not client.head().is_framed
    return client


def test_a_gateway_that_is_killed_does_not_end_a_large_answer_in_order(own_services):
    """The connections of a killed process are closed in order."""
    client = large_answer(own_services)
    own_services.routers["r0"].popen.kill()
    with pytest.raises(IncompleteResponse):
        list(client.pieces())


def test_a_large_answer_without_a_length_is_whole_though_the_gateway_stops(
    own_services,
):
    """The end of the gateway reset a connection whose caller had not read it all."""
    client = large_answer(own_services)
    own_services.terminate("r0")
    body = b"".join(client.pieces())
    assert body.endswith(b" " * PADDING) and json.loads(body)["target"] == SAFE


@pytest.mark.parametrize("path", [SAFE, UNSAFE])
@pytest.mark.parametrize("status", [200, 404, 500])
def test_a_whole_answer_without_a_length_is_passed_on(services, path, status):
    """The same check must not turn whole answers and errors into failures."""
    set_faults(services, unframed="close", fail=status)
    for _ in range(ATTEMPTS):
        answer = services.ask(path)
        assert answer.status == status and json.loads(answer.body)["id"] == answer.id
        assert not answer.is_framed


@pytest.mark.parametrize("path", [SAFE, UNSAFE])
@pytest.mark.parametrize("deadline_ms", [1000, 20_000])
def test_a_whole_answer_is_passed_on_though_reports_are_late(
    services, path, deadline_ms
):
    """Whole answers were lost as an endpoint did not answer a check in time."""
    set_faults(services, unframed="close", report_delay_s=30)
    answer = services.ask(path, deadline_ms=deadline_ms)
    assert answer.status == 200 and json.loads(answer.body)["id"] == answer.id


@pytest.mark.parametrize("path", [CHAT, NON_RESUMABLE_CHAT])
def test_a_whole_stream_is_complete_though_reports_are_late(path):
    """Whole streams were cut since an endpoint did not answer a check in time."""
    with engines(1) as lab:
        set_faults(lab, report_delay_s=5)
        assert stream(lab, path) == (WHOLE, True)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (Response(200, (), b'{"born": 7}'), True),
        (Response(200, (), b'{"born": 8}'), False),
        (Response(200, ((REPLICA_ID, "f"),), b""), False),
        (Response(421, (), b""), False),
        (Response(200, (), b"no JSON"), True),
        (Response(404, (), b""), True),
        (Failure(FailureKind.CONNECT, False, "refused"), False),
        (Failure(FailureKind.TIMEOUT, True, "no answer"), False),
    ],
)
def test_only_an_answer_of_the_same_start_shows_that_it_lives(answer, expected):
    """A later start at the same address says nothing about an answer before."""
    endpoint = ListedEndpoint("e", "s", "127.0.0.1", 1, "z", born=7)
    assert is_alive(answer, endpoint) is expected
    # An endpoint that has stated its start has to state it again.
    proves = getattr(answer, "body", b"") == b'{"born": 7}'
    assert is_alive(answer, endpoint, states_start=True) is proves


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([["r", 10, 3, 0]], True),
        ([["q", 10, 3, 0], ["r"]], True),
        ([["q", 10, 3, 0]], False),
        ([], False),
        ("r", False),
        ([None, 7, "r", {"r": 1}, [["r"]], []], False),
        (None, False),
    ],
)
def test_a_report_that_can_not_be_read_lists_no_run(runs, expected):
    """Another form of the list raised an error, or told of a run that had ended."""
    assert lists_run(Response(200, (), json.dumps({"runs": runs}).encode()), "r") is (
        expected
    )
    assert not lists_run(Response(200, (), b"[" * 100_000), "r")


def trickle(conn, _number):
    """Answer with a report that never ends, a byte at a time."""
    conn.request()
    conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
    while True:
        conn.send(b" ")
        sleep(0.05)


def test_a_check_ends_though_its_answer_goes_on():
    """A report that came a byte at a time held a request until its deadline."""
    loop, peer, found = Loop(), FakePeer(trickle), []
    loop.thread.start()
    endpoint = ListedEndpoint("e", "s", "127.0.0.1", peer.port, "z")
    check = EndCheck(
        endpoint,
        "r",
        found.append,
        on_other_start=pytest.fail,
        states_start=False,
        pool=loop.pool,
        timers=loop.timers,
    )
    with closing(loop), closing(peer):
        loop.call(check.start)
        assert wait_until(lambda: found) == [EndFinding.UNKNOWN]
        assert not loop.pool._active


def end_connection(conn, _number):
    """Accept connections as a proxy does in front of a process that has ended."""
    conn.request()


def test_a_connection_that_ends_without_a_report_is_no_answer_that_came_late():
    """A stream was complete whose engine had crashed behind a proxy that accepts."""
    loop, peer, found = Loop(), FakePeer(end_connection), []
    loop.thread.start()
    check = EndCheck(
        ListedEndpoint("e", "s", "127.0.0.1", peer.port, "z"),
        "r",
        found.append,
        on_other_start=pytest.fail,
        states_start=False,
        pool=loop.pool,
        timers=loop.timers,
    )
    with closing(loop), closing(peer):
        loop.call(check.start)
        assert wait_until(lambda: found) == [EndFinding.CUT]


def test_a_start_that_its_entry_does_not_name_lives():
    """The first whole answer of such an endpoint was lost, as its check stated one."""
    endpoint = ListedEndpoint("e", "s", "127.0.0.1", 1, "z", version="v1")
    assert is_alive(Response(200, (), b'{"born": 7}'), endpoint)


def test_checks_leave_half_of_the_retry_budget_to_failures():
    """Streams that ended well used up the retries of those that failed."""
    budget = FleetRetryBudget(ratio=0.1, slack=20, window_s=10)
    budget.refilled_at = 0.0
    spare = sum(budget.take_spare(20.0, 1) for _ in range(100))
    failures = sum(budget.take(20.0, 1) for _ in range(100))
    assert (spare, failures) == (4, 4)
