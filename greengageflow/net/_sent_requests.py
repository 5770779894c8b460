"""Requests that a connection has carried."""

from math import inf

MAX_REQUESTS = 32
"""Number of requests that are remembered for each connection."""


class SentRequests:
    """The latest requests sent on one connection.

    A response is matched to its request by the id that it echoes. On a connection that
    carried the same id before, a late copy of the earlier response would match too.
    """

    __slots__ = ("_forgotten_until", "_sent_at")

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}
        self._forgotten_until = -inf

    def add(self, request_id: str, now: float) -> None:
        """Record that a request is being sent.

        Args:
            request_id: Id of the request; a request without one is not recorded.
            now: The time, in monotonic seconds.
        """
        if not request_id:
            return
        self._sent_at.pop(request_id, None)
        self._sent_at[request_id] = now
        if len(self._sent_at) > MAX_REQUESTS:
            self._forgotten_until = self._sent_at.pop(next(iter(self._sent_at)))

    def may_include(self, request_id: str, first_sent_at: float) -> bool:
        """Whether a request may have been sent on the connection before.

        Args:
            request_id: Id of the request; False for a request without one.
            first_sent_at: Time at which the request was first sent anywhere, in
                monotonic seconds; infinite if it was not.
        """
        if not request_id:
            return False
        return request_id in self._sent_at or first_sent_at <= self._forgotten_until
