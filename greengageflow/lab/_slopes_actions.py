"""Cost of protected actions: entry router and log writer with an in-memory log."""

from collections import Counter
from collections.abc import Iterable
from hashlib import sha256

from greengageflow.core.action_entry import ActionEntry
from greengageflow.core.action_writer import ActionWriter
from greengageflow.core.actions import ActionFold, Intent, Outcome, partition_of
from greengageflow.core.effects import AppendRecords, Effect, MayRun, ReadRecords, Send
from greengageflow.core.log_records import Appended, LogRecord, Records
from greengageflow.errors import Ran
from greengageflow.lab._slopes_world import CostMeter, Experiment, measure_memory, peer
from greengageflow.net.wire import decode

_BODY = b"x" * 200
_RUN_S = 20
_STEP_S = 0.05


class ActionWorld:
    """One entry router and one writer, with a log that responds immediately."""

    def __init__(self) -> None:
        self.now = 100.0
        self.entry_peer, self.writer_peer = peer(0), peer(1)
        self.entry_cost, self.writer_cost = (
            CostMeter(self.entry_peer),
            CostMeter(self.writer_peer),
        )
        self.writer = ActionWriter()
        self.entry = ActionEntry(
            self.entry_peer, lambda _stream: self.writer_peer.host, lambda _holder: True
        )
        self.log: dict[str, list[LogRecord]] = {}
        self.appends: Counter[str] = Counter()
        self.runnable: list[str] = []
        self._action_count = 0

    def begin_action(self) -> None:
        """Begin a protected action."""
        self._action_count += 1
        key = f"account{self._action_count % 200:03d}\norder-{self._action_count:08d}"
        digest = sha256(key.encode()).hexdigest()
        deadline = self.now + 60.0
        self._handle_entry_effects(
            self.entry_cost.run(
                lambda: list(
                    self.entry.begin(
                        self.now, f"q{self._action_count}", key, digest, deadline
                    )
                )
            )
        )

    def step(self) -> None:
        """Advance by one tick and complete the requests that were allowed to run."""
        self.now += _STEP_S
        ready, self.runnable = self.runnable, []
        for request in ready:
            self._finish_request(request)
        self._handle_writer_effects(
            self.writer_cost.run(lambda: list(self.writer.on_tick(self.now)))
        )

    def _finish_request(self, request: str) -> None:
        entry, cost = self.entry, self.entry_cost
        cost.run(lambda: entry.begin_send(self.now, request))
        effects = cost.run(
            lambda: list(
                entry.on_ended(self.now, request, Ran.YES, status=200, body=_BODY)
            )
        )
        self._handle_entry_effects(effects)

    def _handle_entry_effects(self, effects: Iterable[Effect]) -> None:
        effects = list(effects)
        self.runnable += [
            effect.request for effect in effects if isinstance(effect, MayRun)
        ]
        for _, data in self.entry_cost.send(effects):
            self.writer_cost.bytes_in += len(data)
            self._handle_writer_effects(
                self.writer_cost.run(
                    lambda data=data: list(self.writer.receive(self.now, *decode(data)))
                )
            )

    def _handle_writer_effects(self, effects: Iterable[Effect]) -> None:
        effects = list(effects)
        for _, data in self.writer_cost.send(effects):
            self.entry_cost.bytes_in += len(data)
            self._deliver_to_entry(data)
        for effect in effects:
            match effect:
                case AppendRecords() | ReadRecords():
                    self._handle_writer_effects(
                        self.writer_cost.run(lambda e=effect: list(self._call_log(e)))
                    )
                case Send():
                    pass

    def _deliver_to_entry(self, data: bytes) -> None:
        sender, message = decode(data)
        if hasattr(message, "verdict"):
            verdict = lambda: list(  # noqa: E731
                self.entry.on_verdict(self.now, sender, message)
            )
            self._handle_entry_effects(self.entry_cost.run(verdict))
        else:
            self.entry_cost.run(lambda: self.entry.on_stored(message))

    def _call_log(self, effect: AppendRecords | ReadRecords) -> Iterable[Effect]:
        log = self.log.setdefault(effect.stream, [])
        if isinstance(effect, ReadRecords):
            rows = tuple(log[effect.from_offset :])
            result = Records(rows, 0, len(log))
            return self.writer.on_read(self.now, effect.stream, result)
        first = len(log)
        self.appends[effect.stream] += 1
        log += [
            LogRecord(first + n, self.now, row) for n, row in enumerate(effect.records)
        ]
        result = Appended(first, len(effect.records))
        return self.writer.on_append(self.now, effect.stream, result)


def actions_rate(rate: int) -> dict[str, float]:
    """Run protected actions at a rate per second, spread over all streams."""
    world = ActionWorld()
    due_actions = 0.0
    for _ in range(int(_RUN_S / _STEP_S)):
        due_actions += rate * _STEP_S
        while due_actions >= 1:
            due_actions -= 1
            world.begin_action()
        world.step()
    entry, writer = world.entry_cost.outcomes, world.writer_cost.outcomes
    assert world.entry.unreported < rate
    return {
        "entry_cpu_us": entry["cpu_us"] / _RUN_S,
        "entry_bytes_out": entry["bytes_out"] / _RUN_S,
        "entry_bytes_in": entry["bytes_in"] / _RUN_S,
        "writer_cpu_us": writer["cpu_us"] / _RUN_S,
        "writer_bytes_out": writer["bytes_out"] / _RUN_S,
        "writer_bytes_in": writer["bytes_in"] / _RUN_S,
        "appends": sum(world.appends.values()) / _RUN_S,
    }


def actions_memory(keys: int) -> dict[str, float]:
    """Measure the memory of one stream's idempotency keys, with short answers."""

    def make() -> ActionFold:
        fold = ActionFold(600.0)
        for number in range(keys):
            key = f"account{number % 200:03d}\norder-{number:08d}"
            nonce = f"r000:1764700000:{number}"
            digest = sha256(key.encode()).hexdigest()
            fold.apply(1.0, Intent(key, nonce, digest, "r000:1764700000"))
            body = bytes(bytearray(_BODY))
            fold.apply(1.0, Outcome(key, nonce, "yes", 200, "text/plain", body))
        assert partition_of(key)
        return fold

    return {"memory_bytes": measure_memory(make)[0]}


def experiments() -> tuple[Experiment, ...]:
    """Return the experiments of this module."""
    return (
        Experiment("actions", "actions a second", (25, 50, 100, 200), actions_rate),
        Experiment("actions", "keys", (500, 1000, 2000, 4000), actions_memory),
    )
