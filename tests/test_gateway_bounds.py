"""Gateways at the limits of log, descriptors and connections, as real processes."""

import json
import os
import re
import sys
from contextlib import closing, suppress
from fcntl import F_SETPIPE_SZ, fcntl
from subprocess import PIPE, Popen
from tempfile import TemporaryFile

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_lab import (
    GATEWAY,
    KEY,
    SAFE,
    PlatformLab,
    PlatformShape,
    configuration,
    route,
)
from tests.support import Process, call, wait_for

METRICS_PORT = 7302
SMALL_PIPE = 4096
FEW_FILES = 96
LONG, LONG_MS = "/long/", 120_000
RUN_WITH_FILE_LIMIT = (
    "import resource, runpy, sys;"
    "resource.setrlimit(resource.RLIMIT_NOFILE, ({0}, {0}));"
    "sys.argv = sys.argv[1:]; runpy.run_module(sys.argv[0], run_name='__main__')"
)
DROPPED_LINES_METRIC = re.compile(
    r'^greengage_log_lines_dropped_total\{cause="buffer"\} (\S+)', re.M
)


class LimitsLab(PlatformLab):
    """A lab whose gateways may open few files or log to a pipe that nobody reads."""

    files = None
    piped = False

    def launch_router(self, name):
        settings = self.settings[name]
        settings["metrics"] = f"{settings['ip']}:{METRICS_PORT}"
        if not (self.files or self.piped):
            return super().launch_router(name)
        path = os.path.join(self._dir.name, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        module = ["-m", GATEWAY]
        if self.files:
            module = ["-c", RUN_WITH_FILE_LIMIT.format(self.files), GATEWAY]
        logs = TemporaryFile()  # noqa: SIM115 (lives as long as the process)
        popen = Popen(
            [sys.executable, *module, f"--settings={path}"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=PIPE if self.piped else logs,
            stderr=logs,
        )
        if self.piped:
            fcntl(popen.stdout, F_SETPIPE_SZ, SMALL_PIPE)
        self.routers[name] = Process(popen, {}, logs)
        return self.routers[name]

    def dropped(self):
        """Return the number of log lines dropped because the buffer was full."""
        address = self.settings["r0"]["ip"], METRICS_PORT
        found = DROPPED_LINES_METRIC.search(
            call(address, "GET", "/metrics").data.decode()
        )
        return float(found[1]) if found else 0.0


class PipedLab(LimitsLab):
    piped = True


class FewFilesLab(LimitsLab):
    files = FEW_FILES


def test_stalled_log_collector_delays_no_request():
    """The log collector stops reading a gateway's standard output. Pipe and buffer
    fill, and the gateway drops lines and counts them in its metrics; all requests are
    served. Once the collector resumes, it gets complete lines and the number of
    dropped ones.
    """
    with PipedLab() as lab, closing(lab.client()) as client:

        def serve_and_count_dropped():
            assert client.ask(SAFE, key=KEY).status == 200
            return lab.dropped()

        wait_for(serve_and_count_dropped, "lines are dropped", 120.0)
        assert all(client.ask(SAFE, key=KEY).status == 200 for _ in range(50))
        lines = map(json.loads, lab.routers["r0"].popen.stdout)
        report = next(line for line in lines if line["name"] == "LINES_DROPPED")
        assert report["buffer"] > 0
        assert client.ask(SAFE, key=KEY).status == 200


def test_idle_caller_connections_do_not_exhaust_descriptors():
    """Callers open and keep more connections than the process may have descriptors.
    The process then answered neither new callers nor the balancer, spun, and logged
    no reason.

    Idle connections must be closed instead, so that descriptors remain for new
    callers, endpoints and readiness checks, and every request is served.
    """
    with FewFilesLab() as lab:
        idle = [lab.client() for _ in range(2 * FEW_FILES)]
        fd_dir = f"/proc/{lab.routers['r0'].pid}/fd"
        assert {lab.ask(SAFE).status for _ in range(20)} == {200}
        assert lab.readiness_status("r0") == 200
        assert len(os.listdir(fd_dir)) < FEW_FILES
        assert "CONNECTIONS_FULL" in lab.router_logs
        for client in idle:
            client.close()
        assert lab.ask(SAFE).status == 200


def test_busy_caller_connections_leave_descriptors_for_readiness():
    """No caller connection is idle, so none can be closed. The host must report that
    it is not ready, so that the balancer uses other hosts, and must serve again once
    connections are free."""
    shape = PlatformShape(plain_options={"slots": 2 * FEW_FILES})
    with FewFilesLab(shape) as lab:
        lab.set_faults("app-0", hang=True, times=FEW_FILES)
        lab.set_faults("app-1", hang=True, times=FEW_FILES)
        busy_clients = []

        def is_full_with_one_more():
            # Connections without a request yet are closed in favour of later ones.
            busy_clients.append(lab.client())
            with suppress(OSError):
                busy_clients[-1].send(SAFE, key=KEY, deadline_ms=60_000)
            return lab.readiness_status("r0") == 503

        wait_for(is_full_with_one_more, "the host reports that it is full")
        for client in busy_clients:
            client.close()
        lab.set_faults("app-0")
        lab.set_faults("app-1")
        wait_for(lambda: lab.readiness_status("r0") == 200, "ready again")
        wait_for(lambda: lab.ask(SAFE).status == 200, "served again")


def test_two_thousand_idle_connections_fail_no_request():
    """Callers keep 2,000 idle connections open. Other callers are served, and the idle
    connections still work afterwards."""
    with LimitsLab() as lab:
        idle = [lab.client() for _ in range(2000)]
        fd_dir = f"/proc/{lab.routers['r0'].pid}/fd"
        wait_for(lambda: len(os.listdir(fd_dir)) > len(idle), "all are accepted")
        assert {lab.ask(SAFE).status for _ in range(20)} == {200}
        assert {client.ask(SAFE, key=KEY).status for client in idle[::100]} == {200}
        for client in idle:
            client.close()


def test_slots_of_a_plain_service_are_freed_when_their_host_is_lost():
    """One gateway uses all slots of a plain endpoint, and another knows this from load
    reports and refuses requests. When the first is killed, its requests end with its
    connections, and the other must use the endpoint again.
    """
    options = {"slots": 1, "queue": 4}
    shape = PlatformShape(routers=2, plain=1, plain_options=options)
    config = configuration(2)
    long = route("long", LONG, "app", "idempotent", timeout_ms=LONG_MS)
    config["routes"].append(long)
    with PlatformLab(shape) as lab:
        lab.publish(config)
        for name in ("r0", "r1"):
            wait_for(lambda n=name: lab.ask(LONG, n).status == 200, "in force")
        before = len(lab.runs())
        lab.set_faults("app-0", hang=True, times=3)
        clients = [lab.client("r0") for _ in range(3)]
        for client in clients:
            client.send(LONG, key=KEY, deadline_ms=LONG_MS)
        wait_for(lambda: len(lab.runs()) == before + 3, "the endpoint is full")

        def status():
            return lab.ask(LONG, "r1", deadline_ms=1500).status

        wait_for(lambda: status() == 429, "the other gateway refuses")
        assert {status() for _ in range(3)} == {429}
        lab.routers["r0"].kill()
        wait_for(lambda: status() == 200, "served again")
        assert not [run for run in lab.runs() if run["ended"] is None]
