"""Routers that resume after a pause with unread messages in their sockets."""

from unittest.mock import Mock

import pytest
from core_net import Net, config

from greengageflow.core.effects import Send
from greengageflow.core.entry import WaitingRequest
from greengageflow.core.membership import Membership
from greengageflow.core.messages import (
    Ack,
    Grant,
    GrantReturned,
    GrantTaken,
    Member,
    PeerId,
    Ping,
)
from greengageflow.core.placement import LiveMember
from greengageflow.daemon import control
from greengageflow.daemon.control import Control

SLOTS = 4
HOSTS = {f"r{number}": "za" for number in range(5)}


def fleet():
    """Return a network, the owner of its endpoint and another router."""
    net = Net(HOSTS, config({"a": 1.0}, ["e1"], slots=SLOTS))
    net.step(1.1)
    owner = net.nodes["r0"].view.owner_of("e1")
    return net, owner, min(set(HOSTS) - {owner})


def put_aside(net, found):
    aside = [item for item in net.messages if found(*item)]
    net.messages = [item for item in net.messages if item not in aside]
    return aside


def see(net, hosts, gone):
    live = {h: LiveMember(net.boots[h], "za") for h in HOSTS if h != gone}
    for host in hosts:
        net.nodes[host].on_view(live, net.roster)


def steps(net, seconds, *, run_s=float("inf")):
    for _ in range(round(seconds / 0.25)):
        net.step(0.25)
        assert net.load()["e1"] <= SLOTS
        for grant, (*_, since) in list(net.running.items()):
            if net.now - since >= run_s:
                net.finish(grant)


def test_grants_of_a_dead_owner_start_nothing_at_a_router_that_wakes():
    """A paused router has four unread grants. Their owner dies and leaves the host
    list, and the next owner grants the four slots again after the settle time. The
    resumed router read the grants before its view changed and started all four: the
    endpoint ran 8 requests in 4 slots."""
    net, owner, paused = fleet()
    mine = [net.submit(paused, "a", deadline_s=60.0) for _ in range(SLOTS)]
    grants = []
    while len(grants) < SLOTS:
        net.deliver()
        grants += put_aside(net, lambda _, to, message: isinstance(message, Grant))
    net.drain()
    asleep = net.nodes.pop(paused)
    net.crash(owner)
    net.roster -= {owner}
    see(net, net.nodes, owner)
    for host in net.nodes:
        net.submit(host, "a")
        net.submit(host, "a")
    steps(net, 1.5)
    assert net.load()["e1"] == SLOTS
    net.nodes[paused] = asleep
    asleep.entry.on_pause()
    net.messages += grants
    net.drain()
    assert net.load()["e1"] == SLOTS
    see(net, [paused], owner)
    net.run(asleep, asleep.entry.on_view_confirmed(net.now, maybe_replaced=False))
    steps(net, 10.0, run_s=1.0)
    assert not net.waiting.keys() & set(mine)


def test_grants_that_are_still_good_start_when_the_view_is_confirmed():
    net, _, paused = fleet()
    node = net.nodes[paused]
    node.entry.on_pause()
    net.submit(paused, "a")
    steps(net, 3.0)
    assert not net.running
    net.run(node, node.entry.on_view_confirmed(net.now, maybe_replaced=False))
    assert len(net.running) == 1
    steps(net, 1.0)


def test_grants_to_a_router_that_was_held_for_dead_go_back():
    """A router with four unread grants is paused until the others declare it dead.
    Their owner stays alive and grants the slots again once the endpoint reports that
    nothing runs. The router's view is the same before and after the pause, so it
    started all four grants, and the endpoint ran 7 requests in 4 slots."""
    net, owner, paused = fleet()
    mine = [net.submit(paused, "a", deadline_s=60.0) for _ in range(SLOTS)]
    grants = []
    while len(grants) < SLOTS:
        net.deliver()
        grants += put_aside(net, lambda _, to, message: isinstance(message, Grant))
    net.drain()
    asleep = net.nodes.pop(paused)
    see(net, net.nodes, paused)
    for host in net.nodes:
        net.submit(host, "a")
    for _ in range(12):
        net.nodes[owner].owner.on_load(net.now, "e1", net.load()["e1"])
        net.step(0.25)
    assert net.load()["e1"] == SLOTS - 1
    net.nodes[paused] = asleep
    asleep.entry.on_pause()
    net.messages += grants
    see(net, HOSTS, None)
    net.drain()
    net.run(asleep, asleep.entry.on_view_confirmed(net.now, maybe_replaced=True))
    steps(net, 10.0, run_s=1.0)
    assert not net.waiting.keys() & set(mine)


def test_a_lost_registration_is_told_to_the_new_owner_again():
    """The owner dies while four requests run. Their registrations with the next owner
    are lost, as its connection is not established yet. They were sent only once, so the
    next owner assumed free slots after the settle time, and the endpoint ran 8 requests
    in 4 slots."""
    net, owner, other = fleet()
    for _ in range(SLOTS):
        net.submit(other, "a")
    net.drain()
    net.crash(owner)
    net.roster -= {owner}
    see(net, net.nodes, owner)
    lost = put_aside(net, lambda _, to, message: isinstance(message, GrantTaken))
    assert len(lost) == SLOTS
    for host in net.nodes:
        net.submit(host, "a")
    steps(net, 5.0)


