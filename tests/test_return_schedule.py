"""Retry times of rejected requests: spread, bounded, and each account for itself."""

from collections import Counter

import pytest
from engine_stubs import PROMPT, Engines, stream_route

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.return_schedule import (
    MIN_RETURN_RATE,
    RATE_DECAY_S,
    ReturnSchedule,
)
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    CapacityShare,
    Job,
    RefuseJob,
    ServiceScheduler,
)
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.errors import ErrorKind
from greengageflow.lab.bench_policy import MECHANISMS

CAP_S = 5.0
ACCOUNTS = 256
"""Accounts with a schedule, by the page on admission."""


@pytest.fixture
def schedule():
    return ReturnSchedule(CAP_S)


def start(schedule, account, per_s, until, duration_s=20.0):
    count = int(per_s * duration_s)
    for number in range(count):
        schedule.on_start(until - (count - number) / per_s, account)


@pytest.mark.parametrize("per_s", [0.0, 0.1, 25.0])
def test_retries_come_at_the_rate_of_the_accounts_starts(schedule, per_s):
    """Guards against more retries than the account's part of the engines can start."""
    start(schedule, "a", per_s, 100.0)
    delays = [schedule.take(100.0, "a", 1.0) for _ in range(5)]
    steps = [after - before for before, after in zip(delays, delays[1:], strict=False)]
    rate = max(per_s, MIN_RETURN_RATE)
    assert delays[0] == 1.0
    assert steps == pytest.approx([1.0 / rate] * 4, rel=0.05)


def test_starts_of_the_past_count_less(schedule):
    """Guards against retries at a past rate while engines are full now."""
    start(schedule, "a", 25.0, 100.0)
    now = 100.0 + 10 * RATE_DECAY_S
    first, second = (schedule.take(now, "a", 1.0) for _ in range(2))
    assert second - first == pytest.approx(1.0 / MIN_RETURN_RATE)


@pytest.mark.parametrize("earliest_s", [1.0, 3.3, 4.9, CAP_S])
def test_retries_beyond_the_cap_are_spread_before_it(schedule, earliest_s):
    """Guards against a burst whose retries meet again at the cap."""
    delays = [schedule.take(0.0, "a", earliest_s) for _ in range(800)]
    first_s = min(earliest_s, CAP_S - 1.0)
    assert first_s <= min(delays) < max(delays) <= CAP_S
    parts = Counter(int(8 * (delay - first_s) / (CAP_S - first_s)) for delay in delays)
    assert max(parts.values()) < 1.15 * 800 / 8
    assert Counter(delays).most_common(1)[0][1] == 1


def test_a_burst_does_not_delay_later_retries(schedule):
    """Guards against a schedule that a burst fills for minutes."""
    for _ in range(1000):
        schedule.take(0.0, "a", 1.0)
    assert schedule.take(CAP_S, "a", 1.0) == 1.0


def test_accounts_do_not_move_each_others_retries(schedule):
    """Guards against a hostile account that delays the retries of others."""
    alone = ReturnSchedule(CAP_S)
    for number in range(500):
        now = 0.01 * number
        schedule.take(now, "hostile", 1.0)
        if number % 30 == 0:
            assert schedule.take(now, "b", 1.0) == alone.take(now, "b", 1.0)


def test_accounts_are_bounded_and_those_without_retries_to_come_go_first(schedule):
    """Guards against memory that grows with names, and against the loss of schedules
    that are still needed while others are not.
    """
    schedule.take(0.0, "passed", 1.0)
    kept = [f"kept{number}" for number in range(ACCOUNTS - 2)]
    for _ in range(8):
        for name in kept:
            schedule.take(2.0, name, 1.0)
    schedule.on_start(2.0, "started")
    before = {name: schedule.peek(2.0, name, 1.0) for name in kept}
    for name in ("new0", "new1"):
        schedule.take(2.0, name, 1.0)
    assert len(schedule) == ACCOUNTS
    assert {name: schedule.peek(2.0, name, 1.0) for name in kept} == before
    schedule.take(2.0, "new2", 1.0)
    assert schedule.peek(2.0, kept[0], 1.0) == 1.0, "the least recently used one"
    for number in range(5000):
        schedule.on_start(3.0, f"name{number}")
        schedule.take(3.0, f"other{number}", 1.0)
    assert len(schedule) == ACCOUNTS


def test_reading_the_next_retry_takes_nothing(schedule):
    """Guards against explanations that move the retries of real requests."""
    for _ in range(30):
        expected = schedule.peek(0.0, "a", 1.0)
        assert schedule.peek(0.0, "a", 1.0) == expected
        copied = schedule.snapshot()
        assert copied.take(0.0, "a", 1.0) == expected
        copied.take(0.0, "a", 1.0)
        assert schedule.take(0.0, "a", 1.0) == expected


class FullService:
    """A scheduler whose three engines have no free slot."""

    def __init__(self, *, by_cost):
        engines = Engines()
        for load in engines.loads.values():
            load.others = LoadShare(4, 0.0, 0.0)
        self.usage = {"big": 40.0}
        self.scheduler = ServiceScheduler(
            lambda: engines.listed,
            lambda: engines.listed,
            engines.chooser,
            lambda account: self.usage.get(account, 1.0),
            lambda: 0.0,
            lambda: 0.0,
            usage_decay_s=2.0,
        )
        self.scheduler.by_cost = by_cost
        limits = {"big": 20.0} | {f"small{number}": 20.0 for number in range(12)}
        self.scheduler.capacity_share = CapacityShare(usage_limits=limits)

    def burst(self, now, names):
        """Submit requests of accounts at once; return their rejections by account."""
        for number, account in enumerate(names):
            queued = QueuedRequest(
                f"{account}/{now}/{number}", account, 1.0, 0, now, now + 0.3, now + 0.13
            )
            assert not list(self.scheduler.submit(now, Job(queued, 0.3, PROMPT)))
        delays = {name: [] for name in names}
        for refusal in self.scheduler.pump(now + 0.13):
            assert isinstance(refusal, RefuseJob)
            assert refusal.kind is ErrorKind.QUEUE_FULL
            delays[refusal.request.partition("/")[0]].append(refusal.retry_after_s)
        return delays


