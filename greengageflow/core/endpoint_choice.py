"""Endpoint selection by load, prefix cache, health and zone."""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field
from math import inf

from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt
from greengageflow.core.prompt_places import PromptPlaces, home_of

FAILURE_PENALTY_S = 1.0
CROSS_ZONE_PENALTY_S = 0.04
"""Extra wait, in seconds, that is accepted to stay within the zone.

The bytes of a request in another zone cross zones twice.
"""
FETCH_COST_FRACTION = 0.3
"""Engine time for a fetched token, relative to a token that is read."""
COPY_COST_FRACTION = 0.3
"""Cost of a copied token to other requests, relative to a token that is read.

It accounts for memory and link use. If copies are too cheap they evict each other from
memory.
"""
PLAIN_REQUESTS_PER_SLOT = 3.0
PLAIN_CROSS_ZONE_PENALTY = 0.3
PLAIN_FAILURE_PENALTY = 8.0
HOME_BONUS_S = 0.05
"""Preference for a part's home endpoint, in seconds of wait.

It makes hosts that choose independently agree on an endpoint.
"""
MAX_FILL_FRACTION = 0.92
NEGLIGIBLE_WAIT_S = 0.05
"""Seconds of wait that count as zero: one or two steps of an engine."""
MAX_RELIABLE_READING_RATIO = 1.5
"""Maximum tokens to read, relative to a prompt's own tokens, for a rate sample.

It is not known whether an engine keeps shared parts that were not sent to it recently.
After a restart of all hosts it does, and such samples would make engines seem faster
than they are.
"""


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint selected for a request.

    Args:
        endpoint: The endpoint.
        reading: Expected number of prompt tokens that it has to read.
        wait_s: Predicted time to the first event, in seconds.
        fetch_from: Engine from which missing shared parts are fetched, or None.
        sure: The number of tokens to read is reliable.
    """

    endpoint: ListedEndpoint
    reading: float = 0.0
    wait_s: float = 0.0
    fetch_from: ListedEndpoint | None = None
    sure: bool = True


class EndpointChooser:
    """Chooses endpoints by predicted wait, with a preference for cached prompt parts.

    Args:
        loads: Returns the load of an endpoint.
        health: Recent failures of the endpoints.
        places: Locations of cached prompt parts.
        zone: Availability zone of this host.
    """

    def __init__(
        self,
        loads: Callable[[ListedEndpoint], EndpointLoad],
        health: EndpointHealth,
        places: PromptPlaces,
        zone: str,
    ) -> None:
        self._loads = loads
        self._health = health
        self._places = places
        self._zone = zone

    def look(self, now: float, endpoints: Sequence[ListedEndpoint]) -> "Candidates":
        """Return the candidates that all queued requests can choose from.

        The queue is scanned at each event. Checking all engines again for the first
        request of each account would take most of a placer's time while they are full.
        """
        room = [
            e for e in endpoints if self._loads(e).has_slot(PLAIN_REQUESTS_PER_SLOT)
        ]
        awake = [e for e in room if not self._health.rests(now, e.id)]
        loads = [(endpoint, self._loads(endpoint)) for endpoint in awake]
        return Candidates(
            endpoints=endpoints,
            room=room,
            engines=[_CandidateEngine(e, load, load.ahead_s(now)) for e, load in loads],
        )

    def choose(
        self,
        now: float,
        look: "Candidates",
        prompt: Prompt | None,
        *,
        patience_s: float,
        first_by_s: float = inf,
        transfers: bool,
        fill: float = MAX_FILL_FRACTION,
        avoid: Container[str] = (),
        zone: str = "",
    ) -> Choice | None:
        """Return the best endpoint, or None if none has capacity in time.

        Args:
            now: The time.
            look: Candidates as of ``now``.
            prompt: Prompt, for a model engine.
            patience_s: Maximum wait until the endpoint begins, in seconds.
            first_by_s: Seconds from now by which the first event should come. An
                endpoint that begins within ``NEGLIGIBLE_WAIT_S`` is accepted anyway,
                since no other could begin sooner.
            transfers: Engines can fetch prompt parts from each other.
            fill: Fraction of an engine's slots that may be used.
            avoid: Ids of endpoints that must not be chosen; parts may still be fetched
                from them.
            zone: Availability zone of the host that sends the request; empty for this
                host's.
        """
        zone = zone or self._zone
        if prompt is None:
            awake = [one.endpoint for one in look.engines]
            found = [e for e in awake or look.room if e.id not in avoid]
            return self._plain(found, fill, zone)
        longest_s = max(NEGLIGIBLE_WAIT_S, min(patience_s, first_by_s))
        able = [
            one
            for one in look.engines
            if one.ahead_s <= longest_s
            and one.endpoint.id not in avoid
            and one.load.fits(prompt.tokens_in, fill)
        ]
        if not able:
            return None
        kept = self._kept(now, prompt, look.endpoints)
        is_kept = 0 < prompt.shared_tokens == kept.most
        home = None if is_kept else home_of(prompt.affinity, look.endpoints)
        best: Choice | None = None
        best_s = inf
        for one in able:
            plan = _estimate_cost(one, kept, prompt, transfers)
            latest_s = max(NEGLIGIBLE_WAIT_S, first_by_s - plan.first_s)
            if one.ahead_s > latest_s:
                continue
            # Reading or copying parts that another engine keeps delays later requests
            # as much as waiting does, so it counts towards the maximum wait.
            if one.ahead_s + plan.again_s > max(NEGLIGIBLE_WAIT_S, patience_s):
                continue
            wait_s = one.ahead_s + plan.first_s
            cost_s = self._cost_s(one, wait_s, zone) + plan.again_s
            if home is not None and one.endpoint.id == home.id:
                cost_s -= HOME_BONUS_S
            if cost_s < best_s:
                best_s = cost_s
                best = Choice(
                    one.endpoint, plan.reading, wait_s, plan.source, plan.sure
                )
        return best

    def _kept(
        self, now: float, prompt: Prompt, endpoints: Sequence[ListedEndpoint]
    ) -> "_CachedPrefixes":
        kept = _CachedPrefixes()
        if not prompt.shared_tokens:
            return kept
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        depth = 0
        for part in prompt.parts[:-1]:
            depth += part.tokens
            for holder in self._places.holders(now, part.id):
                found = by_id.get(holder.endpoint)
                if found is None or self._health.rests(now, found.id):
                    continue
                kept.tokens[found.id] = kept.most = depth
                if holder.has_read and depth > kept.source_tokens:
                    kept.source, kept.source_tokens = found, depth
        return kept

    def _plain(
        self, endpoints: Sequence[ListedEndpoint], fill: float, zone: str
    ) -> Choice | None:
        """Return the least loaded endpoint of a plain service."""
        best: ListedEndpoint | None = None
        best_cost = float("inf")
        for endpoint in endpoints:
            load = self._loads(endpoint)
            # Beyond this an endpoint's own queue is full, and it rejects requests;
            # retries of these would use up the retry budget.
            if load.running >= PLAIN_REQUESTS_PER_SLOT * fill * load.slots:
                continue
            away = PLAIN_CROSS_ZONE_PENALTY if endpoint.zone != zone else 0.0
            failing = PLAIN_FAILURE_PENALTY * self._health.failing(endpoint.id)
            cost = load.running + away + failing
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return Choice(best) if best else None

    def _cost_s(self, one: "_CandidateEngine", wait_s: float, zone: str) -> float:
        endpoint, load = one.endpoint, one.load
        cost_s = wait_s + FAILURE_PENALTY_S * self._health.failing(endpoint.id)
        cost_s += 0.1 * load.running / load.slots
        return cost_s + (CROSS_ZONE_PENALTY_S if endpoint.zone != zone else 0.0)


@dataclass(frozen=True, slots=True)
class _CandidateEngine:
    endpoint: ListedEndpoint
    load: EndpointLoad
    ahead_s: float


@dataclass(frozen=True, slots=True)
class Candidates:
    """Candidate endpoints at one moment.

    Args:
        endpoints: All endpoints of the service; any may keep prompt parts.
        room: Endpoints with a free slot.
        engines: Endpoints with a free slot that are not suspended, with their waits.
    """

    endpoints: Sequence[ListedEndpoint]
    room: Sequence[ListedEndpoint]
    engines: "Sequence[_CandidateEngine]"


@dataclass(frozen=True, slots=True)
class _CostEstimate:
    """Predicted cost of a request at one engine.

    Args:
        reading: Tokens to read.
        first_s: Seconds from the begin of reading to the first event.
        again_s: Seconds spent on parts that another engine already keeps.
        source: Engine from which shared parts are fetched, or None.
        sure: The number of tokens to read is reliable.
    """

    reading: float
    first_s: float
    again_s: float
    source: ListedEndpoint | None
    sure: bool


@dataclass(slots=True)
class _CachedPrefixes:
    """Cached shared parts of a prompt, by engine.

    An engine that was sent parts just now will keep them when a new request gets its
    turn, but other engines can't fetch them until they have been read.

    Args:
        tokens: Length of the cached prefix, in tokens, by engine id.
        most: Longest cached prefix.
        source: Engine that has read the longest prefix, the most recently used one of
            several, or None.
        source_tokens: Length of the prefix that ``source`` has read.
    """

    tokens: dict[str, int] = field(default_factory=dict)
    most: int = 0
    source: ListedEndpoint | None = None
    source_tokens: int = 0


def _estimate_cost(
    one: _CandidateEngine, kept: _CachedPrefixes, prompt: Prompt, transfers: bool
) -> _CostEstimate:
    here = kept.tokens.get(one.endpoint.id, 0)
    fetched = kept.source_tokens - here if transfers else 0
    model = one.load.model
    if fetched > 0:
        reading = prompt.tokens_in - kept.source_tokens + FETCH_COST_FRACTION * fetched
        again = kept.most - kept.source_tokens + COPY_COST_FRACTION * fetched
        first_s = model.first_event_s(reading)
        return _CostEstimate(reading, first_s, again / model.rate, kept.source, False)
    reading = float(prompt.tokens_in - here)
    again = max(0, kept.most - here)
    sure = reading <= MAX_RELIABLE_READING_RATIO * (
        prompt.tokens_in - prompt.shared_tokens
    )
    first_s = model.first_event_s(reading)
    return _CostEstimate(reading, first_s, again / model.rate, None, sure)
