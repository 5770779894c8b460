"""Protected actions on the entry router: request a verdict, send once, report.

An attempt asks the writer of its key for a verdict, then holds the key (no other
attempt may send), then is sent. Its outcome is reported until the log has it. An
attempt that ends before it was sent releases the key; a verdict that arrives later
doesn't make it send.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from itertools import count

from greengageflow.core.actions import partition_of
from greengageflow.core.effects import Effect, MayRun, Refuse, Replay, Send
from greengageflow.core.messages import (
    IntentRequest,
    IntentVerdict,
    OutcomeReport,
    OutcomeStored,
    PeerId,
)
from greengageflow.errors import ErrorKind, Ran

# Interval at which unanswered requests and reports are retransmitted.
RETRANSMIT_INTERVAL_S = 0.5
VERDICT_TIMEOUT_S = 5.0
# Most reports kept for retransmission; beyond it, a report is sent once.
MAX_PENDING_REPORTS = 10_000


class _Phase(Enum):
    ASKING = auto()
    WAITING = auto()
    HOLDING = auto()
    SENT = auto()


@dataclass(slots=True)
class _Attempt:
    request: str
    key: str
    digest: str
    nonce: str
    deadline: float
    verdict_deadline: float
    phase: _Phase = _Phase.ASKING
    next_request_at: float = 0.0


@dataclass(slots=True)
class _Report:
    message: OutcomeReport
    next_send_at: float
    expires_at: float


class ActionEntry:
    """Tracks the protected actions whose callers are connected to this router.

    Args:
        own: This router.
        writer_of: Returns the host that writes a given stream of the log.
        is_holder_live: Returns whether the router ``{host}:{boot}`` may still be
            running an attempt.
        verdict_timeout_s: Longest wait for a verdict, in seconds.
        report_retention_s: Seconds for which an outcome that isn't in the log yet is
            retransmitted.
    """

    def __init__(
        self,
        own: PeerId,
        writer_of: Callable[[str], str],
        is_holder_live: Callable[[str], bool],
        *,
        verdict_timeout_s: float = VERDICT_TIMEOUT_S,
        report_retention_s: float = 600.0,
    ) -> None:
        self._own = own
        self._writer_of = writer_of
        self._is_holder_live = is_holder_live
        self._verdict_timeout_s = verdict_timeout_s
        self._report_retention_s = report_retention_s
        self._attempt_numbers = count(1)
        self._attempts: dict[str, _Attempt] = {}
        self._attempts_by_nonce: dict[str, _Attempt] = {}
        self._reports: dict[str, _Report] = {}

    @property
    def unreported(self) -> int:
        """Number of outcomes and releases not yet confirmed to be in the log."""
        return len(self._reports)

    def begin(
        self, now: float, request: str, key: str, digest: str, deadline: float
    ) -> Iterator[Effect]:
        """Start an attempt: ask whether ``request`` is the first for its key.

        Args:
            now: Monotonic time in seconds.
            request: Id of the request.
            key: Client account and idempotency key, joined by a newline.
            digest: SHA-256 of the request, in hexadecimal.
            deadline: Monotonic time after which it must not be sent.
        """
        nonce = f"{self._own.host}:{self._own.boot}:{next(self._attempt_numbers)}"
        verdict_deadline = min(deadline, now + self._verdict_timeout_s)
        attempt = _Attempt(request, key, digest, nonce, deadline, verdict_deadline)
        self._attempts[request] = attempt
        self._attempts_by_nonce[nonce] = attempt
        yield self._request_verdict(now, attempt)

    def _request_verdict(self, now: float, attempt: _Attempt) -> Send:
        attempt.next_request_at = now + RETRANSMIT_INTERVAL_S
        until = attempt.verdict_deadline
        if attempt.phase is _Phase.WAITING:
            until = attempt.deadline
        message = IntentRequest(
            attempt.nonce, attempt.key, attempt.digest, max(0.0, until - now)
        )
        return Send(self._writer_host(attempt.key), message)

    def _writer_host(self, key: str) -> str:
        return self._writer_of(partition_of(key))

    def on_verdict(
        self, now: float, sender: PeerId, verdict: IntentVerdict
    ) -> Iterator[Effect]:
        """Handle the writer's verdict on an attempt."""
        attempt = self._attempts_by_nonce.get(verdict.nonce)
        if attempt is None or attempt.phase in (_Phase.HOLDING, _Phase.SENT):
            return
        request = attempt.request
        match verdict.verdict:
            case "first":
                attempt.phase = _Phase.HOLDING
                yield MayRun(request)
            case "taken" if self._is_holder_live(verdict.holder):
                attempt.phase = _Phase.WAITING
            case "taken" | "unknown":
                self._drop(attempt)
                yield _outcome_unknown(request)
            case "done":
                self._drop(attempt)
                yield Replay(
                    request, verdict.status, verdict.content_type, verdict.body
                )
            case "large":
                self._drop(attempt)
                text = "the action ran; its answer was too large to keep"
                yield Refuse(request, ErrorKind.ANSWER_NOT_KEPT, text)
            case "conflict":
                self._drop(attempt)
                text = "the idempotency key was used for another request"
                yield Refuse(request, ErrorKind.KEY_CONFLICT, text)
            case _:
                self._drop(attempt)
                yield _log_unavailable(request)

    def begin_send(self, now: float, request: str) -> bool:
        """Return whether ``request`` may be sent now; true at most once.

        Call it right before sending the first byte. A process that was frozen after
        the verdict may resume here past the deadline, when its caller has already
        been refused.
        """
        attempt = self._attempts.get(request)
        if attempt is None or attempt.phase is not _Phase.HOLDING:
            return False
        if now >= attempt.deadline:
            return False
        attempt.phase = _Phase.SENT
        return True

    def cancel(self, now: float, request: str) -> Iterator[Effect]:
        """End an attempt that was not sent and release its key."""
        attempt = self._attempts.get(request)
        if attempt is None:
            return
        self._drop(attempt)
        yield from self._send_report(
            now, attempt, OutcomeReport(attempt.nonce, attempt.key, "no")
        )

    def on_ended(
        self,
        now: float,
        request: str,
        ran: Ran,
        *,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> Iterator[Effect]:
        """End a sent attempt and report its outcome to the log."""
        attempt = self._attempts.get(request)
        if attempt is None:
            return
        self._drop(attempt)
        report = OutcomeReport(
            attempt.nonce, attempt.key, ran.value, status, content_type, body
        )
        yield from self._send_report(now, attempt, report)

    def _send_report(
        self, now: float, attempt: _Attempt, report: OutcomeReport
    ) -> Iterator[Effect]:
        if len(self._reports) < MAX_PENDING_REPORTS:
            until = now + self._report_retention_s
            self._reports[attempt.nonce] = _Report(
                report, now + RETRANSMIT_INTERVAL_S, until
            )
        yield Send(self._writer_host(attempt.key), report)

    def on_stored(self, stored: OutcomeStored) -> None:
        """Stop retransmitting an outcome that is in the log."""
        self._reports.pop(stored.nonce, None)

    def _drop(self, attempt: _Attempt) -> None:
        del self._attempts[attempt.request]
        del self._attempts_by_nonce[attempt.nonce]

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Retransmit requests and reports, and refuse attempts past their deadline."""
        for attempt in list(self._attempts.values()):
            match attempt.phase:
                case _Phase.ASKING if now >= attempt.verdict_deadline:
                    yield from self.cancel(now, attempt.request)
                    yield _log_unavailable(attempt.request)
                case _Phase.WAITING if now >= attempt.deadline:
                    self._drop(attempt)
                    yield _outcome_unknown(attempt.request)
                case _Phase.ASKING | _Phase.WAITING if now >= attempt.next_request_at:
                    yield self._request_verdict(now, attempt)
        for nonce, report in list(self._reports.items()):
            if now >= report.expires_at:
                del self._reports[nonce]
            elif now >= report.next_send_at:
                report.next_send_at = now + RETRANSMIT_INTERVAL_S
                yield Send(self._writer_host(report.message.key), report.message)


def _log_unavailable(request: str) -> Refuse:
    text = "the log did not confirm the action in time; it was not sent"
    return Refuse(request, ErrorKind.LOG_UNAVAILABLE, text)


def _outcome_unknown(request: str) -> Refuse:
    text = "an earlier attempt with this key was sent; its outcome is unknown"
    return Refuse(request, ErrorKind.OUTCOME_UNKNOWN, text, ran=Ran.UNKNOWN)
