"""Helpers of the integration tests."""

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from greengageflow._processes import (
    LIMIT_S,
    Process,
    call,
    free_port,
    start,
    wait_for,
)

__all__ = [
    "LIMIT_S",
    "Process",
    "Proxy",
    "call",
    "fault_proxy",
    "free_port",
    "running",
    "sse_events",
    "standin",
    "start",
    "wait_for",
]


def sse_events(data: bytes) -> Iterator[Any]:
    """Yield the events of a whole event stream; ``[DONE]`` comes as a string."""
    for line in data.decode().split("\n\n"):
        if line.startswith("data: "):
            text = line[len("data: ") :]
            yield text if text == "[DONE]" else json.loads(text)


@contextmanager
def running(module: str, *args: object) -> Iterator[Process]:
    """Run a process for the length of a block."""
    process = start(module, *args)
    try:
        yield process
    finally:
        process.stop()


def standin(kind: str, *args: object, **options: object):
    """Run a stand-in for the length of a block; options become flags."""
    flags = (f"--{name}={value}" for name, value in options.items())
    return running("greengageflow.standin", kind, *args, *flags)


class Proxy:
    """Client of ``fault_proxy``'s control port."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._sock = socket.create_connection(address, timeout=LIMIT_S)
        self._file = self._sock.makefile("rw")

    def _ask(self, **command: Any) -> dict:
        self._file.write(json.dumps(command) + "\n")
        self._file.flush()
        return json.loads(self._file.readline())

    def route(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> tuple[str, int]:
        """Open a route or move its target; return the address to connect to."""
        return tuple(
            self._ask(op="route", name=name, target=target, listen=listen)["listen"]
        )

    def rules(self, *rules: dict) -> None:
        """Replace all rules, such as ``{"do": "cut", "source": "127.0.0.2"}``."""
        assert "links" in self._ask(op="rules", rules=rules)

    def close(self) -> None:
        self._file.close()
        self._sock.close()


@contextmanager
def fault_proxy(host: str = "127.0.0.1") -> Iterator[Proxy]:
    """Run a fault-injecting proxy for the length of a block."""
    with running("tests.fault_proxy", host) as process:
        proxy = Proxy(process.address)
        try:
            yield proxy
        finally:
            proxy.close()
