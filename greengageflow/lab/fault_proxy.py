"""Fault-injecting TCP and UDP proxy, run as a separate process.

``python -m greengageflow.lab.fault_proxy IP``

It prints the address of its control port. Each command is a JSON line and gets a JSON
line as its response:

- ``{"op": "route", "name", "target": [host, port], "listen": [host, port]}`` opens a
  listener and returns its address. A repeated call changes the target. In data sent to
  the target, ``texts`` (old to new, of equal length) are replaced: a router that
  advertises its own address advertises the proxy's instead, so that its peers keep
  using the proxy.
- ``{"op": "datagrams", "name", "target", "listen", "texts"}`` relays datagrams. Here
  the texts are IP addresses, which are also replaced in their 4-byte form.
- ``{"op": "refused"}`` returns the connections whose target did not listen: route,
  client port and time (monotonic seconds).
- ``{"op": "rules", "rules": [...]}`` replaces all rules. A rule has ``do`` (an
  ``Action``) and optionally ``source`` (the client's IP address), ``route``, ``way``
  (``up`` to the target or ``down``), ``delay_s``, and ``times``, the maximum number of
  connections it applies to. The first rule that matches a connection applies. ``part``
  is the fraction of datagrams that ``lose`` drops; ``delay`` delays datagrams, and all
  other actions drop them.

The connection to the target uses the client's IP address as its source address.
"""

import json
import socket
import struct
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from errno import ECONNREFUSED, ENOTCONN
from functools import partial
from random import random
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector

RECV_BYTES = 65_536
MAX_QUEUED_CHUNKS = 64
LINGER_RESET = struct.pack("ii", 1, 0)


class Action(StrEnum):
    """Fault that a rule injects."""

    CUT = "cut"  # reset existing and new connections
    FREEZE = "freeze"  # hold all bytes until the rule is removed
    DELAY = "delay"  # forward all bytes after a delay
    HALF_OPEN = "half_open"  # accept, discard, never respond, even without the rule
    DROP_REPLY = "drop_reply"  # forward the request, reset at the response's first byte
    LOSE = "lose"  # datagrams only: drop a fraction of them


@dataclass(slots=True, eq=False)
class Rule:
    """Fault for the connections or datagrams that match."""

    do: Action
    source: str | None = None
    route: str | None = None
    way: str | None = None
    delay_s: float = 0.0
    times: int | None = None
    part: float = 1.0
    taken: set["Link"] = field(default_factory=set)

    def matches(self, link: "Link") -> bool:
        """Whether the rule applies to a connection; counts the connection if so."""
        in_scope = self.source in (None, link.source) and self.route in (
            None,
            link.route,
        )
        exhausted = self.times is not None and len(self.taken) >= self.times
        if not in_scope or (exhausted and link not in self.taken):
            return False
        self.taken.add(link)
        return True

    def matches_datagram(self, relay: "Relay", source: str) -> bool:
        """Whether the rule applies to a datagram."""
        return self.route == relay.route and self.source in (None, source)


def replace_texts(data: bytes, texts: dict[str, str]) -> bytes:
    """Return the bytes with each text replaced."""
    for old, new in texts.items():
        data = data.replace(old.encode(), new.encode())
    return data


@dataclass(eq=False)
class Relay:
    """Forwards the datagrams of one route."""

    route: str
    target: tuple[str, int]
    sock: socket.socket
    texts: dict[str, str]
    queue: deque[tuple[float, bytes]] = field(default_factory=deque)

    def read(self, rules: list[Rule], mask: int) -> None:
        """Receive one datagram and apply the first rule that matches."""
        data, (source, _) = self.sock.recvfrom(RECV_BYTES)
        data = replace_texts(data, self.texts)
        for old, new in self.texts.items():
            data = data.replace(socket.inet_aton(old), socket.inet_aton(new))
        rule = next(
            (rule for rule in rules if rule.matches_datagram(self, source)), None
        )
        now = time.monotonic()
        match rule:
            case None:
                self.queue.append((now, data))
            case Rule(do=Action.DELAY):
                self.queue.append((now + rule.delay_s, data))
            case Rule(do=Action.LOSE) if random() >= rule.part:
                self.queue.append((now, data))
        self.forward_due()

    def forward_due(self) -> None:
        """Forward all datagrams that are due."""
        while self.queue and self.queue[0][0] <= time.monotonic():
            with suppress(OSError):
                self.sock.sendto(self.queue.popleft()[1], self.target)


