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


def knows(host):
    return host.view.version == 1 and host.endpoints.ids() == {"e1"}


def test_the_first_host_with_an_answer_spares_the_others_their_pause(store):
    """Otherwise each host would serve nobody until its backoff ends, up to a second."""
    hosts = []
    for _ in range(4):
        hosts.append(Host(store))
        run(store, hosts, 0.25)
    run(store, hosts, 4)
    store.down = False
    while not any(map(knows, hosts)):
        run(store, hosts, STEP_S)
    run(store, hosts, 3 * STEP_S)
    assert all(map(knows, hosts))


def test_a_host_that_the_store_turns_away_alone_asks_no_more_often(store):
    """Its peers report all the time that the store answers them."""
    store.down = False
    hosts = [Host(store, reads=True), Host(store)]
    run(store, hosts, 1)
    alone = Host(store)
    alone.refused = True
    run(store, [*hosts, alone], 10)
    assert len(alone.paths) <= 2 * (10 + 5)
    alone.refused = False
    run(store, [*hosts, alone], 1.2)
    assert knows(alone)
