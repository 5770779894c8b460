"""Parts of the decision where a request is sent, and when."""

import re
from collections import Counter, deque
from dataclasses import replace
from itertools import accumulate

import pytest
from engine_stubs import PROMPT, Engines, endpoint, engine_load
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_health import FIRST_REST_S, EndpointHealth
from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt
from greengageflow.core.max_min import max_min_shares
from greengageflow.core.routes import Routing, Service
from greengageflow.core.send_budget import BURST_S, SendBudget
from greengageflow.core.service_book import ServiceBook
from greengageflow.core.service_scheduler import (
    Allowance,
    Job,
    RefuseJob,
    ServiceScheduler,
    StartJob,
)
from greengageflow.core.trust import KeyTrust
from greengageflow.core.work_queue import Waiter, WorkQueue
from greengageflow.errors import ErrorKind
from greengageflow.net.event_frames import MAX_FRAME_BYTES, EventFrames, FrameTooLarge

WINDOW_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0, 4), st.booleans()), max_size=80),
    st.integers(1, 5),
    st.sampled_from([0.0, 0.1, 0.5]),
    st.sampled_from([0, 2, 7]),
)
def test_no_window_has_more_repeats_than_the_budget(steps, hosts, ratio, slack):
    """Any window that ends with a repeat, its first moment counted in."""
    budget = SendBudget(ratio, slack, WINDOW_S)
    requests, repeats = [], []
    times = accumulate(step for step, _ in steps)
    for now, (_, is_repeat) in zip(times, steps, strict=True):
        if not is_repeat:
            budget.on_request(now)
            requests.append(now)
        elif budget.take(now, hosts):
            repeats.append(now)
            asked = sum(now - at <= WINDOW_S for at in requests)
            taken = sum(now - at <= WINDOW_S for at in repeats)
            assert taken <= ratio * asked + slack / hosts


def test_budget_lets_repeat_as_often_as_it_may():
    budget = SendBudget(0.5, 20, WINDOW_S)
    assert not budget.take(0.0, 2)
    for _ in range(10):
        budget.on_request(8.0)
    assert sum(budget.take(8.0, 2) for _ in range(20)) == 8
    # Half of the host's slack comes evenly, 0.4 a second.
    assert sum(budget.take(9.0 + i / 10, 2) for i in range(80)) == 3


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.sampled_from(["ask", "repeat", "start"])),
        min_size=20,
        max_size=80,
    ),
    st.integers(1, 3),
    st.sampled_from([0.1, 0.5]),
    st.sampled_from([2, 4]),
)
def test_no_window_has_more_however_often_the_host_starts(steps, hosts, ratio, slack):
    """A new process knows nothing of what the one before it has repeated."""
    budget = SendBudget(ratio, slack, WINDOW_S)
    requests, repeats = [], []
    times = accumulate(step for step, _ in steps)
    for now, (_, step) in zip(times, steps, strict=True):
        match step:
            case "ask":
                budget.on_request(now)
                requests.append(now)
            case "start":
                budget = SendBudget(ratio, slack, WINDOW_S)
            case _ if budget.take(now, hosts):
                repeats.append(now)
                asked = sum(now - at <= WINDOW_S + BURST_S for at in requests)
                taken = sum(now - at <= WINDOW_S for at in repeats)
                assert taken <= ratio * asked + max(slack / hosts, 2.0)


@given(
    st.dictionaries(st.integers(), st.floats(0, 1e6), max_size=8),
    st.floats(0, 1e6),
)
def test_shares_are_max_min_fair(asked, capacity):
    shares = max_min_shares(asked, capacity)
    assert shares.keys() == asked.keys()
    wanted = min(capacity, sum(asked.values()))
    assert sum(shares.values()) == pytest.approx(wanted, abs=1e-6)
    short = [key for key in asked if shares[key] < asked[key] - 1e-6]
    assert all(0 <= shares[key] <= asked[key] for key in asked)
    for key in short:
        assert shares[key] >= max(shares.values()) - 1e-6


def test_keys_are_trusted_up_to_the_bound_less_its_margin():
    trust = KeyTrust(5.0, 0.6)
    assert not trust.holds(0.0)
    trust.confirm(10.0)
    trust.confirm(8.0)
    assert trust.holds(14.39) and not trust.holds(14.4)
    short = KeyTrust(1.0, 0.6)
    short.confirm(0.0)
    assert short.holds(0.79) and not short.holds(0.8)


def waiter(name, account="a", *, priority=0, target_at=5.0, give_up_at=9.0, work=1.0):
    return Waiter(name, account, work, priority, 0.0, target_at, give_up_at)


