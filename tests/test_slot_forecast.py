"""Forecast of free slots: hopeless requests are rejected at once, no others."""

from random import Random

import pytest
from slot_bound_load import (
    TARGET_S,
    SlotBoundLoad,
    make_dispatcher,
)

from greengageflow.core import service_scheduler
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.placement_explanation import Outcome, explain_placement
from greengageflow.core.service_scheduler import Job, RefuseJob, ServiceScheduler
from greengageflow.core.slot_forecast import ForecastOutcome
from greengageflow.core.slot_outlook import (
    MIN_START_PROBABILITY,
    Outlook,
    RequestAhead,
    at_least,
    at_most,
)
from greengageflow.core.work_queue import QueuedRequest, WorkQueue
from greengageflow.errors import ErrorKind

WAIT_S = service_scheduler.QUEUE_TARGET_FRACTION * TARGET_S
SEEDS = (1, 2, 3)


# Probabilities.


@pytest.mark.parametrize("mean", [0.01, 0.3, 2.0, 9.0])
def test_tail_is_no_less_than_that_of_a_poisson_distribution(mean):
    """Guards against a bound below the probability, by which requests that could start
    would be rejected.
    """
    random, counts = Random(1), []
    for _ in range(4000):
        at, n = random.expovariate(1.0), 0
        while at < mean:
            at, n = at + random.expovariate(1.0), n + 1
        counts.append(n)
    for count in range(25):
        share = sum(n >= count for n in counts) / len(counts)
        assert at_least(count, mean) >= share - 0.03
        assert at_least(count, mean) >= at_least(count + 1, mean)


def test_independent_ends_are_counted():
    """Guards against an error in the distribution of the ends at one engine."""
    assert at_most(0, [0.5, 0.5]) == pytest.approx(0.25)
    assert at_most(1, [0.5, 0.5]) == pytest.approx(0.75)
    assert at_most(2, [0.5, 0.5]) == pytest.approx(1.0)
    assert at_most(1, [0.1, 0.2, 0.3]) == pytest.approx(0.504 + 0.398)


def started(random, per_s, expiries, until):
    """Play a queue whose first request gets each slot; return whether the last did."""
    queue, at = sorted(expiries), 0.0
    while (at := at + random.expovariate(per_s)) < until:
        queue = [expires_at for expires_at in queue if expires_at > at]
        if not queue:
            return True
        queue.pop(0)
    return False


@pytest.mark.parametrize("per_s", [10.0, 50.0, 200.0])
@pytest.mark.parametrize("spacing_s", [0.0, 0.0005, 0.003, 0.02])
@pytest.mark.parametrize("ahead", [1, 8, 40])
def test_queue_bound_holds_for_requests_that_expire(per_s, spacing_s, ahead):
    """Guards against counting a request ahead as one that takes a slot although it
    expires before: those behind it would be rejected and could start.
    """
    until = 0.2
    expiries = [until - spacing_s * (n + 1) for n in range(ahead)]
    expiries = [expires_at for expires_at in expiries if expires_at > 0.0]
    bound = Outlook(1.0, per_s).start_probability(
        0.0, until, [RequestAhead(expires_at) for expires_at in expiries]
    )
    if bound < MIN_START_PROBABILITY:
        random = Random(2)
        runs = 2000
        share = sum(started(random, per_s, expiries, until) for _ in range(runs))
        assert share / runs <= bound + 0.01


def test_a_long_queue_of_the_same_moment_is_hopeless():
    """Guards against a bound so loose that it rejects nothing."""
    ahead = [RequestAhead(0.2)] * 40
    assert Outlook(1.0, 50.0).start_probability(0.0, 0.2, ahead) < 1e-4
    assert Outlook(1.0, 50.0).start_probability(0.0, 0.2, ahead[:5]) >= 0.05


def test_requests_ahead_by_account_and_priority():
    """Guards against counting requests that don't come first: those of an account with
    more usage, of a later priority, and those that will be overtaken when late.
    """
    queue = WorkQueue()

    def put(name, account, priority=1, target_at=1.0, expires_at=0.5):
        queued = QueuedRequest(
            name, account, 10.0, priority, 0.0, target_at, expires_at
        )
        queue.put(queued)
        return queued

    put("first", "own", priority=0)
    put("later priority", "own", priority=2)
    put("late in time", "own", priority=0, target_at=0.3, expires_at=0.5)
    own = put("asked", "own")
    put("heavy", "heavy")
    for number in range(4):
        put(f"light {number}", "light")
    usage = {"own": 25.0, "light": 0.0, "heavy": 90.0}
    ahead = queue.ahead_of(0.1, own, usage.get, lambda _: True)
    names = {queued.id for queued in ahead}
    assert names == {"first", "light 0", "light 1", "light 2"}
    ahead = queue.ahead_of(0.1, own, usage.get, lambda q: q.id != "light 1")
    assert {queued.id for queued in ahead} == {"first", "light 0"}


