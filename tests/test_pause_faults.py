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


def owned_endpoint_net():
    """Return a network, the owner of its endpoint and another router."""
    net = Net(HOSTS, config({"a": 1.0}, ["e1"], slots=SLOTS))
    net.step(1.1)
    owner = net.nodes["r0"].view.owner_of("e1")
    return net, owner, min(set(HOSTS) - {owner})


def intercept(net, matches):
    intercepted = [item for item in net.messages if matches(*item)]
    net.messages = [item for item in net.messages if item not in intercepted]
    return intercepted


def update_views(net, hosts, dead):
    live = {h: LiveMember(net.boots[h], "za") for h in HOSTS if h != dead}
    for host in hosts:
        net.nodes[host].on_view(live, net.roster)


def run_for(net, seconds, *, run_s=float("inf")):
    for _ in range(round(seconds / 0.25)):
        net.step(0.25)
        assert net.load()["e1"] <= SLOTS
        for grant, (*_, since) in list(net.running.items()):
            if net.now - since >= run_s:
                net.finish(grant)


def test_grants_of_a_dead_owner_are_not_started_after_a_pause():
    """A paused router has four unread grants. Their owner dies and leaves the host
    list, and the next owner grants the four slots again after the settle time. The
    resumed router read the grants before its view changed and started all four: the
    endpoint ran 8 requests in 4 slots."""
    net, owner, paused = owned_endpoint_net()
    own_requests = [net.submit(paused, "a", deadline_s=60.0) for _ in range(SLOTS)]
    grants = []
    while len(grants) < SLOTS:
        net.deliver()
        grants += intercept(net, lambda _, to, message: isinstance(message, Grant))
    net.drain()
    paused_node = net.nodes.pop(paused)
    net.crash(owner)
    net.roster -= {owner}
    update_views(net, net.nodes, owner)
    for host in net.nodes:
        net.submit(host, "a")
        net.submit(host, "a")
    run_for(net, 1.5)
    assert net.load()["e1"] == SLOTS
    net.nodes[paused] = paused_node
    paused_node.entry.on_pause()
    net.messages += grants
    net.drain()
    assert net.load()["e1"] == SLOTS
    update_views(net, [paused], owner)
    net.run(
        paused_node, paused_node.entry.on_view_confirmed(net.now, maybe_replaced=False)
    )
    run_for(net, 10.0, run_s=1.0)
    assert not net.waiting.keys() & set(own_requests)


def test_valid_grants_start_when_the_view_is_confirmed():
    net, _, paused = owned_endpoint_net()
    node = net.nodes[paused]
    node.entry.on_pause()
    net.submit(paused, "a")
    run_for(net, 3.0)
    assert not net.running
    net.run(node, node.entry.on_view_confirmed(net.now, maybe_replaced=False))
    assert len(net.running) == 1
    run_for(net, 1.0)


def test_grants_to_a_router_declared_dead_are_returned():
    """A router with four unread grants is paused until the others declare it dead.
    Their owner stays alive and grants the slots again once the endpoint reports that
    nothing runs. The router's view is the same before and after the pause, so it
    started all four grants, and the endpoint ran 7 requests in 4 slots."""
    net, owner, paused = owned_endpoint_net()
    own_requests = [net.submit(paused, "a", deadline_s=60.0) for _ in range(SLOTS)]
    grants = []
    while len(grants) < SLOTS:
        net.deliver()
        grants += intercept(net, lambda _, to, message: isinstance(message, Grant))
    net.drain()
    paused_node = net.nodes.pop(paused)
    update_views(net, net.nodes, paused)
    for host in net.nodes:
        net.submit(host, "a")
    for _ in range(12):
        net.nodes[owner].owner.on_load(net.now, "e1", net.load()["e1"])
        net.step(0.25)
    assert net.load()["e1"] == SLOTS - 1
    net.nodes[paused] = paused_node
    paused_node.entry.on_pause()
    net.messages += grants
    update_views(net, HOSTS, None)
    net.drain()
    net.run(
        paused_node, paused_node.entry.on_view_confirmed(net.now, maybe_replaced=True)
    )
    run_for(net, 10.0, run_s=1.0)
    assert not net.waiting.keys() & set(own_requests)


def test_a_lost_registration_is_sent_to_the_new_owner_again():
    """The owner dies while four requests run. Their registrations with the next owner
    are lost, as its connection is not established yet. They were sent only once, so the
    next owner assumed free slots after the settle time, and the endpoint ran 8 requests
    in 4 slots."""
    net, owner, other = owned_endpoint_net()
    for _ in range(SLOTS):
        net.submit(other, "a")
    net.drain()
    net.crash(owner)
    net.roster -= {owner}
    update_views(net, net.nodes, owner)
    lost = intercept(net, lambda _, to, message: isinstance(message, GrantTaken))
    assert len(lost) == SLOTS
    for host in net.nodes:
        net.submit(host, "a")
    run_for(net, 5.0)


