"""Numbered log events; ``docs/EVENTS.md`` documents each of them."""

from __future__ import annotations

import sys
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from time import monotonic
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from loguru import Logger

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"


@dataclass(frozen=True, slots=True)
class EventType:
    """Static definition of an event.

    Args:
        number: Unique event number; numbers are never reused.
        level: Log level.
        template: Format string whose placeholders are the event's fields.
    """

    number: str
    level: str
    template: str


class Event(Enum):
    """All log events, grouped by the first digit of their number.

    GG1: process, GG2: configuration, GG3: platform services, GG4: membership,
    GG5: endpoints, GG6: requests.
    """

    STARTED = EventType("GG101", "INFO", "router {host} started in zone {zone}")
    SETTINGS_REJECTED = EventType("GG102", "ERROR", "settings refused: {fault}")
    STOPPING = EventType("GG103", "INFO", "stopping, {running} requests in flight")
    STOPPED = EventType("GG104", "INFO", "stopped, {cut} requests cut")
    INTERNAL = EventType("GG105", "ERROR", "internal error: {error}")

    CONFIG_ACCEPTED = EventType(
        "GG201", "INFO", "revision {revision} of {author} in force, offset {offset}"
    )
    CONFIG_REJECTED = EventType(
        "GG202", "WARNING", "record {offset} of {author} refused, {reason}: {text}"
    )
    CONFIG_LAPSED = EventType(
        "GG203",
        "WARNING",
        "unread records from {offset} on are lost, log begins at {first_offset}",
    )
    CONFIG_ADOPTED = EventType(
        "GG204", "INFO", "revision {revision} taken from {source}"
    )
    CONFIG_HALTED = EventType("GG205", "ERROR", "configuration updates halted: {text}")
    SNAPSHOT_WRITTEN = EventType(
        "GG206", "INFO", "snapshot of revision {revision} appended at {offset}"
    )
    SNAPSHOT_WRONG = EventType(
        "GG207", "ERROR", "snapshot {offset} of {author} is wrong: {text}"
    )
    LOG_SHORTER = EventType(
        "GG208", "ERROR", "log ends at {next_offset}, already read up to {known}"
    )

    LOG_OUTAGE = EventType("GG301", "WARNING", "log {stream} unavailable: {error}")
    LOG_BACK = EventType("GG302", "INFO", "log {stream} back after {seconds:.1f} s")
    HOST_LIST_OUTAGE = EventType("GG303", "WARNING", "host list unavailable: {error}")
    HOST_LIST_BACK = EventType("GG304", "INFO", "host list back after {seconds:.1f} s")

    MEMBER_JOINED = EventType("GG401", "INFO", "member {host} joined, boot {boot}")
    MEMBER_SUSPECT = EventType("GG402", "WARNING", "member {host} is suspect")
    MEMBER_DEAD = EventType("GG403", "WARNING", "member {host} is dead")
    MEMBER_STOPPING = EventType("GG404", "INFO", "member {host} is stopping")

    ENDPOINT_LEAVING = EventType(
        "GG501", "INFO", "endpoint {endpoint} is leaving, reported by {source}"
    )
    ENDPOINT_RESTED = EventType(
        "GG502", "WARNING", "endpoint {endpoint} paused for {seconds:.1f} s: {error}"
    )
    ENDPOINT_BACK = EventType("GG503", "INFO", "endpoint {endpoint} is back")
    SLOTS_CHANGED = EventType(
        "GG504", "INFO", "endpoint {endpoint} uses {slots} slots, previously {before}"
    )
    ORDER_ENDED = EventType(
        "GG505", "INFO", "order {order} to {endpoint}: {result} {text}"
    )
    ORDER_UNKNOWN = EventType(
        "GG506", "ERROR", "order {order} to {endpoint}: outcome unknown: {text}"
    )

    ENDPOINT_CRASHED = EventType(
        "GG507",
        "ERROR",
        "endpoint {endpoint} crashed with {requests} requests in flight: {digests}",
    )

    ENDPOINT_BACKOFF = EventType(
        "GG508", "WARNING", "endpoint {endpoint} asks for {seconds:.1f} s of backoff"
    )

    QUEUE_FULL = EventType(
        "GG601", "WARNING", "queue of account {account} is full at {limit}"
    )
    STREAM_CUT = EventType(
        "GG602", "WARNING", "request {request} cut by {endpoint} after {pieces} pieces"
    )
    STREAM_RESUMED = EventType(
        "GG603", "INFO", "request {request} resumed on {endpoint} from {pieces}"
    )
    PIECE_DROPPED = EventType(
        "GG604",
        "ERROR",
        "{count} pieces dropped from request {request} on {endpoint}",
    )
    ACTION_UNKNOWN = EventType(
        "GG605", "ERROR", "protected action {request} of {account}: outcome unknown"
    )

    QUARANTINED = EventType(
        "GG606", "ERROR", "request {digest} quarantined {seconds:.0f} s, by {source}"
    )
    QUARANTINE_CLEARED = EventType(
        "GG607", "INFO", "request {digest} cleared by a successful answer"
    )

    @property
    def number(self) -> str:
        """Unique event number."""
        return self.value.number


