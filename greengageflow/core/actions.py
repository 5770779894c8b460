"""Log records of protected actions, and the state of each key folded from them.

Before a protected action is sent, an *intent* (key, request digest, nonce) is
appended to the log stream of its idempotency key. The first intent for a key, in
offset order, may send, once. Its outcome is appended afterwards; a *release* frees
the key of an attempt that sent nothing. All readers fold the same records in the
same order and so agree on the result.
"""

import base64
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

PARTITIONS = 16
STREAM_PREFIX = "actions-"
# Largest response body that is stored in the log for replay.
MAX_STORED_BODY_BYTES = 16 * 1024
# Response bodies that one fold keeps in memory, summed over its keys.
MAX_CACHED_BODIES_BYTES = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Intent:
    """An attempt asks for permission to run the action of ``key``.

    Args:
        key: Client account and idempotency key, joined by a newline.
        nonce: Unique id of the attempt.
        digest: SHA-256 of the request, in hexadecimal.
        holder: ``{host}:{boot}`` of the router that makes the attempt.
    """

    key: str
    nonce: str
    digest: str
    holder: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """A sent attempt ended.

    Args:
        key: Client account and idempotency key, joined by a newline.
        nonce: Id of the attempt.
        ran: Whether the action ran: ``yes`` or ``unknown``.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: Body of the response.
        kept: False if the body was too large to store.
    """

    key: str
    nonce: str
    ran: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


@dataclass(frozen=True, slots=True)
class Release:
    """The attempt sent nothing and never will, so the key is free again."""

    key: str
    nonce: str


ActionRecord = Intent | Outcome | Release


def partition_of(key: str) -> str:
    """Return the name of the log stream that holds ``key``."""
    digest = blake2b(key.encode(), digest_size=4).digest()
    return f"{STREAM_PREFIX}{int.from_bytes(digest) % PARTITIONS}"


def to_json(record: ActionRecord) -> dict[str, Any]:
    """Return the JSON form of ``record`` for the log."""
    match record:
        case Intent(key, nonce, digest, holder):
            return {"t": "intent", "k": key, "n": nonce, "d": digest, "h": holder}
        case Release(key, nonce):
            return {"t": "release", "k": key, "n": nonce}
        case Outcome():
            body = base64.b64encode(record.body).decode()
            return {
                "t": "outcome",
                "k": record.key,
                "n": record.nonce,
                "r": record.ran,
                "s": record.status,
                "c": record.content_type,
                "b": body,
                "kept": record.kept,
            }


def from_json(data: Any) -> ActionRecord | None:
    """Return the record in ``data``, or None if it isn't a valid action record."""
    try:
        match data["t"]:
            case "intent":
                return Intent(data["k"], data["n"], data["d"], data["h"])
            case "release":
                return Release(data["k"], data["n"])
            case "outcome":
                body = base64.b64decode(data["b"], validate=True)
                return Outcome(
                    data["k"],
                    data["n"],
                    data["r"],
                    int(data["s"]),
                    data["c"],
                    body,
                    bool(data["kept"]),
                )
    except (KeyError, TypeError, ValueError):
        return None
    return None


def limit_body(outcome: Outcome) -> Outcome:
    """Return ``outcome``, without its body if that is too large for the log."""
    if len(outcome.body) <= MAX_STORED_BODY_BYTES:
        return outcome
    return replace(outcome, body=b"", kept=False)


@dataclass(frozen=True, slots=True)
class KeyState:
    """State of one idempotency key.

    Args:
        nonce: Id of the attempt that holds the key; only it may send.
        digest: Digest of its request.
        holder: ``{host}:{boot}`` of the router that makes the attempt.
        expires_at: Unix time at which the key expires, by the log's clock.
        outcome: Outcome of the attempt, once recorded.
    """

    nonce: str
    digest: str
    holder: str
    expires_at: float
    outcome: Outcome | None = None


class ActionFold:
    """Folds the records of one action stream, in offset order.

    Args:
        expiry_s: Seconds from the last intent for a key until the key expires; must
            be shorter than the retention of the log.
    """

    def __init__(self, expiry_s: float) -> None:
        self._expiry_s = expiry_s
        self._keys: dict[str, KeyState] = {}
        # An append is retried when its response is lost, so a duplicate of an intent
        # can follow the release of the same attempt. Treated as new, it would hold
        # the key for an attempt that has ended.
        self._released: dict[str, float] = {}
        self._body_keys: deque[str] = deque()
        self._body_bytes = 0
        self._time = 0.0
        self._last_cleanup = 0.0

    def __len__(self) -> int:
        """Return the number of keys held."""
        return len(self._keys)

    def state(self, key: str) -> KeyState | None:
        """Return the state of ``key``, or None if the key is free."""
        return self._keys.get(key)

    def is_released(self, nonce: str) -> bool:
        """Return whether the attempt released its key."""
        return nonce in self._released

    def apply(self, time: float, record: ActionRecord) -> None:
        """Fold one record that was appended at ``time`` (unix seconds)."""
        time = self._time = max(self._time, time)
        self._remove_expired(time)
        state = self._keys.get(record.key)
        if state and state.expires_at <= time:
            self._remove_key(record.key)
            state = None
        match record:
            case Intent():
                self._apply_intent(time, record, state)
            case Outcome(nonce=nonce) if state and state.nonce == nonce:
                if state.outcome is None:
                    self._keys[record.key] = replace(state, outcome=record)
                    self._evict_bodies(record)
            case Release(key, nonce):
                self._released[nonce] = time + self._expiry_s
                if state and state.nonce == nonce and state.outcome is None:
                    del self._keys[key]

    def _apply_intent(
        self, time: float, intent: Intent, state: KeyState | None
    ) -> None:
        if intent.nonce in self._released:
            return
        expires_at = time + self._expiry_s
        if state is None:
            self._keys[intent.key] = KeyState(
                intent.nonce, intent.digest, intent.holder, expires_at
            )
        else:
            # Every intent extends the key, even one that doesn't get it. A reader
            # that starts after the first intent was trimmed from the log then
            # expires the key at the same time as one that read it; otherwise the
            # two could grant the key to different attempts.
            self._keys[intent.key] = replace(state, expires_at=expires_at)

    def _evict_bodies(self, outcome: Outcome) -> None:
        self._body_keys.append(outcome.key)
        self._body_bytes += len(outcome.body)
        # Expired keys are removed as well. Otherwise the queue would grow without
        # bound as long as small bodies stay below the limit.
        while (
            self._body_bytes > MAX_CACHED_BODIES_BYTES
            or self._body_keys[0] not in self._keys
        ):
            key = self._body_keys.popleft()
            state = self._keys.get(key)
            if state and state.outcome:
                self._body_bytes -= len(state.outcome.body)
                without_body = replace(state.outcome, body=b"", kept=False)
                self._keys[key] = replace(state, outcome=without_body)

    def _remove_expired(self, time: float) -> None:
        # Only frees memory. `apply` checks the expiry of a key exactly, at each of
        # its records; otherwise readers that started at different offsets could
        # disagree.
        if time - self._last_cleanup < 1.0:
            return
        self._last_cleanup = time
        for key in list(self._expired(time)):
            self._remove_key(key)
        for nonce in [n for n, until in self._released.items() if until <= time]:
            del self._released[nonce]

    def _remove_key(self, key: str) -> None:
        state = self._keys.pop(key)
        if state.outcome:
            self._body_bytes -= len(state.outcome.body)

    def _expired(self, time: float) -> Iterator[str]:
        for key, state in self._keys.items():
            if state.expires_at <= time:
                yield key
