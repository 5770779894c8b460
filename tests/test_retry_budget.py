"""The fleet's retry budget in any window, under host failures and partitions."""

from bisect import bisect_left
from functools import partial
from random import Random

import pytest

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_size import KEPT_S, FleetSize
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.service_dispatcher import ServiceDispatcher

SERVICE = "plain"
RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
LENGTH_S = 45.0
STEP_S = 0.05
ROUND_S = 0.25
FAIL = 0.6
MOST_REPEATS = 3
TROUBLE_S = (12.0, 40.0)


class Host:
    """One host across all its restarts.

    Attributes:
        down_until: Time of its next start.
        still_until: Time at which it resumes after a freeze.
        heard_at: Time at which it next receives the other hosts' reports.
    """

    def __init__(self):
        self.down_until = self.still_until = 0.0
        self.start(-15.0)

    def start(self, now):
        budget = partial(FleetRetryBudget, RATIO, SLACK, WINDOW_S)
        self.book = ServiceDispatcher(EndpointList(), "z", budget)
        self.heard_at = now + ROUND_S

    def is_up(self, now):
        return now >= max(self.down_until, self.still_until)

    def hear(self, now, others):
        list(self.book.on_totals(now, FleetTotals(hosts=others)))


class Fleet:
    """Hosts with callers at a constant rate, and a service that often fails."""

    def __init__(self, seed, hosts, rate, pauses):
        self.pauses = pauses
        self.random = Random(seed)
        self.hosts = [Host() for _ in range(hosts)]
        self.weights = [self.random.uniform(0.3, 2.0) for _ in self.hosts]
        self.rate = rate
        self.requests, self.repeats = [], []
        self.cut = frozenset()
        self.failing = False
        self.turns_at = 6.0

    def play(self, trouble):
        now = -15.0
        while now < LENGTH_S:
            if TROUBLE_S[0] <= now < TROUBLE_S[1]:
                trouble(self, now)
            if now >= self.turns_at:
                self.failing = not self.failing
                self.turns_at = now + self.random.uniform(1.0, 6.0)
            self._hear(now)
            rate = self.rate if now >= 0 else 0.0
            for _ in range(int(rate * STEP_S + self.random.random())):
                self._ask(now + self.random.uniform(0, STEP_S))
            now = round(now + STEP_S, 6)

    def _hear(self, now):
        up = [i for i, host in enumerate(self.hosts) if host.is_up(now)]
        for i in up:
            host = self.hosts[i]
            if host.heard_at <= now:
                side = i in self.cut
                others = sum(1 for j in up if j != i and (j in self.cut) == side)
                host.hear(now, 0 if side else others)
                host.heard_at = now + ROUND_S

    def _ask(self, now):
        self.requests.append(now)
        (host,) = self.random.choices(self.hosts, self.weights)
        if not host.is_up(now):
            return
        host.book.count_request(now, SERVICE)
        failing = self.failing if self.pauses else now > 6.0
        fails = FAIL if failing else 0.0
        for _ in range(MOST_REPEATS):
            if self.random.random() > fails:
                return
            now += 0.002
            if not host.book.take_retry(now, SERVICE):
                return
            self.repeats.append(now)

    def some(self, share):
        count = max(1, round(share * len(self.hosts)))
        return self.random.sample(range(len(self.hosts)), count)

    def worst(self):
        """Return the largest excess of retries over the budget in any window."""
        requests, repeats = sorted(self.requests), sorted(self.repeats)

        def count(times, start):
            return bisect_left(times, start + WINDOW_S) - bisect_left(times, start)

        return max(
            count(repeats, at)
            - RATIO * max(count(requests, at - late) for late in (0.0, 5.0, 10.0))
            - SLACK
            for at in repeats
        )


def every(gap_s):
    def is_due(now):
        return (now - TROUBLE_S[0]) % gap_s < STEP_S - 1e-9

    return is_due


def kill(fleet, now, share, gap_s):
    for host in fleet.hosts:
        if host.down_until == now:
            host.start(now)
    if every(gap_s)(now):
        for i in fleet.some(share):
            fleet.hosts[i].down_until = round(now + 10 * STEP_S, 6)


def freeze(fleet, now):
    if every(6.0)(now):
        for i in fleet.some(0.7):
            host = fleet.hosts[i]
            host.still_until = round(now + 3.0, 6)
            host.heard_at = host.still_until + 0.6
    for host in fleet.hosts:
        # At its resumption all reports that it has received are expired.
        if host.still_until == now:
            host.hear(now, 0)


def cut(fleet, now):
    fleet.cut = frozenset(range(len(fleet.hosts) // 2))


def move(fleet, now):
    if every(4.0)(now):
        fleet.weights = [fleet.random.choice((0.05, 2.0)) for _ in fleet.hosts]


TROUBLES = {
    "some hosts start again and again": partial(kill, share=0.5, gap_s=3.0),
    "all hosts start at once": partial(kill, share=1.0, gap_s=7.0),
    "one host after the other starts": partial(kill, share=0.12, gap_s=0.7),
    "hosts wake from a freeze": freeze,
    "hosts are cut off from the others": cut,
    "callers move to other hosts": move,
}


@pytest.mark.parametrize("pauses", [False, True], ids=["lasting", "with pauses"])
@pytest.mark.parametrize("hosts, rate", [(9, 40.0), (9, 120.0), (60, 250.0)])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_window_of_the_fleet_has_more_repeats_than_allowed(
    trouble, hosts, rate, pauses
):
    """Hosts that lose their counts would send failing endpoints too many retries."""
    for seed in range(6):
        fleet = Fleet(seed, hosts, rate, pauses)
        fleet.play(TROUBLES[trouble])
        assert fleet.worst() <= 0, seed


def test_host_that_hears_nobody_shares_with_as_many_as_before():
    fleet = FleetSize(least=3)
    assert fleet.hosts == 3
    for now, heard in ((0.0, 9), (1.0, 1), (2.0, 4)):
        fleet.note(now, heard)
        assert fleet.hosts == 9
    fleet.note(KEPT_S + 1.0, 4)
    assert fleet.hosts == 4
    fleet.note(2 * KEPT_S + 2.0, 1)
    assert fleet.hosts == 3


def test_first_request_of_a_service_may_be_repeated_on_a_host_that_runs_for_long():
    host = Host()
    host.hear(0.0, 1)
    host.book.count_request(100.0, SERVICE)
    repeats = sum(host.book.take_retry(100.0, SERVICE) for _ in range(100))
    assert repeats == 11
