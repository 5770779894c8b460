"""The HTTP parsers compared with h11, which checks every byte in Python.

Request smuggling works where two parsers read the same bytes differently, one as a body
and the other as a request. So h11 must accept every input that the parsers accept, and
read the same messages from it.
"""

import h11
import pytest
from hypothesis import assume, example, given, settings
from hypothesis import strategies as st

from greengageflow.net._http_parse import (
    MAX_RESPONSE_HEAD_BYTES,
    BadMessage,
    Body,
    Framing,
    Head,
    RequestEnd,
    RequestHead,
    RequestParser,
    ResponseEnd,
    ResponseParser,
)

MAX_HEAD_BYTES = 16_384
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# A body that looks like a chunk; a parser that lost its position would remove it.
CHUNK_LIKE = b"1\r\nx\r\n"

contents = st.one_of(
    st.binary(min_size=1, max_size=40),
    st.integers(1, 4).map(lambda count: CHUNK_LIKE * count),
)
chunks = st.one_of(
    contents.map(lambda data: b"%x\r\n%b\r\n" % (len(data), data)),
    contents.map(lambda data: b"%04X\r\n%b\r\n" % (len(data), data)),
    contents.map(lambda data: b"%x;ext=1\r\n%b\r\n" % (len(data), data)),
    st.sampled_from(
        [b"5\r\nhelloXY", b"+5\r\nhello\r\n", b"5_0\r\n", b"\r\n", LAST_CHUNK]
    ),
)
streams = st.lists(chunks, max_size=12).map(b"".join)
read_sizes = st.lists(st.sampled_from([1, 2, 4, 6, 12, 60]), max_size=40)


def split_into_reads(stream, sizes):
    parts = []
    for size in sizes:
        parts.append(stream[:size])
        stream = stream[size:]
    return [part for part in (*parts, stream) if part]


