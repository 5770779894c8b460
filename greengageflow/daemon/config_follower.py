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
    SnapshotSchedule,
    log_outcome,
)
from greengageflow.events import Event, log
from greengageflow.net.config_exchange import ConfigExchange
from greengageflow.net.timers import Subscription, Timers

_READ_INTERVAL_S = 0.1
_SNAPSHOT_CHECK_S = 5.0
_BASE_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0


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
        self._wall_clock = wall
        self._snapshot_schedule = SnapshotSchedule(snapshot_interval_s, wall())
        self._running = False
        self._notified_revision = 0
        self._failures = 0
        self._outage_started_at = 0.0
        self._exchange = ConfigExchange(
            host,
            self.fold,
            send=send,
            peers=peers,
            on_restored=self._notify_config,
            rng=self._rng,
            now=now,
        )
        self._requested_offset = 0
        self._log_is_shorter = False
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
        return "shorter" if self._log_is_shorter else "up"

    def start(self) -> None:
        """Request the state from a peer and start reading the log."""
        self._running = True
        self._exchange.request_from_random_peer()
        self._read()
        self._snapshot_timer = self._timers.every(
            _SNAPSHOT_CHECK_S, self._check_snapshot
        )

    def stop(self) -> None:
        """Stop reading and appending."""
        self._running = False
        if self._snapshot_timer is not None:
            self._snapshot_timer.cancel()

    def on_peer_revision(self, host: str, revision: int) -> None:
        """Handle the revision that a peer has in force."""
        self._exchange.on_peer_revision(host, revision)

    def on_message(self, host: str, message: ConfigRequest | ConfigState) -> None:
        """Handle a message from a peer."""
        self._exchange.on_message(host, message)

    def _notify_config(self) -> None:
        if self.revision > self._notified_revision:
            self._notified_revision = self.revision
            self._on_config(self.config)

    def _read(self) -> None:
        if not self._running:
            return
        if self.fold.halted:
            self._schedule_read(self._poll_s)
            return
        wait_s = self._wait_s if self._roles().reader else 0.0
        self._requested_offset = self.fold.next_offset
        self._log.read(CONFIG_STREAM, self._requested_offset, wait_s, self._on_read)

    def _schedule_read(self, delay_s: float) -> None:
        self._timers.after(delay_s, self._read)

    def _on_read(self, result: Records | OffsetTrimmed | LogFailure) -> None:
        if not self._running:
            return
        match result:
            case LogFailure():
                self._on_failure(result)
            case OffsetTrimmed():
                self._on_log_available()
                self._on_offset_trimmed(result)
            case Records():
                self._on_log_available()
                self._on_records(result)

    def _on_failure(self, failure: LogFailure) -> None:
        if not self._failures:
            self._outage_started_at = self._now()
            log(Event.LOG_OUTAGE, stream=CONFIG_STREAM, error=failure.message)
        self._failures += 1
        max_delay_s = min(_BASE_BACKOFF_S * 2**self._failures, _MAX_BACKOFF_S)
        delay_s = max_delay_s * self._rng.uniform(0.5, 1.0)
        self._schedule_read(max(delay_s, failure.retry_after_s or 0.0))

    def _on_log_available(self) -> None:
        if self._failures:
            seconds = self._now() - self._outage_started_at
            log(Event.LOG_BACK, stream=CONFIG_STREAM, seconds=seconds)
        self._failures = 0

    def _on_offset_trimmed(self, trimmed: OffsetTrimmed) -> None:
        self._snapshot_schedule.first_offset = trimmed.first_offset
        self._skip_trimmed(trimmed.first_offset)
        self._schedule_read(_READ_INTERVAL_S)

    def _skip_trimmed(self, first_offset: int) -> None:
        """Skip trimmed records unless a peer's state already covers them."""
        offset = self.fold.next_offset
        if first_offset > offset:
            log(Event.CONFIG_LAPSED, offset=offset, first_offset=first_offset)
            self.fold.skip_to(first_offset)
            self._exchange.request_from_random_peer()

    def _on_records(self, result: Records) -> None:
        self._snapshot_schedule.first_offset = result.first_offset
        # Compare with the requested offset: the fold may have advanced during the read
        # with a later state from a peer.
        if result.next_offset < self._requested_offset:
            self._on_shorter_log(result.next_offset)
            return
        self._log_is_shorter = False
        if result.records:
            self._skip_trimmed(result.records[0].offset)
        for record in result.records:
            if record.offset > self.fold.next_offset or self.fold.halted:
                # The fold returned to the offset after a snapshot, or has halted.
                break
            self._apply_record(record)
        if not self.fold.complete:
            self._exchange.request_from_random_peer()
        # Schedule the next read first, so that an exception in another component does
        # not stop the reads.
        self._schedule_next_read(result)
        self._notify_config()

    def _on_shorter_log(self, next_offset: int) -> None:
        # The log was replaced or emptied. Its records refer to a different revision
        # history, so keep the configuration in force.
        if not self._log_is_shorter:
            log(
                Event.LOG_SHORTER, next_offset=next_offset, known=self._requested_offset
            )
        self._log_is_shorter = True
        self._schedule_read(self._poll_s)

    def _schedule_next_read(self, result: Records) -> None:
        if self.fold.next_offset < result.next_offset:
            self._schedule_read(0.0 if result.records else _READ_INTERVAL_S)
        elif self._roles().reader:
            self._schedule_read(_READ_INTERVAL_S)
        else:
            self._schedule_read(self._poll_s * self._rng.uniform(0.7, 1.0))

    def _apply_record(self, record: LogRecord) -> None:
        outcome = self.fold.apply(record.offset, record.record)
        self._snapshot_schedule.on_outcome(record, outcome)
        author = ""
        if isinstance(record.record, dict):
            author = str(record.record.get("author", ""))[:128]
        log_outcome(record.offset, author, outcome)

    def _check_snapshot(self) -> None:
        fold = self.fold
        can_snapshot = (
            self._running and self.revision and fold.complete and not fold.halted
        )
        if (
            can_snapshot
            and self._snapshot_schedule.is_due(self._wall_clock())
            and self._roles().writer
        ):
            records = [fold.snapshot(self._host)]
            self._log.append(CONFIG_STREAM, records, self._on_append)

    def _on_append(self, result: Appended | LogFailure) -> None:
        if isinstance(result, Appended):
            log(
                Event.SNAPSHOT_WRITTEN,
                revision=self.revision,
                offset=result.first_offset,
            )
