"""Typed calls, parsed from callers' HTTP requests."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import ceil, isfinite
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, quote, unquote

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.chat import parse_chat

if TYPE_CHECKING:
    from greengageflow.net.reply import Reply

CHAT_PATH = "/v1/chat/completions"
HEALTH_PATH = "/healthz"
STATUS_PATH = "/status"
SERVICE_PREFIX = "/services/"
SERVICE_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
READ_METHODS = frozenset({"GET", "HEAD"})
MAX_KEY_CHARS = 255
MAX_HEADER_NUMBER = 1e9

_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete HTTP request of a caller.

    Args:
        method: HTTP method.
        target: Path and query as received.
        headers: Lower-case names and values, in the order received.
        body: Complete body.
        http_1_0: True for an HTTP/1.0 request.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    http_1_0: bool = False

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query without the question mark."""
        return self.target.partition("?")[2]

    def header(self, name: str) -> str:
        """Return the value of header ``name`` (lower case), or an empty string.

        Raises:
            RouterError: The header was sent more than once.
        """
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise RouterError(ErrorKind.BAD_REQUEST, f"{name}: sent more than once")
        return values[0] if values else ""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Call:
    """Fields common to all calls that go to an endpoint.

    Args:
        account_key: Bearer key, or empty.
        cost_hint: Expected cost in tokens, or None.
        idempotency_key: Idempotency key of a protected action, or empty.
        traceparent: W3C trace context, or empty.
        deadline_s: Seconds until the caller gives up, or None.
        reply: Sends the answer.
    """

    account_key: str
    cost_hint: float | None
    idempotency_key: str
    traceparent: str
    deadline_s: float | None
    reply: "Reply" = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatCall(_Call):
    """A chat request to a model.

    Args:
        model: Name of the model.
        stream: True if the answer is streamed.
        body: Validated JSON object that is sent to the engine.
    """

    model: str
    stream: bool
    body: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall(_Call):
    """A call to a service.

    Args:
        service: Name of the service.
        path: Canonical path below the service, without a leading slash; see
            ``canonical_path``.
        query: Query without the question mark.
        method: HTTP method.
        headers: Lower-case names and values.
        body: Complete body.
    """

    service: str
    path: str
    query: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def target(self) -> str:
        """Path and query for a replica of the service."""
        return f"/{self.path}" + (f"?{self.query}" if self.query else "")


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusCall:
    """An operator's request for the router's status.

    Args:
        account_key: Bearer key, or empty.
        request: Id of a request to report on, or empty.
        reply: Sends the answer.
    """

    account_key: str
    request: str = ""
    reply: "Reply" = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthCall:
    """A load balancer's health check.

    Args:
        reply: Sends the answer.
    """

    reply: "Reply" = field(compare=False, repr=False)


CallerCall = ChatCall | ServiceCall | StatusCall | HealthCall


