"""Fake of the platform's metadata store, as one process.

Not modelled: throughput of partitions, consumer groups, prices and rate limits.
"""

import json
from collections import Counter
from copy import deepcopy
from dataclasses import asdict, dataclass

import fire

from greengageflow.lab._platform_log import Conflict, Partition, keyed_record
from greengageflow.lab.platform_http import Call, HttpFake, Wire, answer_bytes
from greengageflow.net.timers import Subscription
from greengageflow.platform.names import (
    CONFIG_KEY,
    KEYED_TOPIC_PREFIX,
    LOG_APPEND,
    LOG_NEWEST,
    LOG_READ,
    LOG_TRIM,
    OPERATOR_TOPIC,
    RETRY_AFTER,
    SERVERS_TOPIC,
    STORE_ERA,
)

MOST_WAIT_MS = 30_000
OWN_TOPICS = (OPERATOR_TOPIC, SERVERS_TOPIC)


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults of the store; all off by default.

    Args:
        down: Accept connections, but execute and answer nothing.
        status: Refuse calls with this status, 503 or 429; 0 for off.
        reset: Reset the connection of each call.
        slow_s: Delay before a call is executed, in seconds.
        lost: Execute calls, but answer neither them nor later calls on their
            connections.
        ips: Affect only callers with these IP numbers; empty for all.
        path: Affect only calls of this path; empty for all.
    """

    down: bool = False
    status: int = 0
    reset: bool = False
    slow_s: float = 0.0
    lost: bool = False
    ips: tuple[str, ...] = ()
    path: str = ""

    def concern(self, call: Call) -> bool:
        """Whether the faults apply to a call."""
        return self.path in ("", call.path) and (
            not self.ips or call.wire.ip in self.ips
        )


@dataclass(slots=True, eq=False)
class _Reader:
    call: Call
    part: Partition
    start: int
    most_bytes: int
    timeout: Subscription | None = None


class PlatformStore(HttpFake):
    """The store; the operator and the replicas write through the control port.

    Control calls:
        ``PUT /config``: write a configuration.
        ``PUT /servers/ID``, ``DELETE /servers/ID``: write or remove a replica's
            entry; ``ttl_ms`` in the query is the time to live of the entry.
        ``POST /fault``: set the faults (``StoreFaults``).
        ``POST /compact``: drop all records of ``topic`` and ``part``.
        ``GET /newest?topic=T``: newest value of each key.
        ``GET /calls``: number of calls by path and IP number.
        ``POST /copy``: take a snapshot.
        ``POST /restore``: be down for ``away_s`` seconds, then restart from the
            snapshot with the next era.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 for any free one.
        control_port: TCP port of the control calls; 0 for any free one.
    """

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, control_port: int = 0
    ) -> None:
        super().__init__(host, port, control_port)
        self._faults = StoreFaults()
        self._parts: dict[tuple[str, int], Partition] = {}
        self._readers: list[_Reader] = []
        self._calls: Counter[tuple[str, str]] = Counter()
        self._expiry: dict[str, Subscription] = {}
        self._era = 1
        self._copy: dict[tuple[str, int], Partition] = {}

    # Calls of the product.

    def arrived(self, call: Call) -> None:
        """Execute a call or apply the faults to it."""
        self._calls[call.path, call.wire.ip] += 1
        faults = self._faults
        if not faults.concern(call):
            self._do(call)
        elif faults.reset:
            call.wire.reset()
        elif faults.down:
            call.wire.mute = True
        elif faults.status:
            body = {"error": "refused by a fault"}
            headers = {RETRY_AFTER: "0.1", **self._headers}
            self.finish(call, answer_bytes(faults.status, body, headers))
        elif faults.slow_s:
            self.timers.after(faults.slow_s, lambda: self._do(call))
        else:
            self._do(call)

    def gone(self, wire: Wire) -> None:
        """Drop the long polls of a closed connection."""
        self._readers = [one for one in self._readers if one.call.wire is not wire]

    def _answer(self, call: Call, status: int, body: object) -> None:
        # Faults also apply to long polls that arrived before they were set.
        if self._faults.concern(call) and (self._faults.lost or self._faults.down):
            call.wire.mute = True
        self.finish(call, answer_bytes(status, body, self._headers))

    @property
    def _headers(self) -> dict[str, str]:
        return {STORE_ERA: str(self._era)}

    def _do(self, call: Call) -> None:
        if not call.wire.open:
            return
        try:
            answer = self._done(call)
        except Conflict as exc:
            answer = exc.status, exc.body
        except (KeyError, ValueError, IndexError) as exc:
            answer = 400, {"error": repr(exc)}
        if answer is not None:
            self._answer(call, *answer)

    def _done(self, call: Call) -> tuple[int, object] | None:
        query = call.query
        topic, number = query["topic"], int(query["part"])
        part = self._part(topic, number)
        match call.method, call.path:
            case "POST", path if path == LOG_APPEND:
                if topic in OWN_TOPICS:
                    return 403, {"error": "topic is read-only"}
                answer = part.append(query, bytes(call.body))
                self._wake(part)
                return 200, answer
            case "POST", path if path == LOG_TRIM:
                part.forget(int(query["before"]))
                return 200, {"first": part.first}
            case "GET", path if path == LOG_NEWEST:
                return 200, part.newest_page(query.get("after", ""))
            case "GET", path if path == LOG_READ:
                return self._read(call, part, query)
        return 404, {"error": "no such call"}

    def _part(self, topic: str, number: int) -> Partition:
        if (topic, number) not in self._parts:
            self._parts[topic, number] = Partition(topic.startswith(KEYED_TOPIC_PREFIX))
        return self._parts[topic, number]

    def _read(self, call: Call, part: Partition, query: dict[str, str]) -> tuple | None:
        start = int(query["from"])
        if not part.first <= start <= part.end:
            return 410, {"first": part.first}
        size = int(query.get("max_kb", 1024)) * 1024
        wait_s = min(MOST_WAIT_MS, int(query.get("wait_ms", 0))) / 1000
        if start < part.end or not wait_s:
            return 200, part.page(start, size)
        reader = _Reader(call, part, start, size)
        self._readers.append(reader)
        reader.timeout = self.timers.after(wait_s, lambda: self._release([reader]))
        return None

    def _wake(self, part: Partition) -> None:
        self._release(
            [one for one in self._readers if one.part is part and one.start < part.end]
        )

    def _release(self, readers: list[_Reader]) -> None:
        for reader in readers:
            if reader in self._readers:
                self._readers.remove(reader)
                reader.timeout.cancel()
                page = reader.part.page(reader.start, reader.most_bytes)
                self._answer(reader.call, 200, page)

    # Control calls of tests, the operator and the replicas.

    def control(self, call: Call) -> bytes:
        """Return the response to a control call."""
        match call.method, call.path.strip("/").split("/"):
            case "PUT", ["config"]:
                return self._put(OPERATOR_TOPIC, CONFIG_KEY, bytes(call.body))
            case "PUT", ["servers", name]:
                self._expire_later(name, call.query.get("ttl_ms"))
                return self._put(SERVERS_TOPIC, name, bytes(call.body))
            case "DELETE", ["servers", name]:
                self._expire_later(name, None)
                return self._put(SERVERS_TOPIC, name, b"")
            case "POST", ["fault"]:
                given = call.json
                ips = tuple(given.pop("ips", ()))
                self._faults = StoreFaults(**given, ips=ips)
                return answer_bytes(200, asdict(self._faults))
            case "POST", ["compact"]:
                part = self._part(call.json["topic"], call.json.get("part", 0))
                part.forget(part.end)
                return answer_bytes(200, {"first": part.first})
            case "POST", ["copy"]:
                self._copy = deepcopy(self._parts)
                return answer_bytes(200, {})
            case "POST", ["restore"]:
                self._faults = StoreFaults(down=True)
                self.timers.after(call.json.get("away_s", 0.0), self._restore)
                return answer_bytes(200, {})
            case "GET", ["newest"]:
                part = self._part(call.query["topic"], 0)
                values = {key: json.loads(one[0]) for key, one in part.newest.items()}
                return answer_bytes(200, values)
            case "GET", ["calls"]:
                rows = [[*key, count] for key, count in self._calls.items()]
                return answer_bytes(200, rows)
        return answer_bytes(404, {"error": "no such call"})

    def _restore(self) -> None:
        for reader in self._readers:
            reader.timeout.cancel()
            reader.call.wire.reset()
        self._readers = []
        self._parts = deepcopy(self._copy)
        self._era += 1
        self._faults = StoreFaults()

    def _put(self, topic: str, key: str, value: bytes) -> bytes:
        part = self._part(topic, 0)
        part.add(keyed_record(key, value))
        self._wake(part)
        return answer_bytes(200, {"end": part.end})

    def _expire_later(self, name: str, ttl_ms: str | None) -> None:
        if old := self._expiry.pop(name, None):
            old.cancel()
        if ttl_ms is not None:
            self._expiry[name] = self.timers.after(
                int(ttl_ms) / 1000, lambda: self._put(SERVERS_TOPIC, name, b"")
            )


def main() -> None:
    """Run the store until SIGTERM."""
    fire.Fire(lambda **options: PlatformStore(**options).run())


if __name__ == "__main__":
    main()
