"""Load reports of the platform's endpoints, and which start of them answers."""

from dataclasses import replace
from functools import partial

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
    endpoint: ListedEndpoint, *, required: bool, timeout_s: float
) -> Verification | None:
    """Return what verifies that a connection leads to the listed start of an endpoint.

    It is None if the list states no start time: each start has an id of its own then,
    and the request itself names that id.

    Args:
        endpoint: The endpoint.
        required: True if an endpoint that does not state its start gets no request.
        timeout_s: Maximum time without progress, in seconds.
    """
    if not endpoint.born:
        return None
    request = replace(report_request(endpoint), idle_timeout_s=timeout_s)
    evaluate = partial(incarnation_evidence, endpoint=endpoint)
    return Verification(request, evaluate, endpoint.start, required)


def incarnation_evidence(
    response: Response, endpoint: ListedEndpoint
) -> IncarnationEvidence:
    """Return whether a report comes from the listed start of an endpoint."""
    name = response.header(REPLICA_ID)
    if response.status == MISDIRECTED or name not in ("", endpoint.id):
        return IncarnationEvidence.OTHER
    if not endpoint.born:
        # Each start has an id of its own then.
        return IncarnationEvidence.SAME if name else IncarnationEvidence.UNSTATED
    born = _born(response)
    if born is None:
        return IncarnationEvidence.UNSTATED
    is_same = born == endpoint.born
    return IncarnationEvidence.SAME if is_same else IncarnationEvidence.OTHER


def _born(response: Response) -> int | None:
    """Return the start time that a report states, in Unix milliseconds, or None."""
    try:
        match response.json():
            case {"born": int(born)} if not isinstance(born, bool):
                return born
    except (ValueError, RecursionError):
        pass
    return None