@dataclass(slots=True, eq=False)
class Flow:
    """One direction of a connection; the queue holds (due time, bytes)."""

    way: str
    src: socket.socket
    dst: socket.socket
    queue: deque[tuple[float, bytes]] = field(default_factory=deque)
    at_eof: bool = False

    def write(self) -> None:
        """Forward as much of the first queued chunk as the socket accepts."""
        due, data = self.queue.popleft()
        sent = 0
        try:
            sent = self.dst.send(data)
        finally:
            if sent < len(data):
                self.queue.appendleft((due, data[sent:]))


@dataclass(eq=False)
class Link:
    """One proxied connection."""

    route: str
    source: str
    port: int
    client: socket.socket
    server: socket.socket
    texts: dict[str, str]
    rule: Rule | None = None
    half_open: bool = False
    closed: bool = False

    def __post_init__(self) -> None:
        """Create the flows of both directions."""
        up = Flow("up", self.client, self.server)
        self.flows = up, Flow("down", self.server, self.client)

    def applies(self, action: Action, flow: Flow) -> bool:
        """Whether the current rule applies an action to one direction."""
        rule = self.rule
        return bool(rule) and rule.do is action and rule.way in (None, flow.way)


class Proxy:
    """All routes and rules of the proxy process."""

    def __init__(self) -> None:
        self._selector = DefaultSelector()
        self._rules: list[Rule] = []
        self._links: set[Link] = set()
        self._targets: dict[str, tuple[str, int]] = {}
        self._texts: dict[str, dict[str, str]] = {}
        self._listeners: dict[str, socket.socket] = {}
        self._relays: list[Relay] = []
        self._refused: list[tuple[str, int, float]] = []

    def run(self, host: str) -> None:
        """Print the control port's address and serve until the process ends."""
        host, port = self._listen((host, 0), self._accept_control).getsockname()
        print(json.dumps({"ready": True, "host": host, "port": port}), flush=True)
        wait_s = None
        while True:
            for key, mask in self._selector.select(wait_s):
                # An earlier event of this round may have closed the socket.
                if key.fileobj.fileno() >= 0:
                    key.data(mask)
            # Read the clock before the updates: data that becomes due meanwhile must
            # end the next wait.
            now = time.monotonic()
            for _, link in list(self._due_times()):
                self._update(link)
            for relay in self._relays:
                relay.forward_due()
            wait_s = self._next_wait_s(now)

    def _listen(self, address: tuple[str, int], callback: Callable) -> socket.socket:
        sock = socket.create_server(address, backlog=512)
        self._selector.register(sock, EVENT_READ, partial(callback, sock))
        return sock

    def _accept_control(self, listener: socket.socket, mask: int) -> None:
        conn, _ = listener.accept()
        callback = partial(self._on_control_readable, conn, conn.makefile("rw"))
        self._selector.register(conn, EVENT_READ, callback)

    def _on_control_readable(self, conn: socket.socket, file, mask: int) -> None:
        if line := file.readline():
            file.write(json.dumps(self._execute_command(json.loads(line))) + "\n")
            file.flush()
        else:
            self._selector.unregister(conn)
            conn.close()

    def _execute_command(self, command: dict) -> dict:
        match command:
            case {"op": "route", "name": name, "target": target, **options}:
                self._targets[name] = tuple(target)
                self._texts[name] = options.get("texts", {})
                if name not in self._listeners:
                    address = tuple(options.get("listen", ("127.0.0.1", 0)))
                    callback = partial(self._accept, name)
                    self._listeners[name] = self._listen(address, callback)
                return {"listen": self._listeners[name].getsockname()}
            case {"op": "datagrams", "name": name, "target": target, **options}:
                sock = socket.socket(type=socket.SOCK_DGRAM)
                sock.bind(tuple(options["listen"]))
                relay = Relay(name, tuple(target), sock, options["texts"])
                self._relays.append(relay)
                callback = partial(relay.read, self._rules)
                self._selector.register(sock, EVENT_READ, callback)
                return {"listen": sock.getsockname()}
            case {"op": "refused"}:
                return {"refused": self._refused}
            case {"op": "rules", "rules": rules}:
                self._rules[:] = [
                    Rule(**{**fields, "do": Action(fields["do"])}) for fields in rules
                ]
                for link in list(self._links):
                    self._apply_rules(link)
                return {"links": len(self._links)}
        return {"error": "unknown command"}

    def _accept(self, name: str, listener: socket.socket, mask: int) -> None:
        client, (source, port) = listener.accept()
        server = socket.socket()
        for sock in (client, server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(name, source, port, client, server, self._texts.get(name, {}))
        self._links.add(link)
        with suppress(OSError):
            server.bind((source, 0))
        self._apply_rules(link)
        if not (link.half_open or link.closed):
            # A failed connect shows up at the first read or write: as the connect's
            # error or, if connect_ex returned that already, as ENOTCONN.
            server.connect_ex(self._targets[name])

    def _apply_rules(self, link: Link) -> None:
        link.rule = next((rule for rule in self._rules if rule.matches(link)), None)
        if link.rule and link.rule.do is Action.CUT:
            self._close(link, reset=True)
        elif link.rule and link.rule.do is Action.HALF_OPEN:
            link.half_open = True
            self._set_interest(link, link.server, 0)
            link.server.close()
        self._update(link)

    def _close(self, link: Link, reset: bool = False) -> None:
        link.closed = True
        self._links.discard(link)
        for sock in (link.client, link.server):
            self._set_interest(link, sock, 0)
            if reset and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()

    def _set_interest(self, link: Link, sock: socket.socket, mask: int) -> None:
        registered = sock.fileno() >= 0 and self._selector.get_map().get(sock)
        if registered and not mask:
            self._selector.unregister(sock)
        elif registered and registered.events != mask:
            self._selector.modify(sock, mask, registered.data)
        elif mask and not registered:
            self._selector.register(sock, mask, partial(self._on_ready, link, sock))

    def _update(self, link: Link) -> None:
        if link.closed:
            return
        if link.half_open:
            self._set_interest(link, link.client, EVENT_READ)
            return
        now = time.monotonic()
        for reading, writing in (link.flows, link.flows[::-1]):
            frozen = link.applies(Action.FREEZE, reading)
            full = len(reading.queue) >= MAX_QUEUED_CHUNKS
            mask = 0 if reading.at_eof or full or frozen else EVENT_READ
            due = writing.queue and writing.queue[0][0] <= now
            if due and not link.applies(Action.FREEZE, writing):
                mask |= EVENT_WRITE
            self._set_interest(link, reading.src, mask)

    def _on_ready(self, link: Link, sock: socket.socket, mask: int) -> None:
        reading, writing = link.flows if sock is link.client else link.flows[::-1]
        try:
            if mask & EVENT_READ:
                self._read(link, reading)
            if mask & EVENT_WRITE and not link.closed:
                writing.write()
            # Half-closed connections are not supported: HTTP and ZeroMQ don't use them.
            if any(flow.at_eof and not flow.queue for flow in link.flows):
                self._close(link)
        except BlockingIOError:
            pass
        except OSError as exc:
            if exc.errno in (ECONNREFUSED, ENOTCONN):
                self._refused.append((link.route, link.port, time.monotonic()))
            self._close(link, reset=True)
        self._update(link)

    def _read(self, link: Link, flow: Flow) -> None:
        data = flow.src.recv(RECV_BYTES)
        if not data:
            flow.at_eof = True
        elif flow.way == "down" and link.applies(Action.DROP_REPLY, flow):
            self._close(link, reset=True)
        elif not link.half_open:
            data = replace_texts(data, link.texts) if flow.way == "up" else data
            delay_s = link.rule.delay_s if link.applies(Action.DELAY, flow) else 0
            due = time.monotonic() + delay_s
            # Keep the byte order: never due before data that is already queued.
            last = flow.queue[-1][0] if flow.queue else 0
            flow.queue.append((max(due, last), data))

    def _due_times(self) -> Iterator[tuple[float, Link]]:
        for link in self._links:
            for flow in link.flows:
                if flow.queue and not link.applies(Action.FREEZE, flow):
                    yield flow.queue[0][0], link

    def _next_wait_s(self, now: float) -> float | None:
        due_times = [due for due, _ in self._due_times()]
        due_times += [relay.queue[0][0] for relay in self._relays if relay.queue]
        next_due = min((due for due in due_times if due > now), default=None)
        return None if next_due is None else max(0.0, next_due - time.monotonic())


if __name__ == "__main__":
    Proxy().run(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1")
