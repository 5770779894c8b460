"""Reconstructs the timeline of a request from collected decision lines."""

import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from itertools import pairwise
from json import dumps
from pathlib import Path
from typing import Any

from greengageflow.net.decision_events import DecisionEvent as Event
from greengageflow.net.decision_events import Level
from greengageflow.ops.decision_lines import ClockOffsets, DecisionLine, decision_lines
from greengageflow.ops.decision_messages import format_message

_STATE_LOOKBACK_S = 30.0
_STATE_LOOKAHEAD_S = 5.0
_RETRY_WINDOW_S = 30.0
_MAX_CLOCK_SKEW_S = 1.0
_SUCCESS_STATUS = range(200, 400)
_FINAL_EVENTS = {
    Event.REFUSED,
    Event.FINISHED,
    Event.FINISHED_LATE,
    Event.FAILED,
    Event.CUT,
    Event.CALLER_LEFT,
}
_PERSISTENT_STATES = {
    Event.ENDPOINT_LEAVING,
    Event.ENDPOINT_GONE,
    Event.ENDPOINT_SUSPECT,
    Event.ENDPOINT_HELD,
    Event.LIST_LOST,
    Event.CONFIG_IN_FORCE,
    Event.KEYS_UNTRUSTED,
    Event.STORE_LOST,
    Event.PEERS_LOST,
    Event.PLACER_SILENT,
    Event.STOPPING,
    Event.HOST_BEHIND,
}

LineSource = Callable[[], Iterable[str]]
"""Returns an iterator over all lines of the collected text; called repeatedly."""


@dataclass(frozen=True, slots=True)
class Step:
    """One entry of a timeline.

    Args:
        time: Corrected time, in seconds since the Unix epoch.
        line: The decision line.
    """

    time: float
    line: DecisionLine


@dataclass(frozen=True, slots=True)
class Attempt:
    """All steps of one request id, which is one attempt of the caller.

    Args:
        request: The request id.
        steps: Its steps in time order; at least one.
    """

    request: str
    steps: tuple[Step, ...]

    @property
    def start(self) -> float:
        """Time of the first step."""
        return self.steps[0].time

    @property
    def end(self) -> Step | None:
        """The final step, or None if it is unknown."""
        final_steps = (step for step in self.steps if step.line.event in _FINAL_EVENTS)
        return max(final_steps, key=lambda step: step.time, default=None)

    def may_be_retried_as(self, later: "Attempt") -> bool:
        """Return whether ``later`` may be the caller's retry of this attempt.

        A killed router logs no final event; then only the time decides.
        """
        end = self.end
        if end is None:
            return later.start - self.steps[-1].time <= _RETRY_WINDOW_S
        if end.line.fields.get("status") in _SUCCESS_STATUS:
            return False
        return -_MAX_CLOCK_SKEW_S <= later.start - end.time <= _RETRY_WINDOW_S


@dataclass(frozen=True, slots=True)
class Timeline:
    """Timeline of a request and its retries.

    Args:
        attempts: The attempts of the request in time order; empty if no line
            mentions the request.
        states: State changes of the routers and endpoints involved, in time order.
        lines_read: Number of decision lines read.
        lines_dropped: Number of lines that routers reported as dropped.
    """

    attempts: tuple[Attempt, ...] = ()
    states: tuple[Step, ...] = ()
    lines_read: int = 0
    lines_dropped: int = 0


def read_files(paths: Sequence[str]) -> LineSource:
    """Return a source of the lines of files; ``-`` is standard input.

    Raises:
        ExceptionGroup: Contains the ``OSError`` of each file that cannot be opened.
    """
    failures = []
    for path in paths:
        try:
            if path != "-":
                Path(path).open().close()
        except OSError as exc:
            failures.append(exc)
    if failures:
        raise ExceptionGroup("files", failures)
    stdin = sys.stdin.read().splitlines() if "-" in paths else []

    def rows() -> Iterator[str]:
        for path in paths:
            if path == "-":
                yield from stdin
                continue
            with Path(path).open(errors="replace") as file:
                yield from file

    return rows


def build_timeline(request: str, source: LineSource) -> Timeline:
    """Build the timeline of a request; reads the source twice."""
    first_pass = _FirstPass(request)
    for line in decision_lines(source()):
        first_pass.add(line)
    related_ids = first_pass.related_ids()
    quoted_ids = [dumps(id_) for id_ in related_ids]
    rows = (
        row for row in source() if any(quoted_id in row for quoted_id in quoted_ids)
    )
    steps: dict[str, list[Step]] = {}
    for line in decision_lines(rows):
        if line.request in related_ids:
            steps.setdefault(line.request, []).append(first_pass.step(line))
    attempts = [Attempt(id_, _in_time_order(found)) for id_, found in steps.items()]
    chain = _retry_chain(request, sorted(attempts, key=lambda attempt: attempt.start))
    return Timeline(
        attempts=chain,
        states=tuple(_relevant_states(chain, map(first_pass.step, first_pass.states))),
        lines_read=first_pass.lines,
        lines_dropped=first_pass.dropped,
    )


