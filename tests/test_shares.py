from collections import Counter
from random import Random

import pytest
from core_net import INTERVAL_S, Net, config
from hypothesis import given
from hypothesis import strategies as st

from greengageflow.core.collector import Collector
from greengageflow.core.limits import RetryBudget, SlotLimit
from greengageflow.core.messages import AccountService, FleetTotals, PeerId, ShareReport
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.core.shares import SHARDS, ServiceLedger, shard_of

HOSTS = {"r0": "za", "r1": "za", "r2": "zb", "r3": "zb"}


def view_of(host, live, roster=frozenset()):
    members = {name: LiveMember(1, HOSTS.get(name, "za")) for name in live}
    return FleetView(PeerId(host, 1), members, frozenset(roster))


def fleet():
    net = Net(HOSTS, config({"a": 1.0, "b": 2.0}, ["e1", "e2"]))
    run_for(net)
    return net


def run_for(net, seconds=8.0):
    for _ in range(int(seconds / 0.25)):
        net.step(0.25)


def serve(net, host, account, tokens):
    net.nodes[host].ledger.start_meter(account, tokens).settle(tokens)


def served(net, account):
    return {n.ledger.totals[account].served for n in net.nodes.values()}


@given(st.sets(st.sampled_from([f"r{i}" for i in range(9)])), st.integers(1, 20))
def test_slot_quotas_of_two_sides_add_up_to_all_slots(one_side, slots):
    """Each side of a partition considers itself the owner of every endpoint.

    Each uses only the slots assigned to its live hosts. Together that is exactly all
    slots, for any division of the hosts.
    """
    hosts = {f"r{i}" for i in range(9)}
    sides = [side for side in (one_side, hosts - one_side) if side]
    used = [view_of(min(s), s, hosts).slot_quota("e", slots) for s in sides]
    assert sum(used) == slots


def test_a_lost_host_moves_only_its_own_endpoints():
    hosts = {f"r{i}" for i in range(9)}
    before = view_of("r0", hosts)
    names = [f"e{i}" for i in range(200)]
    owners = {name: before.owner_of(name) for name in names}
    live = {host: before.live[host] for host in hosts - {"r4"}}
    after = before.updated(live, frozenset(live))
    moved = {name for name in names if after.owner_of(name) != owners[name]}
    assert moved == {name for name in names if owners[name] == "r4"}
    assert max(Counter(owners.values()).values()) < 2 * 200 / 9


def test_totals_reach_every_router_once():
    net = fleet()
    for host in HOSTS:
        serve(net, host, "a", 100)
    run_for(net)
    assert served(net, "a") == {400}


@given(st.randoms(use_true_random=False))
def test_late_and_duplicate_reports_change_nothing(random: Random):
    """Reports arrive out of order and duplicated.

    The collector must end with the sum of the newest values, as if each report had
    arrived once and in order. Counting a duplicate would charge an account twice.
    """
    own = PeerId("r0", 1)
    ledger = ServiceLedger(own)
    collector = Collector(own, ledger)
    collector.on_view(0.0, view_of("r0", ["r0"], ["r0", "r1"]))
    first = ShareReport(1, (), full=(1 << SHARDS) - 1)
    reports = [
        ShareReport(seq, (AccountService("a", 100 * seq, 5, seq),))
        for seq in range(2, 6)
    ]
    collector.receive(0.0, PeerId("r1", 1), first)
    for report in random.sample(reports * 3, 12):
        collector.receive(0.0, PeerId("r1", 1), report)
    sends = [s for t in (2.0, 2.5) for s in collector.report(t)]
    rows = [s.message.services[0] for s in sends if isinstance(s.message, FleetTotals)]
    assert rows[-1] == AccountService("a", 500, 5, 5)


@pytest.mark.parametrize("lost", [["za"], ["zb"], ["za", "zb"]])
def test_totals_survive_collector_restarts(lost):
    """Collectors restart without state, in one zone or in both at once.

    If the totals were lost, the accounts of their shards would be far below all
    others and get every slot. Standby collectors and the other zone's collectors
    send the totals.
    """
    net = fleet()
    for host in HOSTS:
        serve(net, host, "a", 1000)
        serve(net, host, "b", 3000)
    run_for(net)
    view = net.nodes["r0"].view
    for zone in lost:
        net.restart(view.collector_of(zone, shard_of("a")))
    run_for(net, 3.0)
    serve(net, "r3", "a", 10)
    run_for(net)
    assert (served(net, "a"), served(net, "b")) == ({4010}, {12000})


