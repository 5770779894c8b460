"""Propagation of endpoints' leaving notices through a simulated fleet."""

import pytest
from engine_stubs import endpoint

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.daemon.leaving_watch import LeavingWatch
from tests.test_fleet_exchange import RouterStub, fleet


class Host:
    """Endpoint list and leaving watch of one router."""

    def __init__(self, router):
        self.listed, self.lines = EndpointList(), []
        list(self.listed.put(endpoint("e0")))
        self.watch = LeavingWatch(
            self.listed,
            router,
            router.exchange,
            lambda *line: self.lines.append(line),
        )
        router.on_leaving_report = lambda report: self.watch.receive(report.endpoints)
        self.watch.start()


@pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])
def test_leaving_notice_reaches_all_hosts_and_late_starters(monkeypatch, size, zones):
    """A fifth of all datagrams is lost, and the list has the endpoint as ready."""
    network, routers = fleet(monkeypatch, size, zones, loss=0.2)
    hosts = [Host(router) for router in routers]
    network.run(8)
    for _ in range(3):
        hosts[0].watch.on_answer(endpoint("e0"))
    network.run(3)
    assert [host.lines for host in hosts] == [
        [("e0", "answer")],
        *[[("e0", "peer")]] * (size - 1),
    ]
    assert not any(host.listed.may_use("e0") for host in hosts)
    routers[1].stop()
    late = RouterStub(network, 1, "z1", [routers[0].address], boot=2)
    started = Host(late)
    late.exchange.start()
    network.run(5)
    assert not started.listed.may_use("e0")