class _LazyLogger:
    """Imports ``loguru`` at the first line, since few processes write one.

    With its imports it takes a sixth of a gateway's start on a small host.
    """

    def __init__(self) -> None:
        self._logger: Logger | None = None
        self._level = "INFO"
        self._sink: TextIO | None = None

    def configure(self, level: str, sink: TextIO | None) -> None:
        """Set the lowest level and the sink of lines."""
        self._level, self._sink = level, sink
        self._logger = None

    @property
    def logger(self) -> Logger:
        """The configured logger."""
        if self._logger is None:
            from loguru import logger  # noqa: PLC0415

            logger.remove()
            logger.add(
                self._sink or sys.stderr,
                level=self._level,
                format=_FORMAT,
                diagnose=False,
            )
            self._logger = logger
        return self._logger


_lazy = _LazyLogger()


class EventLog:
    """Writes events to the log, rate-limited per event type.

    Without the limit, an account that floods a full queue would make the router
    write one line per refusal, and logging would dominate the event loop.

    Args:
        limit: Maximum number of events of one type per window; 0 disables it.
        window_s: Length of the rate-limit window, in seconds.
    """

    def __init__(self, *, limit: int = 50, window_s: float = 10.0) -> None:
        self._limit = limit
        self._window_s = window_s
        self._window_end = 0.0
        self._counts: defaultdict[Event, int] = defaultdict(int)

    def log(self, event: Event, **fields: Any) -> None:
        """Write an event, unless its type exceeded the limit of this window."""
        self._roll_window(monotonic())
        self._counts[event] += 1
        if not self._limit or self._counts[event] <= self._limit:
            self._write(event, fields)

    def _roll_window(self, now: float) -> None:
        if now < self._window_end:
            return
        self._window_end = now + self._window_s
        counts = dict(self._counts)
        self._counts.clear()
        for event, count in counts.items():
            if self._limit and count > self._limit:
                suppressed = count - self._limit
                _lazy.logger.warning(
                    f"{event.number} {suppressed} more of these left out"
                )

    def _write(self, event: Event, fields: dict[str, Any]) -> None:
        text = _format_template(event.value.template, fields)
        bound = _lazy.logger.bind(event=event.number, **fields)
        # Passed as an argument so that loguru does not format braces in field values.
        bound.log(event.value.level, "{} {}", event.number, text)


def _format_template(template: str, fields: dict[str, Any]) -> str:
    try:
        return template.format(**fields)
    except (KeyError, ValueError):
        # A formatting error must not fail the request that is being logged.
        return f"{template} {fields}"


_events = EventLog()


def log(event: Event, **fields: Any) -> None:
    """Write an event to the log of this process."""
    _events.log(event, **fields)


def log_exception(exc: BaseException, text: str) -> None:
    """Write an exception with its traceback to the log of this process."""
    _lazy.logger.opt(exception=exc).error(text)


def setup_logging(level: str = "INFO", sink: TextIO | None = None) -> None:
    """Log events of at least ``level`` to ``sink``, standard error by default."""
    _lazy.configure(level, sink)
