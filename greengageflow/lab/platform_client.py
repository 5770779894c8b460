"""A blocking client of the platform's client protocol."""

from collections.abc import Iterator
from dataclasses import dataclass
from secrets import token_hex
from socket import SO_LINGER, SOL_SOCKET, create_connection
from struct import pack
from typing import Any

import h11

from greengageflow.lab._processes import TIMEOUT_S
from greengageflow.platform.names import CREDENTIAL, DEADLINE_MS, REQUEST_ID

DEFAULT_DEADLINE_MS = 20_000


class IncompleteResponse(Exception):
    """The response was cut off by the end of the connection or by invalid HTTP."""


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A complete response; header names are in lower case."""

    id: str
    status: int
    headers: dict[str, str]
    body: bytes = b""

    @property
    def is_framed(self) -> bool:
        """Whether a length or chunks delimit the body, not the connection's end."""
        return not self.headers.keys().isdisjoint(
            ("content-length", "transfer-encoding")
        )


@dataclass(frozen=True, slots=True)
class PlatformEvent:
    """One event of a stream."""

    id: int
    data: str


class PlatformClient:
    """A persistent connection; requests are sent one at a time.

    Args:
        address: IP number and port.
        source: Local IP number; None for any.
    """

    def __init__(self, address: tuple[str, int], source: str | None = None) -> None:
        local = (source, 0) if source else None
        self.sock = create_connection(address, TIMEOUT_S, local)
        self._http = h11.Connection(h11.CLIENT)
        self._id = ""
        self._rest = b""

    @property
    def unused(self) -> bool:
        """Whether no request has been sent on the connection."""
        return self._id == ""

    def send(
        self,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        host: str = "app.example",
        name: str | None = None,
        key: str | None = None,
        deadline_ms: int | None = DEFAULT_DEADLINE_MS,
        headers: dict[str, Any] | None = None,
    ) -> str:
        """Send a request; return its id."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._id, self._rest = name or token_hex(8), b""
        lines = {"Host": host, REQUEST_ID: self._id, "Content-Length": len(body)}
        if deadline_ms is not None:
            lines[DEADLINE_MS] = deadline_ms
        if key is not None:
            lines[CREDENTIAL] = key
        fields = [
            (header, str(value))
            for header, value in {**lines, **(headers or {})}.items()
        ]
        out = self._http.send(h11.Request(method=method, target=path, headers=fields))
        if body:
            out += self._http.send(h11.Data(data=body))
        self.sock.sendall(out + self._http.send(h11.EndOfMessage()))
        return self._id

    def _next(self) -> Any:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(self.sock.recv(65_536))
        except (h11.RemoteProtocolError, ConnectionError) as exc:
            raise IncompleteResponse(str(exc)) from exc
        if isinstance(event, h11.ConnectionClosed):
            raise IncompleteResponse("connection closed")
        return event

    def head(self) -> PlatformAnswer:
        """Wait for the response head; return status and headers."""
        event = self._next()
        headers = {name.decode(): value.decode() for name, value in event.headers}
        return PlatformAnswer(self._id, event.status_code, headers)

    def pieces(self) -> Iterator[bytes]:
        """Yield the parts of the body as they arrive."""
        while not isinstance(event := self._next(), h11.EndOfMessage):
            yield bytes(event.data)

    def events(self) -> Iterator[PlatformEvent]:
        """Yield the events of a stream as they arrive.

        May be called again to read on after the loop was left.
        """
        for piece in self.pieces():
            self._rest += piece
            *blocks, self._rest = self._rest.split(b"\n\n")
            for block in blocks:
                lines = (line.partition(": ") for line in block.decode().split("\n"))
                fields = {name: value for name, _, value in lines}
                yield PlatformEvent(int(fields["id"]), fields["data"])
        assert not self._rest, "stream ended in the middle of an event"

    def answer(self) -> PlatformAnswer:
        """Return the complete response to the last request."""
        head = self.head()
        body = b"".join(self.pieces())
        return PlatformAnswer(head.id, head.status, head.headers, body)

    def ask(self, path: str, body: bytes = b"", **options: Any) -> PlatformAnswer:
        """Send a request and return its response."""
        self.send(path, body, **options)
        return self.answer()

    def silent(self) -> bool:
        """Whether no unsolicited bytes have arrived."""
        self.sock.setblocking(False)
        try:
            return not self.sock.recv(1)
        except BlockingIOError:
            return True
        finally:
            self.sock.settimeout(TIMEOUT_S)

    def close(self, *, reset: bool = False) -> None:
        """Close the connection, also in the middle of a response.

        Args:
            reset: Whether to close it by a TCP reset.
        """
        if reset:
            self.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.sock.close()


def ask_once(address: tuple[str, int], path: str, **options: Any) -> PlatformAnswer:
    """Make one request on a new connection."""
    client = PlatformClient(address)
    try:
        return client.ask(path, **options)
    finally:
        client.close()
