"""Which endpoint a request is sent to."""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field
from math import inf

from greengageflow.core.endpoint_health import EndpointHealth
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.forward_request import Prompt
from greengageflow.core.prompt_places import PromptPlaces, home_of

FAILING_PENALTY_S = 1.0
AWAY_PENALTY_S = 0.04
"""Seconds of wait that a request in another zone is worth: its bytes cross twice."""
FETCH_PART = 0.3
"""Engine's time for a token that is fetched, in parts of one that is read."""
COPY_PART = 0.3
"""What a copied token takes from others, memory and link, in the same measure.

Copies that seem cheap push each other out of memory.
"""
PLAIN_QUEUE = 3.0
PLAIN_AWAY = 0.3
PLAIN_FAILING = 8.0
HOME_BONUS_S = 0.05
"""Seconds by which hosts that decide for themselves prefer a part's home, to agree."""
FILL = 0.92
LEAST_AHEAD_S = 0.05
"""Seconds of wait that count as none: a step or two of an engine."""
SURE_READING = 1.5
"""Tokens to read, in a prompt's own ones, up to which its time teaches a rate.

Whether shared parts that nobody sent there lately are kept is not known: after a
restart of all hosts they are, and engines would seem faster than they are.
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

    def look(self, now: float, endpoints: Sequence[ListedEndpoint]) -> "Look":
        """Return what all waiting requests have in common to choose from.

        A queue is looked through at each event; while engines are full, to look at all
        of them for each account's first request would take most of a placer's time.
        """
        room = [e for e in endpoints if self._loads(e).has_slot(PLAIN_QUEUE)]
        awake = [e for e in room if not self._health.rests(now, e.id)]
        loads = [(endpoint, self._loads(endpoint)) for endpoint in awake]
        return Look(
            endpoints=endpoints,
            room=room,
            engines=[_Engine(e, load, load.ahead_s(now)) for e, load in loads],
        )

    def choose(
        self,
        now: float,
        look: "Look",
        prompt: Prompt | None,
        *,
        patience_s: float,
        first_by_s: float = inf,
        transfers: bool,
        fill: float = FILL,
        avoid: Container[str] = (),
        zone: str = "",
    ) -> Choice | None:
        """Return the best endpoint, or None when none has room in time.

        Args:
            now: The time.
            look: What there is to choose from, as of ``now``.
            prompt: Its work, for a model engine.
            patience_s: Longest wait for the endpoint to begin, in seconds.
            first_by_s: Seconds from now by which the first event should come. An
                endpoint that begins in ``LEAST_AHEAD_S`` is taken all the same: none
                is sooner.
            transfers: Engines fetch prompt parts from each other.
            fill: Part of an engine's slots that may be taken.
            avoid: Endpoints that it may not be sent to; they may keep parts.
            zone: Availability zone of the host that sends it; empty: this host's.
        """
        zone = zone or self._zone
        if prompt is None:
            awake = [one.endpoint for one in look.engines]
            found = [e for e in awake or look.room if e.id not in avoid]
            return self._plain(found, fill, zone)
        longest_s = max(LEAST_AHEAD_S, min(patience_s, first_by_s))
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
            plan = _plan(one, kept, prompt, transfers)
            latest_s = max(LEAST_AHEAD_S, first_by_s - plan.first_s)
            if one.ahead_s > latest_s:
                continue
            # To read or move once more what is kept elsewhere takes engines as much
            # as waiting does those who come next.
            if one.ahead_s + plan.again_s > max(LEAST_AHEAD_S, patience_s):
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
    ) -> "_Kept":
        kept = _Kept()
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

    def _cost_s(self, one: "_Engine", wait_s: float, zone: str) -> float:
        endpoint, load = one.endpoint, one.load
        cost_s = wait_s + FAILING_PENALTY_S * self._health.failing(endpoint.id)
        cost_s += 0.1 * load.running / load.slots
        return cost_s + (AWAY_PENALTY_S if endpoint.zone != zone else 0.0)


@dataclass(frozen=True, slots=True)
class _Engine:
    endpoint: ListedEndpoint
    load: EndpointLoad
    ahead_s: float


@dataclass(frozen=True, slots=True)
class Look:
    """What requests may choose from at one moment.

    Args:
        endpoints: All endpoints of the service; they may keep parts.
        room: Those that may take one more request.
        engines: Those of them that do not rest, with their waits.
    """

    endpoints: Sequence[ListedEndpoint]
    room: Sequence[ListedEndpoint]
    engines: "Sequence[_Engine]"


@dataclass(frozen=True, slots=True)
class _Plan:
    """What a request would be for one engine.

    Args:
        reading: Tokens to read.
        first_s: Seconds to the first event once it begins to read.
        again_s: Seconds in which it does what another engine has done.
        source: Engine that shared parts are fetched from, or None.
        sure: What is to be read is known.
    """

    reading: float
    first_s: float
    again_s: float
    source: ListedEndpoint | None
    sure: bool


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


def _plan(one: _Engine, kept: _Kept, prompt: Prompt, transfers: bool) -> _Plan:
    here = kept.tokens.get(one.endpoint.id, 0)
    fetched = kept.source_tokens - here if transfers else 0
    model = one.load.model
    if fetched > 0:
        reading = prompt.tokens_in - kept.source_tokens + FETCH_PART * fetched
        again = kept.most - kept.source_tokens + COPY_PART * fetched
        first_s = model.first_event_s(reading)
        return _Plan(reading, first_s, again / model.rate, kept.source, False)
    reading = float(prompt.tokens_in - here)
    again = max(0, kept.most - here)
    sure = reading <= SURE_READING * (prompt.tokens_in - prompt.shared_tokens)
    first_s = model.first_event_s(reading)
    return _Plan(reading, first_s, again / model.rate, None, sure)
