"""Gateway processes whose endpoints, or whose store, send bytes without end."""

import re
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from threading import Event
from time import monotonic

import pytest
from http_fakes import FakePeer
from test_endless_bytes import ENDLESS, OK
from test_odd_entries import entry

from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    configuration,
    generation,
    route,
)
from greengageflow.platform.names import KV_LIST, SERVERS_TOPIC
from tests.support import wait_for

MEMORY_MB = 128
SOUND = "/sound/"
PORTS = {"callers": 7300, "ready": 7301, "gossip": 7400}
CALLERS = 16
DEADLINE_MS = 1_500
SOUND_DEADLINE_MS = 10_000
RUN_TIMEOUT_S = 60.0
MIN_SERVED = 20
ID = b"x-greengageflow-request-id: %s\r\nx-greengageflow-response-seal: s\r\n"
OWN_HEAD = OK + ID
EVENT = b"id: %d\ndata: x\n\n"
OWN = {
    "whole body": (OWN_HEAD + b"\r\n", b"x" * 65_536),
    "whole body in chunks": (
        OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        (b"1000\r\n" + b"x" * 4_096 + b"\r\n") * 16,
    ),
    "body of a great length": (
        OWN_HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * 65_536,
    ),
    "event without an end": (OWN_HEAD + b"\r\nid: 1\ndata: ", b"x" * 65_536),
    "event of lines": (OWN_HEAD + b"\r\n", b"data: x\n" * 8_192),
    "events": (OWN_HEAD + b"\r\n", b"data: x\n\n" * 8_192),
    "answer to another request": (
        OK + b"x-greengageflow-request-id: z\r\n\r\n",
        b"x" * 65_536,
    ),
    "refusal": (
        OWN_HEAD.replace(b"200 OK", b"503 -")
        + b"x-greengageflow-not-executed: 1\r\n\r\n",
        b"x" * 65_536,
    ),
}
FORMS = {**ENDLESS, **OWN}
MANY = ("chunks", "whole body in chunks") * 12
REQUEST_ID = re.compile(rb"x-greengageflow-request-id: (\S+)", re.IGNORECASE)


class EndlessPeer:
    """Answers each request with bytes that end only with the connection."""

    def __init__(self, begin, again):
        self.open, self.stopped = 0, Event()
        self._begin, self._again = begin, again
        self.peer = FakePeer(self._run)
        self.address = f"127.0.0.1:{self.peer.port}"

    def paths(self):
        """Return the targets of the requests so far."""
        return [request.split(b" ", 2)[1].decode() for request in self.peer.requests]

    def _run(self, conn, _number):
        request = conn.request()
        found = REQUEST_ID.search(request)
        begin = self._begin
        if b"%s" in begin:
            begin = begin.replace(b"%s", found[1] if found else b"none")
        self.open += 1
        try:
            conn.send(begin)
            while not self.stopped.is_set():
                conn.send(self._again)
        finally:
            self.open -= 1

    def close(self):
        self.stopped.set()
        self.peer.close()


class LimitedLab(PlatformLab):
    """A lab whose gateways have the memory of a small host."""

    def launch_router(self, name):
        self.settings[name]["max_memory_mb"] = MEMORY_MB
        return super().launch_router(name)


@pytest.fixture(name="peers")
def peers_fixture():
    peers = []

    def add(form):
        peers.append(EndlessPeer(*FORMS[form]))
        return peers[-1]

    yield add
    for peer in peers:
        peer.close()


