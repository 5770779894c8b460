"""Protected actions on the writer of a log stream: group commit and verdicts.

Each key belongs to one stream of the log, and each stream has one writer: a router
that appends on behalf of all others, which bounds the number of appends of the whole
fleet. Two concurrent writers are safe, because verdicts derive only from records
read back from the log.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from greengageflow.core.actions import (
    ActionFold,
    ActionRecord,
    Intent,
    KeyState,
    Outcome,
    Release,
    from_json,
    limit_body,
    partition_of,
    to_json,
)
from greengageflow.core.effects import AppendRecords, Effect, ReadRecords, Send
from greengageflow.core.log_records import (
    Appended,
    AppendResult,
    LogFailure,
    OffsetTrimmed,
    ReadResult,
    Records,
)
from greengageflow.core.messages import (
    IntentRequest,
    IntentVerdict,
    OutcomeReport,
    OutcomeStored,
    PeerId,
)

APPEND_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Most records in one append.
MAX_BATCH_RECORDS = 200
# Most records per stream that wait to be appended; further ones are not queued.
MAX_OUTBOX_RECORDS = 10_000


@dataclass(slots=True)
class _Waiter:
    """A router that waits for the verdict on an intent, and its deadline."""

    host: str
    intent: Intent
    deadline: float


@dataclass(slots=True)
class _Stream:
    """State of one stream that this router writes.

    ``fold`` covers the records before ``next_offset``; this router's own appends end
    at ``target_offset``. ``stale`` is set when another read is needed in any case.
    """

    name: str
    fold: ActionFold
    next_offset: int = 0
    target_offset: int = 0
    stale: bool = False
    reading: bool = False
    in_flight: tuple[ActionRecord, ...] = ()
    outbox: dict[tuple[str, str], ActionRecord] = field(default_factory=dict)
    waiters: dict[str, _Waiter] = field(default_factory=dict)
    pending_reports: dict[str, str] = field(default_factory=dict)
    next_append_at: float = 0.0
    next_read_at: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    last_used: float = 0.0


class ActionWriter:
    """Appends intents and outcomes, and sends verdicts to entry routers.

    Args:
        expiry_s: Seconds for which a key is remembered.
        append_interval_s: Shortest time between two appends to one stream, in
            seconds.
    """

    def __init__(
        self, expiry_s: float = 600.0, *, append_interval_s: float = APPEND_INTERVAL_S
    ) -> None:
        self._expiry_s = expiry_s
        self._append_interval_s = append_interval_s
        self._streams: dict[str, _Stream] = {}

    @property
    def key_count(self) -> int:
        """Number of keys held in memory."""
        return sum(len(stream.fold) for stream in self._streams.values())

    @property
    def outbox_size(self) -> int:
        """Number of records that wait to be appended."""
        return sum(len(stream.outbox) for stream in self._streams.values())

    def _stream(self, now: float, key: str) -> _Stream:
        name = partition_of(key)
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = _Stream(name, ActionFold(self._expiry_s))
        stream.last_used = now
        return stream

    def receive(
        self, now: float, sender: PeerId, message: IntentRequest | OutcomeReport
    ) -> Iterator[Effect]:
        """Handle a message from an entry router."""
        stream = self._stream(now, message.key)
        match message:
            case IntentRequest():
                yield from self._on_intent_request(now, stream, sender, message)
            case OutcomeReport():
                yield from self._on_outcome_report(stream, sender, message)
        yield from self._pump(now, stream)

    def _on_intent_request(
        self, now: float, stream: _Stream, sender: PeerId, req: IntentRequest
    ) -> Iterator[Effect]:
        verdict = self._final_verdict(stream, req)
        if verdict is not None:
            yield Send(sender.host, verdict)
            return
        holder = f"{sender.host}:{sender.boot}"
        intent = Intent(req.key, req.nonce, req.digest, holder)
        stream.waiters[req.nonce] = _Waiter(sender.host, intent, now + req.wait_s)
        if _held_by_other(stream.fold.state(req.key), intent):
            stream.stale = True
        else:
            _enqueue(stream, intent)

    def _final_verdict(
        self, stream: _Stream, req: IntentRequest
    ) -> IntentVerdict | None:
        """Return the verdict if no later record can change it, else None."""
        state = stream.fold.state(req.key)
        if stream.fold.is_released(req.nonce):
            return IntentVerdict(req.nonce, "released")
        if state is None:
            return None
        if state.nonce == req.nonce and state.outcome is None:
            return IntentVerdict(req.nonce, "first")
        if state.outcome is None or state.digest != req.digest:
            return None
        return _verdict(req.nonce, req.digest, state)

    def _on_outcome_report(
        self, stream: _Stream, sender: PeerId, report: OutcomeReport
    ) -> Iterator[Effect]:
        state = stream.fold.state(report.key)
        ended = state and state.nonce == report.nonce and state.outcome
        if ended or stream.fold.is_released(report.nonce):
            yield Send(sender.host, OutcomeStored(report.nonce))
            return
        stream.pending_reports[report.nonce] = sender.host
        _enqueue(stream, _report_record(report))

    def _pump(self, now: float, stream: _Stream) -> Iterator[Effect]:
        """Start the next append or read that is due."""
        if stream.outbox and not stream.in_flight and now >= stream.next_append_at:
            stream.in_flight = tuple(list(stream.outbox.values())[:MAX_BATCH_RECORDS])
            rows = tuple(to_json(record) for record in stream.in_flight)
            yield AppendRecords(stream.name, rows)
        behind = stream.stale or stream.next_offset < stream.target_offset
        if behind and not stream.reading and now >= stream.next_read_at:
            stream.reading = True
            stream.stale = False
            yield ReadRecords(stream.name, stream.next_offset)

    def on_append(
        self, now: float, name: str, result: AppendResult
    ) -> Iterator[Effect]:
        """Handle the result of ``AppendRecords``."""
        stream = self._streams[name]
        batch, stream.in_flight = stream.in_flight, ()
        match result:
            case Appended(first_offset, count):
                stream.target_offset = max(stream.target_offset, first_offset + count)
                stream.next_append_at = now + self._append_interval_s
                stream.backoff_s = INITIAL_BACKOFF_S
                for record in batch:
                    stream.outbox.pop(_outbox_key(record), None)
            case LogFailure(retry_after_s=wait):
                # The append may have succeeded even though it returned an error.
                # The records stay in the outbox and are appended again with the
                # same nonces; the fold ignores duplicates.
                stream.next_append_at = now + max(stream.backoff_s, wait or 0.0)
                stream.backoff_s = min(MAX_BACKOFF_S, stream.backoff_s * 2)
        yield from self._pump(now, stream)

    def on_read(self, now: float, name: str, result: ReadResult) -> Iterator[Effect]:
        """Handle the result of ``ReadRecords``."""
        stream = self._streams[name]
        stream.reading = False
        match result:
            case Records(records, next_offset=end):
                for row in records:
                    record = from_json(row.record)
                    if record is not None:
                        stream.fold.apply(row.time, record)
                    stream.next_offset = row.offset + 1
                stream.stale = stream.next_offset < end
            case OffsetTrimmed(first_offset):
                stream.next_offset = max(stream.next_offset, first_offset)
                stream.stale = True
            case LogFailure():
                stream.next_read_at = now + INITIAL_BACKOFF_S
                stream.stale = True
        if stream.next_offset >= stream.target_offset and not stream.stale:
            yield from self._respond(stream)
        yield from self._pump(now, stream)

    def _respond(self, stream: _Stream) -> Iterator[Effect]:
        for nonce, waiter in list(stream.waiters.items()):
            if (nonce, "intent") in stream.outbox:
                continue
            state = stream.fold.state(waiter.intent.key)
            if stream.fold.is_released(nonce):
                verdict = IntentVerdict(nonce, "released")
            elif state is None:
                _enqueue(stream, waiter.intent)
                continue
            else:
                verdict = _verdict(nonce, waiter.intent.digest, state)
            del stream.waiters[nonce]
            yield Send(waiter.host, verdict)
        for nonce, host in list(stream.pending_reports.items()):
            if (nonce, "end") not in stream.outbox:
                del stream.pending_reports[nonce]
                yield Send(host, OutcomeStored(nonce))

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Retry failed appends and reads, and drop requests past their deadline."""
        for stream in list(self._streams.values()):
            for nonce, waiter in list(stream.waiters.items()):
                if waiter.deadline <= now:
                    self._drop_waiter(stream, nonce)
            yield from self._pump(now, stream)
            idle = not (stream.outbox or stream.waiters or stream.reading)
            if (
                idle
                and not stream.in_flight
                and now - stream.last_used > self._expiry_s
            ):
                del self._streams[stream.name]

    @staticmethod
    def _drop_waiter(stream: _Stream, nonce: str) -> None:
        del stream.waiters[nonce]
        sent = any(record.nonce == nonce for record in stream.in_flight)
        if not sent:
            stream.outbox.pop((nonce, "intent"), None)


