"""Engines that start again in place, as real processes."""

import json

import pytest

from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    PlatformLab,
    PlatformShape,
    generation,
)
from greengageflow.net.decision_events import DecisionEvent
from tests.support import wait_for

OPTIONS = {"step_ms": 30, "growth": 0, "stride": 1}
ENGINE = "scribe-0"
PROMPT = generation(20, ("shared", 2000), ("own", 10))
SHAPE = PlatformShape(plain=0, engines=1, engine_options={"born": 5, **OPTIONS})


def events(lab, event):
    """Return the log lines of a kind of event."""
    lines = [json.loads(line) for line in lab.router_logs.splitlines()]
    return [line for line in lines if event.number in line.values()]


def ask(lab, body):
    """Return the prompt tokens that the engine was expected to read."""
    assert lab.ask(CHAT, body=body, headers=PROMPT).status == 200
    return events(lab, DecisionEvent.SENT)[-1]["reading"]


def test_cached_parts_are_not_expected_after_a_crash():
    """The engine serves again, and its new entry is not listed yet."""
    with PlatformLab(SHAPE) as lab:
        assert [ask(lab, b"1"), ask(lab, b"2")] == [2010, 10]
        client = lab.client()
        client.send(CHAT, b"3", key=KEY, headers=PROMPT)
        assert client.head().status == 200
        stream = client.events()
        next(stream)
        options = {"service": "scribe", "model": "m", **OPTIONS}
        lab.restart_replica(ENGINE, born=9, register_after_ms=60_000, **options)
        with pytest.raises(IncompleteResponse):
            list(stream)
        wait_for(lambda: events(lab, DecisionEvent.ENDPOINT_CRASHED), "crash seen")
        assert ask(lab, b"4") == 2010


def test_a_new_placer_takes_no_unlisted_start_for_the_listed_one():
    """The parts that the engine reports are those of its next start."""
    with PlatformLab(SHAPE) as lab:
        options = {"service": "scribe", "model": "m", **OPTIONS}
        lab.restart_replica(ENGINE, born=9, register_after_ms=60_000, **options)
        lab.routers["r0"].kill()
        lab.launch_router("r0")
        lab.wait_ready("r0")
        wait_for(lambda: events(lab, DecisionEvent.ENDPOINT_GONE), "start has ended")
        [line] = events(lab, DecisionEvent.ENDPOINT_GONE)
        assert line["source"] == "answer"
        assert ask(lab, b"1") == 2010
        [finished] = wait_for(
            lambda: [
                *events(lab, DecisionEvent.FINISHED),
                *events(lab, DecisionEvent.FINISHED_LATE),
            ],
            "logged",
        )
        assert (finished["born"], finished["verified"]) == (9, 1)
