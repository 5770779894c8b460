from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace

import pytest

from greengageflow.core.config_roles import Roles, config_roles
from greengageflow.core.fold import Fold
from greengageflow.core.log_records import (
    Appended,
    LogFailure,
    LogRecord,
    OffsetTrimmed,
    Records,
)
from greengageflow.core.messages import ConfigRequest, ConfigState, PeerId
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.daemon.config_follower import ConfigFollower
from greengageflow.net.config_exchange import pack_document
from greengageflow.net.timers import Subscription

IN_FORCE_TIMEOUT_S = 12


class Clock:
    """Simulated time with the interface of ``Timers``."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.order = count()

    def after(self, delay_s, call):
        sub = Subscription(call, None)
        heappush(self.heap, (self.now + delay_s, next(self.order), sub))
        return sub

    def every(self, interval_s, call):
        sub = Subscription(call, interval_s)
        heappush(self.heap, (self.now + interval_s, next(self.order), sub))
        return sub

    def run(self, seconds, until=lambda: False):
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end and not until():
            self.now, _, sub = heappop(self.heap)
            if not sub.is_active:
                continue
            sub.callback()
            if sub.interval_s is not None:
                heappush(self.heap, (self.now + sub.interval_s, next(self.order), sub))
        return until()


class FakeLog:
    def __init__(self, clock):
        self.clock = clock
        self.values = []
        self.first = 0
        self.down = False
        self.reads = 0

    def append_value(self, value):
        self.values.append(LogRecord(len(self.values), self.clock.now, value))

    def read(self, stream, from_offset, wait_s, on_done):
        self.reads += 1
        at_end = from_offset >= len(self.values)
        self.clock.after(
            wait_s if at_end else 0.001, lambda: on_done(self.page(from_offset))
        )

    def page(self, start):
        if self.down:
            return LogFailure(False, "down")
        if start < self.first:
            return OffsetTrimmed(self.first, len(self.values))
        return Records(tuple(self.values[start:]), self.first, len(self.values))

    def append(self, stream, records, on_done):
        if self.down:
            return on_done(LogFailure(False, "down"))
        first = len(self.values)
        for value in records:
            self.append_value(value)
        return on_done(Appended(first, len(records)))


class Fleet:
    """Config followers on one fake log; random pings gossip their revisions."""

    def __init__(self, size, zones=2, **options):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.rng = Random(7)
        self.disconnected = set()
        self.sent = []
        self.applied = {}
        self.members = {
            f"r{n}": SimpleNamespace(zone=f"z{n % zones}", stopping=False)
            for n in range(size)
        }
        self.followers = {host: self.follower(host, **options) for host in self.members}
        self.clock.every(1.0, self.gossip)

    def follower(self, host, log=None, **options):
        self.applied[host] = []
        return ConfigFollower(
            host,
            log or self.log,
            self.clock,
            on_config=lambda cfg: self.applied[host].append(cfg.revision),
            send=lambda to, message: self.send(host, to, message),
            peers=lambda: [peer for peer in self.members if peer != host],
            roles=lambda: config_roles(self.view(host)),
            rng=self.rng,
            now=lambda: self.clock.now,
            wall=lambda: self.clock.now,
            **options,
        )

    def view(self, host):
        return SimpleNamespace(
            own=PeerId(host, 1),
            live=self.members,
            ranked=lambda key: sorted(self.members),
        )

    def start(self):
        for follower in self.followers.values():
            follower.start()
        return self

    def restart(self, host, **options):
        self.followers[host].stop()
        self.followers[host] = self.follower(host, **options)
        self.followers[host].start()
        return self.followers[host]

    def send(self, sender, to, message):
        self.sent.append((sender, to, message))
        if not self.disconnected & {sender, to}:
            self.clock.after(
                0.01, lambda: self.followers[to].on_message(sender, message)
            )

    def gossip(self):
        for host, follower in self.followers.items():
            other = self.rng.choice(list(self.members))
            if other != host and not self.disconnected & {host, other}:
                self.followers[other].on_peer_revision(host, follower.revision)
                follower.on_peer_revision(other, self.followers[other].revision)

    def publish(self, name, schema=1):
        revision = max(follower.revision for follower in self.followers.values())
        config = {"accounts": [{"name": name}]}
        self.log.append_value(
            {"schema": schema, "replaces": revision, "config": config}
        )

    def all_at(self, revision):
        return all(
            follower.revision == revision for follower in self.followers.values()
        )

    def request_count(self):
        return sum(isinstance(message, ConfigRequest) for *_, message in self.sent)


def test_record_takes_effect_on_all_routers_while_few_poll():
    """Of 40 routers only two per zone poll continuously; the others learn of a new
    revision by gossip and fetch it from a peer. All have it in 12 s. If all of them
    polled, the shared log would have to serve a long poll per router.
    """
    fleet = Fleet(40, poll_s=1000.0).start()
    fleet.clock.run(20)
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    before = fleet.log.reads
    fleet.clock.run(100)
    # Four readers with a poll every 1.1 s, and at most one poll by each other router.
    assert fleet.log.reads - before < 4 * 100 / 1.1 + 40


def test_fallback_poll_suffices_without_gossip():
    """Messages between routers are lost while the log works. Each router still gets a
    record within 12 s by its own fallback poll.
    """
    fleet = Fleet(12).start()
    fleet.disconnected = set(fleet.members)
    fleet.clock.run(30)
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))


def test_router_without_state_restores_from_peers_during_log_outage():
    """A router is replaced during a log outage. It restores the configuration from a
    peer, and reads later records once the log is back. If it waited for the log, it
    could not serve callers during the outage.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    fleet.log.down = True
    fleet.clock.run(5)
    fleet.restart("r1")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    assert fleet.followers["r1"].status["log"] == "down"
    fleet.log.down = False
    fleet.publish("b")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(2))
    assert fleet.applied["r1"] == [1, 2]


