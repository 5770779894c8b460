"""Requests to the platform's store, and parsers for its responses."""

import json
from base64 import b64decode
from dataclasses import dataclass
from struct import Struct
from urllib.parse import quote, urlencode

from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.store_marks import MAX_ERA
from greengageflow.net.http_messages import HttpRequest, Response
from greengageflow.platform.names import LOG_APPEND, LOG_NEWEST, LOG_READ, STORE_ERA

STATUS_GONE = 410
_RECORD_LENGTH = Struct(">I")
_READ_HEADER = Struct(">QQ")


class StoreAnswerError(ValueError):
    """A response of the store does not follow its specification."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of one read.

    Args:
        records: Records in log order.
        end: Offset at which the next read starts.
        after: Key after which the next page starts, or empty after the last page.
        log_end: End of the log, as of the read.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    after: str = ""
    log_end: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the records reach to the end of the log."""
        return self.end >= self.log_end


def read_call(topic: str, offset: int, wait_s: float) -> tuple[str, str]:
    """Return method and target for reading records from ``offset`` on."""
    query = {"topic": topic, "part": 0, "from": offset}
    if wait_s > 0:
        query["wait_ms"] = int(wait_s * 1000)
    return "GET", f"{LOG_READ}?{urlencode(query)}"


def newest_call(topic: str, after: str) -> tuple[str, str]:
    """Return method and target for reading the newest record of each key."""
    query = f"topic={quote(topic)}&part=0"
    if after:
        query += f"&after={quote(after)}"
    return "GET", f"{LOG_NEWEST}?{query}"


def put_call(topic: str, key: str, value: bytes) -> tuple[str, str, bytes]:
    """Return method, target and body for setting the value of a key."""
    record = bytes([len(key.encode())]) + key.encode() + value
    body = _RECORD_LENGTH.pack(len(record)) + record
    return "POST", f"{LOG_APPEND}?{urlencode({'topic': topic, 'part': 0})}", body


def request(
    address: tuple[str, int], method: str, target: str, body: bytes, timeout_s: float
) -> HttpRequest:
    """Return the HTTP request for a call of the store.

    Each call has a connection of its own: responses name no request, so a late copy of
    one would be taken for the response to the next call.
    """
    return HttpRequest(
        method,
        *address,
        target,
        (("connection", "close"),),
        body,
        connect_timeout_s=min(1.0, timeout_s),
        idle_timeout_s=timeout_s,
        retry_stale=False,
    )


def era_of_response(response: Response) -> int:
    """Return the era of the store that responded, or 0 if it sent none."""
    text = response.header(STORE_ERA).strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(int(text[:9]), MAX_ERA)


def is_expired(response: Response) -> bool:
    """Return whether the requested records have been deleted."""
    return response.status == STATUS_GONE


def parse_read(response: Response, offset: int) -> Batch:
    """Return the records of a read from ``offset`` on.

    Raises:
        StoreAnswerError: The response is malformed.
    """
    _check_status(response)
    data = response.body
    if len(data) < _READ_HEADER.size:
        raise StoreAnswerError("response is too short")
    log_end, _first = _READ_HEADER.unpack_from(data)
    position = _READ_HEADER.size
    records = []
    while position + _RECORD_LENGTH.size <= len(data):
        (length,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        if position + length > len(data):
            raise StoreAnswerError("record is truncated")
        records.append(
            _parse_record(data[position : position + length], offset + len(records))
        )
        position += length
    end = offset + len(records)
    if not records and log_end > end:
        raise StoreAnswerError(
            f"no records from {end} on, although it ends at {log_end}"
        )
    return Batch(tuple(records), end, log_end=log_end)


def _parse_record(record: bytes, offset: int) -> KeyedRecord:
    if not record or len(record) < 1 + record[0]:
        raise StoreAnswerError("record has no key")
    value = record[1 + record[0] :]
    key = record[1 : 1 + record[0]].decode("utf-8", "replace")
    return KeyedRecord(key, value or None, offset)


def parse_newest(response: Response) -> Batch:
    """Return the newest record of each key.

    Raises:
        StoreAnswerError: The response is not a list of records.
    """
    _check_status(response)
    try:
        doc = json.loads(response.body)
        items = tuple(
            KeyedRecord(item["key"], b64decode(item["value"]) or None, item["offset"])
            for item in doc["items"]
        )
        is_truncated = doc.get("truncated", False)
        if type(is_truncated) is not bool or (is_truncated and not items):
            raise ValueError("does not say where the next page starts")
        return Batch(items, int(doc["end"]), items[-1].key if is_truncated else "")
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise StoreAnswerError(f"not a list of records: {exc!r}") from exc


def _check_status(response: Response) -> None:
    if response.status != 200:
        raise StoreAnswerError(f"unexpected status {response.status}")
