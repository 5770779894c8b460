"""Core nodes in one process, with a message queue that the test controls."""

from collections import Counter

from greengageflow.core.catalog import (
    ClientAccount,
    Endpoint,
    FleetConfig,
    Pool,
    PoolKind,
)
from greengageflow.core.collector import Collector
from greengageflow.core.effects import Refuse, Send, Start
from greengageflow.core.entry import EntryQueue, WaitingRequest
from greengageflow.core.messages import PeerId
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.core.shares import ServiceLedger

INTERVAL_S = 0.5


def config(accounts, endpoints, *, slots=2, queue_limit=64, deadline_s=20.0, **fields):
    return FleetConfig(
        accounts={
            name: ClientAccount(name, weight, queue_limit=queue_limit)
            for name, weight in accounts.items()
        },
        pools={"m": Pool("m", PoolKind.MODEL, deadline_s=deadline_s)},
        endpoints={
            name: Endpoint(name, "m", "127.0.0.1", 1, slots=slots) for name in endpoints
        },
        **fields,
    )


class Node:
    def __init__(self, net, host, zone, boot):
        self.net, self.zone, self.peer = net, zone, PeerId(host, boot)
        self.ledger = ServiceLedger(self.peer)
        self.entry = EntryQueue(self.peer, self.ledger)
        self.owner = EndpointOwner(self.peer, self.ledger)
        self.collector = Collector(self.peer, self.ledger, interval_s=INTERVAL_S)
        self.view = None

    def on_config(self, cfg):
        self.ledger.on_config(cfg)
        self.net.run(self, self.owner.on_config(self.net.now, cfg))
        self.net.run(self, self.entry.on_config(self.net.now, cfg))

    def on_view(self, live, roster):
        if self.view is None:
            self.view = FleetView(self.peer, live, roster)
        else:
            self.view = self.view.updated(live, roster)
        self.collector.on_view(self.net.now, self.view)
        self.net.run(self, self.owner.on_view(self.net.now, self.view))
        self.net.run(self, self.entry.on_view(self.net.now, self.view))

    def receive(self, sender, message):
        now = self.net.now
        if type(message).__name__ == "FleetTotals":
            self.ledger.on_totals(now, sender, message)
        self.collector.receive(now, sender, message)
        self.net.run(self, self.owner.receive(now, sender, message))
        self.net.run(self, self.entry.receive(now, sender, message))

    def tick(self):
        now = self.net.now
        self.net.run(self, self.owner.on_tick(now))
        self.net.run(self, self.entry.on_tick(now))

    def report(self):
        self.net.run(self, self.ledger.report(self.view))
        self.net.run(self, self.collector.report(self.net.now))


class Net:
    """Nodes, messages in transit, running requests and all answers."""

    def __init__(self, hosts, cfg):
        self.now = 100.0
        self.cfg = cfg
        self.zones = dict(hosts)
        self.roster = frozenset(self.zones)
        self.sides = dict.fromkeys(hosts, 0)
        self.nodes, self.messages = {}, []
        self.running, self.ended, self.sent = {}, Counter(), Counter()
        self.refused, self.waiting, self.deadlines, self.ids = {}, {}, {}, 0
        self.boots = Counter()
        self.report_at = self.now + INTERVAL_S
        for host in hosts:
            self.boot(host)
        self.refresh_views()

    def boot(self, host):
        self.boots[host] += 1
        node = Node(self, host, self.zones[host], self.boots[host])
        self.nodes[host] = node
        return node

    def refresh_views(self):
        for host, node in self.nodes.items():
            live = {
                other.peer.host: LiveMember(other.peer.boot, other.zone)
                for other in self.nodes.values()
                if self.sides[other.peer.host] == self.sides[host]
            }
            fresh = node.view is None
            node.on_view(live, self.roster)
            if fresh:
                node.on_config(self.cfg)

    def crash(self, host):
        node = self.nodes.pop(host)
        lost = [id for id, at in self.waiting.items() if at == host]
        lost += [grant for grant, run in self.running.items() if run[0] is node]
        for id in lost:
            self.waiting.pop(id, None)
            run = self.running.pop(id, None)
            self.ended[run[1] if run else id] += 1

    def restart(self, host):
        if host in self.nodes:
            self.crash(host)
        self.boot(host)
        self.roster |= {host}
        self.refresh_views()

    def submit(self, host, account, *, cost=100.0, deadline_s=20.0, affinity=""):
        self.ids += 1
        req = WaitingRequest(
            f"q{self.ids}", account, "m", cost, self.now + deadline_s, affinity
        )
        self.waiting[req.id] = host
        self.deadlines[req.id] = req.deadline
        node = self.nodes[host]
        self.run(node, node.entry.submit(self.now, req))
        return req.id

    def run(self, node, effects):
        for effect in list(effects):
            match effect:
                case Send(to=to, message=message):
                    self.sent[type(message).__name__] += to != node.peer.host
                    if to == node.peer.host:
                        node.receive(node.peer, message)
                    else:
                        self.messages.append((node.peer, to, message))
                case Start(request=id, endpoint=endpoint, grant=grant):
                    assert self.waiting.pop(id) == node.peer.host
                    assert grant not in self.running
                    self.running[grant] = (node, id, endpoint, self.now)
                case Refuse(request=id):
                    assert self.waiting.pop(id) == node.peer.host
                    self.refused[id] = effect
                    self.ended[id] += 1

    def finish(self, grant, served=100.0, *, failed=False):
        node, id, _, since = self.running.pop(grant)
        self.ended[id] += 1
        seconds = max(0.01, self.now - since)
        self.run(node, node.entry.on_finished(grant, served, seconds, failed=failed))

    def deliver(self, index=0):
        sender, to, message = self.messages.pop(index)
        node = self.nodes.get(to)
        if node is not None and self.sides[sender.host] == self.sides[to]:
            node.receive(sender, message)

    def drain(self):
        while self.messages:
            self.deliver()

    def step(self, seconds):
        self.drain()
        self.now += seconds
        for grant, (_, id, _, _) in list(self.running.items()):
            if self.deadlines[id] <= self.now:
                self.finish(grant, 0.0)
        for node in list(self.nodes.values()):
            node.tick()
        if self.now >= self.report_at:
            self.report_at = self.now + INTERVAL_S
            for node in list(self.nodes.values()):
                node.report()
        self.drain()

    def load(self):
        return Counter(endpoint for _, _, endpoint, _ in self.running.values())
