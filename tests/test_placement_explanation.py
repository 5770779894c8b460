"""Explanations of placements: they are true, and change no later decision."""

from collections import deque
from itertools import count
from random import Random

import pytest

from greengageflow.core.endpoint_choice import EndpointChooser
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.placement_explanation import (
    Exclusion,
    Outcome,
    explain_placement,
)
from greengageflow.core.routes import Backend, RetryPolicy, Route, Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest

TARGET_S = 0.4
ACCOUNTS = ("olive", "sage", "thyme")
SERVICES = {
    "scribe": Service(
        "scribe",
        slots=4,
        memory_tokens=20_000,
        transfers=True,
        warmup_per_s=6.0,
        cold_start_s=1.0,
    ),
    "app": Service("app", slots=2),
}


def chat_route(target_s=TARGET_S):
    return Route(
        name="chat",
        host="app.example",
        prefix="/chat/",
        retry_policy=RetryPolicy.RESUME,
        stream=True,
        timeout_s=10.0,
        target_s=target_s,
        gap_s=1.0,
        attempts=2,
        priority=0,
        public=False,
        backends=(Backend("scribe"),),
    )


def listed(name, zone="a", **fields):
    service = "scribe" if name.startswith("e") else "app"
    values = {"slots": 4 if service == "scribe" else 2, "version": "v1", **fields}
    return ListedEndpoint(name, service, "127.0.0.1", 9, zone, **values)


class Host:
    """One host's dispatcher with four engines and three plain endpoints."""

    def __init__(self):
        self.endpoints = EndpointList()
        for number in range(4):
            self.put(listed(f"e{number}", "ab"[number % 2]))
        for number in range(3):
            self.put(listed(f"p{number}", "ab"[number % 2]))
        self.dispatcher = ServiceDispatcher(
            self.endpoints, "a", lambda: FleetRetryBudget(0.1, 10, 10.0), host="h0"
        )
        routing = Routing(1, (chat_route(),), SERVICES, tokens_per_s=20_000.0)
        self.dispatcher.on_routing(routing)
        self.dispatcher.set_live_hosts(0.0, {"h0": "a"})

    def put(self, endpoint):
        list(self.endpoints.put(endpoint))

    def explain(self, now, service, job, owner=lambda _: "h0"):
        return explain_placement(self.dispatcher.preview(now, service), job, owner)

    def submit(self, now, service, job):
        account = job.queued_request.account
        return list(self.dispatcher.submit(now, service, job, account))


