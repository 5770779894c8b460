"""Outgoing HTTP/1.1 connection: a non-blocking socket and a response parser."""

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from errno import EINPROGRESS
from http import HTTPStatus
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
    BadMessage,
    Body,
    Framing,
    Head,
    ResponseEnd,
    ResponseParser,
)
from greengageflow.net._http_write import request_head
from greengageflow.net._sent_requests import SentRequests
from greengageflow.net.http_messages import Verdict

READ_SIZE = 65_536
IP_BIND_ADDRESS_NO_PORT = 24
NOTHING = memoryview(b"")
MAX_COPIED_BODY_BYTES = 65_536
"""Maximum size of a request body that is copied to be sent together with its head."""
MAX_OVERHEAD_BYTES = 1_048_576
"""Maximum size of what a response has beside its body, in bytes.

That is empty lines, interim responses, chunk headers, trailers and responses to other
requests. A faulty server may send any of these without end.
"""
OVERHEAD_PER_BODY_BYTE = 8
"""Overhead that each byte of a body is allowed in addition, for tiny chunks."""


class ResponseTruncated(Exception):
    """The server closed the connection before the response was complete."""


class InvalidResponse(Exception):
    """The response is not valid HTTP/1.1."""


@dataclass(frozen=True, slots=True)
class BodyData:
    """Body bytes received by one read.

    Args:
        data: The bytes.
        is_last: True if the end of the response was received with them; ``End`` is
            the next part.
    """

    data: bytes
    is_last: bool = False


@dataclass(frozen=True, slots=True)
class End:
    """End of a response.

    Args:
        reusable: True if the connection can carry another request.
        framing: What delimited the body. Only ``CLOSE`` does not prove that the
            response is complete.
    """

    reusable: bool
    framing: Framing


ResponsePart = Head | BodyData | End


