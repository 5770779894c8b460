"""Parsing of store records: malformed ones, and those of a restarted endpoint."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.net.http_messages import Response
from greengageflow.platform.records import (
    RecordError,
    parse_cached_parts,
    parse_config,
    parse_endpoint,
)
from greengageflow.platform.store import StoreAnswerError, parse_newest

WHOLE = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def entry(**fields):
    return parse_endpoint("e", json.dumps(WHOLE | fields).encode())


def test_a_whole_entry_is_read():
    found = entry(born=1_700_000_000_000)
    assert (found.ip, found.port, found.zone, found.slots) == ("10.0.0.1", 80, "a", 4)
    assert found.born == 1_700_000_000_000 and not found.leaving
    assert entry(state="draining").leaving


@pytest.mark.parametrize("name", WHOLE)
def test_an_entry_that_lacks_a_field_names_no_endpoint(name):
    fields = {key: value for key, value in WHOLE.items() if key != name}
    with pytest.raises(RecordError):
        parse_endpoint("e", json.dumps(fields).encode())


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("state", "bogus"),
        ("state", 7),
        ("address", "not-an-ip:80"),
        ("address", ":80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:70000"),
        ("zone", 3),
        ("service", 3),
        ("service", ""),
        ("slots", "4"),
        ("slots", -1),
        ("slots", True),
        ("born", "soon"),
        ("born", 1.5),
    ],
)
def test_an_entry_with_a_spoiled_field_names_no_endpoint(name, value):
    with pytest.raises(RecordError):
        entry(**{name: value})


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_whatever_an_entry_holds_it_is_an_endpoint_or_an_error(value):
    with pytest.raises(RecordError):
        parse_endpoint("e", value)


@given(st.binary() | JSON.map(lambda value: json.dumps({"held": value}).encode()))
def test_whatever_an_engine_says_it_keeps_it_is_parts_or_an_error(body):
    try:
        parts = parse_cached_parts(Response(200, (), body))
    except RecordError:
        return
    assert all(isinstance(part.id, str) and part.tokens >= 0 for part in parts)


SPOILED = [b"[" * 100_000, b'{"a":' * 100_000, b'{"version": 1e999}', b"\xff", b"1"]


@pytest.mark.parametrize("value", SPOILED)
def test_deep_nesting_and_huge_figures_are_errors_and_go_no_further(value):
    """Another exception would end the read, and the router would get no more updates
    from the store."""
    with pytest.raises(RecordError):
        parse_endpoint("e", value)
    with pytest.raises(RecordError):
        parse_config(value)
    with pytest.raises(RecordError):
        parse_cached_parts(Response(200, (), value))
    with pytest.raises(StoreAnswerError):
        parse_newest(Response(200, (), value))


def test_an_endpoint_that_starts_again_under_its_id_is_gone_and_new():
    """A replica crashes and restarts under the same id. When it was taken for the same
    instance, it got prompts whose parts were no longer in its prefix cache, and it kept
    the leaving mark of the old instance."""
    listed = EndpointList()
    assert [change.what for change in listed.put(entry(born=5))] == ["new"]
    listed.note_left(entry(born=5).id, 5)
    assert not listed.may_use("e")
    assert [change.what for change in listed.put(entry(born=9))] == ["gone", "new"]
    assert listed.may_use("e")
    assert not list(listed.put(entry(born=5, state="draining"))), (
        "records of an earlier start are ignored"
    )
    assert listed.may_use("e")
