"""Parses the answers that the load generator received."""

import json
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass

from greengageflow.lab._load_conn import Exchange
from greengageflow.lab._load_jobs import CHAT, Job
from greengageflow.lab.load_plan import CONNECTION_ERROR, ChatLoad, Result

END_OF_STREAM = "[DONE]"


@dataclass(frozen=True, slots=True)
class Answer:
    """Parsed body of an answer; see ``load_plan.Result``."""

    text: str = ""
    complete: bool = False
    error: str = ""
    ran: str = ""


def _parse_object(data: bytes | str) -> dict:
    with suppress(ValueError):
        value = json.loads(data)
        if isinstance(value, dict):
            return value
    return {}


def _parse_error(value: dict, text: str = "") -> Answer:
    error = value.get("error")
    if not isinstance(error, dict):
        return Answer(text, error="unreadable")
    return Answer(text, False, str(error.get("kind", "")), str(error.get("ran", "")))


def _sse_data(data: bytes) -> Iterator[str]:
    # The last event may be truncated, so it counts only if a blank line follows it.
    # The router's final event of a cut answer has an event name before its data line.
    lines = (line for one in data.split(b"\n\n")[:-1] for line in one.split(b"\n"))
    for line in lines:
        if line.startswith(b"data:"):
            yield line[len(b"data:") :].strip().decode(errors="replace")


def _parse_stream(data: bytes) -> Answer:
    texts: list[str] = []
    finished = False
    for line in _sse_data(data):
        if line == END_OF_STREAM:
            return Answer("".join(texts), finished)
        value = _parse_object(line)
        if "error" in value:
            return _parse_error(value, "".join(texts))
        for choice in value.get("choices", ()):
            texts.append(choice.get("delta", {}).get("content") or "")
            finished = finished or choice.get("finish_reason") is not None
    return Answer("".join(texts))


def _parse_completion(data: bytes) -> Answer:
    for choice in _parse_object(data).get("choices", ()):
        text = choice.get("message", {}).get("content") or ""
        return Answer(text, choice.get("finish_reason") is not None)
    return Answer()


def _parse_answer(job: Job, exchange: Exchange) -> Answer:
    data = exchange.data
    match job.load:
        case _ if exchange.status is not None and exchange.status >= 300:
            return _parse_error(_parse_object(data))
        case ChatLoad(stream=True):
            return _parse_stream(data)
        case ChatLoad():
            return _parse_completion(data)
    return Answer(data.decode(errors="replace"), exchange.ended)


def result_of(job: Job, exchange: Exchange, due: float, unix_offset_s: float) -> Result:
    """Return the result of one request.

    Args:
        job: The request.
        exchange: The answer, with monotonic times.
        due: Scheduled sending time (monotonic).
        unix_offset_s: Offset from monotonic time to Unix seconds.
    """
    answer = _parse_answer(job, exchange)
    error = answer.error
    if not error and not (exchange.ended and answer.complete):
        error = CONNECTION_ERROR
    times = tuple(unix_offset_s + one for one in exchange.times)
    return Result(
        account=job.load.account,
        router=job.router,
        kind=job.kind,
        request_id=exchange.headers.get("x-request-id", ""),
        key=job.key,
        tokens=job.tokens,
        due=unix_offset_s + due,
        sent=unix_offset_s + exchange.sent,
        first=times[0] if times else None,
        end=unix_offset_s + exchange.ended_at,
        status=exchange.status,
        error=error,
        ran=answer.ran,
        text=answer.text,
        complete=not error,
        times=times if job.kind == CHAT else (),
    )
