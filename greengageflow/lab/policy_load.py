"""Generates the load and the faults of a simulated day from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import log, pi, sin, sqrt
from random import Random

from greengageflow.core.forward_request import Prompt, PromptPart

DAY_S = 40.0
"""Time in which requests arrive, in seconds."""
ACCOUNT_SKEW = 1.4
THING_SKEW = 0.3
"""Zipf exponents of the popularity of accounts and of shared prompt parts."""
HOME_ZONE_PART = 0.4
"""Fraction of an account's requests that come from its home zone."""
ZONE_WEIGHTS = (1.0, 0.6, 0.8)
"""Weights of the zones for the other requests."""


@dataclass(frozen=True, slots=True)
class Length:
    """Log-normal distribution of a token count.

    Args:
        mean: Mean before the limit is applied.
        spread: Standard deviation divided by the mean.
        most: Upper limit.
    """

    mean: float
    spread: float
    most: float

    def draw(self, random: Random) -> int:
        """Return a random token count of at least 1."""
        sigma = sqrt(log(1 + self.spread**2))
        drawn = random.lognormvariate(log(self.mean) - sigma**2 / 2, sigma)
        return max(1, int(min(drawn, self.most)))


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Args:
        name: Name of the kind.
        per_s: Requests per second to the whole fleet, without faults.
        worth: Worth of an answer in time.
        late_worth: Worth of a late answer.
        target_s: Target time to the first event, in seconds.
        deadline_s: Deadline for the whole answer, in seconds.
        gap_s: Longest allowed gap between events, in seconds.
        things: Number of shared prompt parts.
        shared: Token count of a shared prompt part.
        own: Token count of the rest of the prompt.
        out: Token count of the answer.
    """

    name: str
    per_s: float
    worth: float
    late_worth: float
    target_s: float
    deadline_s: float
    gap_s: float
    things: int
    shared: Length
    own: Length
    out: Length


@dataclass(frozen=True, slots=True)
class Sheet:
    """A simulated deployment.

    Args:
        kinds: Kinds of request.
        engines: Number of engines, spread evenly over the zones.
        zones: Availability zones.
        accounts: Number of client accounts; a few of them send most requests.
        slots: Maximum batch size of an engine.
        memory: KV cache capacity of an engine, in tokens.
        read_per_s: Maximum prefill rate of an engine, in tokens per second.
        step_s: Base duration of a step without prefill, in seconds.
        slot_s: Additional step duration per decoding request, in seconds.
        stride: Tokens per event.
        fixed_s: Time from the end of prefill to the first event, in seconds.
        fetch_s: Link time per token fetched from another engine, in seconds.
        tokens_per_s: Capacity of all engines, divided by fair share over accounts.
    """

    kinds: tuple[Kind, ...]
    engines: int = 5
    zones: tuple[str, ...] = ("a", "b", "c")
    accounts: int = 16
    slots: int = 64
    memory: int = 550_000
    read_per_s: float = 60_000.0
    step_s: float = 0.0065
    slot_s: float = 0.000165
    stride: int = 2
    fixed_s: float = 0.12
    fetch_s: float = 8e-7
    tokens_per_s: float = 130_000.0


LONG_PROMPTS = Sheet(
    (
        Kind(
            "plan",
            16.0,
            2.9,
            1.5,
            1.0,
            15.0,
            0.25,
            49,
            Length(13_300, 0.7, 39_900),
            Length(3_700, 1.1, 50_000),
            Length(120, 1.4, 480),
        ),
        Kind(
            "digest",
            7.4,
            2.3,
            1.1,
            0.8,
            8.0,
            0.25,
            23,
            Length(6_300, 0.6, 15_000),
            Length(2_900, 1.0, 40_000),
            Length(52, 1.4, 210),
        ),
        Kind(
            "chat",
            15.0,
            0.41,
            0.2,
            0.6,
            15.0,
            0.25,
            71,
            Length(350, 0.5, 900),
            Length(1_100, 1.0, 3_800),
            Length(172, 0.9, 530),
        ),
    )
)
SHORT_PROMPTS = Sheet(
    (
        Kind(
            "dossier",
            35.0,
            5.3,
            1.6,
            0.8,
            15.0,
            0.4,
            120,
            Length(5_400, 0.7, 16_000),
            Length(6_600, 1.0, 60_000),
            Length(380, 1.0, 1_500),
        ),
        Kind(
            "report",
            51.0,
            1.1,
            0.33,
            0.8,
            15.0,
            0.4,
            200,
            Length(200, 0.5, 600),
            Length(630, 1.0, 4_000),
            Length(290, 1.0, 1_200),
        ),
        Kind(
            "triage",
            51.0,
            0.38,
            0.11,
            1.5,
            3.0,
            0.4,
            100,
            Length(570, 0.5, 1_500),
            Length(1_800, 1.0, 9_000),
            Length(25, 0.7, 80),
        ),
    ),
    engines=9,
    slots=48,
    memory=600_000,
    step_s=0.0038,
    slot_s=0.00009,
    stride=5,
    fixed_s=0.03,
    tokens_per_s=220_000.0,
)
SHEETS = {"long": LONG_PROMPTS, "short": SHORT_PROMPTS}


@dataclass(frozen=True, slots=True)
class Asked:
    """A request of a simulated caller."""

    id: str
    at: float
    kind: Kind
    account: str
    zone: str
    prompt: Prompt
    out: int
    leaves_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault or a change of load.

    Args:
        kind: ``burst``, ``hot_account``, ``hot_key``, ``leave``, ``crash``, ``slow``,
            ``grey`` (an engine fails a fraction of its requests) or ``forget`` (all
            hosts restart without state).
        at: Start time, in seconds.
        to: End time, in seconds.
        x: Severity: a factor, or a fraction of requests.
        index: Index of the affected account or engine.
    """

    kind: str
    at: float
    to: float
    x: float = 1.0
    index: int = 0

    def holds(self, now: float) -> bool:
        """Whether the fault is active."""
        return self.at <= now < self.to


