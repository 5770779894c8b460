"""Retry budget, queue, endpoint health, load and scheduling of one service."""

import re
from collections import Counter, deque
from dataclasses import replace
from itertools import accumulate

import pytest
from engine_stubs import PROMPT, Engines, endpoint, engine_load
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.endpoint_health import INITIAL_SUSPENSION_S, EndpointHealth
from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_retry_budget import BURST_S, FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import Prompt
from greengageflow.core.max_min import max_min_shares
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import (
    CapacityShare,
    Job,
    RefuseJob,
    ServiceScheduler,
    StartJob,
)
from greengageflow.core.trust import KeyTrust
from greengageflow.core.work_queue import QueuedRequest, WorkQueue
from greengageflow.errors import ErrorKind
from greengageflow.net.event_frames import MAX_FRAME_BYTES, EventFrames, InvalidEvents

WINDOW_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0, 4), st.booleans()), max_size=80),
    st.integers(1, 5),
    st.sampled_from([0.0, 0.1, 0.5]),
    st.sampled_from([0, 2, 7]),
)
def test_no_window_has_more_retries_than_the_budget(steps, hosts, ratio, slack):
    """Checks every window that ends with a retry, including its first moment."""
    budget = FleetRetryBudget(ratio, slack, WINDOW_S)
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


def test_budget_allows_retries_up_to_its_limit():
    budget = FleetRetryBudget(0.5, 20, WINDOW_S)
    assert not budget.take(0.0, 2)
    for _ in range(10):
        budget.on_request(8.0)
    assert sum(budget.take(8.0, 2) for _ in range(20)) == 8
    # Half of the host's slack is refilled at a constant rate of 0.4 a second.
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
def test_restarts_do_not_exceed_the_budget(steps, hosts, ratio, slack):
    """A new process does not know how many retries the previous one has used."""
    budget = FleetRetryBudget(ratio, slack, WINDOW_S)
    requests, repeats = [], []
    times = accumulate(step for step, _ in steps)
    for now, (_, step) in zip(times, steps, strict=True):
        match step:
            case "ask":
                budget.on_request(now)
                requests.append(now)
            case "start":
                budget = FleetRetryBudget(ratio, slack, WINDOW_S)
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
    assert not trust.is_trusted(0.0)
    trust.confirm(10.0)
    trust.confirm(8.0)
    assert trust.is_trusted(14.39) and not trust.is_trusted(14.4)
    short = KeyTrust(1.0, 0.6)
    short.confirm(0.0)
    assert short.is_trusted(0.79) and not short.is_trusted(0.8)


def queued_request(
    name, account="a", *, priority=0, target_at=5.0, expires_at=9.0, work=1.0
):
    return QueuedRequest(name, account, work, priority, 0.0, target_at, expires_at)


def test_queue_order_is_by_account_usage_priority_and_target():
    queue = WorkQueue()
    queue.put(queued_request("late", target_at=1.0))
    queue.put(queued_request("far", target_at=8.0))
    queue.put(queued_request("near", target_at=4.0))
    queue.put(queued_request("low", priority=1, target_at=3.0))
    queue.put(queued_request("other", "b"))
    levels = {"a": 5.0, "b": 3.0}

    def order():
        while heads := [w.id for w in queue.next_by_account(2.0, levels.get)]:
            queue.remove(heads[0])
            yield heads[0]

    assert list(order()) == ["other", "near", "far", "late", "low"]
    assert not queue and queue.next_expiry() is None


def test_queue_expires_each_request_at_its_time():
    queue = WorkQueue()
    queue.put(queued_request("one", expires_at=3.0))
    queue.put(queued_request("two", "b", expires_at=4.0))
    assert queue.next_expiry() == 3.0
    assert [w.id for w in queue.expired(3.0)] == ["one"]
    assert queue.remove("one") is None and queue.waiting("a") == 0
    assert queue.next_expiry() == 4.0


def test_suspension_doubles_until_an_endpoint_answers():
    health = EndpointHealth()
    assert not health.on_no_answer(0.0, "e")
    now = 0.0
    for suspension_s in (0.5, 1.0, 2.0, 4.0, 8.0, 8.0):
        assert health.on_no_answer(now, "e")
        assert health.is_suspended(now + suspension_s - 0.01, "e")
        now += suspension_s
        assert not health.is_suspended(now, "e")
    assert health.on_answer("e", True)
    assert not health.on_no_answer(now, "e"), "an answer in between resets the count"
    assert health.on_no_answer(now, "e")
    assert not health.is_suspended(now + INITIAL_SUSPENSION_S, "e")


