"""Load reports of the platform's endpoints, and which start of them answers."""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net.http_messages import (
    Head,
    HttpRequest,
    Response,
    Verification,
)
from greengageflow.platform.answers import MISDIRECTED
from greengageflow.platform.names import (
    EXPECT_REPLICA,
    KV_LIST,
    REPLICA_ID,
    REPORT_PATH,
    REQUEST_ID,
)
from greengageflow.platform.requests import cached_parts_request

MAX_BORN_MS = 2**53
"""Latest start time that is believed, in Unix milliseconds."""
PARTS_RETRY_S = 5.0
"""Time after which an engine that did not list its cached parts is asked for them
again, in seconds."""
MAX_NOTED_SOURCES = 8192
"""Maximum number of answers that are known to lack the start time of an endpoint."""


def report_request(endpoint: ListedEndpoint) -> HttpRequest:
    """Return the request for an endpoint's report; it needs no slot there."""
    headers = ((EXPECT_REPLICA, endpoint.id),)
    return HttpRequest(
        "GET",
        endpoint.ip,
        endpoint.port,
        REPORT_PATH,
        headers,
        accepts=_has_no_id,
    )


def _is_temporary(status: int) -> bool:
    """Return whether a status says nothing of what other responses will state."""
    temporary = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)
    return status in temporary or status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _has_no_id(head: Head) -> bool:
    # A late answer to an earlier request on the connection has that request's id.
    return not head.header(REQUEST_ID)


class StartVerifications:
    """Verifies that connections lead to the listed starts of endpoints.

    Endpoints state their start time in their reports. Engines whose reports lack it are
    asked for their cached prompt parts on the same connection, unless they have not
    stated it there either.
    """

    def __init__(self) -> None:
        self._unstated: dict[tuple[str, str], None] = {}
        self._failed_at: dict[str, float] = {}

    def verification(
        self,
        endpoint: ListedEndpoint,
        on_other_start: Callable[[ListedEndpoint], None],
        *,
        now: float,
        is_engine: bool,
        required: bool,
        timeout_s: float,
    ) -> Verification:
        """Return what verifies that a connection leads to the listed start.

        An entry without a start time names no start, so nothing proves it.

        Args:
            endpoint: The endpoint.
            on_other_start: Called with another start of it that answers.
            now: The time, in seconds.
            is_engine: Whether it can list its cached prompt parts.
            required: True if an endpoint that does not state its start gets no request.
            timeout_s: Maximum time without progress of each check, in seconds.
        """

        def check(
            request: HttpRequest, fallback: Verification | None = None
        ) -> Verification:
            def evaluate(response: Response) -> IncarnationEvidence:
                other = other_start(response, endpoint)
                if other is not None:
                    on_other_start(other)
                evidence = incarnation_evidence(response, endpoint)
                if not _is_temporary(response.status):
                    self._note_source(endpoint, request.path, evidence)
                return evidence

            request = replace(request, idle_timeout_s=timeout_s)
            return Verification(request, evaluate, endpoint.start, required, fallback)

        def on_failure() -> None:
            self._failed_at[endpoint.start] = now
            if len(self._failed_at) > MAX_NOTED_SOURCES:
                del self._failed_at[next(iter(self._failed_at))]

        report = report_request(endpoint)
        failed_at = self._failed_at.get(endpoint.start, float("-inf"))
        has_no_parts = now - failed_at < PARTS_RETRY_S or self._is_unstated(
            endpoint, KV_LIST
        )
        if not is_engine or has_no_parts:
            return check(report)
        parts = check(replace(cached_parts_request(endpoint), accepts=_has_no_id))
        parts = replace(parts, on_failure=on_failure)
        return (
            parts if self._is_unstated(endpoint, REPORT_PATH) else check(report, parts)
        )

    def _is_unstated(self, endpoint: ListedEndpoint, path: str) -> bool:
        return (endpoint.start, path) in self._unstated

    def _note_source(
        self, endpoint: ListedEndpoint, path: str, evidence: IncarnationEvidence
    ) -> None:
        if evidence is IncarnationEvidence.UNSTATED:
            self._unstated[endpoint.start, path] = None
            if len(self._unstated) > MAX_NOTED_SOURCES:
                del self._unstated[next(iter(self._unstated))]
        elif evidence is not IncarnationEvidence.OTHER:
            self._unstated.pop((endpoint.start, path), None)


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
