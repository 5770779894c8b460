"""Concurrent configuration changes with real routers, log and operator commands."""

import json
import subprocess
import sys
from collections import defaultdict

import pytest

from greengageflow.lab._processes import ROOT
from greengageflow.lab.lab import Lab, LabPlan
from tests.support import wait_for

STREAM = "/streams/config/records"
KEPT_RECORDS = 8


@pytest.fixture
def lab():
    options = {"keep_records": KEPT_RECORDS}
    plan = LabPlan(routers=3, engines=1, services=1, log_options=options)
    with Lab(plan) as lab:
        yield lab


def routers(lab, hosts=None):
    addresses = (lab.routers[host].address for host in hosts or lab.routers)
    return "--routers=" + ",".join(f"{ip}:{port}" for ip, port in addresses)


def start_ctl(lab, *args):
    """Start ``greengage-ctl`` without waiting for it."""
    command = [sys.executable, "-m", "greengageflow.ops.ctl", *map(str, args)]
    ip, port = lab.log.address
    return subprocess.Popen(
        [*command, f"--log={ip}:{port}"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def wait_ctl(process):
    out, _ = process.communicate(timeout=60)
    return process.returncode, out


def write(path, schema, replaces, config):
    document = {"schema": schema, "replaces": replaces, "config": config}
    path.write_text(json.dumps(document))
    return path


def in_force(lab, revision):
    def check():
        states = [lab.status(host)["config"] for host in lab.routers]
        return (
            states if all(state["revision"] == revision for state in states) else None
        )

    return wait_for(check, f"revision {revision} everywhere")


def test_concurrent_publishes_with_old_and_new_schema(lab, tmp_path):
    """Two operators publish concurrently on the same revision, one with schema 1 and
    one with schema 2, several times. Each time one is accepted and the other is
    rejected as lost, and all routers have the accepted revision: they evaluate the
    same log in the same order without coordination.
    """
    for _ in range(3):
        before = lab.status("r1")["config"]["revision"]
        old = write(tmp_path / "old.json", 1, before, {"accounts": [{"name": "old"}]})
        new = write(tmp_path / "new.json", 2, before, lab.config())
        publishers = [
            start_ctl(lab, "publish", file, routers(lab)) for file in (old, new)
        ]
        results = [wait_ctl(publisher) for publisher in publishers]
        assert sorted(code for code, _ in results) == [0, 1], results
        winner, loser = sorted(results)
        assert "in force on 3 of 3" in winner[1]
        assert "rejected, lost" in loser[1]
        in_force(lab, before + 1)
    states = [lab.status(host) for host in lab.routers]
    assert len({state["config"]["revision"] for state in states}) == 1
    decisions = defaultdict(set)
    for state in states:
        for decision in state["history"]:
            decisions[decision["offset"]].add(json.dumps(decision))
    # A router that fetched a revision from a peer did not evaluate the record itself.
    assert sorted(decisions) == list(range(len(decisions)))
    assert all(len(evaluations) == 1 for evaluations in decisions.values())


def test_router_without_state_joins_during_log_outage(lab):
    """A router is restarted without state during a log outage. It gets the
    configuration in force from its peers and reports in its status that the log is
    down. Once the log is back, a drain takes effect on it as on the others.
    """
    revision = lab.revision
    lab.log.fault(down=True)
    lab.routers["r3"].kill()
    lab.restart_router("r3")
    wait_for(
        lambda: (
            lab.status("r3")["config"]["revision"] == revision
            and lab.status("r3")["config"]["log"] == "down"
        ),
        "r3 has the state of a peer",
    )
    lab.log.fault()
    code, text = wait_ctl(start_ctl(lab, "drain", "e1", routers(lab)))
    assert (code, "in force on 3 of 3" in text) == (0, True), text
    in_force(lab, revision + 1)


def test_frozen_router_resumes_after_missed_records_are_trimmed(lab):
    """A router is frozen while records take effect and are trimmed from the log. After
    it resumes, its state is outdated and the next records are missing. It must not
    apply later records to that state, and restores the state in force from a peer or a
    snapshot.
    """
    next_offset = len(lab.log.call("GET", STREAM).json["records"])
    lab.routers["r2"].pause()
    for weight in range(2, KEPT_RECORDS + 5):
        accounts = [{"name": "acme", "share": {"weight": weight}}]
        lab.publish(lab.config(accounts=accounts))
        wait_for(
            lambda: lab.status("r1")["config"]["revision"] == lab.revision,
            "r1 has the new revision",
        )
    assert lab.log.call("GET", f"{STREAM}?from={next_offset}").status == 410
    lab.routers["r2"].resume()
    in_force(lab, lab.revision)
    assert lab.status("r2")["config"]["complete"]
