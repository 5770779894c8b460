"""Requests that a placer rejects and another one places, without a network.

The load is one hot prompt: the engines of its home's placer are full while those of
other placers have free slots.
"""

from collections import Counter
from dataclasses import replace

import pytest
from second_placer_fleet import (
    LONG_TARGET_S,
    ONE_WAY_S,
    PATIENCE_S,
    RedirectFleet,
    fleet_with_free,
)
from test_placement import PROMPT

from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEvent,
    Verdict,
)
from greengageflow.core.second_placer import (
    MIN_FREE_SLOTS,
    SecondPlacer,
    choose_second_placer,
)
from greengageflow.daemon.placement import ANSWER_TIMEOUT_S
from greengageflow.errors import ErrorKind
from greengageflow.net.report_codec import decode, encode

EPSILON_S = 1e-6


@pytest.mark.parametrize("target_s", [0.3, LONG_TARGET_S])
def test_request_rejected_by_a_full_placer_is_served_by_another(target_s):
    """A hot prompt fills one placer's engines; its requests got 429 beside idle ones.

    With longer targets everything is decided as before.
    """
    fleet, host, second = fleet_with_free(target_s=target_s)
    name = host.ask()
    fleet.run(0.1)
    if target_s == LONG_TARGET_S:
        assert fleet.asked() == [fleet.first] and not fleet.outcomes
        first = fleet.hosts[fleet.first]
        assert host.refused[name].retry_after_s == first.retry_after_s
        return
    assert fleet.asked() == [fleet.first, second]
    assert host.sent_to[name] in fleet.engines[second] and not host.refused
    assert host.placement.placer_of(name) == second
    assert fleet.running_at(second) == 1 and fleet.outcomes == {"started": 1}
    host.end(name)
    fleet.run(0.1)
    assert fleet.running_at(second) == 0


def test_request_of_a_placers_own_caller_is_served_by_another():
    """A placer decides its own callers' requests itself; these got 429 likewise."""
    fleet = RedirectFleet()
    second = fleet.rest[0]
    fleet.fill_all_but(second)
    own = fleet.hosts[fleet.first]
    for _ in range(20):
        own.ask()
        fleet.run(0.05)
    assert own.sent_to and set(fleet.asked()) == {second}
    assert all(engine in fleet.engines[second] for engine in own.sent_to.values())
    assert len(own.sent_to) + len(own.refused) == 20


def test_second_rejection_reaches_the_caller_with_its_retry_after():
    """All placers with free slots filled up since their last report.

    With a third attempt, and so on, a request would pass all placers of a full fleet.
    """
    fleet = RedirectFleet()
    fleet.fill(fleet.first)
    fleet.report()
    for placer in fleet.rest:
        fleet.fill(placer)
    host = fleet.others[0]
    name = host.ask()
    fleet.run(0.05)
    first, second = fleet.asked()
    assert first == fleet.first and second in fleet.rest
    assert host.refused[name].kind is ErrorKind.QUEUE_FULL
    expected_s = fleet.hosts[second].retry_after_s
    assert host.refused[name].retry_after_s == expected_s
    assert expected_s != fleet.hosts[first].retry_after_s
    assert fleet.outcomes == {"refused": 1}


def test_rejection_returns_at_once_if_no_placer_reports_free_slots():
    """While all engines are full, redirects would only add messages and delay."""
    fleet = RedirectFleet()
    for placer in fleet.rest:
        fleet.fill(placer, free=MIN_FREE_SLOTS - 1)
    fleet.fill(fleet.first)
    fleet.report()
    names = [(host, host.ask()) for host in fleet.others]
    fleet.run(0.05)
    assert all(name in host.refused for host, name in names)
    assert set(fleet.asked()) == {fleet.first} and not fleet.outcomes


@pytest.mark.parametrize("answer", ["silent", "stopping", "crashed"])
def test_first_rejection_returns_if_the_second_placer_does_not_place(answer):
    """The host would decide itself, by old loads, and overload the first's engines."""
    fleet, host, second = fleet_with_free()
    match answer:
        case "silent":
            fleet.unreachable.add(second)
        case "stopping":
            fleet.hosts[second].placement.stop_placing()
        case "crashed":
            fleet.crashed.add(second)
    asked_at = fleet.now
    name = host.ask()
    fleet.run(1.0)
    assert fleet.asked()[:2] == [fleet.first, second] and not host.started
    first = fleet.hosts[fleet.first]
    assert host.refused[name].retry_after_s == first.retry_after_s
    took_s = host.refused_at[name] - asked_at - 2 * ONE_WAY_S
    limit_s = 2 * ONE_WAY_S if answer == "stopping" else ANSWER_TIMEOUT_S
    assert took_s <= limit_s + EPSILON_S
    if answer == "silent":
        assert took_s >= ANSWER_TIMEOUT_S - EPSILON_S
        assert "PLACER_SILENT" in host.log_events
    assert fleet.outcomes == {"unanswered": 1}


