"""Admission control of an overloaded host, in simulated time."""

from random import Random
from types import SimpleNamespace

import pytest
from engine_stubs import stream_route

from greengageflow.core.arrival_gate import ArrivalGate, ShedLimits, shed_limits
from greengageflow.core.loop_load import LoopLoad
from greengageflow.core.routes import Routing
from greengageflow.daemon.load_shedder import LoadShedder

READ_S, REJECT_S, ABANDONED_S = 0.0035, 0.0007, 0.0003
"""Seconds on half a core to read a request, reject it, or find it abandoned."""

CALLER_TIMEOUT_S = 1.0
DURATION_S = 6
OTHERS = [f"{number}" for number in range(10)]


class OpenGate:
    """Admits every request."""

    def admits(self, *_args, **_fields):
        return True


def make_requests(hot_per_s):
    """Return (time, account) of the requests of a hot account and of ten others."""
    random = Random(3)
    rows = [
        (random.uniform(0, DURATION_S), "hot") for _ in range(hot_per_s * DURATION_S)
    ]
    rows += [
        (random.uniform(0, DURATION_S), account)
        for account in OTHERS
        for _ in range(18)
    ]
    return sorted(rows)


def simulate(gate, rows):
    """Return by account the waits of read requests, and counts of rejected and left."""
    load, now = LoopLoad(), 0.0
    waits, rejected, left = {}, {}, {}
    rows = list(rows)
    while rows:
        load.end(now)
        now = max(now, rows[0][0])
        load.begin(now)
        ready = [row for row in rows if row[0] <= now]
        rows = rows[len(ready) :]
        for at, account in ready:
            if now - at > CALLER_TIMEOUT_S:
                left[account] = left.get(account, 0) + 1
                now += ABANDONED_S
                continue
            timing = {
                "present_s": load.present_s(now),
                "average_s": load.average_s(now),
            }
            if gate.admits(now, account, **timing):
                waits.setdefault(account, []).append(now - at)
                now += READ_S
            else:
                rejected[account] = rejected.get(account, 0) + 1
                now += REJECT_S
    return waits, rejected, left


def test_hot_account_does_not_starve_others():
    """One account sends a host twice as much as it can read.

    Without admission control the waits of all accounts grow until callers leave before
    they are read. The host must read the requests of the other accounts in time and
    use the rest of its capacity for the hot one. It rejects the remainder at once, so
    that no caller leaves unread.
    """
    rows = make_requests(500)
    waits, _, left = simulate(OpenGate(), rows)
    assert sum(left.values()) > 500
    assert any(account in left for account in OTHERS)
    waits, rejected, left = simulate(ArrivalGate(), rows)
    assert not left
    read = sum(map(len, waits.values()))
    assert read > 0.8 * DURATION_S / READ_S
    others = [wait for account in OTHERS for wait in waits[account]]
    assert len(others) >= 0.97 * 18 * len(OTHERS)
    assert sorted(others)[int(0.95 * len(others))] < 0.25
    assert set(rejected) <= {"hot", *OTHERS}


@pytest.mark.parametrize("hot_per_s", [50, 150, 200])
def test_host_with_enough_capacity_rejects_nobody(hot_per_s):
    _, rejected, left = simulate(ArrivalGate(), make_requests(hot_per_s))
    assert not rejected and not left


def test_a_short_burst_is_read_in_full():
    """Seventy callers reconnect at the same moment after an outage of all hosts."""
    rows = [(1.0, f"{number % 12}") for number in range(70)]
    waits, rejected, _ = simulate(ArrivalGate(), rows)
    assert not rejected
    assert sum(map(len, waits.values())) == 70


def test_long_round_rejects_no_later_requests():
    """A host freezes for seconds in the middle of a round.

    The rounds after it are short again, so no further request may be rejected, even
    though the average is still high.
    """
    load, gate = LoopLoad(), ArrivalGate()
    load.end(10.0)
    load.begin(10.0)
    load.end(14.0)
    load.begin(14.0)
    timing = {"present_s": load.present_s(14.02), "average_s": load.average_s(14.02)}
    assert timing["average_s"] > 1
    assert all(gate.admits(14.02, "hot", **timing) for _ in range(50))


