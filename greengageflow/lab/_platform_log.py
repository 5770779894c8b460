"""Partitions of the fake platform store: framed records, keys and fencing."""

from base64 import b64encode
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from struct import error as StructError
from struct import pack, unpack_from

MAX_PAGE_ITEMS = 500
MAX_KEPT_ANSWERS = 5


class Conflict(Exception):
    """An append was refused by its condition, its epoch or its sequence number.

    Args:
        status: HTTP status code.
        body: Fields of the response body.
    """

    def __init__(self, status: int, **body: object) -> None:
        super().__init__(status)
        self.status, self.body = status, body


def frame(record: bytes) -> bytes:
    """Return a record prefixed with its length as 4 bytes, big-endian."""
    return pack(">I", len(record)) + record


def frames(data: bytes) -> Iterator[bytes]:
    """Yield the records of a body.

    Raises:
        ValueError: The body ends in the middle of a record.
    """
    start = 0
    while start < len(data):
        try:
            (size,) = unpack_from(">I", data, start)
        except StructError as exc:
            raise ValueError("body ends within a record length") from exc
        record = data[start + 4 : start + 4 + size]
        if len(record) < size:
            raise ValueError("body ends within a record")
        yield record
        start += 4 + size


def keyed_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic; an empty value is a tombstone."""
    name = key.encode()
    return bytes([len(name)]) + name + value


@dataclass(slots=True)
class _Producer:
    epoch: int
    sequence: int | None = None
    answers: deque[tuple[int, dict]] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_ANSWERS)
    )


@dataclass(slots=True)
class Partition:
    """Records of one partition.

    Args:
        keyed: Whether records have keys; the newest value of each key is retained.
        first: Offset of the first retained record.
        records: Retained records.
        newest: Newest value and its offset, by key.
        producers: State of the fenced producers, by name.
    """

    keyed: bool
    first: int = 0
    records: deque[bytes] = field(default_factory=deque)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, query: dict[str, str], data: bytes) -> dict:
        """Append all records of a body or none of them.

        Raises:
            Conflict: The condition, epoch or sequence number doesn't match.
            ValueError: The body or a parameter is invalid.
        """
        records = list(frames(data))
        if self.keyed and not all(records):
            raise ValueError("record without a key in a keyed topic")
        if "at" in query and int(query["at"]) != self.end:
            raise Conflict(412, end=self.end)
        producer = self._fenced_producer(query)
        sequence = int(query.get("sequence", 0))
        if producer and records:
            for number, answer in producer.answers:
                if number == sequence:
                    return answer
            if producer.sequence is not None and sequence != producer.sequence + 1:
                raise Conflict(409, reason="seq", sequence=producer.sequence + 1)
        answer = {"offset": self.end, "end": self.end + len(records)}
        for record in records:
            self.add(record)
        if producer and records:
            producer.sequence = sequence
            producer.answers.append((sequence, answer))
        return answer

    def _fenced_producer(self, query: dict[str, str]) -> _Producer | None:
        if "producer" not in query:
            return None
        epoch = int(query.get("epoch", 0))
        producer = self.producers.get(query["producer"])
        if producer is None or epoch > producer.epoch:
            producer = self.producers[query["producer"]] = _Producer(epoch)
        elif epoch < producer.epoch:
            raise Conflict(409, reason="fenced")
        return producer

    def add(self, record: bytes) -> None:
        """Append one record; in a keyed topic, update the newest value of its key."""
        if self.keyed:
            size = 1 + record[0]
            # Keys that are not UTF-8 reach the readers as lone surrogates.
            key = record[1:size].decode(errors="surrogateescape")
            value = record[size:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end)
        self.records.append(record)

    def trim(self, before: int) -> None:
        """Drop the records before an offset; the newest values of keys stay."""
        while self.records and self.first < before:
            self.records.popleft()
            self.first += 1

    def page(self, start: int, max_bytes: int) -> bytes:
        """Return the end and first offsets and the framed records from ``start`` on.

        Args:
            start: Offset of the first record.
            max_bytes: Stop after the record that reaches this size.
        """
        out = bytearray(pack(">QQ", self.end, self.first))
        for record in islice(self.records, max(0, start - self.first), None):
            out += frame(record)
            if len(out) >= max_bytes:
                break
        return bytes(out)

    def newest_page(self, after: str) -> dict:
        """Return one page of newest values, of keys greater than ``after``."""
        keys = sorted(key for key in self.newest if key > after)
        items = [
            {
                "key": key,
                "value": b64encode(self.newest[key][0]).decode(),
                "offset": self.newest[key][1],
            }
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        return {
            "items": items,
            "truncated": len(keys) > MAX_PAGE_ITEMS,
            "end": self.end,
        }
