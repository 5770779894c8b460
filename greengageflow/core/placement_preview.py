"""Copy of the state by which a host decides on the requests of one service."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from greengageflow.core.endpoint_choice import Candidates, Choice, EndpointChooser
from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt
from greengageflow.core.service_scheduler import ServiceScheduler
from greengageflow.core.warmup import WarmupLimiter


@dataclass(frozen=True, slots=True)
class ChoiceQuery:
    """Arguments of one call of ``EndpointChooser.choose``.

    Args:
        candidates: Endpoints to choose from.
        prompt: Prompt, for a model engine.
        limits: Keyword arguments.
    """

    candidates: Candidates
    prompt: Prompt | None
    limits: dict[str, Any]


class RecordingChooser(EndpointChooser):
    """Chooser for one request that keeps the arguments of its last choice.

    Attributes:
        last_query: The arguments, or None if there was no choice.
    """

    last_query: ChoiceQuery | None = None
    _cached_prefixes: Any = None

    def choose(
        self, now: float, candidates: Candidates, prompt: Prompt | None, **limits: Any
    ) -> Choice | None:
        """Return the best endpoint; see ``EndpointChooser.choose``."""
        self.last_query = ChoiceQuery(candidates, prompt, limits)
        return super().choose(now, candidates, prompt, **limits)

    def _find_cached(self, now: float, prompt: Prompt, candidates: Candidates) -> Any:
        # It is the same for all choices of a request. Found anew for each of 140
        # engines it took most of an explanation's time.
        if self._cached_prefixes is None:
            self._cached_prefixes = super()._find_cached(now, prompt, candidates)
        return self._cached_prefixes


@dataclass(frozen=True, slots=True)
class PlacementPreview:
    """What decides on a service's requests at one moment; valid until the next event.

    Args:
        now: The time.
        listed: All listed endpoints of the service.
        assigned: Ids of those that this host may choose.
        load: Returns a copy of an endpoint's load.
        chooser: Chooses by copies of the loads and of the work model.
        scheduler: Scheduler without queued requests, used for one decision.
        current: The service's scheduler, or None before its first request; read only.
        endpoints: Listed endpoints; read only.
        health: Recent failures of the endpoints; read only.
        warmup: Limits the requests that cold endpoints get; read only.
    """

    now: float
    listed: Sequence[ListedEndpoint]
    assigned: frozenset[str]
    load: Callable[[ListedEndpoint], EndpointLoad]
    chooser: RecordingChooser
    scheduler: ServiceScheduler
    current: ServiceScheduler | None
    endpoints: EndpointList
    health: EndpointHealth
    warmup: WarmupLimiter
