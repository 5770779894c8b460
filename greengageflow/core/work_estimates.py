"""Estimates of the work of requests, learned from finished requests alike.

The values are of one quantity, such as seconds from first event to end, seconds of a
plain call or tokens of an answer. Each quantity needs its own ``WorkEstimates``.
"""

from collections import OrderedDict
from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from greengageflow.core.account_histogram import AccountHistogram
from greengageflow.core.log_histogram import Distribution, LogHistogram, bucket_of

MIN_SAMPLES = 20
"""Effective samples that a class needs for an estimate."""
DECAY_S = 30.0
"""Time constant of the decay of samples, in seconds."""
MAX_CLASSES = 512
"""Maximum number of classes; those observed least recently are evicted."""
MAX_ACCOUNT_CLASSES = MAX_CLASSES // 4
"""Maximum number of classes of single accounts.

They evict only each other, so an account with a new name for each request doesn't evict
the classes of whole services and kinds.
"""
MAX_ACCOUNT_FRACTION = 0.25
"""Maximum fraction of one account in the classes of services and kinds."""


class WorkKey(NamedTuple):
    """A class of requests.

    A named tuple, since it is hashed several times for each request.

    Args:
        service: Name of the service.
        kind: What distinguishes requests of a service, such as the route.
        account: Client account.
    """

    service: str
    kind: str
    account: str


class WorkEstimate(NamedTuple):
    """Distribution of the work of a request, in the unit of the observed values.

    A named tuple, since one is created for each request.

    Args:
        p10: Value below which a tenth of the requests lie.
        median: Value below which half of them lie.
        p90: Value below which nine tenths of them lie.
        mean: Mean.
        samples: Effective number of samples.
    """

    p10: float
    median: float
    p90: float
    mean: float
    samples: float


class WorkEstimates:
    """Learns the distribution of a quantity by account, kind and service.

    Predictions come from the narrowest class with enough samples: of the account and
    kind, of the kind, or of the service. They are as of at most 0.25 s before ``now``.

    Attributes:
        ignored: Number of observed values that were not positive and finite.
    """

    def __init__(self) -> None:
        self.ignored = 0
        self._newest = -inf
        self._account_classes: OrderedDict[WorkKey, LogHistogram] = OrderedDict()
        self._wide_classes: OrderedDict[tuple[str, ...], AccountHistogram] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of classes."""
        return len(self._account_classes) + len(self._wide_classes)

    def observe(self, now: float, key: WorkKey, value: float) -> None:
        """Record the value of a finished request."""
        if not 0.0 < value < inf:
            self.ignored += 1
            return
        self._newest = max(now, self._newest)
        bucket = bucket_of(value)
        self._account_class(now, key).add(now, bucket)
        service, kind, account = key
        self._wide_class(now, (service, kind)).add_for(now, account, bucket)
        self._wide_class(now, (service,)).add_for(now, account, bucket)

    def estimate(self, key: WorkKey, now: float | None = None) -> WorkEstimate | None:
        """Return the distribution of the value of a request.

        Args:
            key: Its class.
            now: The time; None for the newest time of an observed value.

        Returns:
            None if no class has enough samples.
        """
        found = self._distribution(self._newest if now is None else now, key)
        if found is None:
            return None
        quantile = found.quantile
        return WorkEstimate(
            quantile(0.1), quantile(0.5), quantile(0.9), found.mean, found.samples
        )

    def remaining_s(self, now: float, key: WorkKey, age_s: float) -> float | None:
        """Return the expected seconds until a running request ends.

        Args:
            now: The time.
            key: Its class.
            age_s: Seconds for which it has run.

        Returns:
            None if no class has enough samples.
        """
        found = self._distribution(now, key)
        return None if found is None else found.remaining(age_s)

    def ended_within(
        self, now: float, key: WorkKey, age_s: float, seconds: float
    ) -> float | None:
        """Return the probability that a running request ends within ``seconds``.

        Args:
            now: The time.
            key: Its class.
            age_s: Seconds for which it has run.
            seconds: Seconds from now.

        Returns:
            None if no class has enough samples.
        """
        found = self._distribution(now, key)
        return None if found is None else found.ended_within(age_s, seconds)

    def distribution(self, now: float, key: WorkKey) -> Distribution | None:
        """Return the distribution by which a class is predicted.

        It answers many questions on one class faster than the methods above.

        Args:
            now: The time.
            key: The class.

        Returns:
            None if no class has enough samples.
        """
        return self._distribution(now, key)

    def snapshot(self) -> "WorkEstimates":
        """Return a copy for predictions that leave this object unchanged.

        It is valid until the next observed value.
        """
        found = WorkEstimates()
        found._newest = self._newest
        found._account_classes = _Snapshots(self._account_classes)
        found._wide_classes = _Snapshots(self._wide_classes)
        return found

    def _distribution(self, now: float, key: WorkKey) -> Distribution | None:
        """Return the distribution of the narrowest class with enough samples."""
        narrow = self._account_classes.get(key)
        if narrow is not None:
            found = narrow.distribution(now)
            if found is not None:
                return found
        for wide_key in (key[:2], key[:1]):
            wide = self._wide_classes.get(wide_key)
            if wide is not None:
                found = wide.distribution(now)
                if found is not None:
                    return found
        return None

    def _account_class(self, now: float, key: WorkKey) -> LogHistogram:
        classes = self._account_classes
        found = classes.get(key)
        if found is None:
            found = classes[key] = LogHistogram(now, DECAY_S, MIN_SAMPLES)
            if len(classes) > MAX_ACCOUNT_CLASSES:
                classes.popitem(last=False)
        else:
            classes.move_to_end(key)
        return found

    def _wide_class(self, now: float, key: tuple[str, ...]) -> AccountHistogram:
        classes = self._wide_classes
        found = classes.get(key)
        if found is None:
            found = classes[key] = AccountHistogram(
                now, DECAY_S, MIN_SAMPLES, MAX_ACCOUNT_FRACTION
            )
            if len(classes) > MAX_CLASSES - MAX_ACCOUNT_CLASSES:
                classes.popitem(last=False)
        else:
            classes.move_to_end(key)
        return found


class _Snapshots(OrderedDict):
    """Histograms that are copied when they are first looked up.

    Copying all classes at once would take milliseconds.
    """

    def __init__(self, source: Mapping[tuple[str, ...], LogHistogram]) -> None:
        super().__init__()
        self._source = source

    def get(self, key: tuple[str, ...]) -> LogHistogram | None:
        found = super().get(key)
        if found is None and key in self._source:
            found = self[key] = self._source[key].snapshot()
        return found
