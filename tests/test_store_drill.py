"""Restores of the store from a copy, with real routers and replicas."""

import pytest

from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    READY_PORT,
    SAFE,
    PlatformLab,
    PlatformShape,
    configuration,
    generation,
)
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.platform.names import LOG_NEWEST, ROUTERS_TOPIC
from tests.support import call, wait_for

SPARE = "key-spare"
ERA = f'"{DecisionEvent.STORE_ERA.number}"'


@pytest.fixture
def lab():
    with PlatformLab(PlatformShape(routers=3, plain=2, engines=2)) as lab:
        yield lab


def restore_store(lab, away_s=0.5):
    lab.control(lab.store, "POST", "/restore", {"away_s": away_s})


def copy_store(lab):
    lab.control(lab.store, "POST", "/copy")


def with_key(version, key):
    return configuration(version, tenants=[{"name": "tenant-1", "api_keys": [key]}])


def wait_key(lab, key, router):
    wait_for(lambda: lab.ask(SAFE, router, key=key).status == 200, f"{key} is good")


def wait_for_era(lab, times=1):
    wait_for(
        lambda: all(
            process.stderr.count(ERA) == times for process in lab.routers.values()
        ),
        "all hosts logged the new era",
    )


def test_revoked_key_stays_revoked_after_a_restore_and_later_changes_apply(lab):
    """The copy still has the revoked key, and the next configuration gets an offset
    that was used before."""
    copy_store(lab)
    lab.publish(with_key(5, SPARE))
    for router in lab.routers:
        wait_key(lab, SPARE, router)
        assert lab.ask(SAFE, router).status in (401, 503)
    restore_store(lab)
    wait_for_era(lab)
    for router in lab.routers:
        wait_key(lab, SPARE, router)
        assert lab.ask(SAFE, router).status in (401, 503)
    lab.publish(with_key(5, SPARE))
    lab.publish(with_key(6, KEY))
    for router in lab.routers:
        wait_key(lab, KEY, router)
        assert lab.ask(SAFE, router, key=SPARE).status in (401, 503)


def test_requests_are_served_during_two_restores_in_a_row(lab):
    copy_store(lab)
    for times in (1, 2):
        restore_store(lab)
        for number in range(6):
            router = f"r{number % 3}"
            assert lab.ask(SAFE, router).status == 200
            headers = generation(4, ("p", 50))
            assert lab.ask(CHAT, router, headers=headers).status == 200
        wait_for_era(lab, times)
    for name in lab.routers:
        address = lab.settings[name]["ip"], READY_PORT
        page = call(address, "GET", "/metrics").data.decode()
        assert "greengage_store_era 3.0" in page


def registered_names(lab):
    path = f"{LOG_NEWEST}?topic={ROUTERS_TOPIC}&part=0"
    return {item["key"] for item in call(lab.store.address, "GET", path).json["items"]}


def test_routers_register_again_after_a_restore(lab):
    """The settings name few hosts, so that a new host needs addresses in the store."""
    copy_store(lab)
    wait_for(lambda: registered_names(lab), "addresses")
    restore_store(lab)
    wait_for_era(lab)
    wait_for(lambda: registered_names(lab), "addresses registered again")
