"""Client of the platform's log service."""

import json
from collections.abc import Callable, Sequence
from typing import Any

from greengageflow.core.log_records import (
    Appended,
    AppendResult,
    LogFailure,
    LogRecord,
    OffsetTrimmed,
    ReadResult,
    Records,
)
from greengageflow.net.http_pool import Failure, HttpPool, HttpRequest, Response

MAX_RECORDS_PER_READ = 200
MAX_RECORDS_PER_READ_BY_STREAM = {"config": 20}
"""Maximum records per read, by stream. A configuration record of design size is 140 kB,
so fewer of them fit into a response."""
MAX_READ_BYTES = 8 * 1024 * 1024
RESPONSE_TIMEOUT_S = 5.0
JSON_HEADERS = (("Content-Type", "application/json"),)


def _retry_after(response: Response) -> float | None:
    for name, value in response.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return float(value)
    return None


def _status_failure(response: Response) -> LogFailure:
    return LogFailure(
        False, f"log responded with status {response.status}", _retry_after(response)
    )


class LogClient:
    """Appends to and reads from log streams.

    Args:
        pool: Outbound HTTP connections.
        ip: IP number of the log.
        port: TCP port of the log.
    """

    def __init__(self, pool: HttpPool, ip: str, port: int) -> None:
        self._pool = pool
        self._ip = ip
        self._port = port
        self.appends = 0
        self.reads = 0
        self.failures = 0

    def append(
        self,
        stream: str,
        records: Sequence[Any],
        on_done: Callable[[AppendResult], None],
    ) -> None:
        """Append ``records`` atomically."""

        def on_response(outcome: Response | Failure) -> None:
            on_done(self._count_failure(_append_result(outcome)))

        self.appends += 1
        body = json.dumps({"records": list(records)}).encode()
        # If a reused connection is lost, the append may have taken effect. The caller
        # retries with the same nonce, so the pool must not retry by itself.
        req = HttpRequest(
            "POST",
            self._ip,
            self._port,
            f"/streams/{stream}/records",
            JSON_HEADERS,
            body,
            idle_timeout_s=RESPONSE_TIMEOUT_S,
            retry_stale=False,
        )
        self._pool.fetch(req, on_response)

    def _count_failure(
        self, result: AppendResult | ReadResult
    ) -> AppendResult | ReadResult:
        self.failures += isinstance(result, LogFailure)
        return result

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_s: float,
        on_done: Callable[[ReadResult], None],
    ) -> None:
        """Read records from ``from_offset``, waiting up to ``wait_s`` for the first."""

        def on_response(outcome: Response | Failure) -> None:
            on_done(self._count_failure(_read_result(outcome)))

        self.reads += 1
        limit = MAX_RECORDS_PER_READ_BY_STREAM.get(stream, MAX_RECORDS_PER_READ)
        path = (
            f"/streams/{stream}/records?from={from_offset}"
            f"&limit={limit}&wait_s={wait_s:g}"
        )
        req = HttpRequest(
            "GET",
            self._ip,
            self._port,
            path,
            idle_timeout_s=wait_s + RESPONSE_TIMEOUT_S,
        )
        self._pool.fetch(req, on_response, limit=MAX_READ_BYTES)


def _append_result(outcome: Response | Failure) -> AppendResult:
    match outcome:
        case Failure(sent=sent, message=message):
            return LogFailure(sent, message)
        case Response(status=200):
            try:
                data = outcome.json()
                return Appended(int(data["first_offset"]), int(data["count"]))
            except (ValueError, KeyError, TypeError) as exc:
                return LogFailure(True, f"log sent a malformed response: {exc!r}")
    return _status_failure(outcome)


def _read_result(outcome: Response | Failure) -> ReadResult:
    match outcome:
        case Failure(message=message):
            return LogFailure(False, message)
        case Response(status=200 | 410):
            try:
                return _read_body(outcome.status, outcome.json())
            except (ValueError, KeyError, TypeError) as exc:
                return LogFailure(False, f"log sent a malformed response: {exc!r}")
    return _status_failure(outcome)


def _read_body(status: int, data: Any) -> ReadResult:
    first, end = int(data["first_offset"]), int(data["next_offset"])
    if status == 410:
        return OffsetTrimmed(first, end)
    records = tuple(
        LogRecord(int(row["offset"]), float(row["time"]), row["record"])
        for row in data["records"]
    )
    return Records(records, first, end)
