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
from greengageflow.ops.decision_lines import Clocks, DecisionLine, decision_lines
from greengageflow.ops.story import sentence

_BEFORE_S = 30.0
_AFTER_S = 5.0
_AGAIN_WITHIN_S = 30.0
_SKEW_S = 1.0
_GOOD_STATUS = range(200, 400)
_ENDINGS = {
    Event.REFUSED,
    Event.FINISHED,
    Event.FINISHED_LATE,
    Event.FAILED,
    Event.CUT,
    Event.CALLER_LEFT,
}
_LASTING = {
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

Source = Callable[[], Iterable[str]]
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
        endings = (step for step in self.steps if step.line.event in _ENDINGS)
        return max(endings, key=lambda step: step.time, default=None)

    def precedes(self, later: "Attempt") -> bool:
        """Return whether ``later`` may be the caller's retry of this attempt.

        A killed router logs no final event; then only the time decides.
        """
        end = self.end
        if end is None:
            return later.start - self.steps[-1].time <= _AGAIN_WITHIN_S
        if end.line.fields.get("status") in _GOOD_STATUS:
            return False
        return -_SKEW_S <= later.start - end.time <= _AGAIN_WITHIN_S


@dataclass(frozen=True, slots=True)
class Story:
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


def read_files(paths: Sequence[str]) -> Source:
    """Return a source of the lines of files; ``-`` is standard input.

    Raises:
        ExceptionGroup: Contains the ``OSError`` of each file that cannot be opened.
    """
    faults = []
    for path in paths:
        try:
            if path != "-":
                Path(path).open().close()
        except OSError as exc:
            faults.append(exc)
    if faults:
        raise ExceptionGroup("files", faults)
    stdin = sys.stdin.read().splitlines() if "-" in paths else []

    def rows() -> Iterator[str]:
        for path in paths:
            if path == "-":
                yield from stdin
                continue
            with Path(path).open(errors="replace") as file:
                yield from file

    return rows


def tell(request: str, source: Source) -> Story:
    """Build the timeline of a request; reads the source twice."""
    survey = _Survey(request)
    for line in decision_lines(source()):
        survey.add(line)
    linked = survey.linked()
    marks = [dumps(id_) for id_ in linked]
    rows = (row for row in source() if any(mark in row for mark in marks))
    steps: dict[str, list[Step]] = {}
    for line in decision_lines(rows):
        if line.request in linked:
            steps.setdefault(line.request, []).append(survey.step(line))
    attempts = [Attempt(id_, _sorted(found)) for id_, found in steps.items()]
    chain = _chain(request, sorted(attempts, key=lambda attempt: attempt.start))
    return Story(
        attempts=chain,
        states=tuple(_states(chain, map(survey.step, survey.states))),
        lines_read=survey.lines,
        lines_dropped=survey.dropped,
    )


class _Survey:
    """First pass: collects clock offsets, states and the request ids per digest."""

    def __init__(self, request: str) -> None:
        self._request = request
        self._ids: dict[str, set[str]] = {}
        self._digests: set[str] = set()
        self._clocks = Clocks()
        self.states: list[DecisionLine] = []
        self.lines = 0
        self.dropped = 0

    def add(self, line: DecisionLine) -> None:
        self.lines += 1
        self._clocks.learn(line)
        if line.event.level is Level.STATE:
            self.states.append(line)
        if line.event is Event.LINES_DROPPED:
            counts = line.fields.values()
            self.dropped += sum(count for count in counts if type(count) is int)
        if digest := line.fields.get("digest"):
            self._ids.setdefault(str(digest), set()).add(line.request)
            if line.request == self._request:
                self._digests.add(str(digest))

    def linked(self) -> set[str]:
        same = (self._ids[digest] for digest in self._digests)
        return {self._request}.union(*same) - {""}

    def step(self, line: DecisionLine) -> Step:
        return Step(self._clocks.time(line), line)


def _sorted(steps: Iterable[Step]) -> tuple[Step, ...]:
    return tuple(sorted(steps, key=lambda step: (step.time, step.line.number)))


def _chain(request: str, attempts: Sequence[Attempt]) -> tuple[Attempt, ...]:
    """Return the consecutive retries that include ``request``."""
    chain: list[Attempt] = []
    found = False
    for attempt in attempts:
        if chain and not chain[-1].precedes(attempt):
            if found:
                break
            chain = []
        chain.append(attempt)
        found = found or attempt.request == request
    return tuple(chain) if found else ()


def _states(chain: Sequence[Attempt], states: Iterable[Step]) -> Iterator[Step]:
    """Yield state changes near the attempts and earlier states still in effect."""
    if not chain:
        return
    lines = [step.line for attempt in chain for step in attempt.steps]
    hosts = {line.host for line in lines}
    endpoints = {line.fields.get(name) for line in lines for name in _ENDPOINT_FIELDS}
    start = chain[0].start - _BEFORE_S
    end = max(step.time for attempt in chain for step in attempt.steps) + _AFTER_S
    last: dict[tuple[str, ...], Step] = {}
    inside: list[Step] = []
    for step in _sorted(states):
        line = step.line
        endpoint = line.fields.get("endpoint")
        if line.host not in hosts or (endpoint and endpoint not in endpoints):
            continue
        if step.time < start:
            last[(*line.life, _subject(line.event), endpoint or "")] = step
        elif step.time <= end:
            inside.append(step)
    lasting = (step for step in last.values() if step.line.event in _LASTING)
    yield from _sorted(lasting)
    yield from inside


_ENDPOINT_FIELDS = ("endpoint", "before")


def _subject(event: Event) -> str:
    return event.name.partition("_")[0]


def story_text(request: str, story: Story) -> str:
    """Format a timeline for reading, one line per step in time order."""
    if not story.attempts:
        return (
            f"no line mentions request {request}; {story.lines_read} decision lines"
            f" read, {story.lines_dropped} dropped by the routers"
        )
    zero = next(a.start for a in story.attempts if a.request == request)
    stamp = datetime.fromtimestamp(zero, UTC).isoformat(timespec="milliseconds")
    head = [f"request {request}, seconds from {stamp}"]
    for earlier, later in pairwise(story.attempts):
        gap = later.start - earlier.steps[-1].time
        head.append(
            f"{earlier.request} was probably retried as {later.request}"
            f" {max(0.0, gap):.3f} s later"
        )
    steps = [step for attempt in story.attempts for step in attempt.steps]
    rows = _sorted([*steps, *story.states])
    width = max(len(step.line.host) for step in rows)
    several = len(story.attempts) > 1
    return "\n".join(head + [_row(step, zero, width, several) for step in rows])


def _row(step: Step, zero: float, width: int, several: bool) -> str:
    line = step.line
    name = f"{line.request} " if several and line.request else ""
    mark = "*" if line.event.level is Level.STATE else " "
    text = f"{name}{sentence(line)}"
    return (
        f"{step.time - zero:+9.3f} {mark} {line.host:<{width}}"
        f" {line.event.number} {text}"
    )


def story_data(story: Story) -> dict[str, Any]:
    """Return a timeline as a JSON value."""
    return {
        "attempts": [
            {"request": attempt.request, "steps": [_data(s) for s in attempt.steps]}
            for attempt in story.attempts
        ],
        "states": [_data(step) for step in story.states],
        "lines_read": story.lines_read,
        "lines_dropped": story.lines_dropped,
    }


def _data(step: Step) -> dict[str, Any]:
    line = step.line
    head = {"time": step.time, "host": line.host, "boot": line.boot}
    event = {"event": line.event.number, "name": line.event.name}
    return {**head, **event, **line.fields}
