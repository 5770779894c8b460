"""Hosts that start during an outage of the store, and its return."""

import pytest

from tests.test_store_view import STEP_S, Host, Store, run


@pytest.fixture
def store():
    store = Store()
    store.config(1)
    store.endpoint("e1")
    store.down = True
    return store


def is_up_to_date(host):
    return host.view.version == 1 and host.endpoints.ids() == {"e1"}


def test_first_answer_ends_the_backoff_of_other_hosts(store):
    """Otherwise each host would serve nobody until its backoff ends, up to a second."""
    hosts = []
    for _ in range(4):
        hosts.append(Host(store))
        run(store, hosts, 0.25)
    run(store, hosts, 4)
    store.down = False
    while not any(map(is_up_to_date, hosts)):
        run(store, hosts, STEP_S)
    run(store, hosts, 3 * STEP_S)
    assert all(map(is_up_to_date, hosts))


def test_host_refused_by_the_store_alone_keeps_its_backoff(store):
    """Its peers report all the time that the store answers them."""
    store.down = False
    hosts = [Host(store, is_reader=True), Host(store)]
    run(store, hosts, 1)
    refused_host = Host(store)
    refused_host.refused = True
    run(store, [*hosts, refused_host], 10)
    assert len(refused_host.paths) <= 2 * (10 + 5)
    refused_host.refused = False
    run(store, [*hosts, refused_host], 1.2)
    assert is_up_to_date(refused_host)
