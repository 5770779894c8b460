"""``greengage-ctl explain`` on the logs of real gateways."""

import sys
from pathlib import Path
from subprocess import run
from tempfile import TemporaryDirectory

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    KEY,
    NON_RESUMABLE_CHAT,
    SAFE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import wait_for

HANGING_REQUESTS = 3
SLOW_MS = 1000


def explain_output(lab, request, ending):
    """Return the output of ``greengage-ctl explain`` once ``ending`` is logged."""

    def ending_logged():
        lines = "".join(router.stderr for router in lab.routers.values()).splitlines()
        return any(request in line and ending in line for line in lines)

    wait_for(ending_logged, f"{ending} of {request}")
    with TemporaryDirectory() as folder:
        paths = [Path(folder, f"{name}.log") for name in lab.routers]
        for path, process in zip(paths, lab.routers.values(), strict=True):
            path.write_text(f"words of another program\n{process.stderr}")
        command = [sys.executable, "-m", "greengageflow.ops.ctl", "explain", request]
        from_files = run([*command, *paths], cwd=ROOT, capture_output=True, text=True)
        text = "".join(path.read_text() for path in paths)
        command.append("-")
        from_stdin = run(command, input=text, cwd=ROOT, capture_output=True, text=True)
    assert (from_files.returncode, from_stdin.returncode) == (0, 0)
    assert from_files.stdout == from_stdin.stdout
    return from_files.stdout


def refusal_timeline():
    """Fill the only endpoint of a service; return the timeline of a refusal."""
    options = {"slots": 1, "queue": 4}
    with PlatformLab(PlatformShape(routers=2, plain=1, plain_options=options)) as lab:
        lab.set_faults("app-0", hang=True, times=HANGING_REQUESTS)
        clients = [lab.client() for _ in range(HANGING_REQUESTS)]
        for client in clients:
            client.send(SAFE, key=KEY)
        wait_for(lambda: len(lab.runs()) == HANGING_REQUESTS, "the endpoint is full")
        first = lab.ask(SAFE, body=b"again")
        second = lab.ask(SAFE, body=b"again", deadline_ms=5000)
        assert (first.status, second.status) == (429, 429)
        explain_output(lab, second.id, "REFUSED")
        return first.id, second.id, explain_output(lab, first.id, "REFUSED")


def cut_timeline():
    """Kill an engine during a stream; return its name and the timeline."""
    with PlatformLab(PlatformShape(routers=2, plain=0, engines=2)) as lab:
        client = lab.client()
        name = client.send(
            NON_RESUMABLE_CHAT, key=KEY, headers=generation(2000, ("p1", 50))
        )
        client.head()
        events = client.events()
        next(events)
        replica = lab.started_runs(name)[0]["replica"]
        lab.replicas[replica].kill()
        try:
            torn = not list(events)
        except IncompleteResponse:
            torn = True
        assert torn
        return replica, explain_output(lab, name, "CUT")


def late_response_timeline():
    """Send a request to a slow endpoint; return the timeline of the late response."""
    options = {"work_ms": SLOW_MS}
    with PlatformLab(PlatformShape(plain=1, plain_options=options)) as lab:
        answer = lab.ask(UNSAFE)
        assert answer.status == 200
        return explain_output(lab, answer.id, "FINISHED_LATE")


def test_a_refusal_is_explained():
    """Other requests occupy the only endpoint of a service. The timeline shows why the
    request was refused and links its retry."""
    first, second, timeline = refusal_timeline()
    assert f"{first} was probably retried as {second}" in timeline
    assert f"{first} refused, queue_full" in timeline
    assert "retry after" in timeline and "waited" in timeline


def test_a_cut_is_explained():
    """An engine dies during a stream that must not be resumed elsewhere. The timeline
    names the engine, how much it had sent, and that the request ran."""
    replica, timeline = cut_timeline()
    assert f"cut by {replica} after" in timeline and "ran: yes" in timeline


def test_a_late_answer_is_explained():
    """An endpoint exceeds the latency objective. The timeline shows the time waited,
    the endpoint's own time and the objective."""
    timeline = late_response_timeline()
    assert "finished late with 200 from app-0" in timeline
    assert "objective 800" in timeline
