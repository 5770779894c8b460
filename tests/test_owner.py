import pytest
from core_net import Net, config

from greengageflow.core.messages import Grant, GrantReturned, GrantTaken, PeerId
from greengageflow.errors import ErrorKind

HOSTS = {"r0": "za", "r1": "za", "r2": "zb"}


def fleet(accounts=("a", "b"), endpoints=("e1",), **fields):
    cfg = config(dict.fromkeys(accounts, 1.0), endpoints, **fields)
    net = Net(HOSTS, cfg)
    net.step(1.1)
    return net


def owner_and_other(net, endpoint="e1"):
    owner = net.nodes["r0"].view.owner_of(endpoint)
    return owner, min(set(net.nodes) - {owner})


def remove_messages(net, kind):
    """Remove and return the messages of one type that are in transit."""
    found = [item for item in net.messages if isinstance(item[2], kind)]
    net.messages = [item for item in net.messages if item not in found]
    return found


def run_for(net, seconds, *, run_s=None):
    for _ in range(round(seconds / 0.25)):
        net.step(0.25)
        for grant, (*_, since) in list(net.running.items()):
            if run_s is not None and net.now - since >= run_s:
                net.finish(grant)


def test_a_full_queue_refuses_with_the_measured_wait():
    net = fleet(queue_limit=4)
    for _ in range(40):
        net.submit("r0", "a")
        run_for(net, 0.25, run_s=1.0)
    for _ in range(5):
        last = net.submit("r0", "a")
    refusal = net.refused[last]
    assert refusal.kind == ErrorKind.QUEUE_FULL
    assert 0.2 < refusal.retry_after_s < 2.0


def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    net = fleet()
    for _ in range(60):
        net.submit("r0", "a", deadline_s=1000)
    run_for(net, 10, run_s=1.0)
    too_late = net.submit("r0", "a", deadline_s=2)
    assert net.refused[too_late].kind == ErrorKind.DEADLINE
    in_time = net.submit("r0", "a", deadline_s=1000)
    assert in_time in net.waiting


def test_a_low_arrival_rate_does_not_raise_the_expected_wait():
    net = fleet()
    for _ in range(10):
        net.submit("r0", "a")
        run_for(net, 30, run_s=0.25)
    ids = [net.submit("r0", "a", deadline_s=5) for _ in range(6)]
    assert not net.refused.keys() & set(ids)


def test_a_waiting_request_ends_at_its_deadline():
    net = fleet()
    ids = [net.submit("r0", "a", deadline_s=3) for _ in range(4)]
    run_for(net, 2.5)
    assert len(net.waiting) == 2
    run_for(net, 0.75)
    assert not net.waiting
    refused = [net.refused[id].kind for id in ids if id in net.refused]
    assert refused == [ErrorKind.DEADLINE] * 2


def test_a_missing_endpoint_refuses_new_and_waiting_requests():
    net = fleet()
    ids = [net.submit("r0", "a") for _ in range(5)]
    net.step(0.1)
    for node in net.nodes.values():
        node.on_config(config({"a": 1.0}, []))
    ids.append(net.submit("r0", "a"))
    refused = [net.refused[id].kind for id in ids if id in net.refused]
    assert refused == [ErrorKind.NO_ENDPOINT] * 4


def test_a_lost_grant_is_sent_again_and_runs_once():
    """A ``Grant`` is lost, so its owner gets no answer.

    The request may be running if only the answer was lost, so the owner must not
    grant the slot to another request. It retransmits the same grant.
    """
    net = fleet(slots=1)
    owner, other = owner_and_other(net)
    request = net.submit(other, "a")
    while not remove_messages(net, Grant):
        net.deliver()
    run_for(net, 1.0)
    assert request in net.waiting
    run_for(net, 1.5)
    assert [run[1] for run in net.running.values()] == [request]
    net.submit(owner, "b")
    run_for(net, 5.0)
    assert len(net.running) == 1


