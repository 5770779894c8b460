"""Endpoints that answer each run of a request as a script says, in threads.

The events of a stream state its subject, their number and the software version of the
start that made them, so that a test can tell what it got.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET, create_server, socket
from struct import pack
from threading import Lock, Thread
from time import monotonic, sleep

from greengageflow.platform.names import (
    EXPECT_REPLICA,
    KV_LIST,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    READY,
    REPLICA_ID,
    REPORT_PATH,
    REQUEST_ID,
    RESPONSE_SEAL,
    RETRY_AFTER,
)

EVENTS = 6
"""Number of events of a stream."""
FIRST_BORN_MS = 1_700_000_000_000
PIECE_INTERVAL_S = 0.001
REPORT_AGE_S = 0.3
"""Age of the runs in a report, in seconds."""
EXIT_LATER_S = 0.1
STREAM_PREFIX = "/stream"
"""Paths below which a good answer is a stream of events."""
MISDIRECTED = 421


class Framing(StrEnum):
    """How a body is delimited."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class End(StrEnum):
    """How a run ends; the process goes on except where stated."""

    PROPER = "proper"
    EARLY = "early"
    """The connection is closed in order between two events, or within a body."""
    INSIDE = "inside"
    """It is closed in order inside an event."""
    RESET = "reset"
    EXIT = "exit"
    """The process ends; its connections are closed in order between two events."""
    EXIT_LATER = "exit later"
    """The connection is closed as after ``EARLY``, and the process ends soon after."""
    GOES_ON = "goes on"
    """The connection is closed as after ``EARLY``, and the run stays in reports."""
    RESTART = "restart"
    """As ``EXIT``, and another version starts in place, which is listed later."""


class Extra(StrEnum):
    """What else is sent on the connection."""

    NONE = "none"
    INTERIM = "interim"
    """Interim responses before the head."""
    OTHER = "other"
    """A complete response to another request before the head."""
    TWICE = "twice"
    """The whole response once more."""
    BYTES = "bytes"
    """Bytes that are no response, behind a complete one."""


@dataclass(frozen=True, slots=True)
class Run:
    """Script of one run.

    Args:
        framing: How the body is delimited.
        end: How the run ends.
        at: Number of events, or sixths of a body, before an early end.
        piece: Maximum number of bytes in one write; 0 for any.
        status: HTTP status; a run other than 200 has a short body.
        echo: Whether the head names the request.
        not_executed: Whether the head states that the request was not run, and it is
            not run.
        retry_after: Value of that header; empty for none.
        extra: What else is sent; none behind a body that ends with the connection,
            since it would be part of the body.
    """

    framing: Framing = Framing.LENGTH
    end: End = End.PROPER
    at: int = 0
    piece: int = 0
    status: int = 200
    echo: bool = True
    not_executed: bool = False
    retry_after: str = ""
    extra: Extra = Extra.NONE

    @property
    def begins(self) -> bool:
        """Whether the request is run, as far as the answer can tell."""
        return not (self.echo and (self.not_executed or self.status == MISDIRECTED))

    @property
    def is_sound(self) -> bool:
        """Whether the answer is complete, and proven by its framing."""
        is_good = self.status == 200 and self.echo and not self.not_executed
        is_alone = self.extra in (Extra.NONE, Extra.INTERIM)
        return self.end is End.PROPER and is_good and is_alone


class Script:
    """What the endpoints do, and what they did; shared by their threads.

    Attributes:
        begun: Number of runs by request id.
    """

    def __init__(self) -> None:
        self.begun: Counter[str] = Counter()
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._lock = Lock()

    def set(self, subject: str, runs: list[Run]) -> None:
        """Set the runs of a subject; those after them are sound."""
        with self._lock:
            self._runs[subject] = list(runs)

    def next_run(self, subject: str, request: str) -> Run:
        """Return the next run of a subject, and count it."""
        with self._lock:
            rest = self._runs[subject]
            run = rest.pop(0) if rest else Run()
            self.begun[request] += run.begins
            return run


def event(subject: str, number: int, version: str) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {subject} {number} {version}\n\n".encode()


def whole_body(subject: str, version: str) -> bytes:
    """Return the body of a plain answer."""
    parts = (f"{subject} {number} {version}" for number in range(1, EVENTS + 1))
    return "\n".join(parts).encode()


