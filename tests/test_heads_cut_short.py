"""Messages cut short at any byte: none of the project's readers takes one for whole."""

from contextlib import closing, suppress
from http.client import HTTPException
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from threading import Event

import pytest
from http_fakes import FakePeer

from greengageflow.lab._processes import call
from greengageflow.ops._platform_http import (
    BlockingLog,
    CallError,
    explain_placement,
    router_status,
)
from greengageflow.settings_file import Address

BODY = b"hello"
OK = b"HTTP/1.1 200 OK\r\ndate: today\r\n"
LENGTH = b"content-length: %d\r\n\r\n%b"
CHUNKS = b"transfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
WHOLE = OK + LENGTH % (len(BODY), BODY)
RESPONSES = {
    "length": WHOLE,
    "chunks": OK + CHUNKS + b"0\r\n\r\n",
    "trailers": OK + CHUNKS + b"0\r\nx-a: b\r\nx-c: d\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 -\r\na: b\r\n\r\n" + WHOLE,
    "refusal": b"HTTP/1.1 503 -\r\nretry-after: 1\r\n" + LENGTH % (2, b"{}"),
    "no content": b"HTTP/1.1 204 -\r\nserver: s\r\n\r\n",
    "redirect": b"HTTP/1.1 302 -\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    "until close": OK + b"connection: close\r\n\r\n" + BODY,
}
STATUSES = {"refusal": 503, "no content": 204, "redirect": 302}
ENDS = ("close", "reset", "silence", "bytes")


def cut_points(response):
    """Return the numbers of bytes after which a response is not complete.

    A body that ends with the connection may be whole at any byte.
    """
    if b"connection: close" in response:
        return range(response.index(b"\r\n\r\n") + 4)
    return range(len(response))


class CuttingPeer:
    """Sends the start of a response to each request, and ends the connection.

    Args:
        response: The response.
        cuts: Number of bytes to send on each connection in turn.
        end: How the connection ends.
        before: Whole responses to the first requests on each connection.
    """

    def __init__(self, response, cuts, end="close", before=()):
        self._response, self._cuts = response, list(cuts)
        self._end, self._before = end, before
        self.silent, self.released = 0, Event()
        self.peer = FakePeer(self._run)
        self.port, self.requests = self.peer.port, self.peer.requests

    def _run(self, conn, number):
        for answer in self._before:
            conn.request()
            conn.send(answer)
        conn.request()
        data = self._response[: self._cuts[number % len(self._cuts)]]
        size = 1 if self._end == "bytes" else len(data) or 1
        for start in range(0, len(data), size):
            conn.send(data[start : start + size])
        match self._end:
            case "silence":
                self.silent += 1
                self.released.wait(20)
            case "reset":
                conn.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))

    def close(self):
        self.released.set()
        self.peer.close()


OPERATORS_CALLS = {
    "read": lambda address: BlockingLog(address).read(0),
    "append": lambda address: BlockingLog(address).append([{}]),
    "status": router_status,
    "placement": lambda address: explain_placement(address, {}),
}
OPERATORS_ANSWER = b'{"first_offset": 0, "next_offset": 0, "records": []}'
OPERATORS_RESPONSES = {
    "length": OK + LENGTH % (len(OPERATORS_ANSWER), OPERATORS_ANSWER),
    "until close": OK + b"connection: close\r\n\r\n" + OPERATORS_ANSWER,
    "trailers": OK
    + CHUNKS.replace(b"5;a=b\r\nhello", b"%x\r\n%b")
    % (len(OPERATORS_ANSWER), OPERATORS_ANSWER)
    + b"0\r\nx-a: b\r\n\r\n",
    "refusal": RESPONSES["refusal"],
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSES["refusal"],
    "gone": b"HTTP/1.1 410 -\r\n" + LENGTH % (len(OPERATORS_ANSWER), OPERATORS_ANSWER),
}


@pytest.mark.parametrize("form", OPERATORS_RESPONSES)
@pytest.mark.parametrize("call", OPERATORS_CALLS.values(), ids=OPERATORS_CALLS)
def test_the_operators_command_takes_no_response_that_is_cut_short(call, form):
    """The end of a connection ended the head: a refusal cut short counted as one."""
    response = OPERATORS_RESPONSES[form]
    cuts = cut_points(response)
    with closing(CuttingPeer(response, cuts)) as peer:
        address = Address("127.0.0.1", peer.port)
        wrong = []
        for _ in cuts:
            number = len(peer.requests)
            try:
                wrong.append((response[: cuts[number % len(cuts)]], call(address)))
            except CallError as exc:
                if not exc.effect_unknown:
                    wrong.append((response[: cuts[number % len(cuts)]], str(exc)))
        assert wrong == []


@pytest.mark.parametrize("form", RESPONSES)
def test_the_calls_of_the_lab_take_no_response_that_is_cut_short(form):
    """A test that asks for an empty 200 passed although the head had no end."""
    response = RESPONSES[form]
    cuts = cut_points(response)
    with closing(CuttingPeer(response, cuts)) as peer:
        wrong = []
        for cut in cuts:
            with suppress(OSError, HTTPException):
                answer = call(("127.0.0.1", peer.port), "GET", "/")
                wrong.append((response[:cut], answer))
        assert wrong == []
    with closing(CuttingPeer(response, [len(response)])) as peer:
        assert call(("127.0.0.1", peer.port), "GET", "/").status == STATUSES.get(
            form, 200
        )
