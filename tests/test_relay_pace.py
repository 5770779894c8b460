from greengageflow.core.fleet_sums import QUIET_S, relay_turns
from greengageflow.daemon.fleet_exchange import NOTICE_INTERVAL_S


def test_sum_interval_grows_only_in_large_fleets():
    assert [relay_turns(n) for n in (14, 64, 119, 120, 360, 720)] == [2, 2, 2, 3, 8, 8]


def test_one_lost_sum_does_not_trigger_a_takeover():
    """One lost sum must not make members drop the sums of a live relay.

    The next sum arrives two intervals after the last received one. If that had expired
    by then, the second relay would take over, and both would send sums.
    """
    assert 2 * relay_turns(10_000) * NOTICE_INTERVAL_S < QUIET_S
