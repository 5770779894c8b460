"""Messages between hosts and placers about requests."""

from dataclasses import dataclass
from enum import IntEnum


class Verdict(IntEnum):
    """Verdict of a placer on a request."""

    START = 1
    REFUSE = 2
    QUEUED = 3
    PASS = 4
    """The placer does not place it now; the host decides for itself."""


class PlacementEventKind(IntEnum):
    """Event in the life of a placed request."""

    FIRST_EVENT = 1
    ENDED = 2
    """Its caller has the answer or left, or the endpoint no longer works on it."""
    FAILED = 3
    """The endpoint answered with an error of its own."""
    SILENT = 4
    """The endpoint did not answer."""
    WITHDRAWN = 5
    """Its host has not sent it to the endpoint that the placer chose, and will not."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Request of a host to place a call.

    Args:
        host: The host that received it from the caller.
        boot: Start time of the host's process.
        request: Its id at the host.
        service: Service that runs it.
        account: Client account.
        priority: Rank within the account.
        waited_s: Seconds since its arrival.
        slack_s: Seconds until its target time, negative when that has passed.
        timeout_s: Seconds until it is abandoned.
        target_s: Target latency, in seconds from its arrival.
        parts: Ids and tokens of the shareable prompt parts, in order.
        tokens_in: Prompt tokens in total.
        tokens_out: Upper bound of the tokens to generate.
        avoid: Endpoints that do not answer this host.
        zone: Availability zone of the host.
        allowed_zones: Zones whose endpoints may run it, or None for all.
        version: Software version whose endpoints may run it; empty for all.
        redirected: Another placer has rejected it. It counts there in the demand of its
            account.
    """

    host: str
    boot: int
    request: str
    service: str
    account: str
    priority: int
    waited_s: float
    slack_s: float
    timeout_s: float
    target_s: float
    parts: tuple[tuple[str, int], ...]
    tokens_in: int
    tokens_out: int
    avoid: tuple[str, ...] = ()
    zone: str = ""
    allowed_zones: tuple[str, ...] | None = None
    version: str = ""
    redirected: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementAnswer:
    """Answer of a placer.

    Args:
        host: The placer.
        boot: Start time of the process that asked.
        request: Id of the request at the asking host.
        verdict: The decision.
        endpoint: Endpoint to send it to, with ``START``.
        fetch_from: Engine that holds the shared parts in its prefix cache, or empty.
        reading: Prompt tokens that the endpoint has to prefill.
        wait_s: Predicted seconds to the first event.
        kind: Error kind, with ``REFUSE``.
        message: Reason, with ``REFUSE``.
        retry_after_s: Seconds after which the caller may retry, with ``REFUSE``.
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
class PlacementEvent:
    """Event of a placed request, sent by its host.

    Args:
        host: The host.
        boot: Start time of its process.
        request: Id of the request.
        kind: The event.
    """

    host: str
    boot: int
    request: str
    kind: PlacementEventKind


@dataclass(frozen=True, slots=True)
class PlacementEntry:
    """A request of a host that a placer started or still has to place.

    Args:
        request: Its id at the host.
        endpoint: Where it runs; empty while it waits at the placer.
        reading: Prompt tokens to prefill; 0 after the first event.
        memory: Tokens of engine memory that it occupies at its end.
        born: Start time of the endpoint, in Unix milliseconds; 0 if not given.
    """

    request: str
    endpoint: str = ""
    reading: float = 0.0
    memory: float = 0.0
    born: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSnapshot:
    """Snapshot of a host's requests at one placer; makes up for lost messages.

    Args:
        host: The host.
        boot: Start time of its process.
        entries: All its requests that wait there or run on the placer's endpoints.
    """

    host: str
    boot: int
    entries: tuple[PlacementEntry, ...] = ()


PlacementMessage = (
    PlacementRequest | PlacementAnswer | PlacementEvent | PlacementSnapshot
)
