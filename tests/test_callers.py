import json
from contextlib import closing

import pytest
from caller_server import (
    CHAT,
    CHUNKED,
    GET,
    POST,
    Server,
    chat,
    closing_headers,
    error_body,
    post,
)
from http_fakes import wait_for
from hypothesis import given, settings
from hypothesis import strategies as st

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.callers import ChatCall, StatusCall
from greengageflow.net.calls import canonical_path
from greengageflow.net.chat import parse_chat


@pytest.fixture(scope="module")
def shared():
    with closing(Server()) as server:
        yield server


@pytest.fixture
def server(shared):
    shared.handler.calls.clear()
    shared.handler.disconnected.clear()
    shared.handler.error = None
    return shared


def test_a_chat_call_is_typed(server):
    trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    caller = server.caller()
    caller.send(
        chat(
            "Authorization: bearer KEY",
            "Idempotency-Key: k1",
            f"Traceparent: {trace}",
            "X-Deadline-S: 2.5",
            max_tokens=77,
        )
    )
    call = wait_for(lambda: server.handler.calls)[0]
    assert call == ChatCall(
        account_key="KEY",
        model="m",
        stream=False,
        body=CHAT | {"max_tokens": 77},
        cost_hint=77.0,
        idempotency_key="k1",
        traceparent=trace,
        deadline_s=2.5,
        reply=call.reply,
    )
    server.loop.call(lambda: call.reply.json(200, {"a": 1}))
    assert caller.until(b'{"a": 1}').startswith(b"HTTP/1.1 200 OK\r\n")


BAD_CHATS = {
    "body": b"{",
    "body: not valid": b'{"a": NaN}',
    "body: must": b"[]",
    "nested": b"[" * 900,
    "model": CHAT | {"model": 3},
    "model: must not": CHAT | {"model": ""},
    "messages": CHAT | {"messages": []},
    "messages[0]": CHAT | {"messages": ["hi"]},
    "messages[1].role": CHAT | {"messages": [CHAT["messages"][0], {"content": "x"}]},
    "messages[0].content": CHAT | {"messages": [{"role": "user", "content": 1}]},
    "stream": CHAT | {"stream": "yes"},
    "max_tokens": CHAT | {"max_tokens": 0},
    "max_tokens: must": CHAT | {"max_tokens": True},
}


@pytest.mark.parametrize("field", BAD_CHATS)
def test_a_bad_chat_body_names_its_field(server, field):
    answer = server.request(
        post("/v1/chat/completions", BAD_CHATS[field], *closing_headers())
    )
    assert answer.startswith(b"HTTP/1.1 400 ")
    error = error_body(answer)
    assert (error["kind"], error["ran"]) == ("bad_request", "no")
    assert field.split(":")[0] in error["message"] or field == "nested"
    assert not server.handler.calls


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*CHAT, "role", "stream"]), inner)
    ),
)


