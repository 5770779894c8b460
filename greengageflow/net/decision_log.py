"""Log of decisions as JSON lines, written without blocking the event loop."""

from collections import Counter, deque
from collections.abc import Iterator
from enum import StrEnum
from json import JSONEncoder, dumps
from json.encoder import encode_basestring_ascii as quoted
from math import isfinite
from os import fstat, urandom, write
from select import PIPE_BUF, POLLOUT, poll
from stat import S_ISREG
from time import CLOCK_BOOTTIME, clock_gettime, gmtime, strftime, time
from typing import Any
from zlib import crc32

from greengageflow.net.decision_events import DecisionEvent, Level

FLUSH_INTERVAL_S = 0.2
"""Interval at which the owner calls ``flush``, in seconds."""

_REPORT_INTERVAL_S = 1.0
_FILE_CHUNK_BYTES = 65536
_MAX_CHUNKS_PER_FLUSH = 16
_MAX_LINE_BYTES = 2048
_MAX_TEXT_CHARS = 200
_SAMPLE_BUCKETS = 1024
_TARGET_FRACTION = 0.9
_RESERVED_FRACTIONS = (0.5, 0.25, 0.1, 0.0)
"""Fraction of budget and buffer that each level leaves to the levels above it."""

_encode = JSONEncoder(separators=(",", ":"), allow_nan=False).encode


class Drop(StrEnum):
    """Reason for which a line was dropped."""

    SAMPLED = "sampled"
    BUDGET = "budget"
    BUFFER = "buffer"
    SINK = "sink"


