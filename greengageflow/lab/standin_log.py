"""Stand-in for the platform's append-only log service."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from time import monotonic, time

from greengageflow.lab._standin_http import BadCallError, Call, Reply, StandIn
from greengageflow.net.timers import Subscription

APPEND = "append"
READ = "read"
MAX_READ = 10_000


@dataclass(frozen=True, slots=True)
class Record:
    """A stored record; ``time`` is in Unix seconds."""

    offset: int
    time: float
    record: object

    @property
    def wire(self) -> dict[str, object]:
        """The record as sent to readers."""
        return {"offset": self.offset, "time": self.time, "record": self.record}


@dataclass(slots=True, eq=False)
class _Reader:
    call: Call
    start: int
    limit: int
    timeout: Subscription | None = None


@dataclass(slots=True)
class _Stream:
    records: deque[Record] = field(default_factory=deque)
    next_offset: int = 0
    readers: list[_Reader] = field(default_factory=list)

    @property
    def first_offset(self) -> int:
        return self.next_offset - len(self.records)

    def append(self, values: list[object], now: float) -> int:
        first = self.next_offset
        for value in values:
            self.records.append(Record(self.next_offset, now, value))
            self.next_offset += 1
        return first

    def trim(self, before: float, max_records: int) -> None:
        while self.records and (
            self.records[0].time < before or len(self.records) > max_records
        ):
            self.records.popleft()

    def read(self, start: int, limit: int) -> Iterator[Record]:
        # Most readers are near the end, which a deque reaches fast in reverse order.
        behind = max(0, self.next_offset - start)
        tail = list(islice(reversed(self.records), behind))
        return islice(reversed(tail), limit)

    @property
    def bounds(self) -> dict[str, int]:
        return {"first_offset": self.first_offset, "next_offset": self.next_offset}


class LogStandIn(StandIn):
    """Log service with offsets, rate-limited appends, retention and long polling.

    Example:
        greengage-standin log --port 7100 --appends_per_s 300 --keep_s 900

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        appends_per_s: Rate limit of appends over all streams, of any size.
        keep_s: Retention time of a record, in seconds.
        keep_records: Maximum number of records kept per stream.
    """

    control_paths = frozenset({"/stats"})

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        appends_per_s: float = 300.0,
        keep_s: float = 3600.0,
        keep_records: int = 1_000_000,
    ) -> None:
        super().__init__(host, port)
        self._appends_per_s = appends_per_s
        self._keep_s = keep_s
        self._keep_records = keep_records
        self._tokens = appends_per_s
        self._refilled_at = monotonic()
        self._streams: dict[str, _Stream] = {}
        self._stats = dict.fromkeys(
            ("appends", "records", "bytes", "refused", "reads"), 0
        )

    def operation(self, call: Call) -> str:
        """Return ``append`` or ``read``."""
        return APPEND if call.method == "POST" else READ

    def answer(self, call: Call) -> Reply | None:
        """Handle an append, a read or a request for the statistics."""
        if call.path == "/stats":
            return Reply(200, self._stats)
        match call.method, call.parts:
            case "POST", ["streams", name, "records"]:
                return self._append(call, name)
            case "GET", ["streams", name, "records"]:
                return self._read(call, name)
        return Reply(404, {"error": "no such path"})

    def on_disconnect(self, sock) -> None:
        """Remove the long polls of a closed connection."""
        for stream in self._streams.values():
            stream.readers = [
                reader for reader in stream.readers if reader.call.sock != sock
            ]

    def on_faults_changed(self) -> None:
        """Cut the connections of all long polls if the log goes down."""
        if not self.faults.down or self.faults.only == APPEND:
            return
        for stream in self._streams.values():
            readers, stream.readers = stream.readers, []
            for reader in readers:
                reader.timeout.cancel()
                self.cut(reader.call)

    def _take_token(self) -> bool:
        now = monotonic()
        refilled = self._tokens + (now - self._refilled_at) * self._appends_per_s
        self._tokens = min(max(1.0, self._appends_per_s), refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _append(self, call: Call, name: str) -> Reply:
        values = call.json.get("records")
        if not isinstance(values, list) or not values:
            raise BadCallError("records must be a non-empty list")
        if not self._take_token():
            self._stats["refused"] += 1
            return Reply(429, {"error": "too many appends"}, {"Retry-After": "1"})
        stream = self._streams.setdefault(name, _Stream())
        first = stream.append(values, time())
        self._stats["appends"] += 1
        self._stats["records"] += len(values)
        self._stats["bytes"] += len(call.data)
        self._answer_readers(stream)
        return Reply(200, {"first_offset": first, "count": len(values)})

    def _answer_readers(self, stream: _Stream) -> None:
        readers, stream.readers = stream.readers, []
        for reader in readers:
            if reader.timeout is not None:
                reader.timeout.cancel()
            self.reply(reader.call, self._page(stream, reader))

    def _read(self, call: Call, name: str) -> Reply | None:
        start = int(call.number("from", 0))
        limit = min(MAX_READ, int(call.number("limit", 1000)))
        wait_s = call.number("wait_s", 0)
        self._stats["reads"] += 1
        stream = self._streams.get(name)
        if stream is None and wait_s > 0:
            # The first append creates a stream; a long poll may wait for it.
            stream = self._streams.setdefault(name, _Stream())
        if stream is None:
            stream = _Stream()
        reader = _Reader(call, start, limit)
        if start < stream.next_offset or wait_s <= 0:
            return self._page(stream, reader)
        stream.readers.append(reader)
        reader.timeout = self.timers.after(
            wait_s, lambda: self._on_poll_timeout(stream, reader)
        )
        return None

    def _on_poll_timeout(self, stream: _Stream, reader: _Reader) -> None:
        if reader in stream.readers:
            stream.readers.remove(reader)
            self.reply(reader.call, self._page(stream, reader))

    def _page(self, stream: _Stream, reader: _Reader) -> Reply:
        stream.trim(time() - self._keep_s, self._keep_records)
        if reader.start < stream.first_offset:
            return Reply(410, {"error": "forgotten", **stream.bounds})
        records = [record.wire for record in stream.read(reader.start, reader.limit)]
        return Reply(200, {"records": records, **stream.bounds})
