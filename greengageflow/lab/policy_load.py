"""Generates the load and the faults of a simulated day from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import pi, sin
from random import Random

from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.lab.policy_deployments import Deployment, RequestKind

DAY_S = 40.0
"""Time in which requests arrive, in seconds."""
SHARED_PART_SKEW = 0.3
"""Zipf exponent of the popularity of shared prompt parts."""
HOME_ZONE_FRACTION = 0.4
"""Fraction of an account's requests that come from its home zone."""


@dataclass(frozen=True, slots=True)
class SimulatedRequest:
    """A request of a simulated caller."""

    id: str
    at: float
    kind: RequestKind
    account: str
    zone: str
    prompt: Prompt
    out: int
    disconnects_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault or a change of load.

    Args:
        kind: ``burst``, ``hot_account``, ``hot_key``, ``leave``, ``crash``, ``slow``,
            ``grey`` (an engine fails a fraction of its requests) or ``forget`` (all
            hosts restart without state).
        at: Start time, in seconds.
        until: End time, in seconds.
        severity: Severity: a factor, or a fraction of requests.
        index: Index of the affected account or engine.
    """

    kind: str
    at: float
    until: float
    severity: float = 1.0
    index: int = 0

    def is_active(self, now: float) -> bool:
        """Whether the fault is active."""
        return self.at <= now < self.until


def draw_faults(random: Random, deployment: Deployment) -> tuple[Fault, ...]:
    """Return the faults of a day: at least one of each kind, at random times."""

    def draw_fault(
        kind: str, low: float, high: float, severity: float, index_count: int
    ) -> Fault:
        at = random.uniform(0.5, DAY_S - 8)
        for_s = random.uniform(low, high)
        return Fault(kind, at, at + for_s, severity, random.randrange(index_count))

    faults = [
        draw_fault("hot_account", 5, 9, random.uniform(2, 7), 4) for _ in range(4)
    ]
    faults += [draw_fault("burst", 3, 6, random.uniform(1.3, 1.8), 1) for _ in range(2)]
    faults.append(draw_fault("hot_key", 4, 6, 0.3, len(deployment.kinds)))
    faults.append(draw_fault("leave", 4, 6, 0.25, 1))
    faults.append(draw_fault("crash", 2, 4, 1.0, deployment.engines))
    faults.append(draw_fault("slow", 4, 7, 4.0, deployment.engines))
    faults.append(draw_fault("grey", 4, 7, 0.2, deployment.engines))
    at = random.uniform(0.6, 0.8) * DAY_S
    return (*faults, Fault("forget", at, at))


class _SharedParts:
    """Shared prompt parts of one kind of request."""

    def __init__(self, random: Random, kind: RequestKind) -> None:
        self.parts = [
            PromptPart(f"{kind.name}{n}", kind.shared.draw(random))
            for n in range(kind.shared_parts)
        ]
        self._weights = [
            1 / (n + 1) ** SHARED_PART_SKEW for n in range(kind.shared_parts)
        ]

    def pick(self, random: Random, hot_fraction: float) -> PromptPart:
        if random.random() < hot_fraction:
            return self.parts[0]
        return random.choices(self.parts, self._weights)[0]


def draw_load(
    random: Random, deployment: Deployment, faults: tuple[Fault, ...]
) -> Iterator[SimulatedRequest]:
    """Yield the requests of a day in order of arrival."""
    accounts = [f"account{n}" for n in range(deployment.accounts)]
    home_zones = [random.choice(deployment.zones) for _ in accounts]
    shared_parts = {kind.name: _SharedParts(random, kind) for kind in deployment.kinds}
    base_weights = [
        1 / (n + 1) ** deployment.account_skew for n in range(deployment.accounts)
    ]
    requests_per_s = sum(kind.requests_per_s for kind in deployment.kinds)
    now, number = 0.0, 0
    while now < DAY_S:
        active = [fault for fault in faults if fault.is_active(now)]
        weights = list(base_weights)
        rate = requests_per_s * (1 + 0.15 * sin(2 * pi * now / 11))
        for fault in active:
            match fault.kind:
                case "hot_account":
                    weights[fault.index] *= fault.severity
                case "burst":
                    rate *= fault.severity
        rate *= sum(weights) / sum(base_weights)
        now += random.expovariate(rate)
        number += 1
        index = random.choices(range(deployment.accounts), weights)[0]
        kind = random.choices(
            deployment.kinds, [kind.requests_per_s for kind in deployment.kinds]
        )[0]
        hot_fraction = max(
            (t.severity for t in active if t.kind == "hot_key"), default=0.0
        )
        disconnects = random.random() < max(
            (t.severity for t in active if t.kind == "leave"), default=0
        )
        from_home_zone = random.random() < HOME_ZONE_FRACTION
        zone = (
            home_zones[index]
            if from_home_zone
            else random.choices(deployment.zones, deployment.zone_weights)[0]
        )
        part = shared_parts[kind.name].pick(random, hot_fraction)
        own = kind.own.draw(random)
        out = kind.out.draw(random)
        prompt = Prompt(
            (part, PromptPart(f"own{number}", own)),
            part.tokens + own,
            deployment.length_hint(random, out),
        )
        yield SimulatedRequest(
            f"q{number}",
            now,
            kind,
            accounts[index],
            zone,
            prompt,
            out,
            random.uniform(0.2, 2.0) if disconnects else None,
        )
