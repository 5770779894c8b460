"""What the platform's store says: the configuration and the list of endpoints."""

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
"""Seconds in which hosts that do not read for others read a list that was restored."""
UPDATE_BYTES = 24_000
"""Bytes of records that one message to other hosts holds, where it holds several."""


class StoreView:
    """Keeps what the store says, read by few hosts and by each when it must.

    A reader polls all the time, and passes changes on. The others read when a peer
    knows of something newer that was not passed on to them, or when no peer has heard
    from the store lately.

    Args:
        pool: Sends the calls.
        timers: Timer service.
        address: IP number and port of the store.
        endpoints: The list to keep.
        log: Takes a line for each change.
        on_routing: Takes a new configuration.
        on_change: Takes a change of the list.
        on_update: Called when something changed that peers should hear of at once.
        on_era: Takes the store's era when it came back older, for what this host had
            written there.
        on_read: Takes changes, for hosts that do not read themselves, and whether
            they were read here, not told by a peer.
        pace_s: Seconds between two reads of a part, for hosts that read.
        clock: Returns a time that goes on while the host is suspended, in seconds.
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
        """The store's era, as far as this host has seen it come back older."""
        return self._era

    @property
    def calls(self) -> int:
        """Calls of the store so far."""
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
        """Return whether a read for want of other hosts' word may begin.

        While the store is away each host would else ask it again and again, although
        the first one that gets an answer tells the others.
        """
        if self._role is not StoreRole.MEMBER or not words:
            return True
        return self._age_s(follower.asked_at) >= MEMBER_READ_INTERVAL_S

    def on_tick(self, role: StoreRole, words: list[StoreReport]) -> None:
        """Read what is due.

        Args:
            role: What this host does about the store.
            words: What peers know of the store.
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
                # A wait for the whole pace would be known of only when the next one
                # ends, at twice the pace: stale, so that all others read as well.
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
        """Whether to wait with the whole list of a store that came back older.

        No peer passes on a whole list. All would read it at once.

        Args:
            now: The time.
            era: The store's latest era that a peer knows.
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
        """Note that the store is of a later era than what is known of it here."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        self._hold.on_restore(self._clock())
        self._log.write(DecisionEvent.STORE_ERA, era=era, before=before)
        self._on_era(era)

    def _note_answers(self, now: float, words: Iterable[StoreReport]) -> None:
        # A host that does not read for its zone may not read for long after the
        # store's return; its peers' word is all it has of it.
        for word in words:
            age_s = min(word.config_age_s, word.list_age_s) + now - word.reported_at
            self._hold.on_answer(self._clock(), self._clock() - age_s)

    def _tell_in_place(self, before: float) -> None:
        # Members wait only a little longer before they all read.
        if self._role is StoreRole.STANDBY and self._age_s(before) > self._stale_s:
            self._on_update()

    def _store_answered(self) -> None:
        now = self._clock()
        self._hold.on_answer(now, now)

    def _age_s(self, at: float) -> float:
        return self._clock() - at

    # What hosts that read pass on.

    def take_update(self, update: StoreUpdate) -> None:
        """Take over what another host read."""
        follower = self._config if update.topic is StoreTopic.CONFIG else self._list
        records = follower.take(update.since, update.end, update.records)
        match update.topic:
            case StoreTopic.CONFIG:
                # The newest configuration counts, whatever was missed before it.
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
        """Note that the configuration was the newest at time ``at``."""
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
        """Whether what the store says may be the newest configuration.

        A store that came back older says nothing of keys that were taken away since.
        """
        return self.version >= self._peers_version or not self._is_readable

    def config_lost(self, text: str) -> None:
        """Note that the configuration could not be read."""
        if self._lost_at is None:
            self._lost_at = self._clock()
            age_s = min(self._age_s(self.confirmed), 1e6)
            self._log.write(
                DecisionEvent.STORE_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def take_config(
        self, records: Iterable[KeyedRecord], *, is_own: bool = True
    ) -> None:
        """Take over the newest configuration among records, read here or by a peer."""
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
                    source=f"stays, a record cannot be read: {exc}",
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

    # The list of endpoints.

    def list_heard(self, at: float) -> None:
        """Note that the list was the newest at time ``at``."""
        self._tell_in_place(self.list_confirmed)
        self.list_confirmed = max(self.list_confirmed, at)
        self._store_answered()
        if self._list_lost_at is not None:
            after_s = self._age_s(self._list_lost_at)
            self._list_lost_at = None
            self._log.write(DecisionEvent.LIST_REGAINED, after_ms=round(1000 * after_s))

    def list_lost(self, text: str) -> None:
        """Note that the list could not be read."""
        self._hold.on_failure(self._clock())
        if self._list_lost_at is None:
            self._list_lost_at = self._clock()
            age_s = min(self._age_s(self.list_confirmed), 1e6)
            self._log.write(
                DecisionEvent.LIST_LOST, why=text, unheard_ms=round(1000 * age_s)
            )

    def take_list(self, records: Iterable[KeyedRecord], *, is_own: bool = True) -> None:
        """Take over records of the list, read here or by a peer."""
        taken = self._take_records(records)
        self._pass_on(StoreTopic.ENDPOINTS, taken, self._list.offset, is_own)

    def _take_records(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Take over records of the list; return those that changed something."""
        self._store_answered()
        taken = []
        for record in records:
            was_held = record.key in self._held
            changes = list(self._take_one(record))
            self._hand_on(changes, record.offset + 1)
            if changes or was_held or record.key in self._held:
                taken.append(record)
            if was_held or record.key in self._held:
                # Nothing changes here, but peers read only when they hear of a change:
                # one that needs no hold would go on using an endpoint that has left,
                # and one that holds it as well would drop one that is listed again.
                self._tell(record.offset + 1)
        return taken

    def _take_one(self, record: KeyedRecord) -> Iterable[ListChange]:
        if record.value is None:
            return self._drop(record.key)
        endpoint = self._endpoint(record)
        if endpoint is None:
            # The newest entry counts: whoever wrote it, the one before is no longer.
            return self._drop(record.key)
        self._held.pop(endpoint.id, None)
        return self._endpoints.put(endpoint)

    def replace_list(self, records: Iterable[KeyedRecord]) -> None:
        """Take over the whole list."""
        self._store_answered()
        if self._is_restored:
            self._is_restored = False
            records = [one for one in records if not self._was_dropped(one)]
            # Others have read up to marks of an era that is over.
            self._tell(self._list.offset)
        listed = {record.key for record in records if record.value is not None}
        for gone in self._endpoints.ids() - listed:
            self._hand_on(list(self._drop(gone)), self.list_mark)
        self._take_records(sorted(records, key=lambda record: record.offset))
        # A snapshot does not tell which removals came before its end, so that nobody
        # may be told that it misses none.
        self._publishers[StoreTopic.ENDPOINTS].reset(self._list.offset)

    def _was_dropped(self, record: KeyedRecord) -> bool:
        """Whether a restored entry is one whose removal the store has lost."""
        endpoint = None if record.value is None else self._endpoint(record)
        return endpoint is not None and self._endpoints.was_dropped(endpoint)

    def on_restored_list(self, era: int) -> None:
        """Note that the next whole list is from a copy."""
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
