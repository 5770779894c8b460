"""Which software version began a stream, without processes."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.router_table import Hello
from greengageflow.core.version_affinity import (
    KEEPERS,
    MAX_STREAMS,
    RETENTION_S,
    UNPROVEN_VERSION,
    StreamVersion,
    StreamVersionTable,
    UnlistedStreams,
    VersionHistory,
    keepers_of,
)
from greengageflow.daemon.version_affinity import VersionAffinity
from greengageflow.net.report_codec import decode, encode


def hosts(number, zones=3):
    return [
        Hello(host=f"h{n}", boot=1, ip=f"10.0.{n}.1", port=7, zone=f"z{n % zones}")
        for n in range(number)
    ]


@given(st.integers(0, 12), st.integers(1, 4), st.text(max_size=5))
def test_keepers_are_distinct_and_in_different_zones(number, zones, request):
    rows = hosts(number, zones)
    found = keepers_of(request, rows, KEEPERS)
    assert found == keepers_of(request, reversed(rows), KEEPERS)
    assert len({row.host for row in found}) == min(number, KEEPERS)
    used = {row.zone for row in found}
    assert len(used) == min(KEEPERS, len({row.zone for row in rows}))


def test_keepers_survive_the_loss_of_other_hosts():
    """Hosts that ask after a loss must still ask a keeper that is alive."""
    rows = hosts(9)
    for number in range(200):
        before = {row.host for row in keepers_of(f"r{number}", rows, KEEPERS)}
        left = [row for row in rows if row.host not in ("h0", "h4")]
        after = {row.host for row in keepers_of(f"r{number}", left, KEEPERS)}
        assert before & after


def test_streams_are_spread_over_the_hosts():
    rows = hosts(9)
    counts = Counter(
        row.host
        for number in range(3000)
        for row in keepers_of(f"r{number}", rows, KEEPERS)
    )
    assert len(counts) == 9 and max(counts.values()) < 1.3 * 3 * 3000 / 9


def test_table_keeps_the_first_report_and_forgets_old_ones():
    table = StreamVersionTable()
    table.add(0.0, StreamVersion("r", "model", "v1"))
    table.add(1.0, StreamVersion("r", "model", "v2"))
    assert table.get(2.0, "r").version == "v1"
    assert table.get(RETENTION_S, "r") is None and table.get(2.0, "other") is None
    for number in range(MAX_STREAMS + 5):
        table.add(3.0, StreamVersion(str(number), "model", "v1"))
    assert len(table) == MAX_STREAMS
    table.add(3.0 + RETENTION_S, StreamVersion("last", "model", "v1"))
    assert [row.request for row in table.streams(3.0 + RETENTION_S)] == ["last"]


@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        ([{"v1"}] * 40, "v1"),
        ([{"v1"}] * 20, None),
        ([{"v1"}] * 10 + [{"v1", "v2"}] * 5 + [{"v2"}] * 25, None),
        ([{"v1"}] * 10 + [{"v1", "v2"}] * 5 + [{"v2"}] * 35, "v2"),
        ([{"v1"}] * 40 + [None] * 6, None),
        ([{"v1"}] * 40 + [None] * 6 + [{"v1"}] * 20, None),
        ([], None),
    ],
)
def test_only_version_needs_an_uninterrupted_history(seen, expected):
    history = VersionHistory()
    for second, versions in enumerate(seen):
        if versions is not None:
            history.observe(float(second), {"model": versions})
    assert history.only_version(float(len(seen)), "model", 30.0) == expected


def test_another_version_under_the_same_id_is_another_start():
    endpoints = EndpointList()
    old = ListedEndpoint("e", "model", "10.0.0.1", 80, "z", version="v1")
    new = ListedEndpoint("e", "model", "10.0.0.1", 80, "z", version="v2")
    assert [change.what for change in endpoints.put(old)] == ["new"]
    assert [change.what for change in endpoints.put(new)] == ["gone", "new"]
    assert endpoints.versions() == {"model": {"v2"}}


class Net:
    """Hosts that exchange encoded messages with a delay, in simulated time."""

    def __init__(self, number=9):
        self.now, self._heap, self._order = 0.0, [], count()
        self.rows = hosts(number)
        self.dead, self.lost = set(), lambda _message: False
        self.nodes = {row.host: VersionAffinity(row, self, self) for row in self.rows}

    def after(self, delay_s, call):
        heappush(self._heap, (self.now + delay_s, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def routers(self):
        return [row for row in self.rows if row.host not in self.dead]

    def send_to(self, to, message):
        [row] = [row for row in self.rows if row.address == to]
        if row.host in self.dead or self.lost(message):
            return
        message = decode(encode(message))
        node = self.nodes[row.host]
        is_query = hasattr(message, "ip")
        receive = node.receive_query if is_query else node.receive_report
        self.after(0.002, lambda: receive(message))

    def find(self, host, request):
        found = []
        self.nodes[host].find(request, found.append)
        self.run(0.3)
        assert len(found) == 1
        return found[0] and found[0].version


def test_other_hosts_learn_that_the_version_of_a_stream_is_not_proven():
    """They would take the only version that they have seen listed."""
    net = Net()
    net.nodes["h0"].on_begun(StreamVersion("r", "model", UNPROVEN_VERSION))
    net.run(0.1)
    assert {net.find(host, "r") for host in net.nodes} == {UNPROVEN_VERSION}


def test_any_host_finds_the_version_after_the_first_host_died():
    net = Net()
    for number in range(100):
        net.nodes["h0"].on_begun(StreamVersion(f"r{number}", "model", f"v{number}"))
    net.run(0.1)
    net.dead = {"h0", "h1"}
    for number in range(100):
        assert net.find(f"h{2 + number % 7}", f"r{number}") == f"v{number}"
    assert net.find("h2", "unknown") is None and net.find("h2", "") is None


def test_keepers_that_stop_hand_their_streams_on():
    """A rolling restart of all hosts takes a few seconds, less than a stream lasts."""
    net = Net()
    for number in range(50):
        net.nodes["h0"].on_begun(StreamVersion(f"r{number}", "model", "v1"))
    net.run(0.1)
    for host in [row.host for row in net.rows[:6]]:
        net.dead.add(host)
        net.nodes[host].on_stop()
        net.run(0.1)
        net.nodes[host] = VersionAffinity(net.rows[int(host[1:])], net, net)
    net.dead = set()
    assert all(net.find("h5", f"r{number}") == "v1" for number in range(50))


def test_lost_messages_are_made_up_for():
    net = Net()
    drop = count()
    net.lost = lambda _message: next(drop) % 3 == 0
    for number in range(50):
        net.nodes["h0"].on_begun(StreamVersion(f"r{number}", "model", "v1"))
        net.run(0.05)
    assert all(net.find("h8", f"r{number}") == "v1" for number in range(50))


UNPROVEN = StreamVersion("r", "m", UNPROVEN_VERSION)
PROVEN = StreamVersion("r", "m", "v1")


def test_a_proven_version_replaces_an_unproven_one_only():
    table = StreamVersionTable()
    table.add(1.0, UNPROVEN)
    assert table.get(1.0, "r") == UNPROVEN
    table.add(2.0, PROVEN)
    assert table.get(2.0, "r") == PROVEN
    for other in (UNPROVEN, StreamVersion("r", "m", "v2")):
        table.add(3.0, other)
        assert table.get(3.0, "r") == PROVEN
    assert table.get(1.0 + RETENTION_S, "r") is None, "kept from its first report on"
    table.add(4.0, PROVEN)
    table.mark_unproven(PROVEN.service)
    assert table.get(4.0, "r") == UNPROVEN


def test_streams_of_a_start_get_the_version_that_is_listed_for_it():
    streams = UnlistedStreams()
    streams.add(1.0, "e 5", UNPROVEN)
    assert not streams.on_listed("e 9", "v2")
    assert streams.on_listed("e 5", "v1") == [PROVEN]
    assert not streams.on_listed("e 5", "v1")


def test_streams_of_a_start_that_is_never_listed_are_forgotten():
    """They would fill the memory."""
    streams = UnlistedStreams()
    streams.add(1.0, "e 5", UNPROVEN)
    streams.add(1.0 + RETENTION_S, "e 9", StreamVersion("q", "m", UNPROVEN_VERSION))
    assert not streams.on_listed("e 5", "v1")
    for number in range(MAX_STREAMS + 9):
        stream = StreamVersion(f"{number}", "m", UNPROVEN_VERSION)
        streams.add(1.0 + RETENTION_S, "e 9", stream)
    assert len(streams.on_listed("e 9", "v1")) == MAX_STREAMS