def _held_by_other(state: KeyState | None, intent: Intent) -> bool:
    """Return whether another attempt at the same request holds the key."""
    if state is None or state.outcome is not None:
        return False
    return state.nonce != intent.nonce and state.digest == intent.digest


def _enqueue(stream: _Stream, record: ActionRecord) -> None:
    if len(stream.outbox) < MAX_OUTBOX_RECORDS:
        stream.outbox.setdefault(_outbox_key(record), record)


def _outbox_key(record: ActionRecord) -> tuple[str, str]:
    return record.nonce, "intent" if isinstance(record, Intent) else "end"


def _report_record(report: OutcomeReport) -> ActionRecord:
    if report.ran == "no":
        return Release(report.key, report.nonce)
    return limit_body(
        Outcome(
            report.key,
            report.nonce,
            report.ran,
            report.status,
            report.content_type,
            report.body,
        )
    )


def _verdict(nonce: str, digest: str, state: KeyState) -> IntentVerdict:
    if state.digest != digest:
        return IntentVerdict(nonce, "conflict")
    match state.outcome:
        case None if state.nonce == nonce:
            return IntentVerdict(nonce, "first")
        case None:
            return IntentVerdict(nonce, "taken", holder=state.holder)
        case Outcome(ran="unknown"):
            return IntentVerdict(nonce, "unknown")
        case Outcome(kept=False):
            return IntentVerdict(nonce, "large")
        case Outcome() as end:
            return IntentVerdict(nonce, "done", end.status, end.content_type, end.body)
