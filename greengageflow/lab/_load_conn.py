"""HTTP/1.1 connection of the load generator, with h11 and ``selectors``."""

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from time import monotonic

import h11

MAX_READ_BYTES = 65_536

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request to send."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, eq=False)
class Exchange:
    """State of the answer to one request; times are monotonic seconds.

    Args:
        sent: Time when the request was handed to the connection.
        times: Arrival time of each part of the body.
        ended_at: Time when the exchange ended or failed.
        ended: Whether the HTTP message is complete.
        failure: Reason why the connection failed, or empty.
    """

    sent: float
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    parts: list[bytes] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    ended_at: float = 0.0
    ended: bool = False
    failure: str = ""

    @property
    def data(self) -> bytes:
        """Body received so far."""
        return b"".join(self.parts)


class LoadConnection:
    """A connection that carries one exchange at a time.

    Args:
        selector: Selector of the event loop, which calls a key's data with the event
            mask.
        address: Router to connect to.

    Attributes:
        usable: Whether the connection can carry another exchange.
        exchange: Current exchange, or None.
    """

    def __init__(self, selector: BaseSelector, address: Address) -> None:
        self.address = address
        self.usable = True
        self._selector = selector
        self._http = h11.Connection(h11.CLIENT)
        self.exchange: Exchange | None = None
        self._on_end: Callable[[Exchange], None] | None = None
        self._send_buffer = b""
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A refused connection raises an error on the first write or read.
        self._sock.connect_ex(address)
        selector.register(self._sock, EVENT_READ, self._on_ready)

    def send(self, call: HttpCall, on_end: Callable[[Exchange], None]) -> Exchange:
        """Start an exchange; ``on_end`` is called once, when it ends or fails."""
        self.exchange = Exchange(monotonic())
        self._on_end = on_end
        headers = [("Host", f"{self.address[0]}:{self.address[1]}"), *call.headers]
        headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(method=call.method, target=call.path, headers=headers)
        parts = [request, h11.Data(data=call.body), h11.EndOfMessage()]
        self._send_buffer = b"".join(map(self._http.send, parts))
        self._selector.modify(self._sock, EVENT_READ | EVENT_WRITE, self._on_ready)
        return self.exchange

    def close(self, reason: str = "") -> None:
        """Close the connection; a current exchange fails with ``reason``."""
        if not self.usable:
            return
        self.usable = False
        with suppress(KeyError):
            self._selector.unregister(self._sock)
        self._sock.close()
        if self.exchange is not None:
            self.exchange.failure = reason
            self._finish()

    def _finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        exchange.ended_at = monotonic()
        self._on_end(exchange)

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & EVENT_WRITE:
                self._write()
            if mask & EVENT_READ:
                self._read()
        except BlockingIOError:
            return
        except (OSError, h11.RemoteProtocolError) as exc:
            self.close(type(exc).__name__)

    def _write(self) -> None:
        self._send_buffer = self._send_buffer[self._sock.send(self._send_buffer) :]
        if not self._send_buffer:
            self._selector.modify(self._sock, EVENT_READ, self._on_ready)

    def _read(self) -> None:
        data = self._sock.recv(MAX_READ_BYTES)
        if self.exchange is None:
            # Only the end of the stream can be read on an idle connection.
            self.close()
            return
        self._http.receive_data(data)
        while self.exchange is not None and self._handle_event(self._http.next_event()):
            pass
        if not data:
            self.close("closed early")

    def _handle_event(self, event: object) -> bool:
        exchange = self.exchange
        match event:
            case h11.Response():
                exchange.status = event.status_code
                exchange.headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            case h11.Data():
                exchange.parts.append(bytes(event.data))
                exchange.times.append(monotonic())
            case h11.EndOfMessage():
                exchange.ended = True
                self._next_cycle()
                self._finish()
            case h11.InformationalResponse():
                pass
            case _:
                return False
        return True

    def _next_cycle(self) -> None:
        if self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._http.start_next_cycle()
            return
        self.usable = False
        self._selector.unregister(self._sock)
        self._sock.close()
