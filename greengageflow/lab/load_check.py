"""Compares callers' results with the records of engines and services."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from greengageflow.lab._load_jobs import CHAT
from greengageflow.lab.load_plan import Result

NOT_RUN = "no"
DONE = "done"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a comparison; all fields but the first hold request ids or keys.

    Args:
        complete: Number of complete answers.
        wrong: Answers, complete or truncated, whose text differs from that of their
            execution.
        ran: Requests that ran although they were refused as not run.
        doubled: Idempotency keys that took effect more than once.
    """

    complete: int
    wrong: tuple[str, ...] = ()
    ran: tuple[str, ...] = ()
    doubled: tuple[str, ...] = ()

    @property
    def faults(self) -> tuple[str, ...]:
        """Descriptions of all violations."""
        return (
            *(f"wrong answer: {one}" for one in self.wrong),
            *(f"ran though refused: {one}" for one in self.ran),
            *(f"ran more than once: {one}" for one in self.doubled),
        )


def verify(
    results: Iterable[Result],
    executions: Iterable[Mapping],
    effects: Iterable[Mapping] = (),
) -> Verdict:
    """Compare answers byte for byte with executions and effects.

    Args:
        results: Results of the callers.
        executions: ``GET /executions`` of all engines.
        effects: ``GET /effects`` of all services.
    """
    results = list(results)
    executions = list(executions)
    effects = list(effects)
    by_id: dict[str, list[Mapping]] = defaultdict(list)
    for one in (*executions, *effects):
        by_id[one["request_id"]].append(one)
    wrong = [one for one in results if not _right(one, by_id[one.request_id])]
    ran = [one for one in results if one.ran == NOT_RUN and by_id[one.request_id]]
    return Verdict(
        complete=sum(one.complete for one in results),
        wrong=tuple(_name(one) for one in wrong),
        ran=tuple(_name(one) for one in ran),
        doubled=tuple(_doubled((*executions, *effects))),
    )


def _name(result: Result) -> str:
    return result.request_id or f"{result.account} at {result.due:.3f}"


def _right(result: Result, done: list[Mapping]) -> bool:
    if result.kind != CHAT:
        return not result.complete or _right_effect(result, done)
    texts = (one["text"] for one in done if "text" in one)
    if result.complete:
        whole = (one["text"] for one in done if one.get("state") == DONE)
        return result.text in set(whole)
    return not result.text or any(one.startswith(result.text) for one in texts)


def _right_effect(result: Result, done: list[Mapping]) -> bool:
    try:
        answer = json.loads(result.text)
    except ValueError:
        return False
    return answer.get("request_id") == result.request_id and any(
        one["number"] == answer.get("effect") for one in done
    )


def _doubled(done: Iterable[Mapping]) -> Iterator[str]:
    counts = Counter(one["key"] for one in done if one["key"])
    return (key for key, number in counts.items() if number > 1)