def h11_parse_response(parts):
    """Return the body and its state: whole, broken or open."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    http.send(h11.EndOfMessage())
    http.receive_data(HEAD)
    assert isinstance(http.next_event(), h11.Response)
    body = b""
    for part in parts:
        http.receive_data(part)
        try:
            while isinstance(event := http.next_event(), h11.Data):
                body += bytes(event.data)
        except h11.RemoteProtocolError:
            return body, "broken"
        if isinstance(event, h11.EndOfMessage):
            return body, "whole"
    return body, "open"


def parse_response(parts):
    parser = ResponseParser()
    parser.expect("GET")
    lines = (("transfer-encoding", "chunked"),)
    assert list(parser.feed(HEAD)) == [Head(200, lines, Framing.CHUNKS)]
    body = b""
    for part in parts:
        try:
            for event in parser.feed(part):
                match event:
                    case Body(data):
                        body += data
                    case ResponseEnd():
                        return body, "whole"
        except BadMessage:
            return body, "broken"
    return body, "open"


@settings(max_examples=400, deadline=None)
@given(stream=streams, sizes=read_sizes)
@example(stream=b"c\r\n" + CHUNK_LIKE * 2 + b"\r\n" + LAST_CHUNK, sizes=[9])
def test_chunked_body_does_not_depend_on_reads_and_matches_h11(stream, sizes):
    """The result must not depend on how the stream is split into reads.

    Otherwise a caller would miss text, get chunk sizes in it, or take a truncated
    response for a complete one.
    """
    parts = split_into_reads(stream, sizes)
    ours, reference = parse_response(parts), h11_parse_response(parts)
    assert parse_response([stream] if stream else []) == ours
    if ours[1] == "broken":
        # h11 may detect the error earlier or later, but must not see a whole body.
        assert reference[1] != "whole"
    else:
        assert ours == reference


names = st.sampled_from(
    [
        b"Host",
        b"Content-Length",
        b"content-length",
        b"Transfer-Encoding",
        b"transfer-encoding ",
        b"Transfer_Encoding",
        b"Connection",
        b"Expect",
        b"Upgrade",
        b" X-Folded",
        b"X\x00",
        b"X-A",
        b"",
    ]
)
values = st.sampled_from(
    [
        b"x",
        b"a b",
        b"",
        b"3",
        b"+3",
        b"3, 3",
        b"03",
        b"0x3",
        b"-1",
        b"99999999999999999999",
        b"chunked",
        b"Chunked",
        b"chunked, chunked",
        b"gzip, chunked",
        b"identity",
        b"\x0bchunked",
        b"close",
        b"keep-alive, upgrade",
        b"100-continue",
        b"h2c",
        b"v\x00",
        b"v\r",
        b"v\nInjected: 1",
        b"\xff\xfe",
    ]
)
line_ends = st.sampled_from(
    [b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r", b"\r\n\t more\r\n"]
)
lines = st.tuples(names, st.sampled_from([b": ", b":", b" : ", b""]), values, line_ends)
request_lines = st.sampled_from(
    [
        b"GET /a HTTP/1.1\r\n",
        b"POST /a?b=c HTTP/1.1\r\n",
        b"POST /a HTTP/1.0\r\n",
        b"POST /a HTTP/1.2\r\n",
        b"POST  /a HTTP/1.1\r\n",
        b"POST /a b HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\n",
        b"POST /a HTTP/1.1 \r\n",
        b"POST http://h/a HTTP/1.1\r\n",
        b"CONNECT h:80 HTTP/1.1\r\n",
        b"post /a HTTP/1.1\r\n",
        b"G\x00T /a HTTP/1.1\r\n",
        b"POST /\xc3\xa9 HTTP/1.1\r\n",
        b"PRI * HTTP/2.0\r\n",
        b"GET /a\r\n",
    ]
)
bodies = st.sampled_from([b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"0\r\n\r\n", b"abcd"])
GOOD_HOST = (b"Host", b": ", b"h", b"\r\n")
requests = st.builds(
    lambda first, host, rows, body: (
        first + b"".join(b"".join(row) for row in [*host, *rows]) + b"\r\n" + body
    ),
    request_lines,
    st.sampled_from([[GOOD_HOST], [GOOD_HOST], []]),
    st.lists(lines, max_size=3),
    bodies,
)


def parse_requests(parts):
    """Return the complete requests, up to one that ends the connection."""
    parser = RequestParser(MAX_HEAD_BYTES)
    found, head, body = [], None, b""
    for part in parts:
        parser.feed(part)
        while True:
            try:
                event = parser.next()
            except BadMessage:
                return found
            match event:
                case None:
                    break
                case RequestHead():
                    head, body = event, b""
                    lengths = [n for n, _ in head.headers if n == "content-length"]
                    codings = [n for n, _ in head.headers if n == "transfer-encoding"]
                    if head.version not in ("1.0", "1.1") or (lengths and codings):
                        # The caller connection rejects these with its own response.
                        return found
                case Body(data):
                    body += data
                case RequestEnd():
                    found.append((head.method, head.target, head.headers, body))
                    if not head.keep_alive:
                        return found
    return found


def text(data):
    return data.decode("latin-1")


def h11_parse_requests(data):
    # Our parser reads several spaces before the target as one, as RFC 9112 allows;
    # h11 rejects them. Message lengths do not depend on it.
    data = data.replace(b"POST  /", b"POST /")
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.receive_data(data)
    found, head, body = [], None, b""
    while True:
        try:
            event = http.next_event()
        except h11.RemoteProtocolError:
            return found
        match event:
            case h11.Request():
                head, body = event, b""
            case h11.Data():
                body += bytes(event.data)
            case h11.EndOfMessage():
                rows = ((text(name), text(value)) for name, value in head.headers)
                found.append((text(head.method), text(head.target), tuple(rows), body))
                if head.method == b"CONNECT":
                    return found
                http.send(h11.Response(status_code=204, headers=[]))
                http.send(h11.EndOfMessage())
                if http.our_state is not h11.DONE:
                    return found
                http.start_next_cycle()
            case _:
                return found


@settings(max_examples=1500, deadline=None)
@given(st.lists(requests, min_size=1, max_size=3), read_sizes)
@example([b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b"], [])
def test_every_accepted_request_matches_h11(rows, sizes):
    data = b"".join(rows)
    assume(b"\r\n\r\n\r\n" not in data)  # empty lines are tested below
    ours = parse_requests(split_into_reads(data, sizes))
    assert ours == parse_requests([data])
    assert ours == h11_parse_requests(data)[: len(ours)]


def test_upgrade_ends_the_connection_and_trailers_are_not_headers():
    """Data after an upgrade must not be parsed as a request.

    A trailer must not be taken for a header: it could name another account.
    """
    parser = RequestParser(MAX_HEAD_BYTES)
    lines = b"Host: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    parser.feed(b"GET /a HTTP/1.1\r\n" + lines + b"GET /b HTTP/1.1\r\n" + lines)
    assert not parser.next().keep_alive
    assert parser.next() == RequestEnd()
    assert parser.next() is None
    chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    found = parse_requests([chunked + b"0\r\nX-Key: 1\r\n\r\n"])
    (_, _, headers, body), *_ = found
    assert headers == (("host", "h"), ("transfer-encoding", "chunked")) and not body


OFFER = (
    b"Host: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA\r\n"
)
NEXT = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.mark.parametrize(
    ("framing", "body"),
    [
        (b"Content-Length: 5\r\n\r\nhello", b"hello"),
        (
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Key: 1\r\n\r\n",
            b"abc",
        ),
        (b"Content-Length: 0\r\n\r\n", b""),
        (b"\r\n", b""),
    ],
)
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("rest", [b"", NEXT, b"\x00\x00junk\r\n\r\n"])
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_request_that_offers_another_protocol_keeps_its_body(
    framing, body, version, rest, size
):
    """The offer was taken for the end of the request, which ran without its body."""
    data = b"POST /a HTTP/" + version + b"\r\n" + OFFER + framing + rest
    parts = split_into_reads(data, [size] * (len(data) // size))
    parser = RequestParser(MAX_HEAD_BYTES)
    events = []
    for part in parts:
        parser.feed(part)
        while (event := parser.next()) is not None:
            events.append(event)
    head, *bodies, end = events
    assert (head.target, head.keep_alive, end) == ("/a", False, RequestEnd())
    assert b"".join(event.data for event in bodies) == body
    assert "x-key" not in dict(head.headers)


@pytest.mark.parametrize("count", [1, 3])
def test_consecutive_requests_are_all_parsed(count):
    with_length = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    with_chunks = (
        b"PUT /a HTTP/1.1\r\nhost:h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        + LAST_CHUNK
    )
    assert len(parse_requests([(with_length + with_chunks) * count])) == 2 * count
    # Some clients send an empty line after the body that is not part of it.
    assert len(parse_requests([(with_length + b"\r\n") * count])) == count


def test_oversized_heads_are_rejected():
    """Without a limit, a caller could exhaust the memory of the host."""
    parser = RequestParser(MAX_HEAD_BYTES)
    parser.feed(b"GET / HTTP/1.1\r\nHost: h\r\nA: ")
    with pytest.raises(BadMessage) as info:
        for _ in range(2 * MAX_HEAD_BYTES // 1000):
            parser.feed(b"a" * 1000)
            assert parser.next() is None
    assert info.value.too_large
    answers = ResponseParser()
    with pytest.raises(BadMessage):
        list(answers.feed(b"HTTP/1.1 200 OK\r\nA: " + b"a" * MAX_RESPONSE_HEAD_BYTES))


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        OK + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
        OK + b"transfer-encoding: gzip, chunked\r\n\r\n" + LAST_CHUNK,
        b"HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        b"garbage\r\n\r\n",
    ],
)
def test_responses_with_ambiguous_length_are_invalid(answer):
    parser = ResponseParser()
    parser.expect("GET")
    with pytest.raises(BadMessage):
        list(parser.feed(answer))


def test_interim_responses_are_skipped_and_head_responses_have_no_body():
    parser = ResponseParser()
    parser.expect("HEAD")
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"
    assert list(parser.feed(data)) == [
        Head(200, (("content-length", "3"),), Framing.NO_BODY),
        ResponseEnd(keep_alive=False),
    ]


@pytest.mark.parametrize(
    ("method", "head", "framing"),
    [
        ("GET", b"200 OK\r\ncontent-length: 0", Framing.LENGTH),
        ("GET", b"200 OK\r\ntransfer-encoding: chunked", Framing.CHUNKS),
        ("GET", b"200 OK\r\nconnection: close", Framing.CLOSE),
        ("GET", b"500 No\r\nserver: s", Framing.CLOSE),
        ("GET", b"204 Empty\r\nserver: s", Framing.NO_BODY),
        ("HEAD", b"200 OK\r\ncontent-length: 3", Framing.NO_BODY),
    ],
)
def test_framing_of_a_response(method, head, framing):
    """Only the end of the connection does not prove that a body is complete."""
    parser = ResponseParser()
    parser.expect(method)
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + head + b"\r\n\r\n"
    [found] = [e for e in parser.feed(data) if isinstance(e, Head)]
    assert found.framing is parser.framing is framing
    assert parser.until_close == (framing is Framing.CLOSE)
