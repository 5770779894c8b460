"""Propagation through a simulated fleet of the fact that start times are stated."""

from dataclasses import replace

import pytest
from engine_stubs import endpoint

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.daemon.start_times_watch import StartTimesWatch
from tests.test_fleet_exchange import RouterStub, fleet

ENTRY = replace(endpoint("e0"), version="v1")


class Host:
    """Endpoint list and watch of one router, which counts the messages that it gets."""

    def __init__(self, router):
        self.listed, self.changes, self.received = EndpointList(), [], 0
        list(self.listed.put(ENTRY))
        self.watch = StartTimesWatch(
            self.listed, router, router.exchange, self.changes.extend
        )
        router.on_start_times_report = self.receive
        self.watch.start()

    def receive(self, report):
        self.received += 1
        self.watch.receive(report)

    @property
    def version(self):
        return self.listed.version_of(ENTRY)


@pytest.mark.parametrize(("size", "zones"), [(9, 3), (60, 4)])
def test_stated_start_times_reach_all_hosts_and_late_starters(monkeypatch, size, zones):
    """Hosts without such an answer went on with streams at any start."""
    network, routers = fleet(monkeypatch, size, zones, loss=0.2)
    hosts = [Host(router) for router in routers]
    network.run(8)
    assert {host.version for host in hosts} == {"v1"}
    hosts[0].watch.on_answer(ENTRY.service)
    network.run(8)
    assert {host.version for host in hosts} == {""}
    assert {len(host.changes) for host in hosts} == {1}
    routers[1].stop()
    late = RouterStub(network, 1, "z1", [routers[0].address], boot=2)
    started = Host(late)
    late.exchange.start()
    network.run(8)
    assert started.version == ""


@pytest.mark.parametrize("stated", ["nowhere", "in an entry"])
def test_nothing_is_sent_where_no_start_time_is_stated_or_all_read_one(
    monkeypatch, stated
):
    network, routers = fleet(monkeypatch, 9, 3)
    hosts = [Host(router) for router in routers]
    network.run(8)
    if stated == "in an entry":
        list(hosts[0].listed.put(replace(endpoint("e1", born=5), version="v1")))
        hosts[0].watch.on_answer(ENTRY.service)
    network.run(8)
    assert not sum(host.received for host in hosts)
