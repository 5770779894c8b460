import json
from contextlib import closing
from dataclasses import replace

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.errors import Ran
from greengageflow.net._sse import EventStream
from greengageflow.net.engine_client import (
    Completed,
    Cut,
    EngineCall,
    EngineRequest,
    Refused,
    Unreachable,
    Usage,
)
from greengageflow.net.service_client import ServiceAnswer, ServiceRequest, call_service

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"
USAGE = {"prompt_tokens": 3, "completion_tokens": 2}


@pytest.fixture
def loop():
    with closing(Loop()) as loop:
        loop.thread.start()
        yield loop


def event(seq, *, id_="r1", last=False):
    document = {
        "id": id_,
        "seq": seq,
        "choices": [
            {
                "index": 0,
                "delta": {"content": f"{'t' if id_ == 'r1' else 'x'}{seq}"},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        document["usage"] = USAGE
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Listener:
    def __init__(self):
        self.text = ""
        self.raw = b""
        self.ends = []

    def on_pieces(self, pieces):
        self.text += "".join(piece.content for piece in pieces)
        self.raw += b"".join(piece.raw for piece in pieces)

    def on_end(self, end):
        self.ends.append(end)


def run(loop, script, *, stream=True, **options):
    peer = FakePeer(script)
    body = {"model": "m", "stream": stream}
    request = EngineRequest("127.0.0.1", peer.port, "r1", body, **options)
    listener = Listener()
    call = EngineCall(loop.pool, loop.timers, request, listener)
    loop.call(call.start)
    wait_for(lambda: listener.ends)
    loop.call(lambda: None)
    assert len(listener.ends) == 1
    return call, listener, peer


def stream_script(*parts, then_wait=False):
    """Return a script that sends the nth part on the nth connection."""

    def script(conn, number):
        conn.request()
        conn.send(parts[min(number, len(parts) - 1)])
        if then_wait:
            conn.wait_closed()

    return script


COMPLETE_STREAM = (
    CHUNKED + chunk(event(0) + event(1, last=True)) + chunk(DONE) + b"0\r\n\r\n"
)


def test_stream_is_forwarded_unchanged(loop):
    call, listener, peer = run(
        loop, stream_script(COMPLETE_STREAM), traceparent="00-a-b-01"
    )
    assert listener.text == "t0t1"
    assert listener.raw == event(0) + event(1, last=True)
    end = listener.ends[0]
    assert (end.usage, end.ran) == (Usage(3, 2), Ran.YES)
    assert call.first_piece_s is not None
    assert b"X-Request-Id: r1\r\ntraceparent: 00-a-b-01" in peer.requests[0]


def test_events_do_not_depend_on_reads():
    text = event(0) + b": comment\r\n\r\n" + b"data: a\r\ndata:b\r\n\r\n" + DONE
    whole = [item.data for item in EventStream().feed(text)]
    stream = EventStream()
    single = [
        item.data for i in range(len(text)) for item in stream.feed(text[i : i + 1])
    ]
    assert single == whole == [event(0)[6:-2], b"a\nb", b"[DONE]"]


def test_foreign_and_duplicate_pieces_are_dropped(loop):
    """The caller must get each piece of its own response exactly once.

    The engine sends pieces of another request, a duplicate and a late piece. They are
    dropped and counted, and the stream continues.
    """
    mixed = event(0, id_="r2") + event(0) + event(0) + event(1, id_="r2")
    mixed += event(1) + event(0)
    text = CHUNKED + chunk(mixed + event(2, last=True) + DONE) + b"0\r\n\r\n"
    call, listener, _ = run(loop, stream_script(text))
    assert listener.text == "t0t1t2"
    assert isinstance(listener.ends[0], Completed)
    assert call.dropped == 4


TRUNCATED_STREAMS = {
    "connection": chunk(event(0)),
    "gap": chunk(event(0) + event(2)),
    "end without last piece": chunk(event(0)) + b"0\r\n\r\n",
    "mark without last piece": chunk(event(0) + DONE) + b"0\r\n\r\n",
    "last piece without mark": chunk(event(0)) + chunk(event(1, last=True)),
    "unreadable": chunk(event(0) + b"data: {]\n\n"),
    "wrong types": chunk(event(0) + b'data: {"id": "r1", "seq": null}\n\n'),
    "error event": chunk(event(0) + b'data: {"error": "gone"}\n\n'),
}


@pytest.mark.parametrize("name", TRUNCATED_STREAMS)
def test_truncated_stream_is_never_complete(loop, name):
    """A truncated or invalid stream must be reported as cut and as run.

    The stream breaks off, skips a piece, or lacks the last piece or the end marker.
    """
    _, listener, _ = run(loop, stream_script(CHUNKED + TRUNCATED_STREAMS[name]))
    assert isinstance(listener.ends[0], Cut)
    assert listener.ends[0].ran is Ran.YES
    assert listener.text.startswith("t0")
    assert "t2" not in listener.text


@pytest.mark.parametrize("name", TRUNCATED_STREAMS)
def test_truncated_stream_is_resumed_at_the_next_piece(loop, name):
    """An interrupted stream must be resumed at the next piece.

    The engine cuts the stream after the first pieces; the client resumes from the next
    one and drops a piece that the second stream repeats.
    """
    pieces = [event(0), event(1), event(2, last=True)]
    if name == "last piece without mark":
        pieces = [event(0), event(1, last=True)]

    def script(conn, number):
        request = conn.request()
        if not number:
            conn.send(CHUNKED + TRUNCATED_STREAMS[name])
            return
        start = int(request.partition(b"X-Resume-From: ")[2].split()[0])
        rest = pieces[start:] or pieces[-1:]
        conn.send(CHUNKED + chunk(b"".join(rest + rest[:1]) + DONE) + b"0\r\n\r\n")

    call, listener, peer = run(loop, script, resumes=True)
    assert isinstance(listener.ends[0], Completed)
    assert listener.text in ("t0t1t2", "t0t1")
    assert call.resumed == 1
    assert b"X-Resume-From: " in peer.requests[1]
    assert b"X-Resume-From: " not in peer.requests[0]


def release(name, *parts):
    return (
        HEAD
        + b"X-Engine-Release: %b\r\nTransfer-Encoding: chunked\r\n\r\n" % name
        + b"".join(map(chunk, parts))
    )


@pytest.mark.parametrize(
    ("first", "second", "text", "end"),
    [
        (b"v1", b"v1", "t0t1", Completed),
        (b"v1", b"v2", "t0", Cut),
        (b"v1", b"", "t0", Cut),
        (b"", b"v2", "t0", Cut),
    ],
)
def test_pieces_of_another_release_are_not_joined(loop, first, second, text, end):
    """An engine that was upgraded behind its address went on with a cut stream."""
    cut, rest = release(first, event(0)), release(second, event(1, last=True), DONE)
    _, listener, _ = run(loop, stream_script(cut, rest + b"0\r\n\r\n"), resumes=True)
    assert (listener.text, type(listener.ends[0])) == (text, end)
    assert listener.ends[0].ran is Ran.YES


@pytest.mark.parametrize("name", [b"v1", b""])
def test_pieces_of_a_run_that_an_engine_began_again_are_not_joined(loop, name):
    """An engine that had started again in place ran the request once more."""
    cut = release(name, event(0), event(1))
    again = release(name, event(0), event(1), event(2, last=True), DONE)
    _, listener, peer = run(
        loop, stream_script(cut, again + b"0\r\n\r\n"), resumes=True
    )
    assert (listener.text, type(listener.ends[0])) == ("t0t1", Cut)
    assert listener.ends[0].ran is Ran.YES and len(peer.requests) == 2


def test_a_stream_without_pieces_may_begin_anew_at_another_release(loop):
    cut, whole = release(b"v1"), release(b"v2", event(0, last=True), DONE)
    _, listener, _ = run(loop, stream_script(cut, whole + b"0\r\n\r\n"), resumes=True)
    assert (listener.text, type(listener.ends[0])) == ("t0", Completed)


def test_resumption_stops_after_tries_without_progress(loop):
    parts = CHUNKED + chunk(event(0)), CHUNKED
    _, listener, peer = run(loop, stream_script(*parts), resumes=True, resume_tries=2)
    assert isinstance(listener.ends[0], Cut)
    assert len(peer.requests) == 3


def test_resumption_is_retried_when_the_engine_is_busy(loop):
    busy = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
    rest = CHUNKED + chunk(event(1, last=True) + DONE) + b"0\r\n\r\n"
    parts = (CHUNKED + chunk(event(0)), busy, rest)
    call, listener, _ = run(loop, stream_script(*parts), resumes=True)
    assert isinstance(listener.ends[0], Completed)
    assert (listener.text, call.resumed) == ("t0t1", 2)


def test_late_copy_of_a_rejection_does_not_answer_the_next_resumption(loop):
    """Resumptions carry the same id, so each needs a connection of its own."""
    busy = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
    rest = CHUNKED + chunk(event(1, last=True) + DONE) + b"0\r\n\r\n"

    def script(conn, number):
        conn.request()
        conn.send((CHUNKED + chunk(event(0)), busy, rest)[number])
        if number == 1:
            conn.request()
            conn.send(busy)

    _, listener, peer = run(loop, script, resumes=True, resume_tries=2)
    assert isinstance(listener.ends[0], Completed)
    assert len(peer.sources) == 3


@pytest.mark.parametrize("stream", [True, False])
def test_late_copy_of_a_rejection_does_not_reject_the_next_request(loop, stream):
    """The caller was told that its request had not run, while the engine ran it."""
    busy = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
    whole = json.dumps({"id": "r1", "choices": [{}]}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole)
    if stream:
        answer = COMPLETE_STREAM

    def script(conn, number):
        if not number:
            conn.request()
            conn.send(busy)
            conn.request()
            conn.send(busy)
        else:
            conn.request()
        conn.send(answer)

    _, listener, peer = run(loop, script, stream=stream)
    assert isinstance(listener.ends[0], Refused)
    request = EngineRequest("127.0.0.1", peer.port, "r1", {"stream": stream})
    again = Listener()
    call = EngineCall(loop.pool, loop.timers, request, again)
    loop.call(call.start)
    wait_for(lambda: again.ends)
    assert isinstance(again.ends[0], Completed)


def test_slow_caller_does_not_hold_the_engine_connection(loop):
    """A complete response must free its connection even if the caller is slow.

    The listener pauses at the last pieces and never resumes; the end of the HTTP
    response, which arrives later, must still be read.
    """

    def script(conn, _number):
        conn.request()
        conn.send(CHUNKED + chunk(event(0, last=True)) + chunk(DONE))
        wait_for(lambda: listener.ends)
        conn.send(b"0\r\n\r\n")
        conn.wait_closed()

    class Slow(Listener):
        def on_pieces(self, pieces):
            call.pause()

    listener = Slow()
    port = FakePeer(script).port
    request = EngineRequest("127.0.0.1", port, "r1", {"stream": True})
    call = EngineCall(loop.pool, loop.timers, request, listener)
    loop.call(call.start)
    wait_for(lambda: (len(loop.pool._active), len(loop.pool._idle)) == (0, 1))


def invalid_piece(seq):
    return b'data: {"id": "r1", "seq": %b, "choices": [{"delta": {}}]}\n\n' % seq


@pytest.mark.parametrize(
    "seq",
    [b"1e999", b"NaN", b"7" * 5000, b'"%b"' % (b"7" * 5000), b"[" * 5000 + b"]" * 5000],
    ids=["infinite", "nan", "long", "long-text", "nested"],
)
def test_piece_with_an_unusable_number_ends_the_stream_as_cut(loop, seq):
    """Such numbers raise other exceptions than ``ValueError``."""
    _, listener, _ = run(loop, stream_script(CHUNKED + chunk(invalid_piece(seq))))
    assert isinstance(listener.ends[0], Cut)


def test_rejection_after_a_lost_answer_is_marked(loop):
    """The engine may have run the request that was sent on the kept connection."""

    def script(conn, number):
        conn.request()
        if number == 0:
            conn.send(COMPLETE_STREAM)
            conn.request()
        else:
            conn.send(REFUSED % b"503 Busy")

    peer = FakePeer(script)
    request = EngineRequest("127.0.0.1", peer.port, "r1", {"stream": True})
    for end, was_sent_before in ((Completed, False), (Refused, True)):
        listener = Listener()
        call = EngineCall(loop.pool, loop.timers, request, listener)
        loop.call(call.start)
        wait_for(lambda one=listener: one.ends)
        assert isinstance(listener.ends[0], end)
        assert call.was_sent_before is was_sent_before
        wait_for(lambda: not loop.pool._active)


REFUSED = b"HTTP/1.1 %b\r\nRetry-After: 7\r\nContent-Length: 4\r\n\r\nbusy"


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    ("status", "ran"),
    [
        (b"429 Busy", Ran.NO),
        (b"503 Down", Ran.NO),
        (b"500 Broken", Ran.UNKNOWN),
        (b"409 Conflict", Ran.UNKNOWN),
    ],
)
def test_only_certain_statuses_mean_not_run(loop, stream, status, ran):
    _, listener, _ = run(loop, stream_script(REFUSED % status), stream=stream)
    end = listener.ends[0]
    assert end.ran is ran
    if ran is Ran.NO:
        assert isinstance(end, Refused)
        assert end.retry_after_s == 7
        assert "busy" in end.message


@pytest.mark.parametrize("stream", [True, False])
def test_connect_failure_means_not_run(loop, stream):
    body = {"model": "m", "stream": stream}
    request = EngineRequest("127.0.0.1", 1, "r1", body, resumes=True)
    listener = Listener()
    loop.call(EngineCall(loop.pool, loop.timers, request, listener).start)
    wait_for(lambda: listener.ends)
    assert isinstance(listener.ends[0], Unreachable)


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        ({"id": "r1", "choices": [{}], "usage": USAGE}, Completed),
        ({"id": "r2", "choices": [{}], "usage": USAGE}, Cut),
        ({"id": "r1", "choices": []}, Cut),
        ([], Cut),
    ],
)
def test_unstreamed_response_must_match_the_request(loop, answer, kind):
    def script(conn, _number):
        conn.request()
        conn.answer(json.dumps(answer).encode())

    _, listener, _ = run(loop, script, stream=False)
    assert isinstance(listener.ends[0], kind)


