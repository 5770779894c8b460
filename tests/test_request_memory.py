"""Memory of requests that have ended, in a gateway without garbage collection."""

import json
import os
import re
import sys
from contextlib import closing, suppress
from pathlib import Path
from subprocess import STDOUT, Popen
from tempfile import TemporaryFile

import pytest

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    GATEWAY,
    KEY,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import Process

RUN_WITHOUT_COLLECTOR = (
    "import gc, runpy, sys; gc.disable();"
    "sys.argv = sys.argv[1:]; runpy.run_module(sys.argv[0], run_name='__main__')"
)
BODY_BYTES = 1_000_000
REQUESTS = 60
MAX_GROWTH_KB = 20_000


class NoCollectorLab(PlatformLab):
    """A lab whose gateway frees only what nothing refers to."""

    def launch_router(self, name):
        path = Path(self._dir.name, f"{name}.json")
        path.write_text(json.dumps(self.settings[name]))
        logs = TemporaryFile()  # noqa: SIM115 (lives as long as the process)
        popen = Popen(
            [
                sys.executable,
                "-c",
                RUN_WITHOUT_COLLECTOR,
                GATEWAY,
                f"--settings={path}",
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=logs,
            stderr=STDOUT,
        )
        self.routers[name] = Process(popen, {}, logs)
        return self.routers[name]

    @property
    def memory_kb(self):
        """Resident memory of the gateway in kB."""
        text = Path(f"/proc/{self.routers['r0'].pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])


def ask(lab, path):
    headers = generation(4, ("p", 50)) if path == CHAT else {}
    with closing(lab.client()) as client, suppress(IncompleteResponse):
        client.ask(path, b"x" * BODY_BYTES, key=KEY, headers=headers)


@pytest.mark.parametrize(
    ("path", "faults"),
    [
        (SAFE, {}),
        (CHAT, {}),
        (SAFE, {"grey": 1}),
        (SAFE, {"lose": "reset"}),
        (UNSAFE, {"lose": "close"}),
        (CHAT, {"cut_after": 1}),
    ],
)
def test_ended_requests_are_freed_without_a_garbage_collection(path, faults):
    """Requests that have ended stayed in memory with their bodies: in the timers of
    their deadlines, in idle connections, and in cycles until a garbage collection. Full
    collections are rare, and each stops all requests for tens of milliseconds.
    """
    shape = PlatformShape(plain=1, engines=1)
    with NoCollectorLab(shape) as lab:
        ask(lab, path)
        lab.set_faults("scribe-0" if path == CHAT else "app-0", **faults)
        for _ in range(5):
            ask(lab, path)
        before_kb = lab.memory_kb
        for _ in range(REQUESTS):
            ask(lab, path)
        growth_kb = lab.memory_kb - before_kb
        assert growth_kb < MAX_GROWTH_KB
