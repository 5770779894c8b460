"""Stand-ins and helpers of the review's scripts.

The stand-ins do what `PROTOCOL.md` says: `Store` is the platform's metadata store as a
log with keyed topics, `Replica` is a replica of a plain service, `ask` is a client.
Gateways are the project's own program, started with the command of the deploy file.
"""

import base64
import ctypes
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

from greengageflow.lab._proxy_client import Proxy

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
PREFIX = "/puxa403/"
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2
LIMIT_S = 110
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def _end_with_parent():
    """Have the kernel end this process when the script ends, however that happens."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


REQUEST_ID = "X-Greengageflow-Request-Id"
DEADLINE_MS = "X-Greengageflow-Deadline-Ms"
CREDENTIAL = "X-Greengageflow-Credential"
EXPECT_REPLICA = "X-Greengageflow-Expect-Replica"
TENANT = "X-Greengageflow-Tenant"
SEAL = "X-Greengageflow-Response-Seal"
NOT_EXECUTED = "X-Greengageflow-Not-Executed"
REPLICA_ID = "X-Greengageflow-Replica-Id"

OPERATOR, SERVERS = "keyed.op", "keyed.servers"


class Record:
    """Writes `record.txt`: a line for each event, with seconds since the start."""

    def __init__(self, folder):
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(Path(folder, "record.txt"), "w")  # noqa: SIM115

    def __call__(self, text):
        """Write a line."""
        line = f"{time.monotonic() - self._started_at:8.3f}  {text}"
        with self._lock:
            print(line, file=self._file, flush=True)


# The platform's store.


class _Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, record):
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest[key] = value, self.end
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def forget(self):
        """Delete all records; the newest one of each key is retained."""
        self.first, self.records = self.end, []


class Store:
    """The platform's store."""

    def __init__(self, ip, record):
        self._record = record
        self._partitions = {}
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                store._on_call(self)

            def do_POST(self):
                store._on_call(self)

            def log_message(self, *_args):
                pass

        self._server = ThreadingHTTPServer((ip, 0), Handler)
        self._server.handle_error = lambda *_args: None
        self._server.daemon_threads = True
        self.address = self._server.server_address
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _partition(self, topic):
        return self._partitions.setdefault(topic, _Partition())

    def _on_call(self, handler):
        url = urlsplit(handler.path)
        query = dict(parse_qsl(url.query))
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        with self._changed:
            status, kind, answer = self._answer(url.path, query, body)
        with suppress(OSError):
            handler.send_response(status)
            handler.send_header("Content-Type", kind)
            handler.send_header("Content-Length", str(len(answer)))
            handler.end_headers()
            handler.wfile.write(answer)

    def _answer(self, path, query, body):
        topic = query["topic"]
        match path:
            case "/api/log-read":
                return self._read(topic, int(query["from"]), query)
            case "/api/log-newest":
                return self._newest(topic, query.get("after", ""))
            case "/api/log-append" if topic in (OPERATOR, SERVERS):
                return _json(403, {"error": "read-only"})
            case "/api/log-append":
                partition = self._partition(topic)
                offset, position = partition.end, 0
                while position < len(body):
                    (size,) = struct.unpack_from(">I", body, position)
                    partition.append(body[position + 4 : position + 4 + size])
                    position += 4 + size
                self._changed.notify_all()
                return _json(200, {"offset": offset, "end": partition.end})
        return _json(404, {"error": "no such call"})

    def _read(self, topic, start, query):
        partition = self._partition(topic)
        wait_s = min(30_000, int(query.get("wait_ms", 0))) / 1000
        self._changed.wait_for(
            lambda: partition.end > start or partition.first > start, wait_s
        )
        if start < partition.first or start > partition.end:
            return _json(410, {"first": partition.first})
        data = struct.pack(">QQ", partition.end, partition.first)
        limit = int(query.get("max_kb", 1024)) * 1024
        for record in partition.records[start - partition.first :]:
            if len(data) + 4 + len(record) > limit:
                break
            data += struct.pack(">I", len(record)) + record
        return 200, "application/octet-stream", data

    def _newest(self, topic, after):
        partition = self._partition(topic)
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:500]
        ]
        more = len(keys) > 500
        return _json(200, {"items": items, "truncated": more, "end": partition.end})

    # The operator and the replicas. Each method returns the time of the store's
    # acknowledgement.

    def _put(self, topic, key, value):
        with self._changed:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            self._partition(topic).append(bytes([len(key)]) + key.encode() + data)
            self._changed.notify_all()
            return time.monotonic()

    def put_config(self, config):
        """Write a configuration as the operator."""
        at = self._put(OPERATOR, "config", config)
        self._record(f"store acknowledges configuration {config['version']}")
        return at

    def put_server(self, name, entry):
        """Write the entry of a replica."""
        at = self._put(SERVERS, name, entry)
        self._record(f"store acknowledges entry of {name}: {json.dumps(entry)}")
        return at

    def remove_server(self, name):
        """Remove the entry of a replica."""
        at = self._put(SERVERS, name, b"")
        self._record(f"store acknowledges that the entry of {name} is removed")
        return at

    def forget(self, topic):
        """Delete the records of a topic, as the store may at any time."""
        with self._changed:
            self._partition(topic).forget()
            self._changed.notify_all()
        self._record(f"store deletes the records of {topic}; newest ones are retained")