def test_account_without_recent_requests_is_admitted():
    """A host is overloaded from the start, or after an idle second.

    With nothing read lately, the fair share is 0, and all requests were rejected.
    """
    gate, timing = ArrivalGate(), {"present_s": 0.05, "average_s": 0.2}
    assert [gate.admits(1.0, "one", **timing) for _ in range(3)] == [True, False, False]
    assert gate.admits(1.0, "other", **timing)
    assert gate.admits(9.0, "one", **timing)


def test_unknown_keys_share_one_account():
    """A caller floods the host, each request with a different unknown key.

    With an account for each key, all of these would be read, and requests with valid
    keys would be rejected in their place.
    """
    counts = {}
    load = SimpleNamespace(present_s=lambda _now: 0.05, average_s=lambda _now: 0.2)
    timers = SimpleNamespace(now=0.0, after=lambda *_args: None)
    accounts_by_key = {"held": "account"}
    shedder = LoadShedder(
        load,
        timers,
        SimpleNamespace(write=lambda *_args, **_fields: None),
        SimpleNamespace(count=lambda *_args: None),
        lambda data: accounts_by_key.get(data.decode(), ""),
    )
    for number in range(15_000):
        timers.now += 0.002
        for key in (f"made-up-{number}", *["held"] * (number % 750 == 0)):
            read = not shedder.should_shed(key.encode())
            sent = counts.setdefault(key == "held", [0, 0])
            sent[0] += 1
            sent[1] += read
    assert counts[True] == [20, 20]
    assert counts[False][1] < 0.2 * counts[False][0]


def test_limits_are_unchanged_where_all_streams_have_long_targets():
    """Plain calls are short, and a host that is nearly overloaded still serves them."""
    routes = [stream_route(0.6), stream_route(1.5), stream_route(0.1, stream=False)]
    assert shed_limits(Routing(1, routes=tuple(routes))) == ShedLimits()
    assert shed_limits(Routing()) == ShedLimits()


def test_callers_with_a_short_target_can_be_in_time_at_another_host():
    """Callers with a target of 0.3 s were told to come back after 0.5 s."""
    limits = shed_limits(Routing(1, routes=(stream_route(0.8), stream_route(0.3))))
    assert limits.retry_after_s + 5 * limits.overload_s < 0.6 * 0.3
    assert limits.read_all_s < limits.overload_s


def test_a_host_with_short_targets_serves_those_that_it_reads_in_time():
    """One account sends a host twice as much as it can read, with a target of 0.3 s.

    Requests take about five rounds until their answers begin. With the limits for long
    targets the rounds were so long that the host served nearly all of them late.
    """
    rows = make_requests(500)
    waits, _, _ = simulate(ArrivalGate(), rows)
    median = sorted(sum(waits.values(), []))[sum(map(len, waits.values())) // 2]
    assert 5 * median > 0.3
    gate = ArrivalGate()
    gate.limits = shed_limits(Routing(1, routes=(stream_route(0.3),)))
    waits, _, left = simulate(gate, rows)
    assert not left
    read = sorted(sum(waits.values(), []))
    assert 5 * read[int(0.9 * len(read))] < 0.3
    assert len(read) > 0.7 * DURATION_S / READ_S
    others = [wait for account in OTHERS for wait in waits[account]]
    assert len(others) >= 0.97 * 18 * len(OTHERS)


def test_shedder_follows_the_configuration():
    load = SimpleNamespace(present_s=lambda _now: 0.02, average_s=lambda _now: 0.05)
    timers = SimpleNamespace(now=0.0, after=lambda *_args: None)
    log = SimpleNamespace(write=lambda *_args, **_fields: None)
    page = SimpleNamespace(count=lambda *_args: None)
    shedder = LoadShedder(load, timers, log, page, lambda _data: "one")
    assert not shedder.may_shed and shedder.retry_after_s == 0.5
    shedder.on_routing(Routing(2, routes=(stream_route(0.3),)))
    assert shedder.may_shed and shedder.retry_after_s < 0.05
    assert [shedder.should_shed(b"x") for _ in range(2)] == [False, True]
