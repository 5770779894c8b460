"""Asks owned endpoints what they run and whether they are leaving."""

from collections.abc import Callable
from dataclasses import dataclass

from greengageflow.catalog import Endpoint, FleetConfig, PoolKind
from greengageflow.events import Event, log
from greengageflow.http_pool import Failure, HttpPool, HttpRequest, Response
from greengageflow.owner import EndpointOwner
from greengageflow.timers import Timers

INTERVAL_S = 1.0
TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says of itself.

    Args:
        running: Requests that it runs; None when it does not say.
        leaving: True when it wants no new work.
    """

    running: int | None = None
    leaving: bool = False


class EndpointWatch:
    """Polls ``GET /load`` of the model endpoints that this router owns.

    Args:
        pool: Outbound connections.
        timers: Timer service.
        owner: Gets the signs.
        owns: Returns whether this router owns an endpoint.
        interval_s: Seconds between two rounds.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        owner: EndpointOwner,
        owns: Callable[[str], bool],
        *,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._owner = owner
        self._owns = owns
        self._left: dict[str, int] = {}
        self._interval_s = interval_s
        self._cfg = FleetConfig()

    def start(self) -> None:
        """Begin to ask."""
        self._timers.every(self._interval_s, self._round)

    def on_config(self, cfg: FleetConfig) -> None:
        """Take over a configuration."""
        self._cfg = cfg

    def on_leaving(self, name: str, source: str) -> None:
        """Take a sign that an endpoint is leaving; it stays so for its generation."""
        endpoint = self._cfg.endpoints.get(name)
        if endpoint is None:
            return
        generation = endpoint.generation
        self._owner.mark_leaving(name, generation)
        if self._left.get(name, 0) < generation:
            self._left[name] = generation
            log(Event.ENDPOINT_LEAVING, endpoint=name, source=source)

    def _on_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        if report.leaving:
            self.on_leaving(endpoint.name, "endpoint")
        if report.running is not None:
            self._owner.on_load(self._timers.now, endpoint.name, report.running)

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
