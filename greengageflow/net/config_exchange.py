"""Exchange of configuration snapshots between routers."""

import json
import zlib
from collections.abc import Callable, Sequence
from math import inf
from random import Random
from time import monotonic
from typing import Any

from greengageflow.core.fold import Fold
from greengageflow.core.messages import ConfigRequest, ConfigState
from greengageflow.events import Event, log

_REQUEST_INTERVAL_S = 1.0
_MISSING_RECORDS = -1
"""Revision in a ``ConfigRequest`` that asks for any complete snapshot."""
_MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


def pack_document(value: Any) -> bytes:
    """Return a JSON value, compressed for sending to a peer.

    An uncompressed snapshot of design size would use up several seconds of a router's
    control traffic.
    """
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def unpack_document(data: bytes) -> Any:
    """Return the JSON value in compressed ``data``.

    Raises:
        ExceptionGroup: The data is malformed or exceeds the size limit.
    """
    try:
        stream = zlib.decompressobj()
        text = stream.decompress(data, _MAX_DOCUMENT_BYTES)
        if not stream.eof:
            raise ValueError("truncated or too large")
        return json.loads(text)
    except (ValueError, TypeError, RecursionError, zlib.error) as exc:
        raise ExceptionGroup("configuration snapshot of a peer", [exc]) from None


class ConfigExchange:
    """Requests newer configuration snapshots from peers and answers their requests.

    Args:
        host: Host of this router.
        fold: Fold that snapshots are taken from and restored into.
        send: Sends a message to a host.
        peers: Returns the hosts that may be asked.
        on_restored: Called after a peer's snapshot was restored.
        rng: Chooses the peer to ask.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        host: str,
        fold: Fold,
        *,
        send: Callable[[str, Any], None],
        peers: Callable[[], Sequence[str]],
        on_restored: Callable[[], None],
        rng: Random,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._host = host
        self._fold = fold
        self._send = send
        self._peers = peers
        self._on_restored = on_restored
        self._rng = rng
        self._now = now
        self._requested_at = -inf
        self._unreadable_revision = 0
        self._cached_state: ConfigState | None = None

    @property
    def _revision(self) -> int:
        return self._fold.config.revision

    def on_peer_revision(self, host: str, revision: int) -> None:
        """Request a peer's snapshot if its revision is newer."""
        if revision > max(self._revision, self._unreadable_revision):
            self._request_snapshot(host)

    def request_from_random_peer(self) -> None:
        """Request the snapshot of a random peer."""
        hosts = [host for host in self._peers() if host != self._host]
        if hosts:
            self._request_snapshot(self._rng.choice(hosts))

    def on_message(self, host: str, message: ConfigRequest | ConfigState) -> None:
        """Answer a peer's request, or restore its snapshot."""
        match message:
            case ConfigRequest(revision):
                # An incomplete snapshot does not help a router that misses records.
                missing = revision == _MISSING_RECORDS and not self._fold.complete
                if self._revision > revision and not missing:
                    self._send(host, self._current_state())
            case ConfigState():
                self._restore(host, message)

    def _request_snapshot(self, host: str) -> None:
        # Otherwise each ping of a newer peer would fetch the same snapshot.
        now = self._now()
        if now - self._requested_at < _REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        missing = self._revision and not self._fold.complete
        self._send(host, ConfigRequest(_MISSING_RECORDS if missing else self._revision))

    def _current_state(self) -> ConfigState:
        fold = self._fold
        if self._cached_state is None or self._cached_state.offset != fold.offset:
            document = pack_document(fold.snapshot(self._host))
            self._cached_state = ConfigState(self._revision, fold.offset, document)
        return self._cached_state

    def _restore(self, host: str, message: ConfigState) -> None:
        try:
            newer = self._fold.restore(unpack_document(message.document))
        except ExceptionGroup as exc:
            log(
                Event.INTERNAL,
                error=f"configuration snapshot of {host}: {exc.exceptions[0]}",
            )
            return
        if newer:
            log(Event.CONFIG_ADOPTED, revision=self._revision, source=host)
            self._on_restored()
        elif message.revision > self._revision:
            # Its schema is readable only by newer releases. Remembered, because each
            # ping would fetch it again.
            self._unreadable_revision = message.revision
