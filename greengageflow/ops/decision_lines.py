"""Parses decision log lines from the collected output of several hosts."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from json import JSONDecoder
from typing import Any

from greengageflow.net.decision_events import DecisionEvent

_MARK = '"GG7'
_BUCKETS_PER_S = 10
_HEAD = ("time", "up", "line", "host", "boot", "event", "name")
_EVENTS = {event.number: event for event in DecisionEvent}
_decoder = JSONDecoder()


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One line of the decision log.

    Args:
        event: Type of the decision.
        host: Host of the router.
        boot: Id of the router process, new at every start.
        number: Sequence number among the lines of that process.
        up: Monotonic clock of the host, in seconds.
        unix_time: Wall clock of the host, in seconds; it may jump.
        fields: All other fields of the line.
    """

    event: DecisionEvent
    host: str
    boot: str
    number: int
    up: float
    unix_time: float
    fields: Mapping[str, Any]

    @property
    def request(self) -> str:
        """Id of the request, or empty."""
        return str(self.fields.get("request") or "")

    @property
    def life(self) -> tuple[str, str]:
        """Host and boot id of the router process that wrote the line."""
        return self.host, self.boot


def decision_lines(text: Iterable[str]) -> Iterator[DecisionLine]:
    """Yield the decision lines in collected text.

    Collectors may prefix the JSON object with text and interleave lines of other
    programs. A killed process leaves a partial line that the next line continues.
    """
    for row in text:
        if _MARK in row:
            yield from _lines_in(row)


def _lines_in(row: str) -> Iterator[DecisionLine]:
    start = row.find("{")
    while start >= 0:
        try:
            value, end = _decoder.raw_decode(row, start)
        except (ValueError, RecursionError):
            end = start + 1
        else:
            if line := _line(value):
                yield line
        start = row.find("{", end)


def _line(value: Mapping[str, Any]) -> DecisionLine | None:
    try:
        _, up, number, host, boot, event, _ = (value[name] for name in _HEAD)
        return DecisionLine(
            event=_EVENTS[event],
            host=str(host),
            boot=str(boot),
            number=int(number),
            up=float(up),
            unix_time=datetime.fromisoformat(value["time"]).timestamp(),
            fields={name: value[name] for name in value if name not in _HEAD},
        )
    except (KeyError, TypeError, ValueError):
        return None


class Clocks:
    """Computes line times from the monotonic clock of each host.

    The wall clock of a host may jump, which would reorder lines from before and
    after the jump. So a line's time is its monotonic time plus the most frequent
    offset among the lines of the same process. The clocks of two hosts may differ.
    """

    def __init__(self) -> None:
        self._offsets: dict[tuple[str, str], Counter[int]] = {}
        self._exact: dict[tuple[tuple[str, str], int], float] = {}

    def learn(self, line: DecisionLine) -> None:
        """Count the offset between the wall and monotonic clocks of a line."""
        offset = line.unix_time - line.up
        bucket = round(offset * _BUCKETS_PER_S)
        self._offsets.setdefault(line.life, Counter())[bucket] += 1
        self._exact.setdefault((line.life, bucket), offset)

    def time(self, line: DecisionLine) -> float:
        """Return the time of a line, in seconds since the Unix epoch."""
        offsets = self._offsets.get(line.life)
        if not offsets:
            return line.unix_time
        bucket, _ = offsets.most_common(1)[0]
        return line.up + self._exact[line.life, bucket]
