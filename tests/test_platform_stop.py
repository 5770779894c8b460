"""Requests that reach a stopping gateway all through its grace period."""

from collections import Counter
from contextlib import closing
from dataclasses import dataclass
from secrets import token_hex
from threading import Lock, Thread
from time import monotonic, sleep

from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    KEY,
    NON_RESUMABLE_CHAT,
    PlatformLab,
    PlatformShape,
    configuration,
    generation,
    route,
)
from greengageflow.platform.names import TOKEN_COUNT
from tests.support import wait_for

GRACE_S = 8.0
TAKEN_S = 2.0
"""Time after SIGTERM for which requests are surely taken, as the balancer may send
some until it has missed two readiness checks."""
LOSS_SLACK_S = 0.5
WORK_MS = (300, 1200, 3000)
STEP_MS, STRIDE = 10, 2
KINDS = {"safe": "idempotent", "unsafe": "non_idempotent"}
ENGINE = {"slots": 60, "queue": 60, "step_ms": STEP_MS, "growth": 0, "stride": STRIDE}
PLAIN = {"slots": 60, "queue": 60}


@dataclass(frozen=True)
class Outcome:
    """What became of one request.

    Args:
        name: Request id.
        what: Route and duration of the work.
        at_s: Time of sending, in seconds after SIGTERM.
        took_s: Time until the answer or the end of the connection, in seconds.
        status: Status of the whole answer; 0 if there is none.
        keeps: Whether the connection is kept.
        is_first: Whether it was the first request on its connection.
    """

    name: str
    what: tuple[str, str | None]
    at_s: float
    took_s: float
    status: int
    keeps: bool
    is_first: bool


class Callers:
    """Threads that send a request after the other until the gateway has ended."""

    def __init__(self, lab, router):
        self.outcomes, self.stopped_at, self.last_try_at = [], None, 0.0
        self._lab, self._router, self._lock = lab, router, Lock()
        self._process = lab.routers[router].popen
        self._threads = []

    def start(self):
        """Start a caller of each kind with a kept connection, and one without."""
        for path, headers in targets():
            for kept in (True, False):
                thread = Thread(target=self._run, args=(path, headers, kept))
                thread.start()
                self._threads.append(thread)

    def join(self):
        for thread in self._threads:
            thread.join(30)
            assert not thread.is_alive()

    def _run(self, path, headers, kept):
        client = None
        while self._process.poll() is None:
            self.last_try_at = monotonic()
            try:
                client = client or self._lab.client(self._router)
            except OSError:
                sleep(0.01)
                continue
            outcome = self._ask(client, path, headers)
            with self._lock:
                self.outcomes.append(outcome)
            if not (kept and outcome.keeps):
                client.close()
                client = None

    def _ask(self, client, path, headers):
        began = monotonic()
        at_s = began - self.stopped_at if self.stopped_at else -1.0
        name, status, keeps, first = token_hex(8), 0, False, client.unused
        try:
            client.send(path, key=KEY, headers=headers, name=name)
            head = client.head()
            keeps = head.headers.get("connection", "") != "close"
            if head.status == 200 and headers:
                ids = [event.id for event in client.events()]
                assert ids == list(range(1, len(ids) + 1))
            else:
                list(client.pieces())
            status = head.status
        except (IncompleteResponse, OSError):
            keeps = False
        what = path, headers and headers[TOKEN_COUNT]
        return Outcome(name, what, at_s, monotonic() - began, status, keeps, first)


def targets():
    """Yield path and headers of each kind of request."""
    for work_ms in WORK_MS:
        tokens = work_ms // STEP_MS
        for kind in KINDS:
            yield f"/{kind}-{work_ms}/", None
        for path in (CHAT, NON_RESUMABLE_CHAT):
            yield path, generation(tokens, (f"s{work_ms}", 50))


def stop_configuration():
    config = configuration(2)
    service = config["services"][0]
    routes = [
        route(f"{kind}-{ms}", f"/{kind}-{ms}/", f"work-{ms}", repeat)
        for ms in WORK_MS
        for kind, repeat in KINDS.items()
    ]
    services = [{**service, "name": f"work-{ms}"} for ms in WORK_MS]
    return configuration(
        2,
        routes=[*config["routes"], *routes],
        services=[*config["services"], *services],
    )


def test_no_request_is_passed_on_and_then_cut_by_a_stop():
    """Requests that came late in the grace were passed on and cut at its end."""
    shape = PlatformShape(
        routers=3,
        plain=0,
        engines=2,
        engine_options=ENGINE,
        bounds={"grace_s": GRACE_S},
        target_ms=8_000,
    )
    with PlatformLab(shape) as lab:
        lab.publish(stop_configuration())
        for ms in WORK_MS:
            for number in range(2):
                name = f"work-{ms}-{number}"
                lab.add_replica(name, service=f"work-{ms}", work_ms=ms, **PLAIN)
        paths = {path for path, _ in targets()}
        for path in paths - {CHAT, NON_RESUMABLE_CHAT}:
            wait_for(lambda p=path: lab.ask(p, "r0").status == 200, f"{path} is served")
        with closing(lab.client()) as long:
            long.send(CHAT, key=KEY, headers=generation(2_000, ("long", 50)))
            assert long.head().status == 200
            callers = Callers(lab, "r0")
            callers.start()
            wait_for(lambda: len(callers.outcomes) > 60, "requests are served")
            callers.stopped_at = monotonic()
            lab.terminate("r0")
            callers.start()
            callers.join()
            ended_s = monotonic() - callers.stopped_at
        assert lab.routers["r0"].popen.wait(5) == 0
        begun = {row["id"] for row in lab.runs() if row["begun"] is not None}
    assert GRACE_S - 1 < ended_s < GRACE_S
    late = [o for o in callers.outcomes if o.at_s >= 0]
    for o in callers.outcomes:
        if o.status == 200:
            continue
        assert o.name not in begun, o
        # A request may cross the close of a connection that was used before.
        assert o.at_s > TAKEN_S or (o.status == 0 and not o.is_first), o
        assert o.status in (429, 503) or o.took_s < LOSS_SLACK_S, o
    served = Counter(o.what for o in late if o.status == 200)
    assert len(served) == len(list(targets()))
    assert callers.last_try_at - callers.stopped_at > GRACE_S - 1.5