def test_a_resumed_owner_counts_grants_of_other_owners():
    """An owner is paused for so long that another router takes over its endpoint and
    grants its slots. It resumes, reads that its own grants have ended, and granted the
    slots that seemed free before the other requests were registered with it: 7
    requests ran in 4 slots."""
    net, owner, other = owned_endpoint_net()
    others = set(HOSTS) - {owner}
    for host in others:
        for _ in range(SLOTS):
            net.submit(host, "a")
    net.drain()
    paused_node = net.nodes.pop(owner)
    update_views(net, others, owner)
    for grant in list(net.running):
        net.finish(grant)
    unread = []
    for _ in range(12):
        unread += intercept(net, lambda _, to, message: to == owner)
        net.step(0.25)
        current_owner = net.nodes[other].view.owner_of("e1")
        net.nodes[current_owner].owner.on_load(net.now, "e1", net.load()["e1"])
    assert net.load()["e1"] == SLOTS - 1
    net.nodes[owner] = paused_node
    paused_node.owner.on_pause()
    for sender, _, message in unread:
        paused_node.receive(sender, message)
    update_views(net, HOSTS, None)
    net.run(
        paused_node, paused_node.owner.on_view_confirmed(net.now, maybe_replaced=True)
    )
    run_for(net, 3.0)
    assert net.load()["e1"] == SLOTS


class RouterWithPeer:
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
        self.receive_from_peer(Ping(1, 0, 0, (member("r1"),)))
        names = (f"e{number}" for number in range(99))
        self.name = next(n for n in names if self.node.view.owner_of(n) == "r1")
        self.node.on_config(config({"a": 1.0}, [self.name]))

    @property
    def started(self):
        return [c.args[0].grant for c in self.node.requests.on_start.call_args_list]

    @property
    def returned(self):
        return [m.grant for m in self.sent if isinstance(m, GrantReturned)]

    def receive_from_peer(self, message):
        self.node.receive(PeerId("r1", 1), message)

    def tick(self, seconds):
        self.now += seconds
        self.node._on_membership_tick()

    def peer_answers(self):
        """Return r1's answers to all messages sent to it since the last call."""
        sent, self.sent = self.sent, []
        answered = (self.peer.receive(self.now, PeerId("r0", 1), m) for m in sent)
        effects = [effect for answer in answered for effect in answer]
        return [e.message for e in effects if isinstance(e, Send)]

    def grant(self):
        req = WaitingRequest("q", "a", "m", 100.0, self.now + 60.0)
        self.node.run(self.node.entry.submit(self.now, req))
        self.receive_from_peer(Grant("r1:1:1", "a", "m", self.name, boot=1))


def member(host):
    return Member(host, 1, 0, "alive", "127.0.0.1", 1, "za")


@pytest.mark.parametrize(("pause_s", "maybe_replaced"), [(2.0, False), (10.0, True)])
def test_a_grant_read_after_a_pause_waits_for_a_newer_probe_answer(
    monkeypatch, pause_s, maybe_replaced
):
    """A router reads a grant after a pause, before its next tick. It must wait until a
    peer confirms the same view by answering a probe sent after the pause; an unread
    answer to an earlier probe is outdated. If the pause was long enough for others to
    have declared the router dead, the grant is returned."""
    router = RouterWithPeer(monkeypatch)
    router.tick(0.1)
    (old_ack,) = [m for m in router.peer_answers() if isinstance(m, Ack)]
    router.now += pause_s
    router.grant()
    router.receive_from_peer(old_ack)
    router.tick(0.1)
    assert not router.started
    confirmed = Mock(wraps=router.node.owner.on_view_confirmed)
    monkeypatch.setattr(router.node.owner, "on_view_confirmed", confirmed)
    for message in router.peer_answers():
        router.receive_from_peer(message)
    confirmed.assert_called_once_with(router.now, maybe_replaced=maybe_replaced)
    assert router.started == ([] if maybe_replaced else ["r1:1:1"])
    assert router.returned == (["r1:1:1"] if maybe_replaced else [])


def test_a_router_without_probe_answers_returns_its_grants(monkeypatch):
    """The owner dies during the pause. No peer confirms the view, so this router's own
    probes must detect the death; until then the grant is neither started nor lost."""
    router = RouterWithPeer(monkeypatch)
    router.tick(0.1)
    router.now += 10.0
    router.grant()
    for _ in range(40):
        router.tick(0.125)
    assert not router.started
    assert router.returned == ["r1:1:1"]
