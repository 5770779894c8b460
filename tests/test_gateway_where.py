"""``greengage-ctl where`` against a gateway on loopback."""

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from subprocess import run

from greengageflow.lab._processes import ROOT
from greengageflow.lab.platform_lab import (
    HOST,
    KEY,
    NON_RESUMABLE_CHAT,
    READY_PORT,
    SAFE,
    PlatformLab,
    PlatformShape,
    generation,
)
from tests.support import call, wait_for

METRICS_PORT = 7302
CONCURRENT_QUESTIONS = 12
MAX_PROMPTS = 20
SHARED_TOKENS, OWN_TOKENS = 600, 300


def engine_query(shared):
    """Return the command's arguments for a prompt with the shared part ``shared``."""
    return (
        f"--host={HOST}",
        f"--path={NON_RESUMABLE_CHAT}",
        "--account=tenant-1",
        f"--tokens_in={SHARED_TOKENS + OWN_TOKENS}",
        "--tokens_out=50",
        f"--parts={shared}:{SHARED_TOKENS},own:{OWN_TOKENS}",
    )


class MetricsLab(PlatformLab):
    """A lab whose gateways have a metrics listener."""

    def launch_router(self, name):
        settings = self.settings[name]
        settings["metrics"] = f"{settings['ip']}:{METRICS_PORT}"
        return super().launch_router(name)


def where(lab, *args, router="r0", stdin=""):
    """Return exit status, standard output and standard error of the command."""
    address = f"{lab.settings[router]['ip']}:{METRICS_PORT}"
    command = [sys.executable, "-m", "greengageflow.ops.ctl", "where", address, *args]
    done = run(command, cwd=ROOT, input=stdin, capture_output=True, text=True)
    return done.returncode, done.stdout, done.stderr


def engine_data(lab, router, shared):
    """Return the explanation of a model request as a JSON value."""
    status, out, err = where(lab, *engine_query(shared), "--json", router=router)
    assert status == 0, err
    return json.loads(out)


def page(lab, query, port=METRICS_PORT):
    address = lab.settings["r0"]["ip"], port
    return call(address, "GET", f"/placement?{query}")


def test_explanation_names_the_placer_and_the_engine_that_gets_the_request():
    """Guards against an explanation that differs from what happens, and against a
    choice of the asked host that is taken for the placer's. A stream that may be
    resumed would go on at another engine if the machine is so busy that it stalls.
    """
    with MetricsLab(PlatformShape(routers=2, plain=0, engines=2)) as lab:

        def ask(shared):
            parts = (shared, SHARED_TOKENS), ("own", OWN_TOKENS)
            answer = lab.ask(NON_RESUMABLE_CHAT, headers=generation(50, *parts))
            assert answer.status == 200
            (run_,) = lab.runs(answer.id)
            return run_["replica"]

        def holders(shared):
            """Return the engines that hold the part, as each host sees it."""
            return [
                {
                    row["id"]
                    for row in engine_data(lab, router, shared)["candidates"]
                    if row["cached_tokens"] == SHARED_TOKENS
                }
                for router in ("r0", "r1")
            ]

        # On a busy machine a placer may decide after the host that asked it has
        # decided itself. The part then counts as cached at both engines, which are
        # equally good for the next request, so another prompt is used.
        for number in range(MAX_PROMPTS):
            shared = f"system-{number}"
            used = ask(shared)
            wait_for(
                lambda shared=shared, used=used: all(
                    used in found for found in holders(shared)
                ),
                "both hosts know the cached part",
            )
            if holders(shared) == [{used}, {used}]:
                break
        found = [engine_data(lab, router, shared) for router in ("r0", "r1")]
        (placer,) = {data["placer"] for data in found}
        assert [data["decided_here"] for data in found] == [
            data["host"] == placer for data in found
        ]
        assert {(d["outcome"], d["endpoint"]) for d in found} == {("start", used)}
        assert all(data["load_report_age_s"] < 5 for data in found)
        assert ask(shared) == used
        other = next(data["host"] for data in found if data["host"] != placer)
        status, out, err = where(lab, *engine_query(shared), router=other)
        assert status == 0, err
        assert f"{placer} decides; {other} was asked" in out


def test_explanations_are_limited_and_show_no_key():
    """Guards against a key that is printed or logged, an unlimited rate, and a page
    for callers or the balancer.
    """
    wrong = "wrong-key-of-nobody"
    route = (f"--host={HOST}", f"--path={SAFE}")
    with MetricsLab() as lab:
        status, out, err = where(lab, *route, "--key_file=-", stdin=KEY + "\n")
        assert status == 0, err
        assert "account tenant-1" in out and "r0: starts at app-" in out
        assert "ENDPOINT" in out and KEY not in out + err
        status, out, err = where(lab, *route, "--key_file=-", stdin=wrong)
        assert status == 1 and "answered 400: key: unknown" in err
        assert wrong not in out + err
        status, out, err = where(lab, "--service=nothing")
        assert status == 1 and "no route sends requests" in err

        # All at once, since a busy machine may take a second for them in turn.
        with ThreadPoolExecutor(CONCURRENT_QUESTIONS) as pool:
            queries = ["service=app&account=tenant-1"] * CONCURRENT_QUESTIONS
            answers = list(pool.map(lambda query: page(lab, query), queries))
        assert {answer.status for answer in answers} == {200, 429}
        refused = next(answer for answer in answers if answer.status == 429)
        assert 0 < float(refused.headers["retry-after"]) <= 1
        assert page(lab, "service=app&account=tenant-1", READY_PORT).status == 404
        assert lab.ask("/placement?service=app&account=tenant-1").status == 404
        assert not lab.runs()
        assert KEY not in lab.router_logs and wrong not in lab.router_logs
