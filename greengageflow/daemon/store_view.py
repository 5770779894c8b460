"""Local view of the platform's store: the configuration and the endpoint list."""

from collections.abc import Callable, Iterable
from random import Random

from greengageflow.core.endpoint_list import EndpointList, ListChange, ListedEndpoint
from greengageflow.core.evacuation import EvacuationRecord
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.outage_hold import OutageHold
from greengageflow.core.routes import Routing
from greengageflow.core.store_duty import (
    MEMBER_READ_INTERVAL_S,
    STALE_INTERVALS,
    STANDBY_STALE_INTERVALS,
    CatchUpTimer,
    StoreReport,
    StoreRole,
    peer_config_state,
    peer_list_state,
)
from greengageflow.core.store_marks import era_of
from greengageflow.core.store_updates import StoreTopic, StoreUpdate, UpdatePublisher
from greengageflow.daemon.evacuation_watch import EvacuationWatch
from greengageflow.daemon.topic_follower import TopicFollower
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import CONFIG_KEY, OPERATOR_TOPIC, SERVERS_TOPIC
from greengageflow.platform.records import (
    RecordError,
    evacuated_zone,
    parse_config,
    parse_endpoint,
)

SNAPSHOT_SPREAD_S = 1.0
"""Time over which hosts spread their snapshot reads after the store was restored, in
seconds. Readers don't wait."""
MAX_UPDATE_BYTES = 24_000
"""Maximum size of the records in one update, in bytes. A larger record goes alone."""