def test_timer_of_the_first_answer_does_not_end_the_wait_for_the_second():
    """The first placer needs 0.12 s; its timer counted against the second one."""
    fleet, host, second = fleet_with_free()
    slow = {fleet.first: 0.12, second: 0.1}
    fleet.delay_s = lambda message: (
        slow[message.host] if isinstance(message, PlacementAnswer) else ONE_WAY_S
    )
    name = host.ask()
    fleet.run(0.4)
    assert name in host.started and not host.log_events


def test_late_second_answer_starts_nothing_and_leaks_no_slot():
    """The answer comes after the first rejection was returned.

    A request with a final 429 would run, or its slot would stay reserved.
    """
    fleet, host, second = fleet_with_free()
    fleet.delay_s = lambda message: (
        0.3 if getattr(message, "verdict", None) is Verdict.START else ONE_WAY_S
    )
    name = host.ask()
    fleet.run(0.16)
    assert name in host.refused
    fleet.run(0.3)
    assert not host.started and fleet.running_at(second) == 0
    assert fleet.outcomes == {"unanswered": 1}


@pytest.mark.parametrize("verdict", [Verdict.START, Verdict.QUEUED, Verdict.REFUSE])
def test_late_first_answer_is_ignored(verdict):
    """A repeated or overtaken answer of the first placer arrives after the redirect.

    It would start the request at a second engine, or reject one that the second placer
    starts.
    """
    fleet, host, second = fleet_with_free()
    fleet.delay_s = lambda message: 0.05 if message.host == second else ONE_WAY_S
    name = host.ask()
    fleet.run(0.03)
    assert fleet.asked() == [fleet.first, second]
    engine = fleet.engines[fleet.first][0]
    answer = PlacementAnswer(
        host=fleet.first,
        boot=host.hello.boot,
        request=name,
        verdict=verdict,
        endpoint=engine.id if verdict is Verdict.START else "",
        kind=ErrorKind.QUEUE_FULL.value if verdict is Verdict.REFUSE else "",
    )
    host.placement.receive(decode(encode(answer)))
    assert not host.started and not host.refused
    fleet.run(0.1)
    assert host.sent_to[name] in fleet.engines[second]
    assert fleet.outcomes == {"started": 1}


@pytest.mark.parametrize("is_lost", [False, True])
@pytest.mark.parametrize("at_s", [2.5 * ONE_WAY_S, 3.5 * ONE_WAY_S])
def test_request_of_a_caller_that_leaves_in_between_leaks_no_slot(at_s, is_lost):
    """The second placer reserves a slot while the event of the end is under way.

    If the event is lost, the next snapshot frees the slot.
    """
    fleet, host, second = fleet_with_free()
    name = host.ask()
    fleet.run(at_s)
    assert fleet.asked() == [fleet.first, second]
    fleet.is_dropped = lambda message: is_lost and isinstance(message, PlacementEvent)
    host.end(name)
    fleet.run(1.6 if is_lost else 0.02)
    assert not host.started and not host.refused
    assert fleet.running_at(second) == 0 and fleet.outcomes == {"abandoned": 1}
    assert all(not fleet.hosts[p].placement.remote_count for p in fleet.placers)


@pytest.mark.parametrize("is_queued_first", [False, True])
def test_second_placer_gets_the_time_that_is_left(is_queued_first):
    """It would queue the request anew for the whole time, or think it fresh."""
    fleet, host, second = fleet_with_free()
    fleet.delay_s = lambda message: (
        0.1 if getattr(message, "host", "") == fleet.first else ONE_WAY_S
    )
    fleet.hosts[second].rejects_at_once = False
    if is_queued_first:
        fleet.fill(second)
    asked_at = fleet.now
    name = host.ask()
    fleet.run(0.2)
    (_, first_at, first), (_, second_at, other) = fleet.requests
    passed_s = second_at - first_at
    assert passed_s > 0.1 and first_at == asked_at
    assert other.waited_s == pytest.approx(first.waited_s + passed_s)
    assert other.slack_s == pytest.approx(first.slack_s - passed_s)
    assert other.timeout_s == pytest.approx(PATIENCE_S - passed_s)
    assert other.target_s == first.target_s
    assert (name in host.started) is not is_queued_first
    if is_queued_first:
        fleet.run(1.0)
        late_s = host.refused_at[name] - asked_at - PATIENCE_S
        assert -EPSILON_S <= late_s <= 0.3 and fleet.outcomes == {"refused": 1}


