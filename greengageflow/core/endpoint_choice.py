"""Endpoint selection by load, prefix cache, health and zone."""

from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from greengageflow.core.decision_terms import DecisionTerms
from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt
from greengageflow.core.prompt_places import PromptPlaces, home_of
from greengageflow.core.work_estimates import WorkKey
from greengageflow.core.work_model import WorkModel

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
PLAIN_UNCERTAINTY = 0.5
"""Part of a running request that counts although a slot is free."""
HOME_BONUS_S = 0.05
"""Preference for a part's home endpoint, in seconds of wait.

It makes hosts that choose independently agree on an endpoint.
"""
MAX_REPORTED_AGE_S = 10.0
"""Maximum age of another placer's placement for fetching a part, in seconds.

Evictions are known for the engines only that this host places requests on.
"""
MAX_FILL_FRACTION = 0.92
NEGLIGIBLE_WAIT_S = 0.05
"""Seconds of wait that count as zero: one or two steps of an engine."""
DECODE_COST_FRACTION = 0.1
"""Cost of the time for which a request uses a slot, relative to a wait.

The caller sees its first event at the same time, but a slot of a slow engine is free
again later.
"""
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
        reliable: The number of tokens to read is reliable.
        key: Class by which the request's duration is predicted, or None if it is not.
        cost: Cost by which it was compared with the others, in seconds; for a plain
            service in mean requests of a slot.
        terms: Terms of the decision, if it depends on likely durations, or None.
    """

    endpoint: ListedEndpoint
    reading: float = 0.0
    wait_s: float = 0.0
    fetch_from: ListedEndpoint | None = None
    reliable: bool = True
    key: WorkKey | None = None
    cost: float = field(default=0.0, compare=False)
    terms: DecisionTerms | None = field(default=None, compare=False)


def _always(_now: float, _endpoint: ListedEndpoint) -> bool:
    return True


class EndpointChooser:
    """Chooses endpoints by predicted wait, with a preference for cached prompt parts.

    Args:
        loads: Returns the load of an endpoint.
        health: Recent failures of the endpoints.
        places: Locations of cached prompt parts.
        zone: Availability zone of this host.
        may_send: Returns whether an endpoint may get one more request now, which a
            cold one may not always.
        work: Predicts durations of requests at endpoints.
    """

    def __init__(
        self,
        loads: Callable[[ListedEndpoint], EndpointLoad],
        health: EndpointHealth,
        places: PromptPlaces,
        zone: str,
        may_send: Callable[[float, ListedEndpoint], bool] = _always,
        work: WorkModel | None = None,
    ) -> None:
        self._loads = loads
        self._health = health
        self._places = places
        self._zone = zone
        self._may_send = may_send
        self._work = work or WorkModel()

    def find_candidates(
        self,
        now: float,
        endpoints: Sequence[ListedEndpoint],
        sources: Sequence[ListedEndpoint] | None = None,
    ) -> "Candidates":
        """Return the candidates that all queued requests can choose from.

        The queue is scanned at each event. Checking all engines again for the first
        request of each account would take most of a placer's time while they are full.

        Args:
            now: The time.
            endpoints: Endpoints to choose from.
            sources: Endpoints from which prompt parts may be fetched; the same by
                default.
        """
        with_load = [
            (e, load)
            for e in endpoints
            if (load := self._loads(e)).has_slot(PLAIN_REQUESTS_PER_SLOT)
            and self._may_send(now, e)
        ]
        is_suspended = self._health.is_suspended
        by_id = {e.id: e for e in endpoints}
        return Candidates(
            endpoints=endpoints,
            placed=by_id.keys(),
            sources=by_id if sources is None else {e.id: e for e in sources} | by_id,
            with_free_slot=[e for e, _ in with_load],
            engines=[
                _CandidateEngine(
                    e, load, load.queue_wait_s(now), self._work.slowness(now, e)
                )
                for e, load in with_load
                if not is_suspended(now, e.id)
            ],
        )

    def choose(
        self,
        now: float,
        candidates: "Candidates",
        prompt: Prompt | None,
        *,
        max_wait_s: float,
        first_event_within_s: float = inf,
        transfers: bool,
        fill: float = MAX_FILL_FRACTION,
        avoid: Container[str] = (),
        zone: str = "",
        allowed_zones: Container[str] | None = None,
        key: WorkKey | None = None,
    ) -> Choice | None:
        """Return the best endpoint, or None if none has capacity in time.

        Args:
            now: The time.
            candidates: Endpoints to choose from, as of ``now``.
            prompt: Prompt, for a model engine.
            max_wait_s: Maximum wait until the endpoint begins, in seconds.
            first_event_within_s: Seconds from now by which the first event should come.
                An endpoint that begins within ``NEGLIGIBLE_WAIT_S`` is accepted anyway,
                since no other could begin sooner.
            transfers: Engines can fetch prompt parts from each other.
            fill: Fraction of an engine's slots that may be used.
            avoid: Ids of endpoints that must not be chosen; parts may still be fetched
                from them.
            zone: Availability zone of the host that sends the request; empty for this
                host's.
            allowed_zones: Zones whose endpoints may run the request, or None for all.
            key: Class by which its duration is predicted, or None if it is not.
        """
        zone = zone or self._zone
        if allowed_zones is not None:
            candidates = candidates.within(allowed_zones)
        if prompt is None:
            found = candidates.engines or [
                _CandidateEngine(e, self._loads(e), 0.0, self._work.slowness(now, e))
                for e in candidates.with_free_slot
            ]
            allowed = [c for c in found if c.endpoint.id not in avoid]
            return self._choose_plain(now, allowed, fill, zone, key)
        wait_limit_s = max(NEGLIGIBLE_WAIT_S, min(max_wait_s, first_event_within_s))
        eligible = [
            engine
            for engine in candidates.engines
            if engine.queue_wait_s <= wait_limit_s
            and engine.endpoint.id not in avoid
            and engine.load.fits(prompt.tokens_in, fill)
        ]
        if not eligible:
            return None
        cached = self._find_cached(now, prompt, candidates)
        is_cached = 0 < prompt.shared_tokens == cached.longest_tokens
        home = None if is_cached else home_of(prompt.affinity, candidates.endpoints)
        mean_s = self._mean_duration_s(now, key)
        decode_cost_s = DECODE_COST_FRACTION * mean_s
        best: _CandidateEngine | None = None
        best_estimate: _CostEstimate | None = None
        best_s = next_s = inf
        longest_s = max(NEGLIGIBLE_WAIT_S, max_wait_s)
        for engine in eligible:
            estimate = _estimate_cost(engine, cached, prompt, transfers)
            queue_wait_s = engine.queue_wait_s
            latest_s = first_event_within_s - estimate.first_s
            if queue_wait_s > latest_s and queue_wait_s > NEGLIGIBLE_WAIT_S:
                continue
            # Reading or copying parts that another engine keeps delays later requests
            # as much as waiting does, so it counts towards the maximum wait.
            if queue_wait_s + estimate.duplicate_s > longest_s:
                continue
            wait_s = queue_wait_s + estimate.first_s
            cost_s = self._cost_s(engine, wait_s, zone) + estimate.duplicate_s
            cost_s += decode_cost_s * engine.slowness
            if home is not None and engine.endpoint.id == home.id:
                cost_s -= HOME_BONUS_S
            if cost_s < best_s:
                next_s, best_s = best_s, cost_s
                best, best_estimate = engine, estimate
            elif cost_s < next_s:
                next_s = cost_s
        if best is None or best_estimate is None:
            return None
        cached_tokens = cached.tokens.get(best.endpoint.id, 0)
        terms = _terms(key, best, best.queue_wait_s, mean_s, cached_tokens, next_s)
        return Choice(
            best.endpoint,
            best_estimate.reading,
            best.queue_wait_s + best_estimate.first_s,
            best_estimate.source,
            best_estimate.reliable,
            key,
            best_s,
            terms,
        )

    def cached_tokens(
        self, now: float, prompt: Prompt, candidates: "Candidates"
    ) -> Mapping[str, int]:
        """Return the length of the cached prefix of a prompt, by engine id."""
        return self._find_cached(now, prompt, candidates).tokens

    def slowness(self, now: float, endpoint: ListedEndpoint) -> float:
        """Return an endpoint's slowness: 2 if it takes twice as long as the others."""
        return self._work.slowness(now, endpoint)

    def work_left(
        self, now: float, endpoint: ListedEndpoint, key: WorkKey | None
    ) -> float:
        """Return the work until a new request has ended at a plain endpoint.

        The unit is mean requests of a slot; without an estimate of their duration it is
        the number of running requests.
        """
        mean_s = self._mean_duration_s(now, key)
        load, slowness = self._loads(endpoint), self._work.slowness(now, endpoint)
        wait_s = self._work.slot_wait_s(now, endpoint, load, mean_s) if mean_s else 0.0
        return _work_left(load, slowness, wait_s, mean_s)

    def _mean_duration_s(self, now: float, key: WorkKey | None) -> float:
        estimate = self._work.estimate(now, key) if key is not None else None
        return estimate.mean if estimate is not None else 0.0

    def _find_cached(
        self, now: float, prompt: Prompt, candidates: "Candidates"
    ) -> "_CachedPrefixes":
        cached = _CachedPrefixes()
        if not prompt.shared_tokens:
            return cached
        depth = 0
        for part in prompt.parts[:-1]:
            depth += part.tokens
            for holder in self._places.holders(now, part.id):
                found = candidates.sources.get(holder.endpoint)
                if found is None or self._health.is_suspended(now, found.id):
                    continue
                is_placed_here = found.id in candidates.placed
                if not is_placed_here and holder.age_s > MAX_REPORTED_AGE_S:
                    continue
                cached.tokens[found.id] = cached.longest_tokens = depth
                if holder.has_read and depth > cached.source_tokens:
                    cached.source, cached.source_tokens = found, depth
        return cached

    def _choose_plain(
        self,
        now: float,
        candidates: "Sequence[_CandidateEngine]",
        fill: float,
        zone: str,
        key: WorkKey | None,
    ) -> Choice | None:
        """Return the endpoint of a plain service with the least work left."""
        best: _CandidateEngine | None = None
        best_cost = next_cost = inf
        best_wait_s = 0.0
        mean_s = self._mean_duration_s(now, key)
        for candidate in candidates:
            endpoint, load = candidate.endpoint, candidate.load
            # Beyond this an endpoint's own queue is full, and it rejects requests;
            # retries of these would use up the retry budget.
            if load.running >= PLAIN_REQUESTS_PER_SLOT * fill * load.slots:
                continue
            cross_zone = PLAIN_CROSS_ZONE_PENALTY if endpoint.zone != zone else 0.0
            failure_cost = PLAIN_FAILURE_PENALTY * self._health.failure_rate(
                endpoint.id
            )
            wait_s = 0.0
            if mean_s:
                wait_s = self._work.slot_wait_s(now, endpoint, load, mean_s)
            work_left = _work_left(load, candidate.slowness, wait_s, mean_s)
            cost = work_left + cross_zone + failure_cost
            if cost < best_cost:
                next_cost, best_cost = best_cost, cost
                best, best_wait_s = candidate, wait_s
            elif cost < next_cost:
                next_cost = cost
        if best is None:
            return None
        terms = _terms(key, best, best_wait_s, mean_s, 0, next_cost)
        return Choice(best.endpoint, key=key, cost=best_cost, terms=terms)

    def _cost_s(self, engine: "_CandidateEngine", wait_s: float, zone: str) -> float:
        endpoint, load = engine.endpoint, engine.load
        cost_s = wait_s + FAILURE_PENALTY_S * self._health.failure_rate(endpoint.id)
        cost_s += 0.1 * load.running / load.slots
        return cost_s + (CROSS_ZONE_PENALTY_S if endpoint.zone != zone else 0.0)