class ScriptedEndpoint:
    """One endpoint.

    Args:
        name: Endpoint id.
        service: Name of its service.
        script: Says what it does.
        on_start: Called with this endpoint after a restart.
    """

    def __init__(
        self,
        name: str,
        service: str,
        script: Script,
        on_start: Callable[["ScriptedEndpoint"], None],
    ) -> None:
        self.name, self.service, self.generation = name, service, 0
        self._script, self._on_start = script, on_start
        self._conns: set[socket] = set()
        self._listed_until: dict[str, float] = {}
        self._lock = Lock()
        self._listener = self._listen(0)
        self.port = self._listener.getsockname()[1]
        self._serve()

    @property
    def version(self) -> str:
        """Software version of the current start."""
        return f"v{self.generation}"

    @property
    def entry(self) -> bytes:
        """Entry for the list, as of the current start."""
        fields = {"service": self.service, "address": f"127.0.0.1:{self.port}"}
        fields |= {"zone": "zone-1", "slots": 8, "state": READY}
        return json.dumps(fields | {"version": self.version} | self._born).encode()

    @property
    def _born(self) -> dict[str, int]:
        return {"born": FIRST_BORN_MS + self.generation}

    @staticmethod
    def _listen(port: int) -> socket:
        return create_server(("127.0.0.1", port), backlog=64)

    def _serve(self) -> None:
        Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def stop(self) -> None:
        """Close the port, then all connections in order, as the end of a process."""
        with suppress(OSError):
            self._listener.shutdown(SHUT_RDWR)
        self._listener.close()
        with self._lock:
            conns, self._conns = self._conns, set()
        for conn in conns:
            with suppress(OSError):
                conn.shutdown(SHUT_RDWR)
            conn.close()

    def restart(self) -> None:
        """Start in place with another version."""
        self.stop()
        self.generation += 1
        self._listed_until = {}
        self._listener = self._listen(self.port)
        self._serve()
        self._on_start(self)

    def _accept(self, listener: socket) -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._conns.add(conn)
            Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn: socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    if not (more := conn.recv(65_536)):
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (text.partition(":") for text in rest)
                }
                size = int(headers.get("content-length", 0))
                while len(data) < size:
                    if not (more := conn.recv(65_536)):
                        return
                    data += more
                body, data = data[:size], data[size:]
                if not self._answer(conn, line.split()[1], headers, body):
                    return
        except OSError:
            return
        finally:
            with self._lock:
                self._conns.discard(conn)
            conn.close()

    def _answer(self, conn: socket, path: str, headers: dict, body: bytes) -> bool:
        """Answer one request; return whether the connection goes on."""
        names = {REPLICA_ID: self.name}
        if path in (REPORT_PATH, KV_LIST):
            data = json.dumps({"held": [], "runs": self._runs, **self._born}).encode()
            conn.sendall(_head(200, {**names, "Content-Length": len(data)}) + data)
            return True
        request = headers.get(REQUEST_ID, "")
        if headers.get(EXPECT_REPLICA, self.name) != self.name:
            names |= {NOT_EXECUTED: 1, REQUEST_ID: request, "Content-Length": 0}
            conn.sendall(_head(MISDIRECTED, names))
            return True
        subject = body.decode()
        run = self._script.next_run(subject, request)
        if path.startswith(STREAM_PREFIX) and run.status == 200:
            first = int(headers.get(LAST_EVENT_ID) or 0) + 1
            numbers = range(first, EVENTS + 1)
            parts = [event(subject, number, self.version) for number in numbers]
        elif run.status == 200:
            parts = whole_body(subject, self.version).splitlines(keepends=True)
        else:
            parts = [b"no"]
        listed_until = self._listed_until
        listed_until[request] = inf
        try:
            return _Answer(self, conn, run, request, parts).send()
        finally:
            if run.end is not End.GOES_ON:
                listed_until[request] = monotonic() + REPORT_AGE_S

    @property
    def _runs(self) -> list[list]:
        """Runs as reports list them: request, tokens in memory, events, priority."""
        now = monotonic()
        listed = list(self._listed_until.items())
        return [[request, 1, 1, 0] for request, until in listed if now < until]


@dataclass(slots=True)
class _Answer:
    endpoint: ScriptedEndpoint
    conn: socket
    run: Run
    request: str
    parts: list[bytes]

    def send(self) -> bool:
        """Send the answer; return whether the connection goes on."""
        run = self.run
        if run.extra is Extra.INTERIM:
            self.conn.sendall(b"HTTP/1.1 102 Processing\r\n\r\n" * 2)
        if run.extra is Extra.OTHER:
            headers = {REQUEST_ID: "another", RESPONSE_SEAL: "s", "Content-Length": 5}
            self.conn.sendall(_head(200, headers) + b"other")
        whole = self._bytes()
        if run.framing is Framing.CLOSE and run.end is End.PROPER:
            self._send_pieces(whole)
            return False
        if run.end is not End.PROPER:
            self._send_pieces(self._bytes(run.at))
            return self._break_off()
        self._send_pieces(whole)
        if run.extra is Extra.TWICE:
            self._send_pieces(whole)
        if run.extra is Extra.BYTES:
            self.conn.sendall(b"0123456789\r\n" * 3)
        return True

    def _bytes(self, count: int | None = None) -> bytes:
        run, parts = self.run, self.parts if count is None else self.parts[:count]
        headers = {RESPONSE_SEAL: "s", REPLICA_ID: self.endpoint.name}
        if run.echo:
            headers[REQUEST_ID] = self.request
        if run.not_executed:
            headers[NOT_EXECUTED] = 1
        if run.retry_after:
            headers[RETRY_AFTER] = run.retry_after
        inside = b"id: 7\nda" if run.end is End.INSIDE else b""
        match run.framing:
            case Framing.LENGTH:
                headers["Content-Length"] = sum(map(len, self.parts))
                return _head(run.status, headers) + b"".join(parts) + inside[:4]
            case Framing.CHUNKS:
                headers["Transfer-Encoding"] = "chunked"
                pieces = [*parts, inside] if inside else parts
                body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
                last = b"0\r\n\r\n" if count is None else b""
                return _head(run.status, headers) + body + last
        headers["Connection"] = "close"
        return _head(run.status, headers) + b"".join(parts) + inside

    def _send_pieces(self, data: bytes) -> None:
        size = self.run.piece or len(data)
        for start in range(0, len(data), size):
            self.conn.sendall(data[start : start + size])
            if self.run.piece:
                sleep(PIECE_INTERVAL_S)

    def _break_off(self) -> bool:
        match self.run.end:
            case End.RESET:
                # Bytes that were not read yet would be lost with the reset.
                sleep(0.01)
                self.conn.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            case End.EXIT:
                self.endpoint.stop()
            case End.EXIT_LATER:
                self.conn.shutdown(SHUT_RDWR)
                sleep(EXIT_LATER_S)
                self.endpoint.stop()
            case End.RESTART:
                self.endpoint.restart()
        return False


def _head(status: int, headers: dict[str, object]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} -\r\n{lines}\r\n".encode("latin-1")
