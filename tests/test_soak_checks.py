"""Each soak check must detect a violation of its guarantee."""

import json
from hashlib import sha256

import pytest

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_lab import KEY
from greengageflow.lab.soak_checks import check_all
from greengageflow.lab.soak_facts import (
    Asked,
    End,
    Facts,
    Kind,
    Leaving,
    Poisoned,
    Published,
    Refused,
    Trouble,
)
from greengageflow.lab.soak_plan import (
    LATER,
    LATER_FROM,
    NEWEST,
    NEWEST_FROM,
    SHED_FROM,
    Do,
    draw_plan,
)
from tests.soak_seeds import FAILED_SEEDS


def asked(kind=Kind.SAFE, **changes):
    """Return a valid request at second 100 with a complete answer."""
    body_sha256 = sha256(b"q1").hexdigest()
    body = {"id": "q1", "target": "/t", "body_sha256": body_sha256, "replica": "app-0"}
    one = Asked("q1", kind, "r0", KEY, "/t", 6.0, body_sha256, opened=100.0, sent=100.0)
    one.first, one.port = True, 7
    one.ended, one.end, one.status, one.seal = 100.5, End.WHOLE, 200, "app-0.1"
    one.body, one.answer_id = json.dumps(body).encode(), "q1"
    if kind in (Kind.CHAT, Kind.TALE):
        one.wanted, one.events = 2, [(n, '{"run": "q1"}') for n in (1, 2)]
    for name, value in changes.items():
        setattr(one, name, value)
    return one


def row(one, **changes):
    seen = {"id": one.id, "target": one.target, "body_sha256": one.body_sha256}
    times = {"arrived": one.sent, "begun": one.sent, "ended": one.ended}
    rest = {"replica": "app-0", "tenant": "tenant-1", "headers": {}, "outcome": "done"}
    return {**seen, **times, **rest, "backoff_s": 0.0, **changes}


def facts(*asked_all, rows=None, **more):
    given = [row(one) for one in asked_all] if rows is None else rows
    return Facts(asked=list(asked_all), rows=given, **more)


def probe(version, status, at, id="q1", router="r0"):
    more = {"key": None, "version": version, "status": status, "seal": "", "id": id}
    body = b"" if status != 200 else asked().body.replace(b"q1", id.encode())
    more |= {"body": body, "answer_id": id, "seal": "app-0.1", "router": router}
    return asked(Kind.PROBE, opened=at, sent=at, ended=at + 0.1, **more)


def published(version, at, revoked=""):
    return Published(version, at, at + 0.01, revoked)


GOOD = asked()
TWICE = [row(asked(Kind.UNSAFE)), row(asked(Kind.UNSAFE), replica="app-1")]
TORN = {"end": End.TORN, "status": 0, "seal": "", "answer_id": ""}
BROKEN = {
    "foreign answer": ("answer", facts(asked(answer_id="q2"))),
    "foreign body": ("answer", facts(asked(body=GOOD.body.replace(b"q1", b"q2")))),
    "no seal": ("answer", facts(asked(seal=""))),
    "no HTTP": ("answer", facts(asked(**{**TORN, "end": End.JUNK}))),
    "gap": ("stream", facts(asked(Kind.CHAT, events=[(2, '{"run": "q1"}')]))),
    "short": ("stream", facts(asked(Kind.CHAT, wanted=3))),
    "twice": ("once", facts(asked(Kind.UNSAFE), rows=TWICE)),
    "refused": ("refused", facts(asked(status=503, seal=""))),
    "unasked": ("unasked", facts(rows=[row(GOOD)])),
    "key passed on": ("unasked", facts(GOOD, rows=[row(GOOD, headers={"x": KEY})])),
    "valid key": ("denied", facts(asked(status=401, seal=""), rows=[])),
    "revoked": (
        "revoked",
        facts(
            asked(key="spare-0"),
            published=[published(1, 94.9, "spare-0")],
            troubles=[Trouble("store:r0", 94.0)],
        ),
    ),
    "leaving": ("leaving", facts(GOOD, leavings=[Leaving("app-0", 97.9)])),
    "reverted": (
        "reverted",
        facts(
            probe(2, 200, 100.0),
            probe(1, 200, 101.0, "q3"),
            rows=[],
            published=[published(1, 1.0), published(2, 2.0)],
        ),
    ),
    "late configuration": (
        "in force",
        facts(probe(1, 404, 100.0), rows=[], published=[published(1, 97.0)]),
    ),
    "cut": ("cut", facts(asked(**TORN))),
    "cut by a stop": (
        "cut",
        facts(asked(**TORN), troubles=[Trouble("r0", 99.0, 104.0, True)]),
    ),
    "cut unread after a SIGTERM, while its router has to listen": (
        "cut",
        facts(asked(**TORN), rows=[], troubles=[Trouble("r0", 99.0, 104.0, True)]),
    ),
    "not taken by a router that has to listen": (
        "cut",
        facts(
            asked(**{**TORN, "ended": 100.01}),
            rows=[],
            troubles=[Trouble("r0", 99.0, 104.0, True)],
            refused=[Refused("r0", 7, 100.01)],
        ),
    ),
    "taken after the router had ceased to listen, and cut": (
        "cut",
        facts(asked(**TORN), rows=[], troubles=[Trouble("r0", 96.0, 104.0, True)]),
    ),
    "reset before it could be sent": (
        "cut",
        facts(asked(**{**TORN, "end": End.UNSENT, "ended": 100.01}), rows=[]),
    ),
    "silent": ("cut", facts(asked(**{**TORN, "end": End.SILENT}), rows=[])),
    "runs on": ("left", facts(GOOD_LEFT := asked(Kind.CHAT, end=End.LEFT))),
}
SAID_LEAVING = asked(
    id="q0",
    answer_id="q0",
    body=GOOD.body.replace(b"q1", b"q0"),
    leaving=True,
    sent=97.0,
    ended=97.9,
)
BACKOFF = [row(GOOD, arrived=90.0 + n / 5, ended=90.0 + n / 5) for n in range(9)]
BACKOFF[0]["backoff_s"] = 2.0
REPEATS = [row(GOOD, arrived=91.0 + n / 4) for n in range(14)]
BROKEN |= {
    "poison": (
        "poison",
        facts(poisoned=[Poisoned("p", [1.0, 2.0, 3.0, 6.1, 7.0, 8.0, 9.0])]),
    ),
    "said leaving": (
        "said leaving",
        facts(GOOD, SAID_LEAVING),
    ),
    "backoff": ("backoff", facts(GOOD, rows=BACKOFF)),
    "budget": ("budget", facts(GOOD, rows=REPEATS)),
}
BROKEN["runs on"][1].rows[0] |= {"ended": 106.0, "outcome": "done"}
BROKEN["never ends"] = ("left", facts(GOOD_LEFT, rows=[row(GOOD_LEFT, ended=None)]))


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_promise_is_seen(name):
    promise, seen = BROKEN[name]
    assert {one.promise for one in check_all(seen)} == {promise}


