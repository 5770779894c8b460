"""An endpoint that restarts under its id: late messages about its earlier start."""

from dataclasses import replace

import pytest

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.endpoint_list import (
    MAX_TOMBSTONES,
    EndpointList,
    ListChange,
    ListedEndpoint,
)
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.place_messages import (
    PlacementEntry,
    PlacementEvent,
    PlacementEventKind,
    PlacementRequest,
    PlacementSnapshot,
)
from greengageflow.core.remote_placements import RemotePlacements
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.net.report_codec import decode, encode

SERVICE = Service("m", slots=4, memory_tokens=100_000, transfers=True)
PROMPT = Prompt((PromptPart("shared", 4000), PromptPart("own", 100)), 4100, 10)
OLD = ListedEndpoint("e", "m", "127.0.0.1", 9, "z", 4, born=5)
NEW = replace(OLD, born=9)
UNLISTED = replace(NEW, version="")
OTHER = replace(OLD, id="f")


class Fleet:
    """One host and two engines, of which the first one restarts."""

    def __init__(self):
        self.listed = EndpointList()
        self.book = ServiceDispatcher(
            self.listed, "z", lambda: FleetRetryBudget(0.2, 9, 9.0)
        )
        self.book.on_routing(Routing(services={"m": SERVICE}))
        self.put(OLD)
        self.put(OTHER)

    def put(self, endpoint):
        self.apply(self.listed.put(endpoint))

    def apply(self, changes):
        for change in list(changes):
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


def test_restart_clears_the_prefix_cache_of_an_endpoint(fleet):
    """A restarted engine has an empty prefix cache and has to prefill again."""
    choice = fleet.choice(0.0)
    fleet.book.on_request_sent(0.0, "r0.0", choice, PROMPT)
    fleet.book.on_first_event(0.5, "r0.0", choice.endpoint)
    fleet.book.on_request_released("r0.0", choice.endpoint)
    assert fleet.choice(1.0).reading < 4000
    fleet.put(replace(choice.endpoint, born=choice.endpoint.born + 4))
    assert fleet.choice(2.0).reading >= 4000


@pytest.mark.parametrize("happened", ["silent", "failed"])
def test_late_failures_of_an_earlier_process_do_not_make_the_restarted_one_rest(
    fleet, happened
):
    """Connections to a crashed engine may break only after it is listed again."""
    fleet.put(NEW)
    for _ in range(9):
        if happened == "silent":
            assert not fleet.book.on_no_answer(1.0, OLD)
        else:
            fleet.book.on_answer(OLD, False)
    assert fleet.book.unavailable_endpoints(1.0, "m") == ()
    assert fleet.book.consecutive_failures(NEW) == 0
    fleet.book.on_request_sent(1.5, "r", Choice(OTHER), None)
    assert fleet.choice(2.0, None).endpoint == NEW, "not ranked behind the other one"
    fleet.book.on_no_answer(3.0, NEW)
    fleet.book.on_no_answer(3.0, NEW)
    assert fleet.book.unavailable_endpoints(3.0, "m") == ("e",), (
        "its own failures count"
    )


def test_cache_report_of_an_earlier_process_does_not_apply_to_the_restarted_one(fleet):
    fleet.put(NEW)
    fleet.book.on_cached_parts(1.0, OLD, PROMPT.parts[:1])
    assert fleet.choice(2.0).reading >= 4000
    fleet.book.on_cached_parts(2.5, NEW, PROMPT.parts[:1])
    assert fleet.choice(3.0).reading < 4000


def test_leaving_notice_of_an_earlier_process_does_not_apply_to_the_restarted_one(
    fleet,
):
    fleet.put(NEW)
    assert not fleet.listed.mark_leaving(OLD.id, OLD.born)
    assert fleet.listed.may_use("e")
    assert fleet.listed.mark_leaving(NEW.id, NEW.born)
    assert not fleet.listed.may_use("e")
    fleet.put(replace(NEW, born=12))
    assert fleet.listed.may_use("e")