class Connection:
    """Sends one request at a time and yields the parts of its response.

    Args:
        address: IP address and port of the server.
        source_ip: Local IP address to bind to, or None.

    Attributes:
        ends_when_sent: True if the response has ended in order while request bytes
            were unsent: it is complete once they are sent. Nothing is left to read.
        sent_requests: Requests that the connection has carried.
        verdict: What is known of the process at its other end, or None.

    Raises:
        OSError: The connection attempt failed immediately.
    """

    def __init__(self, address: tuple[str, int], source_ip: str | None) -> None:
        self.address = address
        self.sock = socket(AF_INET, SOCK_STREAM)
        try:
            self._start_connecting(source_ip)
        except OSError:
            self.sock.close()
            raise
        self.connected = False
        self.reused = False
        self.sent_any = False
        self.received_any = False
        self.ends_when_sent = False
        self.sent_requests = SentRequests()
        self.verdict: Verdict | None = None
        self._unsent = self._unsent_body = NOTHING
        self._peer_closed = False
        self._broken = False
        self._until_close = False
        self._accepts: Callable[[Head], bool] | None = None
        self._echo: tuple[str, str] | None = None
        self._keeps_rejected = self._may_keep = True
        self._skipping = False
        self._overhead_bytes = 0
        self._parser = ResponseParser()

    def _start_connecting(self, source_ip: str | None) -> None:
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
        """True while connecting or while request bytes are unsent."""
        return not self.connected or bool(self._unsent)

    def check_connected(self) -> None:
        """Check the result of connecting, once the socket is writable.

        Raises:
            OSError: Connecting failed.
        """
        code = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            raise OSError(code, "cannot connect")
        self.connected = True

    def prepare(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        *,
        until_close: bool = False,
        accepts: Callable[[Head], bool] | None = None,
        echo: tuple[str, str] | None = None,
        keeps_rejected: bool = True,
    ) -> None:
        """Prepare a request for ``flush``; see ``HttpRequest`` for the arguments.

        Raises:
            BadHead: The request is not valid HTTP.
        """
        self.sent_any = self.received_any = False
        self._peer_closed = self.ends_when_sent = False
        self._parser.expect(method)
        self._until_close = until_close
        self._accepts = accepts
        self._echo, self._keeps_rejected = echo, keeps_rejected
        self._skipping = False
        self._overhead_bytes = 0
        names = {name.lower() for name, _ in headers}
        extra: list[tuple[str, str]] = []
        if "host" not in names:
            extra.append(("host", f"{self.address[0]}:{self.address[1]}"))
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            extra.append(("content-length", str(len(body))))
        head = request_head(method, target, (*extra, *headers))
        if len(body) > MAX_COPIED_BODY_BYTES:
            self._unsent, self._unsent_body = memoryview(head), memoryview(body)
        else:
            self._unsent, self._unsent_body = memoryview(head + body), NOTHING

    def flush(self) -> None:
        """Send as many request bytes as the socket accepts.

        Raises:
            OSError: The connection failed.
        """
        while self._unsent:
            try:
                count = self.sock.send(self._unsent)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._broken = True
                raise
            self.sent_any = self.sent_any or count > 0
            self._unsent = self._unsent[count:]
            if not self._unsent:
                # Even an empty part would keep the whole request in memory.
                self._unsent, self._unsent_body = self._unsent_body, NOTHING

    def is_stale(self) -> bool:
        """Return True if an idle connection was closed or has received data."""
        try:
            self.sock.recv(1)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def receive(self) -> Iterator[ResponsePart]:
        """Read once and yield the parsed parts of the response.

        Raises:
            ResponseTruncated: The response was truncated.
            InvalidResponse: The response is not valid HTTP/1.1.
        """
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as exc:
            raise ResponseTruncated(str(exc)) from exc
        self.received_any = self.received_any or bool(data)
        if not data:
            self._peer_closed = True
        try:
            yield from self._parse(data)
        except BadMessage as exc:
            if self._peer_closed:
                raise ResponseTruncated(
                    "closed before the response was complete"
                ) from exc
            raise InvalidResponse(str(exc)) from exc

    def _parse(self, data: bytes) -> Iterator[ResponsePart]:
        body: list[bytes] = []
        self._overhead_bytes += len(data)
        events = self._parser.feed(data)
        for event in events:
            match event:
                case Head() as head:
                    self._skipping = not self._belongs_to_request(head)
                    if not self._skipping:
                        yield head
                case Body():
                    if not self._skipping:
                        body.append(event.data)
                        self._on_body_bytes(len(event.data))
                case ResponseEnd() if self._skipping:
                    # An endpoint may send a late response to an earlier request in
                    # place of the expected one. Skip it and wait for the next.
                    self._on_skipped_end(event)
                case ResponseEnd():
                    if body:
                        yield BodyData(b"".join(body), is_last=True)
                    yield self._end(event, is_last=self._is_last(events))
                    return
        if body:
            yield BodyData(b"".join(body))
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise InvalidResponse("too many bytes that belong to no body")
        if self._peer_closed:
            yield from self._end_by_close()

    def _belongs_to_request(self, head: Head) -> bool:
        self._may_keep = self._keeps_rejected or head.status == HTTPStatus.OK
        if self._echo is not None:
            name, request_id = self._echo
            echoed = head.header(name)
            if self.reused and not echoed:
                raise BadMessage("response on a kept connection names no request")
            if self.reused and echoed != request_id:
                return False
            self._may_keep &= echoed == request_id
        return self._accepts is None or self._accepts(head)

    def _on_body_bytes(self, count: int) -> None:
        allowed = (1 + OVERHEAD_PER_BODY_BYTE) * count
        self._overhead_bytes = max(0, self._overhead_bytes - allowed)

    def _on_skipped_end(self, end: ResponseEnd) -> None:
        if self._peer_closed or not end.keep_alive:
            raise ResponseTruncated("closed after the response to another request")
        self._skipping = False

    def _is_last(self, events: Iterator[object]) -> bool:
        """Return whether no data follows the response."""
        try:
            return next(events, None) is None and not self._parser.in_message
        except BadMessage:
            return False

    def _end(self, end: ResponseEnd, *, is_last: bool) -> End:
        # An idle connection must not keep its last request in memory.
        self._accepts = None
        reusable = end.keep_alive and is_last and self._may_keep
        reusable = reusable and not self._peer_closed and not self._unsent
        return End(reusable, self._parser.framing)

    def _end_by_close(self) -> Iterator[End]:
        # A body delimited by the end of the connection may have been truncated
        # anywhere, and the caller could not tell. It is accepted only on request.
        if not self._parser.until_close:
            raise ResponseTruncated("closed before the response was complete")
        if not self._until_close or self._skipping:
            raise ResponseTruncated("response has no length")
        # The system reports a reset once: after a failed write, reading finds an end
        # that looks orderly.
        if self._broken:
            raise ResponseTruncated("reset before the request was sent")
        # A server may respond before it has read the request. If it has gone instead,
        # its system resets the connection when the rest arrives.
        self.ends_when_sent = bool(self._unsent)
        if not self.ends_when_sent:
            yield self.end_by_close()

    def end_by_close(self) -> End:
        """Return the end of a response that the server ended with the connection."""
        return End(reusable=False, framing=self._parser.framing)

    def close(self) -> None:
        """Close the socket."""
        with suppress(OSError):
            self.sock.close()
