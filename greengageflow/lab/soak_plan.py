"""Fault plan of a soak run, determined by its seed alone."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

ROUTERS = ("r0", "r1", "r2")
REPLICAS = ("app-0", "app-1", "app-2", "scribe-0", "scribe-1")
FIRST_STEP_AT_S = 2.0
MEAN_STEP_INTERVAL_S = 1.3
REST_AFTER_STEP_S = 4.0
MIN_STEP_S, MAX_STEP_S, MAX_STORE_STEP_S = 0.3, 4.0, 12.0


class Do(StrEnum):
    """Action of a step; faults of links are injected by the fault proxy."""

    CUT = "cut"
    ONE_WAY = "one_way"
    DELAY = "delay"
    HALF_OPEN = "half_open"
    LOSE_ANSWER = "lose_answer"
    RESET = "reset"
    SILENCE = "silence"
    LOSS = "loss"
    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    CRASH = "crash"
    DRAIN = "drain"
    VANISH = "vanish"
    REFUSE = "refuse"
    CONFIGURE = "configure"
    REVOKE = "revoke"
    MUTE = "mute"
    FALSE_ILL = "false_ill"
    ABORT = "abort"
    DROP_IDLE = "drop_idle"
    FLAP = "flap"
    POISON = "poison"
    SAY_LEAVING = "say_leaving"
    BACKOFF = "backoff"
    SHED = "shed"
    EVACUATE = "evacuate"
    POISON_PART = "poison_part"


INSTANT_ACTIONS = (Do.RESET, Do.SILENCE, Do.CONFIGURE, Do.REVOKE)
EXTRA_DURATION_S = {
    Do.DRAIN: REST_AFTER_STEP_S,
    Do.VANISH: REST_AFTER_STEP_S,
    Do.SAY_LEAVING: REST_AFTER_STEP_S,
    Do.SHED: 8.0,
    Do.EVACUATE: 8.0,
}
LINK_FAULTS = (Do.CUT, Do.ONE_WAY, Do.DELAY, Do.HALF_OPEN, Do.LOSE_ANSWER)
# Weight, possible actions, and target templates, filled with random names.
DRAWS = (
    (30, (*LINK_FAULTS, Do.RESET, Do.SILENCE), ("store:{r}", "front:{r}", "link:{p}")),
    (12, (Do.CUT, Do.LOSS, Do.DELAY), ("gossip:{r}",)),
    (18, (Do.KILL, Do.TERMINATE, Do.FREEZE), ("{r}",)),
    (14, (Do.CRASH, Do.FREEZE), ("{p}",)),
    (12, (Do.DRAIN, Do.VANISH), ("{p}",)),
    (5, (Do.REFUSE, Do.FREEZE), ("store",)),
    (9, (Do.CONFIGURE, Do.REVOKE), ("operator",)),
)
# Actions that were added later apply to higher seeds only, so that the plan of an
# existing seed never changes.
LATER_FROM_SEED = 500
LATER_DRAWS = (
    (20, (Do.MUTE, Do.FALSE_ILL, Do.ABORT), ("{p}",)),
    (10, (Do.DROP_IDLE,), ("{p}",)),
    (10, (Do.FLAP,), ("link:{p}",)),
)
NEWEST_FROM_SEED = 3000
NEWEST_DRAWS = ((24, (Do.POISON, Do.SAY_LEAVING, Do.BACKOFF), ("{p}",)),)
SHED_FROM_SEED = 4000
SHED_DRAWS = ((40, (Do.SHED,), ("{p}",)), (30, (Do.KILL, Do.FREEZE), ("{r}",)))
EVACUATE_FROM_SEED = 6000
EVACUATE_DRAWS = ((40, (Do.EVACUATE,), ("zone:{p}",)),)
VERSIONS_FROM_SEED = 8000
"""First seed of the runs with poison prompt parts and replicas of several versions."""
UNFRAMED_FROM_SEED = 12_000
"""First seed of the runs in which streams may have no length."""
VERSIONS_DRAWS = (
    (12, (Do.POISON_PART,), ("scribe-0",)),
    (24, (Do.CRASH, Do.ABORT), ("scribe-0", "scribe-1")),
    (16, (Do.KILL, Do.TERMINATE), ("{r}",)),
)


@dataclass(frozen=True, slots=True)
class Step:
    """One action on the fleet.

    Args:
        at_s: Seconds from the start of the plan.
        do: The action.
        target: A process (``r0``, ``app-1``, ``store``), a link (``store:r0``,
            ``front:r0``, ``gossip:r1``, ``link:app-1``), or the zone of a replica
            (``zone:app-1``).
        for_s: Duration in seconds; a process that ended is restarted afterwards.
        way: Direction that is cut: ``up`` (to the target) or ``down``.
        amount: Seconds of delay, seconds of each flap phase, or share of datagrams
            that are lost.
        source: Router whose datagrams or requests are affected; empty for all.
    """

    at_s: float
    do: Do
    target: str
    for_s: float = 0.0
    way: str = ""
    amount: float = 0.0
    source: str = ""


def draw_plan(seed: int, seconds: float) -> tuple[Step, ...]:
    """Return the steps of a seed in order of start; all start within ``seconds``."""
    draws = DRAWS if seed < LATER_FROM_SEED else (*DRAWS, *LATER_DRAWS)
    draws = draws if seed < NEWEST_FROM_SEED else (*draws, *NEWEST_DRAWS)
    draws = draws if seed < SHED_FROM_SEED else (*draws, *SHED_DRAWS)
    draws = draws if seed < EVACUATE_FROM_SEED else (*draws, *EVACUATE_DRAWS)
    draws = draws if seed < VERSIONS_FROM_SEED else (*draws, *VERSIONS_DRAWS)
    return tuple(_drop_overlaps(_steps(Random(seed), draws, seconds)))


def _steps(random: Random, draws: tuple, seconds: float) -> Iterator[Step]:
    at_s = FIRST_STEP_AT_S
    while at_s < seconds:
        yield _step(random, draws, round(at_s, 2))
        at_s += random.expovariate(1 / MEAN_STEP_INTERVAL_S)


def _drop_overlaps(steps: Iterator[Step]) -> Iterator[Step]:
    # Overlapping steps on one target would cancel each other when they end.
    busy_until: dict[str, float] = {}
    for step in steps:
        if busy_until.get(step.target, 0.0) <= step.at_s:
            rest_s = 0.0 if step.do in INSTANT_ACTIONS else REST_AFTER_STEP_S
            busy_until[step.target] = step.at_s + step.for_s + rest_s
            yield step


def _step(random: Random, draws: tuple, at_s: float) -> Step:
    weights = [weight for weight, _, _ in draws]
    ((_, actions, targets),) = random.choices(draws, weights)
    do, router = random.choice(actions), random.choice(ROUTERS)
    target = random.choice(targets).format(r=router, p=random.choice(REPLICAS))
    # Store faults last long enough for the trust in keys to expire.
    longest_s = MAX_STORE_STEP_S if target.startswith("store:") else MAX_STEP_S
    length_s = round(random.uniform(MIN_STEP_S, longest_s), 2)
    way = random.choice(("up", "down"))
    amount = round(random.uniform(0.1, 0.9), 2)
    sources = ["", *(name for name in ROUTERS if name != router)]
    source = random.choice(sources)
    return Step(
        at_s,
        do,
        target,
        0.0 if do in INSTANT_ACTIONS else length_s + EXTRA_DURATION_S.get(do, 0.0),
        way if do is Do.ONE_WAY else "",
        amount if do in (Do.DELAY, Do.LOSS, Do.FLAP) else 0.0,
        source if target.startswith("gossip") or do is Do.MUTE else "",
    )
