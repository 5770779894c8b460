"""Prefill rate and fixed time of engines, learned from first events."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.prefill_model import PrefillModel
from greengageflow.lab.policy_deployments import LONG_PROMPTS
from greengageflow.lab.policy_simulation import Simulation


class Reader:
    """An engine that reads prompts one by one, with first events a fixed time later."""

    def __init__(self, rate, fixed_s):
        self.rate, self.fixed_s, self.free_at = rate, fixed_s, 0.0

    def first_event_at(self, now, tokens):
        self.free_at = max(now, self.free_at) + tokens / self.rate
        return self.free_at + self.fixed_s


def send_prompts(reader, load, per_s, seconds=20.0):
    """Send prompts and record first events; return the prediction errors."""
    random, now, events, errors = Random(1), 0.0, [], []
    while now < seconds:
        now += random.expovariate(per_s)
        for at, name in sorted(event for event in events if event[0] <= now):
            load.on_first_event(at, name)
        events = [event for event in events if event[0] > now]
        tokens = random.lognormvariate(8, 0.8)
        predicted_s = load.queue_wait_s(now) + load.model.first_event_s(tokens)
        name = f"r{now}"
        load.add_request(now, name, tokens, tokens)
        events.append((reader.first_event_at(now, tokens), name))
        errors.append(predicted_s - (events[-1][0] - now))
    return errors


@given(st.sampled_from([20_000.0, 40_000.0, 120_000.0]), st.sampled_from([0.02, 0.15]))
def test_rate_and_fixed_time_are_separated(rate, fixed_s):
    load = EndpointLoad(64, 1_000_000)
    send_prompts(Reader(rate, fixed_s), load, per_s=0.4 * rate / 4100)
    assert load.model.rate == pytest.approx(rate, rel=0.25)
    assert load.model.fixed_s == pytest.approx(fixed_s, abs=0.02)


@pytest.mark.parametrize("part", [0.3, 0.8])
def test_first_events_are_predicted(part):
    """The engine's first events come 0.15 s after it has read a prompt.

    When that time was counted as reading, the rate was underestimated, and requests
    were refused that could have been served.
    """
    errors = send_prompts(
        Reader(40_000.0, 0.15), EndpointLoad(64, 1_000_000), part * 40_000 / 4100
    )
    settled = sorted(map(abs, errors[len(errors) // 2 :]))
    assert settled[int(0.9 * len(settled))] < 0.1


def test_stalled_engine_counts_as_behind():
    load = EndpointLoad(64, 1_000_000, PrefillModel(40_000.0, 0.1))
    for number in range(10):
        load.add_request(0.0, f"r{number}", 4000.0, 4000.0)
    assert load.queue_wait_s(0.0) == pytest.approx(1.0)
    assert load.queue_wait_s(2.0) == pytest.approx(1.0), "no first event has come"
    load.on_first_event(2.1, "r0")
    assert load.queue_wait_s(2.1) <= 0.9


def test_unreliable_samples_are_not_learned():
    """Samples with an unreliable number of tokens to read must not change the rate.

    After a restart of all hosts engines keep parts that no host knows of, so prompts
    would seem to be read faster than they are.
    """
    load = EndpointLoad(64, 1_000_000, PrefillModel(40_000.0, 0.1))
    for number in range(99):
        load.add_request(number, f"r{number}", 40_000.0, 4000.0, reliable=False)
        load.on_first_event(number + 0.15, f"r{number}")
    assert load.model.rate == 40_000.0


def test_callers_are_served_in_time_at_two_thirds_of_capacity():
    """Under the usual load of long prompts nearly all requests are answered in time.

    Counts requests from ten seconds on, when engines have read the shared parts and
    have spare capacity.
    """
    rows = Simulation(LONG_PROMPTS, 3, faults=()).run().rows
    rows = [row for row in rows if row.request.at > 10]
    in_time = sum(row.end == "in_time" for row in rows) / len(rows)
    refused = sum(row.end == "refused" for row in rows) / len(rows)
    assert (in_time > 0.95, refused < 0.01) == (True, True), (in_time, refused)