def _json(status, doc):
    return status, "application/json", json.dumps(doc).encode()


# Replicas.


class Replica:
    """A replica of a plain service; runs requests and records them.

    A subclass may override `respond`.
    """

    work_s = 0.015
    """Time that a request takes, in seconds."""

    def __init__(self, name, ip, record):
        self.name = name
        self.runs = []
        self.at_work = 0
        self._record = record
        self._seals = count(1)
        self._connections = set()
        self._listener = socket.create_server((ip, 0), backlog=128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, service, zone, **more):
        """Return what the replica writes to the store about itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **more,
        }

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with suppress(OSError, ValueError), conn:
            rest = b""
            while True:
                while b"\r\n\r\n" not in rest:
                    if not (data := conn.recv(65_536)):
                        return
                    rest += data
                head, _, rest = rest.partition(b"\r\n\r\n")
                start, *lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                rest = self._on_request(conn, start, headers, rest)
                if rest is None:
                    return

    def exit(self):
        """End, with all connections."""
        self._record(f"{self.name} exits")
        for sock in (self._listener, *self._connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _on_request(self, conn, start, headers, rest):
        request = headers.get(REQUEST_ID.lower(), "")
        expected = headers.get(EXPECT_REPLICA.lower(), self.name)
        if not request or expected != self.name:
            rest = read_body(conn, headers, rest)
            status = 421 if request else 400
            lines = {NOT_EXECUTED: "1", REPLICA_ID: self.name, "Content-Length": "0"}
            if request:
                lines[REQUEST_ID] = request
            conn.sendall(head_of(status, lines))
            return rest
        self.runs.append((time.monotonic(), request))
        tenant = headers.get(TENANT.lower(), "")
        self._record(f"{self.name} runs {request} ({start}, tenant {tenant})")
        self.at_work += 1
        try:
            return self.respond(conn, request, headers, rest)
        finally:
            self.at_work -= 1

    def seal(self):
        """Return a new signature."""
        return f"{self.name}.{next(self._seals)}"

    def respond(self, conn, request, headers, rest):
        """Answer a request; return the bytes read beyond it, None to close."""
        rest = read_body(conn, headers, rest)
        time.sleep(self.work_s)
        body = b"r" * 800
        lines = {REQUEST_ID: request, SEAL: self.seal(), "Content-Length": "800"}
        conn.sendall(head_of(200, lines) + body)
        return rest


def head_of(status, lines):
    """Return the head of a response."""
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"HTTP/1.1 {status} -\r\n{text}\r\n".encode()


def read_body(conn, headers, rest):
    """Read a request's body; return the bytes read beyond it."""
    left = int(headers.get("content-length", 0)) - len(rest)
    if left <= 0:
        return rest[len(rest) + left :]
    while left > 0:
        if not (data := conn.recv(min(left, 1 << 20))):
            raise OSError("connection ended in the middle of a body")
        left -= len(data)
    return b""


# Gateways.


