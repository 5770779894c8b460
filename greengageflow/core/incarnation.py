"""Whether an endpoint that answers is the start of it that is listed."""

from enum import Enum, auto


class IncarnationEvidence(Enum):
    """What an answer says about the process that gave it."""

    SAME = auto()
    """It is the listed start of the endpoint."""
    LATER = auto()
    """It is a later start than the listed one, which has ended.

    So is any start of an endpoint whose entry states no start time.
    """
    OTHER = auto()
    """It is another endpoint, which has the address now."""
    EARLIER = auto()
    """It is an earlier start of the endpoint, which may have ended or not."""
    UNSTATED = auto()
    """The answer does not say."""
