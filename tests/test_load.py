from contextlib import ExitStack
from dataclasses import replace
from math import inf

import pytest

from greengageflow.lab.load import LoadClient
from greengageflow.lab.load_check import verify
from greengageflow.lab.load_plan import ChatLoad, LoadPlan, ServiceLoad
from tests.support import fault_proxy, standin


@pytest.fixture
def engine():
    with standin("engine", base_pace_s=0.001) as engine:
        yield engine


def executions(engine):
    return engine.call("GET", "/executions").json["executions"]


def chat_plan(*routers, **options):
    options = {"account": "a", "key": "k", "model": "m", "median_tokens": 20, **options}
    load = ChatLoad(**options)
    return LoadPlan(routers=routers, loads=(load,), duration_s=0.5, timeout_s=20)


def with_ids(results, done):
    """Add request ids by text; engines send no X-Request-Id, only routers do."""
    ids = {one["text"]: one["request_id"] for one in done}
    return [replace(one, request_id=ids.get(one.text, "?")) for one in results]


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("loop", [{"outstanding": 4}, {"rate_per_s": 40.0}])
def test_answers_are_complete_and_as_long_as_planned(engine, stream, loop):
    results = LoadClient(chat_plan(engine.address, stream=stream, **loop)).run()
    done = executions(engine)
    assert len(results) == len(done) > 4
    assert sorted(one.tokens for one in results) == sorted(
        one["pieces"] for one in done
    )
    verdict = verify(with_ids(results, done), done)
    assert (verdict.complete, verdict.faults) == (len(results), ())


def test_arrivals_depend_only_on_the_seed(engine):
    plan = chat_plan(engine.address, rate_per_s=40.0)
    runs = [LoadClient(plan).run() for _ in range(2)]
    sent = [sorted(one.tokens for one in run) for run in runs]
    assert sent[0] == sent[1]


@pytest.mark.parametrize("loop", [{"outstanding": 4}, {"rate_per_s": 40.0}])
def test_unbounded_load_ends_when_it_is_stopped(engine, loop):
    plan = replace(chat_plan(engine.address, **loop), duration_s=inf)
    client = LoadClient(plan)
    results = client.run([(0.3, client.stop)])
    assert results
    assert all(one.complete for one in results)


def test_verify_finds_violations(engine):
    """Answers altered as by a faulty router are reported.

    One holds text of another answer, one is reported complete without its end, and
    one was refused as not run although it ran.
    """
    done = executions(engine)
    results = LoadClient(chat_plan(engine.address, outstanding=3)).run()
    done = executions(engine)
    one, two, three = with_ids(results, done)[:3]
    altered = [
        replace(one, text=one.text + two.text),
        replace(two, text=two.text[:-1]),
        replace(three, text="", complete=False, ran="no"),
    ]
    verdict = verify(altered, done)
    assert verdict.wrong == (one.request_id, two.request_id)
    assert verdict.ran_though_refused == (three.request_id,)
    twice = [{"request_id": "x", "key": "k", "number": one} for one in (0, 1)]
    assert verify([], [], twice).duplicate_keys == ("k",)


def test_a_cut_stream_is_not_complete(engine):
    """A stream cut after three pieces is incomplete, and its text is kept."""
    engine.fault(cut_after=3, cut_times=1000)
    results = LoadClient(chat_plan(engine.address, outstanding=1, sigma=0)).run()
    assert results
    assert {one.complete for one in results} == {False}
    assert {one.error for one in results} == {"connection"}
    done = executions(engine)
    assert all(one.text for one in results)
    assert results[0].text == done[0]["text"][: len(results[0].text)]


def test_a_caller_waits_no_longer_than_its_timeout():
    """The run ends although the router accepts connections and never answers."""
    with ExitStack() as stack:
        service = stack.enter_context(standin("service"))
        proxy = stack.enter_context(fault_proxy())
        address = proxy.route("service", service.address)
        proxy.rules({"do": "half_open"})
        load = ServiceLoad(
            account="a", key="k", service="s", path="pay", outstanding=2, protected=True
        )
        plan = LoadPlan(
            routers=(address,), loads=(load,), duration_s=0.1, timeout_s=0.5
        )
        results = LoadClient(plan).run()
        assert [(one.status, one.complete) for one in results] == [(None, False)] * 2
        assert len({one.key for one in results}) == 2
