"""Admission control of an overloaded host, in simulated time."""

from random import Random
from types import SimpleNamespace

import pytest

from greengageflow.core.arrival_gate import ArrivalGate
from greengageflow.core.loop_load import LoopLoad
from greengageflow.daemon.arrivals import Arrivals

READ_S, TURN_AWAY_S, LEFT_S = 0.0035, 0.0007, 0.0003
"""Seconds on half a core to read a request, reject it, or find it abandoned."""

PATIENCE_S = 1.0
SECONDS = 6
OTHERS = [f"{number}" for number in range(10)]


class Open:
    """Admits every request."""

    def admits(self, *_args, **_fields):
        return True


def arrivals(hot_a_second):
    """Return (time, account) of the requests of a hot account and of ten others."""
    random = Random(3)
    rows = [(random.uniform(0, SECONDS), "hot") for _ in range(hot_a_second * SECONDS)]
    rows += [(random.uniform(0, SECONDS), one) for one in OTHERS for _ in range(18)]
    return sorted(rows)


def play(gate, rows):
    """Return by account the waits of read requests, and counts of rejected and left."""
    load, now = LoopLoad(), 0.0
    waits, turned, left = {}, {}, {}
    rows = list(rows)
    while rows:
        load.end(now)
        now = max(now, rows[0][0])
        load.begin(now)
        ready = [row for row in rows if row[0] <= now]
        rows = rows[len(ready) :]
        for at, account in ready:
            if now - at > PATIENCE_S:
                left[account] = left.get(account, 0) + 1
                now += LEFT_S
                continue
            late = {"present_s": load.present_s(now), "average_s": load.average_s(now)}
            if gate.admits(now, account, **late):
                waits.setdefault(account, []).append(now - at)
                now += READ_S
            else:
                turned[account] = turned.get(account, 0) + 1
                now += TURN_AWAY_S
    return waits, turned, left


def test_one_account_beyond_a_host_keeps_no_other_from_it():
    """One account sends a host twice as much as it can read.

    Without admission control the waits of all accounts grow until callers leave before
    they are read. The host must read the requests of the other accounts in time and
    use the rest of its capacity for the hot one. It rejects the remainder at once, so
    that no caller leaves unread.
    """
    rows = arrivals(500)
    waits, _, left = play(Open(), rows)
    assert sum(left.values()) > 500
    assert any(account in left for account in OTHERS)
    waits, turned, left = play(ArrivalGate(), rows)
    assert not left
    read = sum(map(len, waits.values()))
    assert read > 0.8 * SECONDS / READ_S
    others = [wait for account in OTHERS for wait in waits[account]]
    assert len(others) >= 0.97 * 18 * len(OTHERS)
    assert sorted(others)[int(0.95 * len(others))] < 0.25
    assert set(turned) <= {"hot", *OTHERS}


@pytest.mark.parametrize("hot_a_second", [50, 150, 200])
def test_a_host_that_can_read_all_turns_nobody_away(hot_a_second):
    _, turned, left = play(ArrivalGate(), arrivals(hot_a_second))
    assert not turned and not left


def test_a_short_burst_is_read_in_full():
    """Seventy callers reconnect at the same moment after an outage of all hosts."""
    rows = [(1.0, f"{number % 12}") for number in range(70)]
    waits, turned, _ = play(ArrivalGate(), rows)
    assert not turned
    assert sum(map(len, waits.values())) == 70


def test_one_long_round_turns_away_no_more_than_it_delayed():
    """A host freezes for seconds in the middle of a round.

    The rounds after it are short again, so no further request may be rejected, even
    though the average is still high.
    """
    load, gate = LoopLoad(), ArrivalGate()
    load.end(10.0)
    load.begin(10.0)
    load.end(14.0)
    load.begin(14.0)
    late = {"present_s": load.present_s(14.02), "average_s": load.average_s(14.02)}
    assert late["average_s"] > 1
    assert all(gate.admits(14.02, "hot", **late) for _ in range(50))


def test_an_account_that_was_not_read_lately_is_read():
    """A host is overloaded from the start, or after an idle second.

    With nothing read lately, the fair share is 0, and all requests were rejected.
    """
    gate, late = ArrivalGate(), {"present_s": 0.05, "average_s": 0.2}
    assert [gate.admits(1.0, "one", **late) for _ in range(3)] == [True, False, False]
    assert gate.admits(1.0, "other", **late)
    assert gate.admits(9.0, "one", **late)


def test_keys_that_nobody_holds_are_one_account():
    """A caller floods the host, each request with a different unknown key.

    With an account for each key, all of these would be read, and requests with valid
    keys would be rejected in their place.
    """
    counts = {}
    load = SimpleNamespace(present_s=lambda _now: 0.05, average_s=lambda _now: 0.2)
    timers = SimpleNamespace(now=0.0, after=lambda *_args: None)
    held = {"held": "account"}
    arrivals = Arrivals(
        load,
        timers,
        SimpleNamespace(write=lambda *_args, **_fields: None),
        SimpleNamespace(count=lambda *_args: None),
        lambda data: held.get(data.decode(), ""),
    )
    for number in range(15_000):
        timers.now += 0.002
        for key in (f"made-up-{number}", *["held"] * (number % 750 == 0)):
            read = not arrivals.turns_away(key.encode())
            sent = counts.setdefault(key == "held", [0, 0])
            sent[0] += 1
            sent[1] += read
    assert counts[True] == [20, 20]
    assert counts[False][1] < 0.2 * counts[False][0]
