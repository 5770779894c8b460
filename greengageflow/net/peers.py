"""Messages between routers over ZeroMQ.

Each router binds one PULL socket and opens a PUSH socket to another router with the
first message to it. Delivery is best effort: messages to a router that is slow,
unreachable or unknown are dropped and counted, and never block the event loop.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

import zmq
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller, Poller
from circuits.core.utils import findcmp

from greengageflow.core.messages import PeerId
from greengageflow.net._peer_sockets import (
    bound_port,
    open_pull_socket,
    open_push_socket,
)
from greengageflow.net.wire import MessageError, decode, encode

MAX_MESSAGES_PER_DRAIN = 500

OnMessage = Callable[[PeerId, Any], None]


class Drain(Event):
    """Continues to read the inbox, which may still hold messages."""


@dataclass(slots=True)
class PeerCounters:
    """Counters of one router's control traffic since it started.

    Args:
        messages_in: Messages received and decoded.
        messages_out: Messages handed to ZeroMQ.
        bytes_in: Bytes received, without ZeroMQ and TCP framing.
        bytes_out: Bytes handed to ZeroMQ, without framing.
        dropped: Messages dropped because the peer has no address, is slow or is
            unreachable.
        broken: Messages received that failed to decode.
        out_by_type: Bytes handed to ZeroMQ, by name of the message type.
    """

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: int = 0
    broken: int = 0
    out_by_type: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _Outbound:
    """One outgoing socket and the messages queued until it is connected."""

    sock: zmq.Socket
    fd: int
    used_at: float
    queue: deque[tuple[float, str, bytes]] = field(default_factory=deque)
    is_polled: bool = False


class PeerLink(BaseComponent):
    """Sends messages to other routers and dispatches received ones.

    Args:
        identity: Host and boot time of this router; sent with each message.
        ip: IP number to listen on.
        port: TCP port to listen on; 0 selects a free one (see ``port``).
        on_message: Called on the event loop with the sender and the message.
        source_ip: Local address of outgoing connections; ``ip`` by default.
        queue_limit: Maximum number of messages queued in ZeroMQ per peer.
        wait_limit: Maximum number of messages that wait for a connection, per peer.
        wait_s: Maximum seconds that a message waits for a connection.
        idle_s: Seconds after which an unused outgoing connection is closed.

    Example:
        >>> link = PeerLink(PeerId("r1", 1), "127.0.0.1", 7000, router.receive)
        >>> link.register(app)
        >>> link.set_address("r2", "127.0.0.2", 7000)
        >>> link.send("r2", WorkCall("scribe", 3))
    """

    channel = "peers"

    def __init__(
        self,
        identity: PeerId,
        ip: str,
        port: int,
        on_message: OnMessage,
        *,
        source_ip: str | None = None,
        queue_limit: int = 1000,
        wait_limit: int = 200,
        wait_s: float = 1.0,
        idle_s: float = 10.0,
        channel: str = channel,
    ) -> None:
        super().__init__(channel=channel)
        self.identity = identity
        self.counters = PeerCounters()
        self._on_message = on_message
        self._source_ip = source_ip or ip
        self._queue_limit = queue_limit
        self._wait_limit = wait_limit
        self._wait_s = wait_s
        self._idle_s = idle_s
        self._addresses: dict[str, tuple[str, int]] = {}
        self._outbounds: OrderedDict[str, _Outbound] = OrderedDict()
        self._hosts_by_fd: dict[int, str] = {}
        self._poller: BasePoller | None = None
        self._drain_scheduled = False
        self._context = zmq.Context()
        self._inbox = open_pull_socket(self._context, ip, port, queue_limit)
        self._inbox_fd: int = self._inbox.getsockopt(zmq.FD)

    @property
    def port(self) -> int:
        """TCP port of the listening socket."""
        return bound_port(self._inbox)

    @property
    def connections(self) -> int:
        """Number of open outgoing sockets."""
        return len(self._outbounds)

    def set_address(self, host: str, ip: str, port: int) -> None:
        """Set the address of ``host``; a connection to its old address is closed."""
        if self._addresses.get(host) != (ip, port):
            self._close_outbound(host)
            self._addresses[host] = (ip, port)

    def disconnect(self, host: str) -> None:
        """Close the connection to ``host`` and drop its queued messages.

        The address is kept, so that a later message opens a new connection.
        """
        self._close_outbound(host)

    def send(self, to_host: str, message: Any) -> None:
        """Send ``message`` to the router on ``to_host``, best effort."""
        now = monotonic()
        self._close_idle(now)
        outbound = self._get_outbound(to_host, now)
        if outbound is None:
            self.counters.dropped += 1
            return
        kind = type(message).__name__
        outbound.queue.append((now, kind, encode(self.identity, message)))
        self._flush(outbound, now)

    def close(self, *, linger_s: float = 0.0) -> None:
        """Close all sockets.

        Args:
            linger_s: Seconds for which to wait until queued messages are sent; an
                upper bound on how long this call blocks.
        """
        if self._context.closed:
            return
        for host in list(self._outbounds):
            self._close_outbound(host, linger_s)
        if self._poller is not None:
            self._poller.discard(self._inbox_fd)
        self._inbox.close(linger=0)
        self._context.term()

    def _get_outbound(self, host: str, now: float) -> _Outbound | None:
        outbound = self._outbounds.get(host)
        if outbound is None:
            address = self._addresses.get(host)
            if address is None:
                return None
            outbound = self._outbounds[host] = self._open_outbound(*address, now)
            self._hosts_by_fd[outbound.fd] = host
        outbound.used_at = now
        self._outbounds.move_to_end(host)
        return outbound

    def _open_outbound(self, ip: str, port: int, now: float) -> _Outbound:
        sock = open_push_socket(
            self._context, self._source_ip, ip, port, self._queue_limit
        )
        return _Outbound(sock, sock.getsockopt(zmq.FD), now)

    def _close_outbound(self, host: str, linger_s: float = 0.0) -> None:
        outbound = self._outbounds.pop(host, None)
        if outbound is None:
            return
        del self._hosts_by_fd[outbound.fd]
        self._poll_outbound(outbound, False)
        self.counters.dropped += len(outbound.queue)
        outbound.sock.close(linger=int(linger_s * 1000))

    def _close_idle(self, now: float) -> None:
        while self._outbounds:
            host, outbound = next(iter(self._outbounds.items()))
            if now - outbound.used_at < self._idle_s:
                return
            self._close_outbound(host)

    def _flush(self, outbound: _Outbound, now: float) -> None:
        """Send queued messages in order until ZeroMQ accepts no more."""
        queue = outbound.queue
        while queue:
            queued_at, kind, data = queue[0]
            if now - queued_at > self._wait_s or len(queue) > self._wait_limit:
                queue.popleft()
                self.counters.dropped += 1
                continue
            try:
                outbound.sock.send(data, zmq.NOBLOCK)
            except zmq.Again:
                break
            queue.popleft()
            self._count_sent(kind, len(data))
        self._poll_outbound(outbound, bool(queue))

    def _count_sent(self, kind: str, size: int) -> None:
        self.counters.messages_out += 1
        self.counters.bytes_out += size
        self.counters.out_by_type[kind] += size

    def _poll_outbound(self, outbound: _Outbound, wanted: bool) -> None:
        """Poll an outgoing socket only while messages are queued for it.

        Its descriptor becomes readable on each internal ZeroMQ event and stays
        readable until the socket is used. Polled all the time, it would make the
        event loop spin.
        """
        if self._poller is None or outbound.is_polled == wanted:
            return
        outbound.is_polled = wanted
        if wanted:
            self._poller.addReader(self, outbound.fd)
        else:
            self._poller.discard(outbound.fd)

    @handler("registered", "started", channel="*")
    def _on_registered(self, component: Any, *_: Any) -> None:
        if self._poller is not None:
            return
        poller = findcmp(self.root, BasePoller)
        if poller is None:
            if component is not self:
                return
            poller = Poller().register(self)
        self._poller = poller
        poller.addReader(self, self._inbox_fd)
        self._schedule_drain()
        for outbound in self._outbounds.values():
            self._flush(outbound, monotonic())

    @handler("stopped", channel="*")
    def _on_stopped(self, *_: Any) -> None:
        self.close()

    @handler("_read")
    def _on_readable(self, fd: int) -> None:
        if fd == self._inbox_fd:
            self._drain()
        elif (host := self._hosts_by_fd.get(fd)) is not None:
            self._flush(self._outbounds[host], monotonic())

    @handler("Drain")
    def _on_drain(self) -> None:
        self._drain_scheduled = False
        self._drain()

    def _schedule_drain(self) -> None:
        if not self._drain_scheduled:
            self._drain_scheduled = True
            self.fire(Drain(), self)

    def _drain(self) -> None:
        """Read a bounded number of messages; schedule another pass if more may wait.

        ZeroMQ's descriptor is edge-triggered: after one message has been read, it
        signals no others until the next arrives. Remaining messages have to be
        scheduled here, also when a message handler fails.
        """
        errors = []
        for _ in range(MAX_MESSAGES_PER_DRAIN):
            try:
                if not self._receive_one():
                    break
            except Exception as exc:
                errors.append(exc)
        else:
            self._schedule_drain()
        if errors:
            raise ExceptionGroup("handling peer messages failed", errors)

    def _receive_one(self) -> bool:
        if self._context.closed:
            return False
        try:
            data = self._inbox.recv(zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._receive(data)
        return True

    def _receive(self, data: bytes) -> None:
        self.counters.bytes_in += len(data)
        try:
            sender, message = decode(data)
        except MessageError:
            self.counters.broken += 1
            return
        self.counters.messages_in += 1
        self._on_message(sender, message)
