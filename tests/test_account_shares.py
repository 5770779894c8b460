"""Shares of accounts whose callers reach different hosts, in simulated time."""

from collections import Counter
from types import SimpleNamespace

import pytest
from test_placement import PROMPT, SLOTS, Fleet, HostStub

from greengageflow.core.endpoint_choice import MAX_FILL_FRACTION
from greengageflow.core.fleet_sums import FleetTotals, merge
from greengageflow.core.routes import Routing, Service
from greengageflow.core.service_scheduler import Job, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.net.report_codec import decode, encode

ONE_WAY_S = 0.002
RUN_S = 0.1
CAPACITY_PER_S = int(MAX_FILL_FRACTION * SLOTS) / RUN_S
ASKED_PER_S = 4 * CAPACITY_PER_S
TARGET_S, PATIENCE_S, DEADLINE_S = 0.8, 0.36, 12.0
WARM_UP_S, MEASURED_S = 3.0, 6.0
STEP_S = 0.02


class LoadedFleet(Fleet):
    """Hosts whose callers ask for more than the engine can run.

    Attributes:
        rounds_s: Round of the event loop of hosts that are late.
        sent: Number of requests that reached the engine, by account.
    """

    def __init__(self, hosts=3):
        self.rounds_s, self.sent = {}, Counter()
        super().__init__(hosts)

    def play(self, account_by_host):
        """Return the requests of each account that are sent in the measured time."""
        for host, account in account_by_host.items():
            self.hosts[host].start_load(account)
        self.run(WARM_UP_S)
        self.sent.clear()
        self.run(MEASURED_S)
        return self.sent


class LoadedHost(HostStub):
    """A host whose event loop handles due timers, then messages, then callers."""

    def __init__(self, fleet, name, index, boot=1):
        self.inbox, self.due_timers, self.account, self.unasked = [], [], "", 0.0
        super().__init__(fleet, name, index, boot)
        service = Service("model", slots=SLOTS, memory_tokens=100_000)
        tokens_per_s = CAPACITY_PER_S * PROMPT.work
        self.book.on_routing(
            Routing(version=1, services={"model": service}, tokens_per_s=tokens_per_s)
        )
        self.every(STEP_S, lambda: self.carry_out(self.book.pump(self.now)))
        self._loop()

    @property
    def is_late(self):
        return self.name in self.fleet.rounds_s

    def _loop(self):
        timers, self.due_timers = self.due_timers, []
        for call in timers:
            call()
        self.receive_pending()
        round_s = self.fleet.rounds_s.get(self.name, STEP_S)
        if self.account:
            self.unasked += ASKED_PER_S * round_s
            while self.unasked >= 1:
                self.unasked -= 1
                self._ask()
        self.fleet.at(self.now + round_s, self._loop)

    def start_load(self, account):
        self.account = account

    def after(self, delay_s, call):
        def on_due():
            if self.is_late:
                self.due_timers.append(call)
            else:
                call()

        # Rounding must not bring a timer back at the same moment for ever.
        self.fleet.at(self.now + max(delay_s, 1e-6), on_due)
        return SimpleNamespace(cancel=lambda: None)

    def receive(self, message):
        self.inbox.append(message)
        if not self.is_late:
            self.receive_pending()

    def receive_pending(self):
        while self.inbox:
            self.placement.receive(self.inbox.pop(0))

    def send_to(self, to, message):
        [target] = [h for h in self.fleet.hosts.values() if h.hello.address == to]
        arrived = decode(encode(message))
        self.fleet.at(self.now + ONE_WAY_S, lambda: target.receive(arrived))

    def round(self):
        self.placement.on_round()
        reports = (
            FleetTotals(
                host.book.recent_work(self.now),
                host.book.recent_demand(self.now),
                host.book.own_loads(),
                1,
            )
            for host in self.fleet.hosts.values()
            if host is not self
        )
        self.carry_out(self.book.on_totals(self.now, merge(reports)))

    def carry_out(self, decisions):
        for decision in decisions:
            super().carry_out([decision])
            if decision.request.isdigit() and isinstance(decision, StartJob):
                self.fleet.sent[decision.queued_request.account] += 1
                name = decision.request
                self.fleet.at(self.now + RUN_S, lambda name=name: self.end(name))

    def _ask(self):
        name, now = str(next(self.runs)), self.now
        queued = QueuedRequest(
            name, self.account, PROMPT.work, 0, now, now + TARGET_S, now + PATIENCE_S
        )
        job = Job(queued, TARGET_S, PROMPT)
        self.carry_out(self.placement.submit(now, "model", job, self.account))


@pytest.fixture(name="fleet")
def fleet_fixture(monkeypatch):
    monkeypatch.setattr("test_placement.HostStub", LoadedHost)
    return LoadedFleet()


def play_with_late_host(fleet, round_s):
    near, far = fleet.others
    fleet.rounds_s[near.name] = round_s
    return fleet.play({near.name: "near", far.name: "far"})


@pytest.mark.parametrize("round_s", [0.08, 0.16, 0.2, 0.3])
def test_an_account_at_a_late_host_gets_its_share(fleet, round_s):
    """It was charged for starts that its late host did not use."""
    sent = play_with_late_host(fleet, round_s)
    assert 0.75 < sent["near"] / sent["far"] < 1.33, sent


@pytest.mark.parametrize("round_s", [0.08, 0.16, 0.2, 0.3])
def test_a_late_host_leaves_the_engine_to_others(fleet, round_s):
    """Starts that the late host did not use held slots for up to a second."""
    sent = play_with_late_host(fleet, round_s)
    idle_s = 0.5 * sent["near"] * round_s
    assert sum(sent.values()) * RUN_S > 0.8 * (3 * MEASURED_S - idle_s), sent


@pytest.mark.parametrize("round_s", [0.08, 0.16])
def test_accounts_get_their_shares_though_the_placer_is_late(fleet, round_s):
    """Half of them have their callers at the placer's host, which knows its starts."""
    other = fleet.others[0]
    fleet.rounds_s[fleet.placer] = round_s
    sent = fleet.play({fleet.placer: "near", other.name: "far"})
    assert 0.75 < sent["near"] / sent["far"] < 1.33, sent
