"""Detection of leaving endpoints, and notices about them among routers."""

from collections.abc import Iterable, Iterator
from math import inf

from greengageflow.core.catalog import Endpoint, FleetConfig
from greengageflow.core.effects import Send
from greengageflow.core.messages import LeavingNotice, PeerId
from greengageflow.core.placement import FleetView


class LeavingReportFilter:
    """Filters out outdated leaving reports of a source that lags.

    Such a source may keep reporting an endpoint as leaving after the endpoint was
    replaced by a new generation. Applied to the new generation, the report would stay
    in effect, and the endpoint would get no work. So once an earlier generation has
    left, a report counts only if the source has also reported the endpoint as staying
    in its current generation, or has reported it as leaving more times in a row than
    its lag can explain.

    Args:
        max_outdated_reports: Consecutive leaving reports that the lag can explain.
    """

    def __init__(self, max_outdated_reports: float = inf) -> None:
        self._max_outdated_reports = max_outdated_reports
        self._leaving_counts: dict[str, tuple[int, int]] = {}
        self._staying_generations: dict[str, int] = {}

    def accept(self, endpoint: Endpoint, newest_left: int, *, leaving: bool) -> bool:
        """Handle one report; return whether the current generation is leaving.

        Args:
            endpoint: The endpoint as configured when the source was queried.
            newest_left: Newest generation of it that is known to have left, or 0.
            leaving: Whether the source reports it as leaving.
        """
        name, generation = endpoint.name, endpoint.generation
        if not leaving:
            self._staying_generations[name] = generation
            self._leaving_counts.pop(name, None)
            return False
        if not newest_left or self._staying_generations.get(name) == generation:
            return True
        counted_generation, count = self._leaving_counts.get(name, (generation, 0))
        count = count + 1 if counted_generation == generation else 1
        self._leaving_counts[name] = generation, count
        return count > self._max_outdated_reports


class LeavingEndpoints:
    """Records which endpoints are leaving, and notifies the other routers.

    Any router may notice first: in a large fleet the host list is read so rarely that
    the owner of the endpoint may read it a minute later than another router. Every
    router keeps all records, so that a later owner of the endpoint has them too, even
    if the platform no longer reports the endpoint as leaving.

    Args:
        own: This router.
    """

    def __init__(self, own: PeerId) -> None:
        self._own = own
        self._cfg = FleetConfig()
        self._view: FleetView | None = None
        self._left_generations: dict[str, int] = {}

    @property
    def left_generations(self) -> dict[str, int]:
        """Newest generation that has left, by endpoint."""
        return dict(self._left_generations)

    def left_generation(self, endpoint: str) -> int:
        """Return the newest generation of an endpoint that has left, or 0."""
        return self._left_generations.get(endpoint, 0)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the endpoint is leaving and must get no new work."""
        configured = self._cfg.endpoints.get(endpoint)
        return (
            configured is not None
            and self.left_generation(endpoint) >= configured.generation
        )

    def record(self, endpoint: str) -> Iterator[Send]:
        """Record that the current generation of an endpoint leaves; notify others."""
        configured = self._cfg.endpoints.get(endpoint)
        if configured is None or self.is_leaving(endpoint):
            return
        self._left_generations[endpoint] = configured.generation
        if self._view is not None:
            yield from self._notify(self._view.live.keys(), (endpoint,))

    def receive(self, notice: LeavingNotice) -> None:
        """Handle a notice from another router."""
        previous = self.left_generation(notice.endpoint)
        self._left_generations[notice.endpoint] = max(previous, notice.generation)

    def on_config(self, cfg: FleetConfig) -> None:
        """Apply a configuration, with the endpoints that it marks as leaving."""
        self._cfg = cfg
        for endpoint in cfg.endpoints.values():
            if endpoint.leaving:
                self.receive(LeavingNotice(endpoint.name, endpoint.generation))

    def on_view(self, view: FleetView) -> Iterator[Send]:
        """Notify routers that joined or restarted of the endpoints that left before."""
        before, self._view = self._view, view
        if before is None:
            return
        joined = [
            host
            for host, member in view.live.items()
            if not before.is_live(PeerId(host, member.boot))
        ]
        if joined:
            owned = [
                name
                for name in self._left_generations
                if self._announces(name, before, view)
            ]
            yield from self._notify(joined, owned)

    def _announces(self, endpoint: str, before: FleetView, view: FleetView) -> bool:
        # A router that just joined may own the endpoint now, so its previous owner
        # sends a notice too. Notices from all other routers would be redundant.
        return self._own.host in (before.owner_of(endpoint), view.owner_of(endpoint))

    def _notify(self, hosts: Iterable[str], endpoints: Iterable[str]) -> Iterator[Send]:
        for endpoint in endpoints:
            notice = LeavingNotice(endpoint, self._left_generations[endpoint])
            for host in sorted(hosts):
                if host != self._own.host:
                    yield Send(host, notice)
