"""Reads of the store and the resulting views of hosts, in simulated time."""

import json
from base64 import b64encode
from dataclasses import replace
from random import Random
from struct import pack
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

import pytest

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.outage_hold import REMOVAL_HOLD_S
from greengageflow.core.store_duty import (
    MEMBER_READ_INTERVAL_S,
    UPDATE_TIMEOUT_S,
    StoreReport,
    StoreRole,
)
from greengageflow.daemon.evacuation_watch import EvacuationWatch
from greengageflow.daemon.store_view import StoreView
from greengageflow.daemon.topic_follower import READ_TIMEOUT_S
from greengageflow.net.http_messages import Failure, FailureKind, Response
from greengageflow.net.report_codec import decode, encode
from greengageflow.platform.names import (
    CONFIG_KEY,
    LOG_NEWEST,
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
)

STEP_S = 0.05
STILL_LISTED = {"n9", "n10", "n11"}
POLL_INTERVAL_S = 0.6


class Store:
    """Simulates the store with two topics."""

    def __init__(self):
        self.now = 0.0
        self.down = False
        self.era, self.hosts = 0, 0
        self.logs = {OPERATOR_TOPIC: [], SERVERS_TOPIC: []}
        self.firsts = {OPERATOR_TOPIC: 0, SERVERS_TOPIC: 0}
        self.page_records, self.written_at = None, {}

    def put(self, topic, key, doc):
        value = json.dumps(doc).encode() if doc is not None else b""
        self.logs[topic].append((key, value))

    def config(self, version):
        self.written_at[version] = self.now
        self.put(OPERATOR_TOPIC, CONFIG_KEY, {"version": version})

    def endpoint(self, name, listed=True, **fields):
        doc = {"address": "127.0.0.1:9", "service": "model", "zone": "z", "slots": 4}
        doc["version"] = "v1"
        doc["state"] = "ready"
        doc |= fields
        self.put(SERVERS_TOPIC, name, doc if listed else None)

    def copy(self):
        """Return a backup for a later ``restore``."""
        return {topic: len(log) for topic, log in self.logs.items()}

    def restore(self, copy):
        """Lose all records written since a copy, so that their offsets are reused."""
        self.era += 1
        for topic, length in copy.items():
            del self.logs[topic][length:]
            self.firsts[topic] = min(self.firsts[topic], length)

    def forget(self):
        """Compact the topics: only the newest records can still be read."""
        self.firsts = {topic: len(log) for topic, log in self.logs.items()}

    def answer(self, path, called_at):
        """Return the answer to a call, or None while it long-polls for a record."""
        if self.down:
            return Failure(FailureKind.CONNECT, False, "refused")
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        log, first = self.logs[query["topic"]], self.firsts[query["topic"]]
        if url.path == LOG_NEWEST:
            newest = {key: (value, at) for at, (key, value) in enumerate(log)}
            items = [
                {"key": key, "value": b64encode(value).decode(), "offset": at}
                for key, (value, at) in newest.items()
                if value
            ]
            keys = [item["key"] for item in items]
            begin = keys.index(query["after"]) + 1 if "after" in query else 0
            page = items[begin:][: self.page_records]
            is_last = begin + len(page) == len(items)
            doc = {"items": page, "truncated": not is_last, "end": len(log)}
            return Response(200, self.headers, json.dumps(doc).encode())
        begin = int(query["from"])
        if not first <= begin <= len(log):
            return Response(410, self.headers, b"")
        if (
            begin == len(log)
            and self.now < called_at + int(query.get("wait_ms", 0)) / 1e3
        ):
            return None
        page = log[begin:][: self.page_records]
        rows = [bytes([len(key)]) + key.encode() + value for key, value in page]
        body = b"".join(pack(">I", len(row)) + row for row in rows)
        return Response(200, self.headers, pack(">QQ", len(log), first) + body)

    @property
    def headers(self):
        return (("store-era", str(self.era)),) if self.era else ()


