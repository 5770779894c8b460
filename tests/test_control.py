from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

from greengageflow.core.catalog import FleetConfig
from greengageflow.core.messages import AccountService, FleetTotals, PeerId
from greengageflow.daemon.control import Control

OWN = PeerId("r0", 1)


def members(size):
    return {
        f"r{n}": SimpleNamespace(peer=PeerId(f"r{n}", 1), zone="z1", stopping=False)
        for n in range(size)
    }


def control(size=1):
    membership = Mock(members=members(size), view_version=1, revision=0, confirmed=True)
    roster = Mock(hosts=frozenset(members(size)))
    return Control(
        OWN,
        Mock(),
        Mock(),
        Mock(),
        membership,
        roster,
        on_config_message=Mock(),
        on_newer_revision=Mock(),
    )


def test_fleet_totals_reach_the_ledger():
    """Every router shared by its own counters only, so fleet-wide shares were uneven.

    Totals from a collector were passed to the ledger without the time; each message
    raised an exception, and owners never received the fleet's service totals.
    """
    router = control()
    row = AccountService("acme", 500.0)
    router.receive(PeerId("r1", 1), FleetTotals((row,), 1))
    assert router.ledger.totals == {"acme": row}


def test_share_report_interval_grows_with_fleet_size():
    """Share reports as frequent as in a small fleet would fill a large one's links."""
    router = control(360)
    timers = router._timers
    cfg = FleetConfig(revision=1)
    router.on_config(cfg)
    router.refresh_view()
    router.on_config(replace(cfg, revision=2))
    intervals = [call.args[0] for call in timers.every.call_args_list]
    assert intervals == [0.5, 2.0]
    assert timers.every.return_value.cancel.call_count == 1
