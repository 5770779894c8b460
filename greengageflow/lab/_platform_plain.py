"""Responses of the fake plain replica, and the faults that affect them."""

from dataclasses import dataclass

from greengageflow.lab._platform_faults import (
    AT_ONCE,
    EARLY,
    EXIT,
    LATE,
    REJECTION,
    RESET,
    ReplicaFaults,
)
from greengageflow.lab.platform_http import (
    Call,
    HttpFake,
    ServerConnection,
    head_bytes,
    response_bytes,
)
from greengageflow.net.timers import Timers
from greengageflow.platform.names import NOT_EXECUTED, REQUEST_ID, RESPONSE_SEAL

FOREIGN_ID = "f0f0f0f0f0f0f0f0"
RESET_DELAY_S = 0.1
EXIT_DELAY_S = 0.002
"""Time for bytes to leave the process before it ends, in seconds."""


class Replica(HttpFake):
    """Replica whose process can end."""

    def crash(self) -> None:
        """End the process at once."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """Body and headers of one response."""

    data: bytes
    headers: dict[str, str]

    def send(
        self, fake: Replica, call: Call, faults: ReplicaFaults, number: int
    ) -> bool:
        """Send the response, subject to faults; return whether it is complete.

        Args:
            fake: Replica that sends it.
            call: Request that it answers.
            faults: Faults that apply to the request.
            number: Number of the response, counted from 1; the ``grey`` fault selects
                by it.
        """
        conn, data = call.conn, self.data
        if faults.lose:
            conn.reset() if faults.lose == RESET else conn.close()
        elif faults.spoil:
            conn.send(b"\x17\x00 no answer at all\r\n\r\n")
        elif faults.cut_after is not None:
            conn.send(response_bytes(200, data, self.headers)[: -len(data) // 2])
            conn.close()
        elif faults.unframed:
            self._unframed(fake, conn, faults)
        else:
            status = 500 if faults.grey and number % faults.grey == 0 else 200
            status = faults.fail or status
            fake.finish(call, response_bytes(status, data, self.headers))
            return True
        return False

    def _unframed(
        self, fake: Replica, conn: ServerConnection, faults: ReplicaFaults
    ) -> None:
        headers = {**self.headers, "Connection": "close"}
        conn.send(head_bytes(faults.fail or 200, headers))
        half = self.data[: len(self.data) // 2]
        if faults.unframed == RESET:
            conn.send(half)
            # The delay lets the client read the first half before the reset
            # discards it.
            fake.timers.after(RESET_DELAY_S, conn.reset)
        elif faults.unframed == EXIT:
            conn.send(half)
            fake.timers.after(EXIT_DELAY_S, fake.crash)
        else:
            conn.send(half if faults.unframed == EARLY else self.data)
            conn.close()


def send_extra(timers: Timers, conn: ServerConnection, faults: ReplicaFaults) -> None:
    """Send an unsolicited second response if the faults ask for it."""
    headers = {REQUEST_ID: FOREIGN_ID, RESPONSE_SEAL: f"foreign.{FOREIGN_ID}"}
    data = response_bytes(200, {"id": FOREIGN_ID}, headers)
    if faults.extra == REJECTION:
        data = response_bytes(400, b"", {NOT_EXECUTED: "1"})
    if faults.extra == AT_ONCE:
        conn.send(data)
    elif faults.extra in (LATE, REJECTION):
        timers.after(faults.extra_s, lambda: conn.send(data))