class _FirstPass:
    """First pass: collects clock offsets, states and the request ids per digest."""

    def __init__(self, request: str) -> None:
        self._request = request
        self._ids: dict[str, set[str]] = {}
        self._digests: set[str] = set()
        self._clock_offsets = ClockOffsets()
        self.states: list[DecisionLine] = []
        self.lines = 0
        self.dropped = 0

    def add(self, line: DecisionLine) -> None:
        self.lines += 1
        self._clock_offsets.record_offset(line)
        if line.event.level is Level.STATE:
            self.states.append(line)
        if line.event is Event.LINES_DROPPED:
            counts = line.fields.values()
            self.dropped += sum(count for count in counts if type(count) is int)
        if digest := line.fields.get("digest"):
            self._ids.setdefault(str(digest), set()).add(line.request)
            if line.request == self._request:
                self._digests.add(str(digest))

    def related_ids(self) -> set[str]:
        same = (self._ids[digest] for digest in self._digests)
        return {self._request}.union(*same) - {""}

    def step(self, line: DecisionLine) -> Step:
        return Step(self._clock_offsets.time(line), line)


def _in_time_order(steps: Iterable[Step]) -> tuple[Step, ...]:
    return tuple(sorted(steps, key=lambda step: (step.time, step.line.number)))


def _retry_chain(request: str, attempts: Sequence[Attempt]) -> tuple[Attempt, ...]:
    """Return the consecutive retries that include ``request``."""
    chain: list[Attempt] = []
    found = False
    for attempt in attempts:
        if chain and not chain[-1].may_be_retried_as(attempt):
            if found:
                break
            chain = []
        chain.append(attempt)
        found = found or attempt.request == request
    return tuple(chain) if found else ()


def _relevant_states(
    chain: Sequence[Attempt], states: Iterable[Step]
) -> Iterator[Step]:
    """Yield state changes near the attempts and earlier states still in effect."""
    if not chain:
        return
    lines = [step.line for attempt in chain for step in attempt.steps]
    hosts = {line.host for line in lines}
    endpoints = {line.fields.get(name) for line in lines for name in _ENDPOINT_FIELDS}
    start = chain[0].start - _STATE_LOOKBACK_S
    end = (
        max(step.time for attempt in chain for step in attempt.steps)
        + _STATE_LOOKAHEAD_S
    )
    last: dict[tuple[str, ...], Step] = {}
    nearby: list[Step] = []
    for step in _in_time_order(states):
        line = step.line
        endpoint = line.fields.get("endpoint")
        if line.host not in hosts or (endpoint and endpoint not in endpoints):
            continue
        if step.time < start:
            last[(*line.incarnation, _subject(line.event), endpoint or "")] = step
        elif step.time <= end:
            nearby.append(step)
    persistent = (
        step for step in last.values() if step.line.event in _PERSISTENT_STATES
    )
    yield from _in_time_order(persistent)
    yield from nearby


_ENDPOINT_FIELDS = ("endpoint", "before")


def _subject(event: Event) -> str:
    return event.name.partition("_")[0]


def timeline_text(request: str, timeline: Timeline) -> str:
    """Format a timeline for reading, one line per step in time order."""
    if not timeline.attempts:
        return (
            f"no line mentions request {request}; {timeline.lines_read} decision lines"
            f" read, {timeline.lines_dropped} dropped by the routers"
        )
    origin = next(a.start for a in timeline.attempts if a.request == request)
    stamp = datetime.fromtimestamp(origin, UTC).isoformat(timespec="milliseconds")
    head = [f"request {request}, seconds from {stamp}"]
    for earlier, later in pairwise(timeline.attempts):
        gap = later.start - earlier.steps[-1].time
        head.append(
            f"{earlier.request} was probably retried as {later.request}"
            f" {max(0.0, gap):.3f} s later"
        )
    steps = [step for attempt in timeline.attempts for step in attempt.steps]
    rows = _in_time_order([*steps, *timeline.states])
    width = max(len(step.line.host) for step in rows)
    show_ids = len(timeline.attempts) > 1
    return "\n".join(head + [_row(step, origin, width, show_ids) for step in rows])


def _row(step: Step, origin: float, width: int, show_ids: bool) -> str:
    line = step.line
    name = f"{line.request} " if show_ids and line.request else ""
    mark = "*" if line.event.level is Level.STATE else " "
    text = f"{name}{format_message(line)}"
    return (
        f"{step.time - origin:+9.3f} {mark} {line.host:<{width}}"
        f" {line.event.number} {text}"
    )


def timeline_data(timeline: Timeline) -> dict[str, Any]:
    """Return a timeline as a JSON value."""
    return {
        "attempts": [
            {
                "request": attempt.request,
                "steps": [_step_data(s) for s in attempt.steps],
            }
            for attempt in timeline.attempts
        ],
        "states": [_step_data(step) for step in timeline.states],
        "lines_read": timeline.lines_read,
        "lines_dropped": timeline.lines_dropped,
    }


def _step_data(step: Step) -> dict[str, Any]:
    line = step.line
    head = {"time": step.time, "host": line.host, "boot": line.boot}
    event = {"event": line.event.number, "name": line.event.name}
    return {**head, **event, **line.fields}
