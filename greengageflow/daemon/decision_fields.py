"""Log fields for the terms of decisions that depend on likely costs."""

from greengageflow.core.endpoint_choice import Choice
from greengageflow.core.service_scheduler import Decision, StartJob
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.decision_log import DecisionLog


def decision_fields(choice: Choice) -> dict[str, int | float]:
    """Return the fields for the terms of a choice; empty if it has none."""
    terms = choice.terms
    if terms is None:
        return {}
    fields = {
        "wait_ms": round(1000 * terms.queue_wait_s),
        "slowness": round(terms.slowness, 2),
        "duration_ms": round(1000 * terms.duration_s),
        "cached": terms.cached_tokens,
        "cost": round(choice.cost, 3),
    }
    if terms.next_cost is not None:
        fields["next_cost"] = round(terms.next_cost, 3)
    return fields


def log_placed(log: DecisionLog, decision: Decision) -> None:
    """Write a line if another host's request was placed by its likely cost.

    It has only what that host does not know, whose own line has the rest.
    """
    if not isinstance(decision, StartJob) or decision.choice.terms is None:
        return
    choice = decision.choice
    log.write(
        DecisionEvent.PLACED,
        request=decision.request,
        endpoint=choice.endpoint.id,
        **decision_fields(choice),
    )
