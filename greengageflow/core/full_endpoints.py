"""Endpoints without room for a request, and how they get room."""

from collections.abc import Callable, Iterator, Sequence
from itertools import repeat
from typing import NamedTuple

from greengageflow.core.endpoint_load import EndpointLoad
from greengageflow.core.log_histogram import Distribution
from greengageflow.core.slot_outlook import Outlook, at_least
from greengageflow.core.work_estimates import WorkKey

END_RATE_MARGIN = 1.25
"""Factor by which requests may end faster than learned, for those behind others."""
REPORT_AGE_S = 0.25
"""Maximum age of other hosts' reports of their running requests, in seconds."""


class FullEndpoint(NamedTuple):
    """An endpoint without room for a request.

    Args:
        load: Its load.
        excess: Running requests that must end before the one that makes room.
        slowness: 2 if it takes twice as long as the others.
    """

    load: EndpointLoad
    excess: int
    slowness: float


def rough_outlook(full: Sequence[FullEndpoint], mean_s: float) -> Outlook:
    """Return how slots become free if all running requests are of the same kind."""
    per_s = sum(
        min(e.load.running, e.load.slots) / (e.slowness * mean_s)
        for e in full
        if not e.excess
    )
    return Outlook(1.0, per_s)


def plain_outlook(
    _now: float, horizon_s: float, full: Sequence[FullEndpoint], mean_s: float
) -> Outlook:
    """Return how the queues of a plain service's endpoints get room."""
    closed = 1.0
    per_s = 0.0
    for endpoint in full:
        load = endpoint.load
        rate = load.slots / (endpoint.slowness * mean_s)
        age_s = REPORT_AGE_S if load.others.running else 0.0
        closed *= 1.0 - at_least(endpoint.excess + 1, rate * (horizon_s + age_s))
        per_s += END_RATE_MARGIN * rate
    return Outlook(1.0 - closed, per_s)


def endings_at(
    now: float,
    engine: FullEndpoint,
    distributions: Callable[[WorkKey], Distribution | None],
    horizon_s: float,
    mean_s: float,
) -> Iterator[float]:
    """Yield for each running request the probability that it ends by the horizon."""
    load, _, slowness = engine
    unknown = load.running
    for key, age_s in load.ages(now):
        distribution = distributions(key)
        if distribution is not None:
            unknown -= 1
            yield distribution.ended_within(age_s / slowness, horizon_s / slowness)
    if unknown > 0:
        age_s = REPORT_AGE_S if load.others.running else 0.0
        ended = min(1.0, (horizon_s + age_s) / (slowness * mean_s))
        yield from repeat(ended, unknown)
