"""A caller's request that is forwarded unchanged."""

from dataclasses import dataclass

from greengageflow.core.fingerprint import (
    Fingerprint,
    RequestIdentity,
    fingerprint_of,
    part_fingerprints,
)

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A segment of prompt tokens that requests may share.

    Args:
        id: Identifies the content.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt and the output limit of a model request.

    Args:
        parts: Parts in order; the last one belongs to this request or its session.
        tokens_in: Total prompt tokens.
        tokens_out: Maximum number of tokens to generate.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def affinity(self) -> str:
        """Id of the deepest shared part, or of the only part; empty without parts."""
        if len(self.parts) > 1:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ""

    @property
    def work(self) -> float:
        """Cost in tokens; a prompt token counts once, a generated one twice."""
        return self.tokens_in + 2.0 * self.tokens_out


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A validated request of a caller.

    Args:
        id: Request id given by the caller.
        method: HTTP method.
        host: Host name of the request.
        target: Path and query as sent.
        headers: Headers to forward, names in lower case.
        body: Complete body.
        key: Account key, or empty.
        max_wait_s: Seconds for which the caller waits, or None if not given.
        prompt: Prompt of a model request, or None.
        last_event: Id of the last event that the caller received, or None.
        last_event_text: The same as sent by the caller, also if it is not a number.
        resumes: Id of the request that began the stream that this one resumes, or
            empty.
        http_1_0: True for an HTTP/1.0 request.
    """

    id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    key: str = ""
    max_wait_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None
    last_event_text: str = ""
    resumes: str = ""
    http_1_0: bool = False

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


def request_fingerprint(req: ForwardRequest, account: str) -> Fingerprint:
    """Return a fingerprint that is the same when a caller resends a request."""
    head = f"{req.method} {req.host} {req.target}"
    return fingerprint_of(account.encode(), head.encode(), req.body)


def request_identity(req: ForwardRequest, account: str) -> RequestIdentity:
    """Return the fingerprints of a request and of the shared parts of its prompt."""
    parts = req.prompt.parts[:-1] if req.prompt else ()
    return RequestIdentity(
        request_fingerprint(req, account), part_fingerprints(part.id for part in parts)
    )
