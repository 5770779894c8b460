"""Measures the cost of the decision log per answered request."""

from os import fstat
from statistics import median
from tempfile import TemporaryFile
from time import process_time

from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog

WINDOWS = 3


def measure_log(lines: int = 20_000) -> dict[str, float]:
    """Return the bytes and processor seconds of the two log lines per request."""
    costs, bytes_per_request = [], 0
    for _ in range(WINDOWS):
        with TemporaryFile() as file:
            log = DecisionLog(file.fileno(), "node-001", 1e9, 1 << 30)
            start = process_time()
            for number in range(lines):
                _log_request(log, f"7f3a-{number:08d}")
                if number % 2 == 0:
                    log.flush()
            log.flush()
            costs.append((process_time() - start) / lines)
            bytes_per_request = fstat(file.fileno()).st_size / lines
    return {"lines": 2, "bytes": bytes_per_request, "cpu": median(costs)}


def _log_request(log: DecisionLog, request: str) -> None:
    log.write(
        DecisionEvent.SENT,
        request=request,
        digest="89abcdef",
        account="account-017",
        route="chat-large",
        endpoint="engine-0123",
        fetch_from="",
        waited_ms=12,
        predicted_ms=340,
        queued=3,
        level=151_000,
        report_age_ms=130,
        config=1234,
    )
    log.write(
        DecisionEvent.FINISHED,
        request=request,
        endpoint="engine-0123",
        status=200,
        first_ms=410,
        total_ms=15_400,
    )
