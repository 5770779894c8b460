"""Which routers register in the store, and which look up others there."""

import json
from base64 import b64encode

from greengageflow.daemon.router_registry import FIRST_POLL_DELAY_S, RouterRegistry
from greengageflow.net.http_messages import Failure, FailureKind, Response

OWN = ("127.0.0.1", 7000)


class World:
    """Simulated timer service and store of one registry."""

    def __init__(self, *, alone=False, contact=False):
        self.alone, self.contact, self.down = alone, contact, False
        self.now, self.timers, self.registrations, self.lookups, self.found = (
            0.0,
            [],
            0,
            0,
            [],
        )
        self.registry = RouterRegistry(
            self,
            self,
            ("127.0.0.1", 9),
            "r1",
            OWN,
            is_isolated=lambda: self.alone,
            is_contact=lambda: self.contact,
            on_found=self.found.extend,
        )
        self.registry.start()

    def after(self, delay_s, call):
        self.timers.append((self.now + delay_s, call))

    def fetch(self, request, on_done):
        if self.down:
            on_done(Failure(FailureKind.CONNECT, False, "refused"))
        elif request.method == "POST":
            self.registrations += 1
            on_done(Response(200, (), b"{}"))
        else:
            self.lookups += 1
            value = b64encode(b"127.0.0.2:7000").decode()
            items = [{"key": "r2", "value": value, "offset": 0}]
            doc = {"items": items, "end": 1}
            on_done(Response(200, (), json.dumps(doc).encode()))

    def run(self, seconds):
        end = self.now + seconds
        while self.timers and min(self.timers, key=lambda row: row[0])[0] <= end:
            row = min(self.timers, key=lambda row: row[0])
            self.timers.remove(row)
            self.now = row[0]
            row[1]()
        self.now = end


def test_only_contacts_call_the_store_in_a_connected_fleet():
    """Otherwise the start of hundreds of hosts would bring all their calls at once."""
    member, contact = World(), World(contact=True)
    for world in (member, contact):
        world.run(60)
    assert (member.registrations, member.lookups) == (0, 0)
    assert (contact.registrations, contact.lookups) == (1, 0)


def test_new_contact_registers_with_retries():
    world = World()
    world.run(10)
    world.down = world.contact = True
    world.run(5)
    assert world.registrations == 0
    world.down = False
    world.run(5)
    assert world.registrations == 1


def test_isolated_router_looks_up_peers_until_it_finds_one():
    world = World(alone=True, contact=True)
    world.run(FIRST_POLL_DELAY_S + 0.1)
    assert (world.registrations, world.lookups) == (1, 1)
    assert world.found == [("127.0.0.2", 7000)]
    world.alone = False
    world.run(20)
    assert world.lookups == 1
