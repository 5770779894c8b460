"""Terms that decided on the endpoint of a request, for the log."""

from typing import NamedTuple


class DecisionTerms(NamedTuple):
    """What was predicted for a request at the endpoint that it was sent to.

    A named tuple, since one is created for each request.

    Args:
        queue_wait_s: Seconds until the endpoint begins to read the prompt; for a plain
            service until the request gets a slot.
        slowness: 2 if the endpoint takes twice as long as the others.
        duration_s: Likely duration at this endpoint, in seconds: from the first event
            to the end, or of a plain call; 0 if it is not known.
        cached_tokens: Length of the prompt's prefix in the endpoint's cache, in tokens.
        next_cost: Cost of the next best endpoint, in the unit of ``Choice.cost``; None
            if no other endpoint could be chosen.
    """

    queue_wait_s: float
    slowness: float
    duration_s: float
    cached_tokens: int
    next_cost: float | None