class _CandidateEngine(NamedTuple):
    """An endpoint with its load; a named tuple, since each decision creates many."""

    endpoint: ListedEndpoint
    load: EndpointLoad
    queue_wait_s: float
    slowness: float


@dataclass(frozen=True, slots=True)
class Candidates:
    """Candidate endpoints at one moment.

    Args:
        endpoints: All endpoints that this host chooses from.
        placed: Their ids.
        sources: Endpoints that may keep prompt parts, by id.
        with_free_slot: Endpoints with a free slot.
        engines: Endpoints with a free slot that are not suspended, with their waits.
    """

    endpoints: Sequence[ListedEndpoint]
    placed: Container[str]
    sources: Mapping[str, ListedEndpoint]
    with_free_slot: Sequence[ListedEndpoint]
    engines: "Sequence[_CandidateEngine]"

    def within(self, zones: Container[str]) -> "Candidates":
        """Return the candidates in some availability zones."""
        return Candidates(
            endpoints=[e for e in self.endpoints if e.zone in zones],
            placed=self.placed,
            sources={i: e for i, e in self.sources.items() if e.zone in zones},
            with_free_slot=[e for e in self.with_free_slot if e.zone in zones],
            engines=[c for c in self.engines if c.endpoint.zone in zones],
        )


class _CostEstimate(NamedTuple):
    """Predicted cost of a request at one engine.

    A named tuple, since each decision creates one for each engine.

    Args:
        reading: Tokens to read.
        first_s: Seconds from the begin of reading to the first event.
        duplicate_s: Seconds spent on parts that another engine already keeps.
        source: Engine from which shared parts are fetched, or None.
        reliable: The number of tokens to read is reliable.
    """

    reading: float
    first_s: float
    duplicate_s: float
    source: ListedEndpoint | None
    reliable: bool


