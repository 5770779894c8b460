"""Compares callers' results with the records of engines and services."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from greengageflow.lab._load_jobs import CHAT
from greengageflow.lab.load_plan import Result

NOT_RUN = "no"
DONE_STATE = "done"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a comparison; all fields but the first hold request ids or keys.

    Args:
        complete: Number of complete answers.
        wrong: Answers, complete or truncated, whose text differs from that of their
            execution.
        ran_though_refused: Requests that ran although they were refused as not run.
        duplicate_keys: Idempotency keys that took effect more than once.
    """

    complete: int
    wrong: tuple[str, ...] = ()
    ran_though_refused: tuple[str, ...] = ()
    duplicate_keys: tuple[str, ...] = ()

    @property
    def faults(self) -> tuple[str, ...]:
        """Descriptions of all violations."""
        return (
            *(f"wrong answer: {one}" for one in self.wrong),
            *(f"ran though refused: {one}" for one in self.ran_though_refused),
            *(f"ran more than once: {one}" for one in self.duplicate_keys),
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
    wrong = [one for one in results if not _is_correct(one, by_id[one.request_id])]
    ran = [one for one in results if one.ran == NOT_RUN and by_id[one.request_id]]
    return Verdict(
        complete=sum(one.complete for one in results),
        wrong=tuple(_label(one) for one in wrong),
        ran_though_refused=tuple(_label(one) for one in ran),
        duplicate_keys=tuple(_find_duplicate_keys((*executions, *effects))),
    )


def _label(result: Result) -> str:
    return result.request_id or f"{result.account} at {result.due:.3f}"


def _is_correct(result: Result, performed: list[Mapping]) -> bool:
    if result.kind != CHAT:
        return not result.complete or _is_correct_effect(result, performed)
    texts = (one["text"] for one in performed if "text" in one)
    if result.complete:
        complete_texts = (
            one["text"] for one in performed if one.get("state") == DONE_STATE
        )
        return result.text in set(complete_texts)
    return not result.text or any(one.startswith(result.text) for one in texts)


def _is_correct_effect(result: Result, performed: list[Mapping]) -> bool:
    try:
        answer = json.loads(result.text)
    except ValueError:
        return False
    return answer.get("request_id") == result.request_id and any(
        one["number"] == answer.get("effect") for one in performed
    )


def _find_duplicate_keys(performed: Iterable[Mapping]) -> Iterator[str]:
    counts = Counter(one["key"] for one in performed if one["key"])
    return (key for key, number in counts.items() if number > 1)