def test_failure_rate_rises_and_decays():
    health = EndpointHealth()
    for _ in range(30):
        health.on_answer("e", False)
    assert health.failure_rate("e") > 0.9 and not health.is_suspended(0.0, "e")
    for _ in range(30):
        health.on_answer("e", True)
    assert health.failure_rate("e") < 0.1


def test_load_counts_requests_of_all_hosts():
    load = engine_load()
    load.others = LoadShare(1, 5000.0, 300.0)
    load.add_request(0.0, "r", 1000.0, 400.0)
    assert load.queue_wait_s(0.0) == pytest.approx(0.6) and load.running == 2
    assert load.fits(300.0, 1.0) and not load.fits(301.0, 1.0)
    assert not load.fits(1.0, 0.5), "half of the slots are taken"
    load.on_first_event(0.5, "r")
    assert load.own.reading == 0.0 and load.own.running == 1
    load.remove_request("r")
    load.remove_request("r")
    assert load.own == LoadShare()


class ServiceStub:
    """A scheduler over three engines; tests set usage levels and unread tokens."""

    def __init__(self):
        self.engines = Engines()
        self.levels, self.reading, self.backoff_s = {}, 0.0, 0.0
        self.scheduler = ServiceScheduler(
            lambda: self.engines.listed,
            lambda: self.engines.listed,
            self.engines.chooser,
            lambda account: self.levels.get(account, 0.0),
            lambda: self.reading,
            lambda: self.backoff_s,
            usage_decay_s=4.0,
        )

    def submit(self, name, account="a", version="", **options):
        queued = queued_request(name, account, **options)
        job = Job(queued, 1.0, PROMPT, version=version)
        return list(self.scheduler.submit(0.0, job))

    def fill(self, running, reading=0.0):
        for load in self.engines.loads.values():
            load.others = LoadShare(running, reading, 0.0)


@pytest.fixture
def service():
    return ServiceStub()


@pytest.mark.parametrize("beyond", ["running", "reading", "level"])
def test_beyond_the_share_requests_start_only_on_spare_capacity(service, beyond):
    """Other hosts and accounts wait for the rest; only idle capacity may be used."""
    service.scheduler.capacity_share = CapacityShare(
        running=0 if beyond == "running" else 9,
        reading=0 if beyond == "reading" else 9,
        usage_limits={"a": 10.0},
    )
    service.levels["a"] = 11.0 if beyond == "level" else 9.0
    service.fill(2)
    assert not service.submit("one"), "half of the slots are busy"
    service.fill(1, 1500.0)
    assert not list(service.scheduler.pump(0.1)), "0.15 s of unread prompts"
    service.fill(1, 500.0)
    assert [start.request for start in service.scheduler.pump(0.2)] == ["one"]


def test_within_the_share_requests_start_while_there_is_capacity(service):
    service.fill(2, 1500.0)
    assert [type(decision) for decision in service.submit("one")] == [StartJob]


def test_accounts_above_their_share_yield_to_others(service):
    service.fill(4)
    service.levels.update(a=30.0, b=10.0)
    service.scheduler.capacity_share = CapacityShare(
        usage_limits={"a": 20.0, "b": 20.0}
    )
    assert not service.submit("above", "a") and not service.submit("below", "b")
    service.fill(2)
    assert [d.request for d in service.scheduler.pump(0.1)] == ["below"]
    assert service.scheduler.waiting == 1


def test_expired_requests_are_refused(service):
    service.fill(4)
    service.scheduler.capacity_share = CapacityShare(usage_limits={"a": 10.0})
    service.submit("one", expires_at=2.0)
    service.levels["a"] = 27.0
    assert service.scheduler.next_due() == 2.0
    assert not list(service.scheduler.pump(1.99))
    (refusal,) = service.scheduler.pump(2.0)
    assert isinstance(refusal, RefuseJob) and refusal.kind is ErrorKind.QUEUE_FULL
    assert 4.9 < refusal.retry_after_s <= 5.0, "1 s and usage_decay_s * ln(2.7)"
    assert service.scheduler.next_due() is None and not service.scheduler.waiting


