"""Log of decisions as JSON lines, written without blocking the event loop."""

from collections import Counter, deque
from collections.abc import Iterator
from enum import StrEnum
from json import JSONEncoder, dumps
from json.encoder import encode_basestring_ascii as quoted
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
_FILE_CHUNK = 65536
_CHUNKS_PER_FLUSH = 16
_LONGEST_LINE = 2048
_LONGEST_TEXT = 200
_SHARES = 1024
_AIM = 0.9
_RESERVES = (0.5, 0.25, 0.1, 0.0)
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
        self._limit = limit_lines_per_s
        self._room = buffer_bytes
        self._byte_limits = [buffer_bytes * (1 - part) for part in _RESERVES]
        self._token_floors = [limit_lines_per_s * part + 1 for part in _RESERVES]
        self._is_file = S_ISREG(fstat(fd).st_mode)
        self._poll = poll()
        if not self._is_file:
            self._poll.register(fd, POLLOUT)
        tags = f'"host":{dumps(host)},"boot":"{urandom(3).hex()}"'
        self._heads = {
            event.number: f'{tags},"event":"{event.number}","name":"{event.name}"'
            for event in DecisionEvent
        }
        self._pending: deque[bytes] = deque()
        self._bytes = 0
        self._lines = 0
        self._tokens = limit_lines_per_s
        self._refilled = self._window_end = self._report_at = 0.0
        self._second, self._date = -1, ""
        self._offered = [0] * len(Level)
        self._share = _SHARES
        self._unreported: Counter[Drop] = Counter()
        self.dropped: Counter[Drop] = Counter()

    def write(self, event: DecisionEvent, **fields: Any) -> None:
        """Queue one line, without any I/O.

        Args:
            event: The event.
            **fields: JSON values for the names in ``event.fields``.
        """
        up = clock_gettime(CLOCK_BOOTTIME)
        if reason := self._refusal(event.level, fields.get("request"), up):
            self._count_drop(reason)
            return
        self._tokens -= 1
        self._append(self._line(event, fields, up))

    def flush(self) -> None:
        """Write queued lines as far as the descriptor accepts them now."""
        if self._unreported:
            self._report()
        for _ in range(_CHUNKS_PER_FLUSH):
            if not self._pending or not self._is_writable():
                return
            if not self._write_chunk():
                return

    def _refusal(self, level: Level, request: str | None, up: float) -> Drop | None:
        if up >= self._window_end:
            self._turn_window(up)
        self._offered[level] += 1
        earned = (up - self._refilled) * self._limit
        self._tokens = min(self._limit, self._tokens + earned)
        self._refilled = up
        if self._bytes >= self._byte_limits[level]:
            return Drop.BUFFER
        if level is Level.ROUTINE and not self._is_sampled(request):
            return Drop.SAMPLED
        if self._tokens < self._token_floors[level]:
            return Drop.BUDGET
        return None

    def _turn_window(self, up: float) -> None:
        """Start a one-second window and set the sampling rate of routine lines.

        The rate is the fraction of requests whose routine lines fit into the budget
        beside the other lines. Without sampling, the budget would run out in the middle
        of a request's lines, and most requests would be logged incompletely. The target
        is slightly below the budget to allow for clusters of sampled ids. Sampling
        is by a hash of the id, so it is the same for all lines of a request, and on all
        hosts with the same rate.
        """
        routine = self._offered[Level.ROUTINE]
        others = sum(self._offered) - routine
        room = max(0.0, self._limit * _AIM - others)
        self._share = _SHARES if routine <= room else int(_SHARES * room / routine)
        self._offered = [0] * len(Level)
        self._window_end = up + 1

    def _is_sampled(self, request: str | None) -> bool:
        if self._share == _SHARES or request is None:
            return True
        return crc32(str(request).encode()) % _SHARES < self._share

    def _line(self, event: DecisionEvent, fields: dict[str, Any], up: float) -> bytes:
        head = self._head(event, up)
        try:
            line = _joined(head, fields)
        except (TypeError, ValueError):
            # An invalid field must not fail the request that the line is about.
            line = _short_line(head, fields)
        return line if len(line) <= _LONGEST_LINE else _short_line(head, fields)

    def _head(self, event: DecisionEvent, up: float) -> str:
        now = time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._date = strftime("%Y-%m-%dT%H:%M:%S", gmtime(second))
        self._lines += 1
        millis = int((now - second) * 1000)
        return (
            f'{{"time":"{self._date}.{millis:03d}Z","up":{up:.3f},'
            f'"line":{self._lines},{self._heads[event.number]}'
        )

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._bytes += len(line)

    def _count_drop(self, reason: Drop, lines: int = 1) -> None:
        self.dropped[reason] += lines
        self._unreported[reason] += lines

    def _report(self) -> None:
        up = clock_gettime(CLOCK_BOOTTIME)
        if up < self._report_at or self._bytes >= self._room:
            return
        self._report_at = up + _REPORT_INTERVAL_S
        counts = {reason.value: self._unreported[reason] for reason in Drop}
        self._unreported.clear()
        self._append(self._line(DecisionEvent.LINES_DROPPED, counts, up))

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
        self._bytes -= written
        if rest := chunk[written:]:
            self._pending.appendleft(rest)
        return not rest

    def _chunk(self) -> Iterator[bytes]:
        """Take whole lines only, so that lines of other writers do not split them."""
        room = _FILE_CHUNK if self._is_file else PIPE_BUF
        while self._pending and len(self._pending[0]) <= room:
            line = self._pending.popleft()
            room -= len(line)
            yield line


def _joined(head: str, fields: dict[str, Any]) -> bytes:
    # Common types are formatted directly: the encoder takes nearly twice as long.
    parts = [head]
    for name, value in fields.items():
        if type(value) is int:
            parts.append(f',"{name}":{value}')
        elif type(value) is str:
            parts.append(f',"{name}":{quoted(value)}')
        else:
            parts.append(f',"{name}":{_encode(value)}')
    parts.append("}\n")
    return "".join(parts).encode()


def _short_line(head: str, fields: dict[str, Any]) -> bytes:
    """Return a line of bounded length with fields converted to short strings."""
    texts = {name: str(value)[:_LONGEST_TEXT] for name, value in fields.items()}
    line = _joined(head, texts)
    if len(line) <= _LONGEST_LINE:
        return line
    return _joined(head, {"request": texts.get("request", "")})
