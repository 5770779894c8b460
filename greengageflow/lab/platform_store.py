"""Fake of the platform's metadata store, as one process.

Not modelled: throughput of partitions, consumer groups, prices and rate limits.
"""

import json
from collections import Counter
from copy import deepcopy
from dataclasses import asdict, dataclass

import fire

from greengageflow.lab._platform_log import Conflict, Partition, keyed_record
from greengageflow.lab.platform_http import (
    Call,
    HttpFake,
    ServerConnection,
    response_bytes,
)
from greengageflow.net.timers import Subscription
from greengageflow.platform.names import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
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

MAX_WAIT_MS = 30_000
READ_ONLY_TOPICS = (OPERATOR_TOPIC, SERVERS_TOPIC)


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

    def applies_to(self, call: Call) -> bool:
        """Whether the faults apply to a call."""
        return self.path in ("", call.path) and (
            not self.ips or call.conn.ip in self.ips
        )


@dataclass(slots=True, eq=False)
class _LongPoll:
    call: Call
    partition: Partition
    start: int
    max_bytes: int
    timeout: Subscription | None = None


class PlatformStore(HttpFake):
    """The store; the operator and the replicas write through the control port.

    Control calls:
        ``PUT /config``: write a configuration.
        ``PUT /evacuate/ZONE``, ``DELETE /evacuate/ZONE``: evacuate a zone, or take it
            back.
        ``PUT /servers/ID``, ``DELETE /servers/ID``: write or remove a replica's
            entry; ``ttl_ms`` in the query is the time to live of the entry.
        ``POST /records?topic=T``: append framed records of any content.
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
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._long_polls: list[_LongPoll] = []
        self._calls: Counter[tuple[str, str]] = Counter()
        self._expiry: dict[str, Subscription] = {}
        self._era = 1
        self._snapshot: dict[tuple[str, int], Partition] = {}

    # Calls of the product.

    def on_request(self, call: Call) -> None:
        """Execute a call or apply the faults to it."""
        self._calls[call.path, call.conn.ip] += 1
        faults = self._faults
        if not faults.applies_to(call):
            self._execute(call)
        elif faults.reset:
            call.conn.reset()
        elif faults.down:
            call.conn.mute = True
        elif faults.status:
            body = {"error": "refused by a fault"}
            headers = {RETRY_AFTER: "0.1", **self._headers}
            self.finish(call, response_bytes(faults.status, body, headers))
        elif faults.slow_s:
            self.timers.after(faults.slow_s, lambda: self._execute(call))
        else:
            self._execute(call)

    def on_disconnect(self, conn: ServerConnection) -> None:
        """Drop the long polls of a closed connection."""
        self._long_polls = [
            long_poll
            for long_poll in self._long_polls
            if long_poll.call.conn is not conn
        ]

    def _answer(self, call: Call, status: int, body: object) -> None:
        # Faults also apply to long polls that arrived before they were set.
        if self._faults.applies_to(call) and (self._faults.lost or self._faults.down):
            call.conn.mute = True
        self.finish(call, response_bytes(status, body, self._headers))

    @property
    def _headers(self) -> dict[str, str]:
        return {STORE_ERA: str(self._era)}

    def _execute(self, call: Call) -> None:
        if not call.conn.open:
            return
        try:
            answer = self._result(call)
        except Conflict as exc:
            answer = exc.status, exc.body
        except (KeyError, ValueError, IndexError) as exc:
            answer = 400, {"error": repr(exc)}
        if answer is not None:
            self._answer(call, *answer)

    def _result(self, call: Call) -> tuple[int, object] | None:
        query = call.query
        topic, number = query["topic"], int(query["part"])
        partition = self._partition(topic, number)
        match call.method, call.path:
            case "POST", path if path == LOG_APPEND:
                if topic in READ_ONLY_TOPICS:
                    return 403, {"error": "topic is read-only"}
                answer = partition.append(query, bytes(call.body))
                self._wake_long_polls(partition)
                return 200, answer
            case "POST", path if path == LOG_TRIM:
                partition.trim(int(query["before"]))
                return 200, {"first": partition.first}
            case "GET", path if path == LOG_NEWEST:
                return 200, partition.newest_page(query.get("after", ""))
            case "GET", path if path == LOG_READ:
                return self._read(call, partition, query)
        return 404, {"error": "no such call"}

    def _partition(self, topic: str, number: int) -> Partition:
        if (topic, number) not in self._partitions:
            self._partitions[topic, number] = Partition(
                topic.startswith(KEYED_TOPIC_PREFIX)
            )
        return self._partitions[topic, number]

    def _read(
        self, call: Call, partition: Partition, query: dict[str, str]
    ) -> tuple | None:
        start = int(query["from"])
        if not partition.first <= start <= partition.end:
            return 410, {"first": partition.first}
        size = int(query.get("max_kb", 1024)) * 1024
        wait_s = min(MAX_WAIT_MS, int(query.get("wait_ms", 0))) / 1000
        if start < partition.end or not wait_s:
            return 200, partition.page(start, size)
        long_poll = _LongPoll(call, partition, start, size)
        self._long_polls.append(long_poll)
        long_poll.timeout = self.timers.after(
            wait_s, lambda: self._answer_long_polls([long_poll])
        )
        return None

    def _wake_long_polls(self, partition: Partition) -> None:
        self._answer_long_polls(
            [
                long_poll
                for long_poll in self._long_polls
                if long_poll.partition is partition and long_poll.start < partition.end
            ]
        )

    def _answer_long_polls(self, long_polls: list[_LongPoll]) -> None:
        for long_poll in long_polls:
            if long_poll in self._long_polls:
                self._long_polls.remove(long_poll)
                long_poll.timeout.cancel()
                page = long_poll.partition.page(long_poll.start, long_poll.max_bytes)
                self._answer(long_poll.call, 200, page)

    # Control calls of tests, the operator and the replicas.

    def on_control_call(self, call: Call) -> bytes:
        """Return the response to a control call."""
        match call.method, call.path.strip("/").split("/"):
            case "PUT", ["config"]:
                return self._put(OPERATOR_TOPIC, CONFIG_KEY, bytes(call.body))
            case "PUT", ["evacuate", zone]:
                return self._put(OPERATOR_TOPIC, f"{EVACUATION_PREFIX}{zone}", b"{}")
            case "DELETE", ["evacuate", zone]:
                return self._put(OPERATOR_TOPIC, f"{EVACUATION_PREFIX}{zone}", b"")
            case "PUT", ["servers", name]:
                self._schedule_expiry(name, call.query.get("ttl_ms"))
                return self._put(SERVERS_TOPIC, name, bytes(call.body))
            case "DELETE", ["servers", name]:
                self._schedule_expiry(name, None)
                return self._put(SERVERS_TOPIC, name, b"")
            case "POST", ["records"]:
                partition = self._partition(call.query["topic"], 0)
                answer = partition.append({}, bytes(call.body))
                self._wake_long_polls(partition)
                return response_bytes(200, answer)
            case "POST", ["fault"]:
                fields = call.json
                ips = tuple(fields.pop("ips", ()))
                self._faults = StoreFaults(**fields, ips=ips)
                return response_bytes(200, asdict(self._faults))
            case "POST", ["compact"]:
                partition = self._partition(
                    call.json["topic"], call.json.get("part", 0)
                )
                partition.trim(partition.end)
                return response_bytes(200, {"first": partition.first})
            case "POST", ["copy"]:
                self._snapshot = deepcopy(self._partitions)
                return response_bytes(200, {})
            case "POST", ["restore"]:
                self._faults = StoreFaults(down=True)
                self.timers.after(call.json.get("away_s", 0.0), self._restore)
                return response_bytes(200, {})
            case "GET", ["newest"]:
                partition = self._partition(call.query["topic"], 0)
                values = {
                    key: json.loads(value[0]) for key, value in partition.newest.items()
                }
                return response_bytes(200, values)
            case "GET", ["calls"]:
                rows = [[*key, count] for key, count in self._calls.items()]
                return response_bytes(200, rows)
        return response_bytes(404, {"error": "no such call"})

    def _restore(self) -> None:
        for long_poll in self._long_polls:
            long_poll.timeout.cancel()
            long_poll.call.conn.reset()
        self._long_polls = []
        self._partitions = deepcopy(self._snapshot)
        self._era += 1
        self._faults = StoreFaults()

    def _put(self, topic: str, key: str, value: bytes) -> bytes:
        partition = self._partition(topic, 0)
        partition.add(keyed_record(key, value))
        self._wake_long_polls(partition)
        return response_bytes(200, {"end": partition.end})

    def _schedule_expiry(self, name: str, ttl_ms: str | None) -> None:
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
