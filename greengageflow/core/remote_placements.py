"""Placer side of placement: requests of other hosts in this host's queues and loads."""

from collections.abc import Iterator
from dataclasses import dataclass

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.place_messages import (
    PlacementAnswer,
    PlacementEntry,
    PlacementEvent,
    PlacementEventKind,
    PlacementRequest,
    PlacementSnapshot,
    Verdict,
)
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision, Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest
from greengageflow.errors import ErrorKind

SNAPSHOT_GRACE_S = 0.5
"""Seconds for which a new request may be missing from its host's snapshots."""

HOST_TIMEOUT_S = 2.0
"""Seconds without a message after which the requests of a host are dropped."""


@dataclass(slots=True)
class _RemotePlacement:
    host: str
    boot: int
    request: str
    service: str
    received_at: float
    account: str = ""
    prompt: Prompt | None = None
    endpoint: ListedEndpoint | None = None
    started_at: float = 0.0
    has_begun: bool = False
    has_failed: bool = False


class RemotePlacements:
    """Requests that other hosts asked this one to place.

    Args:
        host: This host.
        book: Queues requests and chooses endpoints.
    """

    def __init__(self, host: str, book: ServiceDispatcher) -> None:
        self._host = host
        self._book = book
        self._placements: dict[str, _RemotePlacement] = {}
        self._last_seen_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of requests of other hosts, waiting or running."""
        return len(self._placements)

    @property
    def waiting(self) -> int:
        """Number of requests of other hosts that wait here."""
        return sum(
            placement.endpoint is None for placement in self._placements.values()
        )

    def on_request(self, now: float, message: PlacementRequest) -> Iterator[Decision]:
        """Queue a request, and yield the decisions that can now be made."""
        key = _key(message.host, message.boot, message.request)
        if key in self._placements:
            return
        self._last_seen_at[message.host] = now
        prompt = _prompt(message)
        placement = _RemotePlacement(
            message.host,
            message.boot,
            message.request,
            message.service,
            now,
            message.account,
            prompt,
        )
        self._placements[key] = placement
        queued_request = QueuedRequest(
            key,
            message.account,
            prompt.work,
            message.priority,
            now - message.waited_s,
            now + message.slack_s,
            now + message.timeout_s,
        )
        job = Job(
            queued_request,
            message.target_s,
            prompt,
            frozenset(message.avoid),
            message.zone,
            None if message.allowed_zones is None else frozenset(message.allowed_zones),
            message.version,
        )
        yield from self._book.submit(
            now,
            message.service,
            job,
            message.account,
            count_for_budget=False,
            count_demand=not message.redirected,
        )

    def is_waiting(self, message: PlacementRequest) -> bool:
        """Whether a request waits here."""
        placement = self._placements.get(
            _key(message.host, message.boot, message.request)
        )
        return placement is not None and placement.endpoint is None

    def on_decision(
        self, now: float, decision: Decision
    ) -> tuple[str, PlacementAnswer] | None:
        """Return the host to answer and the answer, or None for an unknown request."""
        placement = self._placements.get(decision.request)
        if placement is None:
            return None
        match decision:
            case StartJob(choice=choice):
                placement.endpoint = choice.endpoint
                placement.started_at = now
                self._book.on_request_sent(
                    now, decision.request, choice, placement.prompt
                )
                source = choice.fetch_from
                return placement.host, PlacementAnswer(
                    host=self._host,
                    boot=placement.boot,
                    request=placement.request,
                    verdict=Verdict.START,
                    endpoint=choice.endpoint.id,
                    fetch_from=source.id if source else "",
                    reading=choice.reading,
                    wait_s=choice.wait_s,
                )
            case RefuseJob(kind=kind, message=message, retry_after_s=wait_s):
                del self._placements[decision.request]
                return placement.host, PlacementAnswer(
                    host=self._host,
                    boot=placement.boot,
                    request=placement.request,
                    verdict=Verdict.REFUSE,
                    kind=kind.value,
                    message=message,
                    retry_after_s=wait_s,
                )

    def on_event(self, now: float, event: PlacementEvent) -> Iterator[Decision]:
        """Apply an event of a request, and yield the decisions that can now be made."""
        self._last_seen_at[event.host] = now
        key = _key(event.host, event.boot, event.request)
        placement = self._placements.get(key)
        if placement is None:
            return
        endpoint = placement.endpoint
        match event.kind:
            case PlacementEventKind.ENDED:
                # The message is the same for a caller that left as for a whole answer.
                completed_at = None if placement.has_failed else now
                yield from self._end(now, key, completed_at)
                return
            case PlacementEventKind.WITHDRAWN:
                yield from self._withdraw(now, key)
                return
            case PlacementEventKind.FIRST_EVENT if endpoint is not None:
                placement.has_begun = True
                self._book.on_first_event(now, key, endpoint)
                # Its prefill is done: the next prompt may be sent.
                yield from self._book.pump(now)
            case PlacementEventKind.FAILED if endpoint is not None:
                placement.has_failed = True
                self._book.on_answer(endpoint, False)
            case PlacementEventKind.SILENT if endpoint is not None:
                placement.has_failed = True
                self._book.on_no_answer(now, endpoint)

    def on_snapshot(
        self, now: float, snapshot: PlacementSnapshot
    ) -> Iterator[Decision]:
        """Reconcile with a snapshot of all requests that a host has here.

        Requests that the host no longer has are dropped, and those that an earlier
        placer started are adopted. Without this, a lost event would occupy a slot of
        an engine for good, and a new placer would assume that engines are idle. Hosts
        send a snapshot twice a second, which bounds both errors to that interval.
        """
        self._last_seen_at[snapshot.host] = now
        entries = {
            _key(snapshot.host, snapshot.boot, entry.request): entry
            for entry in snapshot.entries
        }
        for key, placement in list(self._placements.items()):
            settled = (
                now - placement.received_at > SNAPSHOT_GRACE_S
                or placement.boot != snapshot.boot
            )
            if placement.host == snapshot.host and key not in entries and settled:
                yield from self._withdraw(now, key)
        for key, entry in entries.items():
            self._adopt(now, key, snapshot, entry)

    def drop_ended(self, now: float) -> Iterator[Decision]:
        """Drop the requests that ran at a start of an endpoint that has ended.

        Their hosts may notice much later that no answer comes.
        """
        for key, placement in list(self._placements.items()):
            endpoint = placement.endpoint
            if endpoint is not None and self._book.has_ended(endpoint):
                yield from self._withdraw(now, key)

    def _adopt(
        self, now: float, key: str, snapshot: PlacementSnapshot, entry: PlacementEntry
    ) -> None:
        endpoint = self._book.get_endpoint(entry.endpoint)
        if key in self._placements or endpoint is None:
            return
        if self._book.has_ended(endpoint) or 0 < entry.born < endpoint.born:
            return
        self._placements[key] = _RemotePlacement(
            snapshot.host,
            snapshot.boot,
            entry.request,
            endpoint.service,
            now,
            endpoint=endpoint,
        )
        self._book.restore_request(now, key, endpoint, entry.reading, entry.memory)

    def drop_silent_hosts(self, now: float) -> Iterator[Decision]:
        """Drop the requests of hosts that have sent nothing for ``HOST_TIMEOUT_S``."""
        for key, placement in list(self._placements.items()):
            if now - self._last_seen_at.get(placement.host, now) > HOST_TIMEOUT_S:
                yield from self._end(now, key)

    def _withdraw(self, now: float, key: str) -> Iterator[Decision]:
        """End a request that its host does not have, or has not sent.

        Its account is not charged unless an engine has begun to answer. Otherwise a
        host that is too late to use its starts would use up its callers' shares.
        """
        placement = self._placements.get(key)
        if placement is None:
            return
        is_started = placement.endpoint is not None and placement.prompt is not None
        if is_started and not (placement.has_begun or placement.has_failed):
            self._book.cancel_charge(
                now,
                placement.service,
                placement.account,
                placement.prompt.work,
                placement.started_at,
            )
        yield from self._end(now, key)

    def _end(
        self, now: float, key: str, completed_at: float | None = None
    ) -> Iterator[Decision]:
        # A decision made earlier in the same call may have refused it already.
        placement = self._placements.pop(key, None)
        if placement is None:
            return
        if placement.endpoint is not None:
            self._book.on_request_released(
                key, placement.endpoint, completed_at=completed_at
            )
        yield from self._book.on_request_end(now, placement.service, key)


def _key(host: str, boot: int, request: str) -> str:
    return f"{host}/{boot}/{request}"


def _prompt(message: PlacementRequest) -> Prompt:
    shared = [PromptPart(name, tokens) for name, tokens in message.parts]
    own = max(0, message.tokens_in - sum(part.tokens for part in shared))
    return Prompt((*shared, PromptPart("", own)), message.tokens_in, message.tokens_out)


def placement_request(
    host: str,
    boot: int,
    now: float,
    service: str,
    job: Job,
    account: str,
    avoid: tuple[str, ...],
    zone: str,
    *,
    redirected: bool = False,
) -> PlacementRequest:
    """Return the message that asks a placer to place a request."""
    queued_request, prompt = job.queued_request, job.prompt
    zones = job.allowed_zones
    return PlacementRequest(
        host=host,
        boot=boot,
        request=queued_request.id,
        service=service,
        account=account,
        priority=queued_request.priority,
        waited_s=now - queued_request.arrived,
        slack_s=queued_request.target_at - now,
        timeout_s=max(0.0, queued_request.expires_at - now),
        target_s=job.target_s,
        parts=tuple((part.id, part.tokens) for part in prompt.parts[:-1]),
        tokens_in=prompt.tokens_in,
        tokens_out=prompt.tokens_out,
        avoid=avoid,
        zone=zone,
        allowed_zones=None if zones is None else tuple(sorted(zones)),
        version=job.version,
        redirected=redirected,
    )


def refusal_in(answer: PlacementAnswer) -> RefuseJob:
    """Return the decision in a placer's answer with the verdict ``REFUSE``."""
    kind = ErrorKind(answer.kind)
    return RefuseJob(answer.request, kind, answer.message, answer.retry_after_s)
