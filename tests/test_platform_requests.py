"""Headers that callers repeat in requests on the platform's interface."""

import pytest

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.calls import CallerRequest
from greengageflow.platform.names import (
    CREDENTIAL,
    DEADLINE_MS,
    LAST_EVENT_ID,
    LENGTH_HINT,
    PROMPT_PREFIX,
    REQUEST_ID,
    RESUMES,
    TOKEN_COUNT,
)
from greengageflow.platform.requests import parse_request

HEADERS = (
    ("host", "app.example"),
    (REQUEST_ID, "r-1"),
    (CREDENTIAL, " key "),
    (DEADLINE_MS, "1500"),
    (TOKEN_COUNT, "300,100"),
    (PROMPT_PREFIX, "sys:100,own:200"),
    (LENGTH_HINT, "40"),
    (LAST_EVENT_ID, "7"),
    (RESUMES, "r-0"),
    ("accept", "a"),
    ("connection", "x-hop"),
    ("x-hop", "1"),
)


@pytest.mark.parametrize("name", [name for name, _ in HEADERS[:9]])
def test_a_repeated_header_that_the_router_reads_is_refused(name):
    """The router and the endpoint could each take another one of the values."""
    with pytest.raises(RouterError) as refused:
        parse_request(CallerRequest("GET", "/", (*HEADERS, (name, "2"))))
    assert refused.value.kind is ErrorKind.BAD_REQUEST
    assert name in refused.value.message


def test_other_repeated_headers_are_forwarded_and_change_nothing_else():
    """Requests without repeated headers are read in another way."""
    once = parse_request(CallerRequest("GET", "/", HEADERS))
    twice = parse_request(CallerRequest("GET", "/", (*HEADERS, ("accept", "b"))))
    names = ("id", "host", "key", "max_wait_s", "prompt", "last_event", "resumes")
    for name in names:
        assert getattr(once, name) == getattr(twice, name)
    assert (once.id, once.key, once.max_wait_s) == ("r-1", "key", 1.5)
    assert (once.last_event, once.resumes) == (7, "r-0")
    assert (once.prompt.tokens_in, once.prompt.tokens_out) == (300, 40)
    assert ("accept", "a") in once.headers and ("x-hop", "1") not in once.headers
    assert twice.headers == (*once.headers, ("accept", "b"))
