"""One request that is forwarded as it came."""

from dataclasses import dataclass

from greengageflow.core.quarantine import Fingerprint, fingerprint_of

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A run of prompt tokens that requests may share.

    Args:
        id: Names the content.
        tokens: Its length.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model engine has to read and to write.

    Args:
        parts: Parts in order; the last one is the request's own or its session's.
        tokens_in: All prompt tokens.
        tokens_out: Most tokens to generate.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may have, too."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def affinity(self) -> str:
        """Id of the deepest shared part, or of the only one; empty without parts."""
        if len(self.parts) > 1:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ""

    @property
    def work(self) -> float:
        """Cost in tokens: each read one once, each generated one twice."""
        return self.tokens_in + 2.0 * self.tokens_out


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A caller's request, checked.

    Args:
        id: Id that the caller gave it.
        method: HTTP method.
        host: Host name that the caller asked.
        target: Path and query as sent.
        headers: Headers to pass on, names in lower case.
        body: Whole body.
        key: Account key, or empty.
        patience_s: Seconds that the caller waits, or None when it did not say.
        prompt: Work of a model request, or None.
        last_event: Number of the last event that the caller has, or None.
    """

    id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    key: str = ""
    patience_s: float | None = None
    prompt: Prompt | None = None
    last_event: int | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


def request_fingerprint(req: ForwardRequest, account: str) -> Fingerprint:
    """Return what stays the same when the caller sends a request again."""
    head = f"{req.method} {req.host} {req.target}"
    return fingerprint_of(account.encode(), head.encode(), req.body)