def free_port(ip, kind=socket.SOCK_STREAM):
    """Return a port that is free at an address."""
    with socket.socket(type=kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Fleet:
    """Gateways of a small deployment, one process each, on addresses of their own."""

    def __init__(self, record):
        self.record = record
        self._folder = tempfile.mkdtemp(prefix="review-")
        # One address for each host, like machines; derived from the process id.
        pid = os.getpid()
        self.net = f"127.{64 + pid % 150}.{pid // 150 % 250}"
        self.processes = {}
        self.settings = {}
        self._relays = {}
        self._proxy = None
        self._proxy_process = None

    def ip(self, number):
        """Return one of the addresses of this run."""
        return f"{self.net}.{number}"

    def add(self, name, zone, zones, store, bounds):
        """Prepare the settings of a gateway, as the platform renders the template."""
        ip = self.ip(10 + len(self.settings))
        self.settings[name] = {
            "host": name,
            "zone": zone,
            "ip": ip,
            "callers": f"{ip}:{free_port(ip)}",
            "ready": f"{ip}:{free_port(ip)}",
            "gossip": f"{ip}:{free_port(ip, socket.SOCK_DGRAM)}",
            "metrics": f"{ip}:{free_port(ip)}",
            "max_files": 4100,
            "store": "{}:{}".format(*store),
            "zones": [{"name": z, "region": "ne-recife"} for z in zones],
            "seeds": [],
            "bounds": bounds,
        }

    def start_proxy(self, store):
        """Put the project's fault proxy between the gateways, and before the store.

        Each host gets an address at the proxy, which replaces the host's own one in the
        messages between hosts, as a network would translate it.
        """
        self._proxy_process = subprocess.Popen(
            [sys.executable, "-m", "greengageflow.lab.fault_proxy", self.ip(3)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            preexec_fn=_end_with_parent,
        )
        line = json.loads(self._proxy_process.stdout.readline())
        self._proxy = Proxy((line["host"], line["port"]))
        self._relays = {
            settings["ip"]: self.ip(60 + number)
            for number, settings in enumerate(self.settings.values())
        }
        for name, settings in self.settings.items():
            ip, _, port = settings["gossip"].partition(":")
            listen = self._relays[ip], int(port)
            route = f"gossip:{name}"
            self._proxy.datagrams(route, (ip, int(port)), listen, self._relays)
            route = f"store:{name}"
            address = self._proxy.route(route, store, (self.ip(4), 0))
            settings["store"] = "{}:{}".format(*address)

    def cut_off(self, name):
        """Cut a host off from the store and from all other hosts, silently."""
        rules = [
            {"do": "freeze", "route": f"store:{name}"},
            {"do": "cut", "route": f"gossip:{name}"},
        ]
        source = self.settings[name]["ip"]
        for other in self.settings.keys() - {name}:
            rules.append({"do": "cut", "route": f"gossip:{other}", "source": source})
        self._proxy.rules(*rules)
        self.record(f"{name} is cut off from the store and from all other hosts")

    def _seed(self, settings):
        ip, _, port = settings["gossip"].partition(":")
        return f"{self._relays.get(ip, ip)}:{port}"

    def start(self):
        """Start all gateways; return once all of them say that they are ready."""
        seeds = list(map(self._seed, self.settings.values()))[:3]
        deploy = tomllib.loads(Path(ROOT, "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        for name, settings in self.settings.items():
            settings["seeds"] = seeds
            path = Path(self._folder, f"{name}.json")
            path.write_text(json.dumps(settings))
            variables = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": self._folder,
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GREENGAGEFLOW_NODE_FILE": str(path),
            }
            with open(Path(self._folder, f"{name}.log"), "wb") as log:
                self.processes[name] = subprocess.Popen(
                    command,
                    cwd=ROOT,
                    env=variables,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    preexec_fn=_end_with_parent,
                )
            self.record(f"started {name}: {' '.join(command)}")
        end = time.monotonic() + 20
        waiting = set(self.settings)
        while waiting and time.monotonic() < end:
            waiting = {name for name in waiting if self.ready(name) != 200}
            time.sleep(0.1)
        if waiting:
            raise RuntimeError(f"not ready: {sorted(waiting)}")

    def ready(self, name):
        """Return the status of the platform's readiness question, 0 for no answer."""
        ip, _, port = self.settings[name]["ready"].partition(":")
        conn = http.client.HTTPConnection(ip, int(port), timeout=2)
        try:
            conn.request("GET", "/api/ready")
            return conn.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            conn.close()

    def callers(self, name):
        """Return the address of a gateway for clients."""
        ip, _, port = self.settings[name]["callers"].partition(":")
        return ip, int(port)

    def signal(self, name, number):
        """Send a signal to a gateway."""
        self.processes[name].send_signal(number)
        self.record(f"{signal.Signals(number).name} to {name}")

    def running(self, name):
        """Return whether a gateway's process runs."""
        return self.processes[name].poll() is None

    def close(self, keep_logs=None):
        """End all processes that were started."""
        if self._proxy_process:
            self._proxy_process.kill()
            self._proxy_process.wait()
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.kill()
            process.wait()
        if keep_logs:
            for name in self.settings:
                shutil.copy(Path(self._folder, f"{name}.log"), keep_logs)
        shutil.rmtree(self._folder, ignore_errors=True)


# Clients.

_numbers = count(1)


class Client:
    """A client's connection, which is kept open from request to request."""

    def __init__(self, address, record, timeout_s=5.0):
        self._record = record
        self._address = address
        self._conn = http.client.HTTPConnection(*address, timeout=timeout_s)

    def ask(self, key, *, body=b"", deadline_ms=1500):
        """Send one request; return its id, its status and the body of the answer.

        The status is 0 if the connection ended without a complete answer.
        """
        request = f"{os.getpid():08x}{next(_numbers):08x}"
        headers = {
            "Host": HOST,
            REQUEST_ID: request,
            DEADLINE_MS: str(deadline_ms),
            CREDENTIAL: key,
        }
        why = ""
        self._record(f"client sends {request} with {key} to {self._address[0]}")
        try:
            self._conn.request("POST", f"{PREFIX}2f", body, headers)
            res = self._conn.getresponse()
            data, status = res.read(), res.status
            why = f"seal {res.getheader(SEAL)!r}"
        except (OSError, http.client.HTTPException) as exc:
            data, status, why = b"", 0, repr(exc)
            self._conn.close()
        text = f"client gets status {status}, {len(data)} bytes for {request}, {why}"
        self._record(text)
        return request, status, data

    def close(self):
        """Close the connection."""
        self._conn.close()


def route(kind="non_idempotent", service="bilhete-app", **more):
    """Return a route of a configuration."""
    return {
        "name": "card-topup",
        "host": HOST,
        "path_prefix": PREFIX,
        "service": service,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "max_attempts": 1,
        "priority": 2,
        "public": False,
        **more,
    }


def configuration(version, keys, **more):
    """Return a configuration with one route, one service and one tenant."""
    return {
        "version": version,
        "routes": [route(**more)],
        "services": [
            {"name": "bilhete-app", "health_path": "/health", "max_conns": 110}
        ],
        "tenants": [{"name": "hule930", "api_keys": list(keys)}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


BOUNDS = {
    "revoke_ms": 5000,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "budget_ratio": 0.2,
    "budget_slack": 58,
    "budget_window_s": 10,
    "grace_s": 8,
}
ZONES = ("rec-boa-viagem", "rec-santo-amaro", "rec-varzea")


def main(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    Args:
        folder: Folder of the case.
        case: Called with the record and the fleet; returns the number of times that
            the rule was broken.
    """
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    fleet = Fleet(record)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, lambda *_args: sys.exit(COULD_NOT_RUN))
    signal.alarm(LIMIT_S)
    status, text = COULD_NOT_RUN, "ended early"
    try:
        broken = case(record, fleet)
        status = RULE_BROKEN if broken else RULE_HELD
        text = f"rule broken {broken} times" if broken else "rule held"
    except Exception as exc:
        text = f"could not run: {exc!r}"
    finally:
        fleet.close(os.environ.get("KEEP_LOGS"))
        record(text)
        print(text)
        sys.stdout.flush()
        # Threads of the stand-ins may still run.
        os._exit(status)
