"""Execution of orders by the owner of their endpoint, without I/O.

An attempt is *claiming* until its claim has been read back from the log, then *sent*.
An endpoint that checks fencing tokens may get an order again under a later claim. Any
other endpoint gets an order at most once, under one claim.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from itertools import count

from greengageflow.core.effects import AppendRecords
from greengageflow.core.log_records import Appended, AppendResult, LogFailure, LogRecord
from greengageflow.core.messages import PeerId
from greengageflow.core.orders import (
    NO_CLAIM,
    ORDER_STREAM,
    Claim,
    Done,
    Order,
    OrderFold,
    OrderRecord,
    OrderState,
    from_json,
    to_json,
)

SEND_WINDOW_S = 5.0
TAKEOVER_TIMEOUT_S = 75.0
# An order for an unknown endpoint is refused only after this time, because the order
# may arrive before the configuration that adds the endpoint.
UNKNOWN_ENDPOINT_GRACE_S = 10.0
# Interval between records that advance the log's time past an order's expiry.
EXPIRY_RECORD_INTERVAL_S = 5.0
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Effect: send an order to its engine, unless ``not_after`` has passed.

    Args:
        order: The order.
        nonce: Id of the attempt.
        fencing: Fencing token.
        not_after: Monotonic time after which sending must not start.
    """

    order: Order
    nonce: str
    fencing: int
    not_after: float


class _Phase(Enum):
    CLAIMING = auto()
    SENT = auto()


@dataclass(slots=True)
class _Attempt:
    nonce: str
    fenced: bool
    not_after: float
    phase: _Phase = _Phase.CLAIMING


