"""Child processes for experiments; the router itself starts none."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPException
from pathlib import Path
from tempfile import TemporaryFile
from typing import IO, Any

from greengageflow.net.blocking_http import BlockingConnection

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0


def wait_for(
    condition: Callable[[], Any], what: str, timeout_s: float = TIMEOUT_S
) -> Any:
    """Return the condition's first true value.

    A failed connection or HTTP call in the condition counts as false.

    Raises:
        TimeoutError: The condition did not become true within ``timeout_s`` seconds.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        with suppress(OSError, HTTPException):
            if value := condition():
                return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {timeout_s} s waiting for: {what}")


@dataclass(slots=True)
class HttpResponse:
    """Response to an HTTP call; header names are in lower case."""

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
    timeout_s: float = TIMEOUT_S,
) -> HttpResponse:
    """Make one blocking HTTP call with a JSON body on a new connection.

    Raises:
        OSError: The connection failed or was closed before a response.
    """
    conn = BlockingConnection(*address, timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    try:
        conn.request(method, path, data, headers or {})
        res = conn.getresponse()
        lower_headers = {name.lower(): value for name, value in res.getheaders()}
        return HttpResponse(res.status, lower_headers, res.read())
    finally:
        conn.close()


@dataclass(slots=True, eq=False)
class Process:
    """A child process that prints its address as a JSON line when ready."""

    popen: subprocess.Popen
    ready: dict[str, Any]
    stderr_file: IO[bytes] = field(repr=False)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the process listens on."""
        return self.ready["host"], self.ready["port"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def stderr(self) -> str:
        """Standard error output so far."""
        self.stderr_file.seek(0)
        return self.stderr_file.read().decode(errors="replace")

    def call(
        self, method: str, path: str, body: Any = None, **options: Any
    ) -> HttpResponse:
        """Make one HTTP call to the process."""
        return call(self.address, method, path, body, **options)

    def fault(self, **faults: Any) -> None:
        """Replace the faults of a stand-in; without arguments, clear them."""
        assert self.call("POST", "/fault", faults).status == 200

    def kill(self) -> None:
        """Kill the process with SIGKILL, as a host failure would."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM without waiting."""
        self.popen.terminate()

    def stop(self, timeout_s: float = TIMEOUT_S) -> int:
        """Send SIGTERM, kill after ``timeout_s`` seconds; return the exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode
        finally:
            self.popen.stdout.close()


def launch(module: str, *args: object) -> Process:
    """Start ``python -m module args…``; ``await_ready`` reads its first line."""
    stderr_file = TemporaryFile()  # noqa: SIM115 (open as long as the process)
    popen = subprocess.Popen(
        [sys.executable, "-m", module, *map(str, args)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=stderr_file,
    )
    return Process(popen, {}, stderr_file)


def await_ready(process: Process) -> Process:
    """Wait until a launched process has printed its address.

    Raises:
        RuntimeError: The process exited; the message has its standard error.
    """
    line = process.popen.stdout.readline()
    if not line:
        process.popen.wait()
        raise RuntimeError(f"{process.popen.args} exited; stderr: {process.stderr}")
    process.ready = json.loads(line)
    return process


def start(module: str, *args: object) -> Process:
    """Start ``python -m module args…`` and wait until it listens."""
    return await_ready(launch(module, *args))
