"""How busy an endpoint is, learned from what is seen of it.

A model engine has two bounds: it reads prompts one after the other, and it runs a
fixed number of requests at once. The time to the first event is the prompt tokens
that wait ahead, divided by a rate that is learned from first events. Nothing here
is known of an engine beforehand.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

FIRST_RATE = 20_000.0
SLOWEST_RATE = 1_000.0
FASTEST_RATE = 5_000_000.0
LEAST_SAMPLE_TOKENS = 2000.0
RISE = 0.1
FALL = 0.03
TRUSTED_SAMPLES = 20


class ReadingRate:
    """Prompt tokens that an engine reads in a second, learned from first events.

    A first event often comes later than reading took, since other hosts' prompts
    stood ahead unseen, and seldom sooner. So the estimate rises faster than it falls,
    which makes it an upper quantile of what is seen.

    Args:
        first: What to begin with, in tokens a second.
    """

    def __init__(self, first: float = FIRST_RATE) -> None:
        self.value = first
        self.samples = 0

    def learn(self, sample: float) -> None:
        """Take in one observation, in tokens a second."""
        self.samples += 1
        weight = RISE if sample > self.value else FALL
        weight = max(weight, 1.0 / self.samples)
        value = self.value + weight * (sample - self.value)
        self.value = min(FASTEST_RATE, max(SLOWEST_RATE, value))


class LoadShare(NamedTuple):
    """What one host has under way at one endpoint.

    A named tuple, since relays of a large fleet make thousands of them a second.

    Args:
        running: Requests without their last byte.
        reading: Prompt tokens of those without a first event.
        memory: Tokens that they take up in the end.
    """

    running: int = 0
    reading: float = 0.0
    memory: float = 0.0


def load_shares(rows: Iterable[tuple[int, float, float]]) -> Iterator[LoadShare]:
    """Return a share for each row, with no Python call for each."""
    return map(partial(tuple.__new__, LoadShare), rows)


@dataclass(slots=True)
class _Run:
    reading: float
    memory: float
    ahead: float
    sent_at: float


class EndpointLoad:
    """The load of one endpoint as this host knows it.

    Args:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that fit into its memory; 0 for a plain service.
        common: Rate of all endpoints of the service, used until this one is known.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int = 0,
        common: ReadingRate | None = None,
    ) -> None:
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.others = LoadShare()
        self._common = common or ReadingRate()
        self._rate = ReadingRate()
        self._runs: dict[str, _Run] = {}
        self._reading = 0.0
        self._memory = 0.0

    @property
    def own(self) -> LoadShare:
        """What this host has under way there."""
        return LoadShare(len(self._runs), self._reading, self._memory)

    @property
    def running(self) -> int:
        """Requests of all hosts that run there."""
        return len(self._runs) + self.others.running

    @property
    def rate(self) -> float:
        """Prompt tokens that it reads in a second, as learned."""
        known = self._rate.samples >= TRUSTED_SAMPLES
        return self._rate.value if known else self._common.value

    @property
    def ahead_s(self) -> float:
        """Seconds until it would begin to read a prompt that is sent now."""
        return (self._reading + self.others.reading) / self.rate

    def has_slot(self, queue: float) -> bool:
        """Whether one more request might go there.

        Args:
            queue: Requests for each slot that a plain service takes.
        """
        most = self.slots if self.memory_tokens else queue * self.slots
        return self.running < max(1, most)

    def fits(self, memory: float, fill: float) -> bool:
        """Whether there is a slot and room for ``memory`` more tokens.

        Args:
            memory: Tokens that the request takes up in the end.
            fill: Part of the slots that may be taken.
        """
        if self.running >= max(1, int(self.slots * fill)):
            return False
        if not self.memory_tokens or not self.running:
            return True
        return self._memory + self.others.memory + memory <= self.memory_tokens

    def begin(self, now: float, request: str, reading: float, memory: float) -> None:
        """Note a request that is sent there."""
        ahead = self._reading + self.others.reading
        self._runs[request] = _Run(reading, memory, ahead + reading, now)
        self._reading += reading
        self._memory += memory

    def first_event(self, now: float, request: str) -> None:
        """Note a request's first event, and learn from the time that it took."""
        run = self._runs.get(request)
        if run is None or not run.reading:
            return
        took_s = now - run.sent_at
        if run.ahead >= LEAST_SAMPLE_TOKENS and took_s > 0:
            self._rate.learn(run.ahead / took_s)
            self._common.learn(run.ahead / took_s)
        self._reading -= run.reading
        run.reading = 0.0

    def end(self, request: str) -> None:
        """Note that a request no longer runs there."""
        run = self._runs.pop(request, None)
        if run is not None:
            self._reading -= run.reading
            self._memory -= run.memory


class LoadBook:
    """The loads of all endpoints, by endpoint id."""

    def __init__(self) -> None:
        self._loads: dict[str, EndpointLoad] = {}
        self._rates: dict[str, ReadingRate] = {}
        self._others: Mapping[str, LoadShare] = {}

    def add(
        self, endpoint: str, service: str, slots: int, memory_tokens: int
    ) -> EndpointLoad:
        """Return the load of an endpoint that is new, or that of one that is known."""
        load = self._loads.get(endpoint)
        if load is None:
            common = self._rates.setdefault(service, ReadingRate())
            load = EndpointLoad(slots, memory_tokens, common)
            self._loads[endpoint] = load
            load.others = self._others.get(endpoint, LoadShare())
        return load

    def get(self, endpoint: str) -> EndpointLoad | None:
        """Return the load of an endpoint, or None when it is not known."""
        return self._loads.get(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._loads.pop(endpoint, None)

    def own(self) -> dict[str, LoadShare]:
        """Return what this host has under way, by endpoint."""
        shares = ((name, load.own) for name, load in self._loads.items())
        return {name: share for name, share in shares if share.running}

    def set_others(self, shares: Mapping[str, LoadShare]) -> None:
        """Take over what all other hosts have under way."""
        self._others = shares
        nothing = LoadShare()
        for name, load in self._loads.items():
            load.others = shares.get(name, nothing)
