"""Executes the steps of a soak plan; a step is a generator of delays in seconds."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count, cycle
from select import select
from time import monotonic, sleep

from greengageflow.lab._platform_faults import RESET
from greengageflow.lab._processes import await_ready
from greengageflow.lab._soak_callers import Callers
from greengageflow.lab._soak_fleet import POISON, POISON_PART, SoakFleet
from greengageflow.lab.soak_checks import GRACE_S, Breach
from greengageflow.lab.soak_facts import Kind, PoisonRequest, ReplicaRemoval
from greengageflow.lab.soak_plan import REPLICAS, ROUTERS, Do, Step
from greengageflow.platform.names import DRAINING, SERVERS_TOPIC

POLL_S = 0.05
SETTLE_S = 0.3
LISTED_WITHIN_S = 5.0
START_WITHIN_S = 60.0
EXIT_SLACK_S = 4.0
DROP_INTERVAL_S = 0.2
POISON_INTERVAL_S = 0.4
POISON_DURATION_S = 10.0
POISON_KINDS = {"app": (Kind.SAFE, Kind.UNSAFE), "scribe": (Kind.CHAT, Kind.TALE)}
BACKOFF_S = 2.0
SHED_ACCEPT_EVERY = 4
"""A replica that sheds load accepts only every n-th request."""
PROXY_RULES = {
    Do.CUT: "cut",
    Do.ONE_WAY: "freeze",
    Do.DELAY: "delay",
    Do.HALF_OPEN: "half_open",
    Do.LOSE_ANSWER: "drop_reply",
    Do.RESET: "cut",
    Do.SILENCE: "half_open",
    Do.LOSS: "lose",
}
# Faults of replicas whose health check contradicts their behaviour: MUTE and ABORT
# report healthy but fail requests, FALSE_ILL reports unhealthy but serves them.
REPLICA_FAULTS = {
    Do.MUTE: {"hang": True},
    Do.FALSE_ILL: {"health": 503},
    Do.ABORT: {"lose": RESET, "cut_after": 3},
}


def _service_places(step: Step) -> set[str]:
    """Return all replica places of the service that a step targets."""
    service = step.target.partition("-")[0]
    return {place for place in REPLICAS if place.startswith(service)}


class StepRunner:
    """Executes a plan on a fleet; poison requests are sent by its callers."""

    def __init__(self, fleet: SoakFleet, callers: Callers) -> None:
        self.breaches: list[Breach] = []
        self._fleet = fleet
        self._callers = callers
        self._frozen: set[str] = set()
        self._busy: set[str] = set()
        self._starts = count(1)

    def run(self, plan: tuple[Step, ...]) -> None:
        """Execute all steps and return when the last one has ended."""
        began, order = monotonic(), count()
        due = [
            (began + step.at_s, next(order), self._run_when_free(step)) for step in plan
        ]
        while due:
            at, _, delays = heappop(due)
            sleep(max(0.0, at - monotonic()))
            if (wait_s := next(delays, None)) is not None:
                heappush(due, (monotonic() + wait_s, next(order), delays))

    def _run_when_free(self, step: Step) -> Iterator[float]:
        # A stop or start may take longer than planned, so a step waits until earlier
        # steps on its targets have ended.
        whole_service = step.do in (Do.POISON, Do.POISON_PART, Do.SHED)
        targets = _service_places(step) if whole_service else {step.target}
        while targets & self._busy:
            yield POLL_S
        self._busy |= targets
        yield from self._execute(step)
        self._busy -= targets

    def _execute(self, step: Step) -> Iterator[float]:
        match step.do:
            case Do.KILL | Do.TERMINATE:
                yield from self._stop_router(step)
            case Do.FREEZE:
                yield from self._freeze(step)
            case Do.CRASH:
                yield from self._replace(step.target, step.for_s)
            case Do.DRAIN | Do.VANISH:
                yield from self._remove_replica(step)
            case Do.REFUSE:
                with self._fleet.disruption("store"):
                    self._fleet.set_store_faults(status=503)
                    yield step.for_s
                    self._fleet.set_store_faults()
            case Do.CONFIGURE | Do.REVOKE:
                yield from self._await_store_thaw()
                self._fleet.publish_next(revoke=step.do is Do.REVOKE)
            case Do.MUTE | Do.FALSE_ILL | Do.ABORT:
                yield from self._fault_replica(step)
            case Do.POISON | Do.POISON_PART:
                yield from self._poison(step)
            case Do.SAY_LEAVING:
                yield from self._signal_leaving(step)
            case Do.BACKOFF:
                yield from self._request_backoff(step)
            case Do.SHED:
                yield from self._shed(step)
            case Do.EVACUATE:
                yield from self._evacuate(step)
            case Do.DROP_IDLE:
                yield from self._drop_idle(step)
            case Do.FLAP:
                yield from self._flap(step)
            case _:
                yield from self._fault_link(step)

    def _fault_link(self, step: Step) -> Iterator[float]:
        rule = {
            "do": PROXY_RULES[step.do],
            "route": step.target,
            "way": step.way or None,
        }
        if step.do is Do.DELAY:
            rule["delay_s"] = step.amount
        if step.do is Do.LOSS:
            rule["part"] = step.amount
        if step.source:
            rule["source"] = self._fleet.gossip_ip(step.source)
        with self._fleet.disruption(step.target), self._fleet.rule(**rule):
            yield step.for_s

    def _flap(self, step: Step) -> Iterator[float]:
        until = monotonic() + step.for_s
        with self._fleet.disruption(step.target):
            while monotonic() < until:
                with self._fleet.rule(do="cut", route=step.target):
                    yield step.amount
                yield step.amount

    def _fault_replica(self, step: Step) -> Iterator[float]:
        name = self._fleet.incarnation(step.target)
        # Only aborted streams excuse a cut; the other faults must be hidden from
        # callers, so no disruption is recorded for them.
        disrupted = [step.target] if step.do is Do.ABORT else []
        with self._fleet.disruption(*disrupted):
            via = f"/{step.source}/" if step.source else ""
            self._fleet.set_faults(name, **REPLICA_FAULTS[step.do], via=via)
            yield step.for_s
            self._fleet.set_faults(name)

    def _poison(self, step: Step) -> Iterator[float]:
        """Retry a request that crashes replicas, and restart them."""
        fleet, kinds = self._fleet, POISON_KINDS[step.target.partition("-")[0]]
        kind = kinds[round(100 * step.at_s) % len(kinds)]
        places = _service_places(step)
        poisoned = PoisonRequest(f"{POISON} {step.at_s}")
        if step.do is Do.POISON_PART:
            poisoned = PoisonRequest("", part=f"{POISON_PART}-{step.at_s}")
        fleet.facts.poisoned.append(poisoned)
        until = monotonic() + POISON_DURATION_S
        with fleet.disruption(*places, *(f"link:{place}" for place in places)):
            for router in cycle(ROUTERS):
                self._callers.send_poison(kind, router, poisoned)
                yield POISON_INTERVAL_S
                for place in places:
                    if fleet.has_crashed(place):
                        poisoned.crashed.append(monotonic())
                        yield from self._restart_crashed(place)
                if monotonic() > until:
                    return

    def _restart_crashed(self, place: str) -> Iterator[float]:
        old = self._fleet.incarnation(place)
        self._fleet.collect_crash_rows(old)
        del self._fleet.replicas[old]
        yield from self._start_new(f"{place}.{next(self._starts)}")

    def _signal_leaving(self, step: Step) -> Iterator[float]:
        # No disruption is recorded: callers must not notice this fault.
        name = self._fleet.incarnation(step.target)
        self._fleet.set_faults(name, says_leaving=True)
        yield step.for_s
        yield from self._replace(step.target, SETTLE_S)

    def _request_backoff(self, step: Step) -> Iterator[float]:
        name = self._fleet.incarnation(step.target)
        with self._fleet.disruption():
            self._fleet.set_faults(name, backoff_s=BACKOFF_S)
            yield step.for_s
            self._fleet.set_faults(name)

    def _shed(self, step: Step) -> Iterator[float]:
        names = [self._fleet.incarnation(place) for place in _service_places(step)]
        with self._fleet.disruption():
            for name in names:
                self._fleet.set_faults(name, shed=SHED_ACCEPT_EVERY)
            yield step.for_s
            for name in names:
                self._fleet.set_faults(name)

    def _evacuate(self, step: Step) -> Iterator[float]:
        # No disruption is recorded: the other replicas serve the callers.
        yield from self._await_store_thaw()
        with self._fleet.evacuated(step.target.removeprefix("zone:")):
            yield step.for_s

    def _drop_idle(self, step: Step) -> Iterator[float]:
        # No disruption is recorded: callers must not notice this fault.
        until, name = monotonic() + step.for_s, self._fleet.incarnation(step.target)
        while monotonic() < until:
            self._fleet.control(self._fleet.replicas[name], "POST", "/drop")
            yield DROP_INTERVAL_S

    def _stop_router(self, step: Step) -> Iterator[float]:
        name, planned = step.target, step.do is Do.TERMINATE
        process = self._fleet.routers[name]
        with self._fleet.disruption(name, planned=planned):
            if planned:
                process.terminate()
                yield from self._await_end(name)
            else:
                process.kill()
            yield step.for_s
            self._fleet.launch_router(name)
            yield from self._await_start(name)

    def _await_end(self, name: str) -> Iterator[float]:
        began, process = monotonic(), self._fleet.routers[name]
        while process.popen.poll() is None:
            now = monotonic()
            late_s = self._fleet.facts.late_s(began, now)
            if now - began > GRACE_S + EXIT_SLACK_S + late_s:
                self.breaches.append(
                    Breach("stop", "", f"{name} did not exit within its grace period")
                )
                process.kill()
            yield POLL_S

    def _await_start(self, name: str) -> Iterator[float]:
        until = monotonic() + START_WITHIN_S
        while monotonic() < until:
            yield 2 * POLL_S
            try:
                if self._fleet.readiness_status(name) == 200:
                    return
            except OSError:
                continue
        self.breaches.append(
            Breach("start", "", f"{name} was not ready after its restart")
        )

    def _freeze(self, step: Step) -> Iterator[float]:
        process = self._fleet.process(step.target)
        with self._fleet.disruption(step.target):
            self._frozen.add(step.target)
            process.pause()
            yield step.for_s
            process.resume()
            self._frozen.discard(step.target)

    def _replace(self, place: str, for_s: float) -> Iterator[float]:
        fleet, new = self._fleet, f"{place}.{next(self._starts)}"
        with fleet.disruption(place, f"link:{place}"):
            # Cut the link first, so that no request arrives after its records are read.
            with fleet.rule(do="cut", route=f"link:{place}"):
                yield SETTLE_S
                old = fleet.incarnation(place)
                fleet.collect_rows(old)
                fleet.replicas.pop(old).kill()
                yield for_s
                yield from self._start_new(new)
            yield from self._await_listed(new, leaving=False)

    def _start_new(self, name: str) -> Iterator[float]:
        process = self._fleet.launch_replica(name)
        while not select([process.popen.stdout], [], [], 0)[0]:
            yield POLL_S
        self._fleet.replicas[name] = await_ready(process)
        self._fleet.connect(name)

    def _remove_replica(self, step: Step) -> Iterator[float]:
        name = self._fleet.incarnation(step.target)
        yield from self._await_store_thaw()
        state = DRAINING if step.do is Do.DRAIN else "gone"
        self._fleet.set_state(name, state)
        yield from self._await_listed(name, leaving=True)
        yield step.for_s
        yield from self._replace(step.target, SETTLE_S)

    def _await_listed(self, name: str, *, leaving: bool) -> Iterator[float]:
        """Wait until the store lists a replica as leaving, or as ready."""
        until = monotonic() + LISTED_WITHIN_S
        while monotonic() < until:
            yield from self._await_store_thaw()
            entry = self._fleet.newest_values(SERVERS_TOPIC).get(name)
            if leaving is (entry is None or entry["state"] == DRAINING):
                if leaving:
                    self._fleet.facts.leavings.append(ReplicaRemoval(name, monotonic()))
                return
            yield POLL_S

    def _await_store_thaw(self) -> Iterator[float]:
        while "store" in self._frozen:
            yield POLL_S
