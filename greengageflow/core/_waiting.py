"""The queue of one account for one pool at its entry router."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from greengageflow.core.messages import PeerId

_SAMPLE_LIMIT = 32
_MIN_SAMPLES = 4


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot.

    Args:
        id: Unique id of the request.
        account: Client account that the request is charged to.
        pool: Pool that may serve the request.
        cost: Expected cost, in tokens.
        deadline: Time by which the request must end, on the clock of ``now``.
        affinity: Endpoint that caches the prompt's prefix, or empty.
    """

    id: str
    account: str
    pool: str
    cost: float
    deadline: float
    affinity: str = ""


class DrainRate:
    """Measures how fast requests leave a queue.

    Only measured while the queue is continuously non-empty: a low arrival rate says
    nothing about the service rate.
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=_SAMPLE_LIMIT)

    def restart(self, now: float) -> None:
        """Restart the measurement when the queue becomes non-empty."""
        self._times.clear()
        self._times.append(now)

    def on_start(self, now: float) -> None:
        """Count a request that was started on an endpoint."""
        self._times.append(now)

    def expected_wait_s(self, now: float, ahead: int) -> float | None:
        """Return the expected wait behind ``ahead`` requests; None if unknown.

        The rate is measured up to ``now``, so that a stalled queue raises the wait.
        """
        starts = len(self._times) - 1
        if starts < _MIN_SAMPLES:
            return None
        return ahead * (now - self._times[0]) / starts


@dataclass(slots=True)
class Registration:
    """Demand of a queue as registered with one owner.

    Args:
        owner: Owner, with its boot number.
        waiting: Requests that the owner still counts as waiting.
    """

    owner: PeerId
    waiting: int


class AccountQueue:
    """FIFO queue of one account's requests for one pool.

    Args:
        account: Client account.
        pool: Pool.
    """

    def __init__(self, account: str, pool: str) -> None:
        self.account = account
        self.pool = pool
        self.requests: OrderedDict[str, WaitingRequest] = OrderedDict()
        self.registrations: dict[str, Registration] = {}
        self.drain_rate = DrainRate()
        self.expand_at = float("inf")
        self.refresh_at = float("inf")

    def __len__(self) -> int:
        return len(self.requests)

    @property
    def head(self) -> WaitingRequest | None:
        """The next request, if there is one."""
        return next(iter(self.requests.values()), None)

    @property
    def due_at(self) -> float:
        """Time of the next demand message; infinite when the queue is empty."""
        return min(self.expand_at, self.refresh_at) if self.requests else float("inf")
