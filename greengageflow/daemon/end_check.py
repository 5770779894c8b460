"""Checks an endpoint whose answer ended with its connection.

Such an end does not show that the answer is complete: the connections of a process that
ends are closed in the same way. A process that answers afterwards, and no longer lists
the run, has ended its answer by itself.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, auto
from http import HTTPStatus

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net.http_messages import Failure, FailureKind, Response
from greengageflow.net.http_pool import Exchange, HttpPool
from greengageflow.net.timers import Subscription, Timers
from greengageflow.platform.reports import (
    incarnation_evidence,
    lists_run,
    other_start,
    report_request,
)

CONNECT_TIMEOUT_S = 0.4
"""Connect time-out of a check, in seconds."""
ANSWER_TIMEOUT_S = 1.0
"""Time without progress after which a check fails, in seconds."""
CHECK_TIMEOUT_S = 1.5
"""Time after which a check ends without an answer, in seconds."""
REPORT_LAG_S = 0.7
"""Time after which a report no longer lists a run that has ended, in seconds."""


class EndFinding(Enum):
    """What a check of an endpoint shows about an answer that has ended."""

    GONE = auto()
    """Its process has ended, or another start of it answers."""
    CUT = auto()
    """It ended the check's connection, since it has ended or has too many."""
    UNKNOWN = auto()
    """It did not answer in time, or rejected the check."""
    LISTED = auto()
    """It lists the run, which had not ended at the time of its report."""
    UNLISTED = auto()
    """It is alive and does not list the run."""


def is_alive(
    answer: Response | Failure, endpoint: ListedEndpoint, *, states_start: bool = False
) -> bool:
    """Return whether the answer to a check comes from the listed start of an endpoint.

    Any status counts, as the endpoint may not know the path.

    Args:
        answer: The answer.
        endpoint: The endpoint.
        states_start: Whether this start has stated its start time before, so that an
            answer without it proves nothing.
    """
    if isinstance(answer, Failure):
        return False
    evidence = incarnation_evidence(answer, endpoint)
    match evidence:
        case IncarnationEvidence.UNSTATED:
            return not states_start
        case IncarnationEvidence.LATER:
            # An entry without a start time may be of the start that answers.
            return not endpoint.born
    return evidence is IncarnationEvidence.SAME


class EndCheck:
    """Asks an endpoint once for its report.

    Args:
        endpoint: Endpoint whose answer ended.
        request: Id of the request that it answered.
        on_done: Called once with the finding, unless the check is cancelled.
        on_other_start: Called with another start of the endpoint that answers.
        states_start: See ``is_alive``.
        pool: Sends the request for the report.
        timers: Timer service.
    """

    def __init__(
        self,
        endpoint: ListedEndpoint,
        request: str,
        on_done: Callable[[EndFinding], None],
        on_other_start: Callable[[ListedEndpoint], None],
        *,
        states_start: bool,
        pool: HttpPool,
        timers: Timers,
    ) -> None:
        self._endpoint = endpoint
        self._on_other_start = on_other_start
        self._request = request
        self._states_start = states_start
        self._on_done: Callable[[EndFinding], None] | None = on_done
        self._pool = pool
        self._timers = timers
        self._timeout_s = CHECK_TIMEOUT_S
        self._timer: Subscription | None = None
        self._exchange: Exchange | None = None

    def start(self, delay_s: float = 0.0, timeout_s: float = CHECK_TIMEOUT_S) -> None:
        """Ask for the report.

        Args:
            delay_s: Time until then, in seconds.
            timeout_s: Time that the endpoint has for its answer, in seconds.
        """
        self._timeout_s = timeout_s
        if delay_s > 0:
            self._timer = self._timers.after(delay_s, self._send)
        else:
            self._send()

    def _send(self) -> None:
        # A kept connection may carry an answer that was sent before the process ended.
        request = replace(
            report_request(self._endpoint),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=ANSWER_TIMEOUT_S,
            retry_stale=False,
            until_close=True,
        )
        self._timer = self._timers.after(self._timeout_s, self._on_timeout)
        self._exchange = self._pool.fetch(request, self._on_answer)

    def cancel(self) -> None:
        """End the check without a finding."""
        if self._exchange is not None:
            self._exchange.cancel()
        self._release()

    def _on_timeout(self) -> None:
        on_done = self._on_done
        self.cancel()
        on_done(EndFinding.UNKNOWN)

    def _on_answer(self, answer: Response | Failure) -> None:
        on_done = self._on_done
        self._release()
        if isinstance(answer, Response):
            other = other_start(answer, self._endpoint)
            if other is not None:
                self._on_other_start(other)
        on_done(self._finding(answer))

    def _finding(self, answer: Response | Failure) -> EndFinding:
        if isinstance(answer, Failure):
            return self._finding_of_failure(answer)
        if not is_alive(answer, self._endpoint, states_start=self._states_start):
            evidence = incarnation_evidence(answer, self._endpoint)
            is_rejection = answer.status != HTTPStatus.OK
            if evidence is IncarnationEvidence.UNSTATED and is_rejection:
                return EndFinding.UNKNOWN
            return EndFinding.GONE
        if lists_run(answer, self._request):
            return EndFinding.LISTED
        return EndFinding.UNLISTED

    @staticmethod
    def _finding_of_failure(failure: Failure) -> EndFinding:
        match failure:
            case Failure(timed_out=True):
                return EndFinding.UNKNOWN
            case Failure(kind=FailureKind.CONNECT):
                return EndFinding.GONE
            case Failure(kind=FailureKind.CUT):
                return EndFinding.CUT
        return EndFinding.UNKNOWN

    def _release(self) -> None:
        # The exchange and its receiver refer to each other. Without this, the request
        # would stay in memory with them until a garbage collection.
        self._exchange = self._on_done = None
        if self._timer is not None:
            self._timer.cancel()
