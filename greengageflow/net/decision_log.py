"""One JSON line for each decision, written without ever blocking the loop."""

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
"""How often ``flush`` is meant to be called, in seconds."""

_REPORT_INTERVAL_S = 1.0
_FILE_CHUNK = 65536
_CHUNKS_PER_FLUSH = 16
_LONGEST_LINE = 2048
_LONGEST_TEXT = 200
_SHARES = 1024
_AIM = 0.9
_RESERVES = (0.5, 0.25, 0.1, 0.0)
"""Part of budget and buffer that each level leaves to the levels above it."""

_encode = JSONEncoder(separators=(",", ":"), allow_nan=False).encode


class Drop(StrEnum):
    """Why a line was dropped."""

    SAMPLED = "sampled"
    BUDGET = "budget"
    BUFFER = "buffer"
    SINK = "sink"


class DecisionLog:
    """Writes decisions to a descriptor; ``docs/OPERATIONS.md`` tells how to read them.

    ``write`` only encodes; ``flush``, called by the owner's timer, hands whole lines
    to the descriptor. A descriptor that takes nothing fills the buffer, then lines
    are dropped, counted, and reported by a ``LINES_DROPPED`` line.

    The descriptor keeps its flags: O_NONBLOCK belongs to the open file description,
    which standard output may share with the standard error and with other processes,
    and their writes would then fail. Instead each write follows a poll that says
    writable and is at most PIPE_BUF long, which a pipe then takes whole. So a reader
    that has stopped cannot block the loop; only another process that fills the same
    pipe between poll and write could, until that reader goes on. A terminal stopped
    by hand may block too. A regular file is always writable and gets longer writes.

    Args:
        fd: Descriptor to write to.
        host: Host of this router; part of each line.
        limit_lines_per_s: Budget of lines, and the largest burst.
        buffer_bytes: Most bytes that wait for the descriptor.
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
        """Queue one line; it does no input or output.

        Args:
            event: What was decided.
            **fields: JSON values, named by ``event.fields``.
        """
        up = clock_gettime(CLOCK_BOOTTIME)
        if reason := self._refusal(event.level, fields.get("request"), up):
            self._count_drop(reason)
            return
        self._tokens -= 1
        self._append(self._line(event, fields, up))

    def flush(self) -> None:
        """Hand queued lines to the descriptor as far as it takes them now."""
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
        """Choose the share of requests whose routine lines fit beside the rest.

        Without it the budget would end in the middle of each request's lines: many
        begun stories and few whole ones. Aiming a little below the budget leaves room
        for ids that come in clusters. The choice goes by the id, so it is the same
        for all lines of a request, on all hosts under the same pressure.
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
            # A field that is no JSON value must not end the request it tells of.
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
            # The reader is gone or the file is full; later lines may fare better.
            self._count_drop(Drop.SINK, len(lines))
            written = len(chunk)
        self._bytes -= written
        if rest := chunk[written:]:
            self._pending.appendleft(rest)
        return not rest

    def _chunk(self) -> Iterator[bytes]:
        """Take whole lines, so that other writers' lines come only between them."""
        room = _FILE_CHUNK if self._is_file else PIPE_BUF
        while self._pending and len(self._pending[0]) <= room:
            line = self._pending.popleft()
            room -= len(line)
            yield line


def _joined(head: str, fields: dict[str, Any]) -> bytes:
    # By hand for the usual types: an encoder call takes nearly twice as long.
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
    """Return a line of bounded length whose fields are short texts."""
    texts = {name: str(value)[:_LONGEST_TEXT] for name, value in fields.items()}
    line = _joined(head, texts)
    if len(line) <= _LONGEST_LINE:
        return line
    return _joined(head, {"request": texts.get("request", "")})
