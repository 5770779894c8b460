"""Requests and answers of the outbound HTTP pool."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Any, Protocol

from greengageflow.net._http_parse import Head

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


LONGEST_BACKOFF_S = 3600.0
SERVER_LEAVING = "server-leaving"


def retry_after_s(text: str) -> float:
    """Return the seconds in a ``Retry-After`` header, 0 for none.

    Fractions count. A date is none: it goes by a clock that is not ours.
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return min(seconds, LONGEST_BACKOFF_S) if 0.0 < seconds < inf else 0.0


def hop_by_hop(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that end with this hop, those that it names included."""
    return HOP_BY_HOP.union(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )


def says_leaving(answer: "Head | Response") -> bool:
    """Whether an endpoint says in an answer that it leaves."""
    return answer.header(SERVER_LEAVING).strip() not in ("", "0")


class FailureKind(StrEnum):
    """Why an exchange did not bring a whole answer."""

    CONNECT = "connect"
    """There was no connection: refused, unreachable, or too slow."""
    TIMEOUT = "timeout"
    """Nothing moved for the idle time."""
    CUT = "cut"
    """The connection ended before the answer did."""
    BROKEN = "broken"
    """The answer is not HTTP/1.1, or too large."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request to send.

    Args:
        method: HTTP method.
        ip: IP number of the other side.
        port: TCP port of the other side.
        path: Path and query.
        headers: Names and values; ``Host`` and ``Content-Length`` are added.
        body: Whole body.
        connect_timeout_s: Longest time for connecting, in seconds.
        idle_timeout_s: Longest time in which no byte moves, in seconds.
        retry_stale: True when the request may be sent again on a new connection
            if a reused one was closed before a byte of the answer came. False
            also means that a new connection is used in the first place.
        may_send_again: Asked before that; None allows it.
        not_after: Monotonic time after which the first byte must not leave, in
            seconds; None for no such limit.
        reuse_s: A connection that was idle for less than this carries the request
            also when ``retry_stale`` is False, in seconds.
        until_close: An answer without a length is whole when its connection was
            closed in order.
        accepts: Says whether an answer's head belongs to this request; others are
            read to their end and left out. None accepts all.
    """

    method: str
    ip: str
    port: int
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0
    retry_stale: bool = True
    may_send_again: Callable[[], bool] | None = None
    not_after: float | None = None
    reuse_s: float = 0.0
    until_close: bool = False
    accepts: Callable[[Head], bool] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self.ip, self.port

    def take_stale_retry(self) -> bool:
        """Whether it is sent again now that a reused connection was closed."""
        if not self.retry_stale:
            return False
        return self.may_send_again is None or self.may_send_again()


@dataclass(frozen=True, slots=True)
class Response:
    """One whole answer.

    Args:
        status: HTTP status code.
        headers: Names in lower case and values.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name`` (lower case)."""
        return Head(self.status, self.headers).header(name, default)


@dataclass(frozen=True, slots=True)
class Failure:
    """An exchange brought no whole answer.

    Args:
        kind: Why.
        sent: False only when certainly no byte of the request left.
        message: What happened, for people.
        stale: A kept connection ended before a byte of the answer came; servers close
            idle ones as they like.
    """

    kind: FailureKind
    sent: bool
    message: str
    stale: bool = False

    @property
    def lost(self) -> bool:
        """Whether the connection ended, or there was none, after it was sent."""
        return self.sent and self.kind in (FailureKind.CUT, FailureKind.CONNECT)


class Receiver(Protocol):
    """Gets an answer as it arrives: ``on_end`` or ``on_failure`` comes once, last."""

    def on_head(self, head: Head) -> None:
        """Take status and headers."""

    def on_data(self, data: bytes) -> None:
        """Take the body bytes of one read."""

    def on_end(self) -> None:
        """Note that the answer is whole."""

    def on_failure(self, failure: Failure) -> None:
        """Note that no more of the answer will come."""
