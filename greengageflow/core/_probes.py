"""Direct and indirect probes of ``membership``."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from random import Random


@dataclass(slots=True)
class Probe:
    """One probe of a neighbour.

    Args:
        host: Host that is probed.
        seq: Sequence number, which the ack repeats.
        sent_at: Monotonic time at which it was sent, in seconds.
        indirect_requested: Whether indirect probes have been requested.
    """

    host: str
    seq: int
    sent_at: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe, sent on behalf of another router.

    Args:
        requester: Host that requested it.
        seq: Sequence number of the requesting host's own probe.
        sent_at: Monotonic time at which it was sent, in seconds.
    """

    requester: str
    seq: int
    sent_at: float


class Probes:
    """Numbers probes and matches acks to them.

    Args:
        random: Random number generator that shuffles the neighbours.
        relay_s: Seconds for which the ack of an indirect probe is passed on.

    Attributes:
        current: The probe that waits for its ack, if any.
    """

    def __init__(self, random: Random, *, relay_s: float) -> None:
        self._random = random
        self._relay_s = relay_s
        self._seqs = count(1)
        self._round: list[str] = []
        self._relays: dict[int, Relay] = {}
        self.current: Probe | None = None

    def next_seq(self) -> int:
        """Return an unused sequence number."""
        return next(self._seqs)

    def begin(self, neighbours: Sequence[str], now: float) -> Probe | None:
        """Start a probe of the next neighbour; return None if there is none.

        Each round probes every neighbour once, in a newly shuffled order.
        """
        present = set(neighbours)
        self._round = [host for host in self._round if host in present]
        if not self._round:
            self._round = list(neighbours)
            self._random.shuffle(self._round)
        if self._round:
            self.current = Probe(self._round.pop(), self.next_seq(), now)
        return self.current

    def end_current(self) -> Probe | None:
        """End the current probe without an ack; return it, or None."""
        probe, self.current = self.current, None
        return probe

    def begin_relay(self, requester: str, seq: int, now: float) -> int:
        """Register an indirect probe and return its sequence number."""
        oldest_valid = now - self._relay_s
        self._relays = {
            n: r for n, r in self._relays.items() if r.sent_at > oldest_valid
        }
        relay_seq = self.next_seq()
        self._relays[relay_seq] = Relay(requester, seq, now)
        return relay_seq

    def on_ack(self, seq: int) -> Relay | None:
        """Handle an ack; return the indirect probe that it belongs to, if any."""
        if self.current is not None and self.current.seq == seq:
            self.current = None
        return self._relays.pop(seq, None)
