"""Checks whether an endpoint is alive whose answer ended with its connection.

Such an end does not show that the answer is complete: the connections of a process that
ends are closed in the same way. A process that answers afterwards has ended its answer
by itself.
"""

from collections.abc import Callable
from dataclasses import replace

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import Exchange, HttpPool
from greengageflow.platform.reports import (
    incarnation_evidence,
    other_start,
    report_request,
)

CONNECT_TIMEOUT_S = 0.4
"""Connect time-out of a check, in seconds."""
ANSWER_TIMEOUT_S = 1.0
"""Time without progress after which a check fails, in seconds."""


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
    if evidence is IncarnationEvidence.UNSTATED:
        return not states_start
    return evidence is IncarnationEvidence.SAME


class EndCheck:
    """Asks an endpoint once whether it is alive.

    Args:
        endpoint: Endpoint whose answer ended.
        on_done: Called once with the outcome, unless the check is cancelled.
        on_other_start: Called with another start of the endpoint that answers.
        states_start: See ``is_alive``.
    """

    def __init__(
        self,
        endpoint: ListedEndpoint,
        on_done: Callable[[bool], None],
        on_other_start: Callable[[ListedEndpoint], None],
        *,
        states_start: bool,
    ) -> None:
        self._endpoint = endpoint
        self._on_other_start = on_other_start
        self._states_start = states_start
        self._on_done: Callable[[bool], None] | None = on_done
        self._exchange: Exchange | None = None

    def start(self, pool: HttpPool) -> None:
        """Send the question."""
        # A kept connection may carry an answer that was sent before the process ended.
        request = replace(
            report_request(self._endpoint),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=ANSWER_TIMEOUT_S,
            retry_stale=False,
            until_close=True,
        )
        self._exchange = pool.fetch(request, self._on_answer)

    def cancel(self) -> None:
        """End the check without an outcome."""
        if self._exchange is not None:
            self._exchange.cancel()
        self._release()

    def _on_answer(self, answer: Response | Failure) -> None:
        on_done = self._on_done
        self._release()
        if isinstance(answer, Response):
            other = other_start(answer, self._endpoint)
            if other is not None:
                self._on_other_start(other)
        alive = is_alive(answer, self._endpoint, states_start=self._states_start)
        on_done(alive)

    def _release(self) -> None:
        # The exchange and its receiver refer to each other. Without this, the request
        # would stay in memory with them until a garbage collection.
        self._exchange = self._on_done = None
