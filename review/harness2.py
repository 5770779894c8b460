"""Test bench of the second review: gateways as processes, with stand-ins around them.

The gateways are started with the command of the deploy file, with settings rendered
from the deploy template. The platform's store is the project's own stand-in. Replicas
and clients are the small ones below. Everything listens on one loopback subnet.
"""

import asyncio
import ctypes
import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from secrets import token_hex

ROOT = Path(__file__).resolve().parents[1]
HOST = "ficu95.example"
KEY, TENANT = "asnmgkcuyj8pjbvk9m68", "hule930"
ID = "X-Greengageflow-Request-Id"
SEAL = "X-Greengageflow-Response-Seal"
NOT_RUN = "X-Greengageflow-Not-Executed"
ZONES = {"marousi": "attica", "piraeus": "attica", "kifisia": "attica"}
BOUNDS = {
    "seed_lag_s": 3,
    "stable_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
}


class CannotRun(Exception):
    """The case could not be played."""


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        print(line, file=self._file, flush=True)


# The settings of a process, from the deploy template.

_TAG = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Return a deploy template filled in, as the users' page on it says."""
    tokens, at = [], 0
    for tag in _TAG.finditer(template):
        tokens.append(template[at : tag.start()])
        tokens.append(tag.groups())
        at = tag.end()
    tokens.append(template[at:])
    return _render(tokens, 0, [("", fields, True)], "")[0]


def _find(stack: list, name: str) -> object:
    if name == ".":
        return stack[-1][1]
    if name == "@":
        return stack[-1][0]
    for _, value, _ in reversed(stack):
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _render(tokens: list, at: int, stack: list, closing: str) -> tuple[str, int]:
    out: list[str] = []
    while at < len(tokens):
        token = tokens[at]
        at += 1
        if isinstance(token, str):
            out.append(token)
            continue
        kind, name, as_json = token
        if kind == "/":
            if name != closing:
                raise CannotRun(f"template: {name} closes {closing}")
            return "".join(out), at
        if kind in ("#", "^"):
            value = _find(stack, name)
            if kind == "^":
                rows = [] if value else [("", stack[-1][1], True)]
            elif isinstance(value, dict):
                rows = [(k, v, k == list(value)[-1]) for k, v in value.items()]
            elif isinstance(value, list):
                rows = [(i, v, i == len(value) - 1) for i, v in enumerate(value)]
            else:
                rows = [("", value, True)] if value else []
            end = _render(tokens, at, [*stack, ("", None, True)], name)[1]
            for row in rows:
                out.append(_render(tokens, at, [*stack, row], name)[0])
            at = end
        elif name == ",":
            out.append("" if stack[-1][2] else ",")
        else:
            value = _find(stack, name)
            if as_json:
                out.append(json.dumps(value))
            elif value is not None:
                out.append(json.dumps(value) if isinstance(value, dict) else str(value))
    return "".join(out), at


# HTTP, as small as the cases need it.


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers (names in lower case) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict, *, answer: bool
) -> bytes:
    """Return a whole body; raise ``IncompleteReadError`` if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if answer else b""


def head(first: str, headers: dict) -> bytes:
    """Return a message's head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


class Request:
    """A request at a replica."""

    def __init__(
        self, replica: "Replica", first: str, headers: dict, body: bytes
    ) -> None:
        self.replica = replica
        self.method, self.target, _ = first.split(" ")
        self.headers, self.body = headers, body
        self.id = headers.get(ID.lower(), "")
        self.at = time.monotonic()
        self.left = False
        """Whether the caller has closed the connection."""


