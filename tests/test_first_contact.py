"""A restarted router that owns endpoints before it has found the other routers.

It sees itself alone until then, and so takes itself for the owner of every endpoint.
"""

import pytest
from test_late_registration import HOSTS, SETTLE_S, STEP_S, ReportingNet

from greengageflow.core.placement import LiveMember

DEADLINE_S = 60.0


def boot_alone(net, host, roster):
    """Start a router that sees no other one; the others don't see it either."""
    node = net.boot(host)
    net.sides[host] = 1
    node.on_view({host: LiveMember(node.peer.boot, node.zone)}, roster)
    node.on_config(net.cfg)
    return node


def keep_busy(net, seconds):
    """Run short requests with a backlog at each router, and check their number."""
    for _ in range(round(seconds / STEP_S)):
        for host, node in net.nodes.items():
            for _ in range(8 - node.entry.waiting):
                net.submit(host, "a", deadline_s=DEADLINE_S)
        net.run_for(STEP_S, run_s=2 * STEP_S)


def refresh(net, hosts):
    """Let ``hosts`` see all routers."""
    live = {
        host: LiveMember(node.peer.boot, node.zone) for host, node in net.nodes.items()
    }
    for host in hosts:
        net.nodes[host].on_view(live, net.roster)


@pytest.mark.parametrize("is_listed", [False, True])
@pytest.mark.parametrize("alone_s", [0.25, 0.5, 0.75])
@pytest.mark.parametrize("report_lag_s", [0.0, 0.5, 1.5])
def test_restarted_owner_finds_the_others_after_some_time(
    alone_s, report_lag_s, is_listed
):
    """The settle time counted from the start of the router instead of the moment at
    which others could learn of it. It granted slots while their former owner did so
    too, as soon as a load report showed one between two requests: 6 requests ran in
    4 slots. With the host list read before, its quota is that of a partition."""
    net = ReportingNet(report_lag_s=report_lag_s)
    owner = net.owner
    keep_busy(net, 4.0)
    net.crash(owner)
    net.refresh_views()
    keep_busy(net, 6.0)
    boot_alone(net, owner, net.roster if is_listed else frozenset({owner}))
    keep_busy(net, alone_s)
    net.sides[owner] = 0
    refresh(net, [owner])
    keep_busy(net, 0.75 * SETTLE_S)
    refresh(net, HOSTS)
    keep_busy(net, 6.0)
    granted = net.nodes[owner].owner.granted
    assert granted, "the restarted owner grants slots in the end"
