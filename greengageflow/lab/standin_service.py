"""Stand-in for a plain service whose calls have side effects."""

from dataclasses import asdict, dataclass
from hashlib import sha256
from time import time

from greengageflow.lab._standin_http import Call, Reply, StandIn
from greengageflow.lab.poison import crash_if_poison

BY_KEY = "by-key"


@dataclass(frozen=True, slots=True)
class Effect:
    """Record of an executed call; ``time`` is in Unix seconds."""

    number: int
    method: str
    path: str
    body_sha256: str
    request_id: str | None
    key: str | None
    time: float


class ServiceStandIn(StandIn):
    """Service that records every effect, without deduplicating idempotency keys.

    Example:
        greengage-standin service --port 7300 --latency_s 0.05

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        name: Name of the replica, included in each response.
        latency_s: Delay between the effect and the response, in seconds.
        poison: Crash at the start of a call whose body contains this text; empty for
            never.
    """

    control_paths = frozenset({"/effects"})

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        name: str = "service",
        latency_s: float = 0.0,
        poison: str = "",
    ) -> None:
        super().__init__(host, port)
        self._name = str(name)
        self._latency_s = latency_s
        self._poison = poison.encode()
        self._effects: list[Effect] = []

    def operation(self, call: Call) -> str:
        """Return ``ask`` for a lookup by key, else the method in lower case."""
        return "ask" if call.parts[:2] == ["effects", BY_KEY] else call.method.lower()

    def answer(self, call: Call) -> Reply | None:
        """Execute a call, or report the recorded effects."""
        match call.parts:
            case ["effects"]:
                return Reply(
                    200, {"effects": [asdict(effect) for effect in self._effects]}
                )
            case ["effects", "by-key", key]:
                return self._find_effect(key)
        crash_if_poison(self._poison, call.data)
        effect = self._execute(call)
        reply = Reply(
            200,
            {
                "service": self._name,
                "request_id": effect.request_id,
                "effect": effect.number,
                "path": effect.path,
                "key": effect.key,
            },
            headers={"X-Request-Id": effect.request_id or ""},
        )
        if self._latency_s <= 0:
            return reply
        self.timers.after(self._latency_s, lambda: self.reply(call, reply))
        return None

    def _execute(self, call: Call) -> Effect:
        effect = Effect(
            number=len(self._effects),
            method=call.method,
            path=call.path,
            body_sha256=sha256(call.data).hexdigest(),
            request_id=call.header("X-Request-Id"),
            key=call.header("Idempotency-Key"),
            time=time(),
        )
        self._effects.append(effect)
        return effect

    def _find_effect(self, key: str) -> Reply:
        for effect in self._effects:
            if effect.key == key:
                return Reply(200, asdict(effect))
        return Reply(404, {"error": "no effect with this key"})