class Host:
    """A store view with stubs of its pool, timer service and decision log."""

    def __init__(self, store, *, is_reader=False):
        self.store, self.is_reader, self.stuck = store, is_reader, False
        self.refused, self.role = False, StoreRole.MEMBER
        self.peers, self.drops_updates = [], False
        self.retry_stale_flags, self.events, self.eras = [], [], []
        self.paths, self.open, self.changes, self.versions = [], [], [], []
        self.endpoints, self.released = EndpointList(), []
        self.evacuations = EvacuationWatch(self, self, self.on_evacuation)
        self.view = StoreView(
            self,
            self,
            ("127.0.0.1", 9),
            self.endpoints,
            self,
            self.evacuations,
            on_routing=lambda routing: self.versions.append(routing.version),
            on_change=lambda change: self.changes.append((change.what, change.id)),
            on_update=lambda: None,
            on_read=self.deliver,
            on_era=self.eras.append,
            poll_interval_s=POLL_INTERVAL_S,
            clock=lambda: store.now,
        )

        store.hosts += 1
        self.view._random = Random(store.hosts)

    @property
    def now(self):
        return self.store.now

    def after(self, _delay_s, call):
        call()

    def send_evacuations(self, report, max_hosts):
        for peer in self.peers if max_hosts is None else ():
            peer.evacuations.receive(report.records)

    def on_evacuation(self, zones, released):
        self.endpoints.evacuate(zones)
        self.released.extend(released)

    def write(self, event, **fields):
        json.dumps(fields, allow_nan=False)
        self.events.append((event.name, fields.get("endpoint", "")))

    def fetch(self, request, on_done, limit):
        call = SimpleNamespace(path=request.path, at=self.now, on_done=on_done)
        call.cancel = lambda: self.open.remove(call)
        self.paths.append(request.path)
        self.retry_stale_flags.append(request.retry_stale)
        self.open.append(call)
        return call

    def report(self):
        view, now = self.view, self.now
        ages = now - view.config_confirmed_at, now - view.list_confirmed_at
        return StoreReport(now, view.version, view.list_mark, *ages)

    def deliver(self, update, _from_store):
        if self.is_reader and not self.drops_updates:
            data = encode(update)
            for peer in self.peers:
                peer.view.apply_update(decode(data))

    def step(self, reports):
        for call in list(self.open):
            result = None if self.stuck else self.store.answer(call.path, call.at)
            if self.refused:
                result = Failure(FailureKind.CONNECT, False, "refused")
            if result is not None:
                self.open.remove(call)
                call.on_done(result)
        role = StoreRole.READER if self.is_reader else self.role
        self.view.on_tick(role, reports)


def run(store, hosts, seconds, lost=()):
    """Run the simulation; lost hosts don't run, but their last reports stay known."""
    last_reports = {host: host.report() for host in lost}
    for _ in range(round(seconds / STEP_S)):
        store.now += STEP_S
        reports = {host: host.report() for host in hosts}
        for host in hosts:
            others = [report for other, report in reports.items() if other is not host]
            host.step([*others, *last_reports.values()])


@pytest.fixture
def store():
    store = Store()
    store.config(1)
    store.endpoint("e1")
    store.endpoint("e2")
    return store


@pytest.fixture
def hosts(store):
    hosts = [Host(store, is_reader=True), Host(store), Host(store)]
    run(store, hosts, 2)
    return hosts


def check_confirmations(store, host):
    """Check that a host confirms no configuration from after a newer one's writing."""
    view = host.view
    for version, at in store.written_at.items():
        assert version <= view.version or view.config_confirmed_at <= at


def test_a_page_that_ends_before_the_log_confirms_nothing(store):
    """A host that got one page of several took its configuration for the newest, and
    went on trusting keys that a later page takes away."""
    host = Host(store, is_reader=True)
    run(store, [host], 2)
    store.page_records = 1
    host.stuck = True
    for version in range(2, 9):
        store.config(version)
        run(store, [host], 0.2)
    host.stuck = False
    for _ in range(40):
        run(store, [host], STEP_S)
        check_confirmations(store, host)
    assert host.view.version == 8
    assert store.now - host.view.config_confirmed_at < 2 * POLL_INTERVAL_S


