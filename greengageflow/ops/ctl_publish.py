"""Publishes to the configuration stream and waits for routers to apply it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from time import monotonic, sleep
from typing import Any
from uuid import uuid4

from greengageflow.core.decisions import Decision, Reason, Rejected
from greengageflow.core.fold import Fold
from greengageflow.core.log_records import LogRecord, OffsetTrimmed
from greengageflow.ops._platform_http import BlockingLog, CallError, router_status
from greengageflow.settings_file import Address

_HISTORY_LENGTH = 100_000
_RETRY_DELAY_S = 0.5
_POLL_INTERVAL_S = 0.2
_MAX_CHANGE_ATTEMPTS = 5


class PublishError(Exception):
    """A record was not published, or the outcome is unknown."""


class Publisher:
    """Reads the configuration stream and appends to it.

    Args:
        log: The configuration stream.
        author: Author name written to the records.
        retry_timeout_s: How long to retry while the log is unavailable, in seconds.
    """

    def __init__(
        self,
        log: BlockingLog,
        author: str = "greengage-ctl",
        *,
        retry_timeout_s: float = 30.0,
    ) -> None:
        self.fold = Fold(history_length=_HISTORY_LENGTH)
        self.times: dict[int, float] = {}
        self.end_offset = 0
        self._log = log
        self._author = author
        self._retry_timeout_s = retry_timeout_s

    def refresh(self) -> None:
        """Read the stream to its end and apply its records.

        Raises:
            CallError: The log is unavailable.
        """
        while not self.fold.halted:
            page = self._log.read(self.fold.next_offset)
            self.end_offset = page.next_offset
            if isinstance(page, OffsetTrimmed):
                self.fold.skip_to(page.first_offset)
                continue
            for record in page.records:
                self._apply(record)
            if self.fold.next_offset >= page.next_offset:
                return

    def _apply(self, record: LogRecord) -> None:
        # A snapshot moves ``next_offset`` back to the records that follow its state.
        if record.offset <= self.fold.next_offset and not self.fold.halted:
            self.times[record.offset] = record.time
            self.fold.apply(record.offset, record.record)

    def check_complete(self) -> None:
        """Check that the configuration in force is known.

        Raises:
            PublishError: The log does not contain enough records to determine it.
        """
        if self.fold.halted:
            raise PublishError(f"this greengage-ctl is too old: {self.fold.halted}")
        if not self.fold.complete:
            raise PublishError(
                "the log was trimmed and has no snapshot of the configuration yet;"
                " wait for a router to append one, or see `greengage-ctl restore`"
            )

    def publish(self, record: Mapping[str, Any]) -> Decision:
        """Append a record and return the decision on it.

        An append with unknown outcome is retried with the same nonce. This is safe
        because only the first copy can replace the revision given in ``replaces``.

        Raises:
            PublishError: The log was unavailable until the timeout.
        """
        nonce = uuid4().hex
        record = {**record, "author": self._author, "nonce": nonce}
        deadline = monotonic() + self._retry_timeout_s
        attempted = False
        while True:
            try:
                if attempted and (decision := self._find_decision(nonce)):
                    return decision
                if attempted and self.fold.config.revision > record["replaces"]:
                    # A copy that arrives later would be rejected as well.
                    return self._lost_decision(record)
                attempted = True
                self._read_through(self._log.append([record]), deadline)
            except CallError as exc:
                if monotonic() >= deadline:
                    raise PublishError(_timeout_text(exc, nonce)) from None
                sleep(exc.retry_after_s or _RETRY_DELAY_S)

    def append(self, record: Mapping[str, Any]) -> None:
        """Append a record that is safe to duplicate.

        Raises:
            PublishError: The log was unavailable until the timeout.
        """
        deadline = monotonic() + self._retry_timeout_s
        while True:
            try:
                self._log.append([record])
                return
            except CallError as exc:
                if monotonic() >= deadline:
                    raise PublishError(f"log unavailable ({exc})") from None
                sleep(exc.retry_after_s or _RETRY_DELAY_S)

    def _read_through(self, offset: int, deadline: float) -> None:
        self.refresh()
        while self.end_offset <= offset and monotonic() < deadline:
            sleep(_POLL_INTERVAL_S)
            self.refresh()

    def _find_decision(self, nonce: str) -> Decision | None:
        self.refresh()
        self.check_complete()
        found = (item for item in self.fold.history if item.nonce == nonce)
        return next(found, None)

    def _lost_decision(self, record: Mapping[str, Any]) -> Decision:
        revision = self.fold.config.revision
        text = f"replaces revision {record['replaces']}, but {revision} is in force"
        outcome = Rejected(Reason.LOST, text)
        return Decision(-1, self._author, record["nonce"], outcome)

    def change(self, make_record: Callable[[Fold], Mapping[str, Any]]) -> Decision:
        """Publish a change to the configuration in force, retrying on conflicts.

        Args:
            make_record: Builds the record from the current state of the fold.

        Raises:
            PublishError: The log was unavailable until the timeout.
        """
        for _ in range(_MAX_CHANGE_ATTEMPTS):
            self.refresh()
            self.check_complete()
            decision = self.publish(make_record(self.fold))
            if getattr(decision.outcome, "reason", None) is not Reason.LOST:
                break
        return decision


def _timeout_text(exc: CallError, nonce: str) -> str:
    return (
        f"log unavailable ({exc}); the record may still be appended: look for nonce"
        f" {nonce} in `greengage-ctl history --json`"
    )


@dataclass(slots=True)
class Rollout:
    """Progress of a revision's rollout.

    Args:
        revision: The revision.
        pending: Routers that have not applied it, with the reason.
        in_force: Routers that have applied it.
        seconds: Elapsed time, in seconds.
    """

    revision: int
    pending: dict[Address, str]
    in_force: list[Address] = field(default_factory=list)
    seconds: float = 0.0


def await_in_force(
    routers: Iterable[Address], revision: int, within_s: float
) -> Rollout:
    """Wait until all routers have applied ``revision`` or a later one."""
    start = monotonic()
    rollout = Rollout(revision, dict.fromkeys(routers, "not queried"))
    while True:
        for address in list(rollout.pending):
            _poll_router(rollout, address)
        rollout.seconds = monotonic() - start
        if not rollout.pending or rollout.seconds >= within_s:
            return rollout
        sleep(_POLL_INTERVAL_S)


def _poll_router(rollout: Rollout, address: Address) -> None:
    try:
        found = int(router_status(address)["config"]["revision"])
    except CallError as exc:
        rollout.pending[address] = str(exc)
        return
    except (KeyError, TypeError, ValueError):
        rollout.pending[address] = "its status has no configuration revision"
        return
    if found >= rollout.revision:
        del rollout.pending[address]
        rollout.in_force.append(address)
    else:
        rollout.pending[address] = f"revision {found}"
