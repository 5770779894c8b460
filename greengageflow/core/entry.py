"""Per-account request queues of an entry router, and how grants start requests."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Any

from greengageflow.core._admission import refusal
from greengageflow.core._registrar import DemandRegistrar
from greengageflow.core._waiting import AccountQueue, WaitingRequest
from greengageflow.core.catalog import ClientAccount, FleetConfig
from greengageflow.core.effects import Effect, Refuse, Send, Start
from greengageflow.core.messages import (
    Grant,
    GrantReturned,
    GrantTaken,
    PeerId,
    WorkCall,
)
from greengageflow.core.placement import FleetView
from greengageflow.core.shares import Meter, ServiceLedger
from greengageflow.errors import ErrorKind

__all__ = ["EntryQueue", "WaitingRequest"]

_RETURNED_LIMIT = 4096
_NOTIFY_RETRY_S = 0.25
"""First retransmission interval of ``GrantTaken``; doubles each time.

Gives three retransmissions within an owner's settle time.
"""
_DEMANDS_PER_WORK_CALL = 4


@dataclass(slots=True)
class _RunningRequest:
    request: WaitingRequest
    endpoint: str
    owner: PeerId
    notified: set[str]
    meter: Meter
    notify_at: float = float("inf")


class EntryQueue:
    """Queues the requests that arrived at this router until a slot is granted.

    Args:
        own: This router.
        ledger: Ledger that counts the service.
        seed: Seed for the order in which owners are asked.
        is_leaving: Returns whether an endpoint must get no new requests.
    """

    def __init__(
        self,
        own: PeerId,
        ledger: ServiceLedger,
        *,
        seed: int = 0,
        is_leaving: Callable[[str], bool] = lambda _endpoint: False,
    ) -> None:
        self._own = own
        self._ledger = ledger
        self._is_leaving = is_leaving
        self._registrar = DemandRegistrar(own, Random(f"{seed} {own.host} {own.boot}"))
        self._cfg = FleetConfig()
        self._view: FleetView | None = None
        self._pool_endpoints: dict[str, list[str]] = {}
        self._queues: dict[tuple[str, str], AccountQueue] = {}
        self._queue_of: dict[str, AccountQueue] = {}
        self._waiting: dict[str, int] = {}
        self._running: dict[str, _RunningRequest] = {}
        self._backoff_until: dict[str, float] = {}
        self._returned: OrderedDict[str, GrantReturned] = OrderedDict()
        self._undelivered: dict[tuple[str, str], GrantReturned] = {}
        self._outdated_demand: dict[str, int] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._notify_heap: list[tuple[float, float, str]] = []
        self._paused = False
        self._deferred: dict[str, tuple[PeerId, Grant]] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue_of)

    @property
    def running(self) -> int:
        """Number of requests that were started and have not finished."""
        return len(self._running)

    # Requests.

    def submit(self, now: float, req: WaitingRequest) -> Iterator[Effect]:
        """Queue a request, or refuse it immediately when it cannot be served."""
        key = (req.account, req.pool)
        queue = self._queues.get(key)
        if queue is None:
            queue = AccountQueue(*key)
        refused = self._refusal(now, req, queue)
        if refused is not None:
            yield refused
            return
        self._queues[key] = queue
        queue.requests[req.id] = req
        self._queue_of[req.id] = queue
        heappush(self._deadlines, (req.deadline, req.id))
        self._add_waiting(req.account, 1)
        if len(queue) == 1:
            queue.drain_rate.restart(now)
            yield from self._registrar.register(now, queue)
        else:
            yield from self._registrar.update(queue)

    def _refusal(
        self, now: float, req: WaitingRequest, queue: AccountQueue
    ) -> Refuse | None:
        if self._view is None or not self._registrar.owners(req.pool):
            return Refuse(req.id, ErrorKind.NO_ENDPOINT, f"no endpoint for {req.pool}")
        account = self._cfg.accounts.get(req.account) or ClientAccount(req.account)
        return refusal(now, req, queue, account.queue_limit)

    def cancel(self, request: str) -> Iterator[Effect]:
        """Remove a waiting request whose caller disconnected, without an answer."""
        queue = self._queue_of.get(request)
        if queue is not None:
            yield from self._dequeue(queue, request)

    def _dequeue(self, queue: AccountQueue, request: str) -> Iterator[Send]:
        del queue.requests[request]
        del self._queue_of[request]
        self._add_waiting(queue.account, -1)
        yield from self._registrar.update(queue)

    def _add_waiting(self, account: str, change: int) -> None:
        waiting = self._waiting.get(account, 0) + change
        self._waiting[account] = waiting
        self._ledger.set_waiting(account, waiting)

    def receive(self, now: float, sender: PeerId, message: Any) -> Iterator[Effect]:
        """Handle a message from an owner."""
        match message:
            case Grant():
                yield from self._on_grant(now, sender, message)
            case WorkCall(pool=pool):
                yield from self._on_work_call(sender.host, pool)

    def _on_grant(self, now: float, sender: PeerId, grant: Grant) -> Iterator[Effect]:
        if grant.boot and grant.boot != self._own.boot:
            # The grant is for an earlier boot of this host. Its owner reclaims the
            # slot, so a request started now would exceed the endpoint's slots.
            return
        if grant.grant in self._running:
            yield self._taken_message(now, sender.host, grant.grant)
            return
        if grant.grant in self._returned:
            yield Send(sender.host, self._returned[grant.grant])
            return
        if self._paused:
            self._deferred[grant.grant] = sender, grant
            return
        yield from self._refuse_expired(now)
        queue = self._queues.get((grant.account, grant.pool))
        backoff_s = self._backoff_until.get(grant.endpoint, now) - now
        if backoff_s > 0:
            # Ownership may have changed since the endpoint requested the backoff, so
            # the remaining time is passed on to the current owner.
            yield from self._decline(sender, grant, backoff_s)
        elif queue and self._is_valid(sender, grant):
            yield from self._start(now, sender, grant, queue)
        else:
            yield from self._decline(sender, grant)

    def _decline(
        self, sender: PeerId, grant: Grant, backoff_s: float = 0.0
    ) -> Iterator[Send]:
        returned = GrantReturned(grant.grant, grant.endpoint, backoff_s=backoff_s)
        self._record_returned(returned)
        yield from self._send_returned(sender.host, returned)

    def _is_valid(self, sender: PeerId, grant: Grant) -> bool:
        # A late grant may come from a former owner. The new owner knows of no request
        # in this slot and may have granted it again.
        if self._view is None or not self._view.is_live(sender):
            return False
        if self._view.owner_of(grant.endpoint) != sender.host:
            return False
        # The grant was sent before the endpoint was known to be leaving. A request
        # started now would be aborted when the endpoint's host shuts down.
        if self._is_leaving(grant.endpoint):
            return False
        # The owner was unreachable since it sent the grant. Meanwhile it may have
        # granted the slot again, as soon as the endpoint reported it free.
        if 0 < grant.demand_seq <= self._outdated_demand.get(sender.host, 0):
            return False
        return grant.endpoint in self._pool_endpoints.get(grant.pool, ())

    def _start(
        self, now: float, sender: PeerId, grant: Grant, queue: AccountQueue
    ) -> Iterator[Effect]:
        req = queue.head
        if sender.host in queue.registrations:
            queue.registrations[sender.host].waiting -= 1
        queue.drain_rate.on_start(now)
        meter = self._ledger.start_meter(req.account, req.cost)
        self._running[grant.grant] = _RunningRequest(
            req, grant.endpoint, sender, {sender.host}, meter
        )
        yield Start(req.id, grant.endpoint, grant.grant)
        yield self._taken_message(now, sender.host, grant.grant)
        yield from self._dequeue(queue, req.id)

    def _taken_message(self, now: float, host: str, grant: str) -> Send:
        run = self._running[grant]
        req = run.request
        left_s = max(0.0, req.deadline - now)
        taken = GrantTaken(grant, run.endpoint, req.account, req.cost, left_s)
        return Send(host, taken)

    def _notify_new_owner(
        self, now: float, grant: str, run: _RunningRequest
    ) -> Iterator[Send]:
        """Register a running request with the endpoint's owner if it has changed."""
        host = self._view.owner_of(run.endpoint)
        if host is None:
            return
        owner = PeerId(host, self._view.live[host].boot)
        if owner != run.owner:
            run.owner = owner
            run.notified.add(host)
            yield self._notify(now, grant, _NOTIFY_RETRY_S)

    def _notify(self, now: float, grant: str, pause_s: float) -> Send:
        # The message is not acknowledged, so it is retransmitted: when it was lost on
        # a slow connection, the new owner granted a slot that was still in use.
        run = self._running[grant]
        run.notify_at = now + pause_s
        heappush(self._notify_heap, (run.notify_at, pause_s, grant))
        return self._taken_message(now, run.owner.host, grant)

    def _on_work_call(self, host: str, pool: str) -> Iterator[Send]:
        if self._view is None or host not in self._registrar.owners(pool):
            return
        ready = [q for q in self._queues.values() if q.pool == pool and q.requests]
        ready.sort(key=lambda queue: self._ledger.level(queue.account))
        for queue in ready[:_DEMANDS_PER_WORK_CALL]:
            yield self._registrar.send_demand(queue, host)

    # Running requests.

    def on_progress(self, grant: str, tokens: float) -> None:
        """Count streamed tokens of a running request."""
        run = self._running.get(grant)
        if run is not None:
            run.meter.charge(tokens)

    def on_backoff(self, now: float, endpoint: str, seconds: float) -> bool:
        """Record that an endpoint asked this router to back off.

        Returns:
            True when no earlier backoff of the endpoint is still in effect.
        """
        until = self._backoff_until.get(endpoint, now)
        self._backoff_until[endpoint] = max(until, now + seconds)
        return until <= now

    def on_finished(
        self,
        grant: str,
        served: float,
        seconds: float,
        *,
        failed: bool = False,
        backoff_s: float = 0.0,
    ) -> Iterator[Effect]:
        """Return the slot of a finished request to the owners that count it.

        Args:
            grant: Id of the grant that started the request.
            served: Total tokens that the endpoint produced.
            seconds: Time that the endpoint spent on the request.
            failed: True when the endpoint was unreachable or failed.
            backoff_s: Seconds for which the endpoint asked this router to back off.
        """
        run = self._running.pop(grant, None)
        if run is None:
            return
        run.meter.settle(served)
        returned = GrantReturned(
            grant, run.endpoint, served, seconds, failed, backoff_s
        )
        self._record_returned(returned)
        for host in sorted(run.notified):
            yield from self._send_returned(host, returned)

    def _send_returned(self, host: str, returned: GrantReturned) -> Iterator[Send]:
        # An unreachable owner counts the slot as used until the request's deadline,
        # so the message is sent again when the owner is live.
        if self._view and host not in self._view.live:
            self._undelivered[returned.grant, host] = returned
        yield Send(host, returned)

    def _record_returned(self, returned: GrantReturned) -> None:
        self._returned[returned.grant] = returned
        if len(self._returned) > _RETURNED_LIMIT:
            self._returned.popitem(last=False)

    # Timers, configuration and view.

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Run everything that is due."""
        yield from self._refuse_expired(now)
        while self._notify_heap and self._notify_heap[0][0] <= now:
            at, pause_s, grant = heappop(self._notify_heap)
            run = self._running.get(grant)
            if run is not None and run.notify_at == at:
                yield self._notify(now, grant, 2 * pause_s)
        for queue in self._queues.values():
            if queue and queue.expand_at <= now:
                yield from self._registrar.expand(now, queue)
            if queue and queue.refresh_at <= now:
                yield from self._registrar.refresh(now, queue)

    def next_tick(self, now: float) -> float:
        """Return the latest time at which ``on_tick`` must be called next."""
        times = [queue.due_at for queue in self._queues.values() if queue]
        if self._deadlines:
            times.append(self._deadlines[0][0])
        if self._notify_heap:
            times.append(self._notify_heap[0][0])
        return max(now, min(times, default=float("inf")))

    def _refuse_expired(self, now: float) -> Iterator[Effect]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heappop(self._deadlines)
            queue = self._queue_of.get(request)
            if queue is None:
                continue
            retry_s = queue.drain_rate.expected_wait_s(now, len(queue))
            text = "the deadline passed while the request waited"
            yield Refuse(request, ErrorKind.DEADLINE, text, retry_s)
            yield from self._dequeue(queue, request)

    def on_pause(self) -> None:
        """Defer incoming grants after a process pause, until the view is confirmed.

        Grants buffered in the sockets may come from owners that have since died. The
        next owner may have granted the same slots again while this router's view
        still lists the old owner; starting such grants at once ran 8 requests in 4
        slots. Deferred grants are validated against the confirmed view.
        """
        self._paused = True

    def on_view_confirmed(
        self, now: float, *, maybe_replaced: bool
    ) -> Iterator[Effect]:
        """Process the grants deferred since the pause, using the current view.

        Args:
            now: Current time.
            maybe_replaced: True when other routers may have considered this one
                dead. Owners may then have reused its slots as soon as the endpoints
                reported them free, so deferred grants are declined and demand is
                registered again.
        """
        self._paused = False
        deferred, self._deferred = self._deferred, {}
        for sender, grant in deferred.values():
            if maybe_replaced:
                yield from self._decline(sender, grant)
            else:
                yield from self._on_grant(now, sender, grant)
        for queue in self._queues.values():
            if maybe_replaced and queue:
                yield from self._registrar.refresh(now, queue)

    def on_config(self, now: float, cfg: FleetConfig) -> Iterator[Effect]:
        """Apply a configuration."""
        before, self._cfg = self._cfg.endpoints, cfg
        self._registrar.quick_owner_limit = cfg.policy.owners_asked
        self._pool_endpoints = {}
        for name in list(self._backoff_until):
            current = cfg.endpoints.get(name)
            if current is None or current.generation != before[name].generation:
                del self._backoff_until[name]
        for endpoint in cfg.endpoints.values():
            if not endpoint.leaving:
                self._pool_endpoints.setdefault(endpoint.pool, []).append(endpoint.name)
        yield from self._update_placement(now)

    def on_view(self, now: float, view: FleetView) -> Iterator[Effect]:
        """Apply a changed view of the fleet."""
        known = self._view.live.keys() if self._view else set()
        for host in view.live.keys() - known:
            self._outdated_demand[host] = self._registrar.last_seq
        self._view = view
        for grant, run in self._running.items():
            yield from self._notify_new_owner(now, grant, run)
        for (grant, host), returned in list(self._undelivered.items()):
            if host in view.live or host not in view.roster:
                del self._undelivered[grant, host]
                yield Send(host, returned)
        yield from self._update_placement(now)

    def _update_placement(self, now: float) -> Iterator[Effect]:
        if self._view is None:
            return
        self._registrar.on_placement(self._view, self._pool_endpoints)
        for queue in self._queues.values():
            if not self._registrar.owners(queue.pool):
                yield from self._refuse_all(queue)
        yield from self._registrar.reassign(now, self._queues.values())

    def _refuse_all(self, queue: AccountQueue) -> Iterator[Effect]:
        queue.registrations.clear()
        for request in list(queue.requests):
            text = f"no endpoint left for {queue.pool}"
            yield Refuse(request, ErrorKind.NO_ENDPOINT, text)
            yield from self._dequeue(queue, request)
