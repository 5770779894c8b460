"""What an endpoint's report proves about the process that sends it."""

import json
from dataclasses import replace
from types import SimpleNamespace

import pytest

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.core.routes import RetryPolicy
from greengageflow.daemon.forward_context import Phase
from greengageflow.daemon.forward_sending import start_check
from greengageflow.net.http_messages import Head, Response
from greengageflow.platform.names import KV_LIST, REPLICA_ID, REPORT_PATH, REQUEST_ID
from greengageflow.platform.reports import StartVerifications

LISTED = ListedEndpoint("e", "m", "127.0.0.1", 9, "z", born=5)
UNDATED = replace(LISTED, born=0, version="v1")


def verification(endpoint=LISTED, on_other_start=lambda _endpoint: None):
    options = {"now": 0.0, "is_engine": False, "required": True, "timeout_s": 1.0}
    return StartVerifications().verification(endpoint, on_other_start, **options)


@pytest.mark.parametrize(
    ("status", "headers", "body", "evidence"),
    [
        (200, (), {"born": 5}, IncarnationEvidence.SAME),
        (200, ((REPLICA_ID, "e"),), {"born": 5}, IncarnationEvidence.SAME),
        (200, (), {"born": 6}, IncarnationEvidence.LATER),
        (200, (), {"born": 4}, IncarnationEvidence.EARLIER),
        (200, ((REPLICA_ID, "f"),), {"born": 5}, IncarnationEvidence.OTHER),
        (421, (), {}, IncarnationEvidence.OTHER),
        (200, (), {}, IncarnationEvidence.UNSTATED),
        (200, (), {"born": True}, IncarnationEvidence.UNSTATED),
        (200, (), {"born": "5"}, IncarnationEvidence.UNSTATED),
        (200, (), [5], IncarnationEvidence.UNSTATED),
        (200, (), {"born": 2**60}, IncarnationEvidence.UNSTATED),
        (503, (), {}, IncarnationEvidence.UNSTATED),
        (500, (), {"born": 6}, IncarnationEvidence.UNSTATED),
    ],
)
def test_report_proves_a_start_only_by_its_start_time(status, headers, body, evidence):
    response = Response(status, headers, json.dumps(body).encode())
    others = []
    assert verification(on_other_start=others.append).evaluate(response) is evidence
    is_other = evidence in (IncarnationEvidence.LATER, IncarnationEvidence.EARLIER)
    assert [(other.born, other.version) for other in others] == (
        [(body["born"], "")] if is_other else []
    )


@pytest.mark.parametrize("body", [b"", b"\xff", b"[" * 100_000, b'{"born": 5'])
def test_unreadable_report_proves_nothing(body):
    found = verification().evaluate(Response(200, (), body))
    assert found is IncarnationEvidence.UNSTATED


def test_late_answer_to_another_request_is_not_taken_for_the_report():
    accepts = verification().request.accepts
    assert accepts(Head(200, ()))
    assert not accepts(Head(200, ((REQUEST_ID, "earlier"),)))


@pytest.mark.parametrize("policy", RetryPolicy)
@pytest.mark.parametrize("states_starts", [False, True])
def test_nothing_is_verified_where_no_start_time_is_stated(policy, states_starts):
    """Each start has an id of its own there, which requests name."""
    ctx = SimpleNamespace(
        route=SimpleNamespace(retry_policy=policy),
        choice=SimpleNamespace(endpoint=UNDATED),
        phase=Phase.SENT,
        resumes_stream=False,
    )
    found = start_check(
        ctx,
        StartVerifications(),
        lambda _endpoint: None,
        now=0.0,
        states_starts=states_starts,
        is_engine=True,
    )
    assert (found is not None) is (states_starts and policy is RetryPolicy.RESUME)


@pytest.mark.parametrize(
    ("headers", "body", "evidence"),
    [
        ((), {}, IncarnationEvidence.UNSTATED),
        (((REPLICA_ID, "e"),), {}, IncarnationEvidence.SAME),
        (((REPLICA_ID, "f"),), {}, IncarnationEvidence.OTHER),
        (((REPLICA_ID, "e"),), {"born": 6}, IncarnationEvidence.LATER),
        ((), {"born": 0}, IncarnationEvidence.UNSTATED),
    ],
)
def test_a_stated_start_is_not_the_one_of_an_entry_without_a_start_time(
    headers, body, evidence
):
    """Such an entry was taken for one of the start that answers."""
    others = []
    check = verification(UNDATED, others.append)
    response = Response(200, headers, json.dumps(body).encode())
    assert check.evaluate(response) is evidence
    assert [other.born for other in others] == (
        [6] if evidence is IncarnationEvidence.LATER else []
    )


