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


def test_a_partition_does_not_shrink_the_roster():
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


def test_a_host_is_removed_only_by_consecutive_lists_and_only_if_not_live():
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


def test_an_empty_host_list_is_ignored():
    """The platform restarts with an empty store during a partition and returns an
    empty host list. If it were applied, each side would take all slots.
    """
    roster = Roster("r1", lists_to_remove=1)
    roster.on_hosts(routers("r1", "r2"))
    assert roster.on_hosts(()) == frozenset()
    assert roster.hosts == {"r1", "r2"}


class FakePool:
    def __init__(self, responses):
        self.responses = responses

    def fetch(self, request, on_done):
        assert (request.method, request.path) == ("GET", "/hosts")
        on_done(self.responses.pop(0))


class FakeTimers:
    def __init__(self):
        self.delays = []

    def after(self, delay_s, call):
        self.delays.append(delay_s)
        self.call = call


def entry(name, kind="router", state="live"):
    return {
        "host": name,
        "kind": kind,
        "state": state,
        "ip": "127.0.0.1",
        "port": 1,
        "zone": "z1",
    }


def response(*rows, status=200):
    return Response(status, (), json.dumps({"hosts": rows}).encode())


def test_failures_and_invalid_lists_are_not_passed_on():
    timers, received = FakeTimers(), []
    responses = [
        response(
            entry("r1"), entry("e1", "endpoint", "leaving"), entry("x", "printer")
        ),
        Failure(FailureKind.TIMEOUT, True, "nothing moved"),
        response(status=503),
        response(entry("r1"), {"host": "r2", "kind": "router"}),
        response(*(entry(f"r{n}") for n in range(360))),
    ]
    hosts = HostList(
        FakePool(responses), timers, "127.0.0.9", 1, received.append, seed=1
    )
    hosts.start()
    assert [(e.host, e.state) for e in received[0]] == [
        ("r1", "live"),
        ("e1", "leaving"),
    ]
    for _ in range(3):
        timers.call()
    assert (len(received), hosts.failures) == (1, 3)
    timers.call()
    assert (len(received), hosts.failures, hosts.interval_s) == (2, 0, 72.0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"hosts": [1]}'])
def test_an_invalid_host_list_is_rejected(body):
    with pytest.raises(HostListError):
        parse_hosts(body)
