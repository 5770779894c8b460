"""Round trip of messages between routers, and rejection of malformed ones."""

from math import inf
from socket import AF_INET, inet_pton

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgpack import packb, unpackb

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fingerprint import (
    FINGERPRINT_BYTES,
    is_part,
    part_fingerprint,
)
from greengageflow.core.fleet_sums import FleetTotals, SumReport, merge
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.leaving_report import LeavingEndpoint, LeavingReport
from greengageflow.core.peer_report import LoadNotice, PeerReport
from greengageflow.core.place_messages import (
    PlacementEntry,
    PlacementRequest,
    PlacementSnapshot,
)
from greengageflow.core.quarantine import (
    CrashRecord,
    CrashReport,
    Quarantine,
)
from greengageflow.core.router_table import Hello
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_updates import StoreTopic, StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta, TableDelta
from greengageflow.core.tick_echo import TICK_MODULUS, ClockTick, Stamp
from greengageflow.core.unproven_starts import (
    UnprovenStart,
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.core.version_affinity import (
    StreamVersion,
    StreamVersionQuery,
    StreamVersionReport,
)
from greengageflow.net.report_codec import ReportError, decode, encode
from greengageflow.net.tick_codec import add_stamp, split_stamp

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
VERSION_FIELDS = {
    "version": COUNTS,
    "list_mark": COUNTS,
    "config_age_s": AGES,
    "list_age_s": AGES,
}
HEADER_FIELDS = {"host": NAMES, "boot": COUNTS, "number": COUNTS}
LOCATION_FIELDS = {"ip": IPS, "port": PORTS, "zone": NAMES, "stopping": st.booleans()}
HELLOS = st.builds(Hello, host=NAMES, boot=COUNTS, peers=ADDRESSES, **LOCATION_FIELDS)
NOTICES = st.builds(
    LoadNotice, sequence=COUNTS, loads=LOADS, placed=PAIRS, **HEADER_FIELDS
)
REPORTS = st.builds(
    PeerReport,
    sequence=COUNTS,
    served=SUMS,
    offered=SUMS,
    loads=LOADS,
    placed=PAIRS,
    peers=ADDRESSES,
    **HEADER_FIELDS,
    **LOCATION_FIELDS,
    **VERSION_FIELDS,
)
SUM_REPORTS = st.builds(
    SumReport,
    zone=NAMES,
    fleet_wide=st.booleans(),
    base=COUNTS,
    totals=st.builds(FleetTotals, SUMS, SUMS, LOADS, COUNTS),
    included=st.dictionaries(NAMES, COUNTS, max_size=3),
    placed=PAIRS,
    **HEADER_FIELDS,
    **VERSION_FIELDS,
)
FULL_SUM_REQUESTS = st.builds(FullSumRequest, fleet_wide=st.booleans())
WORK = st.tuples(COUNTS, COUNTS)
INT_SHARES = st.builds(LoadShare, COUNTS, COUNTS, COUNTS)


def deltas(keys, values):
    rows = st.dictionaries(st.integers(0, 300), values, max_size=4)
    new = st.lists(keys, max_size=2).map(tuple)
    return st.builds(
        TableDelta, since=COUNTS, first_index=COUNTS, new_keys=new, values=rows
    )


SUM_DELTAS = st.builds(
    SumDelta,
    fleet_wide=st.booleans(),
    base=COUNTS,
    loads=deltas(NAMES, INT_SHARES),
    included=deltas(NAMES, COUNTS),
    work=st.none() | deltas(st.tuples(NAMES, NAMES), WORK),
    hosts=COUNTS,
    placed=st.lists(st.tuples(NAMES, COUNTS), max_size=3).map(tuple),
    **HEADER_FIELDS,
    **VERSION_FIELDS,
)
RECORDS = st.builds(
    KeyedRecord, key=NAMES, value=st.none() | st.binary(max_size=9), offset=COUNTS
)
STORE_UPDATES = st.builds(
    StoreUpdate,
    topic=st.sampled_from(StoreTopic),
    since=COUNTS,
    end=COUNTS,
    records=st.lists(RECORDS, max_size=3).map(tuple),
)
CRASH_RECORDS = st.builds(
    CrashRecord,
    fingerprint=st.binary(
        min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES
    ).filter(lambda fingerprint: not is_part(fingerprint)),
    crashed=st.lists(NAMES, max_size=3).map(tuple),
    cleared=st.lists(NAMES, max_size=3).map(tuple),
    age_s=st.integers(0, 600).map(float),
)
CRASH_REPORTS = st.builds(
    CrashReport, records=st.lists(CRASH_RECORDS, max_size=3).map(tuple)
)
PART_CRASH_REPORTS = st.lists(
    st.builds(
        lambda name, rows: CrashRecord(
            part_fingerprint(name),
            tuple(start for start, _ in rows),
            (),
            0.0,
            tuple(float(age) for _, age in rows),
        ),
        NAMES,
        st.lists(st.tuples(NAMES, st.integers(0, 600)), max_size=3),
    ),
    min_size=1,
    max_size=3,
).map(lambda records: CrashReport(tuple(records)))
LEAVING_REPORTS = st.builds(
    LeavingReport,
    endpoints=st.lists(st.builds(LeavingEndpoint, NAMES, COUNTS), max_size=3).map(
        tuple
    ),
)
VERSION_REPORTS = st.builds(
    StreamVersionReport,
    streams=st.lists(
        st.builds(StreamVersion, NAMES, NAMES, NAMES.filter(bool)), max_size=3
    ).map(tuple),
)
VERSION_QUERIES = st.builds(StreamVersionQuery, IPS, PORTS, NAMES)
UNPROVEN_STARTS = st.lists(
    st.builds(UnprovenStart, NAMES, st.integers(0, 99).map(float)), max_size=3
).map(tuple)
START_QUERIES = st.builds(
    UnprovenStartQuery, IPS, PORTS, COUNTS, NAMES, UNPROVEN_STARTS
)
START_REPORTS = st.builds(UnprovenStartReport, NAMES, COUNTS, NAMES, UNPROVEN_STARTS)
TICKS = st.integers(0, TICK_MODULUS - 1)
CLOCK_TICKS = st.builds(ClockTick, IPS, PORTS, TICKS)
STAMPS = st.builds(Stamp, TICKS, TICKS)
PLACEMENT_REQUESTS = st.builds(
    PlacementRequest,
    host=NAMES,
    boot=COUNTS,
    request=NAMES,
    service=NAMES,
    account=NAMES,
    priority=COUNTS,
    waited_s=st.just(0.5),
    slack_s=st.just(-0.5),
    timeout_s=st.just(1.0),
    target_s=st.just(0.8),
    parts=st.just((("p", 3),)),
    tokens_in=COUNTS,
    tokens_out=COUNTS,
    allowed_zones=st.none() | st.lists(NAMES, max_size=2).map(tuple),
    version=NAMES,
)

AMOUNTS = st.integers(0, 9).map(float)


@st.composite
def placement_snapshots(draw):
    """Snapshots, in which an endpoint has one start time."""
    born = draw(st.dictionaries(NAMES, COUNTS, max_size=3))
    requests = draw(st.sets(NAMES.filter(bool), max_size=3)) if born else set()
    endpoints = st.sampled_from(sorted(born))
    entries = [
        PlacementEntry(request, endpoint, draw(AMOUNTS), draw(AMOUNTS), born[endpoint])
        for request in requests
        for endpoint in [draw(endpoints)]
    ]
    return PlacementSnapshot(
        host=draw(NAMES), boot=draw(COUNTS), entries=tuple(entries)
    )


PLACEMENT_SNAPSHOTS = placement_snapshots()
MESSAGES = (
    HELLOS
    | NOTICES
    | REPORTS
    | SUM_REPORTS
    | SUM_DELTAS
    | FULL_SUM_REQUESTS
    | STORE_UPDATES
    | CRASH_REPORTS
    | PART_CRASH_REPORTS
    | VERSION_REPORTS
    | st.builds(StartTimesReport, st.lists(NAMES).map(tuple))
    | VERSION_QUERIES
    | START_QUERIES
    | START_REPORTS
    | CLOCK_TICKS
    | PLACEMENT_REQUESTS
    | PLACEMENT_SNAPSHOTS
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | NAMES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner),
    max_leaves=6,
)


