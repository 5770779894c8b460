"""What the product's own interface tells callers of requests that may have run."""

from time import monotonic
from unittest.mock import Mock

import pytest

from greengageflow.daemon.dispatch import MAX_ATTEMPTS, Dispatcher
from greengageflow.daemon.request_context import Phase, RequestContext
from greengageflow.errors import ErrorKind, Ran
from greengageflow.net.callers import ChatCall
from greengageflow.net.engine_client import Cut, EngineCall, Refused


def outcome(end, *, was_sent_before=False, is_late=False, streaming=False):
    """Return the error that the caller of a request's last attempt gets."""
    quarantine = Mock()
    quarantine.remaining_s.return_value = 0.0
    parts = {"tracing": Mock(), "metrics": Mock(), "status": Mock()}
    dispatcher = Dispatcher(
        Mock(), Mock(), **parts, quarantine=quarantine, on_leaving=Mock()
    )
    dispatcher.crashes = Mock()
    call = Mock(spec=ChatCall, body={}, reply=Mock(streaming=streaming))
    deadline = monotonic() + (-1.0 if is_late else 10.0)
    account, pool = Mock(), Mock()
    account.name, pool.name = "acme", "scribe"
    ctx = RequestContext("r", call, account, pool, 1.0, deadline)
    ctx.phase, ctx.attempts, ctx.endpoint = Phase.RUNNING, MAX_ATTEMPTS, Mock()
    ctx.run = Mock(was_sent_before=was_sent_before, first_piece_s=None)
    ctx.run.__class__ = EngineCall
    ctx.run.leaving, ctx.run.seconds = False, 0.1
    dispatcher._active.add(ctx)
    if is_late:
        dispatcher.on_tick()
    else:
        dispatcher.on_run_end(ctx, end)
    return call.reply.error.call_args.args[0]


@pytest.mark.parametrize("status", [400, 429, 503])
@pytest.mark.parametrize("was_sent_before", [False, True])
def test_rejection_promises_nothing_if_the_request_was_sent_before(
    status, was_sent_before
):
    """The pool had sent it on a kept connection that ended without an answer. The
    rejection of the retry was reported as that of the request."""
    exc = outcome(Refused(status, "busy"), was_sent_before=was_sent_before)
    assert exc.ran is (Ran.UNKNOWN if was_sent_before else Ran.NO)
    assert not (was_sent_before and exc.claims_not_run)


def test_deadline_of_a_request_that_may_have_run_is_not_answered_503():
    """503 invites the caller to send it again."""
    exc = outcome(None, is_late=True)
    assert (exc.kind, exc.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_deadline_of_a_started_stream_keeps_its_kind():
    """Its status has been sent; the kind goes into the error event."""
    exc = outcome(None, is_late=True, streaming=True)
    assert exc.kind is ErrorKind.DEADLINE and exc.ran is not Ran.NO


def test_rejection_after_a_cut_attempt_promises_nothing():
    exc = outcome(Cut("cut"))
    assert exc.ran is Ran.UNKNOWN and not exc.claims_not_run
