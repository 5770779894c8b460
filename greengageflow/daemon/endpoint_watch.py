"""Polls owned endpoints for their load and whether they are leaving."""

from collections.abc import Callable
from dataclasses import dataclass

from greengageflow.core.catalog import Endpoint, FleetConfig, PoolKind
from greengageflow.core.leaving import LeavingReportFilter
from greengageflow.core.owner import EndpointOwner
from greengageflow.net.http_pool import Failure, HttpPool, HttpRequest, Response
from greengageflow.net.timers import Timers

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
MAX_STALE_REPORTS = 10
"""Maximum number of consecutive reports that may be from the previous generation."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an endpoint.

    Args:
        running: Number of running requests; None if not reported.
        leaving: Whether the endpoint wants no new work.
    """

    running: int | None = None
    leaving: bool = False


class EndpointWatch:
    """Polls ``GET /load`` of the model endpoints that this router owns.

    Args:
        pool: Outbound connections.
        timers: Timer service.
        owner: Gets the number of running requests.
        owns: Returns whether this router owns an endpoint.
        left_generation: Returns the newest generation of an endpoint that has left,
            or 0.
        on_leaving: Called with the name of an endpoint that reports that it is
            leaving, and the source of the report.
        interval_s: Polling interval, in seconds.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        owner: EndpointOwner,
        owns: Callable[[str], bool],
        left_generation: Callable[[str], int],
        on_leaving: Callable[[str, str], None],
        *,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._owner = owner
        self._owns = owns
        self._left_generation = left_generation
        self._report_filter = LeavingReportFilter(MAX_STALE_REPORTS)
        self._on_leaving = on_leaving
        self._interval_s = interval_s
        self._cfg = FleetConfig()

    def start(self) -> None:
        """Begin to poll."""
        self._timers.every(self._interval_s, self._poll)

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg

    def _on_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        has_state = report.leaving or report.running is not None
        if has_state and self._is_leaving_signal(endpoint, report.leaving):
            self._on_leaving(endpoint.name, "endpoint")
        if report.running is not None:
            self._owner.on_load(self._timers.now, endpoint.name, report.running)

    def _is_leaving_signal(self, polled: Endpoint, leaving: bool) -> bool:
        current = self._cfg.endpoints.get(polled.name)
        if current is None or current.generation != polled.generation:
            return False
        return self._report_filter.accept(
            current, self._left_generation(polled.name), leaving=leaving
        )

    def _poll(self) -> None:
        for name, endpoint in self._cfg.endpoints.items():
            if self._reports_load(endpoint) and self._owns(name):
                self._fetch_load(endpoint)

    def _reports_load(self, endpoint: Endpoint) -> bool:
        pool = self._cfg.pools.get(endpoint.pool)
        return pool is not None and pool.kind is PoolKind.MODEL

    def _fetch_load(self, endpoint: Endpoint) -> None:
        def on_response(response: Response | Failure) -> None:
            if isinstance(response, Response):
                self._on_report(endpoint, _parse_report(response))

        request = HttpRequest(
            "GET",
            endpoint.host,
            endpoint.port,
            "/load",
            connect_timeout_s=POLL_TIMEOUT_S,
            idle_timeout_s=POLL_TIMEOUT_S,
        )
        self._pool.fetch(request, on_response)


def _parse_report(response: Response) -> LoadReport:
    try:
        document = response.json()
    except ValueError:
        return LoadReport()
    match document:
        case {"running": int(running)}:
            return LoadReport(running, document.get("leaving") is True)
        case {"leaving": True}:
            return LoadReport(leaving=True)
    return LoadReport()