def containers(values):
    """Yield every container in a message with each of its keys."""
    keys = range(len(values)) if isinstance(values, list) else values
    for key in keys:
        yield values, key
        if isinstance(values[key], list | dict):
            yield from containers(values[key])


@given(MESSAGES)
def test_messages_round_trip(message):
    assert decode(encode(message)) == message


@given(PLACEMENT_SNAPSHOTS)
def test_snapshots_keep_the_form_that_earlier_releases_accept(snapshot):
    """They drop a snapshot with a row of another length, and count no request of it."""
    _, host, boot, rows = unpackb(encode(snapshot))
    assert (host, boot) == (snapshot.host, snapshot.boot)
    for request, endpoint, reading, memory in rows:
        assert isinstance(request, str) and isinstance(endpoint, str)
        assert reading >= 0 and memory >= 0
    assert [row for row in rows if row[0]] == [
        [entry.request, entry.endpoint, int(entry.reading), int(entry.memory)]
        for entry in snapshot.entries
    ]


@given(MESSAGES, STAMPS)
def test_stamped_messages_round_trip(message, stamp):
    """Releases that don't know stamps must drop a stamped message, not misread it."""
    data = encode(message)
    assert split_stamp(data) == (None, data)
    stamped = add_stamp(stamp, data)
    assert split_stamp(stamped) == (stamp, data)
    with pytest.raises(ReportError):
        decode(stamped)


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_report_error(data):
    with pytest.raises(ReportError):
        decode(data)


@settings(max_examples=400, deadline=None)
@given(MESSAGES, VALUES, st.data())
def test_wrong_values_raise_report_error_or_give_a_usable_message(
    message, wrong_value, data
):
    """A value of the wrong type deep inside a message would make a round of the
    receiving router fail, when it sends to an address or adds up amounts."""
    values = unpackb(encode(message))
    container, key = data.draw(st.sampled_from(list(containers(values))))
    container[key] = wrong_value
    try:
        decoded = decode(packb(values))
    except ReportError:
        return
    own_address = [decoded.address] if isinstance(decoded, Hello) else []
    for ip, port in [*own_address, *getattr(decoded, "peers", ())]:
        assert inet_pton(AF_INET, ip) and 0 < port < 65536
    loads = getattr(decoded, "loads", {})
    if isinstance(decoded, SumDelta):
        loads = {f"{index}": load for index, load in decoded.loads.values.items()}
    if isinstance(decoded, SumReport):
        loads = decoded.totals.loads
        merge([decoded.totals, decoded.totals])
    if isinstance(decoded, CrashReport):
        quarantine = Quarantine()
        quarantine.receive(1.0, decoded.records)
        list(quarantine.records(2.0, 10.0, 9))
    if isinstance(decoded, LeavingReport):
        for sign in decoded.endpoints:
            EndpointList().mark_leaving(sign.endpoint, sign.born)
    merge([FleetTotals(loads=loads)] * 2)
    assert all(0 <= load.reading < inf for load in loads.values())