def test_a_snapshot_in_pages_is_confirmed_as_of_its_first_page(store):
    """What is written while the pages are read may be missing from the earlier ones."""
    for zone in ("z1", "z2", "z3"):
        store.put(OPERATOR_TOPIC, f"evacuate/{zone}", {})
    store.page_records = 1
    host = Host(store, is_reader=True)
    for version in range(2, 9):
        host.step([])
        store.now += STEP_S
        store.config(version)
        check_confirmations(store, host)
    for _ in range(20):
        run(store, [host], STEP_S)
        check_confirmations(store, host)
    assert host.view.version == 8


def test_short_read_without_records_is_a_failure(store):
    """A store that announces records and sends none must not be asked in a loop."""
    host = Host(store, is_reader=True)
    run(store, [host], 2)
    store.page_records = 0
    store.config(2)
    calls = len(host.paths)
    run(store, [host], 3)
    assert host.view.version == 1 and len(host.paths) - calls < 30
    check_confirmations(store, host)
    store.page_records = None
    run(store, [host], 2)
    assert host.view.version == 2


def test_only_the_reader_polls(store, hosts):
    before = [len(host.paths) for host in hosts]
    run(store, hosts, 20)
    reader, *others = (len(h.paths) - n for h, n in zip(hosts, before, strict=True))
    assert others == [0, 0]
    assert 2 * 20 / POLL_INTERVAL_S - 12 <= reader <= 3 * 20 / POLL_INTERVAL_S + 2


def test_members_read_when_a_peer_reports_a_newer_mark(store, hosts):
    before = [len(host.paths) for host in hosts]
    store.config(2)
    store.endpoint("e3")
    run(store, hosts, POLL_INTERVAL_S + 0.4)
    assert [host.view.version for host in hosts] == [2, 2, 2]
    assert [host.endpoints.ids() for host in hosts] == [{"e1", "e2", "e3"}] * 3
    run(store, hosts, 5)
    for host, count in list(zip(hosts, before, strict=True))[1:]:
        assert len(host.paths) - count == 2


@pytest.fixture
def zone(hosts):
    """The same hosts, with updates delivered from the reader to the others."""
    hosts[0].peers = hosts[1:]
    return hosts


def test_updates_from_the_reader_save_the_members_reads(store, zone):
    """The number of store calls must not grow with hosts times changes."""
    before = [len(host.paths) for host in zone]
    for version in range(2, 12):
        store.config(version)
        store.endpoint(f"n{version}")
        store.endpoint(f"n{version - 3}", listed=False)
        run(store, zone, 1)
        store.endpoint("e1")  # repeated; changes nothing
        run(store, zone, 1)
    run(store, zone, POLL_INTERVAL_S + 0.4)
    assert [host.view.version for host in zone] == [11] * 3
    assert [host.endpoints.ids() for host in zone] == [{"e1", "e2", *STILL_LISTED}] * 3
    assert [len(h.paths) - n for h, n in zip(zone, before, strict=True)][1:] == [0, 0]


def test_an_entry_that_names_the_version_of_a_start_reaches_members(store, zone):
    """The reader, which had met the start, took its entry for an unchanged one."""
    reader, *members = zone
    store.endpoint("e1", born=1)
    run(store, zone, 2.0)
    unlisted = replace(reader.endpoints.get("e1"), born=5, version="")
    list(reader.endpoints.put_unlisted(unlisted))
    store.endpoint("e1", born=5)
    run(store, zone, 2.0)
    for host in zone:
        endpoint = host.endpoints.get("e1")
        assert (endpoint.born, endpoint.version) == (5, "v1")


def test_a_start_time_that_an_entry_lacked_reaches_members(store, zone):
    run(store, zone, 2.0)
    store.endpoint("e1", born=5)
    run(store, zone, 2.0)
    assert [host.endpoints.get("e1").born for host in zone] == [5] * len(zone)


