"""What waits at this router, where its demand is registered, and what starts."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Any

from greengageflow._waiting import AccountQueue, Asked, WaitingRequest
from greengageflow.catalog import ClientAccount, FleetConfig
from greengageflow.effects import Effect, Refuse, Send, Start
from greengageflow.errors import ErrorKind
from greengageflow.messages import (
    Demand,
    Grant,
    GrantReturned,
    GrantTaken,
    PeerId,
    WorkCall,
)
from greengageflow.placement import FleetView
from greengageflow.shares import Meter, ServiceLedger

_WIDEN_FIRST_S = 0.005
_WIDEN_SLOWLY_S = 0.5
_REFRESH_S = 4.0
_MOST_OWNERS_FACTOR = 2
_ENDED_KEPT = 4096
_SHORTEST_RETRY_S = 0.1


@dataclass(slots=True)
class _Running:
    request: WaitingRequest
    endpoint: str
    granter: PeerId
    told: PeerId
    meter: Meter


class EntryQueue:
    """Queues the requests that came in at this router.

    Args:
        own: This router.
        ledger: Where the service is counted.
        seed: Of the order in which owners are asked.
    """

    def __init__(self, own: PeerId, ledger: ServiceLedger, *, seed: int = 0) -> None:
        self._own = own
        self._ledger = ledger
        self._random = Random(f"{seed} {own.host} {own.boot}")
        self._cfg = FleetConfig()
        self._view: FleetView | None = None
        self._members: dict[str, list[str]] = {}
        self._queues: dict[tuple[str, str], AccountQueue] = {}
        self._of: dict[str, AccountQueue] = {}
        self._waiting: dict[str, int] = {}
        self._running: dict[str, _Running] = {}
        self._ended: OrderedDict[str, GrantReturned] = OrderedDict()
        self._owed: dict[str, tuple[str, GrantReturned]] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._seq = 0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._of)

    @property
    def running(self) -> int:
        """Requests that were started and have not finished."""
        return len(self._running)

    # Requests.

    def submit(self, now: float, req: WaitingRequest) -> Iterator[Effect]:
        """Queue a request, or refuse it at once when it cannot be served."""
        refusal = self._refusal(now, req)
        if refusal is not None:
            yield refusal
            return
        key = (req.account, req.pool)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = AccountQueue(*key)
        queue.requests[req.id] = req
        self._of[req.id] = queue
        heappush(self._deadlines, (req.deadline, req.id))
        self._count(queue.account, 1)
        if len(queue) == 1:
            yield from self._begin(now, queue)
        else:
            yield from self._restate(queue)

    def _refusal(self, now: float, req: WaitingRequest) -> Refuse | None:
        if not self._members.get(req.pool):
            return Refuse(req.id, ErrorKind.NO_ENDPOINT, f"no endpoint for {req.pool}")
        queue = self._queues.get((req.account, req.pool))
        ahead = len(queue) if queue else 0
        wait_s = queue.rate.wait_s(now, ahead) if queue and ahead else 0.0
        left_s = req.deadline - now
        if left_s <= 0:
            return Refuse(req.id, ErrorKind.DEADLINE, "the deadline has passed")
        limit = self._account(req.account).queue_limit
        if queue and ahead >= limit:
            # One place is free as soon as one request has left.
            over_s = queue.rate.wait_s(now, ahead - limit + 1)
            return self._refuse_full(req, ahead, over_s)
        if wait_s is not None and wait_s > left_s:
            text = f"{ahead} requests wait, about {wait_s:.1f} s for this one"
            return Refuse(req.id, ErrorKind.DEADLINE, text, wait_s - left_s)
        return None

    def _refuse_full(
        self, req: WaitingRequest, ahead: int, wait_s: float | None
    ) -> Refuse:
        retry_after_s = None if wait_s is None else max(_SHORTEST_RETRY_S, wait_s)
        text = f"{ahead} requests of this account wait here"
        return Refuse(req.id, ErrorKind.QUEUE_FULL, text, retry_after_s)

    def _account(self, name: str) -> ClientAccount:
        return self._cfg.accounts.get(name) or ClientAccount(name)

    def cancel(self, now: float, request: str) -> Iterator[Effect]:
        """Forget a waiting request whose caller has left; no answer is due."""
        queue = self._of.get(request)
        if queue is not None:
            yield from self._leave(queue, request)

    def _leave(self, queue: AccountQueue, request: str) -> Iterator[Send]:
        del queue.requests[request]
        del self._of[request]
        self._count(queue.account, -1)
        yield from self._restate(queue)

    def _count(self, account: str, change: int) -> None:
        waiting = self._waiting.get(account, 0) + change
        self._waiting[account] = waiting
        self._ledger.set_waiting(account, waiting)

    # Demand.

    def _begin(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        queue.ask_pause_s = _WIDEN_FIRST_S
        queue.refresh_at = now + _REFRESH_S
        yield from self._widen(now, queue)

    def _widen(self, now: float, queue: AccountQueue) -> Iterator[Send]:
        """Register the demand with more owners: 1, then 2, 4, … at once."""
        order = self._owners_in_order(queue)
        most = self._cfg.policy.owners_asked
        asked = len(queue.asked)
        if asked < most:
            target = min(most, max(1, 2 * asked))
            pause_s = _WIDEN_FIRST_S
        else:
            target = asked + 1
            pause_s = _WIDEN_SLOWLY_S
        target = min(target, most * _MOST_OWNERS_FACTOR, len(order))
        for host in order:
            if len(queue.asked) >= target:
                break
            if host not in queue.asked:
                yield from self._ask(queue, host)
        wider = len(queue.asked) < min(most * _MOST_OWNERS_FACTOR, len(order))
        queue.ask_at = now + pause_s if wider else float("inf")

    def _owners_in_order(self, queue: AccountQueue) -> list[str]:
        endpoints = self._members.get(queue.pool, ())
        owners = {self._view.owner_of(name) for name in endpoints} - {None}
        order = sorted(owners)
        self._random.shuffle(order)
        head = queue.head
        first = self._own.host
        if head is not None and head.affinity in endpoints:
            first = self._view.owner_of(head.affinity)
        order.sort(key=lambda host: (host != first, host != self._own.host))
        return order

    def _ask(self, queue: AccountQueue, host: str) -> Iterator[Send]:
        member = self._view.live.get(host)
        if member is None:
            return
        owner = PeerId(host, member.boot)
        queue.asked[host] = Asked(owner, len(queue))
        yield self._demand(queue, host)

    def _demand(self, queue: AccountQueue, host: str) -> Send:
        self._seq += 1
        head = queue.head
        cost = head.cost if head else 0.0
        affinity = head.affinity if head else ""
        message = Demand(
            self._seq, queue.account, queue.pool, len(queue), cost, affinity
        )
        return Send(host, message)

    def _restate(self, queue: AccountQueue) -> Iterator[Send]:
        """Tell owners of a change, if it is large or they would run out."""
        if not queue.requests:
            for host in queue.asked:
                yield self._demand(queue, host)
            queue.asked.clear()
            return
        for host, asked in queue.asked.items():
            count = len(queue)
            if 2 * asked.waiting <= count or asked.waiting >= 2 * count:
                asked.waiting = count
                yield self._demand(queue, host)

    # Messages.

    def receive(self, now: float, sender: PeerId, message: Any) -> Iterator[Effect]:
        """Take in a message from an owner."""
        match message:
            case Grant():
                yield from self._on_grant(now, sender, message)
            case WorkCall(pool=pool):
                yield from self._on_work_call(sender, pool)

    def _on_grant(self, now: float, sender: PeerId, grant: Grant) -> Iterator[Effect]:
        if grant.grant in self._running:
            yield self._taken(now, sender.host, grant.grant)
            return
        if grant.grant in self._ended:
            yield Send(sender.host, self._ended[grant.grant])
            return
        yield from self._expire(now)
        queue = self._queues.get((grant.account, grant.pool))
        head = queue.head if queue else None
        if head is None or grant.endpoint not in self._members.get(grant.pool, ()):
            returned = GrantReturned(grant.grant, grant.endpoint)
            self._end(returned)
            yield Send(sender.host, returned)
            return
        if sender.host in queue.asked:
            queue.asked[sender.host].waiting -= 1
        queue.rate.on_start(now)
        meter = self._ledger.expect(head.account, head.cost)
        self._running[grant.grant] = _Running(
            head, grant.endpoint, sender, sender, meter
        )
        yield Start(head.id, grant.endpoint, grant.grant)
        yield self._taken(now, sender.host, grant.grant)
        yield from self._leave(queue, head.id)

    def _taken(self, now: float, host: str, grant: str) -> Send:
        run = self._running[grant]
        req = run.request
        left_s = max(0.0, req.deadline - now)
        taken = GrantTaken(grant, run.endpoint, req.account, req.cost, left_s)
        return Send(host, taken)

    def _on_work_call(self, sender: PeerId, pool: str) -> Iterator[Send]:
        for queue in self._queues.values():
            if queue.pool == pool and queue.requests:
                yield from self._ask(queue, sender.host)

    # Running requests.

    def progress(self, grant: str, tokens: float) -> None:
        """Count tokens of a running request as they stream."""
        run = self._running.get(grant)
        if run is not None:
            run.meter.charge(tokens)

    def finished(
        self,
        now: float,
        grant: str,
        served: float,
        seconds: float,
        failed: bool = False,
    ) -> Iterator[Effect]:
        """Give the slot of a running request back.

        Args:
            now: The time.
            grant: Id of the grant that started it.
            served: Tokens that the endpoint produced in all.
            seconds: Time for which the endpoint was busy with it.
            failed: True when the endpoint could not be reached or broke.
        """
        run = self._running.pop(grant, None)
        if run is None:
            return
        run.meter.settle(served)
        returned = GrantReturned(grant, run.endpoint, served, seconds, failed)
        self._end(returned)
        for owner in {run.granter, run.told}:
            if self._view and not self._view.is_live(owner):
                self._owed[grant] = (owner.host, returned)
            yield Send(owner.host, returned)

    def _end(self, returned: GrantReturned) -> None:
        self._ended[returned.grant] = returned
        if len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)

    # Time and what changes around it.

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Do what has become due."""
        yield from self._expire(now)
        for queue in self._queues.values():
            if not queue.requests:
                continue
            if queue.ask_at <= now:
                yield from self._widen(now, queue)
            if queue.refresh_at <= now:
                queue.refresh_at = now + _REFRESH_S
                for host in list(queue.asked):
                    yield from self._ask(queue, host)

    def next_tick(self, now: float) -> float:
        """Return the time by which ``on_tick`` is to be called."""
        times = [queue.due_at for queue in self._queues.values()]
        if self._deadlines:
            times.append(self._deadlines[0][0])
        return max(now, min(times, default=float("inf")))

    def _expire(self, now: float) -> Iterator[Effect]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heappop(self._deadlines)
            queue = self._of.get(request)
            if queue is None:
                continue
            retry_s = queue.rate.wait_s(now, len(queue))
            text = "the deadline passed while the request waited"
            yield Refuse(request, ErrorKind.DEADLINE, text, retry_s)
            yield from self._leave(queue, request)

    def on_config(self, now: float, cfg: FleetConfig) -> Iterator[Effect]:
        """Take over a configuration."""
        self._cfg = cfg
        self._members = {}
        for endpoint in cfg.endpoints.values():
            if not endpoint.leaving:
                self._members.setdefault(endpoint.pool, []).append(endpoint.name)
        yield from self._place_again(now)

    def on_view(self, now: float, view: FleetView) -> Iterator[Effect]:
        """Take over a changed view of the fleet."""
        self._view = view
        for grant, run in self._running.items():
            host = view.owner_of(run.endpoint)
            if host is None:
                continue
            owner = PeerId(host, view.live[host].boot)
            if owner != run.told:
                run.told = owner
                yield self._taken(now, host, grant)
        for grant, (host, returned) in list(self._owed.items()):
            if host in view.live:
                del self._owed[grant]
                yield Send(host, returned)
        yield from self._place_again(now)

    def _place_again(self, now: float) -> Iterator[Effect]:
        if self._view is None:
            return
        for queue in list(self._queues.values()):
            if not self._members.get(queue.pool):
                yield from self._refuse_all(queue)
                continue
            owners = set(self._owners_in_order(queue))
            for host, asked in list(queue.asked.items()):
                if host not in owners or not self._view.is_live(asked.owner):
                    del queue.asked[host]
            if queue.requests:
                yield from self._begin(now, queue)

    def _refuse_all(self, queue: AccountQueue) -> Iterator[Effect]:
        for request in list(queue.requests):
            text = f"no endpoint for {queue.pool} any more"
            yield Refuse(request, ErrorKind.NO_ENDPOINT, text)
            yield from self._leave(queue, request)