def draw_troubles(random: Random, sheet: Sheet) -> tuple[Trouble, ...]:
    """Return the faults of a day: at least one of each kind, at random times."""

    def one(kind: str, low: float, high: float, x: float, most: int) -> Trouble:
        at = random.uniform(0.5, DAY_S - 8)
        for_s = random.uniform(low, high)
        return Trouble(kind, at, at + for_s, x, random.randrange(most))

    found = [one("hot_account", 5, 9, random.uniform(2, 7), 4) for _ in range(4)]
    found += [one("burst", 3, 6, random.uniform(1.3, 1.8), 1) for _ in range(2)]
    found.append(one("hot_key", 4, 6, 0.3, len(sheet.kinds)))
    found.append(one("leave", 4, 6, 0.25, 1))
    found.append(one("crash", 2, 4, 1.0, sheet.engines))
    found.append(one("slow", 4, 7, 4.0, sheet.engines))
    found.append(one("grey", 4, 7, 0.2, sheet.engines))
    at = random.uniform(0.6, 0.8) * DAY_S
    return (*found, Trouble("forget", at, at))


class _Things:
    """Shared prompt parts of one kind of request."""

    def __init__(self, random: Random, kind: Kind) -> None:
        self.parts = [
            PromptPart(f"{kind.name}{n}", kind.shared.draw(random))
            for n in range(kind.things)
        ]
        self._weights = [1 / (n + 1) ** THING_SKEW for n in range(kind.things)]

    def pick(self, random: Random, hot: float) -> PromptPart:
        if random.random() < hot:
            return self.parts[0]
        return random.choices(self.parts, self._weights)[0]


def draw_load(
    random: Random, sheet: Sheet, troubles: tuple[Trouble, ...]
) -> Iterator[Asked]:
    """Yield the requests of a day in order of arrival."""
    accounts = [f"account{n}" for n in range(sheet.accounts)]
    homes = [random.choice(sheet.zones) for _ in accounts]
    things = {kind.name: _Things(random, kind) for kind in sheet.kinds}
    usual = [1 / (n + 1) ** ACCOUNT_SKEW for n in range(sheet.accounts)]
    per_s = sum(kind.per_s for kind in sheet.kinds)
    now, number = 0.0, 0
    while now < DAY_S:
        on = [trouble for trouble in troubles if trouble.holds(now)]
        weights = list(usual)
        rate = per_s * (1 + 0.15 * sin(2 * pi * now / 11))
        for trouble in on:
            match trouble.kind:
                case "hot_account":
                    weights[trouble.index] *= trouble.x
                case "burst":
                    rate *= trouble.x
        rate *= sum(weights) / sum(usual)
        now += random.expovariate(rate)
        number += 1
        index = random.choices(range(sheet.accounts), weights)[0]
        kind = random.choices(sheet.kinds, [kind.per_s for kind in sheet.kinds])[0]
        hot = max((t.x for t in on if t.kind == "hot_key"), default=0.0)
        leaves = random.random() < max(
            (t.x for t in on if t.kind == "leave"), default=0
        )
        at_home = random.random() < HOME_ZONE_PART
        zone = homes[index] if at_home else random.choices(sheet.zones, ZONE_WEIGHTS)[0]
        part = things[kind.name].pick(random, hot)
        own = kind.own.draw(random)
        out = kind.out.draw(random)
        prompt = Prompt(
            (part, PromptPart(f"own{number}", own)), part.tokens + own, int(1.3 * out)
        )
        yield Asked(
            f"q{number}",
            now,
            kind,
            accounts[index],
            zone,
            prompt,
            out,
            random.uniform(0.2, 2.0) if leaves else None,
        )
