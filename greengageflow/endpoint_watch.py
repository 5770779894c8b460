"""Asks owned endpoints for their load, to learn early that one is leaving."""

from collections.abc import Callable

from greengageflow.catalog import Endpoint, FleetConfig, PoolKind
from greengageflow.events import Event, log
from greengageflow.http_pool import Failure, HttpPool, HttpRequest, Response
from greengageflow.owner import EndpointOwner
from greengageflow.timers import Timers

INTERVAL_S = 1.0
TIMEOUT_S = 1.0


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

    def _round(self) -> None:
        for name, endpoint in self._cfg.endpoints.items():
            if self._speaks_load(endpoint) and self._owns(name):
                self._ask(endpoint)

    def _speaks_load(self, endpoint: Endpoint) -> bool:
        pool = self._cfg.pools.get(endpoint.pool)
        return pool is not None and pool.kind is PoolKind.MODEL

    def _ask(self, endpoint: Endpoint) -> None:
        def done(answer: Response | Failure) -> None:
            if isinstance(answer, Response) and _says_leaving(answer):
                self.on_leaving(endpoint.name, "endpoint")

        req = HttpRequest(
            "GET",
            endpoint.host,
            endpoint.port,
            "/load",
            connect_timeout_s=TIMEOUT_S,
            idle_timeout_s=TIMEOUT_S,
        )
        self._pool.fetch(req, done)


def _says_leaving(answer: Response) -> bool:
    try:
        report = answer.json()
    except ValueError:
        return False
    return isinstance(report, dict) and report.get("leaving") is True