# Played loads.


def bursts(seed, engines=4, target_s=TARGET_S):
    """Bursts of 150 requests in 10 ms at engines that get 40 requests a second free."""
    load = SlotBoundLoad(make_dispatcher(engines, target_s), seed)
    load.steady("steady", 36.0, 24.0)
    for second in range(8, 24, 2):
        for _ in range(150):
            load.call(second + 0.01 * load.random.random(), "burst")
    return load


def step(seed, target_s=TARGET_S):
    """One account had the engines to itself when others begin to fill them."""
    load = SlotBoundLoad(make_dispatcher(2, target_s, tokens_per_s=15_400.0), seed)
    for begin in range(5, 29, 8):
        for number in range(6):
            load.steady(f"small{number}", 6.0, begin + 4.0, begin)
    load.steady("hot", 40.0, 28.0)
    return load


def all_calls(load):
    return [call for calls in load.play().values() for call in calls]


def refusals(calls):
    return [call for call in calls if call.end == "refused"]


@pytest.mark.parametrize("seed", SEEDS)
def test_most_of_a_burst_that_cannot_be_served_is_rejected_at_once(seed):
    """Guards against callers that wait for a refusal that is certain at once."""
    calls = bursts(seed).play()
    refused = refusals(calls["burst"])
    at_once = [call for call in refused if call.waited_s == 0.0]
    assert len(refused) > 600 and len(at_once) > 0.5 * len(refused)
    assert all(call.by_forecast for call in at_once)
    assert {call.refusal.kind for call in at_once} == {ErrorKind.QUEUE_FULL}
    probabilities = [call.refusal.start_probability for call in at_once]
    assert min(probabilities) >= 0.0 and max(probabilities) < MIN_START_PROBABILITY
    assert min(call.refusal.retry_after_s for call in at_once) >= 1.0
    # The other account, which is served first, hardly meets any rejection.
    steady = calls["steady"]
    assert sum(call.by_forecast for call in steady) <= 0.01 * len(steady)


@pytest.mark.parametrize("make_load", [bursts, step])
def test_rejections_take_no_start_from_anyone(make_load, monkeypatch):
    """Guards against capacity that idles while the forecast rejects work."""
    starts = []
    for is_on in (True, False):
        if not is_on:
            monkeypatch.setattr(
                ServiceScheduler, "refuse_hopeless", lambda *_args: None
            )
        starts.append(
            sum(
                call.end == "started"
                for seed in SEEDS
                for call in all_calls(make_load(seed))
            )
        )
    assert starts[0] >= 0.99 * starts[1]


@pytest.mark.parametrize("make_load", [bursts, step])
def test_requests_rejected_by_forecast_would_rarely_have_started(
    make_load, monkeypatch
):
    """Guards against rejections of what could be served: each request that would be
    rejected is queued nevertheless, and at most the bound's fraction starts.
    """
    judged = set()
    refuse = ServiceScheduler.refuse_hopeless

    def observed(scheduler, now, job):
        if refuse(scheduler, now, job) is not None:
            judged.add(job.queued_request.id)

    monkeypatch.setattr(ServiceScheduler, "refuse_hopeless", observed)
    total = served = 0
    for seed in SEEDS:
        judged.clear()
        load = make_load(seed)
        load.play()
        total += len(judged)
        served += sum(load.calls[name].end == "started" for name in judged)
    assert total > 200
    assert served <= MIN_START_PROBABILITY * total


@pytest.mark.parametrize("seed", SEEDS)
def test_an_account_over_its_share_is_rejected_at_once_while_engines_are_full(seed):
    """Guards against requests that wait for half-empty engines that can't come in time.

    Accounts within their share are not affected.
    """
    calls = step(seed).play()
    hot = [call for call in calls.pop("hot") if call.by_forecast]
    assert len(hot) > 50
    others = [call for found in calls.values() for call in found]
    assert not any(call.by_forecast for call in others)


