"""State of a caller's request from its arrival to its answer."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from hashlib import sha256
from time import monotonic

from opentelemetry.trace import Span

from greengageflow.core.catalog import ClientAccount, Endpoint, Pool
from greengageflow.core.fingerprint import (
    RequestIdentity,
    fingerprint_of,
    part_fingerprints,
)
from greengageflow.errors import Ran
from greengageflow.net.callers import ChatCall, ServiceCall
from greengageflow.net.engine_client import EngineCall
from greengageflow.net.http_pool import Exchange


class Phase(Enum):
    """Stage of a request."""

    NEW = auto()
    ASKING = auto()
    QUEUED = auto()
    RUNNING = auto()


@dataclass(slots=True)
class RequestContext:
    """State of one request in flight.

    Args:
        id: Request id, unique in the fleet.
        call: Call of the caller, with its body and reply.
        account: Client account that is charged.
        pool: Pool that serves the request.
        cost: Expected cost, in tokens.
        deadline: Monotonic time by which the final answer is due.
        action_key: Account and idempotency key of a protected action, or empty.
        prefix: Digest of the prompt's prefix, or empty.
    """

    id: str
    call: ChatCall | ServiceCall
    account: ClientAccount
    pool: Pool
    cost: float
    deadline: float
    action_key: str = ""
    prefix: bytes = b""
    arrived_at: float = field(default_factory=monotonic)
    queued_at: float = 0.0
    started_at: float = 0.0
    grant: str = ""
    endpoint: Endpoint | None = None
    run: EngineCall | Exchange | None = None
    attempts: int = 0
    pieces: int = 0
    run_is_sound: bool = False
    ran: Ran = Ran.NO
    streamed_body: bytearray = field(default_factory=bytearray)
    phase: Phase = Phase.NEW
    span: Span | None = None
    stage_span: Span | None = None
    _identity: RequestIdentity | None = None

    def describe(self, result: str = "") -> dict[str, object]:
        """Return the status document of the request; times in seconds."""
        return {
            "id": self.id,
            "wire_id": self.wire_id,
            "account": self.account.name,
            "pool": self.pool.name,
            "phase": self.phase.name.lower(),
            "result": result,
            "protected": self.protected,
            "endpoint": self.endpoint.name if self.endpoint else "",
            "grant": self.grant,
            "attempts": self.attempts,
            "pieces": self.pieces,
            "waited_s": round(max(0.0, self.started_at - self.queued_at), 3),
            "age_s": round(monotonic() - self.arrived_at, 3),
        }

    @property
    def wire_id(self) -> str:
        """Id of the current attempt as sent to the endpoint."""
        return self.id if self.attempts <= 1 else f"{self.id}.{self.attempts}"

    @property
    def digest(self) -> str:
        """SHA-256 of the content that must match for a repeated idempotency key."""
        match self.call:
            case ChatCall(body=body):
                content: object = body
            case ServiceCall() as call:
                content = (call.method, call.service, call.target, call.body)
        return sha256(repr(content).encode()).hexdigest()

    @property
    def identity(self) -> RequestIdentity:
        """Identifies the request when the caller sends it again, and its messages."""
        if self._identity is None:
            texts = (self.account.name, self.pool.name, self.digest)
            self._identity = RequestIdentity(
                fingerprint_of(*map(str.encode, texts)),
                part_fingerprints(self._shared_messages()),
            )
        return self._identity

    def _shared_messages(self) -> Iterator[str]:
        """Yield the messages of a chat that other conversations may share."""
        body = self.call.body if isinstance(self.call, ChatCall) else None
        messages = body.get("messages") if isinstance(body, dict) else None
        if isinstance(messages, list):
            yield from (f"{self.pool.name} {message!r}" for message in messages[:-1])

    @property
    def protected(self) -> bool:
        """True when the request must run at most once."""
        return bool(self.action_key)
