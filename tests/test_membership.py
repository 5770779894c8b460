import pytest
from fleet import Fleet

from greengageflow.core.effects import Send
from greengageflow.core.membership import Membership
from greengageflow.core.messages import Member, PeerId, Ping, View


def settled_fleet(size=9, **options):
    fleet = Fleet(size, **options)
    assert fleet.run_until(fleet.views_agree)
    fleet.run(5)
    return fleet


def view_of(fleet, name):
    return set(fleet.core(name).members)


def member(host, incarnation=0, status="alive", *, boot=1):
    return Member(host, boot, incarnation, status, "127.0.0.1", 1, "z1")


def lone_core(boot=1, **options):
    return Membership(member("r1", boot=boot), seed=1, **options)


def introduce(core, *members):
    list(core.receive(0.0, PeerId("x", 1), Ping(1, 0, 0, members)))


def tick(core, start, end):
    while start < end:
        list(core.on_tick(start))
        start += core.tick_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_routers_detect_a_killed_router_and_its_restart(seed):
    """A tenth of all messages are lost and a tenth duplicated. A killed router is
    dropped from all views. After a restart with a higher boot number and no state, all
    views have the new instance.
    """
    fleet = settled_fleet(seed=seed, loss=0.1, duplication=0.1)
    fleet.kill("r5")
    assert fleet.run_until(fleet.views_agree)
    fleet.start("r5", boot=2)
    assert fleet.run_until(fleet.views_agree)
    assert {r.core.members["r5"].peer.boot for r in fleet.routers.values()} == {2}


def test_message_loss_drops_no_live_router():
    """A fifth of all messages are lost. Routers are suspected, but refute it in
    time, so no live router is dropped from any view.
    """
    fleet = settled_fleet(loss=0.2)
    view_sizes = []
    fleet.run_until(
        lambda: view_sizes.append(
            min(len(r.core.members) for r in fleet.routers.values())
        ),
        300,
    )
    assert min(view_sizes) == 9


def test_a_healed_partition_rejoins():
    """A partition lasts until each side has declared the other dead, then heals.
    Dead members are still probed periodically, so they learn of their death and refute
    it. No view loses the members of its own side meanwhile.
    """
    fleet = settled_fleet()
    half = {"r1", "r2", "r3", "r4"}
    fleet.is_cut = lambda a, b: (a in half) != (b in half)
    assert fleet.run_until(
        lambda: view_of(fleet, "r1") == half and len(view_of(fleet, "r9")) == 5
    )
    fleet.run(100)
    fleet.is_cut = lambda a, b: False
    view_sizes = []

    def rejoined():
        view_sizes.append(min(len(r.core.members) for r in fleet.routers.values()))
        return fleet.views_agree()

    assert fleet.run_until(rejoined)
    assert min(view_sizes) >= 4


def test_a_reported_death_is_treated_as_a_suspicion():
    """After a partition heals, a router of the other side sends its view, in which
    all members on this side are dead. Accepting it would move every endpoint to
    another owner, and back when the refutations arrive.
    """
    core = lone_core()
    introduce(core, member("r2"), member("r3"))
    list(core.receive(0.1, PeerId("r3", 1), View((member("r2", 0, "dead"),))))
    list(core.on_tick(0.2))
    assert "r2" in core.members
    introduce(core, member("r2", 1))
    tick(core, 0.3, 3.4)
    assert "r2" in core.members


def test_a_resumed_router_suspects_nobody_and_rejoins():
    """A router is frozen until the others have declared it dead, then resumes. Its
    own probe and suspicions look overdue. It must keep all others in its view, learn
    of its death, refute it and rejoin.
    """
    fleet = settled_fleet()
    fleet.routers["r3"].paused_until = fleet.now + 60
    fleet.run(30)
    assert "r3" not in view_of(fleet, "r1")
    view_sizes = []

    def rejoined_with_full_view():
        view_sizes.append(len(view_of(fleet, "r3")))
        return "r3" in view_of(fleet, "r1") and fleet.views_agree()

    assert fleet.run_until(rejoined_with_full_view)
    assert min(view_sizes) == 9
    assert fleet.core("r3").pauses == 1


def test_a_stopping_router_stays_live_and_a_leaving_one_is_removed_at_once():
    fleet = settled_fleet()
    fleet.core("r4").set_stopping()
    assert fleet.run_until(
        lambda: all(r.core.members["r4"].stopping for r in fleet.routers.values())
    )
    router = fleet.routers["r4"]
    fleet.run_effects(router, router.core.leave(fleet.now))
    fleet.kill("r4")
    assert fleet.run_until(fleet.views_agree, limit_s=2.0)


def test_a_fleet_that_restarts_at_once_converges():
    fleet = settled_fleet()
    for name in sorted(fleet.routers):
        fleet.kill(name)
        fleet.start(name, boot=2)
    assert fleet.run_until(fleet.views_agree)
    assert {m.peer.boot for m in fleet.core("r1").members.values()} == {2}


def test_a_newer_configuration_at_a_peer_is_detected():
    fleet = settled_fleet()
    fleet.core("r7").revision = 12
    assert fleet.run_until(lambda: fleet.core("r1").newer_revision_host())
    fleet.core("r1").revision = 12
    assert fleet.core("r1").newer_revision_host() is None


def test_a_pause_of_this_process_causes_no_suspicion():
    """A router is frozen right after it probed r2 and learned that r3 is suspected.
    When it resumes, the acks are unread in its sockets. It must not suspect r2, and
    must restart the suspicion timeout of r3.
    """
    core = lone_core(suspicion_s=3.0)
    introduce(core, member("r2"))
    assert {e.to for e in core.on_tick(0.1) if isinstance(e, Send)} == {"r2"}
    introduce(core, member("r3", 0, "suspect"))
    sent = [e.message for e in core.on_tick(60.0) if isinstance(e, Send)]
    updates = [m for message in sent for m in getattr(message, "updates", ())]
    assert {m.host for m in updates if m.status in ("suspect", "dead")} <= {"r3"}
    assert set(core.members) == {"r1", "r2", "r3"}
    tick(core, 60.1, 65.0)
    assert "r3" not in core.members


def test_an_outdated_instance_is_ignored_and_newer_boot_is_detected():
    core = lone_core(boot=5)
    introduce(core, member("r2", boot=7))
    assert not list(core.receive(0.1, PeerId("r2", 6), Ping(2, 0, 0)))
    list(core.receive(0.2, PeerId("r2", 7), Ping(3, 0, 0, (member("r1", boot=6),))))
    assert core.newer_boot == 6


def test_updates_with_wrong_types_are_ignored():
    core = lone_core()
    invalid = Member("r2", "x", None, "alive", "127.0.0.1", 2, "z1")
    assert not list(core.receive(0.0, PeerId("r2", 7), Ping(1, 0, 0, (invalid,))))
    assert set(core.members) == {"r1"}
