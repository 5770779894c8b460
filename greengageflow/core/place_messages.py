"""What hosts and placers tell each other of requests."""

from dataclasses import dataclass
from enum import IntEnum


class Verdict(IntEnum):
    """What a placer says of a request."""

    START = 1
    REFUSE = 2
    QUEUED = 3
    PASS = 4
    """It does not place this now; the host decides for itself."""


class Happened(IntEnum):
    """What became of a request that was placed."""

    FIRST_EVENT = 1
    ENDED = 2
    """Its caller has its answer or is gone, or the endpoint no longer works on it."""
    FAILED = 3
    """The endpoint answered with a failure of its own."""
    SILENT = 4
    """The endpoint did not answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceAsk:
    """A host asks where a request goes.

    Args:
        host: The host that has it.
        boot: Start of its process.
        request: Its id there.
        service: Service that runs it.
        account: Client account.
        priority: Rank within the account.
        waited_s: Seconds since it came.
        left_s: Seconds until its answer is late, negative when it is.
        patience_s: Seconds until it is given up.
        target_s: Time from its arrival within which it is worth most, in seconds.
        parts: Ids and tokens of the prompt parts that others may share, in order.
        tokens_in: All prompt tokens.
        tokens_out: Most tokens to generate.
        avoid: Endpoints that do not answer this host.
        zone: Availability zone of the host.
    """

    host: str
    boot: int
    request: str
    service: str
    account: str
    priority: int
    waited_s: float
    left_s: float
    patience_s: float
    target_s: float
    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    tokens_out: int
    avoid: tuple[str, ...] = ()
    zone: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceAnswer:
    """What a placer decided.

    Args:
        host: The placer.
        boot: Start of the process that asked.
        request: Id of the request there.
        verdict: The decision.
        endpoint: Where it goes, with ``START``.
        fetch_from: Engine that keeps shared parts, or empty.
        reading: Prompt tokens that the endpoint has to read.
        wait_s: Predicted seconds to the first event.
        kind: Error kind, with ``REFUSE``.
        message: Why, with ``REFUSE``.
        retry_after_s: When to come back, in seconds.
    """

    host: str
    boot: int
    request: str
    verdict: Verdict
    endpoint: str = ""
    fetch_from: str = ""
    reading: float = 0.0
    wait_s: float = 0.0
    kind: str = ""
    message: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceNote:
    """A host tells what became of a request.

    Args:
        host: The host.
        boot: Start of its process.
        request: Id of the request.
        happened: What became of it.
    """

    host: str
    boot: int
    request: str
    happened: Happened


@dataclass(frozen=True, slots=True)
class PlacedRun:
    """A request that a host has under way by a placer's word, or asked for.

    Args:
        request: Its id at the host.
        endpoint: Where it runs; empty while it waits at the placer.
        reading: Prompt tokens of which no first event has come.
        memory: Tokens that it takes up in the end.
    """

    request: str
    endpoint: str = ""
    reading: float = 0.0
    memory: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceRoll:
    """All that a host has at the endpoints of one placer; makes lost messages good.

    Args:
        host: The host.
        boot: Start of its process.
        runs: What it has there.
    """

    host: str
    boot: int
    runs: tuple[PlacedRun, ...] = ()


PlaceMessage = PlaceAsk | PlaceAnswer | PlaceNote | PlaceRoll
