"""Keeps a router's configuration up to date from the log and from peers."""

from collections.abc import Callable, Sequence
from random import Random
from time import monotonic, time
from typing import Any

from greengageflow.core.catalog import FleetConfig
from greengageflow.core.config_roles import Roles
from greengageflow.core.fold import CONFIG_STREAM, Fold
from greengageflow.core.log_records import (
    Appended,
    LogFailure,
    LogRecord,
    OffsetTrimmed,
    Records,
)
from greengageflow.core.messages import ConfigRequest, ConfigState
from greengageflow.daemon._config_watch import (
    ConfigLog,
    SnapshotClock,
    log_outcome,
)
from greengageflow.events import Event, log
from greengageflow.net.config_exchange import ConfigExchange
from greengageflow.net.timers import Subscription, Timers

_PAUSE_S = 0.1
_SNAPSHOT_CHECK_S = 5.0
_FIRST_BACKOFF_S = 0.2
_LONGEST_BACKOFF_S = 5.0


class ConfigFollower:
    """Follows the configuration stream.

    Routers with the reader role long-poll the log continuously. The others learn of
    a new revision through ``on_peer_revision`` and fetch it from that peer; they
    also poll the log infrequently in case gossip is lost. The revision in force
    never decreases.

    Args:
        host: Host of this router.
        log_client: Client of the platform's log.
        timers: Timer service.
        on_config: Called with each configuration that takes effect.
        send: Sends a message to a host.
        peers: Returns the hosts that a state can be requested from.
        roles: Returns the configuration roles of this router.
        fold: Initial state; empty by default.
        wait_s: Long-poll timeout of readers, in seconds.
        poll_s: Maximum time between polls of the other routers, in seconds.
        snapshot_interval_s: Time between snapshots appended to the log, in seconds;
            must be well below half of the log's retention period.
        rng: Random source for jitter.
        now: Monotonic clock, in seconds.
        wall: Unix clock, in seconds; only compared with the timestamps of log
            records to tell when a snapshot is due.
    """

    def __init__(
        self,
        host: str,
        log_client: ConfigLog,
        timers: Timers,
        *,
        on_config: Callable[[FleetConfig], None],
        send: Callable[[str, Any], None] = lambda _host, _message: None,
        peers: Callable[[], Sequence[str]] = tuple,
        roles: Callable[[], Roles] = Roles,
        fold: Fold | None = None,
        wait_s: float = 1.0,
        poll_s: float = 10.0,
        snapshot_interval_s: float = 600.0,
        rng: Random | None = None,
        now: Callable[[], float] = monotonic,
        wall: Callable[[], float] = time,
    ) -> None:
        self.fold = fold or Fold()
        self._host = host
        self._log = log_client
        self._timers = timers
        self._on_config = on_config
        self._roles = roles
        self._wait_s = wait_s
        self._poll_s = poll_s
        self._rng = rng or Random()
        self._now = now
        self._wall = wall
        self._snapshots = SnapshotClock(snapshot_interval_s, wall())
        self._live = False
        self._given = 0
        self._failures = 0
        self._outage_start = 0.0
        self._exchange = ConfigExchange(
            host,
            self.fold,
            send=send,
            peers=peers,
            on_restored=self._give,
            rng=self._rng,
            now=now,
        )
        self._asked_from = 0
        self._shorter = False
        self._snapshot_timer: Subscription | None = None

    @property
    def config(self) -> FleetConfig:
        """Configuration in force."""
        return self.fold.config

    @property
    def revision(self) -> int:
        """Revision in force, as announced to peers."""
        return self.fold.config.revision

    @property
    def status(self) -> dict[str, Any]:
        """JSON object for ``/status`` under ``config``."""
        return {
            "revision": self.revision,
            "offset": self.fold.offset,
            "schemas": sorted(self.fold.supported_schemas),
            "highest_schema": self.fold.state.highest,
            "complete": self.fold.complete,
            "halted": self.fold.halted,
            "log": self._log_state,
            "reader": self._roles().reader,
        }

    @property
    def _log_state(self) -> str:
        if self._failures:
            return "down"
        return "shorter" if self._shorter else "up"

    def start(self) -> None:
        """Request the state from a peer and start reading the log."""
        self._live = True
        self._exchange.request_from_random_peer()
        self._read()
        self._snapshot_timer = self._timers.every(
            _SNAPSHOT_CHECK_S, self._check_snapshot
        )

    def stop(self) -> None:
        """Stop reading and appending."""
        self._live = False
        if self._snapshot_timer is not None:
            self._snapshot_timer.cancel()

    def on_peer_revision(self, host: str, revision: int) -> None:
        """Handle the revision that a peer has in force."""
        self._exchange.on_peer_revision(host, revision)

    def received(self, host: str, message: ConfigRequest | ConfigState) -> None:
        """Handle a message from a peer."""
        self._exchange.on_message(host, message)

    def _give(self) -> None:
        if self.revision > self._given:
            self._given = self.revision
            self._on_config(self.config)

    def _read(self) -> None:
        if not self._live:
            return
        if self.fold.halted:
            self._later(self._poll_s)
            return
        wait_s = self._wait_s if self._roles().reader else 0.0
        self._asked_from = self.fold.next_offset
        self._log.read(CONFIG_STREAM, self._asked_from, wait_s, self._on_read)

    def _later(self, delay_s: float) -> None:
        self._timers.after(delay_s, self._read)

    def _on_read(self, result: Records | OffsetTrimmed | LogFailure) -> None:
        if not self._live:
            return
        match result:
            case LogFailure():
                self._on_failure(result)
            case OffsetTrimmed():
                self._on_answer()
                self._on_lapsed(result)
            case Records():
                self._on_answer()
                self._on_records(result)

    def _on_failure(self, failure: LogFailure) -> None:
        if not self._failures:
            self._outage_start = self._now()
            log(Event.LOG_OUTAGE, stream=CONFIG_STREAM, error=failure.message)
        self._failures += 1
        longest = min(_FIRST_BACKOFF_S * 2**self._failures, _LONGEST_BACKOFF_S)
        delay = longest * self._rng.uniform(0.5, 1.0)
        self._later(max(delay, failure.retry_after_s or 0.0))

    def _on_answer(self) -> None:
        if self._failures:
            seconds = self._now() - self._outage_start
            log(Event.LOG_BACK, stream=CONFIG_STREAM, seconds=seconds)
        self._failures = 0

    def _on_lapsed(self, lapsed: OffsetTrimmed) -> None:
        self._snapshots.first_offset = lapsed.first_offset
        self._skip_to(lapsed.first_offset)
        self._later(_PAUSE_S)

    def _skip_to(self, first_offset: int) -> None:
        """Skip trimmed records unless a peer's state already covers them."""
        offset = self.fold.next_offset
        if first_offset > offset:
            log(Event.CONFIG_LAPSED, offset=offset, first_offset=first_offset)
            self.fold.skip_to(first_offset)
            self._exchange.request_from_random_peer()

    def _on_records(self, result: Records) -> None:
        self._snapshots.first_offset = result.first_offset
        # Compare with the requested offset: the fold may have advanced during the read
        # with a later state from a peer.
        if result.next_offset < self._asked_from:
            self._on_shorter(result.next_offset)
            return
        self._shorter = False
        if result.records:
            self._skip_to(result.records[0].offset)
        for record in result.records:
            if record.offset > self.fold.next_offset or self.fold.halted:
                # The fold returned to the offset after a snapshot, or has halted.
                break
            self._apply(record)
        if not self.fold.complete:
            self._exchange.request_from_random_peer()
        # Schedule the next read first, so that an exception in another component does
        # not stop the reads.
        self._schedule(result)
        self._give()

    def _on_shorter(self, next_offset: int) -> None:
        # The log was replaced or emptied. Its records refer to a different revision
        # history, so keep the configuration in force.
        if not self._shorter:
            log(Event.LOG_SHORTER, next_offset=next_offset, known=self._asked_from)
        self._shorter = True
        self._later(self._poll_s)

    def _schedule(self, result: Records) -> None:
        if self.fold.next_offset < result.next_offset:
            self._later(0.0 if result.records else _PAUSE_S)
        elif self._roles().reader:
            self._later(_PAUSE_S)
        else:
            self._later(self._poll_s * self._rng.uniform(0.7, 1.0))

    def _apply(self, record: LogRecord) -> None:
        outcome = self.fold.apply(record.offset, record.record)
        self._snapshots.note(record, outcome)
        author = ""
        if isinstance(record.record, dict):
            author = str(record.record.get("author", ""))[:128]
        log_outcome(record.offset, author, outcome)

    def _check_snapshot(self) -> None:
        fold = self.fold
        able = self._live and self.revision and fold.complete and not fold.halted
        if able and self._snapshots.due(self._wall()) and self._roles().writer:
            records = [fold.snapshot(self._host)]
            self._log.append(CONFIG_STREAM, records, self._on_append)

    def _on_append(self, result: Appended | LogFailure) -> None:
        if isinstance(result, Appended):
            log(
                Event.SNAPSHOT_WRITTEN,
                revision=self.revision,
                offset=result.first_offset,
            )
