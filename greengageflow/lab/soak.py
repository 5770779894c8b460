"""Soak test of the router on the platform lab: real processes and random faults.

A run draws a fault plan from its seed, executes it on a fleet under load, and checks
the guarantees of ``docs/SOAK.md`` against what callers, replicas and operator recorded.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from threading import Event as Flag
from threading import Thread
from time import monotonic, sleep

from greengageflow.events import Event as LogEvent
from greengageflow.lab._soak_callers import SERVED_KINDS, Callers
from greengageflow.lab._soak_fleet import SoakFleet
from greengageflow.lab._soak_steps import StepRunner
from greengageflow.lab.soak_checks import RECOVERY_S, Breach, check_all
from greengageflow.lab.soak_facts import Facts
from greengageflow.lab.soak_plan import (
    UNFRAMED_FROM_SEED,
    VERSIONS_FROM_SEED,
    Step,
    draw_plan,
)

CALLER_COUNT = 8
TICK_S = 0.02
DELAY_THRESHOLD_S = 0.03
IDLE_WITHIN_S = 10.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed."""

    seed: int
    plan: tuple[Step, ...]
    facts: Facts
    breaches: tuple[Breach, ...]
    logs: dict[str, str] = field(repr=False)

    @property
    def summary(self) -> str:
        """One-line summary of the result."""
        ends = Counter(one.end.value for one in self.facts.asked)
        broken = Counter(one.promise for one in self.breaches)
        late_s = max((late_s for _, late_s in self.facts.late), default=0.0)
        return (
            f"seed {self.seed}: {'BROKEN' if broken else 'ok'} {dict(broken) or ''} "
            f"{len(self.plan)} steps, {dict(ends)}, late {late_s:.2f} s"
        )

    def save(self, folder: Path) -> None:
        """Write the plan, the recorded facts and the logs of all processes."""
        folder.mkdir(parents=True, exist_ok=True)
        seen = asdict(self.facts) | {"breaches": [asdict(b) for b in self.breaches]}
        (folder / "plan.txt").write_text("\n".join(map(repr, self.plan)))
        (folder / "seen.json").write_text(json.dumps(seen, indent=1, default=repr))
        for name, text in self.logs.items():
            (folder / f"{name}.log").write_text(text)


def run_soak(seed: int, seconds: float) -> SoakResult:
    """Run one seed.

    New steps start for ``seconds``; the recovery checks at the end take extra time.
    """
    fleet = SoakFleet(
        mixed_versions=seed >= VERSIONS_FROM_SEED,
        unframed=seed >= UNFRAMED_FROM_SEED,
    )
    plan, stop = draw_plan(seed, seconds), Flag()
    Thread(
        target=_record_scheduling_delays, args=(fleet.facts, stop), daemon=True
    ).start()
    with fleet:
        breaches = list(_breaches(fleet, seed, plan))
        logs = {name: process.stderr for name, process in fleet.logs}
    stop.set()
    return SoakResult(seed, plan, fleet.facts, tuple(dict.fromkeys(breaches)), logs)


def _record_scheduling_delays(facts: Facts, stop: Flag) -> None:
    while not stop.is_set():
        due = monotonic() + TICK_S
        sleep(TICK_S)
        if (late_s := monotonic() - due) > DELAY_THRESHOLD_S:
            facts.late.append((monotonic(), late_s))


def _breaches(fleet: SoakFleet, seed: int, plan: tuple[Step, ...]) -> Iterator[Breach]:
    callers = Callers(seed, fleet)
    fleet.publish_next(revoke=False)
    callers.start(CALLER_COUNT)
    step_runner = StepRunner(fleet, callers)
    step_runner.run(plan)
    callers.stop()
    yield from step_runner.breaches
    yield from _check_recovery(fleet, callers)
    yield from callers.breaches
    _wait_until_idle(fleet)
    for name in fleet.replicas:
        fleet.collect_rows(name)
    fleet.collect_refused()
    yield from check_all(fleet.facts)
    for name, process in fleet.logs:
        text = process.stderr
        if LogEvent.INTERNAL.number in text or "Traceback" in text:
            yield Breach("program", "", f"unhandled exception in {name}")
    for name, process in fleet.routers.items():
        if process.popen.poll() is not None:
            yield Breach("program", "", f"{name} exited unexpectedly")


def _check_recovery(fleet: SoakFleet, callers: Callers) -> Iterator[Breach]:
    """Request every kind from every router until it succeeds or the bound passes."""
    began, random = monotonic(), Random("served")
    missing = {
        (router, kind) for router in fleet.front_addresses for kind in SERVED_KINDS
    }
    while missing and not _overdue(fleet, began, RECOVERY_S):
        for router, kind in sorted(missing):
            if callers.request_short_answer(random, kind, router):
                missing.discard((router, kind))
    yield from (
        Breach("recover", "", f"{r}: {kind} not served after the faults")
        for r, kind in missing
    )


def _wait_until_idle(fleet: SoakFleet) -> None:
    """Wait until no replica has work, or until remaining work counts as a breach."""
    began = monotonic()
    while any(row["ended"] is None for row in fleet.runs()):
        if _overdue(fleet, began, IDLE_WITHIN_S):
            return
        sleep(0.1)


def _overdue(fleet: SoakFleet, began: float, bound_s: float) -> bool:
    now = monotonic()
    return now - began > bound_s + fleet.facts.late_s(began, now)


def run_seeds(seeds: range, seconds: float, folder: str) -> int:
    """Run seeds in sequence and print a summary of each.

    Returns:
        Number of seeds with breaches.
    """
    broken = 0
    for seed in seeds:
        print(*draw_plan(seed, seconds), sep="\n", flush=True)
        result = run_soak(seed, seconds)
        print(result.summary, *result.breaches[:10], sep="\n  ", flush=True)
        if result.breaches:
            broken += 1
            result.save(Path(folder, f"seed-{seed}"))
    return broken
