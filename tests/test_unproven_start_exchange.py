"""Which unproven starts began streams, shared between hosts without processes."""

import pytest

from greengageflow.core.unproven_starts import (
    MAX_STARTS,
    UNKNOWN_START,
    UnprovenStart,
    UnprovenStartQuery,
    UnprovenStartTable,
)
from greengageflow.core.version_affinity import RETENTION_S, VersionHistory
from greengageflow.daemon.unproven_starts import REPEAT_INTERVAL_S, UnprovenStarts
from greengageflow.net.report_codec import decode, encode
from tests.test_version_affinity import Net

SERVICE, START, WITHIN_S = "model", "e 2000", 30.0


class StartNet(Net):
    """Hosts that share unproven starts, in simulated time."""

    def __init__(self, number=9):
        super().__init__(number)
        self.nodes = {row.host: UnprovenStarts(row, self, self) for row in self.rows}

    def every(self, interval_s, call):
        def run():
            call()
            self.after(interval_s, run)

        self.after(interval_s, run)

    def send_to(self, to, message):
        [row] = [row for row in self.rows if row.address == to]
        if row.host in self.dead or self.lost(message):
            return
        message = decode(encode(message))
        node = self.nodes[row.host]
        is_query = isinstance(message, UnprovenStartQuery)
        receive = node.receive_query if is_query else node.receive_report
        self.after(0.002, lambda: receive(message))

    def record(self, host):
        """Record a start; return the result once there is one."""
        done = []
        self.nodes[host].record(SERVICE, START, done.append)
        while not done:
            self.run(0.001)
        return done[0]

    def collect(self, host):
        """Return whether a host has all starts, and which."""
        done = []
        self.nodes[host].share(SERVICE, done.append)
        self.run(0.3)
        return done, self.nodes[host].starts(SERVICE, WITHIN_S)


def test_all_hosts_find_a_start_though_its_host_ended_as_soon_as_it_was_recorded():
    """They took the only version listed for that of its streams."""
    for number in range(9):
        net = StartNet()
        assert net.record(f"h{number}")
        net.dead = {f"h{number}"}
        alive = net.nodes.keys() - net.dead
        assert all(net.collect(host) == ([True], [START]) for host in alive)


def test_lost_messages_prove_nothing():
    """A host that got no answer took it that there was nothing to know."""
    net = StartNet()
    net.lost = lambda _message: True
    assert not net.record("h0")
    assert net.collect("h1") == ([False], [])


def test_a_late_answer_to_an_earlier_query_answers_no_later_one():
    """It was sent before the keeper received the start."""
    net, sent, done = StartNet(2), [], []
    net.lost = lambda message: sent.append(message) or True
    assert net.collect("h0")[0] == [False]
    net.nodes["h0"].share(SERVICE, done.append)
    net.nodes["h1"].receive_query(sent[0])
    net.nodes["h0"].receive_report(sent[-1])
    assert sent[-1].number == sent[0].number and not done


def test_hosts_that_become_keepers_receive_what_others_know():
    net = StartNet()
    for node in net.nodes.values():
        node.start()
    assert net.record("h0")
    keepers = {host for host, node in net.nodes.items() if node.starts(SERVICE, 99.0)}
    net.dead = keepers - {"h0"}
    net.run(REPEAT_INTERVAL_S + 1.0)
    net.dead |= {"h0"}
    alive = net.nodes.keys() - net.dead
    assert all(net.collect(host) == ([True], [START]) for host in alive)


def test_starts_are_forgotten_though_hosts_repeat_them():
    net = StartNet()
    for node in net.nodes.values():
        node.start()
    assert net.record("h0")
    net.run(RETENTION_S + 3 * REPEAT_INTERVAL_S)
    assert not any(node.starts(SERVICE, 2 * RETENTION_S) for node in net.nodes.values())


def test_a_start_that_is_recorded_needs_no_second_exchange():
    net = StartNet()
    assert net.record("h0")
    net.lost = lambda _message: True
    assert net.record("h0")


def test_starts_beyond_the_limit_count_as_unknown():
    """Dropping them would make streams of theirs go on at any version."""
    table = UnprovenStartTable()
    for number in range(MAX_STARTS + 5):
        table.add(float(number), SERVICE, [UnprovenStart(f"e {number}", 0.0)])
    found = [row.start for row in table.starts(100.0, SERVICE)]
    assert len(found) == MAX_STARTS and UNKNOWN_START in found


@pytest.mark.parametrize(
    ("starts", "expected"),
    [
        ([], "v1"),
        (["e 1000"], "v1"),
        (["e 1000", "f 1000"], "v1"),
        (["e 2000"], None),
        (["e 1000", UNKNOWN_START], None),
        (["g 1000"], None),
    ],
)
def test_a_version_is_the_only_one_if_all_starts_have_it(starts, expected):
    history = VersionHistory()
    listed = {"e 1000": "v1", "f 1000": "v1", "g 1000": "v2"}
    for second in range(40):
        history.observe(float(second), {SERVICE: {"v1"}}, listed)
    assert history.only_version(40.0, SERVICE, WITHIN_S, starts) == expected
