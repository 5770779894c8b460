"""This host as a placer: the engines that it owns, and the requests of other hosts."""

from collections.abc import Callable, Iterable

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementMessage,
    PlacementRequest,
    Verdict,
)
from greengageflow.core.placers import PlacerTable
from greengageflow.core.remote_placements import RemotePlacements
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision
from greengageflow.daemon.cached_parts import PartsLoader
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog

NEW_PLACER_DELAY_S = 1.0
CACHE_QUERY_DELAY_S = 0.3
"""Seconds as placer after which engines are asked for their cached prefixes.

A starting host considers itself the only one until it discovers its peers, which takes
a round. Without the delay, nine starting hosts would all ask each engine.
"""


class PlacerRole:
    """Places requests of other hosts while this host is a placer.

    Args:
        host: This host.
        dispatcher: Decides the requests.
        endpoints: Listed endpoints.
        table: The placers.
        send: Sends a message to another host.
        carry_out: Carries out decisions.
        log: Gets a line when the owned engines change.
        parts: Asks the owned engines for their cached prefixes.

    Attributes:
        stopping: Other hosts must decide their requests themselves.
        placements: Requests of other hosts.
        owned: Ids of the engines that this host places; None if it is not a placer.
    """

    def __init__(
        self,
        host: str,
        dispatcher: ServiceDispatcher,
        endpoints: EndpointList,
        table: PlacerTable,
        send: Callable[[str, PlacementMessage], None],
        carry_out: Callable[[Iterable[Decision]], None],
        log: DecisionLog,
        parts: PartsLoader,
    ) -> None:
        self.stopping = False
        self.placements = RemotePlacements(host, dispatcher)
        self.owned: frozenset[str] | None = None
        self._host = host
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._table = table
        self._send = send
        self._carry_out = carry_out
        self._log = log
        self._parts = parts
        self._placer_since = float("inf")

    @property
    def is_placer(self) -> bool:
        """Whether this host places requests of all hosts."""
        return self._host in self._table.placers

    def on_membership(self, now: float) -> None:
        """Update the time since which this host is a placer."""
        if not self.is_placer:
            self._placer_since = float("inf")
        elif self._placer_since == float("inf"):
            self._placer_since = now

    def update_owned_engines(self) -> None:
        """Update the engines that this host places."""
        owned = self._table.owned(self._endpoints.ids())
        if owned != self.owned:
            self.owned = owned
            self._dispatcher.set_owned_engines(owned)
            self._log.write(
                DecisionEvent.PLACING,
                placers=" ".join(self._table.placers),
                endpoints=len(owned or ()),
            )

    def load_cached_parts(self, now: float) -> None:
        """Ask the owned engines for their cached prefixes, if not done yet."""
        if now - self._placer_since >= CACHE_QUERY_DELAY_S:
            listed = filter(None, map(self._endpoints.get, self.owned or ()))
            engines = filter(self._dispatcher.is_engine, listed)
            self._parts.load(
                e for e in engines if self._dispatcher.is_available(now, e)
            )

    def on_request(
        self, now: float, message: PlacementRequest, is_starting: bool
    ) -> None:
        """Place a request of another host, or let that host decide.

        Args:
            now: The time.
            message: The request.
            is_starting: This host has just started.
        """
        # A host that started while partitioned from the store knows no endpoints, or
        # not those of a version, and would refuse the requests; the asking hosts know
        # endpoints and can decide.
        usable = self._endpoints.usable(message.service)
        has_version = any(message.version in ("", e.version) for e in usable)
        if not self._is_placing(now, is_starting) or not has_version:
            self._send_answer(message, Verdict.PASS)
            return
        self._carry_out(self.placements.on_request(now, message))
        if self.placements.is_waiting(message):
            self._send_answer(message, Verdict.QUEUED)

    def _is_placing(self, now: float, is_starting: bool) -> bool:
        # If all hosts started together, there was no placer before and nothing runs.
        fresh = is_starting and self._table.started_together
        settled = fresh or now - self._placer_since >= NEW_PLACER_DELAY_S
        return self.is_placer and settled and not self.stopping

    def _send_answer(self, message: PlacementRequest, verdict: Verdict) -> None:
        answer = PlacementAnswer(
            host=self._host, boot=message.boot, request=message.request, verdict=verdict
        )
        self._send(message.host, answer)
