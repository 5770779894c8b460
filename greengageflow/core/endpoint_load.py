"""Load of an endpoint, estimated from its requests and first events.

A model engine has two limits: it reads (prefills) prompts one after the other, and it
runs a fixed number of requests at once. The wait of a prompt is predicted from the
prompts sent before it and a ``PrefillModel``. No engine property is known in advance.
"""

from collections.abc import Iterable, Iterator, Mapping
from copy import copy
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from greengageflow.core.prefill_model import MIN_TRUSTED_SAMPLES, PrefillModel
from greengageflow.core.work_estimates import WorkKey

FIRST_EVENT_GRACE_S = 0.1
"""Delay of a first event, in seconds, above which the engine counts as behind.

It is longer than one prefill step of an engine and much shorter than a target.
"""


class LoadShare(NamedTuple):
    """Load of one endpoint by the requests of one host.

    A named tuple, since relays of a large fleet create thousands of them a second.

    Args:
        running: Unfinished requests.
        reading: Prompt tokens of the requests without a first event.
        memory: Memory that the requests need at their end, in tokens.
    """

    running: int = 0
    reading: float = 0.0
    memory: float = 0.0


def load_shares(rows: Iterable[tuple[int, float, float]]) -> Iterator[LoadShare]:
    """Return a share for each row, without a Python call per row."""
    return map(partial(tuple.__new__, LoadShare), rows)


@dataclass(slots=True)
class ActiveRequest:
    """An unfinished request at an endpoint.

    Args:
        reading: Prompt tokens to read; 0 from the first event on.
        memory: Memory that it needs at its end, in tokens.
        sent_at: Time at which it was sent.
        unread_at_send: Unread tokens at that time, including its own.
        cumulative_tokens: Total prompt tokens sent there so far, including its own.
        sent_to_idle: No other prompt was known to be unread at that time.
        reliable: The number of tokens to read is reliable.
        key: Class by which its duration is predicted, or None if it is not.
        began_at: Start of its duration: its first event, or the sending if it has no
            prompt to read and a slot was free; None before, and if it is not known.
    """

    reading: float
    memory: float
    sent_at: float
    unread_at_send: float
    cumulative_tokens: float
    sent_to_idle: bool
    reliable: bool
    key: WorkKey | None = None
    began_at: float | None = None


@dataclass(slots=True)
class UnreadTokens:
    """Prompt tokens that a service's endpoints have yet to read for this host.

    A running total, since a scheduler needs it for each request that it starts.
    """

    total: float = 0.0


