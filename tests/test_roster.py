import json

import pytest

from greengageflow.core.hosts import HostEntry, HostKind, HostState
from greengageflow.core.roster import Roster
from greengageflow.net.host_list import HostList, HostListError, parse_hosts
from greengageflow.net.http_pool import Failure, FailureKind, Response


def routers(*names, leaving=()):
    return tuple(
        HostEntry(name, HostKind.ROUTER, state, "127.0.0.1", 1, "z1")
        for state, group in ((HostState.LIVE, names), (HostState.LEAVING, leaving))
        for name in group
    )


def test_a_partition_or_an_outage_of_the_list_shrinks_nothing():
    """Membership drops r2 and r3, whether the host list is unavailable or still
    lists them. They must stay in the roster; otherwise the two sides of a partition
    would use each slot twice.
    """
    roster = Roster("r1")
    roster.on_members(["r1", "r2", "r3"])
    roster.on_members(["r1"])
    assert roster.hosts == {"r1", "r2", "r3"}
    for _ in range(5):
        roster.on_hosts(routers("r1", "r2", "r3"))
    assert roster.hosts == {"r1", "r2", "r3"}


def test_only_successive_readings_drop_a_host_and_only_when_it_is_not_live():
    roster = Roster("r1", lists_to_remove=3)
    roster.on_members(["r1", "r2", "r3"])
    roster.on_members(["r1", "r3"])
    roster.on_hosts(routers("r1"))
    roster.on_hosts(routers("r1", leaving=("r2",)))
    assert roster.on_hosts(routers("r1", "r2")) == frozenset()
    roster.on_hosts(routers("r1"))
    roster.on_hosts(routers("r1"))
    assert roster.on_hosts(routers("r1", leaving=("r2",))) == {"r2"}
    assert roster.hosts == {"r1", "r3"}


def test_a_list_that_lost_its_data_counts_for_nothing():
    """The platform restarts with an empty store during a partition and returns an
    empty host list. If it were applied, each side would take all slots.
    """
    roster = Roster("r1", lists_to_remove=1)
    roster.on_hosts(routers("r1", "r2"))
    assert roster.on_hosts(()) == frozenset()
    assert roster.hosts == {"r1", "r2"}


class FakePool:
    def __init__(self, answers):
        self.answers = answers

    def fetch(self, request, on_done):
        assert (request.method, request.path) == ("GET", "/hosts")
        on_done(self.answers.pop(0))


class FakeTimers:
    def __init__(self):
        self.delays = []

    def after(self, delay_s, call):
        self.delays.append(delay_s)
        self.call = call


def row(name, kind="router", state="live"):
    return {
        "host": name,
        "kind": kind,
        "state": state,
        "ip": "127.0.0.1",
        "port": 1,
        "zone": "z1",
    }


def answer(*rows, status=200):
    return Response(status, (), json.dumps({"hosts": rows}).encode())


def test_failures_and_broken_lists_are_not_handed_over():
    timers, got = FakeTimers(), []
    answers = [
        answer(row("r1"), row("e1", "endpoint", "leaving"), row("x", "printer")),
        Failure(FailureKind.TIMEOUT, True, "nothing moved"),
        answer(status=503),
        answer(row("r1"), {"host": "r2", "kind": "router"}),
        answer(*(row(f"r{n}") for n in range(360))),
    ]
    hosts = HostList(FakePool(answers), timers, "127.0.0.9", 1, got.append, seed=1)
    hosts.start()
    assert [(e.host, e.state) for e in got[0]] == [("r1", "live"), ("e1", "leaving")]
    for _ in range(3):
        timers.call()
    assert (len(got), hosts.failures) == (1, 3)
    timers.call()
    assert (len(got), hosts.failures, hosts.interval_s) == (2, 0, 72.0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"hosts": [1]}'])
def test_what_is_no_host_list_is_refused_whole(body):
    with pytest.raises(HostListError):
        parse_hosts(body)