def test_cancel_closes_the_stream_and_notifies_the_engine(loop):
    """The engine must stop generating when the caller has disconnected.

    The call is cancelled in the middle of the stream: its connection is closed, and a
    cancel request follows for an engine that would wait for a resumption.
    """
    log = []

    def script(conn, number):
        conn.request()
        if number == 0:
            conn.send(CHUNKED + chunk(event(0)))
            conn.wait_closed()
            log.append("closed")
        else:
            conn.answer(b"{}")

    peer = FakePeer(script)
    request = EngineRequest("127.0.0.1", peer.port, "r1", {"stream": True})
    listener = Listener()
    call = EngineCall(loop.pool, loop.timers, request, listener)
    loop.call(call.start)
    wait_for(lambda: listener.text)
    loop.call(call.cancel)
    wait_for(lambda: log and len(peer.requests) == 2)
    assert peer.requests[1].startswith(b"POST /cancel ")
    assert peer.requests[1].endswith(b'{"id": "r1"}')
    assert not listener.ends


def test_service_call_forwards_only_end_to_end_headers(loop):
    def script(conn, _number):
        conn.request()
        conn.answer(
            b"\x00\xff", "418 Tea", "X-A: \xe9\r\nConnection: x-b\r\nX-B: 1\r\n"
        )

    peer = FakePeer(script)
    headers = (
        ("authorization", "Bearer secret"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-kept", "\xe9"),
        ("content-length", "987"),
        ("host", "other"),
    )
    request = ServiceRequest(
        "127.0.0.1", peer.port, "PUT", "/a?b=c", "r1", headers, b"\x01"
    )
    done = []
    loop.call(lambda: call_service(loop.pool, request, done.append))
    wait_for(lambda: done)
    assert done == [ServiceAnswer(418, (("x-a", "\xc3\xa9"),), b"\x00\xff")]
    sent = peer.requests[0].lower()
    assert sent.startswith(b"put /a?b=c http/1.1\r\n")
    assert b"x-kept: \xe9\r\n" in sent
    for name in (b"secret", b"x-hop", b"987", b"other"):
        assert name not in sent


def test_protected_service_call_uses_a_new_connection():
    request = ServiceRequest("127.0.0.1", 1, "POST", "/", "r1")
    assert request.to_http().retry_stale
    assert not replace(request, protected=True).to_http().retry_stale
