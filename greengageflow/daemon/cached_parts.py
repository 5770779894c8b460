"""Queries model engines for the prompt parts in their prefix cache."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import PromptPart
from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.http_messages import (
    Failure,
    HttpRequest,
    Response,
    announces_shutdown,
)
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.records import RecordError, parse_cached_parts
from greengageflow.platform.reports import incarnation_evidence, other_start
from greengageflow.platform.requests import cached_parts_request

CALL_TIMEOUT_S = 1.0
"""Connect and idle timeout of a query, in seconds."""
RETRY_DELAY_S = 0.5
MAX_ATTEMPTS = 3
MAX_RESPONSE_BYTES = 1_048_576
"""Maximum size of an answer, in bytes."""


class PartsLoader(Protocol):
    """Finds out which prompt parts engines have cached."""

    def load(self, engines: Iterable[ListedEndpoint]) -> None:
        """Query the engines that have not been queried yet."""


class CachedPartsLoader:
    """Queries each engine's prefix cache once, when this host begins to place for it.

    An engine that has started again is queried again. If it answers before its new
    entry is listed, its answer proves that the listed start has ended.

    A new placer doesn't know which prompt parts are cached where. It would send
    requests to any engine, which then runs prefill for their shared parts again. One
    query per engine prevents this; later changes follow from the requests that this
    host sends.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        dispatcher: Gets the cached parts.
        log: Gets an event for each engine.
        on_leaving: Called with an engine that reports in its answer that it leaves.
        on_other_start: Called with a start of an engine that is not listed yet.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        dispatcher: ServiceDispatcher,
        log: DecisionLog,
        on_leaving: Callable[[ListedEndpoint], None],
        on_other_start: Callable[[ListedEndpoint], None],
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._dispatcher = dispatcher
        self._log = log
        self._on_leaving = on_leaving
        self._on_other_start = on_other_start
        self._queried: set[str] = set()

    def load(self, engines: Iterable[ListedEndpoint]) -> None:
        """Query the engines that have not been queried yet."""
        for engine in engines:
            if engine.start not in self._queried:
                self._queried.add(engine.start)
                self._query(engine, 1)

    def _query(self, engine: ListedEndpoint, attempt: int) -> None:
        def on_done(result: Response | Failure) -> None:
            self._on_result(engine, attempt, result)

        self._pool.fetch(
            _with_timeouts(cached_parts_request(engine)), on_done, MAX_RESPONSE_BYTES
        )

    def _on_result(
        self, engine: ListedEndpoint, attempt: int, result: Response | Failure
    ) -> None:
        if self._dispatcher.has_ended(engine):
            return
        if isinstance(result, Response):
            other = other_start(result, engine)
            if other is not None and other.born > engine.born:
                self._on_other_start(other)
                if engine.born:
                    return
                engine = other
                self._queried.add(engine.start)
            if announces_shutdown(result):
                self._on_leaving(engine)
        try:
            parts = _parts_of(engine, result)
        except RecordError as exc:
            if attempt < MAX_ATTEMPTS:
                self._timers.after(
                    RETRY_DELAY_S, lambda: self._query(engine, attempt + 1)
                )
                return
            self._log.write(
                DecisionEvent.PARTS_UNKNOWN, endpoint=engine.id, why=str(exc)
            )
            return
        self._dispatcher.on_cached_parts(self._timers.now, engine, parts)
        self._log.write(
            DecisionEvent.PARTS_LEARNED, endpoint=engine.id, parts=len(parts)
        )


def _parts_of(
    engine: ListedEndpoint, result: Response | Failure
) -> tuple[PromptPart, ...]:
    if isinstance(result, Failure):
        raise RecordError(result.message)
    evidence = incarnation_evidence(result, engine)
    if evidence in (IncarnationEvidence.OTHER, IncarnationEvidence.EARLIER):
        raise RecordError("the answer is from another start or engine")
    return parse_cached_parts(result)


def _with_timeouts(request: HttpRequest) -> HttpRequest:
    return replace(
        request, connect_timeout_s=CALL_TIMEOUT_S, idle_timeout_s=CALL_TIMEOUT_S
    )
