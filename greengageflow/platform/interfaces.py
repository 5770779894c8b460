"""HTTP interfaces of a router for callers and for the platform's load balancer."""

from typing import TYPE_CHECKING

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.calls import CallerRequest, HealthCall, parse_bearer_key
from greengageflow.net.forward_calls import ForwardCall, PageCall, PlacementCall
from greengageflow.platform.names import CREDENTIAL, READY_PATH
from greengageflow.platform.requests import parse_request

if TYPE_CHECKING:
    from greengageflow.net.reply import Reply

METRICS_PATH = "/metrics"
PLACEMENT_PATH = "/placement"
_FORWARDED_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
_KEY_HEADER = f"\r\n{CREDENTIAL}:".encode()
_MAX_HEAD_BYTES = 2048
_READ_METHODS = frozenset({"GET", "HEAD"})


def _format_seconds(seconds: float) -> str:
    return f"{max(0.0, seconds):.3f}"


class CallerInterface:
    """Interface for callers; any path may belong to a route."""

    def allowed_methods(self, _path: str) -> frozenset[str]:
        """Return the methods that are forwarded."""
        return _FORWARDED_METHODS

    def check_target(self, _method: str, _path: str) -> None:
        """Accept every target; the configuration decides."""

    def parse_call(self, request: CallerRequest, reply: "Reply") -> ForwardCall:
        """Return the call in a request.

        Raises:
            RouterError: It has no id, or repeats a header that must be unique.
        """
        return ForwardCall(request=parse_request(request), reply=reply)

    def retry_after(self, seconds: float) -> str:
        """Return a ``Retry-After`` value; fractions of a second are allowed."""
        return _format_seconds(seconds)

    def key(self, data: bytes) -> str:
        """Return the account key in the start of an unparsed request, or empty."""
        head = data[:_MAX_HEAD_BYTES]
        at = head.lower().find(_KEY_HEADER)
        if at < 0:
            return ""
        value, _, _ = head[at + len(_KEY_HEADER) :].partition(b"\r")
        return value.strip().decode("latin-1")


class ReadyInterface:
    """Interface for the load balancer's readiness check and for metrics scrapers.

    Args:
        placement: Operators may also ask where a request would go.
    """

    def __init__(self, *, placement: bool = False) -> None:
        self._paths = {READY_PATH, METRICS_PATH}
        if placement:
            self._paths.add(PLACEMENT_PATH)

    def allowed_methods(self, path: str) -> frozenset[str]:
        """Return the methods allowed for ``path``; none for an unknown path."""
        return _READ_METHODS if path in self._paths else frozenset()

    def check_target(self, method: str, path: str) -> None:
        """Reject methods and paths that are not served.

        Raises:
            RouterError: Unknown path or method.
        """
        if method not in self.allowed_methods(path):
            raise RouterError(ErrorKind.NOT_FOUND, "no such path")

    def parse_call(
        self, request: CallerRequest, reply: "Reply"
    ) -> HealthCall | PageCall | PlacementCall:
        """Return the call in a request.

        Raises:
            RouterError: It repeats a header that must be unique.
        """
        if request.path == READY_PATH:
            return HealthCall(reply=reply)
        if request.path == PLACEMENT_PATH:
            key = parse_bearer_key(request.header("authorization"))
            return PlacementCall(query=request.query, key=key, reply=reply)
        return PageCall(path=request.path, reply=reply)

    def retry_after(self, seconds: float) -> str:
        """Return a ``Retry-After`` value; fractions of a second are allowed."""
        return _format_seconds(seconds)
