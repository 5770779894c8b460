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

IN_FORCE_S = 12


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

    def put(self, value):
        self.values.append(LogRecord(len(self.values), self.clock.now, value))

    def read(self, stream, from_offset, wait_s, on_done):
        self.reads += 1
        late = from_offset >= len(self.values)
        self.clock.after(
            wait_s if late else 0.001, lambda: on_done(self.page(from_offset))
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
            self.put(value)
        return on_done(Appended(first, len(records)))


class Fleet:
    """Followers over one log, with pings that carry revisions at random."""

    def __init__(self, size, zones=2, **options):
        self.clock = Clock()
        self.log = FakeLog(self.clock)
        self.rng = Random(7)
        self.cut = set()
        self.sent = []
        self.given = {}
        self.members = {
            f"r{n}": SimpleNamespace(zone=f"z{n % zones}", stopping=False)
            for n in range(size)
        }
        self.followers = {host: self.follower(host, **options) for host in self.members}
        self.clock.every(1.0, self.gossip)

    def follower(self, host, log=None, **options):
        self.given[host] = []
        return ConfigFollower(
            host,
            log or self.log,
            self.clock,
            on_config=lambda cfg: self.given[host].append(cfg.revision),
            send=lambda to, message: self.send(host, to, message),
            peers=lambda: [one for one in self.members if one != host],
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
        if not self.cut & {sender, to}:
            self.clock.after(0.01, lambda: self.followers[to].received(sender, message))

    def gossip(self):
        for host, follower in self.followers.items():
            other = self.rng.choice(list(self.members))
            if other != host and not self.cut & {host, other}:
                self.followers[other].on_peer_revision(host, follower.revision)
                follower.on_peer_revision(other, self.followers[other].revision)

    def publish(self, name, schema=1):
        revision = max(one.revision for one in self.followers.values())
        config = {"accounts": [{"name": name}]}
        self.log.put({"schema": schema, "replaces": revision, "config": config})

    def all_at(self, revision):
        return all(one.revision == revision for one in self.followers.values())

    def requests(self):
        return sum(isinstance(message, ConfigRequest) for *_, message in self.sent)


def test_a_record_is_in_force_everywhere_while_few_routers_poll():
    """An operator publishes to a fleet of 40 routers. All have it in 12 s, though only
    two of each zone poll without pause: the others hear of it and ask a peer. Were all
    to poll, the shared log would bear a long poll of each.
    """
    fleet = Fleet(40, poll_s=1000.0).start()
    fleet.clock.run(20)
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    before = fleet.log.reads
    fleet.clock.run(100)
    # Four readers at 1.1 s a poll, and at most one poll of each of the others.
    assert fleet.log.reads - before < 4 * 100 / 1.1 + 40


def test_without_gossip_the_fallback_poll_is_in_time():
    """Messages between routers are lost for long, the log works. Each router still
    gets a record in 12 s, by its own poll.
    """
    fleet = Fleet(12).start()
    fleet.cut = set(fleet.members)
    fleet.clock.run(30)
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))


def test_a_router_without_memory_starts_from_its_peers_while_the_log_is_down():
    """The log is in an outage when a router is replaced. It gets the configuration of
    a peer and serves; when the log is back it goes on from there and hears of later
    records. Waiting for the log instead would leave callers with nothing.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    fleet.log.down = True
    fleet.clock.run(5)
    fleet.restart("r1")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    assert fleet.followers["r1"].status["log"] == "down"
    fleet.log.down = False
    fleet.publish("b")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(2))
    assert fleet.given["r1"] == [1, 2]


def test_snapshots_outlive_the_records_of_a_forgetful_log():
    """The log forgets the only configuration record. A router that starts with no peer
    to ask takes the snapshot that another appended in time. Without it the router
    would have nothing to serve by.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    fleet.clock.run(700)
    assert len(fleet.log.values) == 2
    fleet.log.first = 1
    fleet.cut = {"r2"}
    fleet.restart("r2")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    fleet.log.first = 2
    fleet.clock.run(60)
    assert len(fleet.log.values) == 3


@pytest.mark.parametrize("lost_race", [False, True])
def test_a_router_that_lost_records_is_made_whole_by_a_peer(lost_race):
    """One router is cut off from the log and its peers, and the log forgets a record
    in the meantime. When it comes back it must not judge what follows by its old
    state; it waits, and the state of a peer brings it level with the others, also
    when the lost record had changed nothing and revisions are equal.
    """
    fleet = Fleet(3).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    cut_off = FakeLog(fleet.clock)
    cut_off.down = True
    fleet.cut = {"r2"}
    r2 = fleet.restart("r2", log=cut_off, fold=fleet.followers["r2"].fold)
    if lost_race:
        fleet.log.put({"schema": 1, "replaces": 0, "config": {}})
    else:
        fleet.publish("b")
    fleet.clock.run(30)
    fleet.log.first = 2
    # A copy, so that the snapshot which the others write now does not help.
    cut_off.values, cut_off.first, cut_off.down = list(fleet.log.values), 2, False
    fleet.clock.run(30)
    assert (r2.revision, r2.status["complete"]) == (1, False)
    fleet.cut = set()
    assert fleet.clock.run(IN_FORCE_S, lambda: r2.status["complete"])
    assert fleet.all_at(1 if lost_race else 2)


