"""Deployments of the policy bench: length hints, speeds of engines and zones."""

from dataclasses import replace
from math import exp, log
from random import Random
from statistics import median, quantiles, stdev

import pytest

from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.lab.policy_deployments import (
    DEPLOYMENTS,
    FEW_SLOTS,
    LONG_PROMPTS,
    MIXED_SPEEDS,
    SHORT_PROMPTS,
)
from greengageflow.lab.policy_engine import EngineRun, PolicyEngine
from greengageflow.lab.policy_load import Fault, SimulatedRequest, draw_load
from greengageflow.lab.policy_simulation import Simulation


def engine_with_request(deployment, speed, name="e0"):
    engine = PolicyEngine(
        name, "a", deployment, speed, lambda *_: None, lambda *_: None
    )
    prompt = Prompt((PromptPart("shared", 3000), PromptPart("own", 500)), 3500, 40)
    request = SimulatedRequest(
        "q1", 0.0, deployment.kinds[0], "account0", "a", prompt, 40
    )
    engine.submit(0.0, EngineRun(request), None)
    return engine


def step_durations(engine):
    """Run the engine until it is idle, and return the durations of its steps."""
    now, durations = 0.0, []
    while (duration_s := engine.step(now)) is not None:
        now += duration_s
        durations.append(duration_s)
    return durations


@pytest.mark.parametrize("deployment", [LONG_PROMPTS, SHORT_PROMPTS])
def test_hints_of_the_first_sheets_are_as_before(deployment):
    """A random number drawn for the hint would change all later requests of a seed."""
    random = Random(1)
    state = random.getstate()
    assert [deployment.length_hint(random, out) for out in (1, 7, 250)] == [1, 9, 325]
    assert random.getstate() == state


def test_hints_of_slots_have_the_stated_spread():
    random = Random(1)
    ratios = [log(FEW_SLOTS.length_hint(random, 1000) / 1000) for _ in range(4000)]
    assert exp(median(ratios)) == pytest.approx(1.0, abs=0.03)
    assert stdev(ratios) == pytest.approx(0.5, abs=0.02)
    assert min(FEW_SLOTS.length_hint(random, 1) for _ in range(100)) == 1


@pytest.mark.parametrize("speed", [0.7, 1.7])
def test_steps_take_the_inverse_of_the_speed(speed):
    usual = step_durations(engine_with_request(FEW_SLOTS, 1.0))
    found = step_durations(engine_with_request(FEW_SLOTS, speed))
    assert found[:20] == pytest.approx([s / speed for s in usual[:20]])


def test_fault_slows_an_engine_relative_to_its_speed():
    engine = engine_with_request(FEW_SLOTS, 1.7)
    engine.step_slowdown = 4.0
    usual = engine_with_request(FEW_SLOTS, 1.0).step(0.0)
    assert engine.step(0.0) == pytest.approx(usual * 4.0 / 1.7)


def test_step_noise_has_the_stated_spread():
    noisy = replace(FEW_SLOTS, step_noise=0.3)
    usual = engine_with_request(noisy, 1.0)._deployment.step_s
    ratios = []
    for number in range(100):
        durations = step_durations(engine_with_request(noisy, 1.0, f"e{number}"))
        ratios += [log(duration_s / usual) for duration_s in durations[10:40]]
    assert stdev(ratios) == pytest.approx(0.3, rel=0.1)
    assert median(ratios) == pytest.approx(0.0, abs=0.05)


def test_speeds_are_used_in_turn_and_kept_after_a_crash():
    """An engine that returned at another speed would change the fleet's capacity."""
    quiet = replace(
        MIXED_SPEEDS,
        kinds=tuple(replace(k, requests_per_s=0.1) for k in MIXED_SPEEDS.kinds),
    )
    simulation = Simulation(quiet, 1, faults=(Fault("crash", 1.0, 2.0, index=2),))
    speeds = [engine.speed for engine in simulation._engines.values()]
    assert speeds == [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7]
    simulation.run()
    assert simulation._engines["e2+"].speed == 1.7


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_load_has_the_stated_zones_and_kinds(name):
    """A weight too few would leave a zone or a kind without requests, or raise."""
    deployment = DEPLOYMENTS[name]
    assert len(deployment.zone_weights) == len(deployment.zones)
    requests = list(draw_load(Random(1), deployment, ()))
    assert {request.zone for request in requests} == set(deployment.zones)
    for kind in deployment.kinds:
        count = sum(request.kind is kind for request in requests)
        assert count / 40 == pytest.approx(kind.requests_per_s, rel=0.15)


def test_hints_of_slots_are_part_of_the_load():
    requests = draw_load(Random(1), FEW_SLOTS, ())
    ratios = [r.prompt.tokens_out / r.out for r in requests if r.out > 100]
    low, *_, high = quantiles(ratios, n=10)
    assert (low, high) == (pytest.approx(0.53, abs=0.05), pytest.approx(1.9, abs=0.1))
