"""Load on engines whose slots are the bottleneck, played against a dispatcher."""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from engine_stubs import stream_route

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import (
    QUEUE_TARGET_FRACTION,
    Job,
    RefuseJob,
    StartJob,
)
from greengageflow.core.work_queue import QueuedRequest

TARGET_S = 0.4
SLOTS = 12
WORK = 700.0
FIRST_EVENT_S = 0.02


def make_dispatcher(engines, target_s=TARGET_S, tokens_per_s=0.0):
    listed = EndpointList()
    for number in range(engines):
        name = f"e{number}"
        list(listed.put(ListedEndpoint(name, "scribe", "127.0.0.1", 9, "z", SLOTS)))
    made = ServiceDispatcher(
        listed, "z", lambda: FleetRetryBudget(0.2, 10, 10.0), host="h0"
    )
    service = Service("scribe", SLOTS, 400_000, warmup_per_s=6.0, cold_start_s=1.0)
    services = {"scribe": service}
    routes = (stream_route(target_s),)
    made.on_routing(
        Routing(1, routes=routes, services=services, tokens_per_s=tokens_per_s)
    )
    made.set_owned_engines(frozenset(listed.ids()))
    return made


@dataclass
class Call:
    """A caller's request and what became of it."""

    id: str
    account: str
    at: float
    tokens_out: int
    duration_s: float
    waited_s: float = 0.0
    end: str = ""
    refusal: RefuseJob | None = None
    fields: dict = field(default_factory=dict)

    @property
    def by_forecast(self):
        return self.refusal is not None and self.refusal.start_probability is not None


class SlotBoundLoad:
    """Plays calls; an engine answers after a fixed time and for a random one.

    Args:
        dispatcher: The dispatcher.
        seed: Seed of the durations.
        median_s: Median time of an answer from its first event, in seconds.
    """

    def __init__(self, dispatcher, seed=1, median_s=0.8):
        self.dispatcher = dispatcher
        self.random = Random(seed)
        self.median_s = median_s
        self.calls = {}
        self.now = 0.0
        self._heap = []
        self._order = count()

    def call(self, at, account, **fields):
        """Schedule a call; ``fields`` are further arguments of its job."""
        kind = self.random.choice((20, 300))
        seconds = self.random.lognormvariate(0.0, 0.4) * self.median_s
        name = f"r{len(self.calls)}"
        made = Call(name, account, at, kind, seconds * (1.3 if kind > 20 else 0.7))
        made.fields = fields
        self.calls[name] = made
        self._at(at, self._submit, made)

    def steady(self, account, per_s, until, start=0.0):
        at = start
        while (at := at + self.random.expovariate(per_s)) < until:
            self.call(at, account)

    def play(self):
        """Play all calls, and return them by account."""
        end = max(call.at for call in self.calls.values()) + 1.0
        for number in range(int(end / 0.05)):
            self._at(0.05 * number, self._pump)
        for number in range(int(end / 0.25)):
            self._at(0.25 * number, self._report)
        while self._heap:
            self.now, _, action, args = heappop(self._heap)
            action(*args)
        found = defaultdict(list)
        for call in self.calls.values():
            found[call.account].append(call)
        return found

    def _at(self, at, action, *args):
        heappush(self._heap, (at, next(self._order), action, args))

    def _pump(self):
        self._carry_out(self.dispatcher.pump(self.now))

    def _report(self):
        self._carry_out(self.dispatcher.on_totals(self.now, FleetTotals(hosts=8)))

    def _submit(self, call):
        queued = QueuedRequest(
            call.id,
            call.account,
            WORK,
            0,
            self.now,
            self.now + TARGET_S,
            self.now + QUEUE_TARGET_FRACTION * TARGET_S,
        )
        prompt = Prompt((PromptPart(call.id, 500),), 500, call.tokens_out)
        job = Job(queued, TARGET_S, prompt, **call.fields)
        self._carry_out(self.dispatcher.submit(self.now, "scribe", job, call.account))

    def _carry_out(self, decisions):
        for decision in decisions:
            call = self.calls[decision.request]
            call.waited_s = self.now - call.at
            match decision:
                case StartJob(choice=choice):
                    call.end = "started"
                    prompt = Prompt((PromptPart(call.id, 500),), 500, call.tokens_out)
                    self.dispatcher.on_request_sent(self.now, call.id, choice, prompt)
                    first_at = self.now + FIRST_EVENT_S
                    self._at(first_at, self._first_event, call, choice.endpoint)
                    ends_at = first_at + call.duration_s
                    self._at(ends_at, self._answered, call, choice.endpoint)
                case RefuseJob():
                    call.end = "refused"
                    call.refusal = decision

    def _first_event(self, call, endpoint):
        self.dispatcher.on_first_event(self.now, call.id, endpoint)

    def _answered(self, call, endpoint):
        dispatcher = self.dispatcher
        dispatcher.on_request_released(call.id, endpoint, completed_at=self.now)
        self._carry_out(dispatcher.on_request_end(self.now, "scribe", call.id))
