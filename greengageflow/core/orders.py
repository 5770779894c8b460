"""Log records of orders to engines, and the state of each order folded from them.

An operator appends an order. Before sending it, the owner of its endpoint appends a
*claim*, whose offset is the fencing token sent with the order. Afterwards it appends
the result. All readers fold the same records, and which claim holds depends only on
the offsets and times of the records.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from typing import Any

ORDER_STREAM = "orders"
ORDER_EXPIRY_S = 300.0
"""Seconds after which an order that could not be sent expires."""
CLAIM_TIMEOUT_S = 90.0
"""Seconds after which a claim without a result ends its order as unknown."""
MAX_CONCURRENT_LOADS = 4
"""Most orders that load weights at a time, across the whole fleet."""
NO_CLAIM = -1
OPERATIONS = ("load", "role")
RESULTS = ("done", "refused", "unknown", "not_sent", "expired")


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to an engine.

    Args:
        id: Unique id.
        endpoint: Name of the endpoint.
        op: Operation: ``load`` or ``role``.
        model: Model to load.
        adapter: Adapter to load.
        version: Version to load.
        role: Role to switch to.
        author: Operator who gave the order.
    """

    id: str
    endpoint: str
    op: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    author: str = ""


@dataclass(frozen=True, slots=True)
class Claim:
    """A router claims the right to send an order.

    Args:
        id: Id of the order.
        nonce: Unique id of the attempt.
        holder: ``{host}:{boot}`` of the claiming router.
        over: Offset of the claim that this one replaces, or ``NO_CLAIM``.
        fenced: Whether the endpoint refuses outdated fencing tokens.
    """

    id: str
    nonce: str
    holder: str
    over: int = NO_CLAIM
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class Done:
    """An attempt to execute an order ended.

    Args:
        id: Id of the order.
        nonce: Id of the attempt; empty if there was none.
        result: One of ``RESULTS``.
        text: Message of the engine or the router.
    """

    id: str
    nonce: str
    result: str
    text: str = ""


OrderRecord = Order | Claim | Done
_TYPES_BY_NAME = {"order": Order, "claim": Claim, "done": Done}
_NAMES_BY_TYPE = {type_: name for name, type_ in _TYPES_BY_NAME.items()}


def to_json(record: OrderRecord) -> dict[str, Any]:
    """Return the JSON form of ``record`` for the log."""
    return {"t": _NAMES_BY_TYPE[type(record)], **asdict(record)}


def from_json(data: Any) -> OrderRecord | None:
    """Return the record in ``data``, or None if it isn't a valid order record."""
    try:
        fields = dict(data)
        record = _TYPES_BY_NAME[fields.pop("t")](**fields)
    except (KeyError, TypeError, ValueError):
        return None
    return record if _is_valid(record) else None


def _is_valid(record: OrderRecord) -> bool:
    for name, value in asdict(record).items():
        expected = {"over": int, "fenced": bool}.get(name, str)
        if type(value) is not expected:
            return False
    match record:
        case Order(id=id_, endpoint=endpoint, op=op):
            return bool(id_ and endpoint) and op in OPERATIONS
        case Done(result=result):
            return result in RESULTS
    return True


@dataclass(frozen=True, slots=True)
class OrderState:
    """State of one order.

    Args:
        order: The order.
        offset: Offset of its record.
        time: Unix time at which it was appended, in seconds.
        claimable_until: Unix time from which claims are ignored.
        ends_at: Unix time at which it ends without a result.
        claim: The claim that holds, if any.
        fencing: Offset of that claim, or ``NO_CLAIM``.
        unsent_attempts: Number of attempts that ended without sending.
        result: One of ``RESULTS``; empty while the order is open.
        text: Message of the engine or the router.
    """

    order: Order
    offset: int
    time: float
    claimable_until: float
    ends_at: float
    claim: Claim | None = None
    fencing: int = NO_CLAIM
    unsent_attempts: int = 0
    result: str = ""
    text: str = ""


