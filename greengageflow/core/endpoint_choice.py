"""Which endpoint a request is sent to."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf

from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt
from greengageflow.core.prompt_places import PromptPlaces, home_of

FAILING_PENALTY_S = 1.0
AWAY_PENALTY_S = 0.04
FETCH_PART = 0.3
COPY_PART = 0.3
MOVE = 1.0
PLAIN_QUEUE = 3.0
PLAIN_AWAY = 0.3
PLAIN_FAILING = 8.0
HOME_BONUS_S = 0.05
FILL = 0.92
LEAST_AHEAD_S = 0.05
SURE_READING = 1.5
"""Tokens to read, in a prompt's own ones, up to which its time teaches a rate.

Whether shared parts that nobody sent there lately are kept is not known: after a
restart of all hosts they are, and engines seem ten times as fast as they are.
"""


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    Args:
        endpoint: The endpoint.
        reading: Prompt tokens that it has to read, by all that is known.
        wait_s: Predicted seconds to the first event.
        fetch_from: Engine that keeps shared parts which this one lacks, or None.
        sure: Whether the endpoint keeps the shared parts is known.
    """

    endpoint: ListedEndpoint
    reading: float = 0.0
    wait_s: float = 0.0
    fetch_from: ListedEndpoint | None = None
    sure: bool = True


class EndpointChooser:
    """Chooses by predicted wait, with a preference for kept prompt parts.

    Args:
        loads: Returns the load of an endpoint.
        health: What was seen of the endpoints lately.
        places: Where prompt parts are kept.
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

    def choose(
        self,
        now: float,
        endpoints: Sequence[ListedEndpoint],
        prompt: Prompt | None,
        *,
        patience_s: float,
        first_by_s: float = inf,
        transfers: bool,
        fill: float = FILL,
        room: Sequence[ListedEndpoint] | None = None,
        zone: str = "",
    ) -> Choice | None:
        """Return the best endpoint, or None when none has room in time.

        Args:
            now: The time.
            endpoints: Those of the service; they may keep parts.
            prompt: Its work, for a model engine.
            patience_s: Longest wait for the endpoint to begin, in seconds.
            first_by_s: Seconds from now by which the first event should come. An
                endpoint that begins in ``LEAST_AHEAD_S`` is taken all the same: none
                is sooner.
            transfers: Engines fetch prompt parts from each other.
            fill: Part of an engine's slots that may be taken.
            room: Those that may run the request, if not all; see ``with_room``.
            zone: Availability zone of the host that sends it; empty: this host's.
        """
        zone = zone or self._zone
        may_run = endpoints if room is None else room
        awake = [e for e in may_run if not self._health.rests(now, e.id)]
        if prompt is None:
            return self._plain(awake or may_run, fill, zone)
        kept = self._kept(now, prompt, endpoints)
        is_kept = 0 < prompt.shared_tokens == kept.most
        home = None if is_kept else home_of(prompt.affinity, endpoints)
        best: Choice | None = None
        best_s = inf
        own = prompt.tokens_in - prompt.shared_tokens
        for endpoint in awake:
            load = self._loads(endpoint)
            if not load.fits(prompt.tokens_in, fill):
                continue
            ahead_s = load.ahead_s(now)
            reading, again, source = _reading(endpoint, kept, prompt, transfers)
            first_s = load.model.first_event_s(reading)
            # What others would have to wait for while it is read or moved once more.
            fetched = kept.source_tokens - kept.tokens.get(endpoint.id, 0)
            again += COPY_PART * fetched if source is not None else 0.0
            again_s = again / load.model.rate
            longest_s = max(LEAST_AHEAD_S, min(patience_s, first_by_s - first_s))
            if ahead_s > longest_s or ahead_s + MOVE * again_s > max(
                LEAST_AHEAD_S, patience_s
            ):
                continue
            wait_s = ahead_s + first_s
            cost_s = self._cost_s(endpoint, load, wait_s, zone)
            cost_s += again_s
            if home is not None and endpoint.id == home.id:
                cost_s -= HOME_BONUS_S
            if cost_s < best_s:
                best_s = cost_s
                sure = source is None and reading <= SURE_READING * own
                best = Choice(endpoint, reading, wait_s, source, sure)
        return best

    def with_room(
        self, now: float, endpoints: Sequence[ListedEndpoint]
    ) -> list[ListedEndpoint]:
        """Return the endpoints of which one might be chosen at all.

        While engines are full that is none or few, and a queue is looked through at
        each event.
        """
        return [e for e in endpoints if self._loads(e).has_slot(PLAIN_QUEUE)]

    def _kept(
        self, now: float, prompt: Prompt, endpoints: Sequence[ListedEndpoint]
    ) -> "_Kept":
        kept = _Kept()
        if not prompt.shared_tokens:
            return kept
        by_id = {
            endpoint.id: endpoint
            for endpoint in endpoints
            if not self._health.rests(now, endpoint.id)
        }
        depth = 0
        for part in prompt.parts[:-1]:
            depth += part.tokens
            for holder in self._places.holders(now, part.id):
                if holder.endpoint not in by_id:
                    continue
                kept.tokens[holder.endpoint] = kept.most = depth
                if holder.has_read and depth > kept.source_tokens:
                    kept.source, kept.source_tokens = by_id[holder.endpoint], depth
        return kept

    def _plain(
        self, endpoints: Sequence[ListedEndpoint], fill: float, zone: str
    ) -> Choice | None:
        """Return the least loaded endpoint of a plain service."""
        best: ListedEndpoint | None = None
        best_cost = float("inf")
        for endpoint in endpoints:
            load = self._loads(endpoint)
            # Beyond this a replica's own queue is long, and it turns requests away:
            # each of those is an arrival that the budget of repeats has to bear.
            if load.running >= PLAIN_QUEUE * fill * load.slots:
                continue
            away = PLAIN_AWAY if endpoint.zone != zone else 0.0
            failing = PLAIN_FAILING * self._health.failing(endpoint.id)
            cost = load.running + away + failing
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return Choice(best) if best else None

    def _cost_s(
        self, endpoint: ListedEndpoint, load: EndpointLoad, wait_s: float, zone: str
    ) -> float:
        cost_s = wait_s + FAILING_PENALTY_S * self._health.failing(endpoint.id)
        cost_s += 0.1 * load.running / load.slots
        return cost_s + (AWAY_PENALTY_S if endpoint.zone != zone else 0.0)


@dataclass(slots=True)
class _Kept:
    """What engines keep of a prompt's shared parts.

    An engine that was sent parts just now has them as soon as its turn comes, but
    nobody can fetch them from it yet.

    Args:
        tokens: Tokens from the prompt's begin that an engine keeps, by its id.
        most: The most that one keeps.
        source: The engine that has read most of them, the last one used, or None.
        source_tokens: How many it has read.
    """

    tokens: dict[str, int] = field(default_factory=dict)
    most: int = 0
    source: ListedEndpoint | None = None
    source_tokens: int = 0


def _reading(
    endpoint: ListedEndpoint, kept: _Kept, prompt: Prompt, transfers: bool
) -> tuple[float, float, ListedEndpoint | None]:
    """Return tokens to read, those of them that another engine has, and the source."""
    here = kept.tokens.get(endpoint.id, 0)
    if transfers and kept.source_tokens > here:
        fetched = kept.source_tokens - here
        reading = prompt.tokens_in - kept.source_tokens + FETCH_PART * fetched
        return reading, kept.most - kept.source_tokens, kept.source
    return float(prompt.tokens_in - here), max(0, kept.most - here), None