def test_a_lost_answer_to_a_grant_frees_no_slot():
    """The entry router starts the request, but its ``GrantTaken`` is lost.

    The owner retransmits the grant instead of granting the slot again. The entry
    router confirms the running request and starts no other.
    """
    net = fleet(slots=1)
    _, other = owner_and_other(net)
    net.submit(other, "a")
    net.submit(other, "a")
    while not remove_messages(net, GrantTaken):
        net.deliver()
    run_for(net, 6.0)
    assert len(net.running) == 1


def test_duplicate_returns_free_a_slot_once():
    """``GrantReturned`` is duplicated, and late copies of ``GrantTaken`` follow.

    If the duplicate freed a slot, two requests would run in one. If the late
    ``GrantTaken`` counted, the slot would be unused until the deadline.
    """
    net = fleet(slots=1)
    owner, other = owner_and_other(net)
    net.submit(other, "a")
    while not (taken := remove_messages(net, GrantTaken)):
        net.deliver()
    net.messages += taken
    net.drain()
    net.finish(next(iter(net.running)))
    returned = remove_messages(net, GrantReturned)
    net.messages += returned + taken
    net.drain()
    net.submit(other, "a")
    net.submit(other, "a")
    net.drain()
    assert len(net.running) == 1
    net.messages += returned + taken
    run_for(net, 0.5)
    assert len(net.running) == 1


def test_a_duplicate_grant_starts_one_request():
    """A duplicate of a grant arrives after its request has ended.

    It must not start a request: the owner has granted the slot again since.
    """
    net = fleet(slots=1)
    _, other = owner_and_other(net)
    net.submit(other, "a")
    while not (grants := remove_messages(net, Grant)):
        net.deliver()
    net.messages += grants
    net.drain()
    net.finish(next(iter(net.running)))
    net.submit(other, "a")
    net.submit(other, "a")
    run_for(net, 0.5)
    net.messages += grants
    run_for(net, 0.5)
    assert len(net.running) == 1


def test_a_late_grant_of_a_former_owner_starts_nothing():
    """A grant is in transit while another router becomes the endpoint's owner.

    The new owner does not know the grant and may have granted the slot again, so the
    entry router declines it.
    """
    net = fleet(slots=1)
    owner, other = owner_and_other(net)
    net.submit(other, "a", deadline_s=60)
    net.submit(other, "a", deadline_s=60)
    while not (grants := remove_messages(net, Grant)):
        net.deliver()
    live = {h: m for h, m in net.nodes[other].view.live.items() if h != owner}
    for host in live:
        net.nodes[host].on_view(live, frozenset(live))
    run_for(net, 2.0)
    net.messages += grants
    run_for(net, 1.0)
    assert [grant.split(":")[0] for grant in net.running] != [owner]
    assert len(net.running) == 1


def test_an_owner_learns_of_returns_missed_during_a_partition():
    """A request ends while its owner is unreachable, and ``GrantReturned`` is lost.

    The entry router sends it again when the owner is live. Otherwise the slot would
    stay unused until the deadline of the finished request.
    """
    net = fleet(slots=1, deadline_s=60.0)
    owner, other = owner_and_other(net)
    net.submit(other, "a", deadline_s=60)
    run_for(net, 0.5)
    net.sides[other] = 1
    net.refresh_views()
    net.finish(next(iter(net.running)))
    net.drain()
    net.sides[other] = 0
    net.refresh_views()
    request = net.submit(owner, "b", deadline_s=60)
    run_for(net, 3.0)
    assert request not in net.waiting


@pytest.mark.parametrize("how", ["listed", "dropped", "rebooted"])
def test_slots_of_a_dead_entry_router_are_freed_once_it_is_terminated(how):
    """An entry router dies while its request runs.

    While the host list contains it, it may only be unreachable and still run the
    request, so the slot stays in use until the deadline. The slot is free as soon as
    the list drops the host or the router has restarted.
    """
    net = fleet(slots=1, deadline_s=20.0)
    owner, other = owner_and_other(net)
    net.submit(other, "a")
    run_for(net, 0.5)
    net.crash(other)
    if how == "dropped":
        net.roster -= {other}
    net.refresh_views()
    if how == "rebooted":
        net.restart(other)
    net.submit(owner, "b", deadline_s=60.0)
    run_for(net, 5.0)
    assert len(net.running) == (how != "listed")
    net.roster |= {other}
    run_for(net, 20.0)
    assert len(net.running) + len(net.ended) >= 2