def test_requests_at_a_dead_router_are_removed_from_totals():
    """A router dies with requests waiting and in flight.

    Its served tokens stay charged. Its pending tokens and waiting requests must be
    removed, or the account would count as backlogged forever.
    """
    net = fleet()
    net.nodes["r1"].ledger.start_meter("a", 500).charge(200)
    net.nodes["r1"].ledger.set_waiting("a", 3)
    run_for(net)
    assert net.nodes["r3"].ledger.totals["a"] == AccountService("a", 200, 300, 3)
    net.crash("r1")
    net.refresh_views()
    run_for(net)
    assert net.nodes["r3"].ledger.totals["a"] == AccountService("a", 200, 0, 0)


def test_an_idle_account_earns_no_credit():
    """One account is served for a long time while another one is idle.

    When the idle account becomes backlogged, it starts at the level of the first.
    With credit for its idle time, it would get every slot for as long as it was idle.
    """
    net = fleet()
    net.nodes["r0"].ledger.set_waiting("b", 1)
    serve(net, "r0", "b", 60_000)
    run_for(net)
    net.nodes["r2"].ledger.set_waiting("a", 1)
    assert net.nodes["r1"].ledger.level("a") == 30_000
    run_for(net)
    for node in net.nodes.values():
        assert node.ledger.level("a") == node.ledger.level("b") == 30_000
        assert node.ledger.totals["a"].waiting == 1


def test_debt_is_forgiven_down_to_a_bound():
    """A partition heals, and one account had far more service on one side.

    It would starve until the others have caught up. Its debt is limited to ten
    seconds of its share, or to the minimum debt if that is larger.
    """
    net = fleet()
    for host in ("r0", "r2"):
        for account in ("a", "b"):
            net.nodes[host].ledger.set_waiting(account, 1)
    run_for(net)
    serve(net, "r2", "a", 1_000_000)
    run_for(net, 2.0)
    assert net.nodes["r0"].ledger.level("a") > 900_000
    run_for(net, 12.0)
    assert net.nodes["r0"].ledger.level("a") == 10_000


def test_reports_hold_changed_accounts_only():
    net = fleet()
    run_for(net, 20 * INTERVAL_S)
    before = net.sent["FleetTotals"]
    serve(net, "r0", "a", 10)
    run_for(net, 3 * INTERVAL_S)
    assert 1 <= net.sent["FleetTotals"] - before <= 2 * len(HOSTS)


def test_slots_shrink_when_the_endpoint_slows_down_and_grow_again():
    limit = SlotLimit(8)
    for i in range(20):
        limit.observe(i, 100, 1.0, False)
    assert limit.allowed(20) == 8
    for i in range(20, 60):
        limit.observe(i, 100, 8.0, False)
    assert 1 <= limit.allowed(60) < 4
    for i in range(60, 200):
        limit.observe(i, 100, 1.0, False)
    assert limit.allowed(200) == 8


def test_consecutive_failures_start_a_rest_followed_by_a_probe():
    limit = SlotLimit(8, failures=3, rest_s=1.0)
    for _ in range(3):
        limit.observe(10.0, 0, 0, True)
    assert limit.allowed(10.5) == 0
    assert limit.allowed(11.0) == 1
    limit.observe(11.1, 0, 0, True)
    assert limit.allowed(12.5) == 0
    limit.observe(13.2, 50, 1.0, False)
    assert limit.allowed(13.2) >= 1


def test_retries_stay_a_share_of_first_attempts():
    budget = RetryBudget(0.1, burst=2.0, fill_s=1.0)
    retries = 0
    for i in range(1000):
        budget.on_attempt()
        retries += budget.take(i / 100)
    assert 100 <= retries <= 102


def test_repeated_restarts_grant_no_burst():
    retries = 0
    for start in range(20):
        budget = RetryBudget(0.1, burst=10.0, now=start, fill_s=10.0)
        retries += sum(budget.take(start + 0.999) for _ in range(10))
    assert retries <= 20
