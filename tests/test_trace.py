"""Tracing of one request through real routers."""

import json
import os
import subprocess
import sys
from pathlib import Path

from greengageflow.lab._processes import ROOT
from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from tests.support import wait_for

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER = "00f067aa0ba902b7"


class TracedLab(Lab):
    """A lab whose routers export their spans to files."""

    def __init__(self, plan, directory):
        super().__init__(plan)
        self.directory = Path(directory)

    def prepare_routers(self):
        super().prepare_routers()
        for host, settings in self.settings.items():
            settings["trace_file"] = str(self.directory / f"{host}.spans")

    def spans(self):
        files = self.directory.glob("*.spans")
        lines = (line for file in files for line in file.read_text().splitlines())
        return {span["name"]: span for span in map(json.loads, lines)}


def test_request_spans_are_children_in_the_callers_trace(tmp_path):
    """The spans of a request are children in the caller's trace, found by its id."""
    with TracedLab(LabPlan(engines=1), tmp_path) as lab:
        body = {"model": "scribe", "x_tokens": 5, "stream": True}
        body["messages"] = [{"role": "user", "content": "hello"}]
        headers = {
            "Authorization": f"Bearer {account_api_key('acme')}",
            "traceparent": f"00-{TRACE}-{CALLER}-01",
        }
        answer = lab.routers["r1"].call(
            "POST", "/v1/chat/completions", body, headers=headers
        )
        assert answer.status == 200
        wait_for(lambda: "caller" in lab.spans(), "spans")
        spans = lab.spans()
    assert spans.keys() == {"caller", "queue", "grant", "endpoint"}
    assert {span["trace"] for span in spans.values()} == {TRACE}
    caller = spans.pop("caller")
    assert caller["parent"] == CALLER
    assert {span["parent"] for span in spans.values()} == {caller["span"]}
    assert caller["attributes"]["request"] == answer.headers["x-request-id"]
    shown = subprocess.run(
        [
            sys.executable,
            "-m",
            "greengageflow.ops.ctl",
            "trace",
            TRACE,
            "--file",
            str(tmp_path / "r1.spans"),
        ],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    ).stdout.splitlines()
    assert len(shown) == 5, shown
    column = {
        name: next(line.index(f" {name} ") for line in shown[1:] if f" {name} " in line)
        for name in ("caller", "queue", "grant", "endpoint")
    }
    assert column["queue"] == column["grant"] == column["endpoint"]
    assert column["caller"] < column["queue"]
