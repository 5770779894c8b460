"""Carries out the steps of a plan; a step is a generator of the seconds to wait."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from select import select
from time import monotonic, sleep

from greengageflow.lab._platform_faults import RESET
from greengageflow.lab._processes import await_ready
from greengageflow.lab._soak_fleet import SoakFleet
from greengageflow.lab.soak_checks import GRACE_S, Breach
from greengageflow.lab.soak_facts import Leaving
from greengageflow.lab.soak_plan import Do, Step
from greengageflow.platform.names import DRAINING, SERVERS_TOPIC

POLL_S = 0.05
SETTLE_S = 0.3
SHOWN_WITHIN_S = 5.0
START_WITHIN_S = 60.0
END_SLACK_S = 4.0
DROP_EVERY_S = 0.2
RULES = {
    Do.CUT: "cut",
    Do.ONE_WAY: "freeze",
    Do.DELAY: "delay",
    Do.HALF_OPEN: "half_open",
    Do.LOSE_ANSWER: "drop_reply",
    Do.RESET: "cut",
    Do.SILENCE: "half_open",
    Do.LOSS: "lose",
}
# What a replica does that says it is well, or, the second, that it is not.
REPLICA_FAULTS = {
    Do.MUTE: {"hang": True},
    Do.FALSE_ILL: {"health": 503},
    Do.ABORT: {"lose": RESET, "cut_after": 3},
}


class Conductor:
    """Runs a plan on a fleet."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.breaches: list[Breach] = []
        self._fleet = fleet
        self._frozen: set[str] = set()
        self._busy: set[str] = set()
        self._starts = count(1)

    def run(self, plan: tuple[Step, ...]) -> None:
        """Carry out all steps; return when the last one has ended."""
        began, order = monotonic(), count()
        due = [(began + step.at_s, next(order), self._parts(step)) for step in plan]
        while due:
            at, _, parts = heappop(due)
            sleep(max(0.0, at - monotonic()))
            if (wait_s := next(parts, None)) is not None:
                heappush(due, (monotonic() + wait_s, next(order), parts))

    def _parts(self, step: Step) -> Iterator[float]:
        # A stop or a start may last longer than the plan could know.
        while step.target in self._busy:
            yield POLL_S
        self._busy.add(step.target)
        yield from self._carry_out(step)
        self._busy.discard(step.target)

    def _carry_out(self, step: Step) -> Iterator[float]:
        match step.do:
            case Do.KILL | Do.TERMINATE:
                yield from self._end_router(step)
            case Do.FREEZE:
                yield from self._freeze(step)
            case Do.CRASH:
                yield from self._replace(step.target, step.for_s)
            case Do.DRAIN | Do.VANISH:
                yield from self._leave(step)
            case Do.REFUSE:
                with self._fleet.trouble("store"):
                    self._fleet.store_fault(status=503)
                    yield step.for_s
                    self._fleet.store_fault()
            case Do.CONFIGURE | Do.REVOKE:
                yield from self._thawed()
                self._fleet.publish_next(revoke=step.do is Do.REVOKE)
            case Do.MUTE | Do.FALSE_ILL | Do.ABORT:
                yield from self._mislead(step)
            case Do.DROP_IDLE:
                yield from self._drop_idle(step)
            case Do.FLAP:
                yield from self._flap(step)
            case _:
                yield from self._harm_link(step)

    def _harm_link(self, step: Step) -> Iterator[float]:
        rule = {"do": RULES[step.do], "route": step.target, "way": step.way or None}
        if step.do is Do.DELAY:
            rule["delay_s"] = step.amount
        if step.do is Do.LOSS:
            rule["part"] = step.amount
        if step.source:
            rule["source"] = self._fleet.gossip_ip(step.source)
        with self._fleet.trouble(step.target), self._fleet.rule(**rule):
            yield step.for_s

    def _flap(self, step: Step) -> Iterator[float]:
        until = monotonic() + step.for_s
        with self._fleet.trouble(step.target):
            while monotonic() < until:
                with self._fleet.rule(do="cut", route=step.target):
                    yield step.amount
                yield step.amount

    def _mislead(self, step: Step) -> Iterator[float]:
        name = self._fleet.incarnation(step.target)
        # Torn streams alone excuse anything: all else has to be answered in time.
        torn = [step.target] if step.do is Do.ABORT else []
        with self._fleet.trouble(*torn):
            via = f"/{step.source}/" if step.source else ""
            self._fleet.fault(name, **REPLICA_FAULTS[step.do], via=via)
            yield step.for_s
            self._fleet.fault(name)

    def _drop_idle(self, step: Step) -> Iterator[float]:
        # No trouble is noted: callers must not see it.
        until, name = monotonic() + step.for_s, self._fleet.incarnation(step.target)
        while monotonic() < until:
            self._fleet.control(self._fleet.replicas[name], "POST", "/drop")
            yield DROP_EVERY_S

    def _end_router(self, step: Step) -> Iterator[float]:
        name, planned = step.target, step.do is Do.TERMINATE
        process = self._fleet.routers[name]
        with self._fleet.trouble(name, planned=planned):
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
            if now - began > GRACE_S + END_SLACK_S + late_s:
                self.breaches.append(Breach("stop", "", f"{name} does not end"))
                process.kill()
            yield POLL_S

    def _await_start(self, name: str) -> Iterator[float]:
        until = monotonic() + START_WITHIN_S
        while monotonic() < until:
            yield 2 * POLL_S
            try:
                if self._fleet.ready(name) == 200:
                    return
            except OSError:
                continue
        self.breaches.append(Breach("start", "", f"{name} is not ready again"))

    def _freeze(self, step: Step) -> Iterator[float]:
        process = self._fleet.process(step.target)
        with self._fleet.trouble(step.target):
            self._frozen.add(step.target)
            process.pause()
            yield step.for_s
            process.go_on()
            self._frozen.discard(step.target)

    def _replace(self, place: str, for_s: float) -> Iterator[float]:
        fleet, new = self._fleet, f"{place}.{next(self._starts)}"
        with fleet.trouble(place, f"link:{place}"):
            # Cut off first, so that nothing comes after its records were read.
            with fleet.rule(do="cut", route=f"link:{place}"):
                yield SETTLE_S
                old = fleet.incarnation(place)
                fleet.take_rows(old)
                fleet.replicas.pop(old).kill()
                yield for_s
                process = fleet.launch_replica(new)
                while not select([process.popen.stdout], [], [], 0)[0]:
                    yield POLL_S
                fleet.replicas[new] = await_ready(process)
                fleet.connect(new)
            yield from self._shown(new, leaving=False)

    def _leave(self, step: Step) -> Iterator[float]:
        name = self._fleet.incarnation(step.target)
        yield from self._thawed()
        state = DRAINING if step.do is Do.DRAIN else "gone"
        self._fleet.set_state(name, state)
        yield from self._shown(name, leaving=True)
        yield step.for_s
        yield from self._replace(step.target, SETTLE_S)

    def _shown(self, name: str, *, leaving: bool) -> Iterator[float]:
        """Wait until the store shows a replica as leaving, or as ready."""
        until = monotonic() + SHOWN_WITHIN_S
        while monotonic() < until:
            yield from self._thawed()
            entry = self._fleet.newest(SERVERS_TOPIC).get(name)
            if leaving is (entry is None or entry["state"] == DRAINING):
                if leaving:
                    self._fleet.facts.leavings.append(Leaving(name, monotonic()))
                return
            yield POLL_S

    def _thawed(self) -> Iterator[float]:
        while "store" in self._frozen:
            yield POLL_S
