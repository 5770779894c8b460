"""Page of the metrics listener that explains where a request would go now."""

from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from greengageflow.core.placement_explanation import explain_placement
from greengageflow.core.routes import Route
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job
from greengageflow.daemon.forward_admission import (
    ANSWER_MARGIN_S,
    ForwardAdmission,
    queued_request,
)
from greengageflow.daemon.placement import Placement
from greengageflow.daemon.placement_query import (
    PlacementQuery,
    bad_query,
    parse_placement_query,
)
from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.forward_calls import PlacementCall
from greengageflow.net.timers import Timers

MAX_ANSWERS_PER_S = 5
"""Answers in any second; each takes some milliseconds of the event loop."""
RATE_WINDOW_S = 1.0
SECONDS_DIGITS = 4


class PlacementPage:
    """Explains placements; changes no state that decisions depend on.

    Args:
        host: This host.
        timers: Timer service.
        admission: Finds routes and accounts.
        dispatcher: Decides the requests that are decided on this host.
        placement: Tells which host would decide a request.
        totals_at: Returns the time of the last load reports; 0 before the first.
    """

    def __init__(
        self,
        host: str,
        timers: Timers,
        admission: ForwardAdmission,
        dispatcher: ServiceDispatcher,
        placement: Placement,
        *,
        totals_at: Callable[[], float],
    ) -> None:
        self._host = host
        self._timers = timers
        self._admission = admission
        self._dispatcher = dispatcher
        self._placement = placement
        self._totals_at = totals_at
        self._answered_at: deque[float] = deque(maxlen=MAX_ANSWERS_PER_S)

    def on_call(self, call: PlacementCall) -> None:
        """Answer with the explanation as a JSON object, or with an error."""
        try:
            self._check_rate()
            data = self._explain(parse_placement_query(call.query), call.key)
        except RouterError as exc:
            call.reply.error(exc)
            return
        call.reply.json(200, data, (("Cache-Control", "no-store"),))

    def _check_rate(self) -> None:
        now, answered_at = self._timers.now, self._answered_at
        if len(answered_at) == MAX_ANSWERS_PER_S:
            wait_s = answered_at[0] + RATE_WINDOW_S - now
            if wait_s > 0:
                text = f"at most {MAX_ANSWERS_PER_S} explanations a second"
                kind = ErrorKind.QUEUE_FULL
                raise RouterError(kind, text, retry_after_s=wait_s)
        answered_at.append(now)

    def _explain(self, query: PlacementQuery, key: str) -> dict[str, Any]:
        if not self._admission.routing.version:
            raise RouterError(ErrorKind.NOT_CONFIGURED, "no configuration yet")
        route = self._route(query)
        service = _service(route, query)
        account = self._account(route, query, key)
        now = self._timers.now
        job = self._job(now, query, route, account)
        placer = self._placement.placer_for(now, service, job)
        is_engine = self._dispatcher.service(service).is_engine
        explanation = explain_placement(
            self._dispatcher.preview(now, service),
            job,
            self._placement.owner_of if is_engine else lambda _endpoint: "",
        )
        totals_at = self._totals_at()
        data = {
            "host": self._host,
            "route": route.name,
            "service": service,
            "account": account,
            "placer": placer or self._host,
            "decided_here": not placer,
            "load_report_age_s": now - totals_at if totals_at else None,
            **asdict(explanation),
        }
        return _rounded(data)

    def _route(self, query: PlacementQuery) -> Route:
        if not query.host:
            routes = self._admission.routing.routes
            found = (r for r in routes if _has_service(r, query.service))
            route = next(found, None)
            if route is None:
                raise bad_query("service: no route sends requests to it")
            return route
        try:
            return self._admission.find_route(query.host, query.path)
        except RouterError as exc:
            if exc.kind is ErrorKind.NOT_FOUND:
                raise bad_query("host, path: no such route") from None
            raise

    def _account(self, route: Route, query: PlacementQuery, key: str) -> str:
        routing = self._admission.routing
        if query.account:
            if key:
                raise bad_query("account: must not be given together with a key")
            if query.account not in routing.accounts.values():
                raise bad_query("account: unknown")
            return query.account
        try:
            return self._admission.find_account(route, key)
        except RouterError as exc:
            if exc.kind is ErrorKind.UNAUTHORIZED:
                text = "key: unknown" if key else "the route needs an account or a key"
                raise bad_query(text) from None
            raise

    def _job(
        self, now: float, query: PlacementQuery, route: Route, account: str
    ) -> Job:
        deadline = now + max(0.0, route.timeout_s - ANSWER_MARGIN_S)
        return Job(
            queued_request("", route, account, query.prompt, now, deadline),
            route.target_s,
            query.prompt,
            zone=query.zone,
            allowed_zones=self._admission.allowed_zones(route, account),
            version=query.version,
        )


def _has_service(route: Route, service: str) -> bool:
    return any(backend.service == service for backend in route.backends)


def _service(route: Route, query: PlacementQuery) -> str:
    if query.service:
        if not _has_service(route, query.service):
            raise bad_query("service: not one of the route")
        return query.service
    # A request picks one of several at random, by weight.
    return max(route.backends, key=lambda backend: backend.weight).service


def _rounded(value: Any) -> Any:
    """Return a JSON value with its numbers rounded."""
    match value:
        case float():
            return round(value, SECONDS_DIGITS)
        case dict():
            return {name: _rounded(item) for name, item in value.items()}
        case list() | tuple():
            return [_rounded(item) for item in value]
    return value