class Engine:
    """An engine that states its start in some of its answers."""

    def __init__(self):
        self.checks = StartVerifications()

    def check(self, endpoint=LISTED, now=0.0):
        options = {"now": now, "is_engine": True, "required": True, "timeout_s": 1.0}
        return self.checks.verification(endpoint, lambda _other: None, **options)

    def verify(self, stated, failing=(), status=429, endpoint=LISTED, now=0.0):
        """Return the paths that are asked in turn, and the last evidence."""
        check = self.check(endpoint, now)
        paths = []
        while check is not None:
            paths.append(check.request.path)
            body = {"born": 5} if check.request.path in stated else {}
            code = status if check.request.path in failing else 200
            evidence = check.evaluate(Response(code, (), json.dumps(body).encode()))
            is_unstated = evidence is IncarnationEvidence.UNSTATED
            check = check.fallback if is_unstated else None
        return paths, evidence


def test_start_that_the_report_lacks_is_asked_for_with_the_cached_parts():
    """Streams of engines whose reports lack it were lost with their engine."""
    engine = Engine()
    asked = [engine.verify({KV_LIST}) for _ in range(2)]
    assert asked[0] == ([REPORT_PATH, KV_LIST], IncarnationEvidence.SAME)
    assert asked[1] == ([KV_LIST], IncarnationEvidence.SAME)


def test_cached_parts_are_not_asked_for_again_where_nothing_states_the_start():
    """Each check costs, and lists of cached parts delay an engine."""
    engine = Engine()
    asked = [engine.verify(set()) for _ in range(3)]
    assert [paths for paths, _ in asked] == [
        [REPORT_PATH, KV_LIST],
        [REPORT_PATH],
        [REPORT_PATH],
    ]
    assert {evidence for _, evidence in asked} == {IncarnationEvidence.UNSTATED}


def test_report_that_states_the_start_is_all_that_is_asked_for():
    assert Engine().verify({REPORT_PATH, KV_LIST})[0] == [REPORT_PATH]


def test_one_rejected_call_does_not_leave_all_later_starts_unproven():
    """After one 429 the engines of the service were never asked for a start again."""
    engine = Engine()
    engine.verify({KV_LIST})
    engine.verify({KV_LIST}, failing={KV_LIST})
    assert engine.verify({KV_LIST})[1] is IncarnationEvidence.SAME


def test_one_rejected_report_does_not_replace_reports_by_lists_of_cached_parts():
    """Lists of cached parts delay an engine."""
    engine = Engine()
    engine.verify({REPORT_PATH, KV_LIST}, failing={REPORT_PATH})
    assert engine.verify({REPORT_PATH, KV_LIST})[0] == [REPORT_PATH]


def test_engines_that_do_not_list_their_cached_parts_are_asked_for_them_once():
    """They would be asked on each connection, and never for a report again."""
    engine = Engine()
    asked = [engine.verify(set(), failing={KV_LIST}, status=404) for _ in range(2)]
    assert [paths for paths, _ in asked] == [[REPORT_PATH, KV_LIST], [REPORT_PATH]]


def test_one_engine_that_states_no_start_does_not_decide_for_the_others():
    """After its answer the starts of all engines of the service stayed unproven."""
    engine = Engine()
    engine.verify(set(), endpoint=replace(LISTED, id="older"))
    assert engine.verify({KV_LIST})[1] is IncarnationEvidence.SAME


def test_one_late_list_of_cached_parts_does_not_leave_a_start_unproven_for_good():
    """Each new connection waits for such a list, so it is not asked for at once."""
    engine = Engine()
    engine.check().fallback.on_failure()
    assert engine.verify({KV_LIST}, now=1.0)[0] == [REPORT_PATH]
    assert engine.verify({KV_LIST}, now=60.0)[1] is IncarnationEvidence.SAME