@dataclass(slots=True)
class _CachedPrefixes:
    """Cached shared parts of a prompt, by engine.

    An engine that was sent parts just now will keep them when a new request gets its
    turn, but other engines can't fetch them until they have been read.

    Args:
        tokens: Length of the cached prefix, in tokens, by engine id.
        longest_tokens: Longest cached prefix.
        source: Engine that has read the longest prefix, the most recently used one of
            several, or None.
        source_tokens: Length of the prefix that ``source`` has read.
    """

    tokens: dict[str, int] = field(default_factory=dict)
    longest_tokens: int = 0
    source: ListedEndpoint | None = None
    source_tokens: int = 0


def _terms(
    key: WorkKey | None,
    best: _CandidateEngine,
    wait_s: float,
    mean_s: float,
    cached_tokens: int,
    next_cost: float,
) -> DecisionTerms | None:
    """Return the terms of a decision, or None if likely durations are not used."""
    if key is None:
        return None
    return DecisionTerms(
        wait_s,
        best.slowness,
        mean_s * best.slowness,
        cached_tokens,
        next_cost if next_cost < inf else None,
    )


def _work_left(
    load: EndpointLoad, slowness: float, wait_s: float, mean_s: float
) -> float:
    """Return the work until a new request has ended, in mean requests of a slot.

    Without an estimate of the mean duration it is the number of running requests.
    """
    if not mean_s:
        return load.running
    # An endpoint with few free slots may get other hosts' requests meanwhile.
    uncertainty = PLAIN_UNCERTAINTY * load.running
    return (wait_s + slowness * mean_s) * load.slots / mean_s + uncertainty


def _estimate_cost(
    engine: _CandidateEngine, cached: _CachedPrefixes, prompt: Prompt, transfers: bool
) -> _CostEstimate:
    cached_tokens = cached.tokens.get(engine.endpoint.id, 0)
    fetched = cached.source_tokens - cached_tokens if transfers else 0
    model = engine.load.model
    if fetched > 0:
        reading = (
            prompt.tokens_in - cached.source_tokens + FETCH_COST_FRACTION * fetched
        )
        duplicate_tokens = (
            cached.longest_tokens - cached.source_tokens + COPY_COST_FRACTION * fetched
        )
        first_s = model.first_event_s(reading)
        return _CostEstimate(
            reading, first_s, duplicate_tokens / model.rate, cached.source, False
        )
    reading = float(prompt.tokens_in - cached_tokens)
    duplicate_tokens = max(0, cached.longest_tokens - cached_tokens)
    reliable = reading <= MAX_RELIABLE_READING_RATIO * (
        prompt.tokens_in - prompt.shared_tokens
    )
    first_s = model.first_event_s(reading)
    return _CostEstimate(
        reading, first_s, duplicate_tokens / model.rate, None, reliable
    )
