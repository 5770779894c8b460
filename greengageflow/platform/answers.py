"""Interpretation of responses from the platform's endpoints."""

from greengageflow.core.forward_request import Header
from greengageflow.net.endpoint_response import ResponseInfo
from greengageflow.net.http_messages import Head, announces_shutdown, retry_after_s
from greengageflow.platform.names import (
    NOT_EXECUTED,
    REPLICA_ID,
    REQUEST_ID,
    RESPONSE_SEAL,
    RETRY_AFTER,
)
from greengageflow.platform.requests import HOP_HEADERS

MISDIRECTED = 421
UNAVAILABLE = 503


def interpret_answer(head: Head, request_id: str) -> ResponseInfo:
    """Return what a response head says about the request ``request_id``."""
    echoed_id = head.header(REQUEST_ID)
    # Endpoints echo the id. A late extra rejection without one may belong to an earlier
    # request, so it is no proof that this one has not run.
    is_identified = echoed_id == request_id
    misdirected = is_identified and head.status == MISDIRECTED
    not_run = misdirected or (is_identified and bool(head.header(NOT_EXECUTED)))
    is_overloaded = not_run and head.status == UNAVAILABLE
    return ResponseInfo(
        status=head.status,
        belongs_to_request=echoed_id in ("", request_id),
        identified=is_identified,
        signed=is_identified and bool(head.header(RESPONSE_SEAL)),
        not_run=not_run,
        endpoint_replaced=misdirected and bool(head.header(REPLICA_ID)),
        closes_connection="close" in head.header("connection").lower(),
        content_encoded=bool(head.header("content-encoding")),
        # A misdirected answer comes from another endpoint that has this address now.
        leaving=not misdirected and announces_shutdown(head),
        backoff_s=retry_after_s(head.header(RETRY_AFTER)) if is_overloaded else 0.0,
    )


def headers_for_caller(head: Head) -> tuple[Header, ...]:
    """Return the response headers that are passed on to the caller."""
    return tuple(
        (name, value)
        for name, value in head.headers
        if name not in HOP_HEADERS and name != "date"
    )
