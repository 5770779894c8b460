"""How busy an endpoint is, learned from what is seen of it.

A model engine has two bounds: it reads prompts one after the other, and it runs a
fixed number of requests at once. How long a prompt waits follows from the prompts sent
before it and from a ``ReadingModel``. Nothing here is known of an engine beforehand.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from greengageflow.core.reading_model import TRUSTED_SAMPLES, ReadingModel

LATE_SLACK_S = 0.1
"""Seconds by which a first event may be late before the engine counts as behind.

More than a step of an engine that reads, far less than a target.
"""


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
    """A request that an endpoint has.

    Args:
        reading: Prompt tokens to read, 0 from the first event on.
        memory: Tokens that it takes up in the end.
        sent_at: Time of the sending.
        ahead: Tokens that were to be read then, its own with them.
        mark: Prompt tokens sent there so far, its own with them.
        alone: No other prompt was to be read then, as far as is known.
        sure: What is to be read of its prompt was known.
    """

    reading: float
    memory: float
    sent_at: float
    ahead: float
    mark: float
    alone: bool
    sure: bool


class EndpointLoad:
    """The load of one endpoint as this host knows it.

    Args:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that fit into its memory; 0 for a plain service.
        common: What is known of all endpoints of the service, used until this one
            is known.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int = 0,
        common: ReadingModel | None = None,
    ) -> None:
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.others = LoadShare()
        self._common = common or ReadingModel()
        self._model = ReadingModel()
        self._runs: dict[str, _Run] = {}
        self._unread: dict[str, _Run] = {}
        self._reading = 0.0
        self._memory = 0.0
        self._level = 0.0
        self._level_at = 0.0
        self._sent = 0.0
        self._last_event_at = float("-inf")

    @property
    def own(self) -> LoadShare:
        """What this host has under way there."""
        return LoadShare(len(self._runs), self._reading, self._memory)

    @property
    def unread(self) -> float:
        """Prompt tokens that this host sent and of which no first event has come."""
        return self._reading

    @property
    def running(self) -> int:
        """Requests of all hosts that run there."""
        return len(self._runs) + self.others.running

    @property
    def model(self) -> ReadingModel:
        """How fast it reads, as far as is known."""
        known = self._model.samples >= TRUSTED_SAMPLES
        return self._model if known else self._common

    def ahead_s(self, now: float) -> float:
        """Return the seconds until it would begin to read a prompt that is sent now.

        A request without a first event may be read already: for the fixed time it
        does not show. So prompts that were sent are taken to be read at the learned
        rate, and first events that are late put that right.
        """
        rate = self.model.rate
        level = self._drained(now)
        oldest = next(iter(self._unread.values()), None)
        if oldest is not None:
            due_at = oldest.sent_at + self.model.first_event_s(oldest.ahead)
            late_s = now - due_at
            if late_s > LATE_SLACK_S:
                level = min(self._reading, level + late_s * rate)
        return (level + self.others.reading) / rate

    def _drained(self, now: float) -> float:
        """Return this host's prompt tokens that are yet to be read."""
        read = max(0.0, now - self._level_at) * self.model.rate
        self._level = max(0.0, min(self._level - read, self._reading))
        self._level_at = now
        return self._level

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

    def begin(
        self,
        now: float,
        request: str,
        reading: float,
        memory: float,
        *,
        sure: bool = True,
    ) -> None:
        """Note a request that is sent there.

        Args:
            now: The time.
            request: Its id.
            reading: Prompt tokens to read.
            memory: Tokens that it takes up in the end.
            sure: Whether the endpoint keeps its shared parts is known.
        """
        alone = not self._unread and not self.others.reading
        level = self._drained(now) + reading
        self._sent += reading
        run = _Run(reading, memory, now, level, self._sent, alone, sure)
        self._runs[request] = run
        if reading:
            self._unread[request] = run
        self._reading += reading
        self._memory += memory
        self._level = level

    def first_event(self, now: float, request: str) -> None:
        """Note a request's first event, and learn from the time that it took."""
        run = self._unread.pop(request, None)
        if run is None:
            return
        self._learn(now, run)
        self._last_event_at = now
        # All that was sent up to it is read, and some of what was sent later.
        self._level = min(self._drained(now), self._sent - run.mark)
        self._reading -= run.reading
        run.reading = 0.0

    def _learn(self, now: float, run: _Run) -> None:
        took_s = now - run.sent_at
        if not run.sure or took_s <= 0:
            return
        if run.alone:
            for model in (self._model, self._common):
                model.learn_idle(run.reading, took_s)
        elif run.sent_at <= self._last_event_at - self.model.fixed_s:
            # It was there when the engine began to read it.
            for model in (self._model, self._common):
                model.learn_busy(run.reading, now - self._last_event_at)

    def end(self, request: str) -> None:
        """Note that a request no longer runs there."""
        run = self._runs.pop(request, None)
        if run is not None:
            self._unread.pop(request, None)
            self._reading -= run.reading
            self._memory -= run.memory


class LoadBook:
    """The loads of all endpoints, by endpoint id."""

    def __init__(self) -> None:
        self._loads: dict[str, EndpointLoad] = {}
        self._models: dict[str, ReadingModel] = {}
        self._others: Mapping[str, LoadShare] = {}

    def add(
        self, endpoint: str, service: str, slots: int, memory_tokens: int
    ) -> EndpointLoad:
        """Return the load of an endpoint that is new, or that of one that is known."""
        load = self._loads.get(endpoint)
        if load is None:
            common = self._models.setdefault(service, ReadingModel())
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