def test_snapshot_replaces_trimmed_records():
    """The log trims the only configuration record. A router that starts without
    reachable peers restores the snapshot that another router appended before that.
    Without the snapshot it would have no configuration.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    fleet.clock.run(700)
    assert len(fleet.log.values) == 2
    fleet.log.first = 1
    fleet.disconnected = {"r2"}
    fleet.restart("r2")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    fleet.log.first = 2
    fleet.clock.run(60)
    assert len(fleet.log.values) == 3


@pytest.mark.parametrize("trimmed_record_rejected", [False, True])
def test_router_that_missed_trimmed_records_restores_from_peer(trimmed_record_rejected):
    """A router is disconnected from the log and its peers while the log trims a record.
    After it reconnects it must not apply later records to its outdated state. It waits
    for the state of a peer, even if the trimmed record was rejected and the revisions
    are equal.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    stale_log = FakeLog(fleet.clock)
    stale_log.down = True
    fleet.disconnected = {"r2"}
    r2 = fleet.restart("r2", log=stale_log, fold=fleet.followers["r2"].fold)
    if trimmed_record_rejected:
        fleet.log.append_value({"schema": 1, "replaces": 0, "config": {}})
    else:
        fleet.publish("b")
    fleet.clock.run(30)
    fleet.log.first = 2
    # A copy, so that r2 does not get the snapshot that the others append now.
    stale_log.values, stale_log.first, stale_log.down = list(fleet.log.values), 2, False
    fleet.clock.run(30)
    assert (r2.revision, r2.status["complete"]) == (1, False)
    fleet.disconnected = set()
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: r2.status["complete"])
    assert fleet.all_at(1 if trimmed_record_rejected else 2)