class OrderOwner:
    """Executes the orders for the endpoints that this router owns.

    Args:
        own: This router process.
        owns: Returns whether this router owns an endpoint.
        checks_fencing: Returns whether an endpoint checks fencing tokens, or None if
            there is no such endpoint.
        is_holder_live: Returns whether the router ``{host}:{boot}`` is live.
        fold: State of the orders; a new one by default.
        send_window_s: Seconds after the claim was queued within which sending must
            start.
        takeover_timeout_s: Seconds after which a claim without a result is taken
            over, or its result recorded as unknown. Must exceed the send window plus
            the timeout of the engine's response.
    """

    def __init__(
        self,
        own: PeerId,
        *,
        owns: Callable[[str], bool],
        checks_fencing: Callable[[str], bool | None],
        is_holder_live: Callable[[str], bool],
        fold: OrderFold | None = None,
        send_window_s: float = SEND_WINDOW_S,
        takeover_timeout_s: float = TAKEOVER_TIMEOUT_S,
    ) -> None:
        self.fold = fold or OrderFold()
        self._holder_id = f"{own.host}:{own.boot}"
        self._owns = owns
        self._checks_fencing = checks_fencing
        self._is_holder_live = is_holder_live
        self._send_window_s = send_window_s
        self._takeover_timeout_s = takeover_timeout_s
        self._attempt_numbers = count(1)
        self._attempts: dict[str, _Attempt] = {}
        self._outbox: dict[tuple[str, str, str], OrderRecord] = {}
        self._appending: tuple[tuple[str, str, str], ...] = ()
        self._append_at = 0.0
        self._append_failures = 0
        self._first_seen: dict[tuple[str, int], float] = {}
        self._failures: dict[str, int] = {}
        self._not_before: dict[str, float] = {}
        self._retry_nonces: dict[str, str] = {}

    @property
    def busy(self) -> bool:
        """Whether an attempt is in progress or a record waits to be appended."""
        return bool(self._attempts or self._outbox)

    # Inputs.

    def on_records(self, now: float, rows: Iterable[LogRecord]) -> list[OrderState]:
        """Apply records read from the log and return the orders that they ended."""
        ended: list[OrderState] = []
        for row in rows:
            ended += self.fold.apply(row.offset, row.time, from_json(row.record))
        for state in ended:
            self._forget(state.order.id)
        for state in self.fold.open:
            self._first_seen.setdefault((state.order.id, NO_CLAIM), now)
            self._first_seen.setdefault((state.order.id, state.fencing), now)
        return ended

    def _forget(self, id_: str) -> None:
        attempt = self._attempts.get(id_)
        if attempt is not None and attempt.phase is _Phase.CLAIMING:
            del self._attempts[id_]
        for key in [key for key in self._first_seen if key[0] == id_]:
            del self._first_seen[key]
        self._retry_nonces.pop(id_, None)
        self._failures.pop(id_, None)
        self._not_before.pop(id_, None)

    def on_append(self, now: float, result: AppendResult) -> None:
        """Handle the result of ``AppendRecords``."""
        batch, self._appending = self._appending, ()
        match result:
            case Appended():
                self._append_failures = 0
                for key in batch:
                    self._outbox.pop(key, None)
            case LogFailure(retry_after_s=wait):
                # The append may have succeeded even though it returned an error.
                # The records are appended again; the fold ignores duplicates.
                self._append_failures += 1
                delay = _backoff_delay_s(self._append_failures)
                self._append_at = now + max(delay, wait or 0.0)

    def on_send_result(
        self, now: float, id_: str, nonce: str, result: str, text: str
    ) -> None:
        """Handle the result of ``SendOrder``.

        Args:
            now: Monotonic time in seconds.
            id_: Id of the order.
            nonce: Id of the attempt.
            result: ``done``, ``refused``, ``unknown`` or ``not_sent``.
            text: Message of the engine or the error.
        """
        attempt = self._attempts.get(id_)
        if attempt is None or attempt.nonce != nonce:
            return
        if result == "unknown" and attempt.fenced:
            # Retry under a new claim. Once the engine has seen the later fencing
            # token, it refuses this one, so a delayed copy of this send can't undo
            # a later order.
            del self._attempts[id_]
            self._retry_nonces[id_] = nonce
            self._back_off(now, id_)
        else:
            self._end_attempt(now, id_, nonce, result, text)

    # Processing.

    def on_tick(self, now: float) -> Iterator[AppendRecords | SendOrder]:
        """Advance every order that may run, and append queued records."""
        for state in self.fold.runnable:
            attempt = self._attempts.get(state.order.id)
            if attempt is not None:
                yield from self._advance(now, state, attempt)
            elif self._owns(state.order.endpoint):
                self._decide(now, state)
        yield from self._append(now)

    def _append(self, now: float) -> Iterator[AppendRecords]:
        if self._outbox and not self._appending and now >= self._append_at:
            self._appending = tuple(self._outbox)
            rows = tuple(to_json(record) for record in self._outbox.values())
            yield AppendRecords(ORDER_STREAM, rows)

    def _advance(
        self, now: float, state: OrderState, attempt: _Attempt
    ) -> Iterator[SendOrder]:
        if attempt.phase is _Phase.SENT:
            return
        id_, nonce = state.order.id, attempt.nonce
        holds_claim = state.claim is not None and state.claim.nonce == nonce
        if now >= attempt.not_after:
            # A process that was frozen after its claim resumes here. Another owner
            # may have executed later orders in the meantime.
            self._outbox.pop((id_, nonce, "claim"), None)
            self._end_attempt(now, id_, nonce, "not_sent", "too late to send")
        elif holds_claim:
            attempt.phase = _Phase.SENT
            yield SendOrder(state.order, nonce, state.fencing, attempt.not_after)
        elif self.fold.has_seen(id_, nonce):
            del self._attempts[id_]
            self._back_off(now, id_)

    def _decide(self, now: float, state: OrderState) -> None:
        id_ = state.order.id
        endpoint_fenced = self._checks_fencing(state.order.endpoint)
        waited = now - self._first_seen[id_, NO_CLAIM]
        if waited >= state.ends_at - state.time:
            self._append_expired(now, id_)
        elif now < self._not_before.get(id_, 0.0):
            return
        elif state.claim is not None:
            self._take_over(now, state, bool(endpoint_fenced))
        elif endpoint_fenced is not None:
            if state.order.op != "load" or id_ in self.fold.claimable_loads():
                self._claim(now, state, endpoint_fenced)
        elif waited >= UNKNOWN_ENDPOINT_GRACE_S:
            self._enqueue(Done(id_, "", "refused", "no such endpoint"))

    def _append_expired(self, now: float, id_: str) -> None:
        # Orders expire by the log's time, which advances only with new records, so
        # append one.
        self._enqueue(Done(id_, "", "expired"))
        self._not_before[id_] = now + EXPIRY_RECORD_INTERVAL_S

    def _take_over(self, now: float, state: OrderState, endpoint_fenced: bool) -> None:
        claim = state.claim
        if (claim.id, claim.nonce, "done") in self._outbox:
            return
        timed_out = (
            now - self._first_seen[claim.id, state.fencing] >= self._takeover_timeout_s
        )
        if claim.fenced and endpoint_fenced:
            retry = self._retry_nonces.get(claim.id) == claim.nonce
            if retry or timed_out or not self._is_holder_live(claim.holder):
                self._retry_nonces.pop(claim.id, None)
                self._claim(now, state, True)
        elif timed_out:
            # The holder may have sent the order already; sending it again could run
            # it twice.
            text = f"no result from {claim.holder}"
            self._enqueue(Done(claim.id, claim.nonce, "unknown", text))

    def _claim(self, now: float, state: OrderState, fenced: bool) -> None:
        id_ = state.order.id
        nonce = f"{self._holder_id}:{next(self._attempt_numbers)}"
        self._attempts[id_] = _Attempt(nonce, fenced, now + self._send_window_s)
        self._enqueue(Claim(id_, nonce, self._holder_id, state.fencing, fenced))

    def _end_attempt(
        self, now: float, id_: str, nonce: str, result: str, text: str
    ) -> None:
        del self._attempts[id_]
        self._enqueue(Done(id_, nonce, result, text))
        if result == "not_sent":
            self._back_off(now, id_)

    def _back_off(self, now: float, id_: str) -> None:
        failures = self._failures[id_] = self._failures.get(id_, 0) + 1
        self._not_before[id_] = now + _backoff_delay_s(failures)

    def _enqueue(self, record: Claim | Done) -> None:
        kind = "claim" if isinstance(record, Claim) else "done"
        self._outbox.setdefault((record.id, record.nonce, kind), record)


def _backoff_delay_s(failures: int) -> float:
    return min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(failures - 1, 10))