def test_queue_serves_low_accounts_then_rank_then_what_is_in_time():
    queue = WorkQueue()
    queue.put(waiter("late", target_at=1.0))
    queue.put(waiter("far", target_at=8.0))
    queue.put(waiter("near", target_at=4.0))
    queue.put(waiter("low", priority=1, target_at=3.0))
    queue.put(waiter("other", "b"))
    levels = {"a": 5.0, "b": 3.0}

    def order():
        while heads := [w.id for w in queue.heads(2.0, levels.get)]:
            queue.remove(heads[0])
            yield heads[0]

    assert list(order()) == ["other", "near", "far", "late", "low"]
    assert not queue and queue.next_expiry() is None


def test_queue_gives_up_each_request_at_its_time():
    queue = WorkQueue()
    queue.put(waiter("one", give_up_at=3.0))
    queue.put(waiter("two", "b", give_up_at=4.0))
    assert queue.next_expiry() == 3.0
    assert [w.id for w in queue.expired(3.0)] == ["one"]
    assert queue.remove("one") is None and queue.waiting("a") == 0
    assert queue.next_expiry() == 4.0


def test_silent_endpoints_rest_longer_each_time_until_they_answer():
    health = EndpointHealth()
    assert not health.on_silence(0.0, "e")
    now = 0.0
    for rest_s in (0.5, 1.0, 2.0, 4.0, 8.0, 8.0):
        assert health.on_silence(now, "e")
        assert health.rests(now + rest_s - 0.01, "e")
        now += rest_s
        assert not health.rests(now, "e")
    assert health.on_answer("e", True)
    assert not health.on_silence(now, "e"), "an answer between them: no row"
    assert health.on_silence(now, "e")
    assert not health.rests(now + FIRST_REST_S, "e")


def test_failures_that_are_answered_rank_and_fade():
    health = EndpointHealth()
    for _ in range(30):
        health.on_answer("e", False)
    assert health.failing("e") > 0.9 and not health.rests(0.0, "e")
    for _ in range(30):
        health.on_answer("e", True)
    assert health.failing("e") < 0.1


def test_load_counts_own_and_others_work():
    load = engine_load()
    load.others = LoadShare(1, 5000.0, 300.0)
    load.begin(0.0, "r", 1000.0, 400.0)
    assert load.ahead_s(0.0) == pytest.approx(0.6) and load.running == 2
    assert load.fits(300.0, 1.0) and not load.fits(301.0, 1.0)
    assert not load.fits(1.0, 0.5), "half of the slots are taken"
    load.first_event(0.5, "r")
    assert load.own.reading == 0.0 and load.own.running == 1
    load.end("r")
    load.end("r")
    assert load.own == LoadShare()


class ServiceStub:
    """A scheduler over three engines, with levels and reading that tests set."""

    def __init__(self):
        self.engines = Engines()
        self.levels, self.reading, self.backoff_s = {}, 0.0, 0.0
        self.scheduler = ServiceScheduler(
            lambda: self.engines.listed,
            self.engines.chooser,
            lambda account: self.levels.get(account, 0.0),
            lambda: self.reading,
            lambda: self.backoff_s,
            fade_s=4.0,
        )

    def submit(self, name, account="a", **options):
        job = Job(waiter(name, account, **options), 1.0, PROMPT)
        return list(self.scheduler.submit(0.0, job))

    def fill(self, running, reading=0.0):
        for load in self.engines.loads.values():
            load.others = LoadShare(running, reading, 0.0)


@pytest.fixture
def service():
    return ServiceStub()


@pytest.mark.parametrize("beyond", ["running", "reading", "level"])
def test_beyond_the_allowance_requests_start_only_where_engines_are_slack(
    service, beyond
):
    """Others wait for the room that this host leaves; only what idles may be taken."""
    service.scheduler.allowance = Allowance(
        running=0 if beyond == "running" else 9,
        reading=0 if beyond == "reading" else 9,
        levels={"a": 10.0},
    )
    service.levels["a"] = 11.0 if beyond == "level" else 9.0
    service.fill(2)
    assert not service.submit("one"), "half of the slots run"
    service.fill(1, 1500.0)
    assert not list(service.scheduler.pump(0.1)), "0.15 s ahead"
    service.fill(1, 500.0)
    assert [start.request for start in service.scheduler.pump(0.2)] == ["one"]


def test_within_the_allowance_requests_start_while_there_is_room(service):
    service.fill(2, 1500.0)
    assert [type(decision) for decision in service.submit("one")] == [StartJob]


def test_accounts_above_their_level_go_after_others(service):
    service.fill(4)
    service.levels.update(a=30.0, b=10.0)
    service.scheduler.allowance = Allowance(levels={"a": 20.0, "b": 20.0})
    assert not service.submit("above", "a") and not service.submit("below", "b")
    service.fill(2)
    assert [d.request for d in service.scheduler.pump(0.1)] == ["below"]
    assert service.scheduler.waiting == 1


