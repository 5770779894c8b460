"""Parses decision log lines from the collected output of several hosts."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from json import JSONDecoder
from typing import Any

from greengageflow.net.decision_events import DecisionEvent

_EVENT_MARKER = '"GG7'
_OFFSET_BUCKETS_PER_S = 10
_HEADER_FIELDS = ("time", "up", "line", "host", "boot", "event", "name")
_EVENTS = {event.number: event for event in DecisionEvent}
_JSON_DECODER = JSONDecoder()


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One line of the decision log.

    Args:
        event: Type of the decision.
        host: Host of the router.
        boot: Id of the router process, new at every start.
        number: Sequence number among the lines of that process.
        monotonic_s: Monotonic clock of the host, in seconds.
        unix_time: Wall clock of the host, in seconds; it may jump.
        fields: All other fields of the line.
    """

    event: DecisionEvent
    host: str
    boot: str
    number: int
    monotonic_s: float
    unix_time: float
    fields: Mapping[str, Any]

    @property
    def request(self) -> str:
        """Id of the request, or empty."""
        return str(self.fields.get("request") or "")

    @property
    def incarnation(self) -> tuple[str, str]:
        """Host and boot id of the router process that wrote the line."""
        return self.host, self.boot


def decision_lines(text: Iterable[str]) -> Iterator[DecisionLine]:
    """Yield the decision lines in collected text.

    Collectors may prefix the JSON object with text and interleave lines of other
    programs. A killed process leaves a partial line that the next line continues.
    """
    for row in text:
        if _EVENT_MARKER in row:
            yield from _parse_row(row)


def _parse_row(row: str) -> Iterator[DecisionLine]:
    start = row.find("{")
    while start >= 0:
        try:
            value, end = _JSON_DECODER.raw_decode(row, start)
        except (ValueError, RecursionError):
            end = start + 1
        else:
            if line := _parse_line(value):
                yield line
        start = row.find("{", end)


def _parse_line(value: Mapping[str, Any]) -> DecisionLine | None:
    try:
        _, monotonic_s, number, host, boot, event, _ = (
            value[name] for name in _HEADER_FIELDS
        )
        return DecisionLine(
            event=_EVENTS[event],
            host=str(host),
            boot=str(boot),
            number=int(number),
            monotonic_s=float(monotonic_s),
            unix_time=datetime.fromisoformat(value["time"]).timestamp(),
            fields={name: value[name] for name in value if name not in _HEADER_FIELDS},
        )
    except (KeyError, TypeError, ValueError):
        return None


class ClockOffsets:
    """Computes line times from the monotonic clock of each host.

    The wall clock of a host may jump, which would reorder lines from before and
    after the jump. So a line's time is its monotonic time plus the most frequent
    offset among the lines of the same process. The clocks of two hosts may differ.
    """

    def __init__(self) -> None:
        self._offsets: dict[tuple[str, str], Counter[int]] = {}
        self._first_offsets: dict[tuple[tuple[str, str], int], float] = {}

    def record_offset(self, line: DecisionLine) -> None:
        """Count the offset between the wall and monotonic clocks of a line."""
        offset = line.unix_time - line.monotonic_s
        bucket = round(offset * _OFFSET_BUCKETS_PER_S)
        self._offsets.setdefault(line.incarnation, Counter())[bucket] += 1
        self._first_offsets.setdefault((line.incarnation, bucket), offset)

    def time(self, line: DecisionLine) -> float:
        """Return the time of a line, in seconds since the Unix epoch."""
        offsets = self._offsets.get(line.incarnation)
        if not offsets:
            return line.unix_time
        bucket, _ = offsets.most_common(1)[0]
        return line.monotonic_s + self._first_offsets[line.incarnation, bucket]
