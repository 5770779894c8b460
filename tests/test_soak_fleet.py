"""Faults of the soak fleet affect the links that they name; real processes."""

import re

from greengageflow.lab._processes import call, wait_for
from greengageflow.lab._soak_fleet import SoakFleet
from greengageflow.lab.platform_lab import READY_PORT

LIVE_PEERS = re.compile(r"^greengage_peers_live (\d+)", re.M)


def live_peers(fleet, router):
    """Return the number of live peers of a router."""
    answer = call((fleet.gossip_ip(router), READY_PORT), "GET", "/metrics")
    return int(LIVE_PEERS.search(answer.data.decode())[1])


def test_cut_of_gossip_link_isolates_router_from_its_peers():
    """Routers exchange their own addresses by gossip.

    When one learned the real address of another, its datagrams bypassed the fault
    proxy, so cuts, losses and delays had no effect after the first contact.
    """
    with SoakFleet() as fleet:
        wait_for(lambda: live_peers(fleet, "r1") == 2, "r1 sees both peers")
        with fleet.rule(do="cut", route="gossip:r1"):
            wait_for(lambda: live_peers(fleet, "r1") == 0, "r1 sees no peers")
            assert live_peers(fleet, "r0") == live_peers(fleet, "r2") == 2
        wait_for(lambda: live_peers(fleet, "r1") == 2, "r1 sees both peers again")