def test_host_that_missed_an_update_reads_the_change(store, zone):
    """A lost update must delay a removal only briefly."""
    reader, *_ = zone
    reader.drops_updates = True
    store.endpoint("e1", listed=False)
    run(store, zone, POLL_INTERVAL_S + 0.2 + UPDATE_TIMEOUT_S)
    assert [host.endpoints.ids() for host in zone] == [{"e2"}] * 3
    reader.drops_updates = False
    before = [len(host.paths) for host in zone]
    store.endpoint("e2", listed=False)
    run(store, zone, POLL_INTERVAL_S + 0.4)
    assert [host.endpoints.ids() for host in zone] == [set()] * 3
    assert [len(h.paths) - n for h, n in zip(zone, before, strict=True)][1:] == [0, 0]


def test_host_without_a_snapshot_applies_a_configuration_update(store, zone):
    """A host starts as the reader publishes a configuration. The host must apply it,
    and must still read the endpoint list, of which it has no snapshot."""
    late = Host(store)
    zone[0].peers.append(late)
    store.config(2)
    run(store, [zone[0]], POLL_INTERVAL_S)
    assert late.view.version == 2 and late.versions == [2]
    run(store, [*zone, late], 1)
    assert late.endpoints.ids() == {"e1", "e2"}


def test_removal_missing_in_the_readers_snapshot_still_reaches_members(store, zone):
    """The reader was cut off until the store had compacted a removal away, and then
    publishes a later change. Other hosts must still read the removal."""
    reader, other, _ = zone
    store.endpoint("e1", listed=False)
    store.forget()
    store.endpoint("e2")
    run(store, [reader], 2)
    store.endpoint("e3")
    run(store, zone, POLL_INTERVAL_S + 0.4 + UPDATE_TIMEOUT_S)
    assert reader.endpoints.ids() == {"e2", "e3"}
    assert other.endpoints.ids() == {"e2", "e3"}


def test_members_learn_of_a_removal_that_was_compacted_away(store, hosts):
    """The reader's snapshot lacked the endpoint, no record followed, and the reader's
    reports confirmed the list that the members had: they went on using the endpoint."""
    store.endpoint("e1", listed=False)
    store.forget()
    run(store, hosts, POLL_INTERVAL_S + 0.6)
    assert [host.endpoints.ids() for host in hosts] == [{"e2"}] * 3
    before = [len(host.paths) for host in hosts]
    run(store, hosts, 5)
    assert [len(h.paths) for h in hosts[1:]] == before[1:], "members read once"


@pytest.mark.parametrize("down_s", [0.5, 6.0])
def test_members_learn_of_a_compacted_removal_after_an_outage(store, hosts, down_s):
    """The reader holds removals for a while then; its mark stayed behind for good."""
    store.down = True
    run(store, hosts, down_s)
    store.endpoint("e1", listed=False)
    store.forget()
    store.down = False
    run(store, hosts, 8)
    assert [host.endpoints.ids() for host in hosts] == [{"e2"}] * 3


def test_a_member_that_missed_the_mark_learns_of_a_compacted_removal(store, hosts):
    """It is cut off from its peers while the reader drops the endpoint."""
    reader, other, late = hosts
    store.endpoint("e1", listed=False)
    store.forget()
    run(store, [reader, other], POLL_INTERVAL_S + 0.6)
    run(store, hosts, 0.6)
    assert late.endpoints.ids() == {"e2"}


def test_update_during_an_own_read_is_applied_once(store, zone):
    """A read and an update carry the same records; none may be applied twice or at a
    wrong offset."""
    _, other, _ = zone
    other.stuck = True
    other.is_reader = True
    run(store, zone, POLL_INTERVAL_S + 0.1)
    store.endpoint("e3")
    run(store, zone, POLL_INTERVAL_S + 0.1)
    assert other.endpoints.ids() == {"e1", "e2", "e3"}
    other.stuck = False
    store.endpoint("e4")
    run(store, zone, POLL_INTERVAL_S + 0.4)
    assert other.endpoints.ids() == {"e1", "e2", "e3", "e4"}
    assert other.view.list_mark == 4


def test_members_read_when_all_reports_are_stale(store, hosts):
    """The reader fails and its last report becomes stale. Whichever host reads first
    reports it to the other, so that both together read about once per stale time."""
    reader, *others = hosts
    before = sum(len(host.paths) for host in others)
    store.config(2)
    store.endpoint("e1", listed=False)
    run(store, others, 10, lost=[reader])
    assert [host.view.version for host in others] == [2, 2]
    assert [host.endpoints.ids() for host in others] == [{"e2"}] * 2
    assert 8 <= sum(len(host.paths) for host in others) - before <= 60


