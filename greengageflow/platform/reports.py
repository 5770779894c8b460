"""Load reports of the platform's endpoints, and which start of them answers."""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net.http_messages import HttpRequest, Response, Verification
from greengageflow.platform.answers import MISDIRECTED
from greengageflow.platform.names import (
    EXPECT_REPLICA,
    REPLICA_ID,
    REPORT_PATH,
    REQUEST_ID,
)

MAX_BORN_MS = 2**53
"""Latest start time that is believed, in Unix milliseconds."""


def report_request(endpoint: ListedEndpoint) -> HttpRequest:
    """Return the request for an endpoint's report; it needs no slot there."""
    headers = ((EXPECT_REPLICA, endpoint.id),)
    return HttpRequest(
        "GET",
        endpoint.ip,
        endpoint.port,
        REPORT_PATH,
        headers,
        # A late answer to an earlier request on the connection has that request's id.
        accepts=lambda head: not head.header(REQUEST_ID),
    )


def start_verification(
    endpoint: ListedEndpoint,
    *,
    required: bool,
    timeout_s: float,
    on_other_start: Callable[[ListedEndpoint], None],
) -> Verification:
    """Return what verifies that a connection leads to the listed start of an endpoint.

    An entry without a start time names no start, so nothing proves it.

    Args:
        endpoint: The endpoint.
        required: True if an endpoint that does not state its start gets no request.
        timeout_s: Maximum time without progress, in seconds.
        on_other_start: Called with another start of the endpoint that answers.
    """

    def evaluate(response: Response) -> IncarnationEvidence:
        other = other_start(response, endpoint)
        if other is not None:
            on_other_start(other)
        return incarnation_evidence(response, endpoint)

    request = replace(report_request(endpoint), idle_timeout_s=timeout_s)
    return Verification(request, evaluate, endpoint.start, required)


def incarnation_evidence(
    response: Response, endpoint: ListedEndpoint
) -> IncarnationEvidence:
    """Return whether a report comes from the listed start of an endpoint."""
    name = response.header(REPLICA_ID)
    if response.status == MISDIRECTED or name not in ("", endpoint.id):
        return IncarnationEvidence.OTHER
    born = _born(response)
    if born is None:
        # Without any start time, each start has an id of its own.
        is_named = name and not endpoint.born
        return IncarnationEvidence.SAME if is_named else IncarnationEvidence.UNSTATED
    if born < endpoint.born:
        return IncarnationEvidence.EARLIER
    is_same = born == endpoint.born
    return IncarnationEvidence.SAME if is_same else IncarnationEvidence.LATER


def other_start(response: Response, endpoint: ListedEndpoint) -> ListedEndpoint | None:
    """Return the other start of an endpoint that a response comes from, or None.

    The version of that start is unknown, and it may be cold.
    """
    others = (IncarnationEvidence.LATER, IncarnationEvidence.EARLIER)
    if incarnation_evidence(response, endpoint) not in others:
        return None
    return replace(endpoint, born=_born(response), version="", leaving=False)


def lists_run(response: Response, request: str) -> bool:
    """Return whether a report lists the run of a request.

    The report's values are some hundred milliseconds old. One without a valid list says
    nothing.
    """
    try:
        match response.json():
            case {"runs": list(runs)}:
                return any(_run_request(run) == request for run in runs)
    except (ValueError, RecursionError):
        pass
    return False


def _run_request(run: object) -> str:
    """Return the request id of an entry: id, tokens in memory, events, priority."""
    match run:
        case [str(request), *_]:
            return request
    return ""


def _born(response: Response) -> int | None:
    """Return the start time that a report states, in Unix milliseconds, or None."""
    if response.status != HTTPStatus.OK:
        return None
    try:
        match response.json():
            case {"born": int(born)} if type(born) is int and 0 < born <= MAX_BORN_MS:
                return born
    except (ValueError, RecursionError):
        pass
    return None
