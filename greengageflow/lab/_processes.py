"""Child processes of experiments; the router itself starts none."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryFile
from typing import IO, Any

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 30.0


def wait_for(condition: Callable[[], Any], what: str, limit_s: float = LIMIT_S) -> Any:
    """Return the condition's first true value.

    A condition that fails to connect counts as not yet true.

    Raises:
        TimeoutError: It did not become true within ``limit_s`` seconds.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        with suppress(OSError, HTTPException):
            if value := condition():
                return value
        time.sleep(0.02)
    raise TimeoutError(f"not within {limit_s} s: {what}")


@dataclass(slots=True)
class Answer:
    """Answer to a plain HTTP call; header names are in lower case."""

    status: int
    headers: dict[str, str]
    data: bytes

    @property
    def json(self) -> Any:
        """Body as JSON."""
        return json.loads(self.data)


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = LIMIT_S,
) -> Answer:
    """Make one blocking HTTP call with a JSON body on a connection of its own.

    Raises:
        OSError: The connection failed, also when it was cut before an answer.
    """
    conn = HTTPConnection(*address, timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, data, headers or {})
        res = conn.getresponse()
        names = {name.lower(): value for name, value in res.getheaders()}
        return Answer(res.status, names, res.read())
    finally:
        conn.close()


@dataclass(slots=True, eq=False)
class Process:
    """A child process that announced itself with a JSON line."""

    popen: subprocess.Popen
    ready: dict[str, Any]
    errors: IO[bytes] = field(repr=False)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self.ready["host"], self.ready["port"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def stderr(self) -> str:
        """What it wrote to its standard error so far."""
        self.errors.seek(0)
        return self.errors.read().decode(errors="replace")

    def call(self, method: str, path: str, body: Any = None, **options: Any) -> Answer:
        """Make one HTTP call to it."""
        return call(self.address, method, path, body, **options)

    def fault(self, **faults: Any) -> None:
        """Set the faults of a stand-in; none clears them."""
        assert self.call("POST", "/fault", faults).status == 200

    def kill(self) -> None:
        """End it at once, as a failing host does."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Freeze it."""
        self.popen.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Wake it."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Tell it to stop and return at once."""
        self.popen.terminate()

    def stop(self, limit_s: float = LIMIT_S) -> int:
        """End it with SIGTERM, and if need be by force; return its status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode
        finally:
            self.popen.stdout.close()


def launch(module: str, *args: object) -> Process:
    """Start ``python -m module args…``; ``await_ready`` takes its first line."""
    errors = TemporaryFile()  # noqa: SIM115 (lives as long as the process)
    popen = subprocess.Popen(
        [sys.executable, "-m", module, *map(str, args)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=errors,
    )
    return Process(popen, {}, errors)


def await_ready(process: Process) -> Process:
    """Wait until a launched process has said where it listens.

    Raises:
        RuntimeError: It ended instead; the message has its standard error.
    """
    line = process.popen.stdout.readline()
    if not line:
        process.popen.wait()
        raise RuntimeError(f"{process.popen.args}: {process.stderr}")
    process.ready = json.loads(line)
    return process


def start(module: str, *args: object) -> Process:
    """Start ``python -m module args…`` and wait until it listens."""
    return await_ready(launch(module, *args))
