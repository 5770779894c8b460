"""Generates the load and the faults of a simulated day from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import log, pi, sin, sqrt
from random import Random

from greengageflow.core.forward_request import Prompt, PromptPart

DAY_S = 40.0
"""Time in which requests arrive, in seconds."""
ACCOUNT_SKEW = 1.4
SHARED_PART_SKEW = 0.3
"""Zipf exponents of the popularity of accounts and of shared prompt parts."""
HOME_ZONE_FRACTION = 0.4
"""Fraction of an account's requests that come from its home zone."""
ZONE_WEIGHTS = (1.0, 0.6, 0.8)
"""Weights of the zones for the other requests."""


@dataclass(frozen=True, slots=True)
class LengthDistribution:
    """Log-normal distribution of a token count.

    Args:
        mean: Mean before the limit is applied.
        spread: Standard deviation divided by the mean.
        maximum: Upper limit.
    """

    mean: float
    spread: float
    maximum: float

    def draw(self, random: Random) -> int:
        """Return a random token count of at least 1."""
        sigma = sqrt(log(1 + self.spread**2))
        drawn = random.lognormvariate(log(self.mean) - sigma**2 / 2, sigma)
        return max(1, int(min(drawn, self.maximum)))


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Args:
        name: Name of the kind.
        requests_per_s: Requests per second to the whole fleet, without faults.
        worth: Worth of an answer in time.
        late_worth: Worth of a late answer.
        target_s: Target time to the first event, in seconds.
        deadline_s: Deadline for the whole answer, in seconds.
        gap_s: Longest allowed gap between events, in seconds.
        shared_parts: Number of shared prompt parts.
        shared: Token count of a shared prompt part.
        own: Token count of the rest of the prompt.
        out: Token count of the answer.
    """

    name: str
    requests_per_s: float
    worth: float
    late_worth: float
    target_s: float
    deadline_s: float
    gap_s: float
    shared_parts: int
    shared: LengthDistribution
    own: LengthDistribution
    out: LengthDistribution


@dataclass(frozen=True, slots=True)
class Deployment:
    """A simulated deployment.

    Args:
        kinds: Kinds of request.
        engines: Number of engines, spread evenly over the zones.
        zones: Availability zones.
        accounts: Number of client accounts; a few of them send most requests.
        slots: Maximum batch size of an engine.
        memory_tokens: KV cache capacity of an engine, in tokens.
        prefill_tokens_per_s: Maximum prefill rate of an engine, in tokens per second.
        step_s: Base duration of a step without prefill, in seconds.
        step_s_per_run: Additional step duration per decoding request, in seconds.
        tokens_per_event: Tokens per event.
        first_event_delay_s: Time from end of prefill to first event, in seconds.
        fetch_s_per_token: Link time per token fetched from another engine, in seconds.
        tokens_per_s: Capacity of all engines, divided by fair share over accounts.
    """

    kinds: tuple[RequestKind, ...]
    engines: int = 5
    zones: tuple[str, ...] = ("a", "b", "c")
    accounts: int = 16
    slots: int = 64
    memory_tokens: int = 550_000
    prefill_tokens_per_s: float = 60_000.0
    step_s: float = 0.0065
    step_s_per_run: float = 0.000165
    tokens_per_event: int = 2
    first_event_delay_s: float = 0.12
    fetch_s_per_token: float = 8e-7
    tokens_per_s: float = 130_000.0


LONG_PROMPTS = Deployment(
    (
        RequestKind(
            "plan",
            16.0,
            2.9,
            1.5,
            1.0,
            15.0,
            0.25,
            49,
            LengthDistribution(13_300, 0.7, 39_900),
            LengthDistribution(3_700, 1.1, 50_000),
            LengthDistribution(120, 1.4, 480),
        ),
        RequestKind(
            "digest",
            7.4,
            2.3,
            1.1,
            0.8,
            8.0,
            0.25,
            23,
            LengthDistribution(6_300, 0.6, 15_000),
            LengthDistribution(2_900, 1.0, 40_000),
            LengthDistribution(52, 1.4, 210),
        ),
        RequestKind(
            "chat",
            15.0,
            0.41,
            0.2,
            0.6,
            15.0,
            0.25,
            71,
            LengthDistribution(350, 0.5, 900),
            LengthDistribution(1_100, 1.0, 3_800),
            LengthDistribution(172, 0.9, 530),
        ),
    )
)
SHORT_PROMPTS = Deployment(
    (
        RequestKind(
            "dossier",
            35.0,
            5.3,
            1.6,
            0.8,
            15.0,
            0.4,
            120,
            LengthDistribution(5_400, 0.7, 16_000),
            LengthDistribution(6_600, 1.0, 60_000),
            LengthDistribution(380, 1.0, 1_500),
        ),
        RequestKind(
            "report",
            51.0,
            1.1,
            0.33,
            0.8,
            15.0,
            0.4,
            200,
            LengthDistribution(200, 0.5, 600),
            LengthDistribution(630, 1.0, 4_000),
            LengthDistribution(290, 1.0, 1_200),
        ),
        RequestKind(
            "triage",
            51.0,
            0.38,
            0.11,
            1.5,
            3.0,
            0.4,
            100,
            LengthDistribution(570, 0.5, 1_500),
            LengthDistribution(1_800, 1.0, 9_000),
            LengthDistribution(25, 0.7, 80),
        ),
    ),
    engines=9,
    slots=48,
    memory_tokens=600_000,
    step_s=0.0038,
    step_s_per_run=0.00009,
    tokens_per_event=5,
    first_event_delay_s=0.03,
    tokens_per_s=220_000.0,
)
DEPLOYMENTS = {"long": LONG_PROMPTS, "short": SHORT_PROMPTS}


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
    base_weights = [1 / (n + 1) ** ACCOUNT_SKEW for n in range(deployment.accounts)]
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
            else random.choices(deployment.zones, ZONE_WEIGHTS)[0]
        )
        part = shared_parts[kind.name].pick(random, hot_fraction)
        own = kind.own.draw(random)
        out = kind.out.draw(random)
        prompt = Prompt(
            (part, PromptPart(f"own{number}", own)), part.tokens + own, int(1.3 * out)
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
