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
        self.now, self.due, self.puts, self.looks, self.found = 0.0, [], 0, 0, []
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
        self.due.append((self.now + delay_s, call))

    def fetch(self, request, on_done):
        if self.down:
            on_done(Failure(FailureKind.CONNECT, False, "refused"))
        elif request.method == "POST":
            self.puts += 1
            on_done(Response(200, (), b"{}"))
        else:
            self.looks += 1
            value = b64encode(b"127.0.0.2:7000").decode()
            items = [{"key": "r2", "value": value, "offset": 0}]
            doc = {"items": items, "end": 1}
            on_done(Response(200, (), json.dumps(doc).encode()))

    def run(self, seconds):
        end = self.now + seconds
        while self.due and min(self.due, key=lambda row: row[0])[0] <= end:
            row = min(self.due, key=lambda row: row[0])
            self.due.remove(row)
            self.now = row[0]
            row[1]()
        self.now = end


def test_only_few_routers_of_a_fleet_call_the_store_for_it():
    """Otherwise the start of hundreds of hosts would bring all their calls at once."""
    member, contact = World(), World(contact=True)
    for world in (member, contact):
        world.run(60)
    assert (member.puts, member.looks) == (0, 0)
    assert (contact.puts, contact.looks) == (1, 0)


def test_who_becomes_a_contact_is_found_from_then_on():
    world = World()
    world.run(10)
    world.down = world.contact = True
    world.run(5)
    assert world.puts == 0
    world.down = False
    world.run(5)
    assert world.puts == 1


def test_a_router_that_hears_nobody_looks_there_until_it_does():
    world = World(alone=True, contact=True)
    world.run(FIRST_POLL_DELAY_S + 0.1)
    assert (world.puts, world.looks) == (1, 1)
    assert world.found == [("127.0.0.2", 7000)]
    world.alone = False
    world.run(20)
    assert world.looks == 1