SMALL = [f"small{number}" for number in range(12)]
BURST = (["big"] * 30 + SMALL) * 12
"""360 requests of an account above its share, and 12 of each of 12 small ones."""


def test_a_burst_of_rejections_is_told_to_retry_over_time():
    """The engines are full, and an account above its share and twelve small ones send
    504 requests at once. Told the same delay, all 360 would be back at the same moment
    and be rejected again, and the small accounts with them.
    """
    service = FullService(by_cost=True)
    delays = service.burst(1.0, BURST)
    told = sorted(delay for found in delays.values() for delay in found)
    assert len(told) == len(BURST)
    assert told[0] >= MIN_RETRY_AFTER_S and told[-1] <= MAX_RETRY_AFTER_S
    earliest_s = MIN_RETRY_AFTER_S + 2.0 * 0.693
    assert min(delays["big"]) == pytest.approx(earliest_s, abs=0.01)
    moments = Counter(int(10 * delay) for delay in delays["big"])
    assert max(moments.values()) <= 0.06 * len(delays["big"]), (
        "of 26 tenths of a second"
    )
    assert max(Counter(delays["big"]).values()) == 1
    for name in SMALL:
        assert delays[name][0] == MIN_RETRY_AFTER_S
        assert max(Counter(int(10 * delay) for delay in delays[name]).values()) <= 2


def test_those_served_least_retry_first():
    """Guards against an account above its share whose retries come before others'."""
    delays = FullService(by_cost=True).burst(1.0, BURST)
    big = sorted(delays["big"])
    for name in SMALL:
        small = sorted(delays[name])
        assert all(a < b for a, b in zip(small, big, strict=False) if a < 2.0)
        assert small[len(small) // 2] < big[len(big) // 2]


def test_a_flood_of_rejections_moves_no_other_accounts_retries():
    """Guards against a hostile account that delays the retries of small ones."""
    flooded, alone = FullService(by_cost=True), FullService(by_cost=True)
    for number in range(5):
        names = ["big"] * 200 + SMALL * 2
        found = flooded.burst(1.0 + number, names)
        expected = alone.burst(1.0 + number, SMALL * 2)
        assert {name: found[name] for name in SMALL} == expected


def test_schedules_of_many_accounts_are_bounded():
    """Guards against memory that grows with the accounts that were ever rejected."""
    service = FullService(by_cost=True)
    for number in range(5):
        service.burst(1.0 + number, [f"name{number}-{n}" for n in range(200)])
    assert len(service.scheduler.return_schedule) <= ACCOUNTS


def test_without_short_targets_all_are_told_what_they_were():
    """Guards against a change for deployments without short targets."""
    service = FullService(by_cost=False)
    delays = service.burst(1.0, BURST)
    for name in SMALL:
        assert set(delays[name]) == {MIN_RETRY_AFTER_S}
    (big,) = set(delays["big"])
    assert big == service.scheduler.retry_after_s("big")
    assert big == service.scheduler.next_retry_after_s(9.0, "big")
    assert big == pytest.approx(MIN_RETRY_AFTER_S + 2.0 * 0.6931, abs=0.001)
    assert len(service.scheduler.return_schedule) == 0


def test_without_a_time_the_last_event_counts():
    service = FullService(by_cost=True)
    service.burst(7.0, ["small0"])
    expected = service.scheduler.next_retry_after_s(7.13, "small0")
    assert service.scheduler.retry_after_s("small0") == expected > MIN_RETRY_AFTER_S


def test_the_ablation_of_the_policy_bench_disables_the_schedule(monkeypatch):
    """Guards against a comparison of the schedule with itself."""
    monkeypatch.setattr(ReturnSchedule, "take", ReturnSchedule.take)
    MECHANISMS["retry-schedule"]()
    delays = FullService(by_cost=True).burst(1.0, BURST)
    assert len(set(delays["big"])) == 1


def make_dispatcher(target_s):
    endpoints = EndpointList()
    engine = ListedEndpoint("e0", "model", "127.0.0.1", 9, "z", 4)
    list(endpoints.put(engine))
    made = ServiceDispatcher(endpoints, "z", lambda: FleetRetryBudget(0.2, 10, 10.0))
    services = {"model": Service("model", 4, memory_tokens=100_000)}
    made.on_routing(Routing(1, routes=(stream_route(target_s),), services=services))
    return made


@pytest.mark.parametrize(("target_s", "scheduled"), [(0.5, True), (0.51, False)])
def test_the_schedule_depends_on_short_targets(target_s, scheduled):
    """Guards against a schedule where decisions are not made by cost, or none there."""
    dispatcher = make_dispatcher(target_s)
    dispatcher.on_loads({"e0": LoadShare(4, 0.0, 0.0)})
    for number in range(20):
        queued = QueuedRequest(f"r{number}", "a", 1.0, 0, 1.0, 1.5, 1.2)
        job = Job(queued, target_s, PROMPT)
        assert not list(dispatcher.submit(1.0, "model", job, "a"))
    delays = {refusal.retry_after_s for refusal in dispatcher.pump(1.2)}
    assert (len(delays) == 20) is scheduled
    assert (delays == {MIN_RETRY_AFTER_S}) is not scheduled
