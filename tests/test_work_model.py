"""Likely durations and the choice of endpoints by them, without a network."""

from random import Random

import pytest
from engine_stubs import stream_route

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad, LoadShare
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, StartJob
from greengageflow.core.work_estimates import WorkKey
from greengageflow.core.work_model import WorkModel
from greengageflow.core.work_queue import QueuedRequest

KEY = WorkKey("plain", "0.15 2 0", "account")
SLOTS = 6


def endpoint(name, born=1):
    return ListedEndpoint(name, "plain", "127.0.0.1", 9, "z", SLOTS, born=born)


def learned(seconds=0.03, samples=40):
    model = WorkModel()
    model.enabled = True
    for number in range(samples):
        model.observe(0.01 * number, KEY, endpoint("a"), seconds)
    return model


def test_nothing_is_learned_while_disabled():
    """Deployments without short targets are served as before."""
    model = WorkModel()
    for number in range(100):
        model.observe(0.1 * number, KEY, endpoint("a"), 1.0)
    assert model.estimate(10.0, KEY) is None
    assert model.slowness(10.0, endpoint("a")) == 1.0


def test_slow_endpoint_is_noticed_and_does_not_slow_the_estimate():
    """A slow endpoint's durations would make the same work seem larger everywhere."""
    model = learned()
    for number in range(30):
        now = 1.0 + 0.02 * number
        model.observe(now, KEY, endpoint("a"), 0.03)
        model.observe(now, KEY, endpoint("slow"), 0.075)
    now = 1.6
    assert model.slowness(now, endpoint("slow")) > 1.8
    assert model.slowness(now, endpoint("a")) == pytest.approx(1.0, abs=0.2)
    assert model.estimate(now, KEY).median == pytest.approx(0.03, rel=0.25)


def test_errors_of_the_estimates_are_reported():
    """Operators see whether the estimates are right, apart from slow endpoints."""
    model, ratios = learned(), []
    model.on_ratio = lambda service, ratio: ratios.append((service, ratio))
    for number in range(30):
        model.observe(1.0 + 0.02 * number, KEY, endpoint("slow"), 0.09)
    assert {service for service, _ in ratios} == {"plain"}
    assert ratios[0][1] > 2.5 and ratios[-1][1] < 1.3
    assert model.slow_endpoints(1.6) == 1


def test_endpoint_that_starts_again_under_its_id_begins_anew():
    model = learned()
    for number in range(30):
        model.observe(1.0 + 0.02 * number, KEY, endpoint("slow"), 0.09)
    assert model.slowness(1.6, endpoint("slow", born=2)) == 1.0
    assert model.slowness(1.6, endpoint("slow", born=2)) == 1.0


def test_requests_of_other_hosts_count_though_nothing_is_known_of_them():
    """An endpoint that only other hosts used seemed to be idle."""
    model, load = learned(), EndpointLoad(SLOTS)
    load.others = LoadShare(running=SLOTS)
    full_s = model.slot_wait_s(1.0, endpoint("a"), load, 0.03)
    assert full_s == pytest.approx(0.5 * 0.03 / SLOTS, rel=0.1)
    load.others = LoadShare(running=2 * SLOTS)
    queued_s = model.slot_wait_s(1.0, endpoint("a"), load, 0.03)
    assert queued_s == pytest.approx(full_s + 0.03, rel=0.1)


def test_wait_for_a_slot():
    model, load = learned(seconds=0.6), EndpointLoad(SLOTS)
    for number in range(SLOTS):
        assert model.slot_wait_s(1.0, endpoint("a"), load, 0.6) == 0.0
        load.add_request(1.0, f"r{number}", 0.0, 0.0, key=KEY)
    first = model.slot_wait_s(1.0, endpoint("a"), load, 0.6)
    assert first == pytest.approx(0.6 / SLOTS, rel=0.2)
    assert model.slot_wait_s(1.4, endpoint("a"), load, 0.6) < first


def make_dispatcher(target_s):
    endpoints = EndpointList()
    for name in ("slow", "a", "b"):
        list(endpoints.put(endpoint(name)))
    made = ServiceDispatcher(endpoints, "z", lambda: FleetRetryBudget(0.2, 10, 10.0))
    services = {"plain": Service("plain", SLOTS)}
    made.on_routing(Routing(1, routes=(stream_route(target_s),), services=services))
    return made


def play(dispatcher, duration_s=20.0, per_s=330.0, step_s=0.001):
    """Return the seconds of each request; one of three endpoints is 2.5 times slower.

    Each endpoint runs six requests at once, in order of arrival.
    """
    random, now, number = Random(5), 0.0, 0
    queues = {"slow": [], "a": [], "b": []}
    sent, times = {}, []

    def carry_out(decisions):
        for decision in decisions:
            if not isinstance(decision, StartJob):
                continue
            choice, name = decision.choice, decision.request
            dispatcher.on_request_sent(now, name, choice, None)
            work_s = random.lognormvariate(-3.6, 0.47)
            slow = 2.5 if choice.endpoint.id == "slow" else 1.0
            queues[choice.endpoint.id].append([name, work_s * slow, choice])

    while now < duration_s:
        now += step_s
        for _ in range(sum(random.random() < per_s * step_s / 4 for _ in range(4))):
            number += 1
            name = f"r{number}"
            sent[name] = now
            queued = QueuedRequest(
                name, "account", 1000.0, 2, now, now + 0.15, now + 0.07
            )
            job = Job(queued, 0.15)
            carry_out(dispatcher.submit(now, "plain", job, "account"))
        for queue in queues.values():
            for entry in queue[:SLOTS]:
                entry[1] -= step_s
            ended = [entry for entry in queue if entry[1] <= 0]
            queue[:] = [entry for entry in queue if entry[1] > 0]
            for name, _, choice in ended:
                times.append(now - sent[name])
                endpoint = choice.endpoint
                dispatcher.on_request_released(name, endpoint, completed_at=now)
                carry_out(dispatcher.on_request_end(now, "plain", name))
    return times


def test_calls_go_where_they_end_first():
    """One of three replicas is 2.5 times slower, at 0.75 of what all can do.

    Counting requests keeps as many at the slow replica as at the others, and its calls
    take longest. Callers get more answers within 0.06 s when speeds are learned.
    """
    late = {}
    for target_s in (1.0, 0.3):
        times = play(make_dispatcher(target_s))
        late[target_s] = sum(took > 0.06 for took in times) / len(times)
    assert late[1.0] > 0.15
    assert late[0.3] < 0.75 * late[1.0]
