"""Odd entries of another writer among the endpoints' entries in the store."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from greengageflow.lab.platform_lab import CHAT, SAFE, PlatformLab, PlatformShape
from greengageflow.lab.platform_lab import generation as headers_of
from greengageflow.platform.names import SERVERS_TOPIC
from tests.support import wait_for

ROUTERS = 3
CALLERS = 6
SOUND = {200, 429, 503}
"""Statuses of served requests, and of those that a router refuses when it is busy."""
WORK = {"work_ms": 50}
DEEP = (10, 1_000, 100_000)
DIGITS = (19, 20, 309, 400, 4_300, 6_000)
ODD_KEYS = {
    "empty": b"",
    "not UTF-8": b"\xff\xfe",
    "cut UTF-8": b"\xe2\x82",
    "surrogate": b"\xed\xa0\x80",
    "NUL": b"a\x00b",
    "line end": b"a\r\nb: c",
    "space": b" ",
    "long": b"k" * 255,
    "slash": b"../x",
}


def entry(address, **fields):
    valid = {
        "service": "app",
        "address": address,
        "zone": "zone-1",
        "slots": 4,
        "state": "ready",
        "version": "1",
        "born": 1_700_000_000_000,
    }
    return json.dumps(valid | fields).encode()


def raw(address, name, literal):
    """Return an entry with a literal that ``json`` would not write."""
    return entry(address, **{name: "@"}).replace(b'"@"', literal)


def odd_values(address):
    """Yield the odd values by form; ``address`` is that of a live endpoint."""
    for depth in DEEP:
        yield f"lists {depth} deep", b"[" * depth + b"]" * depth
        yield f"open objects {depth} deep", b'{"a":' * depth
        deep = b"[" * depth + b"]" * depth
        yield f"zone {depth} deep", raw(address, "zone", deep)
        yield f"more {depth} deep", raw(address, "more", deep)
    for digits in DIGITS:
        for name in ("slots", "born", "cold_remaining_ms"):
            yield f"{name} of {digits} digits", raw(address, name, b"9" * digits)
    for name in ("slots", "born"):
        for literal in (b"1e999", b"NaN", b"-Infinity", b"-1", b"4.5", b"true"):
            yield f"{name} {literal}", raw(address, name, literal)
    for port in (-1, 0, 65_536, 99_999_999_999, "", "x", "\u0663", "9" * 6_000):
        yield f"port {port!s:.9}", entry(f"127.0.0.1:{port}")
    for odd in ("[::1]:80", "::1", "localhost:80", "127.0.0.1", "", None, ["a"], {}):
        yield f"address {odd}", entry(odd)
    for name in ("service", "zone", "state", "version"):
        for odd in (["app"], {"a": 1}, 7, None, ""):
            yield f"{name} {odd}", entry(address, **{name: odd})
    for name in ("zone", "version", "service"):
        yield f"{name} surrogate", raw(address, name, b'"\\ud800"')
        yield f"{name} NUL", raw(address, name, b'"a\\u0000b"')
        yield f"{name} long", entry(address, **{name: "x" * 1_000_000})
    yield "invalid UTF-8", entry(address).replace(b"zone-1", b"\xff\xfe")
    yield "UTF-16", entry(address).decode().encode("utf-16")
    yield "NUL bytes", bytes(1_000)
    yield "no object", b"7"
    yield "cut", entry(address)[:40]


@pytest.fixture
def lab():
    shape = PlatformShape(routers=ROUTERS, plain=1, engines=1, plain_options=WORK)
    with PlatformLab(shape) as lab:
        yield lab


def replicas_of(lab, router):
    """Return the replicas that serve requests that are sent at once."""
    with ThreadPoolExecutor(CALLERS) as threads:
        answers = list(threads.map(lambda _: lab.ask(SAFE, router), range(CALLERS)))
    assert {answer.status for answer in answers} <= SOUND
    return {json.loads(a.body)["replica"] for a in answers if a.status == 200}


def test_odd_entries_end_no_router_and_hide_no_later_change(lab):
    """One odd entry made requests and timers of routers fail, or ended the routers."""
    address = "{}:{}".format(*lab.replicas["app-0"].address)
    values = list(odd_values(address))
    rows = [(f"odd-{n}".encode(), value) for n, (_, value) in enumerate(values)]
    rows += [(key, entry(address)) for key in ODD_KEYS.values()]
    for row in rows:
        lab.append_raw(SERVERS_TOPIC, row)
        assert lab.ask(SAFE, f"r{len(row[1]) % ROUTERS}").status in SOUND
    # Each is replaced by another one.
    shifted = [value for _, value in (*rows[1:], rows[0])]
    keys = [key for key, _ in rows]
    lab.append_raw(SERVERS_TOPIC, *zip(keys, shifted, strict=True))
    lab.compact(SERVERS_TOPIC)
    late = lab.add_router()
    lab.wait_ready(late)
    lab.add_replica("app-x", service="app", **WORK)
    for name in lab.routers:
        wait_for(lambda n=name: "app-x" in replicas_of(lab, n), f"{name} uses app-x")
        streamed = lab.ask(CHAT, name, headers=headers_of(4, ("p", 50)))
        assert streamed.status == 200
    lab.set_state("app-0", "gone")
    for name in lab.routers:
        wait_for(lambda n=name: replicas_of(lab, n) == {"app-x"}, f"{name} drops app-0")
    lab.append_raw(SERVERS_TOPIC, *((key, b"") for key in keys))
    lab.add_replica("app-y", service="app", **WORK)
    for name in lab.routers:
        wait_for(lambda n=name: "app-y" in replicas_of(lab, n), f"{name} uses app-y")
    assert all(router.popen.poll() is None for router in lab.routers.values())
