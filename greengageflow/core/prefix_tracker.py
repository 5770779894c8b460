"""What this host knows of the prompt parts in the prefix caches of engines."""

from collections import deque
from collections.abc import Iterable, Iterator, Sequence

from greengageflow.core.cache_mirror import CacheMirror
from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.prompt_places import PromptPlaces

PLACEMENT_REPORT_WINDOW_S = 0.3
MIN_REPORTED_PREFIX_TOKENS = 300
MAX_REPORT_DELAY_S = 1.0
"""Time until a placement has reached all hosts by way of the relays, in seconds."""


class PrefixTracker:
    """Follows prompt parts from their sending to an engine until their eviction.

    Attributes:
        places: Locations of prompt parts.
    """

    def __init__(self) -> None:
        self.places = PromptPlaces()
        self._recent_placements: deque[tuple[float, str, str]] = deque()
        self._shared_parts: dict[str, tuple[str, ...]] = {}
        self._mirrors: dict[str, CacheMirror] = {}
        self._forgotten_at: dict[str, float] = {}

    def on_cached_parts(
        self,
        now: float,
        endpoint: ListedEndpoint,
        parts: Sequence[PromptPart],
        capacity: int,
    ) -> None:
        """Record the parts that an engine reports; its memory holds ``capacity``."""
        for part in parts:
            self.places.on_sent(now, part.id, endpoint.id)
            self.places.on_read(part.id, endpoint.id)
        self._update_mirror(endpoint, parts, capacity)

    def on_sent(
        self,
        now: float,
        request: str,
        endpoint: ListedEndpoint,
        prompt: Prompt,
        capacity: int,
    ) -> None:
        """Record that a request was sent to an engine with memory for ``capacity``."""
        shared = tuple(part.id for part in prompt.parts[:-1])
        for part in shared:
            self.places.on_sent(now, part, endpoint.id)
        self._update_mirror(endpoint, _cached_after(request, prompt), capacity)
        self._shared_parts[request] = shared
        if prompt.shared_tokens >= MIN_REPORTED_PREFIX_TOKENS:
            self._recent_placements.append((now, prompt.affinity, endpoint.id))

    def _update_mirror(
        self, endpoint: ListedEndpoint, parts: Iterable[PromptPart], capacity: int
    ) -> None:
        if not capacity:
            return
        mirror = self._mirrors.setdefault(endpoint.id, CacheMirror(capacity))
        for part in mirror.touch(parts):
            self.places.on_evicted(part, endpoint.id)

    def on_read(self, request: str, endpoint: ListedEndpoint) -> None:
        """Record that an engine has read a request's prompt."""
        for part in self._shared_parts.pop(request, ()):
            self.places.on_read(part, endpoint.id)

    def on_released(self, request: str) -> None:
        """Record that no engine works on a request."""
        self._shared_parts.pop(request, None)

    def on_placements(self, now: float, placed: Iterable[tuple[str, str]]) -> None:
        """Record where another host sent prompt parts."""
        # Reports that are under way when an engine's cache is lost are about the time
        # before. They name the engine, but not its start.
        self._drop_forgotten(now)
        for part, endpoint in placed:
            if endpoint not in self._forgotten_at:
                self.places.on_sent(now, part, endpoint)

    def recent_placements(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return recent placements as pairs of prompt part and endpoint id."""
        while (
            self._recent_placements
            and self._recent_placements[0][0] < now - PLACEMENT_REPORT_WINDOW_S
        ):
            self._recent_placements.popleft()
        return tuple(
            dict.fromkeys((part, name) for _, part, name in self._recent_placements)
        )

    def forget(self, now: float, endpoint: str) -> None:
        """Remove all parts of an engine that is gone or has lost its cache."""
        self._mirrors.pop(endpoint, None)
        self.places.forget_endpoint(endpoint)
        self._recent_placements = deque(
            row for row in self._recent_placements if row[2] != endpoint
        )
        self._drop_forgotten(now)
        self._forgotten_at[endpoint] = now

    def _drop_forgotten(self, now: float) -> None:
        self._forgotten_at = {
            endpoint: at
            for endpoint, at in self._forgotten_at.items()
            if now - at <= MAX_REPORT_DELAY_S
        }


def _cached_after(request: str, prompt: Prompt) -> Iterator[PromptPart]:
    """Yield the parts that a request leaves in an engine's memory.

    The last one stands for its private prompt tokens and its answer.
    """
    yield from prompt.parts[:-1]
    own = prompt.tokens_in - prompt.shared_tokens + prompt.tokens_out
    yield PromptPart(f"own {request}", max(0, own))
