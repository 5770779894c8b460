"""Local view of the platform's store: the configuration and the endpoint list."""

from collections.abc import Callable, Iterable
from random import Random

from greengageflow.core.endpoint_list import EndpointList, ListChange, ListedEndpoint
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
from greengageflow.daemon.topic_follower import TopicFollower
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import CONFIG_KEY, OPERATOR_TOPIC, SERVERS_TOPIC
from greengageflow.platform.records import RecordError, parse_config, parse_endpoint

ERA_SPREAD_S = 1.0
"""Time over which hosts spread their snapshot reads after the store was restored, in
seconds. Readers don't wait."""
UPDATE_BYTES = 24_000
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
        on_routing: Called with a new configuration.
        on_change: Called with each change of the endpoint list.
        on_update: Called after a change that must be reported to peers at once.
        on_era: Called with the new era after the store was restored from a copy, so
            that records which this host had written can be written again.
        on_read: Called with each update for other hosts, and with whether this host
            read it from the store rather than got it from a peer.
        pace_s: Interval between two reads of a topic by a reader, in seconds.
        clock: Returns the time in seconds, by a clock that includes suspension.
    """

    def __init__(
        self,
        pool: HttpPool,
        timers: Timers,
        address: tuple[str, int],
        endpoints: EndpointList,
        log: DecisionLog,
        *,
        on_routing: Callable[[Routing], None],
        on_change: Callable[[ListChange], None],
        on_update: Callable[[], None],
        on_read: Callable[[StoreUpdate, bool], None],
        on_era: Callable[[int], None],
        pace_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.version = 0
        self.list_mark = 0
        self.confirmed = float("-inf")
        self.list_confirmed = float("-inf")
        self._endpoints = endpoints
        self._log = log
        self._timers = timers
        self._on_routing = on_routing
        self._on_change = on_change
        self._on_update = on_update
        self._on_read = on_read
        self._on_era = on_era
        self._era = 0
        self._follow_era_at: float | None = None
        self._is_restored = False
        self._is_readable = True
        self._peers_version = 0
        self._spread = Random()
        self._pace_s = pace_s
        self._role = StoreRole.READER
        self._clock = clock
        self._lost_at: float | None = None
        self._list_lost_at: float | None = None
        self._held: dict[str, float] = {}
        self._hold = OutageHold()
        self._config_wait, self._list_wait = CatchUpTimer(), CatchUpTimer()
        self._publishers = {
            topic: UpdatePublisher(topic, UPDATE_BYTES) for topic in StoreTopic
        }
        self._config = TopicFollower(
            pool, timers, address, OPERATOR_TOPIC, _ConfigTopic(self), clock=clock
        )
        self._list = TopicFollower(
            pool, timers, address, SERVERS_TOPIC, _ListTopic(self), clock=clock
        )

    @property
    def era(self) -> int:
        """Latest era of the store that this host has seen."""
        return self._era

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._config.calls + self._list.calls

    @property
    def _stale_s(self) -> float:
        paces = (
            STANDBY_STALE_INTERVALS
            if self._role is StoreRole.STANDBY
            else STALE_INTERVALS
        )
        return paces * self._pace_s

    def _may_read(self, follower: TopicFollower, words: list[StoreReport]) -> bool:
        """Return whether a read because of stale reports may begin.

        This limits the load on a store that is down: otherwise each host would retry
        all the time, although the first one to get an answer reports it to the others.
        """
        if self._role is not StoreRole.MEMBER or not words:
            return True
        return self._age_s(follower.asked_at) >= MEMBER_READ_INTERVAL_S

    def on_tick(self, role: StoreRole, words: list[StoreReport]) -> None:
        """Begin the reads that are due.

        Args:
            role: Role of this host in reading the store.
            words: Store reports of the peers.
        """
        now = self._timers.now
        self._role = role
        reads = role is StoreRole.READER
        self._config.check()
        self._list.check()
        known = peer_config_state(now, self.version, words)
        self._peers_version = known.mark
        is_behind = known.mark > self.version
        if is_behind:
            self._config.hasten()
        if self._config.idle:
            alone = reads or not self._config.is_known
            behind = self._config_wait.is_due(now, is_behind, alone)
            heard_s = min(known.age_s, self._age_s(self.confirmed))
            stale = heard_s > self._stale_s and self._may_read(self._config, words)
            if reads and not behind:
                # A long poll over the whole interval would be confirmed only after two
                # intervals. By then the state is stale and all other hosts read too.
                self._config.read(self._pace_s / 2)
            elif behind or stale:
                self._config.read()
        known = peer_list_state(now, self._list.offset, words)
        is_behind = known.mark > self._list.offset
        if is_behind:
            self._list.hasten()
        if self._list.idle and not self._waits_for_era(now, era_of(known.mark)):
            alone = reads or not self._list.is_known
            behind = self._list_wait.is_due(now, is_behind, alone)
            heard_s = min(known.age_s, self._age_s(self.list_confirmed))
            stale = heard_s > self._stale_s and self._may_read(self._list, words)
            due = reads and self._age_s(self._list.asked_at) >= self._pace_s
            if due or behind or stale:
                self._list.read()
        if self._hold.is_pending:
            self._note_answers(now, words)
        self._drop_held(now)

    def _waits_for_era(self, now: float, era: int) -> bool:
        """Return whether to delay the snapshot read after a restore of the store.

        Peers don't publish snapshots, so that all hosts have to read one. The random
        delay keeps them from doing so at the same time.

        Args:
            now: Current time.
            era: Latest era of the store that any peer reports.
        """
        known = not self._list.is_known or era <= self._list.era
        if known or self._role is StoreRole.READER:
            return False
        if self._follow_era_at is None:
            self._follow_era_at = now + self._spread.uniform(0.0, ERA_SPREAD_S)
        if now < self._follow_era_at:
            return True
        self._follow_era_at = None
        self._list.begin_anew()
        return False

    def on_restore(self, era: int) -> None:
        """Handle a restore of the store, which begins a new era."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        self._hold.on_restore(self._clock())
        self._log.write(DecisionEvent.STORE_ERA, era=era, before=before)
        self._on_era(era)

    def _note_answers(self, now: float, words: Iterable[StoreReport]) -> None:
        # A host that is not a reader may not read for a long time after the store is
        # back. It learns the end of the outage from its peers' reports.
        for word in words:
            age_s = min(word.config_age_s, word.list_age_s) + now - word.reported_at
            self._hold.on_answer(self._clock(), self._clock() - age_s)

    def _tell_in_place(self, before: float) -> None:
        # Report at once: members read the store themselves only slightly later.
        if self._role is StoreRole.STANDBY and self._age_s(before) > self._stale_s:
            self._on_update()

    def _store_answered(self) -> None:
        now = self._clock()
        self._hold.on_answer(now, now)

    def _age_s(self, at: float) -> float:
        return self._clock() - at

    # Updates between hosts.

    def take_update(self, update: StoreUpdate) -> None:
        """Apply an update that another host read from the store."""
        follower = self._config if update.topic is StoreTopic.CONFIG else self._list
        records = follower.take(update.since, update.end, update.records)
        match update.topic:
            case StoreTopic.CONFIG:
                # Only the newest configuration matters, so gaps before it do no harm.
                self.take_config(update.records, is_own=False)
            case StoreTopic.ENDPOINTS if records:
                self.take_list(records, is_own=False)

    def _pass_on(
        self, topic: StoreTopic, records: list[KeyedRecord], end: int, is_own: bool
    ) -> None:
        publisher = self._publishers[topic]
        for update in publisher.publish(self._timers.now, records, end):
            self._on_read(update, is_own)

    # The configuration.

    def config_heard(self, at: float) -> None:
        """Handle a confirmation that the configuration was the newest at ``at``."""
        self._tell_in_place(self.confirmed)
        if self._is_newest:
            self.confirmed = max(self.confirmed, at)
        self._store_answered()
        if self._lost_at is not None:
            after_s = self._clock() - self._lost_at
            self._lost_at = None
            self._log.write(
                DecisionEvent.STORE_REGAINED, after_ms=round(1000 * after_s)
            )

    @property
    def _is_newest(self) -> bool:
        """Whether the store's configuration may be the newest one.

        A store that was restored from a copy may lack later revocations of keys.
        """
        return self.version >= self._peers_version or not self._is_readable

    def config_lost(self, text: str) -> None:
        """Handle a failed read of the configuration."""
        if self._lost_at is None:
            self._lost_at = self._clock()
            age_s = min(self._age_s(self.confirmed), 1e6)
            self._log.write(
                DecisionEvent.STORE_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def take_config(
        self, records: Iterable[KeyedRecord], *, is_own: bool = True
    ) -> None:
        """Apply the newest configuration among records read here or by a peer."""
        taken = []
        for record in records:
            if record.key != CONFIG_KEY or record.value is None:
                continue
            try:
                routing = parse_config(record.value)
            except RecordError as exc:
                self._is_readable = False
                self._log.write(
                    DecisionEvent.CONFIG_IN_FORCE,
                    config=self.version,
                    source=f"unchanged, invalid record: {exc}",
                    age_ms=0,
                )
                continue
            if routing.version > self.version:
                taken.append(record)
                self._is_readable = True
                self.version = routing.version
                self._log.write(
                    DecisionEvent.CONFIG_IN_FORCE,
                    config=self.version,
                    source="store" if is_own else "peer",
                    age_ms=round(1000 * min(self._age_s(self._config.asked_at), 1e6)),
                )
                self._on_routing(routing)
                self._on_update()
        self._pass_on(StoreTopic.CONFIG, taken[-1:], self._config.offset, is_own)

    # The endpoint list.

    def list_heard(self, at: float) -> None:
        """Handle a confirmation that the endpoint list was the newest at ``at``."""
        self._tell_in_place(self.list_confirmed)
        self.list_confirmed = max(self.list_confirmed, at)
        self._store_answered()
        if self._list_lost_at is not None:
            after_s = self._age_s(self._list_lost_at)
            self._list_lost_at = None
            self._log.write(DecisionEvent.LIST_REGAINED, after_ms=round(1000 * after_s))

    def list_lost(self, text: str) -> None:
        """Handle a failed read of the endpoint list."""
        self._hold.on_failure(self._clock())
        if self._list_lost_at is None:
            self._list_lost_at = self._clock()
            age_s = min(self._age_s(self.list_confirmed), 1e6)
            self._log.write(
                DecisionEvent.LIST_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def take_list(self, records: Iterable[KeyedRecord], *, is_own: bool = True) -> None:
        """Apply endpoint records read here or by a peer."""
        taken = self._take_records(records)
        self._pass_on(StoreTopic.ENDPOINTS, taken, self._list.offset, is_own)

    def _take_records(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Apply endpoint records, and return those to publish."""
        self._store_answered()
        taken = []
        for record in records:
            was_held = record.key in self._held
            changes = list(self._take_one(record))
            self._hand_on(changes, record.offset + 1)
            if changes or was_held or record.key in self._held:
                taken.append(record)
            if was_held or record.key in self._held:
                # The list here is unchanged, but the mark has to advance, since peers
                # read only when it does. Otherwise a peer that holds no removals would
                # go on using an endpoint that was removed, and a peer that holds this
                # one would remove an endpoint that is listed again.
                self._tell(record.offset + 1)
        return taken

    def _take_one(self, record: KeyedRecord) -> Iterable[ListChange]:
        if record.value is None:
            return self._drop(record.key)
        endpoint = self._endpoint(record)
        if endpoint is None:
            # The newest record is valid even if unreadable: it replaced the old one.
            return self._drop(record.key)
        self._held.pop(endpoint.id, None)
        return self._endpoints.put(endpoint)

    def replace_list(self, records: Iterable[KeyedRecord]) -> None:
        """Replace the endpoint list by a snapshot."""
        self._store_answered()
        if self._is_restored:
            self._is_restored = False
            records = [one for one in records if not self._was_dropped(one)]
            # The marks that peers have are from an earlier era.
            self._tell(self._list.offset)
        listed = {record.key for record in records if record.value is not None}
        for gone in self._endpoints.ids() - listed:
            self._hand_on(list(self._drop(gone)), self.list_mark)
        self._take_records(sorted(records, key=lambda record: record.offset))
        # A snapshot lacks removed keys. Updates that claim to be complete up to its end
        # would hide these removals from peers.
        self._publishers[StoreTopic.ENDPOINTS].reset(self._list.offset)

    def _was_dropped(self, record: KeyedRecord) -> bool:
        """Return whether a restored entry is one whose removal the store has lost."""
        endpoint = None if record.value is None else self._endpoint(record)
        return endpoint is not None and self._endpoints.was_dropped(endpoint)

    def on_restored_list(self, era: int) -> None:
        """Handle a restore of the store; the next snapshot comes from a copy."""
        self.on_restore(era)
        self._is_restored = True

    def _drop(self, endpoint: str) -> Iterable[ListChange]:
        left_s = self._hold.remaining_s(self._clock())
        if left_s <= 0:
            return list(self._endpoints.drop(endpoint))
        if endpoint not in self._held:
            self._held[endpoint] = self._timers.now + left_s
            self._log.write(
                DecisionEvent.ENDPOINT_HELD,
                endpoint=endpoint,
                for_ms=round(1000 * left_s),
            )
        return []

    def _drop_held(self, now: float) -> None:
        due = [endpoint for endpoint, at in self._held.items() if at <= now]
        for endpoint in due:
            del self._held[endpoint]
            self._hand_on(list(self._endpoints.drop(endpoint)), self.list_mark)

    def _hand_on(self, changes: list[ListChange], mark: int) -> None:
        for change in changes:
            self._on_change(change)
        if changes:
            self._tell(mark)

    def _tell(self, mark: int) -> None:
        self.list_mark = max(mark, self.list_mark)
        self._on_update()

    def _endpoint(self, record: KeyedRecord) -> ListedEndpoint | None:
        try:
            return parse_endpoint(record.key, record.value)
        except RecordError as exc:
            self._log.write(
                DecisionEvent.ENDPOINT_GONE, endpoint=record.key, source=str(exc)
            )
            return None


class _ConfigTopic:
    def __init__(self, view: StoreView) -> None:
        self._view = view

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.take_config(records)

    def on_era(self, era: int) -> None:
        self._view.on_restore(era)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.take_config(records)

    def on_heard(self, at: float) -> None:
        self._view.config_heard(at)

    def on_lost(self, text: str) -> None:
        self._view.config_lost(text)


class _ListTopic:
    def __init__(self, view: StoreView) -> None:
        self._view = view

    def on_snapshot(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.replace_list(records)

    def on_era(self, era: int) -> None:
        self._view.on_restored_list(era)

    def on_records(self, records: tuple[KeyedRecord, ...]) -> None:
        self._view.take_list(records)

    def on_heard(self, at: float) -> None:
        self._view.list_heard(at)

    def on_lost(self, text: str) -> None:
        self._view.list_lost(text)
