"""Selection of the placer that is asked for a request."""

from collections import defaultdict
from collections.abc import Sequence

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.placers import PlacerTable
from greengageflow.core.prompt_places import home_of
from greengageflow.core.router_table import Hello
from greengageflow.core.second_placer import Redirect, choose_second_placer
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Job, RefuseJob
from greengageflow.daemon.pending_placements import PendingPlacement
from greengageflow.errors import ErrorKind


class PlacerSelection:
    """Selects the placer of a request, and a second one if the first rejects it.

    Args:
        own: This host.
        dispatcher: Knows the endpoints and their loads.
        table: The placers.
    """

    def __init__(
        self, own: Hello, dispatcher: ServiceDispatcher, table: PlacerTable
    ) -> None:
        self._host = own.host
        self._boot = own.boot
        self._dispatcher = dispatcher
        self._table = table

    def first(self, now: float, service: str, job: Job) -> str:
        """Return the host that would place a request; empty if this one would."""
        if job.prompt is None:
            return ""
        home = home_of(job.prompt.affinity, self._usable(now, service, job))
        placer = self._table.owner(home.id) if home else ""
        return placer if self._table.is_available(now, placer) else ""

    def _usable(self, now: float, service: str, job: Job) -> Sequence[ListedEndpoint]:
        zones = job.allowed_zones
        endpoints = self._dispatcher.available_endpoints(now, service)
        if zones is not None:
            endpoints = [e for e in endpoints if e.zone in zones]
        if job.version:
            endpoints = [e for e in endpoints if e.version == job.version]
        return endpoints

    def may_redirect(self, job: Job) -> bool:
        """Whether a second placer may be asked for a request."""
        return self._dispatcher.work.enabled and job.prompt is not None

    def second(
        self, now: float, pending: PendingPlacement, refusal: RefuseJob
    ) -> Redirect | None:
        """Return the second placer to ask for a rejected request, or None.

        Args:
            now: The time.
            pending: The request, as the first placer was asked for it.
            refusal: The first placer's rejection.
        """
        queued_request = pending.job.queued_request
        left_s = queued_request.expires_at - now
        is_final = refusal.kind is not ErrorKind.QUEUE_FULL or left_s <= 0
        if is_final or not self.may_redirect(pending.job):
            return None
        engines = self._engines_by_placer(now, pending)
        candidates = (
            host
            for host in engines
            if host != pending.placer and self._table.is_available(now, host)
        )
        # Each process numbers its requests from 1. Without the host, the requests of
        # all hosts with the same number would have the same choice.
        key = f"{self._host} {self._boot} {queued_request.id}"
        second = choose_second_placer(
            key,
            candidates,
            lambda host: sum(map(self._dispatcher.free_slots, engines[host])),
        )
        if second is None:
            return None
        return Redirect(pending.placer, second, refusal, now, left_s)

    def _engines_by_placer(
        self, now: float, pending: PendingPlacement
    ) -> dict[str, list[ListedEndpoint]]:
        """Return the engines that a request may use, by placer."""
        avoid = {
            *pending.job.avoid,
            *self._dispatcher.unavailable_endpoints(now, pending.service),
        }
        found: defaultdict[str, list[ListedEndpoint]] = defaultdict(list)
        for endpoint in self._usable(now, pending.service, pending.job):
            if endpoint.id not in avoid:
                found[self._table.owner(endpoint.id)].append(endpoint)
        return found
