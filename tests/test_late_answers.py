"""Second answers that arrive when the connection carries the next request."""

import json
from contextlib import closing
from struct import pack
from urllib.parse import parse_qs, urlsplit

import pytest
from http_fakes import FakePeer, Loop, wait_for

from greengageflow.daemon.shared_topic import SharedTopic
from greengageflow.daemon.topic_follower import TopicFollower
from greengageflow.net.http_messages import Response
from greengageflow.net.service_client import ServiceAnswer, ServiceRequest, call_service
from greengageflow.platform.names import LOG_APPEND, LOG_NEWEST, LOG_READ

KEYS = [f"k{number}" for number in range(6)]
PAGE = 2


@pytest.fixture
def loop():
    with closing(Loop()) as loop:
        loop.thread.start()
        yield loop


def peer(answer, path=""):
    """Serve requests; send each answer again once the next request has arrived.

    Args:
        answer: Returns the answer to a request.
        path: Only answers to requests with this text are sent again.
    """

    def script(conn, _number):
        late = b""
        while True:
            request = conn.request().decode()
            conn.send(late)
            sent = answer(request)
            conn.send(sent)
            late = sent if path in request else b""

    return FakePeer(script)


def response(body, headers=""):
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
        headers.encode(),
        len(body),
        body,
    )


def record(key):
    return pack(">IB", 1 + len(key), len(key)) + key.encode()


class Store:
    """Answers calls of one topic."""

    def __init__(self):
        self.appended = 0

    def answer(self, request):
        target = urlsplit(request.split()[1])
        if target.path == LOG_NEWEST:
            return response(json.dumps({"items": [], "end": 0}).encode())
        if target.path == LOG_APPEND:
            self.appended += 1
            body = {"offset": self.appended - 1, "end": self.appended}
            return response(json.dumps(body).encode())
        start = int(parse_qs(target.query)["from"][0])
        page = b"".join(map(record, KEYS[start : start + PAGE]))
        return response(pack(">QQ", len(KEYS), 0) + page)


class Listener:
    def __init__(self):
        self.records, self.confirmed = [], 0

    def on_snapshot(self, records):
        self.records = list(records)

    def on_records(self, records):
        self.records += records

    def on_confirmed(self, _at):
        self.confirmed += 1

    def on_read_failed(self, text):
        raise AssertionError(text)


def test_a_late_page_of_the_log_is_not_taken_for_the_next_one(loop):
    """Records were applied twice, as later ones, and the last ones never."""
    listener = Listener()
    with closing(peer(Store().answer, LOG_READ)) as store:
        follower = TopicFollower(
            loop.pool,
            loop.timers,
            ("127.0.0.1", store.port),
            "keyed.t",
            listener,
            clock=lambda: 0.0,
        )
        loop.call(follower.read)
        wait_for(lambda: listener.confirmed == 1)
        loop.call(follower.read)
        wait_for(lambda: listener.confirmed == 2)
    assert [(row.key, row.offset) for row in listener.records] == [
        (key, offset) for offset, key in enumerate(KEYS)
    ]


def test_a_late_acknowledgement_is_not_taken_for_that_of_the_next_append(loop):
    """A value counted as written before the store had received it."""
    done = []
    with closing(peer(Store().answer)) as store:
        topic = SharedTopic(loop.pool, ("127.0.0.1", store.port), "keyed.t")
        for number in range(3):
            loop.call(lambda: topic.put("k", b"v", done.append))
            wait_for(lambda n=number: len(done) > n)
    assert all(isinstance(row, Response) for row in done)
    assert [row.json()["offset"] for row in done] == [0, 1, 2]


@pytest.mark.parametrize("echo", ["X-Request-Id: id-{}", "X-Request-Id: other", ""])
def test_a_late_answer_of_a_service_is_not_taken_for_that_of_the_next_request(
    loop, echo
):
    """A caller got the answer to another one's request."""

    def answer(request):
        target = request.split()[1]
        header = echo.format(target[1:])
        return response(target.encode(), f"{header}\r\n" if header else "")

    done = []
    with closing(peer(answer)) as service:
        for number in range(3):
            request = ServiceRequest(
                "127.0.0.1", service.port, "GET", f"/{number}", f"id-{number}"
            )
            loop.call(lambda r=request: call_service(loop.pool, r, done.append))
            wait_for(lambda n=number: len(done) > n)
        assert len(service.sources) == (1 if "id-" in echo else 3)
    assert all(isinstance(row, ServiceAnswer) for row in done)
    assert [row.body for row in done] == [b"/0", b"/1", b"/2"]