def test_outcomes_are_reported():
    """Guards against a metric that shows nothing of wrong forecasts."""
    load, outcomes = bursts(1), []
    load.dispatcher.on_forecast = lambda *args: outcomes.append(args)
    calls = all_calls(load)
    assert {service for service, _ in outcomes} == {"scribe"}
    found = [outcome for _, outcome in outcomes]
    rejected = sum(call.by_forecast for call in calls)
    assert found.count(ForecastOutcome.REJECTED) == rejected > 0
    waited = [c for c in calls if c.waited_s > 0.0]
    assert 0 < found.count(ForecastOutcome.STARTED) <= len(waited)
    assert 0 < found.count(ForecastOutcome.EXPIRED) <= len(waited)


def play_ends(load):
    return [(call.id, call.end, call.waited_s) for call in all_calls(load)]


@pytest.mark.parametrize("make_load", [bursts, step])
def test_nothing_changes_without_short_targets(make_load, monkeypatch):
    """Guards against a change for deployments with longer targets."""
    with_forecast = play_ends(make_load(1, target_s=1.0))
    monkeypatch.setattr(ServiceScheduler, "refuse_hopeless", lambda *_args: None)
    assert play_ends(make_load(1, target_s=1.0)) == with_forecast


# Single requests.


def prompt(name="own", tokens=500):
    return Prompt((PromptPart(name, tokens),), tokens, 300)


def job(now, name="asked", account="other", **fields):
    queued = QueuedRequest(name, account, 700.0, 0, now, now + TARGET_S, now + WAIT_S)
    return Job(queued, TARGET_S, prompt(name), **fields)


def full_engines(engines=2, version=""):
    """A dispatcher whose engines run 11 requests each that have just begun."""
    load = SlotBoundLoad(make_dispatcher(engines), 1)
    load.steady("steady", 10.0, 10.0)
    load.play()
    dispatcher = load.dispatcher
    for number in range(11 * engines):
        name = f"running{number}"
        [start] = dispatcher.submit(20.0, "scribe", job(20.0, name), "other")
        dispatcher.on_request_sent(20.0, name, start.choice, prompt(name))
        dispatcher.on_first_event(20.02, name, start.choice.endpoint)
    return dispatcher


def submit(dispatcher, asked, now=20.03):
    return list(dispatcher.submit(now, "scribe", asked, asked.queued_request.account))


def burst_until_rejected(dispatcher, now=20.03, **fields):
    """Submit requests of one moment; return the number that are let wait."""
    for number in range(80):
        if submit(dispatcher, job(now, f"burst{number}", **fields), now):
            return number
    return None


def test_forecast_needs_estimates():
    """Guards against rejections by a placer that has just started."""
    dispatcher = full_engines()
    assert burst_until_rejected(dispatcher) is not None
    dispatcher = full_engines()
    dispatcher.work.estimates = type(dispatcher.work.estimates)()
    assert burst_until_rejected(dispatcher) is None


def test_resumed_streams_are_never_rejected(monkeypatch):
    """Guards against the loss of a stream of which a part was already sent."""
    dispatcher = full_engines()
    assert burst_until_rejected(dispatcher) is not None
    listed = list(dispatcher._endpoints.usable("scribe"))
    for endpoint in listed:
        with_version = ListedEndpoint(
            endpoint.id, "scribe", "127.0.0.1", 9, "z", 12, version="v1"
        )
        list(dispatcher._endpoints.put(with_version))
    assert not submit(dispatcher, job(20.03, "resumed", version="v1"))
    assert submit(dispatcher, job(20.03, "new"))


@pytest.mark.parametrize("cause", ["suspended", "backoff", "cold"])
def test_endpoints_that_may_come_back_are_waited_for(cause):
    """Guards against rejections while an engine is about to accept work again."""
    dispatcher = full_engines()
    endpoint = dispatcher.get_endpoint("e0")
    match cause:
        case "suspended":
            for _ in range(2):
                dispatcher.on_no_answer(20.03, endpoint)
        case "backoff":
            dispatcher.on_backoff(20.03, endpoint, 0.05)
        case "cold":
            dispatcher.set_live_hosts(20.03, {"h0": "z"})
            dispatcher.warmup.on_cold(20.03, "e0", 5.0)
    assert burst_until_rejected(dispatcher) is None


def test_long_backoff_does_not_keep_requests_waiting():
    """Guards against waiting for an engine whose backoff ends too late."""
    dispatcher = full_engines()
    dispatcher.on_backoff(20.03, dispatcher.get_endpoint("e0"), 9.0)
    assert burst_until_rejected(dispatcher) is not None


