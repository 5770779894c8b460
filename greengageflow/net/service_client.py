"""Client for a call to a plain service; bodies are not streamed."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from greengageflow.net.http_messages import (
    announces_shutdown,
    hop_by_hop,
    retry_after_s,
)
from greengageflow.net.http_pool import (
    Exchange,
    Failure,
    HttpPool,
    HttpRequest,
    Response,
)
from greengageflow.net.request_outcomes import Cut, Unreachable

MAX_RESPONSE_BYTES = 8 * 1_048_576
REQUEST_ID = "X-Request-Id"
_ECHO_HEADER = REQUEST_ID.lower()

Header = tuple[str, str]

_MESSAGE_HEADERS = frozenset({"content-length", "host", "expect", "date", "server"})
_ROUTER_HEADERS = frozenset(
    {"authorization", "x-request-id", "traceparent", "idempotency-key"}
)


def end_to_end(headers: Iterable[Header]) -> Iterator[Header]:
    """Yield the headers that may be forwarded to the next hop."""
    headers = list(headers)
    dropped = hop_by_hop(headers) | _MESSAGE_HEADERS
    for name, value in headers:
        if name.lower() not in dropped:
            yield name, value


def _response_headers(headers: Iterable[Header]) -> Iterator[Header]:
    # The router names the request in its own answer.
    return (row for row in end_to_end(headers) if row[0].lower() != _ECHO_HEADER)


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request and the service endpoint to send it to.

    Args:
        ip: IP address of the endpoint.
        port: TCP port of the endpoint.
        method: HTTP method.
        path: Path and query, from ``/``.
        request_id: Sent as ``X-Request-Id``.
        headers: Headers of the caller; the account's API key is not forwarded.
        body: Complete body.
        traceparent: W3C trace context, or empty.
        idempotency_key: Forwarded if set.
        protected: True if the request must be sent at most once.
        connect_timeout_s: Connect timeout, in seconds.
        idle_timeout_s: Maximum time without progress, in seconds.
        not_after: Monotonic time after which it must not be sent, in seconds, or
            None.
        may_retry: Called before a retry on a new connection to allow it.
    """

    ip: str
    port: int
    method: str
    path: str
    request_id: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    traceparent: str = ""
    idempotency_key: str = ""
    protected: bool = False
    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0
    not_after: float | None = None
    may_retry: Callable[[], bool] | None = None

    def to_http(self) -> HttpRequest:
        """Return the HTTP request to send."""
        return HttpRequest(
            self.method,
            self.ip,
            self.port,
            self.path,
            tuple(self._headers()),
            self.body,
            self.connect_timeout_s,
            self.idle_timeout_s,
            retry_stale=not self.protected,
            may_retry=self.may_retry,
            not_after=self.not_after,
            request_id=self.request_id,
            echo_header=_ECHO_HEADER,
        )

    def _headers(self) -> Iterator[Header]:
        for name, value in end_to_end(self.headers):
            if name.lower() not in _ROUTER_HEADERS:
                yield name, value
        yield REQUEST_ID, self.request_id
        if self.traceparent:
            yield "traceparent", self.traceparent
        if self.idempotency_key:
            yield "Idempotency-Key", self.idempotency_key


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete response of a service.

    Args:
        status: HTTP status code.
        headers: Headers to forward to the caller.
        body: Complete body.
        leaving: True if the endpoint announced that it is shutting down.
        backoff_s: Time for which the endpoint wants no requests, in seconds; 0 if it
            gave none.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    leaving: bool = False
    backoff_s: float = 0.0

    @property
    def content_type(self) -> str:
        """Value of the ``Content-Type`` header, or empty."""
        return next((v for k, v in self.headers if k.lower() == "content-type"), "")


ServiceEnd = ServiceAnswer | Unreachable | Cut


def call_service(
    pool: HttpPool,
    request: ServiceRequest,
    on_done: Callable[[ServiceEnd], None],
    limit: int = MAX_RESPONSE_BYTES,
) -> Exchange:
    """Send ``request`` and call ``on_done`` once with the outcome.

    Args:
        pool: Sends the request.
        request: Request to send.
        on_done: Called with the response, with ``Unreachable`` if it is certain that
            no byte of the request was sent, or with ``Cut`` if the service may have
            run it.
        limit: Maximum size of the response body, in bytes.

    Returns:
        The exchange, which can be cancelled.
    """

    def on_outcome(outcome: Response | Failure) -> None:
        match outcome:
            case Response(status, headers, body):
                wait_s = 0.0
                if status == HTTPStatus.SERVICE_UNAVAILABLE:
                    wait_s = retry_after_s(outcome.header("retry-after"))
                forwarded = tuple(_response_headers(headers))
                leaving = announces_shutdown(outcome)
                on_done(ServiceAnswer(status, forwarded, body, leaving, wait_s))
            case Failure(sent=False, message=message):
                on_done(Unreachable(message))
            case Failure(message=message):
                on_done(Cut(message, connection_lost=outcome.connection_lost))

    return pool.fetch(request.to_http(), on_outcome, limit)
