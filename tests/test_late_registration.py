"""Running requests that are registered with an endpoint's owner too late or not at all.

The endpoint's load report shows such requests. Their slots must not be granted again.
"""

import pytest
from core_net import Net, config

from greengageflow.core.messages import Grant, GrantTaken

SLOTS = 4
HOSTS = {f"r{number}": "za" for number in range(5)}
REPORT_INTERVAL_S = 1.0
STEP_S = 0.25
SETTLE_S = 1.0


class ReportingNet(Net):
    """A network whose endpoint ``e1`` reports its load to its owners.

    Args:
        report_lag_s: Age of a report when it arrives, in seconds.
    """

    def __init__(self, *, report_lag_s=0.0):
        super().__init__(HOSTS, config({"a": 1.0}, ["e1"], slots=SLOTS))
        self.report_lag_s = report_lag_s
        self.next_report_at = self.now
        self.loads = []
        self.held = []
        self.holds = lambda sender, to, message: False
        self.step(SETTLE_S + 0.1)

    @property
    def owner(self):
        return self.nodes[min(self.nodes)].view.owner_of("e1")

    def hold(self, matches):
        """Hold back the messages that match until ``release``."""
        self.holds = matches

    def release(self):
        self.holds = lambda sender, to, message: False
        self.messages += self.held
        self.held = []
        self.drain()

    def deliver(self, index=0):
        if self.holds(*self.messages[index]):
            self.held.append(self.messages.pop(index))
        else:
            super().deliver(index)

    def submit_everywhere(self, count, *, deadline_s=60.0):
        for host in self.nodes:
            for _ in range(count):
                self.submit(host, "a", deadline_s=deadline_s)

    def run_for(self, seconds, *, run_s=float("inf")):
        """Run with load reports; check the number of running requests at each step."""
        for _ in range(round(seconds / STEP_S)):
            self.step(STEP_S)
            assert self.load()["e1"] <= SLOTS
            for grant, (*_, since) in list(self.running.items()):
                if self.now - since >= run_s:
                    self.finish(grant)
            self.loads.append((self.now, self.load()["e1"]))
            self.report_load()
            self.drain()
            assert self.load()["e1"] <= SLOTS

    def report_load(self):
        if self.now < self.next_report_at:
            return
        self.next_report_at = self.now + REPORT_INTERVAL_S
        seen = [count for at, count in self.loads if at <= self.now - self.report_lag_s]
        for node in self.nodes.values():
            if seen and node.view.owner_of("e1") == node.peer.host:
                node.owner.on_load(self.now, "e1", seen[-1])


def is_registration(_sender, _to, message):
    return isinstance(message, GrantTaken)


@pytest.mark.parametrize("report_lag_s", [0.0, 0.5, 1.5])
@pytest.mark.parametrize("late_s", [2.0, 5.0, 15.0])
def test_late_registrations_at_a_restarted_owner(late_s, report_lag_s):
    """The owner restarts without state while all slots are in use, and the running
    requests are registered with it only after the settle time. It granted the slots
    again: 8 requests ran in 4 slots. No router is unreachable at any time."""
    net = ReportingNet(report_lag_s=report_lag_s)
    owner = net.owner
    other = min(set(HOSTS) - {owner})
    for _ in range(SLOTS):
        net.submit(other, "a", deadline_s=60.0)
    net.run_for(2.0)
    assert net.load()["e1"] == SLOTS
    net.hold(is_registration)
    net.restart(owner)
    net.submit_everywhere(2)
    net.run_for(late_s)
    net.release()
    net.run_for(3.0)
    assert net.load()["e1"] == SLOTS


def test_one_late_registration_among_short_requests():
    """One of four running requests is registered late. The other slots stay in use,
    with requests that end faster than reports arrive, and the fourth is not granted."""
    net = ReportingNet(report_lag_s=0.5)
    owner = net.owner
    other = min(set(HOSTS) - {owner})
    net.submit(other, "a", deadline_s=60.0)
    net.run_for(1.0)
    (late,) = net.running
    net.hold(lambda _sender, _to, message: getattr(message, "grant", "") == late)
    net.restart(owner)
    net.submit_everywhere(60)
    busy = []
    for _ in range(80):
        net.step(STEP_S)
        running = net.load()["e1"]
        assert running <= SLOTS
        busy.append(running)
        net.loads.append((net.now, running))
        net.report_load()
        for grant, (*_, since) in list(net.running.items()):
            if grant != late and net.now - since >= 0.5:
                net.finish(grant)
        net.drain()
        assert net.load()["e1"] <= SLOTS
    assert min(busy[-40:]) == SLOTS
    net.finish(late)
    net.run_for(3.5)
    assert net.load()["e1"] == SLOTS


@pytest.mark.parametrize("registered", [True, False])
def test_slots_are_used_soon_after_an_ownership_change(registered):
    """The running requests of a former owner end. Their slots must be granted again,
    also when the requests were never registered with the new owner."""
    net = ReportingNet(report_lag_s=0.5)
    owner = net.owner
    other = min(set(HOSTS) - {owner})
    for _ in range(SLOTS):
        net.submit(other, "a", deadline_s=60.0)
    net.run_for(2.0)
    if not registered:
        net.hold(is_registration)
    net.restart(owner)
    net.submit_everywhere(2)
    net.run_for(SETTLE_S + 1.0)
    assert net.load()["e1"] == SLOTS
    net.holds = lambda sender, to, message: False
    for grant in list(net.running):
        net.finish(grant)
    net.run_for(0.5 if registered else 3.5)
    assert net.load()["e1"] == SLOTS