class OrderFold:
    """Folds the records of the order stream, in offset order.

    Args:
        expiry_s: Seconds for which an order may be claimed.
        claim_timeout_s: Seconds after which a claim without a result ends its order.
            The log's retention must exceed ``expiry_s + claim_timeout_s``.
        max_concurrent_loads: Most orders that load weights and are claimed at a time.
    """

    def __init__(
        self,
        expiry_s: float = ORDER_EXPIRY_S,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
        max_concurrent_loads: int = MAX_CONCURRENT_LOADS,
    ) -> None:
        self._expiry_s = expiry_s
        self._claim_timeout_s = claim_timeout_s
        self._max_concurrent_loads = max_concurrent_loads
        self._open: dict[str, OrderState] = {}
        self._ended: dict[str, OrderState] = {}
        # An append is retried when its response is lost, so a duplicate of a claim
        # can follow the end of its attempt. Counted again, it would hold the order
        # for an attempt that has ended, so each nonce counts once.
        self._nonces: dict[str, set[str]] = {}
        self._time = 0.0

    @property
    def states(self) -> Iterator[OrderState]:
        """Open orders, followed by recently ended ones."""
        yield from self._open.values()
        yield from self._ended.values()

    @property
    def open(self) -> tuple[OrderState, ...]:
        """Orders without a result, oldest first."""
        return tuple(self._open.values())

    @property
    def runnable(self) -> tuple[OrderState, ...]:
        """The oldest open order of each endpoint; only these may run."""
        oldest: dict[str, OrderState] = {}
        for state in self._open.values():
            oldest.setdefault(state.order.endpoint, state)
        return tuple(oldest.values())

    @property
    def free_load_slots(self) -> int:
        """Number of additional loads that may be claimed now."""
        running = (s for s in self._open.values() if s.order.op == "load" and s.claim)
        return self._max_concurrent_loads - sum(1 for _ in running)

    def state(self, id_: str) -> OrderState | None:
        """Return the state of an order, or None if it is unknown."""
        return self._open.get(id_) or self._ended.get(id_)

    def has_seen(self, id_: str, nonce: str) -> bool:
        """Return whether a claim by this attempt, or its ``not_sent``, was read."""
        return nonce in self._nonces.get(id_, ())

    def claimable_loads(self) -> list[str]:
        """Return the ids of the loads that may be claimed next.

        Orders with fewer failed attempts come first. Otherwise as many unreachable
        engines as there are load slots would block all loads of the fleet.
        """
        waiting = [s for s in self.runnable if s.order.op == "load" and not s.claim]
        waiting.sort(key=lambda state: (state.unsent_attempts, state.offset))
        return [state.order.id for state in waiting[: max(0, self.free_load_slots)]]

    def apply(
        self, offset: int, time: float, record: OrderRecord | None
    ) -> tuple[OrderState, ...]:
        """Fold one record and return the orders that it ended.

        Args:
            offset: Offset of the record.
            time: Unix time at which it was appended, in seconds.
            record: The record, or None if it isn't a valid order record; its time
                still counts.
        """
        time = self._time = max(self._time, time)
        ended = list(self._expire(time))
        state = self._open.get(record.id) if record else None
        match record:
            case Order() if self.state(record.id) is None:
                until = time + self._expiry_s
                self._open[record.id] = OrderState(record, offset, time, until, until)
            case Claim() if state:
                self._apply_claim(offset, time, record, state)
            case Done() if state:
                ended.extend(self._apply_done(record, state))
            case Done(nonce=nonce) if previous := self._ended.get(record.id):
                # The holder reports a result after the order ended as unknown.
                is_holder = previous.claim is not None and previous.claim.nonce == nonce
                if previous.result == "unknown" and is_holder:
                    updated = replace(previous, result=record.result, text=record.text)
                    self._ended[record.id] = updated
        return tuple(ended)

    def _apply_claim(
        self, offset: int, time: float, claim: Claim, state: OrderState
    ) -> None:
        nonces = self._nonces.setdefault(claim.id, set())
        if claim.nonce in nonces:
            return
        nonces.add(claim.nonce)
        if not self._accepts(time, claim, state):
            return
        self._open[claim.id] = replace(
            state,
            claim=claim,
            fencing=offset,
            ends_at=max(state.claimable_until, time + self._claim_timeout_s),
        )

    def _accepts(self, time: float, claim: Claim, state: OrderState) -> bool:
        if time >= state.claimable_until or claim.over != state.fencing:
            return False
        if state.claim is not None:
            # An endpoint that ignores fencing tokens would run the order twice.
            return state.claim.fenced and claim.fenced
        if state.order.op == "load" and self.free_load_slots <= 0:
            return False
        # The claiming router may have started reading after an earlier order of the
        # endpoint, and so not know that one.
        return state in self.runnable

    def _apply_done(self, done: Done, state: OrderState) -> Iterator[OrderState]:
        if done.result == "not_sent":
            self._nonces.setdefault(done.id, set()).add(done.nonce)
        if state.claim is None:
            if done.result == "refused" and not done.nonce:
                yield self._end(state, done.result, done.text)
        elif done.nonce == state.claim.nonce:
            if done.result == "not_sent":
                self._open[done.id] = replace(
                    state,
                    claim=None,
                    fencing=NO_CLAIM,
                    ends_at=state.claimable_until,
                    unsent_attempts=state.unsent_attempts + 1,
                    text=done.text,
                )
            else:
                yield self._end(state, done.result, done.text)

    def _end(self, state: OrderState, result: str, text: str) -> OrderState:
        ended = replace(state, result=result, text=text)
        del self._open[state.order.id]
        self._nonces.pop(state.order.id, None)
        self._ended[state.order.id] = ended
        return ended

    def _expire(self, time: float) -> Iterator[OrderState]:
        for state in [s for s in self._open.values() if s.ends_at <= time]:
            if state.claim is None:
                yield self._end(state, "expired", state.text or "not sent in time")
            else:
                yield self._end(state, "unknown", "no result from its sender")
        # Ended orders are remembered for a while, so that a duplicate of an order
        # record doesn't run again.
        forget_until = time - self._expiry_s
        for id_ in [i for i, s in self._ended.items() if s.ends_at <= forget_until]:
            del self._ended[id_]