class EndpointLoad:
    """The load of one endpoint as estimated by this host.

    Args:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that fit into its memory; 0 for a plain service.
        service_model: Model shared by all endpoints of the service, used until this
            endpoint has enough samples of its own.
        service_unread: Total shared by all endpoints of the service.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int = 0,
        service_model: PrefillModel | None = None,
        service_unread: UnreadTokens | None = None,
    ) -> None:
        self.slots = max(1, slots)
        self.memory_tokens = memory_tokens
        self.others = LoadShare()
        self._service_model = service_model or PrefillModel()
        self._service_unread = service_unread or UnreadTokens()
        self._model = PrefillModel()
        self._runs: dict[str, ActiveRequest] = {}
        self._awaiting_first_event: dict[str, ActiveRequest] = {}
        self._reading = 0.0
        self._memory = 0.0
        self._unread_estimate = 0.0
        self._estimated_at = 0.0
        self._sent_tokens = 0.0
        self._last_event_at = float("-inf")

    @property
    def own(self) -> LoadShare:
        """Load by the requests of this host."""
        return LoadShare(len(self._runs), self._reading, self._memory)

    @property
    def is_used(self) -> bool:
        """Whether requests of this host run at the endpoint."""
        return bool(self._runs)

    @property
    def running(self) -> int:
        """Number of running requests of all hosts."""
        return len(self._runs) + self.others.running

    @property
    def free_memory(self) -> float:
        """Memory that no running request needs, in tokens."""
        return self.memory_tokens - self._memory - self.others.memory

    @property
    def model(self) -> PrefillModel:
        """The endpoint's own reading model, or the service's while samples are few."""
        has_own_samples = self._model.samples >= MIN_TRUSTED_SAMPLES
        return self._model if has_own_samples else self._service_model

    def queue_wait_s(self, now: float) -> float:
        """Return the seconds until a prompt that is sent now would begin to be read.

        A prompt without a first event may already be read, since the event follows
        only after the model's fixed time. So the unread tokens are assumed to drain at
        the learned rate, and the estimate is raised when a first event is late.
        """
        model = self.model
        rate = model.rate
        estimate = self._update_unread_estimate(now)
        oldest = next(iter(self._awaiting_first_event.values()), None)
        if oldest is not None:
            due_at = oldest.sent_at + model.first_event_s(oldest.unread_at_send)
            late_s = now - due_at
            if late_s > FIRST_EVENT_GRACE_S:
                estimate = min(self._reading, estimate + late_s * rate)
        return (estimate + self.others.reading) / rate

    def unread_wait_s(self, now: float) -> float:
        """Return ``queue_wait_s`` without the part for a late first event.

        That part disappears at once when the event comes.
        """
        unread = self._update_unread_estimate(now) + self.others.reading
        return unread / self.model.rate

    def _update_unread_estimate(self, now: float) -> float:
        """Return the estimate of this host's unread prompt tokens at ``now``."""
        read = max(0.0, now - self._estimated_at) * self.model.rate
        self._unread_estimate = max(
            0.0, min(self._unread_estimate - read, self._reading)
        )
        self._estimated_at = now
        return self._unread_estimate

    def has_slot(self, requests_per_slot: float) -> bool:
        """Whether one more request may be sent.

        Args:
            requests_per_slot: Maximum requests per slot of a plain service.
        """
        limit = self.slots if self.memory_tokens else requests_per_slot * self.slots
        return self.running < max(1, limit)

    def free_slots(self, fill: float) -> int:
        """Return the number of free slots if only a fraction ``fill`` may be used."""
        return max(0, max(1, int(self.slots * fill)) - self.running)

    def fits(self, memory: float, fill: float) -> bool:
        """Whether there is a free slot and memory for ``memory`` more tokens.

        Args:
            memory: Memory that the request needs at its end, in tokens.
            fill: Fraction of the slots that may be used.
        """
        running = self.running
        if running >= max(1, int(self.slots * fill)):
            return False
        if not self.memory_tokens or not running:
            return True
        return self._memory + self.others.memory + memory <= self.memory_tokens

    def add_request(
        self,
        now: float,
        request: str,
        reading: float,
        memory: float,
        *,
        reliable: bool = True,
        key: WorkKey | None = None,
    ) -> None:
        """Add a request that is sent to the endpoint.

        Args:
            now: The time.
            request: Its id.
            reading: Prompt tokens to read.
            memory: Memory that it needs at its end, in tokens.
            reliable: ``reading`` is reliable, so that the model may learn from it.
            key: Class by which its duration is predicted, or None if it is not.
        """
        sent_to_idle = not self._awaiting_first_event and not self.others.reading
        estimate = self._update_unread_estimate(now) + reading
        self._sent_tokens += reading
        run = ActiveRequest(
            reading,
            memory,
            now,
            estimate,
            self._sent_tokens,
            sent_to_idle,
            reliable,
            key,
            now if not reading and self.running < self.slots else None,
        )
        self._runs[request] = run
        if reading:
            self._awaiting_first_event[request] = run
        self._add_reading(reading)
        self._memory += memory
        self._unread_estimate = estimate

    def on_first_event(self, now: float, request: str) -> None:
        """Record a request's first event, and update the reading models."""
        run = self._awaiting_first_event.pop(request, None)
        if run is None:
            return
        run.began_at = now
        self._learn(now, run)
        self._last_event_at = now
        # All prompts sent up to this one are read, and perhaps some sent later.
        self._unread_estimate = min(
            self._update_unread_estimate(now), self._sent_tokens - run.cumulative_tokens
        )
        self._add_reading(-run.reading)
        run.reading = 0.0

    def _add_reading(self, tokens: float) -> None:
        self._reading += tokens
        self._service_unread.total += tokens

    def _learn(self, now: float, run: ActiveRequest) -> None:
        took_s = now - run.sent_at
        if not run.reliable or took_s <= 0:
            return
        if run.sent_to_idle:
            for model in (self._model, self._service_model):
                model.learn_idle(run.reading, took_s)
        elif run.sent_at <= self._last_event_at - self.model.fixed_s:
            # It was already queued when the engine began to read it.
            for model in (self._model, self._service_model):
                model.learn_busy(run.reading, now - self._last_event_at)

    def remove_request(self, request: str) -> ActiveRequest | None:
        """Remove a request that no longer runs at the endpoint, and return it."""
        run = self._runs.pop(request, None)
        if run is not None:
            self._awaiting_first_event.pop(request, None)
            self._add_reading(-run.reading)
            self._memory -= run.memory
        return run

    def ages(self, now: float) -> Iterator[tuple[WorkKey, float]]:
        """Yield class and age in seconds of this host's requests that are predicted.

        The age is 0 until the first event.
        """
        for run in self._runs.values():
            if run.key is not None:
                yield run.key, 0.0 if run.began_at is None else now - run.began_at

    def clear(self) -> None:
        """Remove all requests, since the endpoint is gone."""
        for request in list(self._runs):
            self.remove_request(request)