def test_rejection_that_comes_after_the_expiry_is_final():
    """The request could not be queued any more; a second placer would reject it."""
    fleet, host, _ = fleet_with_free()
    name = host.ask(patience_s=1.5 * ONE_WAY_S)
    fleet.run(0.05)
    assert name in host.refused and fleet.asked() == [fleet.first]


@pytest.mark.parametrize("kind", [ErrorKind.NO_ENDPOINT, ErrorKind.VERSION_UNAVAILABLE])
def test_other_rejections_are_final(kind):
    """Another placer knows no more endpoints than the first one."""
    fleet, host, _ = fleet_with_free()
    fleet.translate = lambda message: (
        replace(message, kind=kind.value)
        if isinstance(message, PlacementAnswer)
        else message
    )
    name = host.ask()
    fleet.run(0.05)
    assert host.refused[name].kind is kind and fleet.asked() == [fleet.first]


@pytest.mark.parametrize("why", ["zone", "version", "avoid", "backoff", "silent"])
def test_placers_that_can_not_serve_the_request_are_not_asked(why):
    """The second placer would reject it, or answer too late, and use up the attempt."""
    fleet, host, second = fleet_with_free()
    engines = fleet.engines[second]
    fields = {}
    match why:
        case "zone":
            fields = {"allowed_zones": frozenset({f"zone of {fleet.first}"})}
        case "version":
            fields = {"version": f"version of {fleet.first}"}
        case "avoid":
            fields = {"avoid": frozenset(engine.id for engine in engines)}
        case "backoff":
            for engine in engines:
                host.book.on_backoff(fleet.now, engine, 5.0)
        case "silent":
            fleet.unreachable.add(second)
            host.ask()
            fleet.run(ANSWER_TIMEOUT_S + 0.05)
            fleet.unreachable.clear()
            fleet.requests.clear()
    # Of several requests one would be redirected, whatever placers are drawn.
    names = [host.ask(**fields) for _ in range(5)]
    fleet.run(0.05)
    assert all(name in host.refused for name in names)
    assert set(fleet.asked()) == {fleet.first}


def test_second_placer_keeps_to_the_zones_of_the_request():
    fleet, host, second = fleet_with_free()
    zones = frozenset({f"zone of {fleet.first}", f"zone of {second}"})
    name = host.ask(allowed_zones=zones)
    fleet.run(0.05)
    assert host.sent_to[name].zone in zones and fleet.asked()[1:] == [second]


def test_hosts_with_the_same_loads_do_not_all_ask_the_same_placer():
    """Reports are up to 250 ms old.

    All hosts would choose the placer with the most free slots until the next one.
    """
    fleet = RedirectFleet()
    for number, placer in enumerate(fleet.rest):
        fleet.fill(placer, free=4 + 2 * number)
    fleet.fill(fleet.first)
    fleet.report()
    for host in fleet.others:
        host.ask()
    fleet.run(0.02)
    asked = Counter(p for p in fleet.asked() if p != fleet.first)
    assert sum(asked.values()) == len(fleet.others)
    # Of three candidates the first is in two draws of three, the second wins the third.
    assert sorted(asked) == sorted(fleet.rest[1:])
    assert min(asked.values()) >= len(fleet.others) / 6


def test_choice_of_two_prefers_free_slots_and_spreads():
    """A choice of one would ask full placers, the best of all always the same one."""
    free = {"a": 9, "b": 6, "c": 3, "d": 1}

    def chosen(key, *placers):
        second = choose_second_placer(str(key), placers, free.get)
        return second.host if second else ""

    counts = Counter(chosen(key, *free) for key in range(3000))
    expected = {"a": 1 / 2, "b": 1 / 3, "c": 1 / 6}
    assert counts.keys() == expected.keys()
    for host, fraction in expected.items():
        assert counts[host] == pytest.approx(3000 * fraction, rel=0.15)
    assert choose_second_placer("1", ["a"], free.get) == SecondPlacer("a", 9)
    assert choose_second_placer("1", ["d", "a"], free.get) == SecondPlacer("a", 9, 1)
    assert not chosen("1", "d") and not chosen("1")


def test_redirected_request_counts_once_in_demand_and_budget():
    """Counted at both placers, a redirected account's demand would seem twice as large.

    Its share of a contended service, and its part of the retry budget, would grow.
    """
    fleet, host, second = fleet_with_free()
    before = fleet.demand()
    name = host.ask()
    fleet.run(3 * ONE_WAY_S + EPSILON_S)
    assert fleet.requests[-1][2].redirected
    assert before == 0 and fleet.running_at(second) == 1
    assert fleet.demand() == pytest.approx(PROMPT.work, rel=0.01)
    usage = [h.book.budget_usage(fleet.now, "model") for h in fleet.hosts.values()]
    assert sum(use.requests for use in usage) == 1 and not any(u.retries for u in usage)
    fleet.run(0.05)
    assert name in host.started