def test_standby_reads_in_place_of_a_lost_reader(store, hosts):
    """Otherwise all hosts of a large fleet would call the store at once."""
    reader, standby, member = hosts
    standby.role = StoreRole.STANDBY
    before = len(member.paths)
    store.endpoint("e1", listed=False)
    standby.peers = [member]
    run(store, [standby, member], 10, lost=[reader])
    assert member.endpoints.ids() == {"e2"}
    assert len(member.paths) - before <= 1


def test_members_limit_their_calls_to_a_store_that_is_down(store, hosts):
    """Calls to a store that is down are useless and add up over hundreds of hosts."""
    reader, member, _ = hosts
    before = len(member.paths)
    store.down = True
    run(store, hosts, 12)
    assert len(member.paths) - before <= 2 * 12 / MEMBER_READ_INTERVAL_S
    store.down = False
    store.endpoint("e3")
    run(store, hosts, 1.5)
    assert [host.endpoints.ids() for host in hosts] == [{"e1", "e2", "e3"}] * 3


def test_mark_of_a_change_does_not_depend_on_the_time_of_the_read(store, hosts):
    """A host that read past the last change must not report a higher mark for it, or
    the others would read once more without need."""
    reader, other, _ = hosts
    for name in ("e3", "e4"):
        store.endpoint(name)
        run(store, [reader], 1)
    late = Host(store)
    run(store, [late], 1)
    store.endpoint("e4")  # repeated; changes nothing
    run(store, [reader], 1)
    run(store, [other], 3)
    marks = {host.view.list_mark for host in (reader, other, late)}
    assert marks == {4}


@pytest.mark.parametrize("forgotten", [False, True])
def test_removals_during_an_outage_are_held(store, hosts, forgotten):
    """Leases expire while the store is down. Live endpoints register again within two
    seconds after its return; without the hold there would be none until then."""
    host = hosts[0]
    host.changes.clear()
    store.down = True
    run(store, [host], 3)
    store.endpoint("e1", listed=False)
    store.endpoint("e2", listed=False)
    if forgotten:
        store.forget()
    store.down = False
    run(store, [host], 1.5)
    assert host.endpoints.ids() == {"e1", "e2"}
    store.endpoint("e1")
    run(store, [host], REMOVAL_HOLD_S + 1)
    assert host.endpoints.ids() == {"e1"}
    assert host.changes == [("gone", "e2")]
    store.endpoint("e1", listed=False)
    run(store, [host], POLL_INTERVAL_S + 0.2)
    assert not host.endpoints.ids(), "without an outage nothing is held"


def test_removal_long_after_an_outage_is_applied_at_once_by_all(store, hosts):
    """The hold must begin with the store's return, not with a host's next own read.

    Hosts hold removals after an outage, since leases expire in it. A host that is not a
    reader reads the list only when a removal is reported, and then began its hold. Seen
    with an outage of 5 s and a removal 3 s after it: three of nine hosts sent requests
    to the endpoint for 2.2 s after they had read its removal, and requests reached it
    2.4 s after the store had acknowledged the removal.
    """
    store.down = True
    run(store, hosts, 5)
    store.down = False
    run(store, hosts, 3)
    store.endpoint("e1", listed=False)
    run(store, hosts, 2 * POLL_INTERVAL_S)
    assert [host.endpoints.ids() for host in hosts] == [{"e2"}] * 3


def test_removal_after_the_first_read_that_follows_an_outage_is_held(store, hosts):
    """Leases that could not be renewed may expire only after the first read that
    follows an outage; the endpoints register again a second later. Without a hold that
    counts from the store's return the fleet would have no endpoints meanwhile.
    """
    store.down = True
    run(store, hosts, 5)
    store.down = False
    run(store, hosts, 0.5)
    store.endpoint("e1", listed=False)
    run(store, hosts, 1)
    assert [host.endpoints.ids() for host in hosts] == [{"e1", "e2"}] * 3