@pytest.mark.parametrize("born", [0, 5])
def test_leaving_notice_survives_an_entry_that_expires_and_returns(born):
    """Entries of live endpoints expire while the store is unreachable."""
    listed = EndpointList()
    entry = replace(OLD, born=born)
    list(listed.put(entry))
    assert listed.mark_leaving(entry.id, entry.born)
    list(listed.drop(entry.id))
    assert not listed.mark_leaving(entry.id, entry.born), "already recorded"
    list(listed.put(entry))
    assert not listed.usable(entry.service)
    assert not listed.may_use(entry.id)


def test_leaving_notice_applies_to_an_entry_listed_later():
    listed = EndpointList()
    assert listed.mark_leaving(OLD.id, OLD.born)
    list(listed.put(OLD))
    assert not listed.may_use(OLD.id)


@pytest.mark.parametrize("what", ["parts", "failures", "backoff", "load"])
def test_evidence_of_a_later_process_clears_all_state_before_it_is_listed(fleet, what):
    """A restarted engine is listed a second after it has begun to answer."""
    list(fleet.listed.drop("f"))
    match what:
        case "parts":
            fleet.book.on_cached_parts(1.0, OLD, PROMPT.parts[:1])
        case "failures":
            fleet.book.on_no_answer(1.0, OLD)
            fleet.book.on_no_answer(1.0, OLD)
        case "backoff":
            fleet.book.on_backoff(1.0, OLD, 60.0)
        case "load":
            for number in range(4):
                fleet.book.on_request_sent(1.0, f"q{number}", Choice(OLD), PROMPT)
    fleet.apply(fleet.listed.put_unlisted(UNLISTED))
    assert fleet.listed.usable("m") == (UNLISTED,)
    assert not fleet.listed.is_current(OLD)
    assert not fleet.book.own_loads()
    assert not fleet.book.consecutive_failures(OLD)
    fleet.book.on_cached_parts(1.1, OLD, PROMPT.parts[:1])
    assert not fleet.book.on_backoff(1.1, OLD, 60.0)
    fleet.put(replace(OLD, cold_s=1.0))
    assert fleet.listed.usable("m") == (UNLISTED,), "a late entry of the ended start"
    fleet.put(NEW)
    assert fleet.listed.usable("m") == (NEW,)
    assert fleet.choice(1.2).reading >= 4000


def test_crash_clears_what_the_process_had_cached_and_asked_for(fleet):
    """The engine may be back before the list names its new start, or as the same."""
    list(fleet.listed.drop("f"))
    fleet.book.on_cached_parts(1.0, OLD, PROMPT.parts[:1])
    fleet.book.on_backoff(1.0, OLD, 60.0)
    fleet.book.on_no_answer(1.0, OLD)
    fleet.book.on_crash(1.1, OLD)
    assert fleet.listed.usable("m") == (OLD,), "it is not banned"
    assert fleet.book.consecutive_failures(OLD) == 1
    assert fleet.choice(1.2).reading >= 4000


def test_requests_before_a_restart_is_listed_count_in_the_warm_up(fleet):
    """They may have reached the new process, which crashes under too many."""
    service = replace(SERVICE, warmup_per_s=8.0, cold_start_s=5.0)
    fleet.book.on_routing(Routing(services={"m": service}))
    fleet.book.set_owned_engines(frozenset(["e"]))
    for now in (0.0, 0.9, 1.8):
        fleet.book.set_live_hosts(now, {"": "z"})
    for number in range(4):
        fleet.book.on_request_sent(1.8, f"q{number}", Choice(OLD), PROMPT)
    fleet.put(NEW)
    fleet.book.warmup.on_cold(2.0, "e", 5.0)
    fleet.book.set_live_hosts(2.7, {"": "z"})
    assert not fleet.book.warmup.may_send(2.7, NEW)
    assert fleet.book.warmup.may_send(2.9, NEW)


def test_late_crash_of_an_earlier_process_clears_nothing_of_the_restarted_one(fleet):
    fleet.put(NEW)
    fleet.book.on_cached_parts(1.0, NEW, PROMPT.parts[:1])
    fleet.book.on_crash(1.1, OLD)
    assert fleet.choice(1.2).reading < 4000


