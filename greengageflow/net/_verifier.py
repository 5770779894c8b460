"""Verification of connections of ``http_pool``."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Protocol

from greengageflow.core.incarnation import IncarnationEvidence
from greengageflow.net._exchange import Collector, Exchange
from greengageflow.net._http_conn import Connection
from greengageflow.net._http_write import BadHead
from greengageflow.net.http_messages import (
    Failure,
    FailureKind,
    HttpRequest,
    Receiver,
    Response,
    Verdict,
)

MAX_RESPONSE_BYTES = 1_048_576
FAILED = "failed"
_REJECTION_TEXTS = {
    FailureKind.OTHER_START: "another start of the endpoint answers at its address",
    FailureKind.UNVERIFIED: "the endpoint does not state which start of it answers",
}


class _CheckReceiver(Collector):
    """Collects the response to a check.

    It finds the check through the exchange that waits for it. Once the check has ended
    nothing refers to it, and both are freed without a garbage collection.
    """

    def __init__(
        self, waiting: Exchange, on_done: Callable[[Response | Failure], None]
    ) -> None:
        self._waiting = waiting
        super().__init__(on_done, MAX_RESPONSE_BYTES)

    @property
    def exchange(self) -> Exchange | None:
        """The check, until it has ended."""
        return self._waiting.check


class Connect(Protocol):
    """Opens a new connection for an exchange."""

    def __call__(self, exchange: Exchange, *, verify: bool) -> None:
        """Open a connection; send the request on it, or verify it first."""


class Verifier:
    """Verifies connections before the requests that need it are sent on them.

    Args:
        make_exchange: Returns a new exchange.
        start: Sends the request of an exchange on a connection.
        connect: Opens a new connection for an exchange.
        close: Closes a connection.
        report: Reports the failure of an exchange.

    Attributes:
        counts: Number of verifications, by the evidence in lower case or ``failed``.
    """

    def __init__(
        self,
        make_exchange: Callable[[HttpRequest, Receiver], Exchange],
        *,
        start: Callable[[Exchange, Connection], None],
        connect: Connect,
        close: Callable[[Connection], None],
        report: Callable[[Exchange, Failure], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._make_exchange = make_exchange
        self._start = start
        self._connect = connect
        self._close = close
        self._report = report

    def verify(self, exchange: Exchange, conn: Connection) -> None:
        """Send the request of an exchange on a connection once that is verified."""
        request = exchange.request
        check_request = replace(
            request.verification.request, connect_timeout_s=request.connect_timeout_s
        )
        receiver = _CheckReceiver(exchange, partial(self._on_done, exchange))
        check = exchange.check = self._make_exchange(check_request, receiver)
        check.is_check = True
        self._start(check, conn)

    def _on_done(self, exchange: Exchange, result: Response | Failure) -> None:
        check, exchange.check = exchange.check, None
        match result:
            case Failure(kind=kind, message=message):
                self.counts[FAILED] += 1
                on_failure = exchange.request.verification.on_failure
                if on_failure is None:
                    self._fail(exchange, kind, f"verification: {message}")
                    return
                on_failure()
                self._on_evidence(exchange, None, IncarnationEvidence.UNSTATED)
            case Response():
                evidence = exchange.request.verification.evaluate(result)
                self.counts[evidence.name.lower()] += 1
                self._on_evidence(exchange, check.freed_conn, evidence)

    def _on_evidence(
        self,
        exchange: Exchange,
        conn: Connection | None,
        evidence: IncarnationEvidence,
    ) -> None:
        verification = exchange.request.verification
        is_unstated = evidence is IncarnationEvidence.UNSTATED
        if is_unstated and conn is not None and verification.fallback is not None:
            request = replace(exchange.request, verification=verification.fallback)
            exchange.request = request
            self.verify(exchange, conn)
            return
        if conn is None and evidence is IncarnationEvidence.SAME:
            # The server closed this connection; the next one may lead elsewhere.
            if not exchange.was_check_closed:
                exchange.was_check_closed = True
                self._connect(exchange, verify=True)
                return
            evidence = IncarnationEvidence.UNSTATED
        verdict = Verdict(verification.start, evidence)
        if not verification.allows(verdict):
            kind = FailureKind.UNVERIFIED
            if evidence in (IncarnationEvidence.LATER, IncarnationEvidence.OTHER):
                kind = FailureKind.OTHER_START
            self._discard(conn)
            self._fail(exchange, kind, _REJECTION_TEXTS[kind])
        elif exchange.past_send_deadline:
            self._discard(conn)
            text = "send deadline passed during the verification"
            self._fail(exchange, FailureKind.TIMEOUT, text)
        elif conn is None:
            self._send(exchange, partial(self._connect, exchange, verify=False))
        else:
            conn.verdict = verdict
            self._send(exchange, partial(self._start, exchange, conn))

    def _send(self, exchange: Exchange, send: Callable[[], None]) -> None:
        try:
            send()
        except BadHead as exc:
            self._fail(exchange, FailureKind.BROKEN, str(exc))

    def _discard(self, conn: Connection | None) -> None:
        if conn is not None:
            self._close(conn)

    def _fail(self, exchange: Exchange, kind: FailureKind, message: str) -> None:
        sent = exchange.sent_on_earlier_connection
        self._report(exchange, Failure(kind, sent, message))
