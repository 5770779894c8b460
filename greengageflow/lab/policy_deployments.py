"""Simulated deployments: kinds of request, engines and their performance."""

from dataclasses import dataclass, replace
from math import log, sqrt
from random import Random

from greengageflow.core.routes import Backend, RetryPolicy, Route


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

    def route(self, service: str) -> Route:
        """Return the configured route of its requests, which ``service`` runs."""
        return Route(
            name=self.name,
            host="policy",
            prefix=f"/{self.name}/",
            retry_policy=RetryPolicy.ONCE,
            stream=True,
            timeout_s=self.deadline_s,
            target_s=self.target_s,
            gap_s=self.gap_s,
            attempts=1,
            priority=0,
            public=False,
            backends=(Backend(service),),
        )


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
        account_skew: Zipf exponent of the popularity of accounts.
        zone_weights: Weights of the zones for requests from outside the home zone.
        hint_ratio: Median ratio of the length hint to the tokens of the answer.
        hint_spread: Standard deviation of that ratio's logarithm.
        speeds: Relative speeds of engines, used in turn; a step at speed 2 takes half
            the time.
        step_noise: Standard deviation of the logarithm of a step's duration.
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
    account_skew: float = 1.4
    zone_weights: tuple[float, ...] = (1.0, 0.6, 0.8)
    hint_ratio: float = 1.3
    hint_spread: float = 0.0
    speeds: tuple[float, ...] = (1.0,)
    step_noise: float = 0.0

    def length_hint(self, random: Random, out: int) -> int:
        """Return a random length hint, in tokens, for an answer of ``out`` tokens."""
        ratio = self.hint_ratio
        if self.hint_spread:
            ratio *= random.lognormvariate(0.0, self.hint_spread)
        return max(1, int(ratio * out))


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
FEW_SLOTS = Deployment(
    (
        RequestKind(
            "itinerary",
            22.6,
            4.1,
            1.2,
            0.8,
            12.0,
            0.3,
            186,
            LengthDistribution(4_870, 0.7, 14_600),
            LengthDistribution(6_610, 1.4, 54_600),
            LengthDistribution(382, 0.44, 1_120),
        ),
        RequestKind(
            "chat",
            48.0,
            2.2,
            0.67,
            0.3,
            10.0,
            0.3,
            152,
            LengthDistribution(79, 0.7, 238),
            LengthDistribution(628, 1.0, 3_310),
            LengthDistribution(291, 0.69, 954),
        ),
        RequestKind(
            "tag",
            42.0,
            0.36,
            0.11,
            0.4,
            2.5,
            0.3,
            153,
            LengthDistribution(227, 0.7, 681),
            LengthDistribution(1_800, 1.3, 6_870),
            LengthDistribution(23, 1.4, 90),
        ),
    ),
    engines=10,
    zones=("a", "b", "c", "d"),
    accounts=30,
    slots=12,
    memory_tokens=395_000,
    prefill_tokens_per_s=61_200.0,
    step_s=0.00337,
    step_s_per_run=0.0000109,
    tokens_per_event=10,
    first_event_delay_s=0.006,
    tokens_per_s=343_000.0,
    account_skew=2.0,
    zone_weights=(1.0, 0.6, 0.8, 0.7),
    hint_ratio=1.0,
    hint_spread=0.5,
)
"""Engines that run few requests at once, at a seventh of a deployment's size."""
MIXED_SPEEDS = replace(FEW_SLOTS, speeds=(0.7, 0.7, 1.7))
DEPLOYMENTS = {
    "long": LONG_PROMPTS,
    "short": SHORT_PROMPTS,
    "slots": FEW_SLOTS,
    "speeds": MIXED_SPEEDS,
}
