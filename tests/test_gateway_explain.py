"""The way from a failed request's id to its cause, from real gateways' output."""

import sys
from pathlib import Path
from subprocess import run
from tempfile import TemporaryDirectory

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_client import Torn
from greengageflow.lab.platform_lab import (
    KEY,
    SAFE,
    TALE,
    UNSAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import wait_for

HELD = 3
SLOW_MS = 1000


def explained(lab, request, ending):
    """Return what ``greengage-ctl explain`` tells, once the ending is written."""

    def written():
        lines = "".join(one.stderr for one in lab.routers.values()).splitlines()
        return any(request in line and ending in line for line in lines)

    wait_for(written, f"{ending} of {request}")
    with TemporaryDirectory() as folder:
        paths = [Path(folder, f"{name}.log") for name in lab.routers]
        for path, process in zip(paths, lab.routers.values(), strict=True):
            path.write_text(f"words of another program\n{process.stderr}")
        command = [sys.executable, "-m", "greengageflow.ops.ctl", "explain", request]
        named = run([*command, *paths], cwd=ROOT, capture_output=True, text=True)
        text = "".join(path.read_text() for path in paths)
        command.append("-")
        piped = run(command, input=text, cwd=ROOT, capture_output=True, text=True)
    assert (named.returncode, piped.returncode) == (0, 0)
    assert named.stdout == piped.stdout
    return named.stdout


def refused_way():
    """Have the one endpoint of a service be full; return the story of a refusal."""
    options = {"slots": 1, "queue": 4}
    with PlatformLab(PlatformShape(routers=2, plain=1, plain_options=options)) as lab:
        lab.fault("app-0", hang=True, times=HELD)
        clients = [lab.client() for _ in range(HELD)]
        for client in clients:
            client.send(SAFE, key=KEY)
        wait_for(lambda: len(lab.runs()) == HELD, "the endpoint is full")
        first = lab.ask(SAFE, body=b"again")
        second = lab.ask(SAFE, body=b"again", deadline_ms=5000)
        assert (first.status, second.status) == (429, 429)
        explained(lab, second.id, "REFUSED")
        return first.id, second.id, explained(lab, first.id, "REFUSED")


def cut_way():
    """Kill an engine in the middle of a stream; return the story of the cut."""
    with PlatformLab(PlatformShape(routers=2, plain=0, engines=2)) as lab:
        client = lab.client()
        name = client.send(TALE, key=KEY, headers=generation(2000, ("p1", 50)))
        client.head()
        events = client.events()
        next(events)
        replica = lab.begun(name)[0]["replica"]
        lab.replicas[replica].kill()
        try:
            torn = not list(events)
        except Torn:
            torn = True
        assert torn
        return replica, explained(lab, name, "CUT")


def late_way():
    """Have a slow endpoint serve a request; return the story of the late answer."""
    options = {"work_ms": SLOW_MS}
    with PlatformLab(PlatformShape(plain=1, plain_options=options)) as lab:
        answer = lab.ask(UNSAFE)
        assert answer.status == 200
        return explained(lab, answer.id, "FINISHED_LATE")


def test_a_refusal_is_explained():
    """The only endpoint of a service is held by others' requests. The story names why
    the request was refused and links the attempt after it."""
    first, second, story = refused_way()
    assert f"{first} was probably sent again as {second}" in story
    assert f"{first} refused, queue_full" in story
    assert "come back after" in story and "waited" in story


def test_a_cut_is_explained():
    """An engine dies in the middle of a stream that may not go on elsewhere. The story
    names the engine, what it had sent, and that it ran."""
    replica, story = cut_way()
    assert f"cut by {replica} after" in story and "ran: yes" in story


def test_a_late_answer_is_explained():
    """An endpoint takes longer than the objective. The story has the wait before it,
    its own time and the objective."""
    story = late_way()
    assert "finished late with 200 from app-0" in story
    assert "objective 800" in story