def test_ended_start_does_not_end_the_listed_later_one():
    listed = EndpointList()
    list(listed.put(NEW))
    assert not list(listed.put_unlisted(UNLISTED)), "already listed"
    assert not list(listed.put_unlisted(OLD))
    assert listed.usable("m") == (NEW,)
    later = replace(UNLISTED, born=NEW.born + 1)
    changes = [ListChange("e", "gone"), ListChange("e", "new")]
    assert list(listed.put_unlisted(later)) == changes
    assert not list(listed.put_unlisted(later)), "already recorded"
    assert listed.usable("m") == (later,)
    assert not list(listed.put_unlisted(replace(later, id="unknown")))


def test_false_evidence_of_a_later_start_is_taken_back(fleet):
    """A garbled report left a sound engine without a version for good."""
    old = replace(OLD, version="v1")
    fleet.put(old)
    fleet.apply(fleet.listed.put_unlisted(UNLISTED))
    fleet.apply(fleet.listed.restore(OLD.id, OLD.born - 1))
    assert UNLISTED in fleet.listed.usable("m")
    fleet.apply(fleet.listed.restore(OLD.id, OLD.born))
    assert old in fleet.listed.usable("m") and fleet.listed.is_current(old)
    assert not list(fleet.listed.restore(OLD.id, OLD.born))


def test_an_unlisted_start_runs_no_stream_of_the_listed_version(fleet):
    """The start before had the version that the list still names."""
    old = replace(OLD, version="v1")
    fleet.put(old)
    list(fleet.listed.drop("f"))
    fleet.apply(fleet.listed.put_unlisted(UNLISTED))
    choose = fleet.book.choose_retry_endpoint
    assert choose(1.0, "m", None, set(), None, "v1") is None
    assert choose(1.0, "m", None, set(), None, "").endpoint == UNLISTED
    fleet.put(replace(NEW, version="v2"))
    assert choose(1.0, "m", None, set(), None, "v2").endpoint.born == NEW.born


UNDATED = replace(OLD, born=0, version="v1")


def list_of(*entries):
    listed = EndpointList()
    for entry in entries:
        list(listed.put(entry))
    return listed


def start_of(listed):
    """Return the start time and version that are known of the endpoint."""
    found = listed.get(OLD.id)
    return found.born, found.version


def test_ids_name_starts_where_no_start_time_is_stated():
    listed = list_of(UNDATED)
    assert start_of(listed) == (0, "v1")
    assert listed.version_of(UNDATED) == "v1" and not listed.stating
    assert not list(listed.put(UNDATED))


@pytest.mark.parametrize("source", ["entry before", "entry after", "answer"])
def test_an_entry_without_a_start_time_has_no_version_where_others_state_one(source):
    """It counted as one of the start that answers, whichever that was."""
    match source:
        case "entry before":
            listed = list_of(OTHER, UNDATED)
        case "entry after":
            listed = list_of(UNDATED, OTHER)
        case "answer":
            listed = list_of(UNDATED)
            list(listed.put_unlisted(replace(OTHER, version="")))
    assert start_of(listed) == (0, "")
    assert listed.version_of(UNDATED) == "", "also for a request that is under way"
    assert listed.versions()["m"] >= {""}
    assert not list(listed.put(UNDATED)), "not a restart"
    assert start_of(listed) == (0, "")
    restarted = replace(UNDATED, version="v2")
    assert list(listed.put(restarted)) == [
        ListChange("e", "gone"),
        ListChange("e", "new"),
    ]


def test_an_entry_without_a_start_time_is_superseded_by_the_start_that_answers():
    """The start has no known version until an entry names it; no state is lost."""
    listed = list_of(OTHER, UNDATED)
    changes = [ListChange("e", "start")]
    assert list(listed.put_unlisted(UNLISTED)) == changes
    assert start_of(listed) == (NEW.born, "") and listed.get("e").is_unlisted
    assert not list(listed.put(UNDATED)), "names no start"
    assert start_of(listed) == (NEW.born, "")
    assert list(listed.put(replace(NEW, version="v1"))) == changes
    assert start_of(listed) == (NEW.born, "v1")
    assert not list(listed.put(replace(UNDATED, version="v2")))
    assert start_of(listed) == (NEW.born, "v1")
    list(listed.drop("e"))
    list(listed.put(UNDATED))
    assert start_of(listed) == (0, "")


