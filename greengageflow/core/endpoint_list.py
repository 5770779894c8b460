"""The listed endpoints, and which of them accept new work."""

from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

MAX_TOMBSTONES = 4096
"""Maximum number of entries in each record of leaving, ended or dropped endpoints."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as listed by the platform.

    Args:
        id: Endpoint id; with ``born`` it identifies one start of the endpoint.
        service: Service that it belongs to.
        ip: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it runs at once; 0 if not given.
        leaving: It is draining and gets no new work.
        born: Unix time of its start, in milliseconds; 0 if not given.
        cold_s: Time for which it stays cold after its entry was written, in seconds.
        version: Version of its software; empty if not given.
    """

    id: str
    service: str
    ip: str
    port: int
    zone: str
    slots: int = 0
    leaving: bool = False
    born: int = 0
    cold_s: float = 0.0
    version: str = ""

    @property
    def start(self) -> str:
        """Identifies this start of the endpoint."""
        return f"{self.id} {self.born}" if self.born else self.id

    @property
    def is_unlisted(self) -> bool:
        """Whether this start answered before it was listed, so its version is unknown.

        An entry without a start time names no start.
        """
        return self.born > 0 and not self.version

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.ip, self.port


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of one endpoint in the list.

    Args:
        id: Endpoint id.
        what: ``new``, ``cold``, ``leaving``, ``gone``, or ``start`` if the start of the
            endpoint, or the version of that start, is now known or not known any more.
    """

    id: str
    what: str


class _StartMarks:
    """The latest marked start of each endpoint; the oldest marks are forgotten."""

    def __init__(self) -> None:
        self._born: dict[str, int] = {}

    def add(self, endpoint: str, born: int) -> None:
        """Mark a start and all earlier ones."""
        self._born.pop(endpoint, None)
        self._born[endpoint] = born
        if len(self._born) > MAX_TOMBSTONES:
            del self._born[next(iter(self._born))]

    def discard(self, endpoint: str) -> None:
        """Remove the mark of an endpoint."""
        self._born.pop(endpoint, None)

    def covers(self, endpoint: str, born: int) -> bool:
        """Whether a start is marked."""
        return self._born.get(endpoint, -1) >= born


class EndpointList:
    """The listed endpoints, by id.

    Once an endpoint of a service has stated a start time, ids may be shared by several
    starts there, so an entry without a start time names none: its version is unknown.

    Attributes:
        stating: Services of which an endpoint has stated a start time.
        listing: Those of which an entry has had one.
    """

    def __init__(self) -> None:
        self.stating: set[str] = set()
        self.listing: set[str] = set()
        # The marks are kept apart from the entries, since an entry may expire and come
        # back while its endpoint drains.
        self._leaving = _StartMarks()
        self._ended = _StartMarks()
        self._dropped = _StartMarks()
        self._listed: dict[str, ListedEndpoint] = {}
        # Listed starts that unlisted ones have replaced.
        self._replaced: dict[str, ListedEndpoint] = {}
        # Versions that entries without a start time name.
        self._unproven_versions: dict[str, str] = {}
        self._usable: dict[str, tuple[ListedEndpoint, ...]] = {}
        self._evacuated: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of listed endpoints."""
        return len(self._listed)

    def ids(self) -> set[str]:
        """Return the ids of all listed endpoints."""
        return set(self._listed)

    def get(self, endpoint: str) -> ListedEndpoint | None:
        """Return an endpoint by id, or None if it is not listed."""
        return self._listed.get(endpoint)

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of all listed endpoints, by service."""
        found: dict[str, set[str]] = {}
        for endpoint in self._listed.values():
            if not endpoint.is_unlisted:
                found.setdefault(endpoint.service, set()).add(endpoint.version)
        return found

    def starts(self) -> dict[str, str]:
        """Return the software version of each listed start."""
        listed = self._listed.values()
        return {e.start: e.version for e in listed if not e.is_unlisted}

    def in_zones(self, zones: Container[str]) -> Iterator[ListedEndpoint]:
        """Yield all listed endpoints of some zones."""
        return (e for e in self._listed.values() if e.zone in zones)

    def evacuate(self, zones: frozenset[str]) -> None:
        """Set the zones whose endpoints get no new work."""
        self._evacuated = zones
        self._usable.clear()

    def usable(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints of a service that accept new work."""
        found = self._usable.get(service)
        if found is None:
            found = self._usable[service] = tuple(
                endpoint
                for endpoint in self._listed.values()
                if endpoint.service == service and self.may_use(endpoint.id)
            )
        return found

    def of_service(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return all listed endpoints of a service, by id."""
        listed = (e for e in self._listed.values() if e.service == service)
        return tuple(sorted(listed, key=lambda endpoint: endpoint.id))

    def may_use(self, endpoint: str) -> bool:
        """Whether an endpoint accepts new work."""
        found = self._listed.get(endpoint)
        return (
            found is not None
            and not self.is_leaving(found)
            and not self.is_evacuated(found)
        )

    def is_leaving(self, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint is listed as leaving, or announced that it leaves."""
        return endpoint.leaving or self._leaving.covers(endpoint.id, endpoint.born)

    def is_evacuated(self, endpoint: ListedEndpoint) -> bool:
        """Whether the zone of an endpoint is evacuated."""
        return endpoint.zone in self._evacuated

    def has_ended(self, endpoint: ListedEndpoint) -> bool:
        """Whether this start of an endpoint is known to have ended.

        An endpoint that was only removed from the list may still finish its requests.
        """
        return self._ended.covers(endpoint.id, endpoint.born)

    def is_current(self, endpoint: ListedEndpoint) -> bool:
        """Whether an endpoint is listed, and this start of it has not ended."""
        listed = self._listed.get(endpoint.id)
        is_latest = listed is not None and listed.born <= endpoint.born
        return is_latest and not self.has_ended(endpoint)

    def find_start(self, start: str) -> ListedEndpoint | None:
        """Return the endpoint whose listed start has this identifier, or None."""
        return next((e for e in self._listed.values() if e.start == start), None)

    def version_of(self, endpoint: ListedEndpoint) -> str:
        """Return the listed version of this start, or an empty string if unknown."""
        if not endpoint.born and endpoint.service in self.stating:
            return ""
        listed = self._listed.get(endpoint.id)
        if listed is not None and listed.start == endpoint.start:
            return listed.version
        return endpoint.version

    def on_start_stated(self, service: str) -> list[ListChange]:
        """Record that endpoints of a service state start times; return the changes."""
        if service in self.stating:
            return []
        self.stating.add(service)
        found = self.of_service(service)
        for endpoint in found:
            self._listed[endpoint.id] = self._without_unproven_version(endpoint)
        self._usable.clear()
        return [ListChange(endpoint.id, "start") for endpoint in found]

    def _without_unproven_version(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        if endpoint.born or endpoint.service not in self.stating:
            return endpoint
        self._unproven_versions[endpoint.id] = endpoint.version
        return replace(endpoint, version="")

    def mark_leaving(self, endpoint: str, born: int) -> bool:
        """Record that an endpoint announced that it is leaving.

        The platform's list reflects a stop late or never, and not at all while the
        store is unavailable. The announcement is permanent for this start of the
        endpoint and all earlier ones.

        Args:
            endpoint: Endpoint id.
            born: Its start time; 0 if not given.

        Returns:
            True if it was not known before.
        """
        if self._leaving.covers(endpoint, born):
            return False
        listed = self._listed.get(endpoint)
        if listed is not None and listed.born > born:
            return False
        self._leaving.add(endpoint, born)
        self._usable.clear()
        return True

    def put_unlisted(self, endpoint: ListedEndpoint) -> Iterator[ListChange]:
        """Replace an entry by a later start that answers before it is listed.

        Requests that depend on the version don't go there until it is listed.
        """
        yield from self.on_start_stated(endpoint.service)
        listed = self._listed.get(endpoint.id)
        if listed is None or listed.born >= endpoint.born:
            return
        if listed.born:
            yield from self.put(endpoint)
        else:
            # The entry may have been written by this start, so no state is cleared.
            if self._leaving.covers(listed.id, 0):
                self._leaving.add(listed.id, endpoint.born)
            self._listed[listed.id] = replace(listed, born=endpoint.born)
            self._usable.clear()
            listed = replace(listed, version=self._unproven_versions[listed.id])
            yield ListChange(listed.id, "start")
        self._replaced[endpoint.id] = listed

    def restore(self, endpoint: str, born: int) -> Iterator[ListChange]:
        """Restore the listed start that an unlisted one has replaced.

        The endpoint states the listed start time again, so the evidence was false. The
        same holds for any earlier start time, if the entry has none.
        """
        replaced = self._replaced.get(endpoint)
        if replaced is None or self._listed[endpoint].born <= born:
            return
        if replaced.born in (0, born):
            yield from self.drop(endpoint)
            self._ended.discard(endpoint)
            yield from self.put(replaced)

    def was_dropped(self, endpoint: ListedEndpoint) -> bool:
        """Whether this start of an endpoint was listed and has been dropped."""
        return self._dropped.covers(endpoint.id, endpoint.born)

    def put(self, endpoint: ListedEndpoint) -> Iterator[ListChange]:
        """Add or update an entry, and yield the changes."""
        if endpoint.born:
            yield from self.on_start_stated(endpoint.service)
            if not endpoint.is_unlisted:
                self.listing.add(endpoint.service)
        endpoint = self._with_answered_start(endpoint)
        before = self._listed.get(endpoint.id)
        if before is not None and endpoint.born < before.born:
            return
        if before is not None and self._is_restart(before, endpoint):
            # The endpoint restarted and lost its requests and cache. Reporting it as
            # gone and new clears all state of the earlier start.
            if endpoint.born > before.born:
                self._ended.add(before.id, before.born)
            yield from self.drop(endpoint.id)
            before = None
        # Leaving is permanent, since entries may arrive in any order.
        if before is not None and before.leaving:
            return
        self._dropped.discard(endpoint.id)
        if endpoint.version:
            self._replaced.pop(endpoint.id, None)
        endpoint = self._without_unproven_version(endpoint)
        if endpoint != before:
            self._listed[endpoint.id] = endpoint
            self._usable.clear()
        if before is None:
            yield ListChange(endpoint.id, "new")
        elif (endpoint.start, endpoint.version) != (before.start, before.version):
            yield ListChange(endpoint.id, "start")
        if before is not None and endpoint.cold_s > before.cold_s:
            # While it warms up, each entry has less time left than the one before.
            yield ListChange(endpoint.id, "cold")
        if endpoint.leaving:
            yield ListChange(endpoint.id, "leaving")

    def _with_answered_start(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Return an entry without a start time as one of the start that answers."""
        replaced = self._replaced.get(endpoint.id)
        if endpoint.born or replaced is None or replaced.born:
            return endpoint
        same = (endpoint.address, endpoint.version, endpoint.service)
        if same == (replaced.address, replaced.version, replaced.service):
            self._replaced[endpoint.id] = endpoint
            return replace(endpoint, born=self._listed[endpoint.id].born, version="")
        # Another process, whose start is known once it answers.
        del self._replaced[endpoint.id]
        self._listed[endpoint.id] = replace(self._listed[endpoint.id], born=0)
        return endpoint

    def _is_restart(self, before: ListedEndpoint, endpoint: ListedEndpoint) -> bool:
        """Return whether an entry is of another start than the entry before."""
        if endpoint.born > before.born > 0:
            return True
        version = before.version or self._unproven_versions.get(before.id, "")
        return not before.is_unlisted and endpoint.version != version

    def drop(self, endpoint: str) -> Iterator[ListChange]:
        """Remove an endpoint, and yield the change."""
        found = self._listed.pop(endpoint, None)
        self._replaced.pop(endpoint, None)
        self._unproven_versions.pop(endpoint, None)
        if found is not None:
            self._dropped.add(endpoint, found.born)
            self._usable.clear()
            yield ListChange(endpoint, "gone")
