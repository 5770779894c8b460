"""Registration of a fake replica in the fake store."""

import json
from itertools import count
from typing import Any

from greengageflow.net.http_messages import HttpRequest
from greengageflow.net.http_pool import HttpPool


class StoreEntry:
    """Writes and removes a replica's entry through the store's control calls.

    Args:
        pool: Connection pool.
        store: ``IP:PORT`` of the store's control calls.
        name: Id of the replica.
        heartbeat_ms: Interval of the writes in milliseconds; the entry expires after
            three of them.
    """

    def __init__(
        self, pool: HttpPool, store: str, name: str, heartbeat_ms: int
    ) -> None:
        self._pool, self._name, self._ttl_ms = pool, name, 3 * heartbeat_ms
        ip, _, port = store.partition(":")
        self._address = ip, int(port)
        self._sequence = count()

    def put(self, fields: dict[str, Any]) -> None:
        """Write the entry with the next sequence number."""
        entry = {"version": "1", **fields, "sequence": next(self._sequence)}
        path = f"/servers/{self._name}?ttl_ms={self._ttl_ms}"
        self._send("PUT", path, json.dumps(entry).encode())

    def remove(self) -> None:
        """Remove the entry."""
        self._send("DELETE", f"/servers/{self._name}")

    def _send(self, method: str, path: str, body: bytes = b"") -> None:
        request = HttpRequest(method, *self._address, path, body=body)
        self._pool.fetch(request, lambda _: None)
