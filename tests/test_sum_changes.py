"""Incremental sums on a network that loses, duplicates and reorders datagrams."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, SumReport, sum_loads
from greengageflow.core.peer_report import PeerReport, ReceivedReport
from greengageflow.core.sum_changes import (
    DELTA_OVERLAP_MESSAGES,
    FULL_SUM_INTERVAL_S,
    SumDelta,
    SumPublisher,
)
from greengageflow.core.sum_table import SumOutcome, SumTable
from greengageflow.core.zone_loads import ZoneLoads
from greengageflow.net.report_codec import decode, encode

TURN_S = 0.1
KEYS = st.integers(0, 5)
VALUES = st.integers(0, 3)


def nonzero(values):
    return {key: value for key, value in values.items() if value}


def contents(report):
    """Return the contents of a sum; removed keys, which hold zeros, are left out."""
    totals = report.totals
    loads = {name: load for name, load in totals.loads.items() if load != LoadShare()}
    work = nonzero(totals.served), nonzero(totals.offered)
    return loads, *work, nonzero(report.included), totals.hosts, report.version


class SumDelivery(RuleBasedStateMachine):
    """A relay sends its sums; a member applies what arrives, in any order.

    The member must hold exactly the sum of the last message that it applied. With a
    mixture of two, it would subtract another part of its own than the sum includes,
    and so count itself or miss others.
    """

    def __init__(self):
        super().__init__()
        self.now, self.number = 0.0, 0
        self.loads, self.work, self.included = {}, {}, {}
        self.publisher, self.table = SumPublisher(), SumTable()
        self.in_flight, self.published, self.work_published_in = [], {}, {}
        self.last_work_number = None

    def current_sum(self):
        served = {("s", f"a{key}"): float(x) for key, x in self.work.items()}
        totals = FleetTotals(served, served, dict(self.loads), len(self.included))
        return SumReport(
            host="r1",
            boot=1,
            number=self.number,
            zone="z",
            fleet_wide=True,
            totals=totals,
            included=dict(self.included),
            version=self.number // 4,
        )

    @rule(key=KEYS, value=VALUES)
    def change_load(self, key, value):
        self.loads[f"e{key}"] = LoadShare(value, 10 * value, 0)

    @rule(key=KEYS)
    def remove_endpoint(self, key):
        self.loads.pop(f"e{key}", None)

    @rule(key=KEYS, value=VALUES)
    def change_work(self, key, value):
        self.work[key] = value

    @rule(key=KEYS, sequence=st.integers(1, 9))
    def report_member(self, key, sequence):
        self.included[f"r{key}"] = sequence

    @rule(key=KEYS)
    def remove_member(self, key):
        self.included.pop(f"r{key}", None)

    @rule(pause=st.sampled_from([1, 1, 1, 2, 4]))
    def publish(self, pause):
        self.now += pause * TURN_S
        self.number += pause
        report = self.current_sum()
        message = self.publisher.next_message(self.now, report)
        if isinstance(message, SumReport) or message.work is not None:
            self.last_work_number = self.number
        self.published[self.number] = contents(report)
        self.work_published_in[self.number] = self.last_work_number
        self.in_flight.append(encode(message))

    @rule(data=st.data(), is_duplicated=st.booleans())
    def arrive(self, data, is_duplicated):
        if self.in_flight:
            index = data.draw(st.integers(0, len(self.in_flight) - 1))
            message = (
                self.in_flight[index] if is_duplicated else self.in_flight.pop(index)
            )
            self.receive(decode(message))

    @rule(data=st.data())
    def lose(self, data):
        if self.in_flight:
            del self.in_flight[data.draw(st.integers(0, len(self.in_flight) - 1))]

    def receive(self, message):
        outcome = self.table.put(self.now, message)
        if outcome is SumOutcome.MISSED:
            self.publisher.request_full_sum(self.now)
        return outcome

    @invariant()
    def holds_one_sum(self):
        received = self.table.fleet_sum(self.now)
        if received is None:
            return
        report = received.report
        loads, served, offered, included, hosts, version = self.published[report.number]
        held = contents(report)
        assert (held[0], *held[3:]) == (loads, included, hosts, version)
        # The work and the sequences that it includes come from one message, too.
        work_rows = (
            row
            for at, row in self.published.items()
            if self.work_published_in[at] == at
        )
        included = nonzero(report.work_included)
        assert held[1:3] in [row[1:3] for row in work_rows if row[3] == included]

    def teardown(self):
        """Without further loss the member converges to the sum of the relay."""
        self.in_flight.clear()
        for _ in range(int(2 * FULL_SUM_INTERVAL_S / TURN_S)):
            self.publish(1)
            self.receive(decode(self.in_flight.pop()))
        assert contents(self.table.fleet_sum(self.now).report) == contents(
            self.current_sum()
        )


TestSums = SumDelivery.TestCase
TestSums.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def relay_messages(turns):
    """Yield the messages of a relay when one load changes in each turn."""
    publisher = SumPublisher()
    for turn in range(1, turns + 1):
        loads = {f"e{n}": LoadShare(n + 1) for n in range(30)}
        loads[f"e{turn % 30}"] = LoadShare(90 + turn)
        totals = FleetTotals({("s", "a"): 1.0 * turn}, {}, loads, 60)
        head = {"host": "r1", "boot": 1, "zone": "z", "fleet_wide": True}
        report = SumReport(number=turn, totals=totals, included={"r9": turn}, **head)
        yield publisher.next_message(turn * TURN_S, report)


def test_deltas_hold_only_recent_changes():
    messages = list(relay_messages(40))
    full_sums = [message for message in messages if isinstance(message, SumReport)]
    assert len(full_sums) == 4
    for message in messages[DELTA_OVERLAP_MESSAGES + 1 :]:
        if isinstance(message, SumDelta):
            # Each turn changes one load and restores the previous one.
            assert len(message.loads.values) <= DELTA_OVERLAP_MESSAGES + 1
            assert len(encode(message)) < len(encode(full_sums[0])) / 2


def test_next_delta_makes_up_for_lost_ones():
    """A member without sums assumes that it is the only router."""
    table, messages = SumTable(), list(relay_messages(9))
    assert table.put(0.1, messages[0]) is SumOutcome.NEW
    assert (
        table.put(
            0.1 + DELTA_OVERLAP_MESSAGES * TURN_S, messages[DELTA_OVERLAP_MESSAGES]
        )
        is SumOutcome.NEW
    )
    lagging = SumTable()
    lagging.put(0.1, messages[0])
    assert lagging.put(0.9, messages[8]) is SumOutcome.MISSED


LOADS = st.dictionaries(st.sampled_from("abc"), st.builds(LoadShare, *[VALUES] * 3))


@given(st.lists(st.dictionaries(st.sampled_from(["r1", "r2", "r3"]), LOADS)))
def test_incremental_zone_loads_equal_a_full_sum(turns):
    """A router that leaves or changes leaves no remainder in the sum of the zone."""
    zone_loads = ZoneLoads()
    for reports in turns:
        received = [
            ReceivedReport(
                PeerReport(
                    host=host, boot=1, number=1, ip="", port=1, zone="z", loads=loads
                ),
                0.0,
            )
            for host, loads in reports.items()
        ]
        recomputed = sum_loads(reports.values())
        assert zone_loads.update(received) == {
            k: v for k, v in recomputed.items() if any(v)
        }