class Replica:
    """A replica; a sound one unless ``behave`` does something else.

    Args:
        fleet: The bench.
        service: Name of its service.
        zone: Its zone.
        number: Number of its address in the subnet.
        behave: Called with the request, the reader and the writer once the request
            has been taken on and logged; it answers. Returns False to close.
        gate: Called with the request and the writer before; returns True if it has
            rejected the request, which is not run then.
    """

    def __init__(self, fleet: "Fleet", service: str, zone: str, number: int) -> None:
        self.id = f"i-{token_hex(4)}"
        self.fleet, self.service, self.zone = fleet, service, zone
        self.address = (fleet.ip(number), 8080)
        self.slots = 6
        self.work_s = 0.06
        self.runs: list[Request] = []
        self.behave: Callable | None = None
        self.gate: Callable | None = None
        self.beats = True
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat_task: asyncio.Task | None = None
        self._sequence = 0
        self._seals = 0
        self.state = "ready"

    async def start(self) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            if self.beats:
                self._sequence += 1
                entry = {
                    "service": self.service,
                    "address": "{}:{}".format(*self.address),
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                }
                path = f"/servers/{self.id}?ttl_ms=3600"
                await self.fleet.store_control("PUT", path, entry)
            await asyncio.sleep(1.2)

    async def crash(self) -> None:
        """End as a killed process does: listener and connections close."""
        self._beat_task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, answer=False)
                request = Request(self, first, headers, body)
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, reader, writer) -> bool:
        if request.target == "/health":
            send(writer, 200, {"X-Greengageflow-Replica-Id": self.id})
            return True
        expected = request.headers.get("x-greengageflow-expect-replica", self.id)
        if not request.id or expected != self.id:
            status = 421 if request.id else 400
            send(writer, status, {NOT_RUN: "1", ID: request.id})
            return True
        if self.gate is not None and self.gate(request, writer):
            return True
        self.runs.append(request)
        self.fleet.record(
            f"run  {request.id} at {self.id} ({self.service}): {request.method} "
            f"{request.target}, {len(request.body)} bytes"
        )
        if self.behave is not None:
            return await self.behave(request, reader, writer)
        await asyncio.sleep(self.work_s)
        send(writer, 200, self.sealed(request), b"done " + request.id.encode())
        return True

    def sealed(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that was run."""
        self._seals += 1
        return {ID: request.id, SEAL: f"{self.id}.{self._seals}"}


_REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


def send(writer, status: int, headers: dict, body: bytes = b"") -> None:
    """Send a whole answer."""
    lines = {**headers, "Content-Length": str(len(body))}
    writer.write(
        head(f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}", lines) + body
    )


class Answer:
    """What a client got: a status (0 for none), headers and body."""

    def __init__(self, status: int, headers: dict, body: bytes, cut: str = "") -> None:
        self.status, self.headers, self.body, self.cut = status, headers, body, cut

    def __str__(self) -> str:
        """Return a summary for ``record.txt``."""
        text = f"{self.status}, {len(self.body)} bytes"
        text += ", sealed" if SEAL.lower() in self.headers else ""
        return text + (f", cut: {self.cut}" if self.cut else "")


_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def _end_with_parent() -> None:
    """Have the kernel kill this process when the script ends, however it does."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Fleet:
    """Store, gateways and replicas.

    Args:
        folder: Folder of the case, for ``record.txt``.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self._reservation = socket.socket()
        self._base = self._reserve()
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self._store: subprocess.Popen | None = None
        self._control = ("", 0)
        self._store_address = ("", 0)
        self.gateways: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self.replicas: list[Replica] = []
        self._logs: list = []
        self.version = 0

    def _reserve(self) -> str:
        for number in range(os.getpid() % 200, 45_000):
            base = f"127.{20 + number % 200}.{number // 200 % 250}"
            try:
                self._reservation.bind((f"{base}.250", 7210))
                self._reservation.listen(1)
            except OSError:
                continue
            return base
        raise CannotRun("no free loopback subnet")

    def ip(self, number: int) -> str:
        """Return an address of the subnet."""
        return f"{self._base}.{number}"

    # Processes.

    def _launch(self, words: list[str], name: str, **variables: str):
        log = Path(self._temp.name, f"{name}-{len(self._logs)}.log").open("w+b")  # noqa: SIM115
        self._logs.append(log)
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        paths = f"{ROOT / 'target/deps'}:{ROOT}"
        env = {**kept, "PYTHONPATH": paths, "PYTHONDONTWRITEBYTECODE": "1", **variables}
        return subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if name == "store" else log,
            stderr=log,
            preexec_fn=_end_with_parent,
        )

    def start_store(self) -> None:
        """Start the project's stand-in of the platform's store."""
        module = "greengageflow.lab.platform_store"
        words = [sys.executable, "-m", module, f"--host={self.ip(1)}"]
        self._store = self._launch(words, "store")
        line = self._store.stdout.readline()
        if not line:
            raise CannotRun("the store did not start")
        ready = json.loads(line)
        self._store_address = (ready["host"], ready["port"])
        self._control = (ready["host"], ready["control"])

    def add_gateway(self, zone: str, number: int, store: str = "") -> str:
        """Start a gateway with the command of the deploy file; return its name."""
        name = f"front-{zone}-{number}"
        ip = self.ip(10 + len(self.settings))
        fields = {
            "node": name,
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{ip}:8783",
                "ready": f"{ip}:8780",
                "control": f"{ip}:8785",
            },
            "limits": {"max_fds": 4100, "memory_mb": 300},
            "seeds": [f"{self.ip(10 + i)}:8785" for i in range(3)],
            "bounds": BOUNDS,
            "platform": {"address": store or "{}:{}".format(*self._store_address)},
        }
        self.settings[name] = fields
        self.launch_gateway(name)
        return name

    def launch_gateway(self, name: str) -> None:
        """Start a gateway, or start it again."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        template = (ROOT / role["template"]).read_text()
        path = Path(self._temp.name, f"{name}.json")
        path.write_text(render(template, self.settings[name]))
        json.loads(path.read_text())
        words = role["run"].split()
        self.gateways[name] = self._launch(
            words, name, GREENGAGEFLOW_NODE_FILE=str(path)
        )
        self.record(f"gateway {name} started: {role['run']}")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all gateways say that they are ready."""
        end = time.monotonic() + timeout_s
        for name in self.settings:
            while await self.readiness(name) != 200:
                if time.monotonic() > end or self.gateways[name].poll() is not None:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    async def readiness(self, name: str) -> int:
        """Return the status of a gateway's readiness check; 0 if there is none."""
        ip, _, port = self.settings[name]["listen"]["ready"].rpartition(":")
        try:
            answer = await http((ip, int(port)), "GET", "/api/ready", {"Host": ip})
        except (OSError, asyncio.IncompleteReadError):
            return 0
        return answer.status

    def front(self, name: str) -> tuple[str, int]:
        """Return the address of a gateway for clients."""
        ip, _, port = self.settings[name]["listen"]["front"].rpartition(":")
        return ip, int(port)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a gateway that this bench started."""
        self.record(f"{signal.Signals(number).name} to {name}")
        self.gateways[name].send_signal(number)

    # The platform.

    async def store_control(self, method: str, path: str, body=None) -> None:
        """Make a control call of the store's stand-in."""
        data = b"" if body is None else json.dumps(body).encode()
        answer = await http(self._control, method, path, {"Host": "store"}, data)
        if answer.status != 200:
            raise CannotRun(f"store: {method} {path}: {answer}")

    async def publish(
        self, routes: list[dict], services: list[dict], tenants: list[dict] = ()
    ) -> None:
        """Write a configuration as the operator, with more tenants if given."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tokens_per_s": 220000,
            },
            "tenants": [
                {"name": TENANT, "api_keys": [KEY], "priority": 1},
                *tenants,
            ],
        }
        await self.store_control("PUT", "/config", config)
        self.record(f"configuration {self.version} acknowledged")

    async def add_replica(self, service: str, zone: str) -> Replica:
        """Start a replica."""
        replica = Replica(self, service, zone, 100 + len(self.replicas))
        self.replicas.append(replica)
        await replica.start()
        return replica

    def runs(self, request: str) -> list[Request]:
        """Return the runs of a request at all replicas."""
        return [r for replica in self.replicas for r in replica.runs if r.id == request]

    # Clients.

    def request_headers(self, request: str, deadline_ms: int) -> dict[str, str]:
        """Return the headers that each client sends."""
        return {
            "Host": HOST,
            ID: request,
            "X-Greengageflow-Deadline-Ms": str(deadline_ms),
            "X-Greengageflow-Credential": KEY,
        }

    async def ask(
        self,
        gateway: str,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        deadline_ms: int = 1500,
        more: dict | None = None,
        name: str = "",
    ) -> tuple[str, Answer]:
        """Make one request on a new connection; return its id and the answer."""
        request = name or token_hex(8)
        headers = self.request_headers(request, deadline_ms) | (more or {})
        extra = "".join(f", {k}: {v}" for k, v in (more or {}).items())
        self.record(
            f"sent {request} to {gateway}: {method} {target}, {len(body)} bytes{extra}"
        )
        timeout_s = deadline_ms / 1000
        try:
            answer = await asyncio.wait_for(
                http(self.front(gateway), method, target, headers, body), timeout_s
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            answer = Answer(0, {}, b"", repr(exc))
        self.record(f"got  {request}: {answer}")
        return request, answer

    async def close(self) -> None:
        """End all processes that were started."""
        for replica in self.replicas:
            await replica.crash()
        for popen in (*self.gateways.values(), self._store):
            if popen is not None and popen.poll() is None:
                popen.kill()
                popen.wait()
        self._reservation.close()
        self._temp.cleanup()


async def http(
    address, method: str, target: str, headers: dict, body: bytes = b""
) -> Answer:
    """Make one HTTP request on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = dict(headers)
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines["Content-Length"] = str(len(body))
        writer.write(head(f"{method} {target} HTTP/1.1", lines) + body)
        first, got = await read_head(reader)
        while first.split(" ")[1].startswith("1"):
            first, got = await read_head(reader)
        bodiless = method == "HEAD" or first.split(" ")[1] in ("204", "304")
        data = b"" if bodiless else await read_body(reader, got, answer=True)
        return Answer(int(first.split(" ")[1]), got, data)
    finally:
        writer.close()


def route(name: str, prefix: str, service: str, kind: str, **more) -> dict:
    """Return a route like those of the small deployments."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "priority": 2,
        "public": False,
        **more,
    }


APP = {"name": "rounds-app", "health_path": "/health", "max_conns": 110}
ENGINE = {
    "name": "scribe",
    "health_path": "/health",
    "max_conns": 310,
    "engine": {
        "slots": 48,
        "kv_capacity": 602723,
        "kv_token_bytes": 18432,
        "link_mbps": 370000.0,
        "stride": 5,
        "models": [{"name": "m"}],
    },
}


def play(case: Callable, folder: Path) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if neither.

    Args:
        case: Coroutine function that gets the bench and returns whether the rule broke.
        folder: Folder of the case.
    """
    # A client or replica that writes to a connection that was cut is no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def run() -> bool:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        fleet = Fleet(folder)
        try:
            fleet.start_store()
            return await case(fleet)
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 110))
    except (
        CannotRun,
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        asyncio.CancelledError,
    ) as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
