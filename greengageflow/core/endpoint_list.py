"""Which endpoints there are, and which of them get new work."""

from collections.abc import Iterator
from dataclasses import dataclass

MOST_LEFT = 4096
"""Endpoints of which it is remembered that they said that they leave."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint as the platform lists it.

    Args:
        id: Names it; with ``born`` it names one start of it.
        service: Service that it belongs to.
        ip: IP number.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it runs at once; 0 when not said.
        leaving: It gets no new work.
        born: Unix time of its start, in milliseconds; 0 when not said.
    """

    id: str
    service: str
    ip: str
    port: int
    zone: str
    slots: int = 0
    leaving: bool = False
    born: int = 0

    @property
    def start(self) -> str:
        """Names this start of the endpoint, among all that have its id."""
        return f"{self.id} {self.born}" if self.born else self.id

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self.ip, self.port


@dataclass(frozen=True, slots=True)
class ListChange:
    """What became of one endpoint.

    Args:
        id: The endpoint.
        what: ``new``, ``leaving`` or ``gone``.
    """

    id: str
    what: str


class EndpointList:
    """The endpoints that are listed, by id."""

    def __init__(self) -> None:
        # By id and start: an entry may lapse and come back while an endpoint leaves.
        self._left: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._listed: dict[str, ListedEndpoint] = {}
        self._usable: dict[str, tuple[ListedEndpoint, ...]] = {}

    def __len__(self) -> int:
        """Return how many are listed."""
        return len(self._listed)

    def ids(self) -> set[str]:
        """Return the ids of all that are listed."""
        return set(self._listed)

    def get(self, endpoint: str) -> ListedEndpoint | None:
        """Return an endpoint by id, or None when it is not listed."""
        return self._listed.get(endpoint)

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints of a service that may get new work."""
        found = self._usable.get(service)
        if found is None:
            found = self._usable[service] = tuple(
                endpoint
                for endpoint in self._listed.values()
                if endpoint.service == service and self.may_use(endpoint.id)
            )
        return found

    def may_use(self, endpoint: str) -> bool:
        """Whether an endpoint may get new work."""
        found = self._listed.get(endpoint)
        return found is not None and not found.leaving and not self._has_left(found)

    def _has_left(self, endpoint: ListedEndpoint) -> bool:
        return self._left.get(endpoint.id, -1) >= endpoint.born

    def is_current(self, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint is listed, and no later start of it."""
        listed = self._listed.get(endpoint.id)
        return listed is not None and listed.born <= endpoint.born

    def note_left(self, endpoint: str, born: int) -> bool:
        """Take the endpoint's own sign of leaving; True when it is news.

        The list learns of a stop late or never, and not at all while the store is
        away. The sign holds for good, for this start of the endpoint and those before.

        Args:
            endpoint: Its id.
            born: Its start; 0 when not said.
        """
        if self._left.get(endpoint, -1) >= born:
            return False
        listed = self._listed.get(endpoint)
        if listed is not None and listed.born > born:
            return False
        self._left.pop(endpoint, None)
        self._left[endpoint] = born
        if len(self._left) > MOST_LEFT:
            del self._left[next(iter(self._left))]
        self._usable.clear()
        return True

    def was_dropped(self, endpoint: ListedEndpoint) -> bool:
        """Whether this start of an endpoint was listed, and is no more."""
        return self._dropped.get(endpoint.id, -1) >= endpoint.born

    def put(self, endpoint: ListedEndpoint) -> Iterator[ListChange]:
        """Take over one entry of the list."""
        before = self._listed.get(endpoint.id)
        if before is not None and endpoint.born < before.born:
            return
        if before is not None and endpoint.born > before.born > 0:
            # It started again: it runs and keeps nothing of before. Told as gone and
            # new, all that was known of the earlier start goes at once.
            yield from self.drop(endpoint.id)
            before = None
        # Leaving is for good, whatever order entries come in.
        if before is not None and before.leaving:
            return
        self._dropped.pop(endpoint.id, None)
        if endpoint != before:
            self._listed[endpoint.id] = endpoint
            self._usable.clear()
        if before is None:
            yield ListChange(endpoint.id, "new")
        if endpoint.leaving:
            yield ListChange(endpoint.id, "leaving")

    def drop(self, endpoint: str) -> Iterator[ListChange]:
        """Take over that an endpoint is no longer listed."""
        found = self._listed.pop(endpoint, None)
        if found is not None:
            self._dropped[endpoint] = found.born
            if len(self._dropped) > MOST_LEFT:
                del self._dropped[next(iter(self._dropped))]
            self._usable.clear()
            yield ListChange(endpoint, "gone")