def peak_mb(lab, name):
    """Return the peak of a gateway's resident memory so far."""
    status = Path(f"/proc/{lab.routers[name].pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024


def ask(lab, path, deadline_ms=DEADLINE_MS):
    headers = generation(4, ("p", 50)) if path in (CHAT, NON_RESUMABLE_CHAT) else {}
    options = {"key": KEY, "headers": headers, "deadline_ms": deadline_ms}
    client = lab.client()
    client.sock.settimeout(2 * deadline_ms / 1000)
    try:
        with suppress(IncompleteResponse, TimeoutError):
            client.send(path, **options)
            head = client.head()
            size = 0
            for piece in client.pieces():
                # Endless valid streams are read for a while, then left.
                size += len(piece)
                if size > 1_048_576:
                    return None
            return head.status
    finally:
        client.close()
    return None


def soundly_served(lab, stop):
    """Ask for a service whose endpoints are sound until ``stop``; return statuses."""
    statuses = []
    while not stop.is_set():
        statuses.append(ask(lab, SOUND, SOUND_DEADLINE_MS))
    return statuses


def with_sound_service():
    config = configuration(2)
    sound = {"name": "sound", "health_path": "/health", "max_conns": 200}
    return configuration(
        2,
        routes=[*config["routes"], route("sound", SOUND, "sound", "idempotent")],
        services=[*config["services"], sound],
    )


def list_peers(lab, add, forms, service):
    peers = {f"{service}-x{n}": add(form) for n, form in enumerate(forms)}
    for name, peer in peers.items():
        row = name.encode(), entry(peer.address, service=service)
        lab.append_raw(SERVERS_TOPIC, row)
    return peers


@pytest.mark.parametrize(
    "forms", [ENDLESS, OWN, MANY], ids=["no answer", "answer", "many"]
)
def test_endless_bytes_of_many_endpoints_end_no_gateway(peers, forms):
    """A gateway kept what faulty endpoints sent and ran out of memory."""
    stop = Event()
    with LimitedLab(PlatformShape(plain=1, engines=1)) as lab:
        lab.publish(with_sound_service())
        lab.add_replica("sound-0", service="sound")
        wait_for(lambda: ask(lab, SOUND) == 200, "the sound service")
        found = list_peers(lab, peers, forms, "app")
        engines = list_peers(lab, peers, forms, "scribe")
        with ThreadPoolExecutor(CALLERS + 1) as threads:
            served = threads.submit(soundly_served, lab, stop)
            ends_at, statuses = monotonic() + RUN_TIMEOUT_S, set()
            try:
                while monotonic() < ends_at and not _all_asked(found, engines):
                    paths = [SAFE, UNSAFE, CHAT, NON_RESUMABLE_CHAT] * (CALLERS // 4)
                    statuses |= set(threads.map(lambda path: ask(lab, path), paths))
            finally:
                stop.set()
        assert _all_asked(found, engines)
        assert lab.routers["r0"].popen.poll() is None
        assert peak_mb(lab, "r0") < MEMORY_MB
        sound = served.result()
        assert sound.count(200) >= MIN_SERVED and set(sound) <= {200, 429, 503}
        assert statuses <= {200, 429, 502, 503, 504, None}
        everyone = [*found.values(), *engines.values()]
        wait_for(lambda: not any(p.open for p in everyone), "connections are closed")


def _all_asked(found, engines):
    asked = all(peer.paths() for peer in found.values())
    listed = all(KV_LIST in peer.paths() for peer in engines.values())
    streamed = sum(len(set(peer.paths())) > 1 for peer in engines.values())
    return asked and listed and streamed == len(engines)


@pytest.mark.parametrize("form", ["body without a length", "headers", "chunks"])
def test_endless_bytes_of_the_store_end_no_gateway(peers, form):
    """All topics are read at once, and each read has a large limit."""
    with LimitedLab(PlatformShape(plain=1)) as lab:
        peer = peers(form)
        name = f"r{len(lab.settings)}"
        lab.settings[name] = {
            **lab.settings["r0"],
            "host": name,
            "ip": (ip := lab.subnet.host(30)),
            **{key: f"{ip}:{port}" for key, port in PORTS.items()},
            "store": peer.address,
            "seeds": [],
        }
        lab.launch_router(name)
        wait_for(lambda: len(peer.paths()) > 12, "the store is asked again and again")
        assert lab.routers[name].popen.poll() is None
        assert lab.readiness_status(name) != 200
        assert peak_mb(lab, name) < MEMORY_MB
