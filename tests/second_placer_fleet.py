"""A fleet of hosts with several placers, some of which have full engines.

Its placers reject what they can't start at once, as forecasts of free slots do.
"""

from collections import Counter
from itertools import count
from types import SimpleNamespace

from test_placement import PROMPT, Fleet, HostStub

from greengageflow.core.endpoint_choice import MAX_FILL_FRACTION, Choice
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.fleet_sums import FleetTotals, merge
from greengageflow.core.place_messages import PlacementRequest
from greengageflow.core.placers import placer_of, placers_among
from greengageflow.core.prompt_places import home_of
from greengageflow.core.routes import Backend, RetryPolicy, Route, Routing, Service
from greengageflow.core.second_placer import choose_second_placer
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.placer_role import NEW_PLACER_DELAY_S
from greengageflow.errors import ErrorKind
from greengageflow.net.report_codec import decode, encode

SLOTS = 12
USABLE_SLOTS = int(SLOTS * MAX_FILL_FRACTION)
HOSTS = 60
ENGINES = 16
SHORT_TARGET_S, LONG_TARGET_S = 0.3, 2.0
ONE_WAY_S = 0.002
PATIENCE_S = 0.5
ROUND_S = 0.25
TICK_S = 0.02


class RedirectFleet(Fleet):
    """Hosts with four placers; the prompt's home engine belongs to ``first``.

    The engines of each placer have a zone and a software version of their own.

    Attributes:
        requests: Requests to placers in the order in which they were sent, with the
            placer and the time.
        delay_s: Returns the time that a message takes.
    """

    def __init__(self, *, target_s=SHORT_TARGET_S):
        self.now, self.unreachable, self.crashed = 0.0, set(), set()
        self.is_dropped = lambda message: False
        self.delay_s = lambda message: ONE_WAY_S
        self.translate = lambda message: message
        self.members_known_at, self.target_s = 0.0, target_s
        self.requests, self.outcomes = [], Counter()
        self._heap, self._order = [], count()
        names = [f"h{i}" for i in range(HOSTS)]
        self.placers = placers_among([SimpleNamespace(host=n, boot=1) for n in names])
        self.hosts = {}
        self.hosts = {n: RedirectHost(self, n, i) for i, n in enumerate(names)}
        self.others = [h for n, h in self.hosts.items() if n not in self.placers]
        engines = self.others[0].endpoints.usable("model")
        self.engines = {p: [] for p in self.placers}
        for engine in engines:
            self.engines[placer_of(engine.id, self.placers)].append(engine)
        self.first = placer_of(home_of(PROMPT.affinity, engines).id, self.placers)
        self.rest = [p for p in self.placers if p != self.first]
        assert all(self.engines.values())
        self.run(NEW_PLACER_DELAY_S + 0.3)

    def fill(self, placer, free=0):
        """Occupy a placer's engines, except for so many slots of all together."""
        book = self.hosts[placer].book
        for number in range(USABLE_SLOTS * len(self.engines[placer]) - free):
            engine = self.engines[placer][number % len(self.engines[placer])]
            choice = Choice(engine)
            book.on_request_sent(self.now, f"busy{number}", choice, None)

    def report(self):
        """Run until all hosts know the loads."""
        self.run(2 * ROUND_S)

    def fill_all_but(self, *placers):
        for placer in set(self.placers) - set(placers):
            self.fill(placer)
        self.report()

    def running_at(self, placer):
        """Return the number of requests that a placer counts on its engines."""
        shares = self.hosts[placer].book.own_loads()
        return sum(shares[e.id].running for e in self.engines[placer] if e.id in shares)

    def demand(self):
        """Return the work that all hosts count as asked for."""
        return sum(
            sum(host.book.recent_demand(self.now).values())
            for host in self.hosts.values()
        )

    def asked(self):
        """Return the placers that were asked, in order."""
        return [placer for placer, _, _ in self.requests]


