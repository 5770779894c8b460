"""Queries model engines for the prompt parts in their prefix cache."""

from collections.abc import Callable, Iterable
from typing import Protocol

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.http_messages import (
    Failure,
    HttpRequest,
    Response,
    says_leaving,
)
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.records import RecordError, parse_kept
from greengageflow.platform.requests import kept_call

ANSWER_S = 1.0
"""Connect and idle timeout of a query, in seconds."""
AGAIN_S = 0.5
MOST_TRIES = 3
LARGEST = 1_048_576
"""Maximum size of an answer, in bytes."""


class PartsAsker(Protocol):
    """Finds out which prompt parts engines have cached."""

    def ask(self, engines: Iterable[ListedEndpoint]) -> None:
        """Query the engines that have not been queried yet."""


class KeptParts:
    """Queries each engine's prefix cache once, when this host begins to place for it.

    A new placer doesn't know which prompt parts are cached where. It would send
    requests to any engine, which then runs prefill for their shared parts again. One
    query per engine prevents this; later changes follow from the requests that this
    host sends.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        book: Gets the cached parts.
        log: Gets an event for each engine.
        on_leaving: Called with an engine that reports in its answer that it leaves.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        book: ServiceDispatcher,
        log: DecisionLog,
        on_leaving: Callable[[ListedEndpoint], None],
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._book = book
        self._log = log
        self._on_leaving = on_leaving
        self._asked: set[str] = set()

    def ask(self, engines: Iterable[ListedEndpoint]) -> None:
        """Query the engines that have not been queried yet."""
        for engine in engines:
            if engine.id not in self._asked:
                self._asked.add(engine.id)
                self._try(engine, 1)

    def _try(self, engine: ListedEndpoint, number: int) -> None:
        def done(result: Response | Failure) -> None:
            self._take(engine, number, result)

        self._pool.fetch(_bounded(kept_call(engine)), done, LARGEST)

    def _take(
        self, engine: ListedEndpoint, number: int, result: Response | Failure
    ) -> None:
        if isinstance(result, Response) and says_leaving(result):
            self._on_leaving(engine)
        try:
            if isinstance(result, Failure):
                raise RecordError(result.message)
            parts = parse_kept(result)
        except RecordError as exc:
            if number < MOST_TRIES:
                self._timers.after(AGAIN_S, lambda: self._try(engine, number + 1))
                return
            self._log.write(
                DecisionEvent.PARTS_UNKNOWN, endpoint=engine.id, why=str(exc)
            )
            return
        self._book.on_cached_parts(self._timers.now, engine, parts)
        self._log.write(
            DecisionEvent.PARTS_LEARNED, endpoint=engine.id, parts=len(parts)
        )


def _bounded(request: HttpRequest) -> HttpRequest:
    return HttpRequest(
        request.method,
        request.ip,
        request.port,
        request.path,
        connect_timeout_s=ANSWER_S,
        idle_timeout_s=ANSWER_S,
    )
