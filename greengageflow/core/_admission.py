"""Admission control: refuses requests before they are queued."""

from greengageflow.core._waiting import AccountQueue, WaitingRequest
from greengageflow.core.effects import Refuse
from greengageflow.errors import ErrorKind

_SHORTEST_RETRY_S = 0.1


def refusal(
    now: float, req: WaitingRequest, queue: AccountQueue, limit: int
) -> Refuse | None:
    """Return the refusal of a request, or None when it may be queued.

    Args:
        now: Current time.
        req: The request.
        queue: The account's queue, not yet including the request.
        limit: Maximum number of waiting requests.
    """
    left_s = req.deadline - now
    if left_s <= 0:
        return Refuse(req.id, ErrorKind.DEADLINE, "the deadline has passed")
    ahead = len(queue)
    if ahead >= limit:
        # The queue has room again as soon as it is below the limit.
        wait_s = queue.drain_rate.expected_wait_s(now, ahead - limit + 1)
        retry_s = None if wait_s is None else max(_SHORTEST_RETRY_S, wait_s)
        text = f"queue full: {ahead} requests of this account are waiting"
        return Refuse(req.id, ErrorKind.QUEUE_FULL, text, retry_s)
    wait_s = queue.drain_rate.expected_wait_s(now, ahead) if ahead else None
    if wait_s is not None and wait_s > left_s:
        text = f"{ahead} requests are waiting: expected wait of {wait_s:.1f} s"
        return Refuse(req.id, ErrorKind.DEADLINE, text, wait_s - left_s)
    return None
