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


def some(values):
    return {key: value for key, value in values.items() if value}


def shown(report):
    """Return the contents of a sum; removed keys, which hold zeros, are left out."""
    totals = report.totals
    loads = {name: load for name, load in totals.loads.items() if load != LoadShare()}
    work = some(totals.served), some(totals.offered)
    return loads, *work, some(report.included), totals.hosts, report.version


class Sums(RuleBasedStateMachine):
    """A relay sends its sums; a member applies what arrives, in any order.

    The member must hold exactly the sum of the last message that it applied. With a
    mixture of two, it would subtract another part of its own than the sum includes,
    and so count itself or miss others.
    """

    def __init__(self):
        super().__init__()
        self.now, self.number = 0.0, 0
        self.loads, self.work, self.included = {}, {}, {}
        self.publisher, self.book = SumPublisher(), SumTable()
        self.flying, self.told, self.work_told = [], {}, {}
        self.work_at = None

    def sum(self):
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
    def load(self, key, value):
        self.loads[f"e{key}"] = LoadShare(value, 10 * value, 0)

    @rule(key=KEYS)
    def endpoint_goes(self, key):
        self.loads.pop(f"e{key}", None)

    @rule(key=KEYS, value=VALUES)
    def work_of(self, key, value):
        self.work[key] = value

    @rule(key=KEYS, sequence=st.integers(1, 9))
    def member(self, key, sequence):
        self.included[f"r{key}"] = sequence

    @rule(key=KEYS)
    def member_goes(self, key):
        self.included.pop(f"r{key}", None)

    @rule(pause=st.sampled_from([1, 1, 1, 2, 4]))
    def tell(self, pause):
        self.now += pause * TURN_S
        self.number += pause
        report = self.sum()
        message = self.publisher.next_message(self.now, report)
        if isinstance(message, SumReport) or message.work is not None:
            self.work_at = self.number
        self.told[self.number] = shown(report)
        self.work_told[self.number] = self.work_at
        self.flying.append(encode(message))

    @rule(data=st.data(), stays=st.booleans())
    def arrive(self, data, stays):
        if self.flying:
            place = data.draw(st.integers(0, len(self.flying) - 1))
            message = self.flying[place] if stays else self.flying.pop(place)
            self.take(decode(message))

    @rule(data=st.data())
    def lose(self, data):
        if self.flying:
            del self.flying[data.draw(st.integers(0, len(self.flying) - 1))]

    def take(self, message):
        taken = self.book.put(self.now, message)
        if taken is SumOutcome.MISSED:
            self.publisher.request_full_sum(self.now)
        return taken

    @invariant()
    def holds_one_sum(self):
        found = self.book.fleet_sum(self.now)
        if found is None:
            return
        report = found[0]
        loads, served, offered, included, hosts, version = self.told[report.number]
        has = shown(report)
        assert (has[0], *has[3:]) == (loads, included, hosts, version)
        # The work and the sequences that it includes come from one message, too.
        works = (row for at, row in self.told.items() if self.work_told[at] == at)
        included = some(report.work_included)
        assert has[1:3] in [row[1:3] for row in works if row[3] == included]

    def teardown(self):
        """Without further loss the member converges to the sum of the relay."""
        self.flying.clear()
        for _ in range(int(2 * FULL_SUM_INTERVAL_S / TURN_S)):
            self.tell(1)
            self.take(decode(self.flying.pop()))
        assert shown(self.book.fleet_sum(self.now)[0]) == shown(self.sum())


TestSums = Sums.TestCase
TestSums.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def relay(turns):
    """Yield the messages of a relay when one load changes in each turn."""
    publisher = SumPublisher()
    for turn in range(1, turns + 1):
        loads = {f"e{n}": LoadShare(n + 1) for n in range(30)}
        loads[f"e{turn % 30}"] = LoadShare(90 + turn)
        totals = FleetTotals({("s", "a"): 1.0 * turn}, {}, loads, 60)
        head = {"host": "r1", "boot": 1, "zone": "z", "fleet_wide": True}
        report = SumReport(number=turn, totals=totals, included={"r9": turn}, **head)
        yield publisher.next_message(turn * TURN_S, report)


def test_few_datagrams_name_what_did_not_change():
    told = list(relay(40))
    whole = [message for message in told if isinstance(message, SumReport)]
    assert len(whole) == 4
    for message in told[DELTA_OVERLAP_MESSAGES + 1 :]:
        if isinstance(message, SumDelta):
            # Each turn changes one load and restores the previous one.
            assert len(message.loads.values) <= DELTA_OVERLAP_MESSAGES + 1
            assert len(encode(message)) < len(encode(whole[0])) / 2


def test_lost_datagrams_are_made_good_by_the_next_one_that_comes():
    """A member without sums assumes that it is the only router."""
    book, told = SumTable(), list(relay(9))
    assert book.put(0.1, told[0]) is SumOutcome.NEW
    assert (
        book.put(0.1 + DELTA_OVERLAP_MESSAGES * TURN_S, told[DELTA_OVERLAP_MESSAGES])
        is SumOutcome.NEW
    )
    late = SumTable()
    late.put(0.1, told[0])
    assert late.put(0.9, told[8]) is SumOutcome.MISSED


LOADS = st.dictionaries(st.sampled_from("abc"), st.builds(LoadShare, *[VALUES] * 3))


@given(st.lists(st.dictionaries(st.sampled_from(["r1", "r2", "r3"]), LOADS)))
def test_loads_kept_by_changes_are_those_added_up_anew(turns):
    """A router that leaves or changes leaves no remainder in the sum of the zone."""
    zone = ZoneLoads()
    for reports in turns:
        heard = [
            ReceivedReport(
                PeerReport(
                    host=host, boot=1, number=1, ip="", port=1, zone="z", loads=loads
                ),
                0.0,
            )
            for host, loads in reports.items()
        ]
        anew = sum_loads(reports.values())
        assert zone.update(heard) == {k: v for k, v in anew.items() if any(v)}
