import pytest
from fleet import Fleet

from greengageflow.core.effects import Send
from greengageflow.core.membership import Membership
from greengageflow.core.messages import Member, PeerId, Ping, View


def settled(size=9, **options):
    fleet = Fleet(size, **options)
    assert fleet.run_until(fleet.agreed)
    fleet.run(5)
    return fleet


def hosts(fleet, name):
    return set(fleet.core(name).members)


def member(host, incarnation=0, status="alive", *, boot=1):
    return Member(host, boot, incarnation, status, "127.0.0.1", 1, "z1")


def lone(boot=1, **options):
    return Membership(member("r1", boot=boot), seed=1, **options)


def meet(core, *members):
    list(core.receive(0.0, PeerId("x", 1), Ping(1, 0, 0, members)))


def tick(core, start, end):
    while start < end:
        list(core.on_tick(start))
        start += core.tick_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_dead_router_is_noticed_by_all_and_its_next_life_too(seed):
    """A tenth of all messages are lost and a tenth duplicated. A killed router is
    dropped from all views. After a restart with a higher boot number and no state, all
    views have the new instance.
    """
    fleet = settled(seed=seed, loss=0.1, copies=0.1)
    fleet.kill("r5")
    assert fleet.run_until(fleet.agreed)
    fleet.start("r5", boot=2)
    assert fleet.run_until(fleet.agreed)
    assert {r.core.members["r5"].peer.boot for r in fleet.routers.values()} == {2}


def test_nobody_is_dropped_while_messages_are_lost():
    """A fifth of all messages are lost. Routers are suspected, but refute it in
    time, so no live router is dropped from any view.
    """
    fleet = settled(loss=0.2)
    fewest = []
    fleet.run_until(
        lambda: fewest.append(min(len(r.core.members) for r in fleet.routers.values())),
        300,
    )
    assert min(fewest) == 9


def test_halves_rejoin_by_themselves():
    """A partition lasts until each side has declared the other dead, then heals.
    Dead members are still probed periodically, so they learn of their death and refute
    it. No view loses the members of its own side meanwhile.
    """
    fleet = settled()
    half = {"r1", "r2", "r3", "r4"}
    fleet.cut = lambda a, b: (a in half) != (b in half)
    assert fleet.run_until(
        lambda: hosts(fleet, "r1") == half and len(hosts(fleet, "r9")) == 5
    )
    fleet.run(100)
    fleet.cut = lambda a, b: False
    fewest = []

    def rejoined():
        fewest.append(min(len(r.core.members) for r in fleet.routers.values()))
        return fleet.agreed()

    assert fleet.run_until(rejoined)
    assert min(fewest) >= 4


def test_a_rumour_of_death_leaves_time_to_refute_it():
    """After a partition heals, a router of the other side sends its view, in which
    all members on this side are dead. Accepting it would move every endpoint to
    another owner, and back when the refutations arrive.
    """
    core = lone()
    meet(core, member("r2"), member("r3"))
    list(core.receive(0.1, PeerId("r3", 1), View((member("r2", 0, "dead"),))))
    list(core.on_tick(0.2))
    assert "r2" in core.members
    meet(core, member("r2", 1))
    tick(core, 0.3, 3.4)
    assert "r2" in core.members


def test_a_woken_router_accuses_nobody_and_comes_back():
    """A router is frozen until the others have declared it dead, then resumes. Its
    own probe and suspicions look overdue. It must keep all others in its view, learn
    of its death, refute it and rejoin.
    """
    fleet = settled()
    fleet.routers["r3"].paused_until = fleet.now + 60
    fleet.run(30)
    assert "r3" not in hosts(fleet, "r1")
    fewest = []

    def back():
        fewest.append(len(hosts(fleet, "r3")))
        return "r3" in hosts(fleet, "r1") and fleet.agreed()

    assert fleet.run_until(back)
    assert min(fewest) == 9
    assert fleet.core("r3").pauses == 1


def test_a_stopping_router_stays_live_and_a_leaving_one_goes_at_once():
    fleet = settled()
    fleet.core("r4").stop()
    assert fleet.run_until(
        lambda: all(r.core.members["r4"].stopping for r in fleet.routers.values())
    )
    router = fleet.routers["r4"]
    fleet.carry_out(router, router.core.leave(fleet.now))
    fleet.kill("r4")
    assert fleet.run_until(fleet.agreed, limit_s=2.0)


def test_a_whole_fleet_that_restarts_at_once_finds_itself():
    fleet = settled()
    for name in sorted(fleet.routers):
        fleet.kill(name)
        fleet.start(name, boot=2)
    assert fleet.run_until(fleet.agreed)
    assert {m.peer.boot for m in fleet.core("r1").members.values()} == {2}


def test_a_newer_configuration_at_a_peer_is_noticed():
    fleet = settled()
    fleet.core("r7").revision = 12
    assert fleet.run_until(lambda: fleet.core("r1").newer_revision_host())
    fleet.core("r1").revision = 12
    assert fleet.core("r1").newer_revision_host() is None


def test_a_pause_of_this_process_is_no_evidence_against_others():
    """A router is frozen right after it probed r2 and learned that r3 is suspected.
    When it resumes, the acks are unread in its sockets. It must not suspect r2, and
    must restart the suspicion timeout of r3.
    """
    core = lone(suspicion_s=3.0)
    meet(core, member("r2"))
    assert {e.to for e in core.on_tick(0.1) if isinstance(e, Send)} == {"r2"}
    meet(core, member("r3", 0, "suspect"))
    sent = [e.message for e in core.on_tick(60.0) if isinstance(e, Send)]
    told = [m for message in sent for m in getattr(message, "updates", ())]
    assert {m.host for m in told if m.status in ("suspect", "dead")} <= {"r3"}
    assert set(core.members) == {"r1", "r2", "r3"}
    tick(core, 60.1, 65.0)
    assert "r3" not in core.members


def test_an_old_life_is_ignored_and_told():
    core = lone(boot=5)
    meet(core, member("r2", boot=7))
    assert not list(core.receive(0.1, PeerId("r2", 6), Ping(2, 0, 0)))
    list(core.receive(0.2, PeerId("r2", 7), Ping(3, 0, 0, (member("r1", boot=6),))))
    assert core.newer_boot == 6


def test_statements_of_wrong_types_are_ignored():
    core = lone()
    wrong = Member("r2", "x", None, "alive", "127.0.0.1", 2, "z1")
    assert not list(core.receive(0.0, PeerId("r2", 7), Ping(1, 0, 0, (wrong,))))
    assert set(core.members) == {"r1"}
