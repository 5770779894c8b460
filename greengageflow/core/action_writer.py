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
    bounded,
    from_json,
    partition_of,
    to_json,
)
from greengageflow.core.effects import AppendRecords, Effect, ReadRecords, Send
from greengageflow.core.log_records import (
    Appended,
    AppendResult,
    Lapsed,
    LogFailure,
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
BACKOFF_S = 0.25
BACKOFF_MAX_S = 2.0
# Most records in one append.
BATCH = 200
# Most records per stream that wait to be appended; further ones are not queued.
OUTBOX_LIMIT = 10_000


@dataclass(slots=True)
class _Asker:
    """A router that waits for the verdict on an intent, and its deadline."""

    host: str
    intent: Intent
    until: float


@dataclass(slots=True)
class _Stream:
    """State of one stream that this router writes.

    ``fold`` covers the records before ``next_offset``; this router's own appends end
    at ``read_to``. ``stale`` is set when another read is needed in any case.
    """

    name: str
    fold: ActionFold
    next_offset: int = 0
    read_to: int = 0
    stale: bool = False
    reading: bool = False
    appending: tuple[ActionRecord, ...] = ()
    outbox: dict[tuple[str, str], ActionRecord] = field(default_factory=dict)
    askers: dict[str, _Asker] = field(default_factory=dict)
    reporters: dict[str, str] = field(default_factory=dict)
    append_at: float = 0.0
    read_at: float = 0.0
    backoff_s: float = BACKOFF_S
    used: float = 0.0


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
    def keys_known(self) -> int:
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
        stream.used = now
        return stream

    def receive(
        self, now: float, sender: PeerId, message: IntentRequest | OutcomeReport
    ) -> Iterator[Effect]:
        """Handle a message from an entry router."""
        stream = self._stream(now, message.key)
        match message:
            case IntentRequest():
                yield from self._ask(now, stream, sender, message)
            case OutcomeReport():
                yield from self._report(stream, sender, message)
        yield from self._pump(now, stream)

    def _ask(
        self, now: float, stream: _Stream, sender: PeerId, req: IntentRequest
    ) -> Iterator[Effect]:
        verdict = self._settled(stream, req)
        if verdict is not None:
            yield Send(sender.host, verdict)
            return
        holder = f"{sender.host}:{sender.boot}"
        intent = Intent(req.key, req.nonce, req.digest, holder)
        stream.askers[req.nonce] = _Asker(sender.host, intent, now + req.wait_s)
        if _taken(stream.fold.state(req.key), intent):
            stream.stale = True
        else:
            _enqueue(stream, intent)

    def _settled(self, stream: _Stream, req: IntentRequest) -> IntentVerdict | None:
        """Return the verdict if no later record can change it, else None."""
        state = stream.fold.state(req.key)
        if stream.fold.released(req.nonce):
            return IntentVerdict(req.nonce, "released")
        if state is None:
            return None
        if state.nonce == req.nonce and state.outcome is None:
            return IntentVerdict(req.nonce, "first")
        if state.outcome is None or state.digest != req.digest:
            return None
        return _verdict(req.nonce, req.digest, state)

    def _report(
        self, stream: _Stream, sender: PeerId, report: OutcomeReport
    ) -> Iterator[Effect]:
        state = stream.fold.state(report.key)
        ended = state and state.nonce == report.nonce and state.outcome
        if ended or stream.fold.released(report.nonce):
            yield Send(sender.host, OutcomeStored(report.nonce))
            return
        stream.reporters[report.nonce] = sender.host
        _enqueue(stream, _report_record(report))

    def _pump(self, now: float, stream: _Stream) -> Iterator[Effect]:
        """Start the next append or read that is due."""
        if stream.outbox and not stream.appending and now >= stream.append_at:
            stream.appending = tuple(list(stream.outbox.values())[:BATCH])
            rows = tuple(to_json(record) for record in stream.appending)
            yield AppendRecords(stream.name, rows)
        behind = stream.stale or stream.next_offset < stream.read_to
        if behind and not stream.reading and now >= stream.read_at:
            stream.reading = True
            stream.stale = False
            yield ReadRecords(stream.name, stream.next_offset)

    def on_append(
        self, now: float, name: str, result: AppendResult
    ) -> Iterator[Effect]:
        """Handle the result of ``AppendRecords``."""
        stream = self._streams[name]
        batch, stream.appending = stream.appending, ()
        match result:
            case Appended(first_offset, count):
                stream.read_to = max(stream.read_to, first_offset + count)
                stream.append_at = now + self._append_interval_s
                stream.backoff_s = BACKOFF_S
                for record in batch:
                    stream.outbox.pop(_outbox_key(record), None)
            case LogFailure(retry_after_s=wait):
                # The append may have succeeded even though it returned an error.
                # The records stay in the outbox and are appended again with the
                # same nonces; the fold ignores duplicates.
                stream.append_at = now + max(stream.backoff_s, wait or 0.0)
                stream.backoff_s = min(BACKOFF_MAX_S, stream.backoff_s * 2)
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
            case Lapsed(first_offset):
                stream.next_offset = max(stream.next_offset, first_offset)
                stream.stale = True
            case LogFailure():
                stream.read_at = now + BACKOFF_S
                stream.stale = True
        if stream.next_offset >= stream.read_to and not stream.stale:
            yield from self._answer(stream)
        yield from self._pump(now, stream)

    def _answer(self, stream: _Stream) -> Iterator[Effect]:
        for nonce, asker in list(stream.askers.items()):
            if (nonce, "intent") in stream.outbox:
                continue
            state = stream.fold.state(asker.intent.key)
            if stream.fold.released(nonce):
                verdict = IntentVerdict(nonce, "released")
            elif state is None:
                _enqueue(stream, asker.intent)
                continue
            else:
                verdict = _verdict(nonce, asker.intent.digest, state)
            del stream.askers[nonce]
            yield Send(asker.host, verdict)
        for nonce, host in list(stream.reporters.items()):
            if (nonce, "end") not in stream.outbox:
                del stream.reporters[nonce]
                yield Send(host, OutcomeStored(nonce))

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Retry failed appends and reads, and drop requests past their deadline."""
        for stream in list(self._streams.values()):
            for nonce, asker in list(stream.askers.items()):
                if asker.until <= now:
                    self._forget(stream, nonce)
            yield from self._pump(now, stream)
            idle = not (stream.outbox or stream.askers or stream.reading)
            if idle and not stream.appending and now - stream.used > self._expiry_s:
                del self._streams[stream.name]

    @staticmethod
    def _forget(stream: _Stream, nonce: str) -> None:
        del stream.askers[nonce]
        sent = any(record.nonce == nonce for record in stream.appending)
        if not sent:
            stream.outbox.pop((nonce, "intent"), None)


def _taken(state: KeyState | None, intent: Intent) -> bool:
    """Return whether another attempt at the same request holds the key."""
    if state is None or state.outcome is not None:
        return False
    return state.nonce != intent.nonce and state.digest == intent.digest


def _enqueue(stream: _Stream, record: ActionRecord) -> None:
    if len(stream.outbox) < OUTBOX_LIMIT:
        stream.outbox.setdefault(_outbox_key(record), record)


def _outbox_key(record: ActionRecord) -> tuple[str, str]:
    return record.nonce, "intent" if isinstance(record, Intent) else "end"


def _report_record(report: OutcomeReport) -> ActionRecord:
    if report.ran == "no":
        return Release(report.key, report.nonce)
    return bounded(
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
