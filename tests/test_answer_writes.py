"""Number of writes to the caller that a streamed answer takes."""

from contextlib import closing
from functools import partial
from threading import Event

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.net._caller_conn import CallerConnection
from greengageflow.net._caller_parts import BodyBudget, Limits
from greengageflow.net.endpoint_attempt import EndpointAttempt
from greengageflow.net.http_messages import Failure, HttpRequest
from greengageflow.net.reply import Reply
from greengageflow.platform.answers import interpret_answer
from greengageflow.platform.names import REQUEST_ID, RESPONSE_SEAL

HEAD = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
    + f"{REQUEST_ID}: r\r\n{RESPONSE_SEAL}: e.1\r\n\r\n".encode()
)
EVENT = b"id: %d\ndata: x\n\n"
END = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class RecordingLink:
    """A caller's socket that keeps what each write sends."""

    def __init__(self):
        self.writes = []
        self.is_finished = False

    def send(self, data):
        self.writes.append(data)

    def set_reading(self, enabled):
        pass

    def finish(self):
        self.is_finished = True

    def set_reset_on_close(self, enabled):
        pass


class StreamingHandler:
    def on_call(self, call):
        self.reply = call


class RawInterface:
    def check_target(self, method, path):
        pass

    def parse_call(self, request, reply):
        return reply

    retry_after = staticmethod(str)


class StartedCall:
    """A caller's connection whose request waits for its answer."""

    def __init__(self, request=b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"):
        self.link, self._handler, limits = RecordingLink(), StreamingHandler(), Limits()
        self.conn = CallerConnection(
            self.link, self._handler, lambda: limits, BodyBudget(1000), RawInterface()
        )
        self.conn.receive(request)
        assert isinstance(self.reply, Reply)

    @property
    def reply(self):
        """Reply to the newest request."""
        return self._handler.reply


def started_call():
    """Return the writes of a caller's connection and the reply to its request."""
    call = StartedCall()
    return call.link.writes, call.reply


def test_the_first_event_is_written_with_the_head():
    """A write of its own for the head cost as much as the first event itself."""
    writes, reply = started_call()
    reply.begin(200, (), EVENT % 1)
    [first] = writes
    assert first.startswith(b"HTTP/1.1 200 OK\r\n")
    assert first.endswith(b"\r\n\r\n" + chunk(EVENT % 1))


def test_a_head_without_an_event_is_written_at_once():
    """An empty first chunk would end the answer."""
    writes, reply = started_call()
    reply.begin(200, ())
    reply.send_chunk(EVENT % 1)
    reply.finish(EVENT % 2)
    head, *rest = writes
    assert head.endswith(b"\r\n\r\n") and head.count(b"\r\n\r\n") == 1
    assert rest == [chunk(EVENT % 1), chunk(EVENT % 2) + END]


class Listener:
    """Keeps the calls of an attempt."""

    def __init__(self):
        self.calls = []

    def on_head(self, attempt):
        pass

    def on_events(self, attempt, frames):
        self.calls.append((len(frames), attempt.at_last_events))

    def on_end(self, attempt):
        self.calls.append("end")

    def on_failure(self, attempt, failure):
        self.calls.append(failure)


def calls_for(*reads):
    """Return the calls of an attempt whose endpoint's answer takes several reads."""
    listener = Listener()
    turns = [Event() for _ in reads]

    def script(conn, _number):
        conn.sock.recv(1000)
        for data, turn in zip(reads, turns, strict=True):
            turn.wait(20)
            conn.send(data)

    with closing(Loop()) as loop:
        loop.thread.start()
        peer = FakePeer(script)
        attempt = EndpointAttempt(
            loop.pool,
            HttpRequest("GET", "127.0.0.1", peer.port, "/"),
            ListedEndpoint("e", "s", "127.0.0.1", peer.port, "z"),
            partial(interpret_answer, request_id="r"),
            stream=True,
            listener=listener,
        )
        loop.call(attempt.start)
        for number, turn in enumerate(turns, 1):
            turn.set()
            wait_for(lambda n=number: len(listener.calls) >= n)
        wait_for(lambda: not isinstance(listener.calls[-1], tuple))
    return listener.calls


@pytest.mark.parametrize("last_events", [1, 3])
def test_only_events_read_with_the_end_wait_for_it(last_events):
    """Events are forwarded as they arrive; the last ones go into the write of the end
    only if the end was received in the same read."""
    last = b"".join(EVENT % number for number in range(2, 2 + last_events))
    reads = (HEAD + chunk(EVENT % 1), chunk(last) + END)
    assert calls_for(*reads) == [(1, False), (last_events, True), "end"]
    reads = (HEAD + chunk(EVENT % 1), chunk(last), END)
    assert calls_for(*reads) == [(1, False), (last_events, False), "end"]


def test_events_before_an_incomplete_one_do_not_wait_for_the_end():
    """No regular end follows: the whole events before it would be lost."""
    cut = chunk(EVENT % 2 + b"id: 3\nda")
    first, second, failure = calls_for(HEAD + chunk(EVENT % 1), cut + END)
    assert (first, second) == ((1, False), (1, False))
    assert isinstance(failure, Failure)