def test_an_owner_that_wakes_counts_what_others_granted_meanwhile():
    """An owner is paused for so long that another router takes over its endpoint and
    grants its slots. It resumes, reads that its own grants have ended, and granted the
    slots that seemed free before the other requests were registered with it: 7
    requests ran in 4 slots."""
    net, owner, other = fleet()
    rest = set(HOSTS) - {owner}
    for host in rest:
        for _ in range(SLOTS):
            net.submit(host, "a")
    net.drain()
    asleep = net.nodes.pop(owner)
    see(net, rest, owner)
    for grant in list(net.running):
        net.finish(grant)
    socket = []
    for _ in range(12):
        socket += put_aside(net, lambda _, to, message: to == owner)
        net.step(0.25)
        at = net.nodes[other].view.owner_of("e1")
        net.nodes[at].owner.on_load(net.now, "e1", net.load()["e1"])
    assert net.load()["e1"] == SLOTS - 1
    net.nodes[owner] = asleep
    asleep.owner.on_pause()
    for sender, _, message in socket:
        asleep.receive(sender, message)
    see(net, HOSTS, None)
    net.run(asleep, asleep.owner.on_view_confirmed(net.now, maybe_replaced=True))
    steps(net, 3.0)
    assert net.load()["e1"] == SLOTS


class World:
    """Router r0, on a clock controlled by the test, and its only peer r1."""

    def __init__(self, monkeypatch):
        self.now, self.sent = 0.0, []
        monkeypatch.setattr(control, "monotonic", lambda: self.now)
        self.peer = Membership(member("r1"), seed=1)
        self.node = Control(
            PeerId("r0", 1),
            Mock(send=lambda host, message: self.sent.append(message)),
            Mock(),
            Mock(),
            Membership(member("r0"), seed=1),
            Mock(hosts=frozenset({"r0", "r1"})),
            on_config_message=Mock(),
            on_newer_revision=Mock(),
        )
        self.node.requests = Mock()
        self.tell(Ping(1, 0, 0, (member("r1"),)))
        names = (f"e{number}" for number in range(99))
        self.name = next(n for n in names if self.node.view.owner_of(n) == "r1")
        self.node.on_config(config({"a": 1.0}, [self.name]))

    @property
    def started(self):
        return [c.args[0].grant for c in self.node.requests.on_start.call_args_list]

    @property
    def returned(self):
        return [m.grant for m in self.sent if isinstance(m, GrantReturned)]

    def tell(self, message):
        self.node.receive(PeerId("r1", 1), message)

    def tick(self, seconds):
        self.now += seconds
        self.node._on_membership_tick()

    def answers(self):
        """Return r1's answers to all messages sent to it since the last call."""
        sent, self.sent = self.sent, []
        told = (self.peer.receive(self.now, PeerId("r0", 1), m) for m in sent)
        effects = [effect for answer in told for effect in answer]
        return [e.message for e in effects if isinstance(e, Send)]

    def grant(self):
        req = WaitingRequest("q", "a", "m", 100.0, self.now + 60.0)
        self.node.run(self.node.entry.submit(self.now, req))
        self.tell(Grant("r1:1:1", "a", "m", self.name, boot=1))


def member(host):
    return Member(host, 1, 0, "alive", "127.0.0.1", 1, "za")


@pytest.mark.parametrize(("pause_s", "maybe_replaced"), [(2.0, False), (10.0, True)])
def test_a_grant_read_after_a_pause_waits_for_an_answer_asked_after_it(
    monkeypatch, pause_s, maybe_replaced
):
    """A router reads a grant after a pause, before its next tick. It must wait until a
    peer confirms the same view by answering a probe sent after the pause; an unread
    answer to an earlier probe is outdated. If the pause was long enough for others to
    have declared the router dead, the grant is returned."""
    world = World(monkeypatch)
    world.tick(0.1)
    (old,) = [m for m in world.answers() if isinstance(m, Ack)]
    world.now += pause_s
    world.grant()
    world.tell(old)
    world.tick(0.1)
    assert not world.started
    confirmed = Mock(wraps=world.node.owner.on_view_confirmed)
    monkeypatch.setattr(world.node.owner, "on_view_confirmed", confirmed)
    for message in world.answers():
        world.tell(message)
    confirmed.assert_called_once_with(world.now, maybe_replaced=maybe_replaced)
    assert world.started == ([] if maybe_replaced else ["r1:1:1"])
    assert world.returned == (["r1:1:1"] if maybe_replaced else [])


def test_a_router_that_nobody_answers_gives_the_grants_back(monkeypatch):
    """The owner dies during the pause. No peer confirms the view, so this router's own
    probes must detect the death; until then the grant is neither started nor lost."""
    world = World(monkeypatch)
    world.tick(0.1)
    world.now += 10.0
    world.grant()
    for _ in range(40):
        world.tick(0.125)
    assert not world.started
    assert world.returned == ["r1:1:1"]
