"""Polls owned endpoints for their load and whether they are leaving."""

from collections.abc import Callable
from dataclasses import dataclass

from greengageflow.core.catalog import Endpoint, FleetConfig, PoolKind
from greengageflow.core.leaving import LeavingReportFilter
from greengageflow.core.owner import EndpointOwner
from greengageflow.net.http_pool import Failure, HttpPool, HttpRequest, Response
from greengageflow.net.timers import Timers

INTERVAL_S = 1.0
TIMEOUT_S = 1.0
MOST_LATE = 10
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
        left: Returns the newest generation of an endpoint that has left, or 0.
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
        left: Callable[[str], int],
        on_leaving: Callable[[str, str], None],
        *,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._owner = owner
        self._owns = owns
        self._left = left
        self._reports = LeavingReportFilter(MOST_LATE)
        self._on_leaving = on_leaving
        self._interval_s = interval_s
        self._cfg = FleetConfig()

    def start(self) -> None:
        """Begin to poll."""
        self._timers.every(self._interval_s, self._round)

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a new configuration."""
        self._cfg = cfg

    def _on_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        says = report.leaving or report.running is not None
        if says and self._is_sign(endpoint, report.leaving):
            self._on_leaving(endpoint.name, "endpoint")
        if report.running is not None:
            self._owner.on_load(self._timers.now, endpoint.name, report.running)

    def _is_sign(self, asked: Endpoint, leaving: bool) -> bool:
        present = self._cfg.endpoints.get(asked.name)
        if present is None or present.generation != asked.generation:
            return False
        return self._reports.accept(present, self._left(asked.name), leaving=leaving)

    def _round(self) -> None:
        for name, endpoint in self._cfg.endpoints.items():
            if self._speaks_load(endpoint) and self._owns(name):
                self._ask(endpoint)

    def _speaks_load(self, endpoint: Endpoint) -> bool:
        pool = self._cfg.pools.get(endpoint.pool)
        return pool is not None and pool.kind is PoolKind.MODEL

    def _ask(self, endpoint: Endpoint) -> None:
        def done(answer: Response | Failure) -> None:
            if isinstance(answer, Response):
                self._on_report(endpoint, _report_of(answer))

        req = HttpRequest(
            "GET",
            endpoint.host,
            endpoint.port,
            "/load",
            connect_timeout_s=TIMEOUT_S,
            idle_timeout_s=TIMEOUT_S,
        )
        self._pool.fetch(req, done)


def _report_of(answer: Response) -> LoadReport:
    try:
        document = answer.json()
    except ValueError:
        return LoadReport()
    match document:
        case {"running": int(running)}:
            return LoadReport(running, document.get("leaving") is True)
        case {"leaving": True}:
            return LoadReport(leaving=True)
    return LoadReport()