def prompt(parts=("system",), tokens=2000, tokens_out=40):
    shared = tuple(PromptPart(name, tokens // 2) for name in parts)
    own = PromptPart("own", tokens - sum(part.tokens for part in shared))
    return Prompt((*shared, own), tokens, tokens_out)


def make_job(now, name="new", account="olive", request=None, **fields):
    work = request.work if request else 1000.0
    queued = QueuedRequest(
        name, account, work, 0, now, now + TARGET_S, now + 0.45 * TARGET_S
    )
    return Job(queued, TARGET_S, request, **fields)


class Simulation:
    """Random load on one host; the same for the same seed while decisions are."""

    def __init__(self, seed):
        self.host = Host()
        self.random = Random(seed)
        self.now = 10.0
        self.names = map(str, count())
        self.decisions = []
        self.running = {}
        self.prompts = {}
        self.steps = [
            (self.submit, 12),
            (self.first_event, 8),
            (self.end, 8),
            (self.totals, 2),
            (self.backoff, 1),
            (self.no_answer, 1),
            (self.failed_answer, 1),
            (self.cold, 1),
            (self.restart, 1),
            (self.placed_elsewhere, 1),
            (self.pump, 3),
        ]

    def random_job(self, random):
        service = random.choice(["scribe", "scribe", "app"])
        request = None
        if service == "scribe":
            tokens = random.choice([400, 2000, 6000])
            part = random.choice(["system", "other", "third"])
            request = prompt((part,), tokens, random.choice([10, 40, 300]))
        zones = random.choice([None, None, None, frozenset("a"), frozenset("c")])
        return service, make_job(
            self.now, "asked", random.choice(ACCOUNTS), request, allowed_zones=zones
        )

    def step(self):
        self.now += self.random.choice([0.0, 0.003, 0.02, 0.08])
        steps, weights = zip(*self.steps, strict=True)
        self.random.choices(steps, weights)[0]()

    def carry_out(self, decisions):
        for decision in decisions:
            self.decisions.append(repr(decision))
            if isinstance(decision, StartJob):
                choice = decision.choice
                self.decisions.append(choice.cost)
                request = self.prompts[decision.request]
                self.host.dispatcher.on_request_sent(
                    self.now, decision.request, choice, request
                )
                self.running[decision.request] = choice.endpoint

    def submit(self):
        service, job = self.random_job(self.random)
        name = next(self.names)
        queued = job.queued_request
        job = make_job(
            self.now,
            name,
            queued.account,
            job.prompt,
            allowed_zones=job.allowed_zones,
        )
        self.prompts[name] = job.prompt
        account = queued.account
        dispatcher = self.host.dispatcher
        self.carry_out(dispatcher.submit(self.now, service, job, account))

    def _any_running(self):
        return self.random.choice(sorted(self.running)) if self.running else None

    def first_event(self):
        if name := self._any_running():
            endpoint = self.running[name]
            self.host.dispatcher.on_first_event(self.now, name, endpoint)

    def end(self):
        if name := self._any_running():
            endpoint = self.running.pop(name)
            dispatcher = self.host.dispatcher
            dispatcher.on_request_released(name, endpoint, completed_at=self.now)
            dispatcher.on_answer(endpoint, True)
            service = endpoint.service
            self.carry_out(dispatcher.on_request_end(self.now, service, name))

    def totals(self):
        loads = {
            f"e{number}": LoadShare(
                self.random.randrange(4), 500.0 * self.random.randrange(4), 3000.0
            )
            for number in range(4)
        }
        served = {("scribe", name): 9000.0 * self.random.random() for name in ACCOUNTS}
        totals = FleetTotals(served, served, hosts=2, loads=loads)
        self.carry_out(self.host.dispatcher.on_totals(self.now, totals))

    def _any_endpoint(self):
        names = sorted(self.host.endpoints.ids())
        return self.host.endpoints.get(self.random.choice(names))

    def backoff(self):
        self.host.dispatcher.on_backoff(self.now, self._any_endpoint(), 0.2)

    def no_answer(self):
        self.host.dispatcher.on_no_answer(self.now, self._any_endpoint())

    def failed_answer(self):
        self.host.dispatcher.on_answer(self._any_endpoint(), False)

    def cold(self):
        name = f"e{self.random.randrange(4)}"
        self.host.dispatcher.warmup.on_cold(self.now, name, 0.3)

    def restart(self):
        before = self._any_endpoint()
        for request, endpoint in list(self.running.items()):
            if endpoint.id == before.id:
                del self.running[request]
                self.host.dispatcher.on_request_released(request, endpoint)
        self.host.dispatcher.forget_endpoint(before.id)
        self.host.put(listed(before.id, before.zone, born=before.born + 1))

    def placed_elsewhere(self):
        name = f"e{self.random.randrange(4)}"
        self.host.dispatcher.on_placements(self.now, [("other", name)])

    def pump(self):
        self.carry_out(self.host.dispatcher.pump(self.now))


STEPS = 2500


def play(seed, asked):
    """Return all decisions on a random load; ``asked`` requests are explained."""
    simulation, random = Simulation(seed), Random(seed + 1)
    ask_at = set(random.sample(range(STEPS), asked))
    for number in range(STEPS):
        simulation.step()
        if number in ask_at:
            now, offset_s = simulation.now, random.choice([0.0, 0.002])
            service, job = simulation.random_job(random)
            simulation.host.explain(now + offset_s, service, job)
        simulation.host.dispatcher.set_live_hosts(simulation.now, {"h0": "a"})
    return simulation.decisions


@pytest.mark.parametrize("seed", range(6))
def test_explanations_change_no_later_decision(seed):
    """Guards against lookups that renew estimates, create loads or count requests:
    a host that was asked a hundred times decides like one that was not, to the last
    digit of each predicted wait and cost.
    """
    decisions = play(seed, 0)
    assert sum(isinstance(decision, float) for decision in decisions) > 200
    assert play(seed, 100) == decisions


STATE = (
    "_loads",
    "_schedulers",
    "_budgets",
    "_recent_work",
    "_recent_demand",
    "_now",
    "work",
)
"""Attributes of a dispatcher that no explanation may touch.

The others drop expired entries when they are read, which changes no decision.
"""


def state(value):
    """Return the attributes of an object and of all objects that it holds."""
    match value:
        case dict():
            return [(name, state(item)) for name, item in value.items()]
        case list() | tuple() | deque():
            return list(map(state, value))
        case set() | frozenset():
            return sorted(map(repr, value))
    names = [*getattr(value, "__dict__", ()), *getattr(value, "__slots__", ())]
    if callable(value) or isinstance(value, EndpointChooser):
        return None
    return [(name, state(getattr(value, name))) for name in names] or repr(value)


def test_explanations_touch_no_load_estimate_or_sum():
    """Guards against changes that show in a decision only on rare loads, such as a
    load that is brought up to date at another moment.
    """
    simulation, random = Simulation(3), Random(4)
    dispatcher = simulation.host.dispatcher
    for number in range(STEPS // 2):
        simulation.step()
        dispatcher.set_live_hosts(simulation.now, {"h0": "a"})
        if number % 25 == 0:
            before = [state(getattr(dispatcher, name)) for name in STATE]
            service, job = simulation.random_job(random)
            simulation.host.explain(simulation.now + 0.004, service, job)
            assert [state(getattr(dispatcher, name)) for name in STATE] == before


def test_explanation_of_an_unused_service_creates_nothing():
    host = Host()
    before = [state(getattr(host.dispatcher, name)) for name in STATE]
    for service, request in (("scribe", prompt()), ("app", None)):
        host.explain(1.0, service, make_job(1.0, request=request))
    assert [state(getattr(host.dispatcher, name)) for name in STATE] == before


@pytest.mark.parametrize("seed", range(6))
def test_explanation_agrees_with_the_decision_that_follows(seed):
    """Guards against an explanation that differs from what the host then does."""
    simulation, outcomes = Simulation(seed), set()
    for number in range(STEPS):
        simulation.step()
        simulation.host.dispatcher.set_live_hosts(simulation.now, {"h0": "a"})
        if number % 10:
            continue
        simulation.pump()
        now = simulation.now
        service, asked = simulation.random_job(simulation.random)
        explained = simulation.host.explain(now, service, asked)
        name = f"checked {number}"
        queued = asked.queued_request
        zones = asked.allowed_zones
        job = make_job(now, name, queued.account, asked.prompt, allowed_zones=zones)
        simulation.prompts[name] = job.prompt
        decisions = simulation.host.submit(now, service, job)
        own = [decision for decision in decisions if decision.request == name]
        simulation.carry_out(decisions)
        outcomes.add(explained.outcome)
        match own:
            case [StartJob(choice=choice)]:
                assert explained.outcome is Outcome.START
                assert explained.endpoint == choice.endpoint.id
                rows = {row.id: row for row in explained.candidates}
                row = rows[explained.endpoint]
                assert row.excluded is None and row.cost == choice.cost
                costs = [r.cost for r in rows.values() if r.cost is not None]
                assert row.cost == min(costs)
                if asked.prompt is not None:
                    assert (row.wait_s, row.reading) == (choice.wait_s, choice.reading)
            case [RefuseJob() as refusal]:
                assert explained.outcome is Outcome.REFUSE
                assert explained.refusal.kind is refusal.kind
                assert explained.refusal.retry_after_s == refusal.retry_after_s
            case _:
                assert explained.outcome is Outcome.QUEUE
                if not explained.account_queued:
                    assert all(row.excluded for row in explained.candidates)
    assert outcomes == set(Outcome)


def exclusions(host, now=1.0, service="scribe", **fields):
    request = fields.pop("request", prompt() if service == "scribe" else None)
    explained = host.explain(now, service, make_job(now, request=request, **fields))
    return {row.id: row.excluded for row in explained.candidates}, explained


def test_reasons_for_exclusion_are_given():
    host = Host()
    dispatcher, endpoints = host.dispatcher, host.endpoints
    host.put(listed("e4", "evacuated"))
    endpoints.evacuate(frozenset({"evacuated"}))
    endpoints.mark_leaving("e0", 0)
    dispatcher.on_backoff(1.0, endpoints.get("e1"), 5.0)
    for _ in range(2):
        dispatcher.on_no_answer(1.0, endpoints.get("e2"))
    dispatcher.on_loads({"e3": LoadShare(4, 0.0, 0.0)})
    found, explained = exclusions(host)
    assert found == {
        "e0": Exclusion.LEAVING,
        "e1": Exclusion.BACKOFF,
        "e2": Exclusion.SUSPENDED,
        "e3": Exclusion.NO_SLOT,
        "e4": Exclusion.EVACUATED,
    }
    assert explained.outcome is Outcome.QUEUE
    assert explained.refusal.retry_after_s == 1.0
    assert explained.candidates[1].excluded_s == 5.0


def test_limits_of_the_request_are_given_as_reasons():
    host = Host()
    host.put(listed("e1", "b", version="v2"))
    host.dispatcher.on_loads(
        {"e0": LoadShare(1, 0.0, 19_000.0), "e2": LoadShare(1, 90_000.0, 0.0)}
    )
    host.dispatcher.set_live_hosts(1.0, {"h0": "a"})
    host.dispatcher.warmup.on_cold(1.0, "e3", 5.0)
    found, explained = exclusions(host)
    assert found["e0"] is Exclusion.NO_MEMORY
    assert found["e1"] is None and explained.endpoint == "e1"
    assert found["e2"] is Exclusion.TOO_LATE
    assert found["e3"] is Exclusion.COLD
    found, _ = exclusions(host, allowed_zones=frozenset("a"))
    assert found["e1"] is Exclusion.REGION
    found, _ = exclusions(host, version="v1")
    assert found["e1"] is Exclusion.VERSION


def test_engines_of_other_placers_are_named():
    host = Host()
    host.dispatcher.set_owned_engines(frozenset({"e0"}))
    job = make_job(1.0, request=prompt())
    owners = {"e0": "h0"}
    explained = host.explain(1.0, "scribe", job, lambda name: owners.get(name, "h7"))
    rows = {row.id: (row.placer, row.excluded) for row in explained.candidates}
    assert rows["e0"] == ("h0", None) and explained.endpoint == "e0"
    assert rows["e1"] == ("h7", Exclusion.OTHER_PLACER)


def test_requests_beyond_a_share_use_spare_capacity_only():
    host = Host()
    served = {("scribe", "olive"): 1e6, ("scribe", "sage"): 1e6}
    totals = FleetTotals(served, served, hosts=2)
    host.submit(0.9, "scribe", make_job(0.9, "earlier", request=prompt()))
    list(host.dispatcher.on_totals(1.0, totals))
    half = {f"e{number}": LoadShare(2, 0.0, 0.0) for number in range(4)}
    host.dispatcher.on_loads(half)
    found, explained = exclusions(host)
    assert explained.beyond_share and set(found.values()) == {Exclusion.BEYOND_SHARE}
    assert explained.refusal.retry_after_s > 1.0


def test_a_request_behind_others_of_its_account_is_queued():
    host = Host()
    full = {f"e{number}": LoadShare(4, 0.0, 0.0) for number in range(4)}
    host.dispatcher.on_loads(full)
    earlier = make_job(1.0, "earlier", request=prompt())
    assert not host.submit(1.0, "scribe", earlier)
    host.dispatcher.on_loads({})
    explained = host.explain(1.01, "scribe", make_job(1.01, request=prompt()))
    assert (explained.outcome, explained.account_queued) == (Outcome.QUEUE, True)
    assert explained.service_queued == 1
    other = make_job(1.01, account="sage", request=prompt())
    assert host.explain(1.01, "scribe", other).outcome is Outcome.START


def test_refusals_carry_their_retry_after():
    host = Host()
    zones = frozenset({"nowhere"})
    _, explained = exclusions(host, service="app", allowed_zones=zones)
    assert explained.outcome is Outcome.REFUSE
    assert explained.refusal.retry_after_s == 1.0
    for name in ("p0", "p1", "p2"):
        host.dispatcher.on_backoff(1.0, host.endpoints.get(name), 3.0)
    found, explained = exclusions(host, service="app")
    assert set(found.values()) == {Exclusion.BACKOFF}
    assert explained.refusal.retry_after_s == 3.0
