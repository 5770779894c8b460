"""Stand-in for the platform's rate-limited weight store."""

from hashlib import sha256
from time import monotonic

from greengageflow.lab._standin_http import Call, Reply, StandIn


class WeightsStandIn(StandIn):
    """Weight store that returns the same bytes for the same model and version.

    Example:
        greengage-standin weights --port 7102 --size 1000000

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        size: Size of each response in bytes.
        reads_per_s: Rate limit of reads.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        size: int = 65_536,
        reads_per_s: float = 2.0,
    ) -> None:
        super().__init__(host, port)
        self._size = size
        self._interval_s = 1 / reads_per_s
        self._next_read_at = monotonic()

    def answer(self, call: Call) -> Reply:
        """Respond with the bytes, or with 429 above the rate limit."""
        match call.method, call.parts:
            case "GET", ["weights", model, version]:
                return self._read(f"{model}/{version}")
        return Reply(404, {"error": "no such path"})

    def _read(self, name: str) -> Reply:
        now = monotonic()
        if now < self._next_read_at:
            retry_after = f"{self._next_read_at - now:.3f}"
            return Reply(429, {"error": "too many reads"}, {"Retry-After": retry_after})
        self._next_read_at = now + self._interval_s
        digest = sha256(name.encode()).digest()
        copies = self._size // len(digest) + 1
        return Reply(200, (digest * copies)[: self._size])