def test_a_log_that_was_emptied_takes_nothing_back():
    """The log is replaced by an empty one and an operator publishes there. Routers
    keep what was accepted and say that the log is shorter: its first record would
    otherwise put another configuration in force on those that start anew only.
    """
    fleet = Fleet(2).start()
    for revision, name in enumerate("abc", 1):
        fleet.publish(name)
        assert fleet.clock.run(IN_FORCE_S, lambda at=revision: fleet.all_at(at))
    fleet.log.values.clear()
    fleet.publish("z")
    fleet.clock.run(60)
    assert fleet.all_at(3)
    assert list(fleet.followers["r0"].config.accounts) == ["c"]
    assert fleet.followers["r0"].status["log"] == "shorter"


def test_an_old_release_neither_guesses_nor_floods_its_peers():
    """A router of an old release meets an allowed schema that it cannot read. It stays
    at its revision, says so, and does not fetch from each ping a state that it cannot
    read.
    """
    fleet = Fleet(3)
    fleet.followers["r2"] = fleet.follower(
        "r2", fold=Fold(supported_schemas=frozenset({1}))
    )
    fleet.start()
    fleet.log.put({"schema": 1, "kind": "allow_schema", "replaces": 0, "highest": 2})
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    fleet.log.put({"schema": 2, "replaces": 1, "config": {}})
    fleet.clock.run(30)
    before, reads = fleet.requests(), fleet.log.reads
    fleet.clock.run(60)
    assert [one.revision for one in fleet.followers.values()] == [2, 2, 1]
    assert "schema 2" in fleet.followers["r2"].status["halted"]
    assert fleet.requests() == before
    # Two readers at 1.1 s a poll; the third one stays away from the log.
    assert fleet.log.reads - reads <= 2 * 60 / 1.1 + 10


def test_each_zone_has_two_readers_and_the_fleet_one_writer():
    fleet = Fleet(9, zones=3)
    roles = {host: config_roles(fleet.view(host)) for host in fleet.members}
    assert sum(role.reader for role in roles.values()) == 6
    assert [host for host, role in roles.items() if role.writer] == ["r0"]
    fleet.members["r0"].stopping = True
    assert config_roles(fleet.view("r1")) == Roles(True, True)
    assert config_roles(fleet.view("r6")) == Roles(True, False)


def test_a_broken_state_of_a_peer_changes_nothing():
    fleet = Fleet(2).start()
    fleet.publish("a")
    assert fleet.clock.run(IN_FORCE_S, lambda: fleet.all_at(1))
    whole = pack_document(fleet.followers["r1"].fold.snapshot("r1"))
    for data in (b"", b"junk", whole[:-9], pack_document([]), pack_document("x")):
        fleet.followers["r0"].received("r1", ConfigState(9, 9, data))
    assert fleet.followers["r0"].revision == 1


def test_a_fault_in_the_router_does_not_end_the_reading():
    """The router fails on one configuration, say by a fault in some part. The next
    configuration still comes into force, since the follower reads on.
    """
    fleet = Fleet(1).start()
    take = fleet.followers["r0"]._on_config

    def fail_once(config):
        take(config)
        if config.revision == 1:
            raise RuntimeError("some part failed")

    fleet.followers["r0"]._on_config = fail_once
    fleet.publish("a")
    with pytest.raises(RuntimeError):
        fleet.clock.run(IN_FORCE_S)
    fleet.publish("b")
    fleet.clock.run(IN_FORCE_S)
    assert fleet.given["r0"] == [1, 2]


def test_roles_follow_from_the_real_view():
    """A published configuration took 8 s to come into force instead of a second.

    The view gave plain hosts where the roles took them out of pairs; "r1" fell
    apart into "r" and "1", no router was a reader, and only the slow polls were left.
    """
    live = {f"r{n}": LiveMember(1, f"z{n % 2}") for n in range(6)}
    own = [PeerId(host, 1) for host in live]
    roles = [config_roles(FleetView(one, live, frozenset(live))) for one in own]
    assert sum(role.reader for role in roles) in (4, 5)
    assert sum(role.writer for role in roles) == 1