def test_requests_are_refused_when_their_time_is_over(service):
    service.fill(4)
    service.scheduler.allowance = Allowance(levels={"a": 10.0})
    service.submit("one", give_up_at=2.0)
    service.levels["a"] = 27.0
    assert service.scheduler.next_due() == 2.0
    assert not list(service.scheduler.pump(1.99))
    (refusal,) = service.scheduler.pump(2.0)
    assert isinstance(refusal, RefuseJob) and refusal.kind is ErrorKind.QUEUE_FULL
    assert 4.9 < refusal.retry_after_s <= 5.0, "1 s and fade_s * ln(2.7)"
    assert service.scheduler.next_due() is None and not service.scheduler.waiting


def test_requests_are_refused_at_once_without_endpoints(service):
    service.engines.listed = []
    (refusal,) = service.submit("one")
    assert refusal.kind is ErrorKind.NO_ENDPOINT and refusal.retry_after_s > 0


def test_requests_wait_for_the_end_of_a_backoff_only_if_it_comes_in_time(service):
    listed, service.engines.listed = service.engines.listed, []
    service.backoff_s = 0.1
    assert service.submit("one") == []
    service.backoff_s = 9.5
    refusals = {one.request: one for one in service.submit("two")}
    assert refusals.keys() == {"one", "two"}, "also those that wait already"
    assert {one.retry_after_s for one in refusals.values()} == {9.5}
    assert {one.kind for one in refusals.values()} == {ErrorKind.NO_ENDPOINT}
    service.backoff_s = 0.1
    assert service.submit("three") == []
    service.backoff_s, service.engines.listed = 0.0, listed
    (start,) = service.scheduler.pump(0.15)
    assert start.request == "three"


PIECES = st.lists(
    st.sampled_from([b"data: x", b"id: 7", b"\n", b"\r\n", b"\n\n", b"\r\n\r\n", b":"]),
    max_size=20,
).map(b"".join)


@given(PIECES, st.lists(st.integers(0, 150), max_size=8))
def test_frames_are_the_same_however_bytes_are_cut(text, cuts):
    whole = EventFrames()
    frames = list(whole.feed(text))
    parts = EventFrames()
    places = [0, *sorted(cuts), len(text)]
    found = [
        frame
        for begin, end in zip(places, places[1:], strict=False)
        for frame in parts.feed(text[begin:end])
    ]
    assert found == frames and parts.has_unfinished_event == whole.has_unfinished_event
    raw = b"".join(frame.raw for frame in frames)
    assert text.startswith(raw)
    assert not re.search(rb"\r?\n\r?\n", text[len(raw) :])


def test_frames_tell_numbers_and_torn_ends():
    frames = EventFrames()
    found = list(frames.feed(b"id: 12\r\ndata: x\r\n\r\ndata: id: 3\n\ndata"))
    assert [frame.event_id for frame in found] == [
        12,
        None,
    ] and frames.has_unfinished_event
    with pytest.raises(FrameTooLarge):
        list(frames.feed(b"x" * MAX_FRAME_BYTES))


def test_an_account_that_had_all_engines_goes_without_for_a_moment_only():
    """One account asks alone for ten seconds, then a second one asks for as much. The
    first goes without while its earlier work counts; if that counts for long, it gets
    less than half of what the second gets in the six seconds after."""
    listed = EndpointList()
    list(listed.put(replace(endpoint("e0"), service="m", slots=1)))
    book = ServiceBook(listed, "z", lambda: SendBudget(0, 0, 1))
    service = Service("m", slots=1, memory_tokens=1_000_000)
    book.on_routing(Routing(version=1, services={"m": service}))
    prompt = Prompt((), 1000, 100)
    started, ends = Counter(), deque()

    def carry_out(now, decisions):
        for start in decisions:
            if isinstance(start, StartJob):
                book.sent(now, start.request, start.choice, prompt)
                book.first_event(now, start.request, start.choice.endpoint)
                ends.append((now + 0.1, start.request))
                started[start.request[0]] += now >= 10

    for step in range(1600):
        now = step / 100
        if step % 25 == 0:
            carry_out(now, book.on_totals(now, FleetTotals()))
        for account in "ab" if now >= 10 else "a":
            place = Waiter(f"{account}{step}", account, 1200, 0, now, now + 1, now + 1)
            job = Job(place, 9.0, prompt)
            carry_out(now, book.submit(now, "m", job, account))
        while ends and ends[0][0] <= now:
            _, name = ends.popleft()
            book.left(name, listed.get("e0"))
            carry_out(now, book.ended(now, "m", name))
    assert started["a"] + started["b"] > 50, "the engine was busy"
    assert started["a"] >= 0.5 * started["b"]
