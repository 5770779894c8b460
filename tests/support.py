"""Helpers for the integration tests."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from greengageflow.lab._processes import (
    TIMEOUT_S,
    Process,
    call,
    start,
    wait_for,
)
from greengageflow.lab._proxy_client import Proxy

__all__ = [
    "TIMEOUT_S",
    "Process",
    "Proxy",
    "call",
    "fault_proxy",
    "running",
    "sse_events",
    "standin",
    "start",
    "wait_for",
]


def sse_events(data: bytes) -> Iterator[Any]:
    """Yield the events of a complete event stream; ``[DONE]`` as a string."""
    for line in data.decode().split("\n\n"):
        if line.startswith("data: "):
            text = line[len("data: ") :]
            yield text if text == "[DONE]" else json.loads(text)


@contextmanager
def running(module: str, *args: object) -> Iterator[Process]:
    """Run a process for the duration of a ``with`` block."""
    process = start(module, *args)
    try:
        yield process
    finally:
        process.stop()


def standin(kind: str, *args: object, **options: object):
    """Run a stand-in for the duration of a ``with`` block; options become flags."""
    flags = (f"--{name}={value}" for name, value in options.items())
    return running("greengageflow.lab.standin", kind, *args, *flags)


@contextmanager
def fault_proxy(host: str = "127.0.0.1") -> Iterator[Proxy]:
    """Run a fault-injecting proxy for the duration of a ``with`` block."""
    with running("greengageflow.lab.fault_proxy", host) as process:
        proxy = Proxy(process.address)
        try:
            yield proxy
        finally:
            proxy.close()
