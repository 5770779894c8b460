"""Placement messages as values for msgpack."""

from math import isfinite
from typing import Any

from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEntry,
    PlacementEvent,
    PlacementEventKind,
    PlacementMessage,
    PlacementRequest,
    PlacementSnapshot,
    Verdict,
)
from greengageflow.errors import ErrorKind

PLACEMENT_REQUEST, PLACEMENT_ANSWER, PLACEMENT_EVENT, PLACEMENT_SNAPSHOT = (
    15,
    16,
    17,
    18,
)

_MAX_AMOUNT = 2.0**53

_REDIRECTED = ""
"""Stands among the endpoints to avoid for ``PlacementRequest.redirected``.

A placer of the earlier release rejects a request with a further value, but takes any
endpoint id to avoid. No endpoint has the empty one. Such a placer handles the request
as one that nobody has rejected, and counts its demand a second time.
"""

_NO_REQUEST = ""
"""Stands in a snapshot for the request in a row with the start of an endpoint.

The earlier release takes rows of this length only. It ignores those with an endpoint
that is not listed, as the name of a start is not.
"""


def placement_values(message: PlacementMessage) -> tuple[Any, ...]:
    """Return the values of a message, its type number first."""
    match message:
        case PlacementRequest():
            zones = message.allowed_zones
            return (
                PLACEMENT_REQUEST,
                message.host,
                message.boot,
                message.request,
                message.service,
                message.account,
                message.priority,
                round(message.waited_s, 4),
                round(message.slack_s, 4),
                round(message.timeout_s, 4),
                message.target_s,
                message.parts,
                message.tokens_in,
                message.tokens_out,
                (*message.avoid, _REDIRECTED) if message.redirected else message.avoid,
                message.zone,
                # Earlier versions accept only messages without these values.
                *_optional_values(zones, message.version),
            )
        case PlacementAnswer():
            return (
                PLACEMENT_ANSWER,
                message.host,
                message.boot,
                message.request,
                int(message.verdict),
                message.endpoint,
                message.fetch_from,
                int(message.reading),
                round(message.wait_s, 4),
                message.kind,
                message.message,
                round(message.retry_after_s, 3),
            )
        case PlacementEvent():
            kind_number = int(message.kind)
            return (
                PLACEMENT_EVENT,
                message.host,
                message.boot,
                message.request,
                kind_number,
            )
        case PlacementSnapshot():
            entries = tuple(
                (entry.request, entry.endpoint, int(entry.reading), int(entry.memory))
                for entry in message.entries
            )
            starts = tuple(
                (_NO_REQUEST, f"{endpoint} {born}", 0, 0)
                for endpoint, born in _starts(message.entries).items()
            )
            return (PLACEMENT_SNAPSHOT, message.host, message.boot, entries + starts)


def _starts(entries: tuple[PlacementEntry, ...]) -> dict[str, int]:
    return {entry.endpoint: entry.born for entry in entries if entry.born}


def _optional_values(zones: tuple[str, ...] | None, version: str) -> tuple[Any, ...]:
    if version:
        return zones, version
    return () if zones is None else (zones,)


def parse_placement_request(values: list[Any]) -> PlacementRequest:
    """Return a placement request.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    host, boot, request, service, account, priority, *rest = values
    waited_s, slack_s, timeout_s, target_s, *rest = rest
    parts, tokens_in, tokens_out, avoid, zone, *rest = rest
    zones, version = (*rest, *(None, "")[len(rest) :])
    names = tuple(str(name) for name in avoid)
    return PlacementRequest(
        host=str(host),
        boot=int(boot),
        request=str(request),
        service=str(service),
        account=str(account),
        priority=int(priority),
        waited_s=_amount(waited_s),
        slack_s=_finite(slack_s),
        timeout_s=_amount(timeout_s),
        target_s=_amount(target_s),
        parts=tuple((str(name), _count(tokens)) for name, tokens in parts),
        tokens_in=_count(tokens_in),
        tokens_out=_count(tokens_out),
        avoid=tuple(name for name in names if name != _REDIRECTED),
        zone=str(zone),
        allowed_zones=None if zones is None else tuple(str(name) for name in zones),
        version=str(version),
        redirected=_REDIRECTED in names,
    )


def parse_placement_answer(values: list[Any]) -> PlacementAnswer:
    """Return a placement answer.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    host, boot, request, verdict, endpoint, fetch_from, *rest = values
    reading, wait_s, kind, message_text, retry_after_s = rest
    if int(verdict) == Verdict.REFUSE:
        ErrorKind(kind)
    return PlacementAnswer(
        host=str(host),
        boot=int(boot),
        request=str(request),
        verdict=Verdict(verdict),
        endpoint=str(endpoint),
        fetch_from=str(fetch_from),
        reading=_amount(reading),
        wait_s=_amount(wait_s),
        kind=str(kind),
        message=str(message_text),
        retry_after_s=_amount(retry_after_s),
    )


def parse_placement_event(values: list[Any]) -> PlacementEvent:
    """Return a placement event.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    host, boot, request, kind = values
    return PlacementEvent(
        host=str(host),
        boot=int(boot),
        request=str(request),
        kind=PlacementEventKind(kind),
    )


def parse_placement_snapshot(values: list[Any]) -> PlacementSnapshot:
    """Return a placement snapshot.

    Raises:
        ValueError: A value is out of range.
        TypeError: A value has the wrong type.
    """
    host, boot, entries = values
    starts: dict[str, int] = {}
    rows = []
    for request, endpoint, reading, memory in entries:
        if request == _NO_REQUEST:
            name, _, born = str(endpoint).rpartition(" ")
            starts[name] = _count(born)
        else:
            amounts = _amount(reading), _amount(memory)
            rows.append((str(request), str(endpoint), *amounts))
    return PlacementSnapshot(
        host=str(host),
        boot=int(boot),
        entries=tuple(PlacementEntry(*row, starts.get(row[1], 0)) for row in rows),
    )


def _finite(value: Any) -> float:
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"time is not finite: {value!r}")
    return number


def _amount(value: Any) -> float:
    number = float(value)
    if not 0 <= number <= _MAX_AMOUNT:
        raise ValueError(f"amount is out of bounds: {value!r}")
    return number


def _count(value: Any) -> int:
    return int(_amount(value))