@settings(max_examples=60)
@given(st.binary(max_size=40) | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_chat_body_is_accepted_or_rejected(body):
    try:
        parse_chat(body)
    except RouterError as exc:
        assert exc.kind is ErrorKind.BAD_REQUEST


BAD_REQUESTS = {
    "unknown path": (post("/nope", b"", *closing_headers()), 404),
    "method": (post("/healthz", b"", *closing_headers()), 405),
    "odd method": (post("/services/a/b", b"", *closing_headers(), method="TRACE"), 405),
    "dot segment": (post("/services/a/x/%2e%2e/b", b"", *closing_headers()), 400),
    "broken escape": (post("/services/a/%zz", b"", *closing_headers()), 400),
    "deadline": (
        post("/services/a/b", b"", *closing_headers("X-Deadline-S: nan")),
        400,
    ),
    "cost": (post("/services/a/b", b"", *closing_headers("X-Cost-Hint: -1")), 400),
    "key": (post("/services/a/b", b"", *closing_headers("Idempotency-Key: a b")), 400),
    "two keys": (
        post(
            "/services/a/b",
            b"",
            *closing_headers("Idempotency-Key: a", "Idempotency-Key: b"),
        ),
        400,
    ),
    "length not a number": (POST + b"Content-Length: abc\r\n\r\n", 400),
    "negative length": (POST + b"Content-Length: -5\r\n\r\n", 400),
    "two lengths": (
        POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        400,
    ),
    "length and chunks": (
        POST + b"Content-Length: 2\r\n" + CHUNKED + b"\r\n0\r\n\r\n",
        400,
    ),
    "negative chunk": (POST + CHUNKED + b"\r\n-5\r\nhello\r\n", 400),
    "unknown coding": (POST + b"Transfer-Encoding: gzip\r\n\r\n", 400),
    "no host": (b"GET /healthz HTTP/1.1\r\n\r\n", 400),
    "not HTTP": (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
    "HTTP/2": (b"GET /healthz HTTP/2.0\r\nHost: x\r\n\r\n", 400),
    "long line": (b"GET /" + b"a" * 70_000, 431),
    "long headers": (GET + b"X: " + b"a" * 2000 + b"\r\n\r\n", 431),
    "large body said": (POST + b"Content-Length: 1001\r\n\r\n", 413),
    "large body sent": (POST + CHUNKED + b"\r\n3e9\r\n" + b"a" * 1001, 413),
    "stream over HTTP/1.0": (
        chat(stream=True).replace(b"HTTP/1.1", b"HTTP/1.0"),
        400,
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_bad_requests_are_rejected_and_the_connection_is_closed(server, name):
    """A malformed request gets one JSON error, and the connection is closed.

    The parser of circuits.web loses such requests, mixes them up or crashes. Here
    they are rejected before any call reaches the handler.
    """
    data, status = BAD_REQUESTS[name]
    answer = server.request(data)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert answer.count(b"\r\nDate: ") == 1
    assert error_body(answer)["ran"] == "no"
    assert not server.handler.calls


def test_a_request_in_single_bytes_is_parsed_completely(server):
    caller = server.caller()
    head = POST + CHUNKED + b"Expect: 100-continue\r\n\r\n"
    for byte in head:
        caller.send(bytes([byte]))
    assert caller.until(b"\r\n\r\n") == b"HTTP/1.1 100 \r\n\r\n"
    for byte in b"5\r\nhello\r\n0\r\n\r\n":
        caller.send(bytes([byte]))
    caller.until(b"POST /b hello")
    caller.send(b"\r\n" + GET + b"\r\n")
    caller.until(b"GET /b ")


def test_pipelined_requests_are_answered_in_order(server):
    """Answers come in the order of the requests.

    Three requests arrive in one read. The last two would be answered at once but
    have to wait for the first, which is answered late.
    """
    caller = server.caller()
    caller.send(chat() + post("/services/a/1", b"x") + post("/services/a/2", b"y"))
    call = wait_for(lambda: server.handler.calls)[0]
    server.loop.call(lambda: call.reply.json(200, "first"))
    answers = caller.until(b"POST /2 y")
    assert answers.index(b'"first"') < answers.index(b"POST /1 x")
    call.reply.json(200, "late")
    caller.send(post("/services/a/3", b"z"))
    assert b"late" not in caller.until(b"POST /3 z")


def test_a_pipelined_request_may_arrive_in_parts(server):
    """A pipelined request that is split at a line end is parsed completely.

    Its first bytes arrive with the first request. The rest arrives after the first
    answer and starts with CRLF, which must not be skipped as an empty line.
    """
    caller = server.caller()
    caller.send(GET + b"\r\n" + GET[:-2])
    caller.until(b"GET /b ")
    caller.send(b"\r\nX-A: b\r\n\r\n")
    caller.until(b"GET /b ")
    assert server.handler.calls[1].headers == (("host", "x"), ("x-a", "b"))


def test_requests_beyond_the_read_ahead_limit_stay_in_the_socket(server):
    """Pipelined requests beyond the read-ahead limit stay in the socket.

    The caller sends far more than the limit while its first request is unanswered.
    The server stops reading, so its memory stays bounded, and resumes after the first
    answer. All requests are answered in order.
    """
    caller = server.caller()
    caller.send(chat())
    call = wait_for(lambda: server.handler.calls)[0]
    count = 400
    requests = b"".join(post(f"/services/a/{n}", b"x" * 900) for n in range(count))
    caller.send(requests)
    poller = server.loop.pool._find_poller()
    link = next(iter(server.callers._links.values()))
    wait_for(lambda: not poller.isReading(link.sock))
    server.loop.call(lambda: call.reply.json(200, "first"))
    for number in range(count):
        caller.until(b"POST /%d " % number)


def test_rejections_have_a_retry_after_header(server):
    answer = server.request(post("/services/a/refuse", b"", *closing_headers()))
    assert answer.startswith(b"HTTP/1.1 429 ")
    assert b"\r\nRetry-After: 2\r\n" in answer
    assert error_body(answer)["retry_after_s"] == 1.2


def test_an_internal_error_is_answered_without_its_traceback(server):
    answer = server.request(post("/services/a/boom", b"", *closing_headers()))
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"ZeroDivision" not in answer
    wait_for(lambda: server.loop.exceptions)
    server.loop.exceptions.clear()


def test_health_check_reports_the_handlers_readiness_error(server):
    get = post("/healthz", b"", *closing_headers(), method="GET")
    assert server.request(get).endswith(b'{"status": "ok"}')
    assert server.request(get.replace(b"GET", b"HEAD")).endswith(b"\r\n\r\n")
    server.handler.error = RouterError(ErrorKind.STOPPING, "stopping")
    assert server.request(get).startswith(b"HTTP/1.1 503 ")
    caller = server.caller()
    caller.send(b"GET /status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer K\r\n\r\n")
    call = wait_for(lambda: server.handler.calls)[0]
    assert call == StatusCall(account_key="K", reply=call.reply)


@pytest.mark.parametrize(
    ("path", "canonical"),
    [("a/%62", "a/b"), ("a%20b/", "a%20b/"), ("%C3%A9", "%C3%A9"), ("", "")],
)
def test_a_path_has_one_canonical_form(path, canonical):
    assert canonical_path(path) == canonical
    assert canonical_path(canonical) == canonical


@pytest.mark.parametrize(
    "path", [".", "a/..", "a//b", "%2fa", "a%5cb", "%00", "%ff", "%4", "/a"]
)
def test_ambiguous_paths_are_rejected(path):
    """A path variant cannot bypass the protection of a non-repeatable route.

    A service may read these paths as that of another route that is not repeatable.
    The router would match the path as sent and retry the call.
    """
    with pytest.raises(RouterError):
        canonical_path(path)
