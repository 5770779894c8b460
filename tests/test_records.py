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

VALID_ENTRY = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "version": "v1",
    "state": "ready",
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def parse_entry(**fields):
    return parse_endpoint("e", json.dumps(VALID_ENTRY | fields).encode())


def test_valid_entry_is_parsed():
    endpoint = parse_entry(born=1_700_000_000_000)
    assert (endpoint.ip, endpoint.port, endpoint.zone, endpoint.slots) == (
        "10.0.0.1",
        80,
        "a",
        4,
    )
    assert endpoint.born == 1_700_000_000_000 and not endpoint.leaving
    assert parse_entry(state="draining").leaving


@pytest.mark.parametrize("name", VALID_ENTRY)
def test_entry_without_a_required_field_is_rejected(name):
    fields = {key: value for key, value in VALID_ENTRY.items() if key != name}
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
        ("version", 1),
        ("version", ""),
        ("born", "soon"),
        ("born", 1.5),
        ("slots", 10**400),
        ("slots", 10**9),
        ("born", 10**18),
        ("zone", "\ud800"),
        ("zone", "x" * 256),
        ("version", "v\0"),
    ],
)
def test_entry_with_an_invalid_field_is_rejected(name, value):
    with pytest.raises(RecordError):
        parse_entry(**{name: value})


@pytest.mark.parametrize("key", ["", " ", "a\0b", "a\r\nb: c", "\udcff", "\ufffd"])
def test_entry_whose_key_fits_in_no_header_is_rejected(key):
    with pytest.raises(RecordError):
        parse_endpoint(key, json.dumps(VALID_ENTRY).encode())


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_entry_is_rejected(value):
    with pytest.raises(RecordError):
        parse_endpoint("e", value)


@given(st.binary() | JSON.map(lambda value: json.dumps({"held": value}).encode()))
def test_arbitrary_part_list_is_parsed_or_rejected(body):
    try:
        parts = parse_cached_parts(Response(200, (), body))
    except RecordError:
        return
    assert all(isinstance(part.id, str) and part.tokens >= 0 for part in parts)


@pytest.mark.parametrize("tokens", ["1" + 400 * "0", "true", "-1", "2.0"])
def test_prompt_parts_of_odd_sizes_are_rejected(tokens):
    """A choice among endpoints fails on integers that no float can hold."""
    body = b'{"held": [["", "p", %s, "m"]]}' % tokens.encode()
    with pytest.raises(RecordError):
        parse_cached_parts(Response(200, (), body))


MALFORMED = [b"[" * 100_000, b'{"a":' * 100_000, b'{"version": 1e999}', b"\xff", b"1"]


@pytest.mark.parametrize("value", MALFORMED)
def test_deep_nesting_and_huge_numbers_are_rejected(value):
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


@pytest.mark.parametrize("truncated", [b"true", b"1", b'"false"', b"null"])
def test_a_page_without_records_is_not_the_last_one_unless_it_says_so(truncated):
    """All endpoints that it did not name were taken for removed."""
    body = b'{"items": [], "truncated": %b, "end": 3}' % truncated
    with pytest.raises(StoreAnswerError):
        parse_newest(Response(200, (), body))
    body = b'{"items": [], "truncated": false, "end": 3}'
    assert parse_newest(Response(200, (), body)).after == ""


@pytest.mark.parametrize(
    ("tenants", "keyed"),
    [({}, False), ({"tenants": None}, False), ({"tenants": []}, True)],
)
def test_configuration_without_any_tenant_left_admits_no_key(tenants, keyed):
    """With the last tenant removed, every key was admitted, also one taken away."""
    assert parse_config(json.dumps({"version": 1, **tenants}).encode()).keyed is keyed


def test_restarted_endpoint_is_removed_and_added_again():
    """A replica crashes and restarts under the same id. When it was taken for the same
    instance, it got prompts whose parts were no longer in its prefix cache, and it kept
    the leaving mark of the old instance."""
    endpoints = EndpointList()
    assert [change.what for change in endpoints.put(parse_entry(born=5))] == ["new"]
    endpoints.mark_leaving(parse_entry(born=5).id, 5)
    assert not endpoints.may_use("e")
    assert [change.what for change in endpoints.put(parse_entry(born=9))] == [
        "gone",
        "new",
    ]
    assert endpoints.may_use("e")
    assert not list(endpoints.put(parse_entry(born=5, state="draining"))), (
        "records of an earlier start are ignored"
    )
    assert endpoints.may_use("e")
