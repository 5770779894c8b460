"""Membership cores connected by an in-memory network, in simulated time."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from greengageflow.core.effects import Connect, Disconnect, Send
from greengageflow.core.membership import Membership, Seed
from greengageflow.core.messages import Member, PeerId
from greengageflow.net.wire import decode, encode


class Router:
    def __init__(self, fleet, name, boot, seeds):
        self.peer = PeerId(name, boot)
        self.addresses = {}
        self.paused_until = 0.0
        self.inbox = []
        own = Member(name, boot, 0, "alive", "127.0.0.1", int(name[1:]), "z1")
        self.core = Membership(
            own,
            [Seed(seed, "127.0.0.1", int(seed[1:])) for seed in seeds],
            seed=fleet.random.random(),
        )


class Fleet:
    def __init__(self, size, *, seed=1, loss=0.0, duplication=0.0, seeds=2):
        self.random = Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.duplication = duplication
        self.is_cut = lambda a, b: False
        self.routers = {}
        self.bytes_out = 0
        self.messages_out = 0
        self._queue = []
        self._sequence = count()
        self._seeds = [f"r{n}" for n in range(1, seeds + 1)]
        for number in range(1, size + 1):
            self.start(f"r{number}")

    def start(self, name, boot=1):
        router = self.routers[name] = Router(self, name, boot, self._seeds)
        self._at(self.now + self.random.random(), self._tick, router)
        return router

    def kill(self, name):
        return self.routers.pop(name)

    def core(self, name):
        return self.routers[name].core

    def run(self, seconds):
        self.run_until(lambda: False, seconds)

    def run_until(self, condition, limit_s=60.0):
        """Run until the condition holds; return the seconds taken, or None."""
        start = last_check = self.now
        while self._queue and self.now < start + limit_s:
            if self.now >= last_check + 0.1:
                last_check = self.now
                if condition():
                    return self.now - start
            self.now, _, callback, args = heappop(self._queue)
            callback(*args)
        return None

    def views_agree(self):
        live = set(self.routers)
        return all(set(r.core.members) == live for r in self.routers.values())

    def run_effects(self, router, effects):
        for effect in effects:
            match effect:
                case Connect(host, _, port):
                    router.addresses[host] = port
                case Disconnect():
                    pass
                case Send(to, message):
                    self._send(router, to, message)

    def _at(self, when, callback, *args):
        heappush(self._queue, (when, next(self._sequence), callback, args))

    def _tick(self, router):
        if self.routers.get(router.peer.host) is not router:
            return
        if router.paused_until > self.now:
            self._at(router.paused_until, self._tick, router)
            return
        self.run_effects(router, router.core.on_tick(self.now))
        self._at(self.now + router.core.tick_s, self._tick, router)

    def _send(self, router, to, message):
        assert to in router.addresses, "no address was given for the peer"
        data = encode(router.peer, message)
        self.bytes_out += len(data)
        self.messages_out += 1
        for _ in range(1 + (self.random.random() < self.duplication)):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(0.0005, 0.003)
                self._at(self.now + delay, self._deliver, router.peer.host, to, data)

    def _deliver(self, host, to, data):
        router = self.routers.get(to)
        if router is None or self.is_cut(host, to):
            return
        if router.paused_until > self.now:
            self._at(router.paused_until, self._deliver, host, to, data)
            return
        self.run_effects(router, router.core.receive(self.now, *decode(data)))
