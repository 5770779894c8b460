import io
import json
import sys
from string import Formatter

import pytest

from greengageflow.net.decision_events import DecisionEvent as Event
from greengageflow.ops import ctl
from greengageflow.ops.decision_messages import MESSAGE_TEMPLATES


class RouterLog:
    """Writes the decision lines of one router at given times."""

    def __init__(self, name, boot="b1", step=0):
        self.name, self.boot, self.step, self.lines = name, boot, step, 0

    def __call__(self, at, event, **fields):
        self.lines += 1
        seconds = at + self.step
        head = {
            "time": f"2026-12-03T08:{seconds // 60:02.0f}:{seconds % 60:06.3f}Z",
            "up": at,
            "line": self.lines,
            "host": self.name,
            "boot": self.boot,
            "event": event.number,
            "name": event.name,
        }
        return json.dumps(head | fields)


@pytest.fixture
def explain(monkeypatch, capsys):
    def call(rows, *args):
        text = "".join(f"{row}\n" for row in rows)
        monkeypatch.setattr(sys, "stdin", io.StringIO(text))
        monkeypatch.setattr(sys, "argv", ["greengage-ctl", "explain", *args])
        with pytest.raises(SystemExit) as exit_:
            ctl.main()
        return exit_.value.code, capsys.readouterr().out.splitlines()

    return call


def test_every_event_has_a_message_template_of_its_own_fields():
    for event in Event:
        used = {
            name
            for _, name, _, _ in Formatter().parse(MESSAGE_TEMPLATES[event])
            if name
        }
        assert used <= set(event.fields), event


def test_failed_request_is_shown_with_its_retry_and_cause(explain):
    """An endpoint dies during a stream on r1; the caller gets 502 and retries with a
    new id at r2, which succeeds. The lines of both hosts are interleaved, with
    prefixes, foreign text and a partial line, and r1's wall clock jumps in between.
    """
    r1, r2 = RouterLog("r1"), RouterLog("r2")
    store_lost = r1(2, Event.STORE_LOST, why="timeout")
    older = r1(3, Event.ENDPOINT_SUSPECT, endpoint="e9", why="reset")
    sent = r1(100, Event.SENT, request="007", digest="d1", endpoint="e1", config=17)
    suspect = r1(101, Event.ENDPOINT_SUSPECT, endpoint="e1", why="reset")
    r1.step = -50
    cut = r1(101.5, Event.CUT, request="007", endpoint="e1", pieces=3, why="reset")
    r1.step = 0
    retry = r2(102.5, Event.SENT, request="a8", digest="d1", endpoint="e2", config=17)
    done = r2(103, Event.FINISHED, request="a8", endpoint="e2", status=200)
    other = r2(103, Event.SENT, request="b1", digest="d2", endpoint="e1")
    much_later = r2(150, Event.SENT, request="c1", digest="d1", endpoint="e2")
    rows = [
        f"r2 | {done}",
        f"2026-12-03 warning: {{odd}} {suspect} and more",
        retry[:60] + cut,
        f"r2 | {retry}",
        *(store_lost, older, sent, other, much_later, "{" * 50, '{"event": "GG701"}'),
    ]
    code, lines = explain(rows, "007", "-")
    assert code == 0
    assert "007 was probably retried as a8 1.000 s later" in lines[1]
    numbers = ["GG731", "GG701", "GG714", "GG708", "GG701", "GG705"]
    assert [line.split("GG")[1][:3] for line in lines[2:]] == [n[2:] for n in numbers]
    assert "cut by e1 after 3 pieces: reset, ran: ?" in lines[5]
    assert lines[5].startswith("   +1.500   r1 GG708 007 ")
    code, lines = explain(rows, "a8", "-", "--json")
    timeline = json.loads("".join(lines))
    assert [attempt["request"] for attempt in timeline["attempts"]] == ["007", "a8"]


def test_attempt_on_a_killed_router_is_linked_without_an_end(explain):
    """r1 is killed with the request in flight and logs no final event. The caller
    retries at r2. The timeline shows both attempts, the first without an end.
    """
    r1, r2 = RouterLog("r1"), RouterLog("r2")
    rows = [
        r1(100, Event.SENT, request="007", digest="d1", endpoint="e1"),
        r2(101, Event.REFUSED, request="a8", digest="d1", why="deadline"),
        RouterLog("r1", boot="b2")(104, Event.STARTED, version="0.1"),
    ]
    code, lines = explain(rows, "007", "-")
    assert (code, len(lines)) == (0, 5)
    assert "refused, deadline" in lines[3]
    assert "* r1 GG741 router started" in lines[4]


def test_finished_request_is_not_linked_to_an_identical_one(explain):
    r1 = RouterLog("r1")
    rows = [
        r1(100, Event.SENT, request="007", digest="d1"),
        r1(101, Event.FINISHED, request="007", status=200),
        r1(102, Event.SENT, request="a8", digest="d1"),
    ]
    assert len(explain(rows, "007", "-")[1]) == 3


def test_unknown_request_is_reported_with_dropped_line_count(explain):
    rows = [
        RouterLog("r1")(1, Event.LINES_DROPPED, sampled=40, budget=2, buffer=0, sink=0)
    ]
    code, lines = explain(rows, "007", "-")
    assert code == 1
    assert "1 decision lines read, 42 dropped" in lines[0]
