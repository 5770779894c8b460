"""Reads and writes a keyed topic that routers share in the platform's store."""

from collections.abc import Callable

from greengageflow.net.http_messages import Failure, Response
from greengageflow.net.http_pool import HttpPool
from greengageflow.platform.store import newest_call, put_call, request

TIMEOUT_S = 2.0

Address = tuple[str, int]
OnDone = Callable[[Response | Failure], None]


class SharedTopic:
    """Client for one keyed topic.

    Args:
        pool: Sends the calls.
        store: IP number and port of the store.
        topic: Name of the topic.

    Attributes:
        calls: Number of calls to the store.
    """

    def __init__(self, pool: HttpPool, store: Address, topic: str) -> None:
        self.calls = 0
        self._pool = pool
        self._store = store
        self._topic = topic

    def put(self, key: str, value: bytes, on_done: OnDone) -> None:
        """Set the value of a key; an empty value deletes the key."""
        self._call(*put_call(self._topic, key, value), on_done)

    def newest(self, after: str, on_done: OnDone) -> None:
        """Read a page of the newest records, one per key, for keys after ``after``."""
        self._call(*newest_call(self._topic, after), b"", on_done)

    def _call(self, method: str, target: str, body: bytes, on_done: OnDone) -> None:
        self.calls += 1
        outgoing = request(self._store, method, target, body, TIMEOUT_S)
        self._pool.fetch(outgoing, on_done)
