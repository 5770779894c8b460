"""A blocking client of the platform's client protocol."""

from collections.abc import Iterator
from dataclasses import dataclass
from secrets import token_hex
from socket import SO_LINGER, SOL_SOCKET, create_connection
from struct import pack
from typing import Any

import h11

from greengageflow.lab._processes import LIMIT_S
from greengageflow.platform.names import CREDENTIAL, DEADLINE_MS, REQUEST_ID

DEFAULT_DEADLINE_MS = 20_000


class Torn(Exception):
    """The connection ended, or what came is no HTTP, before the answer was whole."""


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A whole answer; header names are in lower case."""

    id: str
    status: int
    headers: dict[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class PlatformEvent:
    """One event of a stream."""

    id: int
    data: str


class PlatformClient:
    """One kept connection; requests go one after the other.

    Args:
        address: IP number and port.
        source: Local IP number, None for any.
    """

    def __init__(self, address: tuple[str, int], source: str | None = None) -> None:
        local = (source, 0) if source else None
        self.sock = create_connection(address, LIMIT_S, local)
        self._http = h11.Connection(h11.CLIENT)
        self._id = ""
        self._rest = b""

    @property
    def unused(self) -> bool:
        """Whether no request was sent on the connection yet."""
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
            (one, str(value)) for one, value in {**lines, **(headers or {})}.items()
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
            raise Torn(str(exc)) from exc
        if isinstance(event, h11.ConnectionClosed):
            raise Torn("closed")
        return event

    def head(self) -> PlatformAnswer:
        """Return status and headers, once they are there."""
        event = self._next()
        headers = {name.decode(): value.decode() for name, value in event.headers}
        return PlatformAnswer(self._id, event.status_code, headers)

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it comes."""
        while not isinstance(event := self._next(), h11.EndOfMessage):
            yield bytes(event.data)

    def events(self) -> Iterator[PlatformEvent]:
        """Yield the events of a stream as they come; go on after a break."""
        for piece in self.pieces():
            self._rest += piece
            *blocks, self._rest = self._rest.split(b"\n\n")
            for block in blocks:
                lines = (line.partition(": ") for line in block.decode().split("\n"))
                fields = {name: value for name, _, value in lines}
                yield PlatformEvent(int(fields["id"]), fields["data"])
        assert not self._rest, "the stream ended within an event"

    def answer(self) -> PlatformAnswer:
        """Return the whole answer to what was sent."""
        head = self.head()
        body = b"".join(self.pieces())
        return PlatformAnswer(head.id, head.status, head.headers, body)

    def ask(self, path: str, body: bytes = b"", **options: Any) -> PlatformAnswer:
        """Send a request and return its answer."""
        self.send(path, body, **options)
        return self.answer()

    def silent(self) -> bool:
        """Whether nothing has come that was not asked for."""
        self.sock.setblocking(False)
        try:
            return not self.sock.recv(1)
        except BlockingIOError:
            return True
        finally:
            self.sock.settimeout(LIMIT_S)

    def close(self, *, reset: bool = False) -> None:
        """Leave, also midway."""
        if reset:
            self.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.sock.close()


def ask_once(address: tuple[str, int], path: str, **options: Any) -> PlatformAnswer:
    """Make one request on a connection of its own."""
    client = PlatformClient(address)
    try:
        return client.ask(path, **options)
    finally:
        client.close()
