"""Translation of the platform's requests, from callers and to endpoints."""

from collections.abc import Callable

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.event_ids import parse_event_id
from greengageflow.core.forward_request import (
    ForwardRequest,
    Header,
    Prompt,
    PromptPart,
)
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.calls import CallerRequest
from greengageflow.net.http_messages import HOP_BY_HOP, HttpRequest, hop_by_hop
from greengageflow.platform.names import (
    CREDENTIAL,
    DEADLINE_MS,
    EXPECT_REPLICA,
    HOLD,
    KV_BACKUP,
    KV_FETCH,
    KV_FROM,
    KV_LIST,
    LAST_EVENT_ID,
    LENGTH_HINT,
    PIN_MS,
    PROMPT_PREFIX,
    REQUEST_ID,
    RESUMES,
    TENANT,
    TOKEN_COUNT,
)

HOP_HEADERS = HOP_BY_HOP | {"content-length", "expect"}
ROUTER_HEADERS = frozenset(
    {
        CREDENTIAL,
        DEADLINE_MS,
        EXPECT_REPLICA,
        HOLD,
        KV_BACKUP,
        KV_FETCH,
        KV_FROM,
        LAST_EVENT_ID,
        PIN_MS,
        TENANT,
    }
)
_NOT_FORWARDED = HOP_HEADERS | ROUTER_HEADERS
_MAX_DEADLINE_MS = 86_400_000


def parse_request(req: CallerRequest) -> ForwardRequest:
    """Return a caller's request as a ``ForwardRequest``.

    Raises:
        RouterError: It has no id, or repeats a header that must be unique.
    """
    header = _header_reader(req)
    last_event_text = header(LAST_EVENT_ID).strip()
    request_id = header(REQUEST_ID)
    if not request_id:
        raise RouterError(ErrorKind.BAD_REQUEST, "request id header is missing")
    return ForwardRequest(
        id=request_id,
        method=req.method,
        host=header("host"),
        target=req.target,
        headers=_forwarded_headers(req),
        body=req.body,
        key=header(CREDENTIAL).strip(),
        max_wait_s=_parse_timeout_s(header(DEADLINE_MS)),
        prompt=_parse_prompt(header),
        last_event=parse_event_id(last_event_text),
        last_event_text=last_event_text,
        resumes=header(RESUMES).strip(),
        http_1_0=req.http_1_0,
    )


def _header_reader(req: CallerRequest) -> Callable[[str], str]:
    """Return ``req.header``, or a faster equivalent if no header is repeated."""
    values = dict(req.headers)
    if len(values) < len(req.headers):
        return req.header
    return lambda name: values.get(name, "")


def _forwarded_headers(req: CallerRequest) -> tuple[Header, ...]:
    excluded = _NOT_FORWARDED | hop_by_hop(req.headers)
    return tuple((k, v) for k, v in req.headers if k not in excluded)


def _parse_number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None


def _parse_timeout_s(text: str) -> float | None:
    number = _parse_number(text.partition(".")[0])
    return None if number is None else min(number, _MAX_DEADLINE_MS) / 1000


def _parse_prompt(header: Callable[[str], str]) -> Prompt | None:
    tokens_in, _, tokens_out = header(TOKEN_COUNT).partition(",")
    prompt_tokens = _parse_number(tokens_in.strip())
    if prompt_tokens is None:
        return None
    parts = tuple(filter(None, map(_parse_part, header(PROMPT_PREFIX).split(","))))
    max_output_tokens = _parse_number(tokens_out.strip()) or 0
    length_hint = _parse_number(header(LENGTH_HINT).strip())
    return Prompt(
        parts,
        prompt_tokens,
        max_output_tokens
        if length_hint is None
        else min(max_output_tokens, length_hint),
    )


def _parse_part(text: str) -> PromptPart | None:
    name, _, tokens = text.strip().partition(":")
    count = _parse_number(tokens)
    return PromptPart(name, count) if name and count is not None else None


def endpoint_request(
    req: ForwardRequest,
    endpoint: ListedEndpoint,
    *,
    account: str,
    remaining_s: float,
    last_event: int | None,
    fetch_from: ListedEndpoint | None,
) -> HttpRequest:
    """Return the request to send to an endpoint.

    Args:
        req: The caller's request.
        endpoint: Endpoint to send it to.
        account: Client account of the key, or empty.
        remaining_s: Seconds until the deadline.
        last_event: Id of the last event received so far; None to pass on what the
            caller sent.
        fetch_from: Engine to fetch cached prompt parts from, or None.
    """
    extra: list[Header] = [
        (EXPECT_REPLICA, endpoint.id),
        (DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
    ]
    if account:
        extra.append((TENANT, account))
    last_event_text = req.last_event_text if last_event is None else str(last_event)
    if last_event_text:
        extra.append((LAST_EVENT_ID, last_event_text))
    if fetch_from is not None:
        extra.append((KV_FETCH, f"{fetch_from.ip}:{fetch_from.port}"))
    return HttpRequest(
        req.method,
        endpoint.ip,
        endpoint.port,
        req.target,
        (*req.headers, *extra),
        req.body,
        request_id=req.id,
    )


def cached_parts_request(engine: ListedEndpoint) -> HttpRequest:
    """Return the request for an engine's list of cached prompt parts."""
    headers = ((EXPECT_REPLICA, engine.id),)
    return HttpRequest("GET", engine.ip, engine.port, KV_LIST, headers)