def test_late_registrations_after_a_partition_heals():
    """Both sides of a partition use their quota when it heals. The owner may then use
    all slots, but the requests of the other side are registered with it only after the
    settle time. It granted their slots: more than 4 requests ran in 4 slots."""
    net = ReportingNet(report_lag_s=0.5)
    owner = net.owner
    ranked = net.nodes[owner].view.ranked("e1")
    side = set(ranked[2:4])
    net.submit_everywhere(40)
    net.run_for(1.0)
    for host in side:
        net.sides[host] = 1
    net.refresh_views()
    net.run_for(10.0, run_s=1.0)
    there = [run for run in net.running.values() if run[0].peer.host in side]
    assert there
    net.hold(
        lambda sender, to, message: (
            is_registration(sender, to, message) and sender.host in side
        )
    )
    net.sides = dict.fromkeys(net.sides, 0)
    net.refresh_views()
    net.run_for(12.0)
    net.release()
    net.run_for(3.0)
    assert net.load()["e1"] == SLOTS


@pytest.mark.parametrize("report_lag_s", [0.5, 1.5])
def test_requests_of_unreachable_routers_that_no_report_shows_yet(report_lag_s):
    """A router becomes unreachable just after it has started four requests. The newest
    load report is older than they are. Their owner counted only its grants to reachable
    routers beside the report and granted the slots again: 8 requests ran in 4 slots."""
    net = ReportingNet(report_lag_s=report_lag_s)
    net.run_for(2.0)
    owner = net.owner
    other = net.nodes[owner].view.ranked("e1")[-1]
    for _ in range(SLOTS):
        net.submit(other, "a", deadline_s=60.0)
    net.drain()
    assert net.load()["e1"] == SLOTS
    net.sides[other] = 1
    net.refresh_views()
    net.submit_everywhere(2)
    net.run_for(4.0)
    for grant in list(net.running):
        net.finish(grant)
    net.run_for(3.0)
    assert net.load()["e1"] == SLOTS


def cut_off(net, hosts):
    """Make ``hosts`` unreachable for the others; messages across wait until it ends."""
    net.sides = {host: int(host in hosts) for host in net.sides}
    net.hold(lambda sender, to, message: net.sides[sender.host] != net.sides[to])
    net.refresh_views()


def reconnect(net):
    net.sides = dict.fromkeys(net.sides, 0)
    net.refresh_views()


@pytest.mark.parametrize("delivered", ["late", "again"])
def test_unanswered_grants_after_a_partition_heals(delivered):
    """The owner has granted two slots to a router that becomes unreachable before the
    grants arrive. The endpoint reports that the slots are free, so they are granted to
    other routers. When the partition heals, the grants arrive late or are sent again.
    The router started them: more than 4 requests ran in 4 slots."""
    net = ReportingNet(report_lag_s=0.5)
    owner = net.owner
    other = net.nodes[owner].view.ranked("e1")[4]
    net.hold(lambda _sender, to, message: isinstance(message, Grant) and to == other)
    for _ in range(2):
        net.submit(other, "a", deadline_s=60.0)
    net.run_for(0.5)
    assert net.held
    cut_off(net, {other})
    net.submit_everywhere(8)
    net.run_for(6.0)
    assert net.load()["e1"] == SLOTS
    held, net.held = net.held, []
    reconnect(net)
    net.holds = lambda sender, to, message: False
    if delivered == "late":
        net.messages += [item for item in held if isinstance(item[2], Grant)]
    net.run_for(4.0)
    assert net.load()["e1"] == SLOTS


def test_slots_are_used_soon_after_a_partition_heals_in_steps():
    """The owner sees one host of the other side before the last one. It planned the
    first increase of its quota for the longest deadline, and the second one waited
    behind it: the endpoint used 2 of 4 slots until then."""
    net = ReportingNet(report_lag_s=0.5)
    ranked = net.nodes[net.owner].view.ranked("e1")
    net.submit_everywhere(60)
    net.run_for(1.0)
    net.sides.update(dict.fromkeys(ranked[2:4], 1))
    net.refresh_views()
    net.run_for(5.0, run_s=1.0)
    net.sides[ranked[2]] = 0
    net.refresh_views()
    net.run_for(0.25, run_s=1.0)
    net.sides[ranked[3]] = 0
    net.refresh_views()
    net.run_for(5.0, run_s=1.0)
    assert max(count for _, count in net.loads[-4:]) == SLOTS


def test_recent_requests_of_unreachable_routers_count_in_the_quota():
    """During a partition, a router becomes unreachable just after it has started all
    requests that its side's quota allows. No load report shows them, nor those of the
    other side. The owner used its quota again: 6 requests ran in 4 slots."""
    net = ReportingNet(report_lag_s=1.5)
    ranked = net.nodes[net.owner].view.ranked("e1")
    net.sides.update(dict.fromkeys(ranked[2:4], 1))
    net.refresh_views()
    net.run_for(25.0)
    for host in (ranked[4], ranked[2]):
        for _ in range(2):
            net.submit(host, "a", deadline_s=60.0)
    net.drain()
    assert net.load()["e1"] == SLOTS
    net.sides[ranked[4]] = 2
    net.refresh_views()
    net.submit_everywhere(2)
    net.run_for(6.0)
