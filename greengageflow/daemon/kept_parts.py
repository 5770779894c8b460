"""Asks model engines which prompt parts they keep."""

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
    announces_shutdown,
)
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.records import RecordError, parse_cached_parts
from greengageflow.platform.requests import cached_parts_request

ANSWER_S = 1.0
"""Seconds for an answer."""
AGAIN_S = 0.5
MOST_TRIES = 3
LARGEST = 1_048_576
"""Bytes of an answer."""


class PartsAsker(Protocol):
    """Learns what engines keep."""

    def ask(self, engines: Iterable[ListedEndpoint]) -> None:
        """Ask engines that were not asked before."""


class KeptParts:
    """Learns once from each engine that this host begins to place for.

    A placer that begins knows of no part that engines keep: it sends requests anywhere,
    and what they share is read again. One call an engine brings it back; later ones
    follow from what this host sends.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        book: Takes what is learned.
        log: Takes a line for each engine.
        on_leaving: Takes an engine that says that it leaves.
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
        """Ask engines that were not asked before."""
        for engine in engines:
            if engine.id not in self._asked:
                self._asked.add(engine.id)
                self._try(engine, 1)

    def _try(self, engine: ListedEndpoint, number: int) -> None:
        def done(result: Response | Failure) -> None:
            self._take(engine, number, result)

        self._pool.fetch(_bounded(cached_parts_request(engine)), done, LARGEST)

    def _take(
        self, engine: ListedEndpoint, number: int, result: Response | Failure
    ) -> None:
        if isinstance(result, Response) and announces_shutdown(result):
            self._on_leaving(engine)
        try:
            if isinstance(result, Failure):
                raise RecordError(result.message)
            parts = parse_cached_parts(result)
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
