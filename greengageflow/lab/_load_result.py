"""Parses the answers that the load generator received."""

import json
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass

from greengageflow.lab._load_conn import Exchange
from greengageflow.lab._load_jobs import CHAT, Job
from greengageflow.lab.load_plan import CONNECTION, ChatLoad, Result

DONE = "[DONE]"


@dataclass(frozen=True, slots=True)
class Answer:
    """Parsed body of an answer; see ``load_plan.Result``."""

    text: str = ""
    complete: bool = False
    error: str = ""
    ran: str = ""


def _json(data: bytes | str) -> dict:
    with suppress(ValueError):
        value = json.loads(data)
        if isinstance(value, dict):
            return value
    return {}


def _refusal(value: dict, text: str = "") -> Answer:
    error = value.get("error")
    if not isinstance(error, dict):
        return Answer(text, error="unreadable")
    return Answer(text, False, str(error.get("kind", "")), str(error.get("ran", "")))


def _sse(data: bytes) -> Iterator[str]:
    # The last event may be truncated, so it counts only if a blank line follows it.
    # The router's final event of a cut answer has an event name before its data line.
    lines = (line for one in data.split(b"\n\n")[:-1] for line in one.split(b"\n"))
    for line in lines:
        if line.startswith(b"data:"):
            yield line[len(b"data:") :].strip().decode(errors="replace")


def _streamed(data: bytes) -> Answer:
    texts: list[str] = []
    finished = False
    for line in _sse(data):
        if line == DONE:
            return Answer("".join(texts), finished)
        value = _json(line)
        if "error" in value:
            return _refusal(value, "".join(texts))
        for choice in value.get("choices", ()):
            texts.append(choice.get("delta", {}).get("content") or "")
            finished = finished or choice.get("finish_reason") is not None
    return Answer("".join(texts))


def _whole(data: bytes) -> Answer:
    for choice in _json(data).get("choices", ()):
        text = choice.get("message", {}).get("content") or ""
        return Answer(text, choice.get("finish_reason") is not None)
    return Answer()


def _answer(job: Job, exchange: Exchange) -> Answer:
    data = exchange.data
    match job.load:
        case _ if exchange.status is not None and exchange.status >= 300:
            return _refusal(_json(data))
        case ChatLoad(stream=True):
            return _streamed(data)
        case ChatLoad():
            return _whole(data)
    return Answer(data.decode(errors="replace"), exchange.ended)


def result_of(job: Job, exchange: Exchange, due: float, unix: float) -> Result:
    """Return the result of one request.

    Args:
        job: The request.
        exchange: The answer, with monotonic times.
        due: Scheduled sending time (monotonic).
        unix: Offset from monotonic time to Unix seconds.
    """
    answer = _answer(job, exchange)
    error = answer.error
    if not error and not (exchange.ended and answer.complete):
        error = CONNECTION
    times = tuple(unix + one for one in exchange.times)
    return Result(
        account=job.load.account,
        router=job.router,
        kind=job.kind,
        request_id=exchange.headers.get("x-request-id", ""),
        key=job.key,
        tokens=job.tokens,
        due=unix + due,
        sent=unix + exchange.sent,
        first=times[0] if times else None,
        end=unix + exchange.at_end,
        status=exchange.status,
        error=error,
        ran=answer.ran,
        text=answer.text,
        complete=not error,
        times=times if job.kind == CHAT else (),
    )
