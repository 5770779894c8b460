"""One call to a plain service; bodies are whole in both directions."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from greengageflow.net.endings import Cut, Unreachable
from greengageflow.net.http_messages import hop_by_hop, retry_after_s, says_leaving
from greengageflow.net.http_pool import (
    Exchange,
    Failure,
    HttpPool,
    HttpRequest,
    Response,
)

ANSWER_LIMIT = 8 * 1_048_576

Header = tuple[str, str]

_OF_THE_MESSAGE = frozenset({"content-length", "host", "expect", "date", "server"})
_OF_THE_ROUTER = frozenset(
    {"authorization", "x-request-id", "traceparent", "idempotency-key"}
)


def end_to_end(headers: Iterable[Header]) -> Iterator[Header]:
    """Yield the headers that may be passed on to the next hop."""
    headers = list(headers)
    dropped = hop_by_hop(headers) | _OF_THE_MESSAGE
    for name, value in headers:
        if name.lower() not in dropped:
            yield name, value


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """What to send to which service replica.

    Args:
        ip: IP number of the replica.
        port: TCP port of the replica.
        method: HTTP method.
        path: Path and query, from ``/``.
        request_id: Sent as ``X-Request-Id``.
        headers: Headers of the caller; the account's key is not passed on.
        body: Whole body.
        traceparent: W3C trace context, or empty.
        idempotency_key: Passed on when set.
        protected: True when the request must be sent at most once.
        connect_timeout_s: Longest time for connecting, in seconds.
        idle_timeout_s: Longest time without a byte, in seconds.
        not_after: Monotonic time after which it must not be sent, or None.
        may_send_again: Asked before it is sent again on a new connection.
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
    may_send_again: Callable[[], bool] | None = None

    def to_http(self) -> HttpRequest:
        """Return the request as it is sent."""
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
            may_send_again=self.may_send_again,
            not_after=self.not_after,
        )

    def _headers(self) -> Iterator[Header]:
        for name, value in end_to_end(self.headers):
            if name.lower() not in _OF_THE_ROUTER:
                yield name, value
        yield "X-Request-Id", self.request_id
        if self.traceparent:
            yield "traceparent", self.traceparent
        if self.idempotency_key:
            yield "Idempotency-Key", self.idempotency_key


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service's whole answer.

    Args:
        status: HTTP status code.
        headers: Headers to pass on to the caller.
        body: Whole body.
        leaving: The service said that it leaves.
        backoff_s: Seconds for which it wants nothing more; 0 if it did not say.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    leaving: bool = False
    backoff_s: float = 0.0

    @property
    def content_type(self) -> str:
        """Content type, or empty."""
        return next((v for k, v in self.headers if k.lower() == "content-type"), "")


ServiceEnd = ServiceAnswer | Unreachable | Cut


def call_service(
    pool: HttpPool,
    request: ServiceRequest,
    on_done: Callable[[ServiceEnd], None],
    limit: int = ANSWER_LIMIT,
) -> Exchange:
    """Send ``request`` and call ``on_done`` once with how it ended.

    Args:
        pool: Sends the request.
        request: What to send.
        on_done: Gets the answer, ``Unreachable`` when certainly no byte of the
            request left, or ``Cut`` when the service may have run it.
        limit: Most bytes of the answer's body.
    """

    def on_outcome(outcome: Response | Failure) -> None:
        match outcome:
            case Response(status, headers, body):
                wait_s = 0.0
                if status == HTTPStatus.SERVICE_UNAVAILABLE:
                    wait_s = retry_after_s(outcome.header("retry-after"))
                own = tuple(end_to_end(headers))
                leaving = says_leaving(outcome)
                on_done(ServiceAnswer(status, own, body, leaving, wait_s))
            case Failure(sent=False, message=message):
                on_done(Unreachable(message))
            case Failure(message=message):
                on_done(Cut(message, lost=outcome.lost))

    return pool.fetch(request.to_http(), on_outcome, limit)