def test_false_evidence_on_an_entry_without_a_start_time_is_taken_back():
    """A garbled report left the endpoint without a version for good."""
    listed = list_of(OTHER, UNDATED)
    list(listed.put_unlisted(UNLISTED))
    assert not list(listed.restore("e", UNLISTED.born))
    assert list(listed.restore("e", OLD.born))
    list(listed.put_unlisted(replace(OLD, version="")))
    assert start_of(listed) == (OLD.born, "")
    list(listed.put(replace(OLD, version="v1")))
    assert start_of(listed) == (OLD.born, "v1")


def test_placements_of_an_earlier_process_are_not_reported_after_its_restart(fleet):
    fleet.book.on_request_sent(1.0, "r", Choice(OLD), PROMPT)
    assert fleet.book.recent_placements(1.0) == (("shared", "e"),)
    fleet.put(NEW)
    assert fleet.book.recent_placements(1.1) == ()


def test_peers_late_placements_at_an_earlier_process_are_not_cached_at_the_new_one(
    fleet,
):
    """Reports name the engine only, and those under way tell of its earlier start."""
    list(fleet.book.pump(1.0))
    fleet.put(NEW)
    fleet.book.on_placements(1.4, [("shared", "e")])
    assert fleet.choice(2.0).reading >= 4000
    fleet.book.on_placements(3.0, [("shared", "e")])
    assert fleet.choice(4.0).reading < 4000


def test_leaving_notices_are_bounded():
    listed = EndpointList()
    for number in range(MAX_TOMBSTONES + 9):
        listed.mark_leaving(f"e{number}", 0)
    assert listed.mark_leaving("e0", 0), "the oldest one is forgotten"
    assert not listed.mark_leaving(f"e{MAX_TOMBSTONES}", 0)


def place_four(fleet):
    """Place four requests of another host at the first engine."""
    placements = RemotePlacements("placer", fleet.book)
    list(fleet.listed.drop("f"))
    for number in range(4):
        ask = PlacementRequest(
            host="h",
            boot=1,
            request=f"q{number}",
            service="m",
            account="a",
            priority=0,
            waited_s=0.0,
            slack_s=1.0,
            timeout_s=1.0,
            target_s=1.0,
            parts=(),
            tokens_in=10,
            tokens_out=5,
            avoid=(),
            zone="z",
        )
        for decision in list(placements.on_request(0.0, ask)):
            placements.on_decision(0.0, decision)
    return placements


def test_requests_of_other_hosts_at_an_ended_start_free_their_slots_and_shares(fleet):
    """No event comes of them until their hosts notice that the engine is gone."""
    placements = place_four(fleet)
    assert fleet.book.recent_usage("m", "a") > 0
    fleet.apply(fleet.listed.put_unlisted(UNLISTED))
    assert fleet.listed.mark_leaving("e", UNLISTED.born), "no other request starts"
    list(placements.drop_ended(0.0))
    assert len(placements) == placements.waiting == 1
    assert not fleet.book.own_loads()
    assert fleet.book.recent_usage("m", "a") == pytest.approx(0.0, abs=1e-6)


@pytest.mark.parametrize(("born", "running"), [(0, 1), (5, 0), (9, 1)])
def test_placer_adopts_no_request_of_an_earlier_start(fleet, born, running):
    """A host whose list is behind sent the request before the engine restarted."""
    placements = RemotePlacements("placer", fleet.book)
    fleet.put(NEW)
    entry = PlacementEntry("q", "e", 100.0, 200.0, born)
    snapshot = decode(encode(PlacementSnapshot(host="h", boot=1, entries=(entry,))))
    list(placements.on_snapshot(1.0, snapshot))
    assert len(placements) == len(fleet.book.own_loads()) == running


def test_remote_failures_of_an_earlier_process_do_not_apply_to_the_restarted_one(fleet):
    """A host reports failures of requests that it sent before the engine crashed."""
    placements = place_four(fleet)
    fleet.put(NEW)
    for number in range(4):
        note = PlacementEvent(
            host="h", boot=1, request=f"q{number}", kind=PlacementEventKind.SILENT
        )
        list(placements.on_event(1.0, note))
    assert fleet.book.unavailable_endpoints(1.0, "m") == ()
