"""Whether an endpoint that answers is the start of it that is listed."""

from enum import Enum, auto


class IncarnationEvidence(Enum):
    """What an answer says about the process that gave it."""

    SAME = auto()
    """It is the listed start of the endpoint."""
    OTHER = auto()
    """It is a later start of the endpoint, or another endpoint at its address.

    The listed start has ended.
    """
    EARLIER = auto()
    """It is an earlier start of the endpoint, which may have ended or not."""
    UNSTATED = auto()
    """The answer does not say."""