def test_entry_listed_again_during_the_hold_reaches_all_hosts(store, hosts):
    """Readers must report an entry that is listed again within the hold, although their
    own list doesn't change. Otherwise the other hosts' last record of it remains the
    removal, and they remove it at the end of their hold. Seen after an outage: six of
    nine hosts removed all eleven endpoints and had none for 1.1 s; the three readers
    removed none.
    """
    store.down = True
    run(store, hosts, 5)
    store.endpoint("e1", listed=False)
    store.down = False
    run(store, hosts, 1)
    store.endpoint("e1")
    run(store, hosts, REMOVAL_HOLD_S)
    assert [host.endpoints.ids() for host in hosts] == [{"e1", "e2"}] * 3
    assert not any(("gone", "e1") in host.changes for host in hosts)


def test_host_that_was_cut_off_alone_holds_no_removals(store, hosts):
    """The store refuses one host for seconds but serves the others. That host must not
    hold removals when it reads again, or it would send requests to endpoints that have
    left long ago."""
    cut = hosts[2]
    cut.refused = True
    store.endpoint("e1", listed=False)
    run(store, hosts, 5)
    assert cut.endpoints.ids() == {"e1", "e2"}
    cut.refused = False
    run(store, hosts, 1.5)
    assert [host.endpoints.ids() for host in hosts] == [{"e2"}] * 3


def test_list_outages_and_held_removals_are_logged(store, hosts):
    """The decision log must show list outages and held removals; without these events a
    held removal looks like a delayed one."""
    host = hosts[0]
    host.events.clear()
    store.down = True
    run(store, [host], 3)
    store.endpoint("e1", listed=False)
    store.down = False
    run(store, [host], REMOVAL_HOLD_S + 1.5)
    events = [line for line in host.events if not line[0].startswith("STORE_")]
    assert events == [("LIST_LOST", ""), ("ENDPOINT_HELD", "e1"), ("LIST_REGAINED", "")]


def test_compacted_records_lead_to_a_new_snapshot(store, hosts):
    host = hosts[0]
    store.endpoint("e1", listed=False)
    store.endpoint("e3")
    store.config(5)
    store.forget()
    host.changes.clear()
    run(store, [host], 2)
    assert host.view.version == 5
    assert host.endpoints.ids() == {"e2", "e3"}
    assert sorted(host.changes) == [("gone", "e1"), ("new", "e3")]
    assert sum(path.startswith(LOG_NEWEST) for path in host.paths) == 4


def test_overdue_call_is_cancelled(store, hosts):
    """Otherwise a call that never ends would keep the host from ever reading again."""
    host = hosts[0]
    host.stuck = True
    store.config(2)
    run(store, [host], READ_TIMEOUT_S - 1)
    stuck = list(host.open)
    assert len(stuck) == 2
    run(store, [host], 2.5)
    assert not any(call in host.open for call in stuck)
    host.stuck = False
    run(store, [host], 2)
    assert host.view.version == 2


def test_older_configuration_is_ignored(store, hosts):
    for version in (4, 3, 2, 4):
        store.config(version)
        run(store, hosts, 1)
    store.put(OPERATOR_TOPIC, CONFIG_KEY, {"version": "none"})
    run(store, hosts, 1)
    for host in hosts:
        assert host.view.version == 4 and host.versions == [1, 4]


def test_older_configuration_in_a_snapshot_is_ignored(store, hosts):
    store.config(4)
    run(store, hosts, 1)
    store.config(3)
    store.forget()
    run(store, hosts, 2)
    assert [host.view.version for host in hosts] == [4, 4, 4]


def test_every_read_uses_a_new_connection(store, hosts):
    """A late answer on a kept connection would count for the next read. When all kept
    connections were dead, a retry on another one timed out as well, and revoked keys
    were accepted for longer."""
    host = hosts[0]
    run(store, hosts, 1.0)
    store.down = True
    run(store, hosts, 3.0)
    store.down = False
    run(store, hosts, 3.0)
    assert host.retry_stale_flags and not any(host.retry_stale_flags)
