"""A placer's part: the requests of other hosts in this host's queues and loads."""

from collections.abc import Iterator
from dataclasses import dataclass

from greengageflow.core.endpoint_list import ListedEndpoint
from greengageflow.core.forward_request import Prompt, PromptPart
from greengageflow.core.place_messages import (
    Happened,
    PlaceAnswer,
    PlaceAsk,
    PlacedRun,
    PlaceNote,
    PlaceRoll,
    Verdict,
)
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.service_scheduler import Decision, Job, RefuseJob, StartJob
from greengageflow.core.work_queue import QueuedRequest

ROLL_SLACK_S = 0.5
HOST_QUIET_S = 2.0


@dataclass(slots=True)
class _Placed:
    host: str
    boot: int
    request: str
    service: str
    since: float
    prompt: Prompt | None = None
    endpoint: ListedEndpoint | None = None


class PlaceDesk:
    """Requests that other hosts asked this one to place.

    Args:
        host: This host.
        book: Decides.
    """

    def __init__(self, host: str, book: ServiceDispatcher) -> None:
        self._host = host
        self._book = book
        self._placed: dict[str, _Placed] = {}
        self._heard: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the requests of other hosts that wait or run."""
        return len(self._placed)

    @property
    def waiting(self) -> int:
        """Requests of other hosts that wait here."""
        return sum(one.endpoint is None for one in self._placed.values())

    def ask(self, now: float, ask: PlaceAsk) -> Iterator[Decision]:
        """Queue a request, and yield what can be decided."""
        key = _key(ask.host, ask.boot, ask.request)
        if key in self._placed:
            return
        self._heard[ask.host] = now
        prompt = _prompt(ask)
        placed = _Placed(ask.host, ask.boot, ask.request, ask.service, now, prompt)
        self._placed[key] = placed
        queued_request = QueuedRequest(
            key,
            ask.account,
            prompt.work,
            ask.priority,
            now - ask.waited_s,
            now + ask.left_s,
            now + ask.patience_s,
        )
        job = Job(queued_request, ask.target_s, prompt, frozenset(ask.avoid), ask.zone)
        yield from self._book.submit(
            now, ask.service, job, ask.account, count_for_budget=False
        )

    def is_waiting(self, ask: PlaceAsk) -> bool:
        """Whether a request waits here."""
        found = self._placed.get(_key(ask.host, ask.boot, ask.request))
        return found is not None and found.endpoint is None

    def decided(self, now: float, decision: Decision) -> tuple[str, PlaceAnswer] | None:
        """Return whom to answer what, or None when nobody asked."""
        placed = self._placed.get(decision.request)
        if placed is None:
            return None
        match decision:
            case StartJob(choice=choice):
                placed.endpoint = choice.endpoint
                self._book.on_request_sent(now, decision.request, choice, placed.prompt)
                source = choice.fetch_from
                return placed.host, PlaceAnswer(
                    host=self._host,
                    boot=placed.boot,
                    request=placed.request,
                    verdict=Verdict.START,
                    endpoint=choice.endpoint.id,
                    fetch_from=source.id if source else "",
                    reading=choice.reading,
                    wait_s=choice.wait_s,
                )
            case RefuseJob(kind=kind, message=message, retry_after_s=wait_s):
                del self._placed[decision.request]
                return placed.host, PlaceAnswer(
                    host=self._host,
                    boot=placed.boot,
                    request=placed.request,
                    verdict=Verdict.REFUSE,
                    kind=kind.value,
                    message=message,
                    retry_after_s=wait_s,
                )

    def note(self, now: float, note: PlaceNote) -> Iterator[Decision]:
        """Take what became of a request, and yield what can be decided."""
        self._heard[note.host] = now
        key = _key(note.host, note.boot, note.request)
        placed = self._placed.get(key)
        if placed is None:
            return
        endpoint = placed.endpoint
        match note.happened:
            case Happened.ENDED:
                yield from self._end(now, key)
                return
            case Happened.FIRST_EVENT if endpoint is not None:
                self._book.on_first_event(now, key, endpoint)
                # Its prompt is read: the next one may be sent.
                yield from self._book.pump(now)
            case Happened.FAILED if endpoint is not None:
                self._book.on_answer(endpoint, False)
            case Happened.SILENT if endpoint is not None:
                self._book.on_no_answer(now, endpoint)

    def roll(self, now: float, roll: PlaceRoll) -> Iterator[Decision]:
        """Drop what a host no longer has, and take on what an earlier placer sent.

        A note that is lost would take up an engine's slot for good, and a placer that
        begins would take engines for idle. A host tells all that it has twice a
        second, which bounds both to the time between two rolls.
        """
        self._heard[roll.host] = now
        live = {_key(roll.host, roll.boot, run.request): run for run in roll.runs}
        for key, placed in list(self._placed.items()):
            settled = now - placed.since > ROLL_SLACK_S or placed.boot != roll.boot
            if placed.host == roll.host and key not in live and settled:
                yield from self._end(now, key)
        for key, run in live.items():
            self._adopt(now, key, roll, run)

    def _adopt(self, now: float, key: str, roll: PlaceRoll, run: PlacedRun) -> None:
        endpoint = self._book.get_endpoint(run.endpoint)
        if key in self._placed or endpoint is None:
            return
        self._placed[key] = _Placed(
            roll.host,
            roll.boot,
            run.request,
            endpoint.service,
            now,
            endpoint=endpoint,
        )
        self._book.restore_request(now, key, endpoint, run.reading, run.memory)

    def drop_silent(self, now: float) -> Iterator[Decision]:
        """Drop what hosts have that were not heard for long."""
        for key, placed in list(self._placed.items()):
            if now - self._heard.get(placed.host, now) > HOST_QUIET_S:
                yield from self._end(now, key)

    def _end(self, now: float, key: str) -> Iterator[Decision]:
        # What is decided on the way may have refused it already.
        placed = self._placed.pop(key, None)
        if placed is None:
            return
        if placed.endpoint is not None:
            self._book.on_request_released(key, placed.endpoint)
        yield from self._book.on_request_end(now, placed.service, key)


def _key(host: str, boot: int, request: str) -> str:
    return f"{host}/{boot}/{request}"


def _prompt(ask: PlaceAsk) -> Prompt:
    shared = [PromptPart(name, tokens) for name, tokens in ask.parts]
    own = max(0, ask.tokens_in - sum(part.tokens for part in shared))
    return Prompt((*shared, PromptPart("", own)), ask.tokens_in, ask.tokens_out)


def ask_for(
    host: str,
    boot: int,
    now: float,
    service: str,
    job: Job,
    account: str,
    avoid: tuple[str, ...],
    zone: str,
) -> PlaceAsk:
    """Return the ask of a host for a request; ``PlaceDesk.ask`` takes it."""
    queued_request, prompt = job.queued_request, job.prompt
    return PlaceAsk(
        host=host,
        boot=boot,
        request=queued_request.id,
        service=service,
        account=account,
        priority=queued_request.priority,
        waited_s=now - queued_request.arrived,
        left_s=queued_request.target_at - now,
        patience_s=max(0.0, queued_request.expires_at - now),
        target_s=job.target_s,
        parts=tuple((part.id, part.tokens) for part in prompt.parts[:-1]),
        tokens_in=prompt.tokens_in,
        tokens_out=prompt.tokens_out,
        avoid=avoid,
        zone=zone,
    )