class StoreView:
    """Keeps a copy of the store's state.

    Readers poll the store continuously and publish changes to their peers. Other hosts
    read only when a peer reports newer state of which they got no update, or when no
    recent report confirms the store's state.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        address: IP number and port of the store.
        endpoints: The endpoint list to update.
        log: Gets an event for each change.
        evacuations: Gets the operators' evacuations of zones.
        on_routing: Called with a new configuration.
        on_change: Called with each change of the endpoint list.
        on_update: Called after a change that must be reported to peers at once.
        on_era: Called with the new era after the store was restored from a copy, so
            that records which this host had written can be written again.
        on_read: Called with each update for other hosts, and with whether this host
            read it from the store rather than got it from a peer.
        poll_interval_s: Interval between two reads of a topic by a reader, in seconds.
        clock: Returns the time in seconds, by a clock that includes suspension.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        address: tuple[str, int],
        endpoints: EndpointList,
        log: DecisionLog,
        evacuations: EvacuationWatch,
        *,
        on_routing: Callable[[Routing], None],
        on_change: Callable[[ListChange], None],
        on_update: Callable[[], None],
        on_read: Callable[[StoreUpdate, bool], None],
        on_era: Callable[[int], None],
        poll_interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.version = 0
        self.list_mark = 0
        self.config_confirmed_at = float("-inf")
        self.list_confirmed_at = float("-inf")
        self._endpoints = endpoints
        self._log = log
        self._evacuations = evacuations
        self._timers = timers
        self._on_routing = on_routing
        self._on_change = on_change
        self._on_update = on_update
        self._on_read = on_read
        self._on_era = on_era
        self._era = 0
        self._snapshot_due_at: float | None = None
        self._list_was_restored = False
        self._config_was_restored = False
        self._is_config_valid = True
        self._peers_version = 0
        self._random = Random()
        self._poll_interval_s = poll_interval_s
        self._role = StoreRole.READER
        self._clock = clock
        self._config_lost_at: float | None = None
        self._list_lost_at: float | None = None
        self._held_removals: dict[str, float] = {}
        self._outage_hold = OutageHold()
        self._config_catch_up, self._list_catch_up = CatchUpTimer(), CatchUpTimer()
        self._publishers = {
            topic: UpdatePublisher(topic, MAX_UPDATE_BYTES) for topic in StoreTopic
        }
        self._config_follower = TopicFollower(
            pool, timers, address, OPERATOR_TOPIC, _ConfigListener(self), clock=clock
        )
        self._list_follower = TopicFollower(
            pool, timers, address, SERVERS_TOPIC, _ListListener(self), clock=clock
        )

    @property
    def era(self) -> int:
        """Latest era of the store that this host has seen."""
        return self._era

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._config_follower.calls + self._list_follower.calls

    @property
    def _stale_s(self) -> float:
        intervals = (
            STANDBY_STALE_INTERVALS
            if self._role is StoreRole.STANDBY
            else STALE_INTERVALS
        )
        return intervals * self._poll_interval_s

    def _may_read(self, follower: TopicFollower, reports: list[StoreReport]) -> bool:
        """Return whether a read because of stale reports may begin.

        This limits the load on a store that is down: otherwise each host would retry
        all the time, although the first one to get an answer reports it to the others.
        """
        if self._role is not StoreRole.MEMBER or not reports:
            return True
        return self._age_s(follower.last_call_at) >= MEMBER_READ_INTERVAL_S

    def on_tick(self, role: StoreRole, reports: list[StoreReport]) -> None:
        """Begin the reads that are due.

        Args:
            role: Role of this host in reading the store.
            reports: Store reports of the peers.
        """
        now, store_now = self._timers.now, self._clock()
        self._role = role
        is_reader = role is StoreRole.READER
        self._config_follower.cancel_overdue_read()
        self._list_follower.cancel_overdue_read()
        peer_state = peer_config_state(store_now, self.version, reports)
        self._peers_version = peer_state.mark
        is_behind = peer_state.mark > self.version
        if is_behind:
            self._config_follower.skip_backoff()
        if self._config_follower.can_read:
            without_updates = is_reader or not self._config_follower.has_snapshot
            must_catch_up = self._config_catch_up.is_due(
                now, is_behind, without_updates
            )
            confirmed_age_s = min(
                peer_state.age_s, self._age_s(self.config_confirmed_at)
            )
            is_stale = confirmed_age_s > self._stale_s and self._may_read(
                self._config_follower, reports
            )
            if is_reader and not must_catch_up:
                # A long poll over the whole interval would be confirmed only after two
                # intervals. By then the state is stale and all other hosts read too.
                self._config_follower.read(self._poll_interval_s / 2)
            elif must_catch_up or is_stale:
                self._config_follower.read()
        peer_state = peer_list_state(store_now, self._list_follower.offset, reports)
        is_behind = peer_state.mark > self._list_follower.offset
        if is_behind:
            self._list_follower.skip_backoff()
        if self._list_follower.can_read and not self._delays_snapshot(
            now, era_of(peer_state.mark)
        ):
            without_updates = is_reader or not self._list_follower.has_snapshot
            must_catch_up = self._list_catch_up.is_due(now, is_behind, without_updates)
            confirmed_age_s = min(peer_state.age_s, self._age_s(self.list_confirmed_at))
            is_stale = confirmed_age_s > self._stale_s and self._may_read(
                self._list_follower, reports
            )
            poll_is_due = (
                is_reader
                and self._age_s(self._list_follower.last_call_at)
                >= self._poll_interval_s
            )
            if poll_is_due or must_catch_up or is_stale:
                self._list_follower.read()
        if self._outage_hold.is_pending:
            self._note_reported_answers(store_now, reports)
        self._remove_held(now)

    def _delays_snapshot(self, now: float, era: int) -> bool:
        """Return whether to delay the snapshot read after a restore of the store.

        Peers don't publish snapshots, so that all hosts have to read one. The random
        delay keeps them from doing so at the same time.

        Args:
            now: Current time.
            era: Latest era of the store that any peer reports.
        """
        is_current = (
            not self._list_follower.has_snapshot or era <= self._list_follower.era
        )
        if is_current or self._role is StoreRole.READER:
            return False
        if self._snapshot_due_at is None:
            self._snapshot_due_at = now + self._random.uniform(0.0, SNAPSHOT_SPREAD_S)
        if now < self._snapshot_due_at:
            return True
        self._snapshot_due_at = None
        self._list_follower.require_snapshot()
        return False

    def on_restore(self, era: int) -> None:
        """Handle a restore of the store, which begins a new era."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        self._outage_hold.on_restore(self._clock())
        self._log.write(DecisionEvent.STORE_ERA, era=era, before=before)
        self._on_era(era)

    def _note_reported_answers(
        self, now: float, reports: Iterable[StoreReport]
    ) -> None:
        # A host that is not a reader may not read for a long time after the store is
        # back. It learns the end of the outage from its peers' reports.
        for report in reports:
            age_s = (
                min(report.config_age_s, report.list_age_s) + now - report.reported_at
            )
            self._outage_hold.on_answer(now, now - age_s)

    def _report_if_standby(self, before: float) -> None:
        # Report at once: members read the store themselves only slightly later.
        if self._role is StoreRole.STANDBY and self._age_s(before) > self._stale_s:
            self._on_update()

    def _on_store_answer(self) -> None:
        now = self._clock()
        self._outage_hold.on_answer(now, now)

    def _age_s(self, at: float) -> float:
        return self._clock() - at

    # Updates between hosts.

    def apply_update(self, update: StoreUpdate) -> None:
        """Apply an update that another host read from the store."""
        follower = (
            self._config_follower
            if update.topic is StoreTopic.CONFIG
            else self._list_follower
        )
        records = follower.accept(update.since, update.end, update.records)
        match update.topic:
            case StoreTopic.CONFIG:
                # Only the newest configuration matters, so gaps before it do no harm.
                self.apply_config(update.records, from_store=False)
            case StoreTopic.ENDPOINTS if records:
                self.apply_list_records(records, from_store=False)

    def _publish(
        self, topic: StoreTopic, records: list[KeyedRecord], end: int, from_store: bool
    ) -> None:
        publisher = self._publishers[topic]
        for update in publisher.publish(self._timers.now, records, end):
            self._on_read(update, from_store)

    # The configuration.

    def on_config_confirmed(self, at: float) -> None:
        """Handle a confirmation that the configuration was the newest at ``at``."""
        self._report_if_standby(self.config_confirmed_at)
        if self._is_newest:
            self.config_confirmed_at = max(self.config_confirmed_at, at)
        self._on_store_answer()
        if self._config_lost_at is not None:
            after_s = self._clock() - self._config_lost_at
            self._config_lost_at = None
            self._log.write(
                DecisionEvent.STORE_REGAINED, after_ms=round(1000 * after_s)
            )

    @property
    def _is_newest(self) -> bool:
        """Whether the store's configuration may be the newest one.

        A store that was restored from a copy may lack later revocations of keys.
        """
        return self.version >= self._peers_version or not self._is_config_valid

    def on_config_read_failed(self, text: str) -> None:
        """Handle a failed read of the configuration."""
        if self._config_lost_at is None:
            self._config_lost_at = self._clock()
            age_s = min(self._age_s(self.config_confirmed_at), 1e6)
            self._log.write(
                DecisionEvent.STORE_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def apply_config(
        self, records: Iterable[KeyedRecord], *, from_store: bool = True
    ) -> None:
        """Apply the operators' records read here or by a peer."""
        applied: list[KeyedRecord] = []
        evacuations = []
        for record in records:
            if evacuated_zone(record.key):
                evacuations.append(_evacuation(record))
            if record.key != CONFIG_KEY or record.value is None:
                continue
            try:
                routing = parse_config(record.value)
            except RecordError as exc:
                self._is_config_valid = False
                self._log.write(
                    DecisionEvent.CONFIG_IN_FORCE,
                    config=self.version,
                    source=f"unchanged, invalid record: {exc}",
                    age_ms=0,
                )
                continue
            if routing.version > self.version:
                applied.append(record)
                self._is_config_valid = True
                self.version = routing.version
                self._log.write(
                    DecisionEvent.CONFIG_IN_FORCE,
                    config=self.version,
                    source="store" if from_store else "peer",
                    age_ms=round(
                        1000 * min(self._age_s(self._config_follower.last_call_at), 1e6)
                    ),
                )
                self._on_routing(routing)
                self._on_update()
        if from_store:
            self._evacuations.on_records(evacuations)
        self._publish(
            StoreTopic.CONFIG, applied[-1:], self._config_follower.offset, from_store
        )

    def apply_config_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot of the operators' records."""
        zones = ((evacuated_zone(r.key), r) for r in records if r.value is not None)
        self._evacuations.on_snapshot(
            {zone: record.offset + 1 for zone, record in zones if zone},
            self._config_follower.offset,
            restored=self._config_was_restored,
        )
        self._config_was_restored = False
        self.apply_config(sorted(records, key=lambda record: record.offset))

    def on_config_restored(self, era: int) -> None:
        """Handle a restore of the store; the next snapshot comes from a copy."""
        self.on_restore(era)
        self._config_was_restored = True

    # The endpoint list.

    def read_list(self, since: float) -> None:
        """Start a read, unless one was started since a time or none may be."""
        follower = self._list_follower
        if follower.can_read and follower.last_call_at < since:
            follower.read()

    def on_list_confirmed(self, at: float) -> None:
        """Handle a confirmation that the endpoint list was the newest at ``at``."""
        self._report_if_standby(self.list_confirmed_at)
        self.list_confirmed_at = max(self.list_confirmed_at, at)
        self._on_store_answer()
        if self._list_lost_at is not None:
            after_s = self._age_s(self._list_lost_at)
            self._list_lost_at = None
            self._log.write(DecisionEvent.LIST_REGAINED, after_ms=round(1000 * after_s))

    def on_list_read_failed(self, text: str) -> None:
        """Handle a failed read of the endpoint list."""
        self._outage_hold.on_failure(self._clock())
        if self._list_lost_at is None:
            self._list_lost_at = self._clock()
            age_s = min(self._age_s(self.list_confirmed_at), 1e6)
            self._log.write(
                DecisionEvent.LIST_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def apply_list_records(
        self, records: Iterable[KeyedRecord], *, from_store: bool = True
    ) -> None:
        """Apply endpoint records read here or by a peer."""
        applied = self._apply_records(records)
        self._publish(
            StoreTopic.ENDPOINTS, applied, self._list_follower.offset, from_store
        )

    def _apply_records(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Apply endpoint records, and return those to publish."""
        self._on_store_answer()
        applied = []
        for record in records:
            was_held = record.key in self._held_removals
            changes = list(self._apply_record(record))
            self._announce(changes, record.offset + 1)
            if changes or was_held or record.key in self._held_removals:
                applied.append(record)
            if was_held or record.key in self._held_removals:
                # The list here is unchanged, but the mark has to advance, since peers
                # read only when it does. Otherwise a peer that holds no removals would
                # go on using an endpoint that was removed, and a peer that holds this
                # one would remove an endpoint that is listed again.
                self._advance_list_mark(record.offset + 1)
        return applied

    def _apply_record(self, record: KeyedRecord) -> Iterable[ListChange]:
        if record.value is None:
            return self._remove(record.key)
        endpoint = self._parse_endpoint(record)
        if endpoint is None:
            # An invalid record still replaces the earlier one of the endpoint.
            return self._remove(record.key)
        self._held_removals.pop(endpoint.id, None)
        return self._endpoints.put(endpoint)

    def apply_list_snapshot(self, records: Iterable[KeyedRecord]) -> None:
        """Replace the endpoint list by a snapshot."""
        self._on_store_answer()
        if self._list_was_restored:
            self._list_was_restored = False
            records = [r for r in records if not self._was_removed(r)]
            # The marks that peers have are from an earlier era.
            self._advance_list_mark(self._list_follower.offset)
        listed = {record.key for record in records if record.value is not None}
        missing = self._endpoints.ids() - listed
        for endpoint in missing:
            self._announce(list(self._remove(endpoint)), self.list_mark)
        if missing:
            # No record announces these removals; peers read when the mark advances.
            self._advance_list_mark(self._list_follower.offset)
        self._apply_records(sorted(records, key=lambda record: record.offset))
        # A snapshot lacks removed keys. Updates that claim to be complete up to its end
        # would hide these removals from peers.
        self._publishers[StoreTopic.ENDPOINTS].reset(self._list_follower.offset)

    def _was_removed(self, record: KeyedRecord) -> bool:
        """Return whether a restored entry is one whose removal the store has lost."""
        endpoint = None if record.value is None else self._parse_endpoint(record)
        return endpoint is not None and self._endpoints.was_dropped(endpoint)

    def on_list_restored(self, era: int) -> None:
        """Handle a restore of the store; the next snapshot comes from a copy."""
        self.on_restore(era)
        self._list_was_restored = True

    def _remove(self, endpoint: str) -> Iterable[ListChange]:
        left_s = self._outage_hold.remaining_s(self._clock())
        if left_s <= 0:
            return list(self._endpoints.drop(endpoint))
        if endpoint not in self._held_removals:
            self._held_removals[endpoint] = self._timers.now + left_s
            self._log.write(
                DecisionEvent.ENDPOINT_HELD,
                endpoint=endpoint,
                for_ms=round(1000 * left_s),
            )
        return []

    def _remove_held(self, now: float) -> None:
        expired = [
            endpoint for endpoint, at in self._held_removals.items() if at <= now
        ]
        for endpoint in expired:
            del self._held_removals[endpoint]
            self._announce(list(self._endpoints.drop(endpoint)), self.list_mark)

    def _announce(self, changes: list[ListChange], mark: int) -> None:
        for change in changes:
            self._on_change(change)
        if changes:
            self._advance_list_mark(mark)

    def _advance_list_mark(self, mark: int) -> None:
        self.list_mark = max(mark, self.list_mark)
        self._on_update()

    def _parse_endpoint(self, record: KeyedRecord) -> ListedEndpoint | None:
        try:
            return parse_endpoint(record.key, record.value)
        except RecordError as exc:
            self._log.write(
                DecisionEvent.ENDPOINT_GONE, endpoint=record.key, source=str(exc)
            )
            return None


def _evacuation(record: KeyedRecord) -> EvacuationRecord:
    return EvacuationRecord(
        evacuated_zone(record.key), record.offset + 1, record.value is not None
    )


class _ConfigListener:
    def __init__(self, view: StoreView) -> None:
        self._view = view

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.apply_config_snapshot(records)

    def on_era(self, era: int) -> None:
        self._view.on_config_restored(era)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.apply_config(records)

    def on_confirmed(self, at: float) -> None:
        self._view.on_config_confirmed(at)

    def on_read_failed(self, text: str) -> None:
        self._view.on_config_read_failed(text)


class _ListListener:
    def __init__(self, view: StoreView) -> None:
        self._view = view

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.apply_list_snapshot(records)

    def on_era(self, era: int) -> None:
        self._view.on_list_restored(era)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.apply_list_records(records)

    def on_confirmed(self, at: float) -> None:
        self._view.on_list_confirmed(at)

    def on_read_failed(self, text: str) -> None:
        self._view.on_list_read_failed(text)