class RedirectHost(HostStub):
    """A host whose scheduler rejects at once what it can't start."""

    def __init__(self, fleet, name, index, boot=1):
        super().__init__(fleet, name, index, boot)
        self.retry_after_s = 1.0 + index / 100
        self.rejects_at_once, self.refused_at, self.sent_to = True, {}, {}
        list(self.endpoints.drop("e0"))
        for number in range(ENGINES):
            owner = placer_of(f"e{number}", fleet.placers)
            engine = ListedEndpoint(
                f"e{number}",
                "model",
                "10.0.0.1",
                80,
                f"zone of {owner}",
                slots=SLOTS,
                version=f"version of {owner}",
            )
            list(self.endpoints.put(engine))
        service = Service("model", slots=SLOTS, memory_tokens=100_000)
        routing = Routing(
            version=1, services={"model": service}, routes=(_route(fleet.target_s),)
        )
        self.book.on_routing(routing)
        self._submit, self.book.submit = self.book.submit, self._reject_or_submit
        self.placement.on_redirected = self._on_redirected
        self.every(TICK_S, lambda: self.carry_out(self.book.pump(self.now)))

    def _on_redirected(self, redirect, outcome):
        assert redirect.refusal.kind is ErrorKind.QUEUE_FULL
        self.fleet.outcomes[outcome.value] += 1

    def _reject_or_submit(self, now, service, job, account, **options):
        request, decided = job.queued_request.id, set()
        for decision in self._submit(now, service, job, account, **options):
            decided.add(decision.request)
            yield decision
        if request in decided or not self.rejects_at_once:
            return
        yield from self.book.on_request_end(now, service, request)
        text = "no slot becomes free in time"
        yield RefuseJob(request, ErrorKind.QUEUE_FULL, text, self.retry_after_s)

    def round(self):
        self.placement.on_round()
        reports = [
            FleetTotals(
                h.book.recent_work(self.now),
                h.book.recent_demand(self.now),
                h.book.own_loads(),
                1,
            )
            for h in map(self.fleet.hosts.get, self.fleet.placers)
            if h is not self
        ]
        self.carry_out(self.book.on_totals(self.now, merge(reports)))

    def send_to(self, to, message):
        [target] = [h for h in self.fleet.hosts.values() if h.hello.address == to]
        if isinstance(message, PlacementRequest):
            self.fleet.requests.append((target.name, self.now, message))
        lost = self.fleet.unreachable | self.fleet.crashed
        if target.name in lost or self.fleet.is_dropped(message):
            return
        data = encode(message)

        def arrive():
            target.placement.receive(self.fleet.translate(decode(data)))

        self.fleet.at(self.now + self.fleet.delay_s(message), arrive)

    def carry_out(self, decisions):
        for decision in decisions:
            is_own = decision.request.isdigit()
            if is_own and isinstance(decision, RefuseJob):
                if self.placement.redirect(decision):
                    continue
                self.refused_at[decision.request] = self.now
            elif is_own and isinstance(decision, StartJob):
                self.sent_to[decision.request] = decision.choice.endpoint
            super().carry_out([decision])

    def ask(self, patience_s=PATIENCE_S, **fields):
        name, now = str(next(self.runs)), self.now
        queued_request = QueuedRequest(
            name, "a", PROMPT.work, 0, now, now + 1, now + patience_s
        )
        job = Job(queued_request, 1.0, PROMPT, **fields)
        self.carry_out(self.placement.submit(now, "model", job, "a"))
        return name

    def end(self, name):
        engine = self.sent_to.get(name)
        if engine is not None:
            self.placement.on_request_released(name, engine)
        self.carry_out(self.placement.on_request_end(self.now, "model", name))


def fleet_with_free(**options):
    """Return a fleet, an entry host, and the only placer with free slots.

    The draw of two for the host's first request includes that placer.
    """
    fleet = RedirectFleet(**options)
    second = fleet.rest[0]
    fleet.fill_all_but(second)
    free = {placer: 10 * (placer == second) for placer in fleet.rest}.get
    host = next(
        host
        for host in fleet.others
        if choose_second_placer(f"{host.name} {host.hello.boot} 1", fleet.rest, free)
    )
    return fleet, host, second


def _route(target_s):
    return Route(
        name="chat",
        host="a.example",
        prefix="/",
        retry_policy=RetryPolicy.RESUME,
        stream=True,
        timeout_s=10.0,
        target_s=target_s,
        gap_s=0.3,
        attempts=2,
        priority=0,
        public=True,
        backends=(Backend("model"),),
    )
