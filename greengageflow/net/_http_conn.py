"""One outgoing HTTP/1.1 connection: a non-blocking socket with a parser."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from errno import EINPROGRESS
from socket import (
    AF_INET,
    IPPROTO_IP,
    IPPROTO_TCP,
    SO_ERROR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

from greengageflow.net._http_parse import (
    AnswerEnd,
    AnswerReader,
    BadMessage,
    Body,
    Head,
)
from greengageflow.net._http_write import request_head

READ_SIZE = 65_536
IP_BIND_ADDRESS_NO_PORT = 24


class AnswerCut(Exception):
    """The other side closed the connection before its answer was whole."""


class AnswerBroken(Exception):
    """The other side sent something that is not HTTP/1.1."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """Body bytes that one read brought."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole.

    Args:
        reusable: True when the connection can carry another request.
    """

    reusable: bool


Arrival = Head | Chunk | End


class Connection:
    """Sends one request at a time and yields what arrives of its answer.

    Args:
        address: IP number and port of the other side.
        source_ip: Local IP number to bind to, or None.

    Raises:
        OSError: The connection cannot even be begun.
    """

    def __init__(self, address: tuple[str, int], source_ip: str | None) -> None:
        self.address = address
        self.sock = socket(AF_INET, SOCK_STREAM)
        try:
            self._begin(source_ip)
        except OSError:
            self.sock.close()
            raise
        self.connected = False
        self.reused = False
        self.sent_any = False
        self.heard_any = False
        self._out = memoryview(b"")
        self._closing = False
        self._until_close = False
        self._accepts: Callable[[Head], bool] | None = None
        self._skipping = False
        self._answers = AnswerReader()

    def _begin(self, source_ip: str | None) -> None:
        self.sock.setblocking(False)
        self.sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        if source_ip is not None:
            with suppress(OSError):
                self.sock.setsockopt(IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            self.sock.bind((source_ip, 0))
        code = self.sock.connect_ex(self.address)
        if code not in (0, EINPROGRESS):
            raise OSError(code, "cannot connect")

    @property
    def wants_write(self) -> bool:
        """True while connecting or while bytes of the request are left."""
        return not self.connected or bool(self._out)

    def check_connected(self) -> None:
        """Note the outcome of connecting, once the socket is writable.

        Raises:
            OSError: There is no connection.
        """
        code = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            raise OSError(code, "cannot connect")
        self.connected = True

    def load(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        *,
        until_close: bool = False,
        accepts: Callable[[Head], bool] | None = None,
    ) -> None:
        """Make a request ready to be sent by ``flush``; see ``HttpRequest``.

        Raises:
            BadHead: The request is not valid HTTP.
        """
        self.sent_any = self.heard_any = self._closing = False
        self._answers.expect(method)
        self._until_close = until_close
        self._accepts = accepts
        self._skipping = False
        names = {name.lower() for name, _ in headers}
        extra: list[tuple[str, str]] = []
        if "host" not in names:
            extra.append(("host", f"{self.address[0]}:{self.address[1]}"))
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            extra.append(("content-length", str(len(body))))
        head = request_head(method, target, (*extra, *headers))
        self._out = memoryview(head + body)

    def flush(self) -> None:
        """Send what the socket takes.

        Raises:
            OSError: The connection broke.
        """
        while self._out:
            try:
                count = self.sock.send(self._out)
            except (BlockingIOError, InterruptedError):
                return
            self.sent_any = self.sent_any or count > 0
            self._out = self._out[count:]

    def is_stale(self) -> bool:
        """Return True when an idle connection was closed or spoken on."""
        try:
            self.sock.recv(1)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def receive(self) -> Iterator[Arrival]:
        """Read once and yield what it brought.

        Raises:
            AnswerCut: The answer ended too early.
            AnswerBroken: The answer is not HTTP/1.1.
        """
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as exc:
            raise AnswerCut(str(exc)) from exc
        self.heard_any = self.heard_any or bool(data)
        if not data:
            self._closing = True
        try:
            yield from self._arrivals(data)
        except BadMessage as exc:
            if self._closing:
                raise AnswerCut("closed before the answer was whole") from exc
            raise AnswerBroken(str(exc)) from exc

    def _arrivals(self, data: bytes) -> Iterator[Arrival]:
        body: list[bytes] = []
        events = self._answers.feed(data)
        for event in events:
            match event:
                case Head() as head:
                    self._skipping = not (self._accepts is None or self._accepts(head))
                    if not self._skipping:
                        yield head
                case Body():
                    if not self._skipping:
                        body.append(event.data)
                case AnswerEnd() if self._skipping:
                    # An endpoint may answer an earlier request late, where the next
                    # answer is due.
                    self._go_on_after_skipped(event)
                case AnswerEnd():
                    if body:
                        yield Chunk(b"".join(body))
                    yield self._end(event, is_last=self._is_last(events))
                    return
        if body:
            yield Chunk(b"".join(body))
        if self._closing:
            yield self._end_by_close()

    def _go_on_after_skipped(self, end: AnswerEnd) -> None:
        if self._closing or not end.keep_alive:
            raise AnswerCut("closed after the answer to another request")
        self._skipping = False

    def _is_last(self, events: Iterator[object]) -> bool:
        """Return whether nothing follows the answer."""
        try:
            return next(events, None) is None and not self._answers.begun
        except BadMessage:
            return False

    def _end(self, end: AnswerEnd, *, is_last: bool) -> End:
        return End(end.keep_alive and is_last and not self._closing and not self._out)

    def _end_by_close(self) -> End:
        # A body that ends with the connection may have been cut anywhere; the
        # caller would take half an answer for a whole one.
        if not self._answers.until_close:
            raise AnswerCut("closed before the answer was whole")
        if not self._until_close or self._skipping:
            raise AnswerCut("the answer's length is unknown")
        return End(reusable=False)

    def close(self) -> None:
        """Close the socket."""
        with suppress(OSError):
            self.sock.close()
