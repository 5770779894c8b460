"""Proof of when a message was sent, by the receiver's own clock.

When a report arrives says little about its age: the network may delay it, and a process
that was suspended reads it late. So each router stamps its reports with a tick of its
clock, and with an echo: the newest tick that it got from the receiver, plus the time
since it got it. A report was sent no earlier than its echo says.
"""

from collections.abc import Callable
from dataclasses import dataclass

TICKS_PER_S = 1000
TICK_MODULUS = 1 << 32

MAX_DRIFT_TICKS = 10
"""Ticks by which an echo may be ahead, as clocks differ slightly in rate."""

NO_ECHO = 0

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Stamp:
    """Stamp of one message to one receiver, in ticks.

    Args:
        tick: Time of sending, by the sender's clock.
        echo: Lower bound of that time, by the receiver's clock; ``NO_ECHO`` if the
            sender has no tick of the receiver.
    """

    tick: int
    echo: int


@dataclass(frozen=True, slots=True)
class ClockTick:
    """Message that asks for echoes, for routers that may not know stamps.

    Args:
        ip: IP address of the sender.
        port: UDP port of the sender.
        tick: Time of sending, by the sender's clock, in ticks.
    """

    ip: str
    port: int
    tick: int


class TickEcho:
    """Stamps messages to other routers, and reads the stamps of theirs.

    Args:
        clock: Returns the time in seconds, by a clock that includes suspension.
        offset: Added to all ticks. It differs between starts of a process, so that
            echoes for an earlier one prove nothing.
    """

    def __init__(self, clock: Callable[[], float], offset: int) -> None:
        self._clock = clock
        self._offset = offset
        self._leads: dict[Address, int] = {}

    @property
    def tick(self) -> int:
        """The current tick of this router's clock."""
        return (int(self._clock() * TICKS_PER_S) + self._offset) % TICK_MODULUS

    def stamp(self, receiver: Address) -> Stamp:
        """Return the stamp of a message that is sent now."""
        tick = self.tick
        lead = self._leads.get(receiver)
        echo = NO_ECHO if lead is None else (tick + lead) % TICK_MODULUS
        return Stamp(tick, echo)

    def receive(self, sender: Address, tick: int) -> None:
        """Record a tick of another router."""
        self._leads[sender] = (tick - self.tick) % TICK_MODULUS

    def has_tick_of(self, address: Address) -> bool:
        """Return whether another router has sent a tick."""
        return address in self._leads

    def forget(self, address: Address) -> None:
        """Forget the tick of a router."""
        self._leads.pop(address, None)

    def sent_after(self, echo: int) -> float:
        """Return the latest known time before the sending of a message with ``echo``.

        Returns:
            Time by this router's clock in seconds; -inf if nothing is known.
        """
        if echo == NO_ECHO:
            return float("-inf")
        age = (self.tick - echo) % TICK_MODULUS
        if age >= TICK_MODULUS - MAX_DRIFT_TICKS:
            age = 0
        return self._clock() - age / TICKS_PER_S
