"""The fleet's retry budget in any window, under host failures and partitions."""

from bisect import bisect_left
from functools import partial
from random import Random

import pytest

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_size import RETENTION_S, FleetSize
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.service_dispatcher import ServiceDispatcher

SERVICE = "plain"
RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
DURATION_S = 45.0
STEP_S = 0.05
REPORT_INTERVAL_S = 0.25
FAILURE_RATE = 0.6
MAX_RETRIES = 3
FAULT_PERIOD_S = (12.0, 40.0)


class Host:
    """One host across all its restarts.

    Attributes:
        down_until: Time of its next start.
        frozen_until: Time at which it resumes after a freeze.
        next_reports_at: Time at which it next receives the other hosts' reports.
    """

    def __init__(self):
        self.down_until = self.frozen_until = 0.0
        self.start(-15.0)

    def start(self, now):
        budget = partial(FleetRetryBudget, RATIO, SLACK, WINDOW_S)
        self.dispatcher = ServiceDispatcher(EndpointList(), "z", budget)
        self.next_reports_at = now + REPORT_INTERVAL_S

    def is_up(self, now):
        return now >= max(self.down_until, self.frozen_until)

    def receive_reports(self, now, others):
        list(self.dispatcher.on_totals(now, FleetTotals(hosts=others)))


class Fleet:
    """Hosts with callers at a constant rate, and a service that often fails."""

    def __init__(self, seed, hosts, rate, intermittent):
        self.intermittent = intermittent
        self.random = Random(seed)
        self.hosts = [Host() for _ in range(hosts)]
        self.weights = [self.random.uniform(0.3, 2.0) for _ in self.hosts]
        self.rate = rate
        self.requests, self.retries = [], []
        self.partition = frozenset()
        self.failing = False
        self.next_toggle_at = 6.0

    def run(self, fault):
        now = -15.0
        while now < DURATION_S:
            if FAULT_PERIOD_S[0] <= now < FAULT_PERIOD_S[1]:
                fault(self, now)
            if now >= self.next_toggle_at:
                self.failing = not self.failing
                self.next_toggle_at = now + self.random.uniform(1.0, 6.0)
            self._exchange_reports(now)
            rate = self.rate if now >= 0 else 0.0
            for _ in range(int(rate * STEP_S + self.random.random())):
                self._send_request(now + self.random.uniform(0, STEP_S))
            now = round(now + STEP_S, 6)

    def _exchange_reports(self, now):
        up = [i for i, host in enumerate(self.hosts) if host.is_up(now)]
        for i in up:
            host = self.hosts[i]
            if host.next_reports_at <= now:
                is_partitioned = i in self.partition
                others = sum(
                    1 for j in up if j != i and (j in self.partition) == is_partitioned
                )
                host.receive_reports(now, 0 if is_partitioned else others)
                host.next_reports_at = now + REPORT_INTERVAL_S

    def _send_request(self, now):
        self.requests.append(now)
        (host,) = self.random.choices(self.hosts, self.weights)
        if not host.is_up(now):
            return
        host.dispatcher.count_request(now, SERVICE)
        failing = self.failing if self.intermittent else now > 6.0
        fails = FAILURE_RATE if failing else 0.0
        for _ in range(MAX_RETRIES):
            if self.random.random() > fails:
                return
            now += 0.002
            if not host.dispatcher.take_retry(now, SERVICE):
                return
            self.retries.append(now)

    def sample_hosts(self, share):
        count = max(1, round(share * len(self.hosts)))
        return self.random.sample(range(len(self.hosts)), count)

    def largest_excess(self):
        """Return the largest excess of retries over the budget in any window."""
        requests, retries = sorted(self.requests), sorted(self.retries)

        def count(times, start):
            return bisect_left(times, start + WINDOW_S) - bisect_left(times, start)

        return max(
            count(retries, at)
            - RATIO
            * max(count(requests, at - offset_s) for offset_s in (0.0, 5.0, 10.0))
            - SLACK
            for at in retries
        )


def due_every(gap_s):
    def is_due(now):
        return (now - FAULT_PERIOD_S[0]) % gap_s < STEP_S - 1e-9

    return is_due


def restart(fleet, now, share, gap_s):
    for host in fleet.hosts:
        if host.down_until == now:
            host.start(now)
    if due_every(gap_s)(now):
        for i in fleet.sample_hosts(share):
            fleet.hosts[i].down_until = round(now + 10 * STEP_S, 6)


def freeze(fleet, now):
    if due_every(6.0)(now):
        for i in fleet.sample_hosts(0.7):
            host = fleet.hosts[i]
            host.frozen_until = round(now + 3.0, 6)
            host.next_reports_at = host.frozen_until + 0.6
    for host in fleet.hosts:
        # At its resumption all reports that it has received are expired.
        if host.frozen_until == now:
            host.receive_reports(now, 0)


def partition(fleet, now):
    fleet.partition = frozenset(range(len(fleet.hosts) // 2))


def move_callers(fleet, now):
    if due_every(4.0)(now):
        fleet.weights = [fleet.random.choice((0.05, 2.0)) for _ in fleet.hosts]


FAULTS = {
    "some hosts start again and again": partial(restart, share=0.5, gap_s=3.0),
    "all hosts start at once": partial(restart, share=1.0, gap_s=7.0),
    "one host after the other starts": partial(restart, share=0.12, gap_s=0.7),
    "hosts wake from a freeze": freeze,
    "hosts are cut off from the others": partition,
    "callers move to other hosts": move_callers,
}


@pytest.mark.parametrize("intermittent", [False, True], ids=["lasting", "with pauses"])
@pytest.mark.parametrize("hosts, rate", [(9, 40.0), (9, 120.0), (60, 250.0)])
@pytest.mark.parametrize("fault", FAULTS)
def test_no_window_of_the_fleet_has_more_retries_than_allowed(
    fault, hosts, rate, intermittent
):
    """Hosts that lose their counts would send failing endpoints too many retries."""
    for seed in range(6):
        fleet = Fleet(seed, hosts, rate, intermittent)
        fleet.run(FAULTS[fault])
        assert fleet.largest_excess() <= 0, seed


def test_host_that_hears_nobody_shares_with_as_many_as_before():
    fleet = FleetSize(min_hosts=3)
    assert fleet.hosts == 3
    for now, heard in ((0.0, 9), (1.0, 1), (2.0, 4)):
        fleet.observe(now, heard)
        assert fleet.hosts == 9
    fleet.observe(RETENTION_S + 1.0, 4)
    assert fleet.hosts == 4
    fleet.observe(2 * RETENTION_S + 2.0, 1)
    assert fleet.hosts == 3


def test_long_running_host_may_retry_the_first_request_of_a_service():
    host = Host()
    host.receive_reports(0.0, 1)
    host.dispatcher.count_request(100.0, SERVICE)
    retries = sum(host.dispatcher.take_retry(100.0, SERVICE) for _ in range(100))
    assert retries == 11
