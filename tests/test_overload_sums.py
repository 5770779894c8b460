from random import Random

from greengageflow.lab._overload_callers import CallPlan, CallRow
from greengageflow.lab._overload_sums import LoadPhase, OverloadSummary

BASELINE = LoadPhase("0.5", 0.0, 8.0, 10.0)
RECOVERY = LoadPhase("0.5", 8.0, 20.0, 10.0)


def row(name, due, took, *, status=200, whole=True, again=False):
    end = due + took
    return CallRow(name, again, due, due, status, end, end, whole)


def test_each_attempt_counts_once_and_by_the_time_it_was_due():
    rows = [
        row("good", 2.1, 0.7),
        row("late", 2.1, 0.9),
        row("refused", 2.1, 0.4, status=429),
        row("back", 2.6, 0.2, status=503, again=True),
        row("cut", 2.2, 0.1, whole=False),
        row("error", 2.2, 0.1, status=502),
        CallRow("open", False, 2.2, 2.2),
    ]
    summary = OverloadSummary(rows, {"good": 2.3}, target_s=0.8)
    interval = summary.summarize_interval(2.0, 4.0)
    counts = {
        name: 2 * interval[name] for name in ("fresh", "again", "in_time", "late")
    }
    assert counts == {"fresh": 6, "again": 1, "in_time": 1, "late": 1}
    assert (interval["refused"], interval["failed"]) == (1.0, 1.0)
    assert round(interval["wait_p50_ms"]) == 200
    assert summary.failed_attempts == 3


def test_recovery_is_when_waits_are_normal_for_three_seconds():
    dues = [number / 10 for number in range(200)]
    rows = [row(str(due), due, 0.3) for due in dues]

    def recovery(slow):
        started_at = {str(due): due + (0.4 if slow(due) else 0.01) for due in dues}
        summary = OverloadSummary(rows, started_at, target_s=0.8)
        return summary.recovery_s(RECOVERY, summary.normal_wait_s(BASELINE))

    assert recovery(lambda due: False) == 0.0
    assert recovery(lambda due: 8.0 <= due < 10.0) == 2.0
    assert recovery(lambda due: 8.0 <= due < 9.0 or 10.0 <= due < 10.5) == 2.5
    assert recovery(lambda due: due >= 8.0) is None


def test_arrivals_follow_the_rate_of_each_phase():
    phases = [(10.0, 50.0), (10.0, 200.0)]
    plan = CallPlan([], [], "/", "h", 5000, 0, 0, phases, start=0.0)
    dues = list(plan.arrivals(Random(1)))
    assert dues == sorted(dues) and dues[-1] < plan.seconds == 20.0
    early = sum(due < 10.0 for due in dues)
    assert 400 < early < 600 and 1800 < len(dues) - early < 2200