class DecisionLog:
    """Writes decisions to a descriptor; ``docs/OPERATIONS.md`` describes the lines.

    ``write`` only encodes and queues. ``flush``, called by a timer of the owner, writes
    whole lines to the descriptor. While the descriptor is not writable, the buffer
    fills; after that, lines are dropped, counted, and reported by a ``LINES_DROPPED``
    line.

    The descriptor keeps its flags: O_NONBLOCK belongs to the open file description,
    which standard output may share with standard error and with other processes, whose
    writes would then fail. Instead, each write follows a poll that reports the
    descriptor writable and is at most PIPE_BUF long, which a pipe then accepts without
    blocking. A stalled reader therefore cannot block the event loop, unless another
    process fills the same pipe between poll and write; the loop then blocks until the
    reader continues. A terminal that the user has stopped may block as well. A regular
    file is always writable and gets larger writes.

    Args:
        fd: Descriptor to write to.
        host: Host of this router; part of each line.
        limit_lines_per_s: Rate limit of lines, and the largest burst.
        buffer_bytes: Maximum number of bytes queued for the descriptor.
    """

    def __init__(
        self,
        fd: int,
        host: str,
        limit_lines_per_s: float = 200.0,
        buffer_bytes: int = 262144,
    ) -> None:
        self._fd = fd
        self._limit_lines_per_s = limit_lines_per_s
        self._buffer_bytes = buffer_bytes
        self._byte_limits = [buffer_bytes * (1 - part) for part in _RESERVED_FRACTIONS]
        self._token_floors = [
            limit_lines_per_s * part + 1 for part in _RESERVED_FRACTIONS
        ]
        self._is_file = S_ISREG(fstat(fd).st_mode)
        self._poll = poll()
        if not self._is_file:
            self._poll.register(fd, POLLOUT)
        tags = f'"host":{dumps(host)},"boot":"{urandom(3).hex()}"'
        self._prefixes = {
            event.number: f'{tags},"event":"{event.number}","name":"{event.name}"'
            for event in DecisionEvent
        }
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._lines = 0
        self._tokens = limit_lines_per_s
        self._refilled_at = self._window_end = self._next_report_at = 0.0
        self._second, self._date = -1, ""
        self._lines_by_level = [0] * len(Level)
        self._sampled_buckets = _SAMPLE_BUCKETS
        self._unreported: Counter[Drop] = Counter()
        self.dropped: Counter[Drop] = Counter()

    def write(self, event: DecisionEvent, **fields: Any) -> None:
        """Queue one line, without any I/O.

        Args:
            event: The event.
            **fields: JSON values for the names in ``event.fields``.
        """
        uptime_s = clock_gettime(CLOCK_BOOTTIME)
        if reason := self._drop_reason(event.level, fields.get("request"), uptime_s):
            self._count_drop(reason)
            return
        self._tokens -= 1
        self._append(self._line(event, fields, uptime_s))

    def flush(self) -> None:
        """Write queued lines as far as the descriptor accepts them now."""
        if self._unreported:
            self._report()
        for _ in range(_MAX_CHUNKS_PER_FLUSH):
            if not self._pending or not self._is_writable():
                return
            if not self._write_chunk():
                return

    def _drop_reason(
        self, level: Level, request: str | None, uptime_s: float
    ) -> Drop | None:
        if uptime_s >= self._window_end:
            self._start_window(uptime_s)
        self._lines_by_level[level] += 1
        refill = (uptime_s - self._refilled_at) * self._limit_lines_per_s
        self._tokens = min(self._limit_lines_per_s, self._tokens + refill)
        self._refilled_at = uptime_s
        if self._pending_bytes >= self._byte_limits[level]:
            return Drop.BUFFER
        if level is Level.ROUTINE and not self._is_sampled(request):
            return Drop.SAMPLED
        if self._tokens < self._token_floors[level]:
            return Drop.BUDGET
        return None

    def _start_window(self, uptime_s: float) -> None:
        """Start a one-second window and set the sampling rate of routine lines.

        The rate is the fraction of requests whose routine lines fit into the budget
        beside the other lines. Without sampling, the budget would run out in the middle
        of a request's lines, and most requests would be logged incompletely. The target
        is slightly below the budget to allow for clusters of sampled ids. Sampling
        is by a hash of the id, so it is the same for all lines of a request, and on all
        hosts with the same rate.
        """
        routine = self._lines_by_level[Level.ROUTINE]
        others = sum(self._lines_by_level) - routine
        routine_budget = max(0.0, self._limit_lines_per_s * _TARGET_FRACTION - others)
        self._sampled_buckets = (
            _SAMPLE_BUCKETS
            if routine <= routine_budget
            else int(_SAMPLE_BUCKETS * routine_budget / routine)
        )
        self._lines_by_level = [0] * len(Level)
        self._window_end = uptime_s + 1

    def _is_sampled(self, request: str | None) -> bool:
        if self._sampled_buckets == _SAMPLE_BUCKETS or request is None:
            return True
        return crc32(str(request).encode()) % _SAMPLE_BUCKETS < self._sampled_buckets

    def _line(
        self, event: DecisionEvent, fields: dict[str, Any], uptime_s: float
    ) -> bytes:
        prefix = self._prefix(event, uptime_s)
        try:
            line = _format_line(prefix, fields)
        except (TypeError, ValueError):
            # An invalid field must not fail the request that the line is about.
            line = _short_line(prefix, fields)
        return line if len(line) <= _MAX_LINE_BYTES else _short_line(prefix, fields)

    def _prefix(self, event: DecisionEvent, uptime_s: float) -> str:
        now = time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._date = strftime("%Y-%m-%dT%H:%M:%S", gmtime(second))
        self._lines += 1
        millis = int((now - second) * 1000)
        return (
            f'{{"time":"{self._date}.{millis:03d}Z","up":{uptime_s:.3f},'
            f'"line":{self._lines},{self._prefixes[event.number]}'
        )

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _count_drop(self, reason: Drop, lines: int = 1) -> None:
        self.dropped[reason] += lines
        self._unreported[reason] += lines

    def _report(self) -> None:
        uptime_s = clock_gettime(CLOCK_BOOTTIME)
        if uptime_s < self._next_report_at or self._pending_bytes >= self._buffer_bytes:
            return
        self._next_report_at = uptime_s + _REPORT_INTERVAL_S
        counts = {reason.value: self._unreported[reason] for reason in Drop}
        self._unreported.clear()
        self._append(self._line(DecisionEvent.LINES_DROPPED, counts, uptime_s))

    def _is_writable(self) -> bool:
        return self._is_file or bool(self._poll.poll(0))

    def _write_chunk(self) -> bool:
        lines = list(self._chunk())
        chunk = b"".join(lines)
        try:
            written = write(self._fd, chunk)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed or the disk is full; later writes may succeed.
            self._count_drop(Drop.SINK, len(lines))
            written = len(chunk)
        self._pending_bytes -= written
        if remainder := chunk[written:]:
            self._pending.appendleft(remainder)
        return not remainder

    def _chunk(self) -> Iterator[bytes]:
        """Take whole lines only, so that lines of other writers do not split them."""
        free_bytes = _FILE_CHUNK_BYTES if self._is_file else PIPE_BUF
        while self._pending and len(self._pending[0]) <= free_bytes:
            line = self._pending.popleft()
            free_bytes -= len(line)
            yield line


def _format_line(prefix: str, fields: dict[str, Any]) -> bytes:
    # Common types are formatted directly: the encoder takes nearly twice as long.
    parts = [prefix]
    for name, value in fields.items():
        if type(value) is int:
            parts.append(f',"{name}":{value}')
        elif type(value) is str:
            parts.append(f',"{name}":{quoted(value)}')
        elif type(value) is float and isfinite(value):
            parts.append(f',"{name}":{value!r}')
        else:
            parts.append(f',"{name}":{_encode(value)}')
    parts.append("}\n")
    return "".join(parts).encode()


def _short_line(prefix: str, fields: dict[str, Any]) -> bytes:
    """Return a line of bounded length with fields converted to short strings."""
    texts = {name: str(value)[:_MAX_TEXT_CHARS] for name, value in fields.items()}
    line = _format_line(prefix, texts)
    if len(line) <= _MAX_LINE_BYTES:
        return line
    return _format_line(prefix, {"request": texts.get("request", "")})
