"""An endpoint that starts again under its id: what is late from its earlier start."""

from dataclasses import replace

import pytest

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import (
    MAX_TOMBSTONES,
    EndpointList,
    ListedEndpoint,
)
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.place_desk import PlaceDesk
from greengageflow.core.place_messages import Happened, PlaceAsk, PlaceNote
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, StartJob
from greengageflow.core.work_queue import QueuedRequest

SERVICE = Service("m", slots=4, memory_tokens=100_000, transfers=True)
PROMPT = Prompt((PromptPart("shared", 4000), PromptPart("own", 100)), 4100, 10)
OLD = ListedEndpoint("e", "m", "127.0.0.1", 9, "z", 4, born=5)
NEW = replace(OLD, born=9)
OTHER = replace(OLD, id="f")


class Fleet:
    """One host and two engines, of which the first one starts again."""

    def __init__(self):
        self.listed = EndpointList()
        self.book = ServiceDispatcher(
            self.listed, "z", lambda: FleetRetryBudget(0.2, 9, 9.0)
        )
        self.book.on_routing(Routing(services={"m": SERVICE}))
        self.put(OLD)
        self.put(OTHER)

    def put(self, endpoint):
        for change in list(self.listed.put(endpoint)):
            if change.what == "gone":
                self.book.forget_endpoint(change.id)

    def choice(self, now, prompt=PROMPT):
        queued_request = QueuedRequest(f"r{now}", "a", 1.0, 0, now, now + 1, now + 1)
        job = Job(queued_request, 1.0, prompt)
        (start,) = self.book.submit(now, "m", job, "a")
        assert isinstance(start, StartJob)
        return start.choice


@pytest.fixture
def fleet():
    return Fleet()


def test_the_later_start_keeps_no_parts_of_the_earlier_one(fleet):
    """Counted as kept, they would be read at once by an engine that is never first."""
    choice = fleet.choice(0.0)
    fleet.book.on_request_sent(0.0, "r0.0", choice, PROMPT)
    fleet.book.on_first_event(0.5, "r0.0", choice.endpoint)
    fleet.book.on_request_released("r0.0", choice.endpoint)
    assert fleet.choice(1.0).reading < 4000
    fleet.put(replace(choice.endpoint, born=choice.endpoint.born + 4))
    assert fleet.choice(2.0).reading >= 4000


@pytest.mark.parametrize("happened", ["silent", "failed"])
def test_late_failures_of_the_earlier_start_do_not_make_the_later_one_rest(
    fleet, happened
):
    """Its connections break when it crashes, some after it is listed again."""
    fleet.put(NEW)
    for _ in range(9):
        if happened == "silent":
            assert not fleet.book.on_no_answer(1.0, OLD)
        else:
            fleet.book.on_answer(OLD, False)
    assert fleet.book.unavailable_endpoints(1.0, "m") == ()
    assert fleet.book.consecutive_failures(NEW) == 0
    fleet.book.on_request_sent(1.5, "r", Choice(OTHER), None)
    assert fleet.choice(2.0, None).endpoint == NEW, "not behind the other one"
    fleet.book.on_no_answer(3.0, NEW)
    fleet.book.on_no_answer(3.0, NEW)
    assert fleet.book.unavailable_endpoints(3.0, "m") == ("e",), (
        "its own failures count"
    )


def test_what_the_earlier_start_says_that_it_keeps_is_not_the_later_ones(fleet):
    fleet.put(NEW)
    fleet.book.on_cached_parts(1.0, OLD, PROMPT.parts[:1])
    assert fleet.choice(2.0).reading >= 4000
    fleet.book.on_cached_parts(2.5, NEW, PROMPT.parts[:1])
    assert fleet.choice(3.0).reading < 4000


def test_the_earlier_starts_sign_of_leaving_is_not_the_later_ones(fleet):
    fleet.put(NEW)
    assert not fleet.listed.mark_leaving(OLD.id, OLD.born)
    assert fleet.listed.may_use("e")
    assert fleet.listed.mark_leaving(NEW.id, NEW.born)
    assert not fleet.listed.may_use("e")
    fleet.put(replace(NEW, born=12))
    assert fleet.listed.may_use("e")


@pytest.mark.parametrize("born", [0, 5])
def test_sign_of_leaving_outlasts_an_entry_that_lapses_and_comes_back(born):
    """Entries of live endpoints lapse while the store is away."""
    listed = EndpointList()
    entry = replace(OLD, born=born)
    list(listed.put(entry))
    assert listed.mark_leaving(entry.id, entry.born)
    list(listed.drop(entry.id))
    assert not listed.mark_leaving(entry.id, entry.born), "no news"
    list(listed.put(entry))
    assert not listed.usable(entry.service)
    assert not listed.may_use(entry.id)


def test_sign_of_leaving_holds_for_an_entry_that_comes_later():
    listed = EndpointList()
    assert listed.mark_leaving(OLD.id, OLD.born)
    list(listed.put(OLD))
    assert not listed.may_use(OLD.id)


def test_signs_of_leaving_are_bounded():
    listed = EndpointList()
    for number in range(MAX_TOMBSTONES + 9):
        listed.mark_leaving(f"e{number}", 0)
    assert listed.mark_leaving("e0", 0), "the oldest one is forgotten"
    assert not listed.mark_leaving(f"e{MAX_TOMBSTONES}", 0)


def test_another_hosts_word_of_the_earlier_start_is_not_the_later_ones(fleet):
    """A host tells its placer of requests that it sent before the engine crashed."""
    desk = PlaceDesk("placer", fleet.book)
    list(fleet.listed.drop("f"))
    for number in range(4):
        ask = PlaceAsk(
            host="h",
            boot=1,
            request=f"q{number}",
            service="m",
            account="a",
            priority=0,
            waited_s=0.0,
            left_s=1.0,
            patience_s=1.0,
            target_s=1.0,
            parts=(),
            tokens_in=10,
            tokens_out=5,
            avoid=(),
            zone="z",
        )
        for decision in list(desk.ask(0.0, ask)):
            desk.decided(0.0, decision)
    fleet.put(NEW)
    for number in range(4):
        note = PlaceNote(
            host="h", boot=1, request=f"q{number}", happened=Happened.SILENT
        )
        list(desk.note(1.0, note))
    assert fleet.book.unavailable_endpoints(1.0, "m") == ()
