"""Cost of the link between routers: real ZeroMQ on loopback."""

import gc
import os
from functools import partial
from time import monotonic, process_time

from circuits import Component
from circuits.core.pollers import EPoll

from greengageflow.core.messages import Demand, PeerId
from greengageflow.lab._slopes_world import Experiment, peer
from greengageflow.net.peers import PeerLink
from greengageflow.net.timers import Timers

_IP = "127.0.0.1"
_RUN_S = 3.0
_SETTLE_S = 0.4
_TICK_S = 0.005
_CONNECT_INTERVAL_S = 0.02
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class LinkWorld:
    """Links on one event loop; the first one sends to all others.

    Args:
        receivers: Number of receiving links.
    """

    def __init__(self, receivers: int) -> None:
        self.app = Component()
        EPoll().register(self.app)
        self.timers = Timers().register(self.app)
        self.received = 0
        self.links = [self._link(number) for number in range(1 + receivers)]
        for number, link in enumerate(self.links):
            self.links[0].set_address(peer(number).host, _IP, link.port)

    def _link(self, number: int) -> PeerLink:
        link = PeerLink(
            peer(number),
            _IP,
            0,
            self._on_message,
            channel=f"peers{number}",
            idle_s=600.0,
        )
        return link.register(self.app)

    def _on_message(self, _sender: PeerId, _message: object) -> None:
        self.received += 1

    def send(self, number: int) -> None:
        """Send a demand to a receiver, chosen round-robin by ``number``."""
        to = 1 + number % (len(self.links) - 1)
        message = Demand(number, "account001", "m0", 16, 480.0)
        self.links[0].send(peer(to).host, message)

    def run(self, seconds: float) -> None:
        """Run the event loop for a duration, then close all sockets."""
        self.timers.after(seconds, self.app.stop)
        try:
            self.app.run()
        finally:
            for link in self.links:
                link.close()


class _Sender:
    """Sends at a constant rate and measures processor time after a settling period."""

    def __init__(self, world: LinkWorld, rate: int) -> None:
        self.world = world
        self.rate = rate
        self.sent = 0
        self.cpu_s = 0.0
        self._start = 0.0
        world.timers.after(_SETTLE_S, self._start_measuring)
        world.timers.after(_SETTLE_S + _RUN_S, self._stop_measuring)

    def _start_measuring(self) -> None:
        self._start, self.cpu_s = monotonic(), process_time()
        self._timer = self.world.timers.every(_TICK_S, self._on_tick)

    def _on_tick(self) -> None:
        while self.sent < self.rate * (monotonic() - self._start):
            self.world.send(self.sent)
            self.sent += 1

    def _stop_measuring(self) -> None:
        self.cpu_s = process_time() - self.cpu_s
        self._timer.cancel()


def link_messages(rate: int) -> dict[str, float]:
    """Measure processor time per second, of both ends, at a message rate."""
    world = LinkWorld(8)
    sender = _Sender(world, rate)
    world.run(2 * _SETTLE_S + _RUN_S)
    assert world.received == sender.sent, (world.received, sender.sent)
    return {"cpu_us": 1e6 * sender.cpu_s / _RUN_S}


def link_connections(connections: int) -> dict[str, float]:
    """Measure resident memory of sender and receivers by open connections."""
    gc.collect()
    world = LinkWorld(connections)
    sizes: list[int] = []
    world.timers.after(_SETTLE_S, lambda: sizes.append(_resident_bytes()))
    for number in range(connections):
        # Connections are staggered because a message waits at most 1 s for its
        # connection to open.
        when = 2 * _SETTLE_S + number * _CONNECT_INTERVAL_S
        world.timers.after(when, partial(world.send, number))
    end = 4 * _SETTLE_S + connections * _CONNECT_INTERVAL_S
    world.timers.after(end, lambda: sizes.append(_resident_bytes()))
    world.run(end + _SETTLE_S)
    assert world.received == connections, world.received
    return {"memory_bytes": sizes[1] - sizes[0]}


def _resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("link", "messages a second", (100, 200, 400, 800), link_messages),
        Experiment("link", "connections", (15, 30, 60, 120), link_connections),
    )