def test_an_expired_request_is_not_started_while_another_one_is_refused(service):
    """The caller that carries a refusal out calls again and would find it queued."""
    service.fill(4)
    service.submit("one", expires_at=2.0)
    service.submit("resumed", version="v1", expires_at=2.0)
    service.submit("other")
    service.fill(0)
    pump = service.scheduler.pump(2.0)
    decisions = [next(pump), *service.scheduler.pump(2.0), *pump]
    refused = {d.request for d in decisions if isinstance(d, RefuseJob)}
    assert refused == {"one", "resumed"} and len(decisions) == 3
    assert service.scheduler.running == {"other"}


def test_a_resumed_stream_goes_first_and_only_to_its_version(service):
    service.scheduler.capacity_share = CapacityShare(running=0)
    service.fill(2)
    assert not service.submit("one") and not service.submit("two", "b")
    service.engines.listed[0] = replace(service.engines.listed[0], version="v2")
    (start,) = service.submit("resumed", version="v2")
    assert start.request == "resumed" and start.choice.endpoint.version == "v2"
    (refusal,) = service.submit("gone", version="v3")
    assert refusal.kind is ErrorKind.VERSION_UNAVAILABLE


def test_a_waiting_resumed_stream_holds_up_no_request_of_its_account(service):
    """The only engine of its version is full, the others are idle."""
    service.engines.listed[0] = replace(service.engines.listed[0], version="v2")
    service.engines.loads["e0"].others = LoadShare(4, 0.0, 0.0)
    assert not service.submit("resumed", version="v2", target_at=0.1)
    (start,) = service.submit("other", target_at=5.0)
    assert start.request == "other" and service.scheduler.waiting == 1
    service.fill(0)
    assert [start.request for start in service.scheduler.pump(0.1)] == ["resumed"]


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
    assert refusals.keys() == {"one", "two"}, "queued requests are refused as well"
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
def test_frames_do_not_depend_on_chunk_boundaries(text, cuts):
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


def test_frames_have_event_numbers_and_flag_truncation():
    frames = EventFrames()
    found = list(frames.feed(b"id: 12\r\ndata: x\r\n\r\ndata: id: 3\n\ndata"))
    assert [frame.event_id for frame in found] == [
        12,
        None,
    ] and frames.has_unfinished_event
    with pytest.raises(InvalidEvents):
        list(frames.feed(b"x" * MAX_FRAME_BYTES))


def test_usage_of_a_formerly_lone_account_decays_quickly():
    """One account sends requests alone for ten seconds, then a second one as many.

    The first account gets no capacity while its earlier work counts. If the decay is
    too slow, it gets less than half of the second account's work in the six seconds
    that follow.
    """
    listed = EndpointList()
    list(listed.put(replace(endpoint("e0"), service="m", slots=1)))
    dispatcher = ServiceDispatcher(listed, "z", lambda: FleetRetryBudget(0, 0, 1))
    service = Service("m", slots=1, memory_tokens=1_000_000)
    dispatcher.on_routing(Routing(version=1, services={"m": service}))
    prompt = Prompt((), 1000, 100)
    started, ends = Counter(), deque()

    def apply_decisions(now, decisions):
        for start in decisions:
            if isinstance(start, StartJob):
                dispatcher.on_request_sent(now, start.request, start.choice, prompt)
                dispatcher.on_first_event(now, start.request, start.choice.endpoint)
                ends.append((now + 0.1, start.request))
                started[start.request[0]] += now >= 10

    for step in range(1600):
        now = step / 100
        if step % 25 == 0:
            apply_decisions(now, dispatcher.on_totals(now, FleetTotals()))
        for account in "ab" if now >= 10 else "a":
            queued = QueuedRequest(
                f"{account}{step}", account, 1200, 0, now, now + 1, now + 1
            )
            job = Job(queued, 9.0, prompt)
            apply_decisions(now, dispatcher.submit(now, "m", job, account))
        while ends and ends[0][0] <= now:
            _, name = ends.popleft()
            dispatcher.on_request_released(name, listed.get("e0"))
            apply_decisions(now, dispatcher.on_request_end(now, "m", name))
    assert started["a"] + started["b"] > 50, "the engine was busy"
    assert started["a"] >= 0.5 * started["b"]