def test_emptied_log_does_not_revert_configuration():
    """The log is replaced by an empty one and an operator publishes to it. Routers keep
    the accepted configuration and report that the log is shorter. If they applied the
    first record, only freshly started routers would have that configuration in force.
    """
    fleet = Fleet(2).start()
    for revision, name in enumerate("abc", 1):
        fleet.publish(name)
        assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda at=revision: fleet.all_at(at))
    fleet.log.values.clear()
    fleet.publish("z")
    fleet.clock.run(60)
    assert fleet.all_at(3)
    assert list(fleet.followers["r0"].config.accounts) == ["c"]
    assert fleet.followers["r0"].status["log"] == "shorter"


def test_unsupported_schema_halts_follower_without_flooding_peers():
    """A router of an older release reads a record with an allowed schema that it does
    not support. It stays at its revision, reports that it halted, and does not request
    the unsupported state from a peer after each ping.
    """
    fleet = Fleet(3)
    fleet.followers["r2"] = fleet.follower(
        "r2", fold=Fold(supported_schemas=frozenset({1}))
    )
    fleet.start()
    fleet.log.append_value(
        {"schema": 1, "kind": "allow_schema", "replaces": 0, "highest": 2}
    )
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    fleet.log.append_value({"schema": 2, "replaces": 1, "config": {}})
    fleet.clock.run(30)
    before, reads = fleet.request_count(), fleet.log.reads
    fleet.clock.run(60)
    assert [follower.revision for follower in fleet.followers.values()] == [2, 2, 1]
    assert "schema 2" in fleet.followers["r2"].status["halted"]
    assert fleet.request_count() == before
    # Two readers with a poll every 1.1 s; the halted router does not read the log.
    assert fleet.log.reads - reads <= 2 * 60 / 1.1 + 10


def test_each_zone_has_two_readers_and_the_fleet_one_writer():
    fleet = Fleet(9, zones=3)
    roles = {host: config_roles(fleet.view(host)) for host in fleet.members}
    assert sum(role.reader for role in roles.values()) == 6
    assert [host for host, role in roles.items() if role.writer] == ["r0"]
    fleet.members["r0"].stopping = True
    assert config_roles(fleet.view("r1")) == Roles(True, True)
    assert config_roles(fleet.view("r6")) == Roles(True, False)


def test_malformed_peer_state_is_ignored():
    fleet = Fleet(2).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_TIMEOUT_S, lambda: fleet.all_at(1))
    valid = pack_document(fleet.followers["r1"].fold.snapshot("r1"))
    for data in (b"", b"junk", valid[:-9], pack_document([]), pack_document("x")):
        fleet.followers["r0"].on_message("r1", ConfigState(9, 9, data))
    assert fleet.followers["r0"].revision == 1


def test_exception_in_on_config_does_not_stop_reading():
    """``on_config`` raises for one configuration, for example through a bug in another
    component. The follower continues to read, so the next configuration takes effect.
    """
    fleet = Fleet(1).start()
    on_config = fleet.followers["r0"]._on_config

    def fail_once(config):
        on_config(config)
        if config.revision == 1:
            raise RuntimeError("some part failed")

    fleet.followers["r0"]._on_config = fail_once
    fleet.publish("a")
    with pytest.raises(RuntimeError):
        fleet.clock.run(IN_FORCE_TIMEOUT_S)
    fleet.publish("b")
    fleet.clock.run(IN_FORCE_TIMEOUT_S)
    assert fleet.applied["r0"] == [1, 2]


def test_roles_are_derived_from_fleet_view():
    """A published configuration took 8 s to take effect instead of 1 s.

    The view returned host names where the roles unpacked pairs: "r1" became "r" and
    "1", no router was a reader, and only the slow fallback polls were left.
    """
    live = {f"r{n}": LiveMember(1, f"z{n % 2}") for n in range(6)}
    own = [PeerId(host, 1) for host in live]
    roles = [config_roles(FleetView(peer, live, frozenset(live))) for peer in own]
    assert sum(role.reader for role in roles) in (4, 5)
    assert sum(role.writer for role in roles) == 1
