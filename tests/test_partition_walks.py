"""Random partitions of owners and entry routers on a simulated clock."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from core_net import Node, config

from greengageflow.core.effects import Send, Start
from greengageflow.core.entry import WaitingRequest
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import LiveMember

HOSTS = ("r1", "r2", "r3", "r4", "r5")
LEFT_SIDE = {"r1", "r2"}
ENDPOINTS = ("e1", "e2", "e3")
SLOTS = 4
OUTSTANDING = 4
"""Requests that each router has at any time."""
SETTLE_S = 2.0
MAX_DELAY_S = 0.3
"""Longest delay of a message, and of an endpoint's load report in each direction."""
SUSPICION_S = 0.8
"""Time after a cut until the first router knows of it, in seconds."""
SPREAD_S = 0.8
"""Time in which all routers learn of a change of the view, in seconds."""
SEEDS = range(100)


class Walk:
    """Routers, and endpoints that run requests; each router has its own view.

    Messages between two routers keep their order, and those across a cut are lost.
    Requests reach their endpoint, and their ends the router, after a delay. Endpoints
    update their load reports twice a second.
    """

    def __init__(self, seed):
        self.random, self.now = Random(seed), 100.0
        self.cfg = config(
            {"a": 1.0}, ENDPOINTS, slots=SLOTS, queue_limit=1000, deadline_s=60.0
        )
        self.nodes, self.cuts = {}, set()
        self.running = {name: set() for name in ENDPOINTS}
        self.reports = Counter()
        self.most_running = 0
        self._heap, self._sequence, self._ids = [], count(), count()
        self._link_free_at = {}
        self._live = {host: set(HOSTS) for host in HOSTS}
        for host in HOSTS:
            node = self.nodes[host] = Node(self, host, "z", 1)
            node.owner = EndpointOwner(node.peer, node.ledger, settle_s=SETTLE_S)
        for host, node in self.nodes.items():
            self._push_view(host)
            node.on_config(self.cfg)
            self._fill(node)
        self._every(0.05, self._tick)
        self._every(0.5, self._report_shares)
        self._every(0.5, self._refresh_reports)
        for node in self.nodes.values():
            self._after(self.random.uniform(0, 1), lambda n=node: self._poll(n))

    def run_for(self, seconds):
        end = self.now + seconds
        while self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def _after(self, delay_s, call):
        heappush(self._heap, (self.now + delay_s, next(self._sequence), call))

    def _every(self, interval_s, call):
        def repeat():
            call()
            self._after(interval_s, repeat)

        self._after(interval_s, repeat)

    # Views.

    def cut(self):
        self.cuts = {
            frozenset((a, b)) for a in LEFT_SIDE for b in set(HOSTS) - LEFT_SIDE
        }
        for host, other in self._sorted_cuts():
            for pair in ((host, other), (other, host)):
                delay_s = SUSPICION_S + self.random.uniform(0, SPREAD_S)
                self._after(delay_s, lambda p=pair: self._lose(*p))

    def heal(self):
        pairs, self.cuts = self._sorted_cuts(), set()
        for host, other in pairs:
            for pair in ((host, other), (other, host)):
                delay_s = self.random.uniform(0, SPREAD_S)
                self._after(delay_s, lambda p=pair: self._find(*p))

    def _sorted_cuts(self):
        return sorted(tuple(sorted(pair)) for pair in self.cuts)

    def _lose(self, host, other):
        if frozenset((host, other)) in self.cuts:
            self._live[host].discard(other)
            self._push_view(host)

    def _find(self, host, other):
        self._live[host].add(other)
        self._push_view(host)

    def _push_view(self, host):
        live = {other: LiveMember(1, "z") for other in sorted(self._live[host])}
        self.nodes[host].on_view(live, frozenset(HOSTS))

    # Periodic work.

    def _tick(self):
        for node in self.nodes.values():
            node.tick()
            self._fill(node)

    def _fill(self, node):
        while node.entry.waiting + node.entry.running < OUTSTANDING:
            request = f"q{next(self._ids)}"
            waiting = WaitingRequest(request, "a", "m", 60.0, self.now + 60.0)
            self.run(node, node.entry.submit(self.now, waiting))

    def _report_shares(self):
        for node in self.nodes.values():
            node.report()

    def _refresh_reports(self):
        for name, running in self.running.items():
            self.reports[name] = len(running)

    def _poll(self, node):
        for name in ENDPOINTS:
            if node.view.owner_of(name) == node.peer.host:
                delay_s = self.random.uniform(0, MAX_DELAY_S)
                self._after(delay_s, lambda n=name: self._answer_poll(node, n))
        self._after(1.0, lambda: self._poll(node))

    def _answer_poll(self, node, name):
        running = self.reports[name]
        self._after(
            self.random.uniform(0, MAX_DELAY_S),
            lambda: node.owner.on_load(self.now, name, running),
        )

    # Effects.

    def run(self, node, effects):
        for effect in list(effects):
            match effect:
                case Send(to=to, message=message) if to == node.peer.host:
                    node.receive(node.peer, message)
                case Send(to=to, message=message):
                    self._send(node, to, message)
                case Start(endpoint=name, grant=grant):
                    delay_s = self.random.uniform(0, MAX_DELAY_S / 2)
                    self._after(
                        delay_s, lambda n=name, g=grant: self._arrive(node, n, g)
                    )

    def _send(self, node, to, message):
        link = node.peer.host, to
        is_late = self.random.random() < 0.3
        delay_s = self.random.uniform(0, MAX_DELAY_S) if is_late else 0.003
        at = max(self.now + delay_s, self._link_free_at.get(link, 0.0))
        self._link_free_at[link] = at
        if frozenset(link) not in self.cuts:
            self._after(at - self.now, lambda: self._deliver(node, to, message))

    def _deliver(self, node, to, message):
        if frozenset((node.peer.host, to)) not in self.cuts:
            self.nodes[to].receive(node.peer, message)

    def _arrive(self, node, name, grant):
        running = self.running[name]
        running.add(grant)
        self.most_running = max(self.most_running, len(running))
        run_s = min(8.0, self.random.lognormvariate(-0.4, 0.6))
        self._after(run_s, lambda: self._end(node, name, grant, run_s))

    def _end(self, node, name, grant, run_s):
        self.running[name].discard(grant)
        self._after(
            self.random.uniform(0, 0.1),
            lambda: self.run(node, node.entry.on_finished(grant, 60.0, run_s)),
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_partition_with_delayed_views_and_messages(seed):
    """Routers learn of a cut and of its end at different times, and messages are late.
    Routers took grants from before the cut, whose slots their owners had granted again:
    5 requests ran in 4 slots."""
    walk = Walk(seed)
    walk.run_for(5.0 + walk.random.random())
    walk.cut()
    walk.run_for(walk.random.uniform(2.0, 6.0))
    walk.heal()
    walk.run_for(14.0)
    assert walk.most_running == SLOTS