def test_engines_that_read_for_too_long_are_hopeless():
    """Guards against waiting for prompts that can't be read in time.

    With free slots only the unread prompts keep the request from starting. At 1.5 times
    the learned rate it could start in time in the second case.
    """
    for seconds, is_rejected in ((2.0, True), (0.4, False)):
        load = SlotBoundLoad(make_dispatcher(1), 1)
        load.steady("steady", 4.0, 12.0)
        load.play()
        dispatcher = load.dispatcher
        engine = dispatcher._loads.get("e0")
        tokens = seconds * engine.model.rate
        engine.add_request(20.0, "long", tokens, tokens)
        assert engine.model.samples >= 20
        assert bool(submit(dispatcher, job(20.0), 20.0)) is is_rejected


@pytest.mark.parametrize("others", [False, True])
def test_explanation_shows_the_rejection_and_changes_nothing(others):
    """Guards against an explanation that says a request would wait."""
    dispatcher = full_engines()
    if others:
        shares = {"e0": LoadShare(1, 0.0, 0.0), "e1": LoadShare(1, 0.0, 0.0)}
        dispatcher.on_loads(shares)
    waiting, outcomes = 0, []
    dispatcher.on_forecast = lambda *args: outcomes.append(args)
    for number in range(80):
        asked = job(20.03, f"burst{number}")
        explained = explain_placement(dispatcher.preview(20.03, "scribe"), asked)
        again = explain_placement(dispatcher.preview(20.03, "scribe"), asked)
        assert explained == again and len(outcomes) == number - waiting
        decisions = submit(dispatcher, asked)
        if not decisions:
            waiting += 1
            assert explained.outcome is Outcome.QUEUE
            continue
        [refusal] = decisions
        assert isinstance(refusal, RefuseJob)
        assert explained.outcome is Outcome.REFUSE
        assert explained.refusal.message == refusal.message
        assert explained.refusal.after_s == 0.0
    # With requests of other hosts two have to end at the same engine.
    assert waiting == 0 if others else 0 < waiting < 80


# Plain services.


def plain_dispatcher(mean_s, target_s=TARGET_S):
    from engine_stubs import stream_route

    from greengageflow.core.fleet_retry_budget import FleetRetryBudget
    from greengageflow.core.routes import Routing, Service
    from greengageflow.core.service_dispatcher import ServiceDispatcher

    listed = EndpointList()
    list(listed.put(ListedEndpoint("p0", "plain", "127.0.0.1", 9, "z", 6)))
    made = ServiceDispatcher(listed, "z", lambda: FleetRetryBudget(0.2, 10, 10.0))
    services = {"plain": Service("plain", 6)}
    made.on_routing(Routing(1, routes=(stream_route(target_s),), services=services))
    now = 0.0
    for number in range(100):
        now += 0.05
        name = f"r{number}"
        [start] = made.submit(now, "plain", plain_job(now, name), "account")
        made.on_request_sent(now, name, start.choice, None)
        made.on_request_released(name, start.choice.endpoint, completed_at=now + mean_s)
        list(made.on_request_end(now + mean_s, "plain", name))
    return made


def plain_job(now, name):
    queued = QueuedRequest(name, "account", 1000.0, 0, now, now + 0.2, now + 0.09)
    return Job(queued, 0.2)


@pytest.mark.parametrize(
    ("mean_s", "target_s", "is_rejected"),
    [(30.0, TARGET_S, True), (0.1, TARGET_S, False), (30.0, 1.0, False)],
)
def test_full_plain_endpoint(mean_s, target_s, is_rejected):
    """Guards against calls that wait in vain at an endpoint that takes 18 of them, and
    against rejections where one ends in time.
    """
    dispatcher = plain_dispatcher(mean_s, target_s)
    now, decisions = 40.0, []
    while len(decisions) < 20:
        name = f"full{len(decisions)}"
        found = list(dispatcher.submit(now, "plain", plain_job(now, name), "account"))
        decisions.append(found)
        if found and not isinstance(found[0], RefuseJob):
            dispatcher.on_request_sent(now, name, found[0].choice, None)
    refused = [d for found in decisions for d in found if isinstance(d, RefuseJob)]
    assert bool(refused) is is_rejected
    if refused:
        assert {refusal.kind for refusal in refused} == {ErrorKind.QUEUE_FULL}
        assert not any(isinstance(d, RefuseJob) for d in sum(decisions[:17], []))
