"""Answers of the platform's endpoints."""

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


def note_of(head: Head, request_id: str) -> ResponseInfo:
    """Return what an answer's head says of the request ``request_id``."""
    echoed = head.header(REQUEST_ID)
    misdirected = head.status == MISDIRECTED
    not_run = misdirected or bool(head.header(NOT_EXECUTED))
    turned_away = not_run and head.status == UNAVAILABLE
    return ResponseInfo(
        status=head.status,
        belongs_to_request=echoed in ("", request_id),
        signed=bool(head.header(RESPONSE_SEAL)) and echoed == request_id,
        not_run=not_run,
        endpoint_replaced=misdirected and bool(head.header(REPLICA_ID)),
        closes_connection="close" in head.header("connection").lower(),
        content_encoded=bool(head.header("content-encoding")),
        # Another endpoint that has the address now speaks for itself.
        leaving=not misdirected and announces_shutdown(head),
        backoff_s=retry_after_s(head.header(RETRY_AFTER)) if turned_away else 0.0,
    )


def headers_for_caller(head: Head) -> tuple[Header, ...]:
    """Return the headers of an answer that the caller gets."""
    return tuple(
        (name, value)
        for name, value in head.headers
        if name not in HOP_HEADERS and name != "date"
    )