def parse_bearer_key(value: str) -> str:
    """Return the key in an ``Authorization`` header, or an empty string."""
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _parse_positive_number(
    request: CallerRequest, name: str, limit: float
) -> float | None:
    text = request.header(name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not isfinite(value) or not 0 < value <= limit:
        raise RouterError(ErrorKind.BAD_REQUEST, f"{name}: must be a number above 0")
    return value


def _parse_idempotency_key(request: CallerRequest) -> str:
    key = request.header("idempotency-key")
    if len(key) > MAX_KEY_CHARS or not all("!" <= char <= "~" for char in key):
        message = f"idempotency-key: at most {MAX_KEY_CHARS} visible ASCII characters"
        raise RouterError(ErrorKind.BAD_REQUEST, message)
    return key


def _parse_traceparent(request: CallerRequest) -> str:
    value = request.header("traceparent")
    return value if _TRACEPARENT.fullmatch(value) else ""


def _parse_common_fields(request: CallerRequest) -> dict[str, Any]:
    return {
        "account_key": parse_bearer_key(request.header("authorization")),
        "cost_hint": _parse_positive_number(request, "x-cost-hint", MAX_HEADER_NUMBER),
        "idempotency_key": _parse_idempotency_key(request),
        "traceparent": _parse_traceparent(request),
        "deadline_s": _parse_positive_number(
            request, "x-deadline-s", MAX_HEADER_NUMBER
        ),
    }


def _canonical_segments(path: str) -> Iterator[str]:
    if _ESCAPE.search(path):
        raise RouterError(ErrorKind.BAD_REQUEST, "path: invalid percent escape")
    for part in path.split("/"):
        try:
            text = unquote(part, errors="strict")
        except UnicodeDecodeError as exc:
            raise RouterError(ErrorKind.BAD_REQUEST, "path: not UTF-8") from exc
        if text in (".", "..") or not text.isprintable() or set(text) & set("/\\"):
            raise RouterError(ErrorKind.BAD_REQUEST, "path: segment not allowed")
        yield quote(text, safe="!$&'()*+,;=:@~")


def canonical_path(path: str) -> str:
    """Return the canonical form of ``path`` (no leading slash).

    A service may read ``a/./b``, ``%61/b`` and ``a//b`` all as ``a/b``. Such variants
    could bypass the protection of a route that is marked as not repeatable. Therefore
    needless escapes are decoded and the other variants rejected.

    Raises:
        RouterError: The path has an ambiguous or invalid segment.
    """
    parts = list(_canonical_segments(path))
    if "" in parts[:-1]:
        raise RouterError(ErrorKind.BAD_REQUEST, "path: empty segment")
    return "/".join(parts)


def _parse_chat_call(request: CallerRequest, reply: "Reply") -> ChatCall:
    common_fields = _parse_common_fields(request)
    chat = parse_chat(request.body)
    if chat.stream and request.http_1_0:
        message = "stream: requires HTTP/1.1; over 1.0 a cut answer looks complete"
        raise RouterError(ErrorKind.BAD_REQUEST, message)
    if common_fields["cost_hint"] is None and chat.max_tokens is not None:
        common_fields["cost_hint"] = float(min(chat.max_tokens, MAX_HEADER_NUMBER))
    return ChatCall(
        model=chat.model,
        stream=chat.stream,
        body=chat.document,
        reply=reply,
        **common_fields,
    )


def _parse_service_call(request: CallerRequest, reply: "Reply") -> ServiceCall:
    service, _, path = request.path.removeprefix(SERVICE_PREFIX).partition("/")
    return ServiceCall(
        service=canonical_path(service),
        path=canonical_path(path),
        query=request.query,
        method=request.method,
        headers=request.headers,
        body=request.body,
        reply=reply,
        **_parse_common_fields(request),
    )


class NativeInterface:
    """The native API of this project; see ``CallInterface``."""

    def allowed_methods(self, path: str) -> frozenset[str]:
        """Return the methods allowed for ``path``; empty for an unknown path."""
        if path == CHAT_PATH:
            return frozenset({"POST"})
        if path in (HEALTH_PATH, STATUS_PATH):
            return READ_METHODS
        if path.startswith(SERVICE_PREFIX) and path != SERVICE_PREFIX:
            return SERVICE_METHODS
        return frozenset()

    def check_target(self, method: str, path: str) -> None:
        """Reject an unsupported path or method.

        Raises:
            RouterError: The path is unknown, or the method not allowed for it.
        """
        methods = self.allowed_methods(path)
        if not methods:
            raise RouterError(ErrorKind.NOT_FOUND, "no such path")
        if method not in methods:
            message = f"allowed: {', '.join(sorted(methods))}"
            raise RouterError(ErrorKind.METHOD_NOT_ALLOWED, message)

    def parse_call(self, request: CallerRequest, reply: "Reply") -> CallerCall:
        """Parse a request that passed ``check_target`` into a typed call.

        Raises:
            RouterError: The request is not valid; the message names the field.
        """
        match request.path:
            case "/healthz":
                return HealthCall(reply=reply)
            case "/status":
                key = parse_bearer_key(request.header("authorization"))
                request_id = parse_qs(request.query).get("request", [""])[0]
                return StatusCall(account_key=key, request=request_id, reply=reply)
            case "/v1/chat/completions":
                return _parse_chat_call(request, reply)
        return _parse_service_call(request, reply)

    def retry_after(self, seconds: float) -> str:
        """Return the ``Retry-After`` value for a delay, in whole seconds."""
        return str(max(1, ceil(seconds)))


NATIVE_INTERFACE = NativeInterface()