class EndpointLoads:
    """The loads of all endpoints, by endpoint id."""

    def __init__(self) -> None:
        self._loads: dict[str, EndpointLoad] = {}
        self._models: dict[str, PrefillModel] = {}
        self._unread: dict[str, UnreadTokens] = {}
        self._others: Mapping[str, LoadShare] = {}

    def add(
        self, endpoint: str, service: str, slots: int, memory_tokens: int
    ) -> EndpointLoad:
        """Return the load of an endpoint, which is created if it is new."""
        load = self._loads.get(endpoint)
        if load is None:
            service_model = self._models.setdefault(service, PrefillModel())
            unread = self._unread.setdefault(service, UnreadTokens())
            load = EndpointLoad(slots, memory_tokens, service_model, unread)
            self._loads[endpoint] = load
            load.others = self._others.get(endpoint, LoadShare())
        return load

    def get(self, endpoint: str) -> EndpointLoad | None:
        """Return the load of an endpoint, or None if it is unknown."""
        return self._loads.get(endpoint)

    def peek(
        self, endpoint: str, service: str, slots: int, memory_tokens: int
    ) -> EndpointLoad:
        """Return a copy of an endpoint's load, or of the one that it would get.

        ``EndpointLoad.queue_wait_s`` updates the estimate that later calls continue
        from; on the copy it changes nothing here. The copy shares the requests and the
        reading models, so it must only be read, and before the next event.
        """
        load = self._loads.get(endpoint)
        if load is not None:
            return copy(load)
        load = EndpointLoad(slots, memory_tokens, self._models.get(service))
        load.others = self._others.get(endpoint, LoadShare())
        return load

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is no longer listed."""
        load = self._loads.pop(endpoint, None)
        if load is not None:
            load.clear()

    def unread_tokens(self, service: str) -> float:
        """Return the prompt tokens of this host's requests without a first event."""
        found = self._unread.get(service)
        return found.total if found else 0.0

    def own_shares(self) -> dict[str, LoadShare]:
        """Return the load by this host's requests, by endpoint id."""
        return {name: load.own for name, load in self._loads.items() if load.is_used}

    def set_others(self, shares: Mapping[str, LoadShare]) -> None:
        """Replace the load by all other hosts' requests, by endpoint id."""
        self._others = shares
        nothing = LoadShare()
        for name, load in self._loads.items():
            load.others = shares.get(name, nothing)