def test_a_new_owner_counts_running_requests_before_it_grants():
    """The owner of an endpoint restarts and has lost its grants.

    The entry routers register their running requests with it again. Granting slots
    before that would run two requests in one slot.
    """
    net = fleet(slots=2)
    owner, other = owner_and_other(net)
    for _ in range(6):
        net.submit(other, "a")
    net.drain()
    assert len(net.running) == 2
    net.restart(owner)
    run_for(net, 4.0)
    assert len(net.running) == 2
    net.finish(next(iter(net.running)))
    run_for(net, 0.5)
    assert len(net.running) == 2


def test_both_sides_of_a_partition_stay_within_the_slots_and_continue():
    """The fleet is partitioned while all slots are in use.

    Each side uses only its own slot quota, and no slots that may still be in use on
    the other side. After the longest deadline both sides use their full quota.
    """
    net = fleet(slots=6, deadline_s=20.0)
    owner, other = owner_and_other(net)

    def flood():
        for host in HOSTS:
            while len([1 for at in net.waiting.values() if at == host]) < 12:
                net.submit(host, "a", deadline_s=20.0)

    flood()
    run_for(net, 1.0)
    net.sides[other] = 1
    net.refresh_views()
    for _ in range(60):
        flood()
        run_for(net, 0.5, run_s=3.0)
        assert net.load()["e1"] <= 6
    running = [run[0].peer.host for run in net.running.values()]
    assert running.count(other) == 2
    assert len(running) == 6


def test_a_leaving_endpoint_gets_no_requests_until_replaced():
    """An endpoint is marked as leaving before the configuration says so.

    It gets no new requests, even when a configuration with the same generation is
    applied again. Its next generation does.
    """
    net = fleet()
    for node in net.nodes.values():
        node.owner.mark_leaving("e1", 1)
        node.on_config(net.cfg)
    request = net.submit("r0", "a")
    run_for(net, 5.0)
    assert request in net.waiting
    for node in net.nodes.values():
        node.owner.mark_leaving("e1", 0)
        cfg = config({"a": 1.0}, ["e1"])
        object.__setattr__(cfg.endpoints["e1"], "generation", 2)
        node.on_config(cfg)
    run_for(net, 0.5)
    assert request not in net.waiting


def test_a_work_call_brings_demand_to_an_idle_owner():
    """A request waits, but its demand is not registered with the idle owner.

    The owner's ``WorkCall`` reaches two random routers, and one of them registers its
    demand. Without the call, the slot would stay unused while the request waits.
    """
    net = fleet(endpoints=("e1", "e2", "e3"), slots=1)
    owner, other = owner_and_other(net)
    net.submit(owner, "b")
    run_for(net, 0.5, run_s=0.25)
    net.nodes[other].entry._registrar.expand = lambda now, queue: iter(())
    request = net.submit(other, "a")
    calls = net.sent["WorkCall"]
    assert request in net.waiting
    run_for(net, 3.0)
    assert net.sent["WorkCall"] > calls
    assert request not in net.waiting


def test_a_grant_for_an_earlier_boot_starts_nothing():
    net = fleet()
    owner, other = owner_and_other(net)
    net.submit(other, "a")
    node = net.nodes[other]
    peer = PeerId(owner, net.boots[owner])
    effects = list(
        node.entry.receive(net.now, peer, Grant("x", "a", "m", "e1", boot=99))
    )
    assert effects == []


def test_a_flood_of_one_account_barely_delays_another():
    """One account floods every router; another sends an occasional request.

    The small account has the least service, so it gets the next free slot. It waits
    for one request to end, not for the other account's queue.
    """
    net = fleet(endpoints=("e1", "e2"), queue_limit=1000)
    for host in HOSTS:
        for _ in range(200):
            net.submit(host, "a", deadline_s=1000)
    run_for(net, 5.0, run_s=0.5)
    for _ in range(10):
        request = net.submit("r2", "b", deadline_s=1000)
        run_for(net, 1.5, run_s=0.5)
        assert request not in net.waiting
