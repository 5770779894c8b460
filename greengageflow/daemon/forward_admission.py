"""Admission of forwarded requests: route, account and deadline."""

from collections.abc import Callable, Mapping
from itertools import count
from random import Random
from types import MappingProxyType

from greengageflow.core.forward_request import (
    ForwardRequest,
    Prompt,
    request_identity,
)
from greengageflow.core.routes import Route, RouteTable, Routing
from greengageflow.core.service_scheduler import QUEUE_TARGET_FRACTION, Job
from greengageflow.core.trust import KeyTrust
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.daemon.forward_context import ForwardContext
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.forward_calls import ForwardCall
from greengageflow.net.timers import Timers

DEFAULT_WORK = 1000.0
"""Work charged for a request without a prompt."""
ANSWER_MARGIN_S = 0.03
"""Margin by which the final answer precedes the caller's own deadline, in seconds."""
CONFIG_MAX_AGE_S = 2.5
"""Age from which a configuration may lack new routes and keys, in seconds."""
RETRY_AFTER_S = 0.5
"""Retry delay sent to callers while the log is unavailable, in seconds."""


class ForwardAdmission:
    """Finds the route and client account of a request, or refuses it.

    Args:
        timers: Timer service.
        trust: Tells whether the account keys are recent enough to be trusted.
        clock: Returns the time on the clock of ``trust``, in seconds.
        regions: Region of each availability zone.
    """

    def __init__(
        self,
        timers: Timers,
        trust: KeyTrust,
        clock: Callable[[], float],
        regions: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self._timers = timers
        self._trust = trust
        self._clock = clock
        self._regions = regions
        self._routing = Routing()
        self._table = RouteTable()
        self._numbers = count(1)
        self._random = Random()
        self._longest_wait_s: dict[str, float] = {}

    def on_routing(self, routing: Routing) -> None:
        """Apply a new configuration."""
        self._routing = routing
        self._table = RouteTable(routing.routes)

    def account_of(self, key: str) -> str:
        """Return the account that owns a key, or an empty string."""
        return self._routing.accounts.get(key, "")

    def readiness_error(self) -> RouterError | None:
        """Return why no requests can be admitted, or None."""
        if not self._routing.version:
            return RouterError(ErrorKind.NOT_CONFIGURED, "no configuration yet")
        if not self._trust.is_trusted(self._clock()):
            return RouterError(ErrorKind.LOG_UNAVAILABLE, "the log is unavailable")
        return None

    def admit(self, call: ForwardCall) -> ForwardContext:
        """Return the state of a newly admitted request.

        Raises:
            RouterError: The request is refused.
        """
        if not self._routing.version:
            raise RouterError(ErrorKind.NOT_CONFIGURED, "no configuration yet")
        req = call.request
        route = self.find_route(req.host, req.path)
        account = self.find_account(route, req.key)
        if route.stream:
            _check_stream_request(req)
        now = self._timers.now
        wait_s = route.timeout_s
        if req.max_wait_s is not None:
            wait_s = min(wait_s, req.max_wait_s)
        return ForwardContext(
            id=str(next(self._numbers)),
            call=call,
            req=req,
            reply=call.reply,
            route=route,
            account=account,
            service=route.pick(self._random),
            arrived_at=now,
            deadline=now + max(0.0, wait_s - ANSWER_MARGIN_S),
            identity=request_identity(req, account),
            last_event=req.last_event,
            allowed_zones=self.allowed_zones(route, account),
        )

    @property
    def routing(self) -> Routing:
        """The configuration."""
        return self._routing

    def allowed_zones(self, route: Route, account: str) -> frozenset[str] | None:
        """Return the zones whose endpoints may run a request, or None for all."""
        regions = self._routing.allowed_regions(route, account)
        if regions is None:
            return None
        return frozenset(z for z, region in self._regions.items() if region in regions)

    def find_route(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Raises:
            RouterError: There is none, or none can be found now.
        """
        route = self._table.find(host, path)
        if route is None:
            self._check_recent()
            raise RouterError(ErrorKind.NOT_FOUND, "no such route")
        return route

    def find_account(self, route: Route, key: str) -> str:
        """Return the account of a request, or an empty string if it needs none.

        Raises:
            RouterError: The key is unknown, or cannot be checked now.
        """
        if route.public or not self._routing.keyed:
            return self.account_of(key)
        if not self._trust.is_trusted(self._clock()):
            text = "keys cannot be checked while the log is unavailable"
            kind = ErrorKind.LOG_UNAVAILABLE
            raise RouterError(kind, text, retry_after_s=RETRY_AFTER_S)
        account = self._routing.accounts.get(key)
        if account is None:
            self._check_recent()
            raise RouterError(ErrorKind.UNAUTHORIZED, "unknown key")
        return account

    def _check_recent(self) -> None:
        # An outdated configuration must not give a final "no such route" or "unknown
        # key": the caller would not retry.
        if self._trust.age_s(self._clock()) > CONFIG_MAX_AGE_S:
            text = "the configuration may be outdated"
            kind = ErrorKind.LOG_UNAVAILABLE
            raise RouterError(kind, text, retry_after_s=RETRY_AFTER_S)

    def job(self, ctx: ForwardContext) -> Job:
        """Return the scheduler's job for a request."""
        return Job(
            self._queued_request(ctx),
            ctx.route.target_s,
            ctx.req.prompt,
            allowed_zones=ctx.allowed_zones,
            version=ctx.version,
        )

    def _queued_request(self, ctx: ForwardContext) -> QueuedRequest:
        return queued_request(
            ctx.id,
            ctx.route,
            ctx.account,
            ctx.req.prompt,
            ctx.arrived_at,
            ctx.deadline,
            self._retrying_s(ctx),
        )

    def _retrying_s(self, ctx: ForwardContext) -> float:
        """Return how long the caller has been retrying, in seconds.

        A retrying caller sends the time that it will still wait. The longest such time
        seen on a route is taken as the total that its callers wait.
        """
        remaining_wait_s = ctx.req.max_wait_s
        if remaining_wait_s is None:
            return 0.0
        total_wait_s = max(
            remaining_wait_s, self._longest_wait_s.get(ctx.route.name, 0.0)
        )
        self._longest_wait_s[ctx.route.name] = total_wait_s
        return total_wait_s - remaining_wait_s


def queued_request(
    request: str,
    route: Route,
    account: str,
    prompt: Prompt | None,
    arrived_at: float,
    deadline: float,
    retrying_s: float = 0.0,
) -> QueuedRequest:
    """Return the queue entry of a request.

    Args:
        request: Its id.
        route: Its route.
        account: Client account, or empty.
        prompt: Its prompt, or None.
        arrived_at: Time of its arrival.
        deadline: Time by which the final answer is due.
        retrying_s: Seconds for which its caller has been retrying.
    """
    return QueuedRequest(
        request,
        account,
        prompt.work if prompt else DEFAULT_WORK,
        route.priority,
        arrived_at,
        arrived_at + route.target_s - retrying_s,
        min(arrived_at + QUEUE_TARGET_FRACTION * route.target_s, deadline),
    )


def _check_stream_request(req: ForwardRequest) -> None:
    if req.http_1_0:
        text = "a stream requires HTTP/1.1; over 1.0 a cut answer looks complete"
        raise RouterError(ErrorKind.BAD_REQUEST, text)
    if req.last_event_text and req.last_event is None:
        text = "the id of the last event is not a number, or too long"
        raise RouterError(ErrorKind.BAD_REQUEST, text)
