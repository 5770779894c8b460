"""Round trip of messages between routers, and rejection of malformed ones."""

from math import inf
from socket import AF_INET, inet_pton

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgpack import packb, unpackb

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, SumReport, merge
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.leaving_signs import LeavingReport, LeavingSign
from greengageflow.core.peer_report import LoadNotice, PeerReport
from greengageflow.core.quarantine import (
    FINGERPRINT_BYTES,
    CrashRecord,
    CrashReport,
    Quarantine,
)
from greengageflow.core.router_table import Hello
from greengageflow.core.store_updates import StoreTopic, StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta, TableDelta
from greengageflow.net.report_codec import ReportError, decode, encode

# Strategies for messages and their parts.

NAMES = st.text(max_size=8)
COUNTS = st.integers(0, 2**53)
AMOUNTS = st.integers(0, 10**12).map(float)
AGES = st.just(inf) | st.integers(0, 10**6).map(lambda ms: ms / 1000)
PORTS = st.integers(1, 65535)
IPS = st.ip_addresses(v=4).map(str)
ADDRESSES = st.lists(st.tuples(IPS, PORTS), max_size=3).map(tuple)
PAIRS = st.lists(st.tuples(NAMES, NAMES), max_size=3).map(tuple)
SUMS = st.dictionaries(st.tuples(NAMES, NAMES), AMOUNTS, max_size=4)
SHARES = st.builds(LoadShare, COUNTS, AMOUNTS, AMOUNTS)
LOADS = st.dictionaries(NAMES, SHARES, max_size=3)
MARKS = {
    "version": COUNTS,
    "list_mark": COUNTS,
    "config_age_s": AGES,
    "list_age_s": AGES,
}
HEAD = {"host": NAMES, "boot": COUNTS, "number": COUNTS}
WHERE = {"ip": IPS, "port": PORTS, "zone": NAMES, "stopping": st.booleans()}
HELLOS = st.builds(Hello, host=NAMES, boot=COUNTS, peers=ADDRESSES, **WHERE)
NOTICES = st.builds(LoadNotice, sequence=COUNTS, loads=LOADS, placed=PAIRS, **HEAD)
REPORTS = st.builds(
    PeerReport,
    sequence=COUNTS,
    served=SUMS,
    offered=SUMS,
    loads=LOADS,
    placed=PAIRS,
    peers=ADDRESSES,
    **HEAD,
    **WHERE,
    **MARKS,
)
SUM_REPORTS = st.builds(
    SumReport,
    zone=NAMES,
    fleet_wide=st.booleans(),
    base=COUNTS,
    totals=st.builds(FleetTotals, SUMS, SUMS, LOADS, COUNTS),
    included=st.dictionaries(NAMES, COUNTS, max_size=3),
    placed=PAIRS,
    **HEAD,
    **MARKS,
)
WANTED = st.builds(FullSumRequest, fleet_wide=st.booleans())
WORK = st.tuples(COUNTS, COUNTS)
INTS = st.builds(LoadShare, COUNTS, COUNTS, COUNTS)


def changes_of(keys, values):
    places = st.dictionaries(st.integers(0, 300), values, max_size=4)
    new = st.lists(keys, max_size=2).map(tuple)
    return st.builds(
        TableDelta, since=COUNTS, first_index=COUNTS, new_keys=new, values=places
    )


SUM_CHANGES = st.builds(
    SumDelta,
    fleet_wide=st.booleans(),
    base=COUNTS,
    loads=changes_of(NAMES, INTS),
    included=changes_of(NAMES, COUNTS),
    work=st.none() | changes_of(st.tuples(NAMES, NAMES), WORK),
    hosts=COUNTS,
    placed=st.lists(st.tuples(NAMES, COUNTS), max_size=3).map(tuple),
    **HEAD,
    **MARKS,
)
RECORDS = st.builds(
    KeyedRecord, key=NAMES, value=st.none() | st.binary(max_size=9), offset=COUNTS
)
NEWS = st.builds(
    StoreUpdate,
    topic=st.sampled_from(StoreTopic),
    since=COUNTS,
    end=COUNTS,
    records=st.lists(RECORDS, max_size=3).map(tuple),
)
CRASH_RECORDS = st.builds(
    CrashRecord,
    fingerprint=st.binary(min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES),
    crashed=st.lists(NAMES, max_size=3).map(tuple),
    cleared=st.lists(NAMES, max_size=3).map(tuple),
    age_s=st.integers(0, 600).map(float),
)
CRASHES = st.builds(CrashReport, records=st.lists(CRASH_RECORDS, max_size=3).map(tuple))
LEAVING = st.builds(
    LeavingReport,
    signs=st.lists(st.builds(LeavingSign, NAMES, COUNTS), max_size=3).map(tuple),
)
MESSAGES = (
    HELLOS | NOTICES | REPORTS | SUM_REPORTS | SUM_CHANGES | WANTED | NEWS | CRASHES
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | NAMES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner),
    max_leaves=6,
)


def places(values):
    """Yield every container in a message with each of its keys."""
    keys = range(len(values)) if isinstance(values, list) else values
    for key in keys:
        yield values, key
        if isinstance(values[key], list | dict):
            yield from places(values[key])


@given(MESSAGES)
def test_messages_come_back_as_they_were(message):
    assert decode(encode(message)) == message


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_give_report_error(data):
    with pytest.raises(ReportError):
        decode(data)


@settings(max_examples=400, deadline=None)
@given(MESSAGES, VALUES, st.data())
def test_wrong_values_give_report_error_or_a_message_that_can_be_used(message, x, data):
    """A value of the wrong type deep inside a message would make a round of the
    receiving router fail, when it sends to an address or adds up amounts."""
    values = unpackb(encode(message))
    holder, key = data.draw(st.sampled_from(list(places(values))))
    holder[key] = x
    try:
        found = decode(packb(values))
    except ReportError:
        return
    own = [found.address] if isinstance(found, Hello) else []
    for ip, port in [*own, *getattr(found, "peers", ())]:
        assert inet_pton(AF_INET, ip) and 0 < port < 65536
    loads = getattr(found, "loads", {})
    if isinstance(found, SumDelta):
        loads = {f"{place}": load for place, load in found.loads.values.items()}
    if isinstance(found, SumReport):
        loads = found.totals.loads
        merge([found.totals, found.totals])
    if isinstance(found, CrashReport):
        quarantine = Quarantine()
        quarantine.receive(1.0, found.records)
        list(quarantine.records(2.0, 10.0, 9))
    if isinstance(found, LeavingReport):
        for sign in found.signs:
            EndpointList().note_left(sign.endpoint, sign.born)
    merge([FleetTotals(loads=loads)] * 2)
    assert all(0 <= load.reading < inf for load in loads.values())