@pytest.mark.parametrize(
    "name",
    [
        "cut",
        "silent",
        "leaving",
        "revoked",
        "late configuration",
        "runs on",
        "said leaving",
        "backoff",
    ],
)
def test_a_machine_that_was_late_excuses_what_it_delayed(name):
    """A scheduling delay of 20 seconds excuses late events, but not missing answers."""
    _, seen = BROKEN[name]
    late = Facts(**{name: getattr(seen, name) for name in seen.__slots__})
    late.late = [(100.0, 20.0)]
    missing = name in ("cut", "silent")
    assert bool(list(check_all(late))) is missing


@pytest.mark.parametrize(("began", "refused"), [(97.4, []), (96.0, [100.1])])
def test_what_no_router_took_after_a_planned_stop_is_not_cut(began, refused):
    """A connection may be reset just as its router stops listening, or be accepted by
    the fault proxy when no router listens any more; neither is a breach."""
    refused = [Refused("r0", 7, at) for at in refused]
    stop = [Trouble("r0", began, 104.0, True)]
    one = asked(**TORN)
    assert not list(check_all(facts(one, rows=[], troubles=stop, refused=refused)))


@pytest.mark.parametrize("crashed", [[1.0, 2.0, 3.0, 5.9, 5.9, 5.9, 5.9], [1.0, 9.0]])
def test_crashes_right_after_the_third_one_break_nothing(crashed):
    assert not list(check_all(facts(poisoned=[Poisoned("p", crashed)])))


def test_good_facts_break_nothing():
    kinds = [asked(kind) for kind in (Kind.SAFE, Kind.UNSAFE, Kind.CHAT, Kind.TALE)]
    assert [list(check_all(facts(one))) for one in kinds] == [[], [], [], []]


def test_a_plan_hangs_on_its_seed_alone():
    assert draw_plan(7, 60.0) == draw_plan(7, 60.0) != draw_plan(8, 60.0)
    assert len(draw_plan(7, 60.0)) > 10


def test_later_kinds_leave_the_plans_of_earlier_seeds_alone():
    later = {do for _, dos, _ in LATER for do in dos}
    before, after = (
        {step.do for seed in seeds for step in draw_plan(seed, 60.0)}
        for seeds in (range(LATER_FROM - 20, LATER_FROM), range(500, 520))
    )
    assert not before & later and later < after


def test_newest_kinds_leave_the_plans_of_earlier_seeds_alone():
    newest = {do for _, dos, _ in NEWEST for do in dos}
    before, after = (
        {step.do for seed in seeds for step in draw_plan(seed, 60.0)}
        for seeds in (range(NEWEST_FROM - 20, NEWEST_FROM), range(3000, 3020))
    )
    assert not before & newest and newest < after


def test_repeats_spread_over_two_windows_break_nothing():
    spread = [row(GOOD, arrived=81.0 + n) for n in range(20)]
    assert not list(check_all(facts(GOOD, rows=spread)))


def test_replicas_that_shed_leave_the_plans_of_earlier_seeds_alone():
    before, after = (
        {step.do for seed in seeds for step in draw_plan(seed, 60.0)}
        for seeds in (range(SHED_FROM - 20, SHED_FROM), range(4000, 4020))
    )
    assert Do.SHED not in before and Do.SHED in after


def test_tests_of_failed_seeds_exist():
    tests = "".join(path.read_text() for path in (ROOT / "tests").glob("test_*.py"))
    assert all(f"def {one.test}" in tests for one in FAILED_SEEDS if one.test)
