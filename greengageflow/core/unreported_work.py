"""Estimate of the work that other placers have started and not reported yet.

A placer knows its own starts at once, and those of the others 0.1 to 0.25 s later. An
account that begins to ask has done little work by then, so each placer would start its
requests as if it were the only one. The account would get several times its share,
and then nothing for seconds.
"""

from collections.abc import Mapping

from greengageflow.core.decayed import DecayedSums

REPORT_AGE_S = 0.25
"""Age of the work in other hosts' reports, in seconds."""
MIN_DEMAND = 1000.0
"""Demand in tokens from which its distribution among placers counts as known."""


class UnreportedWork:
    """Recent starts of this placer by account, and what they say of the others'.

    The others are assumed to start as much as this placer, in proportion to an
    account's demand there, or to their endpoints while its demand is not known.
    """

    def __init__(self) -> None:
        self._started: DecayedSums[str] = DecayedSums(REPORT_AGE_S)
        self._asked: DecayedSums[str] = DecayedSums(REPORT_AGE_S)
        self._ratios: dict[str, float] = {}
        self._endpoint_ratio = 0.0

    def on_asked(self, now: float, account: str, work: float) -> None:
        """Record work that is asked for here."""
        self._asked.add(now, account, work)

    def on_started(self, now: float, account: str, work: float) -> None:
        """Record work that is started here."""
        self._started.add(now, account, work)

    def on_totals(
        self,
        now: float,
        own_demand: Mapping[str, float],
        others_demand: Mapping[str, float],
        endpoint_ratio: float,
    ) -> None:
        """Update the ratios of the others' starts to those of this placer.

        Args:
            now: The time.
            own_demand: Work asked for here lately, by account.
            others_demand: The same at the other hosts, as reported.
            endpoint_ratio: Endpoints of other placers for each one of this placer.
        """
        self._endpoint_ratio = endpoint_ratio
        self._ratios.clear()
        if not endpoint_ratio:
            return
        for account, demand in own_demand.items():
            # The reports don't have the latest demand either.
            reported = demand - self._asked.get(now, account)
            if reported >= MIN_DEMAND:
                ratio = others_demand.get(account, 0.0) / reported
                self._ratios[account] = min(ratio, endpoint_ratio)

    def of_others(self, now: float, account: str) -> float:
        """Return the work of an account that other placers may have started."""
        ratio = self._ratios.get(account, self._endpoint_ratio)
        return ratio * self._started.get(now, account) if ratio else 0.0
