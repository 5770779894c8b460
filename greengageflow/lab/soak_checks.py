"""Checks of the soak guarantees against the records of callers and replicas.

Bounds are those promised to operators, in seconds, plus the scheduling delay of the
test host around the event.
"""

import json
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import inf

from greengageflow.lab.soak_facts import (
    ONCE,
    STREAMS,
    Asked,
    End,
    Facts,
    Kind,
    Published,
    Row,
    path_names,
    place_of,
    store_names,
)

STABLE_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
LISTENS_S = 2.6
LOSS_SLACK_S = 0.2
APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
REVOKE_S = 5.0
RECOVER_S = 12.0
LEFT_S = 5.0
BEFORE_DEADLINE_S = 0.5
BACKOFF_SLACK_S = 0.5
MOST_IN_BACKOFF = 2
BUDGET_RATIO = 0.1
BUDGET_SLACK = 12.0
BUDGET_WINDOW_S = 10.0
MOST_LATER = 3
"""Crashes by a poison request that may come over ``STABLE_S`` after the third one."""
NOT_RUN = (408, 421, 429, 503)
REFUSED = (401, 403, 404)
SERVICES = {
    "app": (Kind.SAFE, Kind.UNSAFE, Kind.PROBE),
    "scribe": (Kind.CHAT, Kind.TALE),
}


@dataclass(frozen=True, slots=True)
class Breach:
    """A violated guarantee and the request that violated it."""

    promise: str
    id: str
    text: str


def calm(facts: Facts, names: set[str], began: float, ended: float) -> bool:
    """Whether no unplanned fault hit ``names`` in a span or ``STABLE_S`` before it."""
    return not any(
        one.name in names and one.began <= ended and one.ended >= began - STABLE_S
        for one in facts.troubles
        if not one.planned
    )


def _could_hear(facts: Facts, router: str, at: float, bound_s: float) -> bool:
    return calm(facts, store_names(router), at - bound_s, at)


def check_answer(asked: Asked) -> Iterator[Breach]:
    """Check one answer on its own: complete, for its own request, and in order."""
    if asked.end is End.JUNK:
        yield Breach("answer", asked.id, f"invalid HTTP: {asked.error}")
    if asked.answer_id not in ("", asked.id):
        yield Breach("answer", asked.id, f"got the answer of request {asked.answer_id}")
    if asked.status == 200 and not asked.seal:
        yield Breach("answer", asked.id, "status 200 without a replica's seal")
    if asked.status == 200 and asked.kind in STREAMS:
        yield from _check_stream(asked)
    elif asked.status == 200 and asked.end is End.WHOLE:
        yield from _check_body(asked)


def _check_body(asked: Asked) -> Iterator[Breach]:
    try:
        body = json.loads(asked.body)
    except ValueError:
        body = {}
    due = {"id": asked.id, "target": asked.target, "body_sha256": asked.body_sha256}
    same = due.items() <= body.items()
    if not same or not asked.seal.startswith(body["replica"]):
        text = f"body or seal mismatch: {asked.seal} {asked.body[:200]!r}"
        yield Breach("answer", asked.id, text)


def _check_stream(asked: Asked) -> Iterator[Breach]:
    numbers = [number for number, _ in asked.events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield Breach("stream", asked.id, f"events out of order: {numbers}")
    if asked.end is End.WHOLE and len(numbers) != asked.wanted:
        text = f"ended as complete after {len(numbers)} of {asked.wanted} events"
        yield Breach("stream", asked.id, text)
    if any(json.loads(text)["run"] != asked.id for _, text in asked.events):
        yield Breach("stream", asked.id, "events of another request")


def check_runs(facts: Facts) -> Iterator[Breach]:
    """Check that requests ran at most once, unmodified, and not if refused."""
    by_id = {one.id: one for one in facts.asked}
    for id, rows in facts.rows_by_id().items():
        asked = by_id.get(id)
        if asked is None:
            yield Breach("unasked", id, f"no caller sent it: {rows[0]['target']}")
            continue
        runs = sum(row["begun"] is not None for row in rows)
        if asked.kind in ONCE and runs > 1:
            yield Breach("once", id, f"ran {runs} times")
        if runs and asked.status in NOT_RUN:
            yield Breach(
                "refused", id, f"ran although it was answered with {asked.status}"
            )
        if not all(_as_sent(asked, row) for row in rows):
            yield Breach(
                "unasked", id, "target, body, key or tenant differs from the request"
            )


def _as_sent(asked: Asked, row: Row) -> bool:
    # The connection may have ended before the whole body had arrived.
    body = row["outcome"] != "done" or row["body_sha256"] == asked.body_sha256
    account = row["tenant"] == (None if asked.key is None else "tenant-1")
    hidden = asked.key not in row["headers"].values()
    return body and account and hidden and row["target"] == asked.target


def check_keys(facts: Facts) -> Iterator[Breach]:
    """Check that a key works until it is revoked, and not much longer."""
    gone = {one.revoked: one.acked for one in facts.published if one.revoked}
    rows = facts.rows_by_id()
    for asked in facts.asked:
        since = gone.get(asked.key, inf)
        ran = any(row["begun"] is not None for row in rows.get(asked.id, ()))
        after_s = asked.sent - since
        late_s = facts.late_s(since, asked.sent)
        heard = _could_hear(facts, asked.router, asked.sent, APPLY_S + late_s)
        if ran and after_s > late_s + (APPLY_S if heard else REVOKE_S):
            text = f"ran although sent {after_s:.2f} s after its key was revoked"
            yield Breach("revoked", asked.id, text)
        lasting = asked.kind is not Kind.PROBE and "spare" not in asked.key
        if lasting and asked.status in REFUSED:
            yield Breach(
                "denied", asked.id, f"valid request refused with {asked.status}"
            )


def check_leaving(facts: Facts) -> Iterator[Breach]:
    """Check that routers that can reach the store stop using a leaving replica."""
    by_id = {one.id: one for one in facts.asked}
    left = {one.replica: one.acked for one in facts.leavings}
    for row in facts.rows:
        asked, acked = by_id.get(row["id"]), left.get(row["replica"], inf)
        arrived, place = row["arrived"], place_of(row["replica"])
        after_s = arrived - acked
        bound_s = DRAIN_S + facts.late_s(acked, arrived)
        if asked is None or after_s <= bound_s:
            continue
        direct = calm(facts, {place, f"link:{place}"}, arrived, arrived)
        if direct and _could_hear(facts, asked.router, arrived, bound_s):
            text = f"sent to {row['replica']} {after_s:.2f} s after its removal"
            yield Breach("leaving", row["id"], text)


def check_configuration(facts: Facts) -> Iterator[Breach]:
    """Check that each version takes effect and that no router rolls back."""
    probes = [one for one in facts.asked if one.kind is Kind.PROBE and one.status]
    for probe in probes:
        yield from _check_never_back(facts, probe, probes)
    after = Published(0, inf, inf)
    for one, later in pairwise([*facts.published, after]):
        for probe in probes:
            after_s = probe.sent - one.acked
            lacks = probe.version == one.version and probe.status == 404
            bound_s = APPLY_S + facts.late_s(one.acked, probe.sent)
            if not lacks or probe.ended >= later.sent or after_s <= bound_s:
                continue
            if _could_hear(facts, probe.router, probe.sent, bound_s):
                text = f"version {one.version} not applied after {after_s:.2f} s"
                yield Breach("in force", probe.id, text)


def _check_never_back(
    facts: Facts, probe: Asked, probes: list[Asked]
) -> Iterator[Breach]:
    slack_s = ROLLBACK_SLACK_S + facts.late_s(probe.sent, probe.ended)
    place = probe.router, probe.life
    known = (
        one.version
        for one in probes
        if (one.router, one.life) == place and one.ended + slack_s <= probe.sent
        if one.status == 200
    )
    highest = max(known, default=0)
    newest = max(one.version for one in facts.published if one.sent < probe.ended)
    older = probe.status == 200 and probe.version < highest
    # The highest version's route has vanished although no newer version exists.
    lost = probe.status == 404 and probe.version == highest == newest
    if older or lost:
        yield Breach(
            "reverted", probe.id, f"{place} rolled back from version {highest}"
        )


def check_cuts(facts: Facts) -> Iterator[Breach]:
    """Check that every request is answered in full, also around a planned stop."""
    rows_by_id = facts.rows_by_id()
    for asked in facts.asked:
        unsent = asked.end is End.UNSENT and asked.first
        lost = unsent or asked.end in (End.TORN, End.SILENT)
        if not lost or asked.kind is Kind.PROBE:
            continue
        rows = rows_by_id.get(asked.id, [])
        # A fault since the connection was opened may show only when it is used.
        began = min(asked.opened, asked.sent)
        took_s = asked.ended - asked.sent
        slack_s = LOSS_SLACK_S + facts.late_s(asked.sent, asked.ended)
        # A keep-alive connection may close just as it is reused; a new one may not.
        read = rows or asked.first or took_s > slack_s
        in_time = took_s < asked.deadline_s - BEFORE_DEADLINE_S
        broken = asked.end is End.SILENT or (read and in_time)
        excused = _stopped(facts, asked, slack_s, bool(rows))
        names = path_names(asked, rows)
        if broken and not excused and calm(facts, names, began, asked.ended):
            text = f"{asked.end} after {took_s:.2f} s: {asked.error}"
            yield Breach("cut", asked.id, text)


def _stopped(facts: Facts, asked: Asked, slack_s: float, passed_on: bool) -> bool:
    """Whether a planned stop of its router excuses a cut request.

    That is so near the end of the grace period, and for connections that the router
    never read: the kernel and the proxy accept connections for a router that no longer
    listens and close them unread, around that moment, or later when the proxy found
    no listener.
    """
    refused = any(
        (one.router, one.port) == (asked.router, asked.port)
        and asked.opened <= one.at <= asked.ended
        for one in facts.refused
    )
    for one in facts.troubles:
        mine = one.planned and one.name == asked.router
        if not mine or one.began >= asked.ended or asked.sent >= one.ended:
            continue
        listened_s = asked.opened - one.began - LISTENS_S
        unlistened = abs(listened_s) <= slack_s or (refused and listened_s > 0)
        ends = asked.ended - one.began > GRACE_S * 5 / 6 - slack_s
        if ends or (unlistened and not passed_on):
            return True
    return False


def check_left(facts: Facts) -> Iterator[Breach]:
    """Check that a replica stops working once its caller has disconnected."""
    rows_by_id = facts.rows_by_id()
    for asked in facts.asked:
        for row in rows_by_id.get(asked.id, []):
            if asked.end is End.WHOLE or row["begun"] is None:
                continue
            if row["ended"] is None:
                yield Breach("left", asked.id, f"still running at {row['replica']}")
                continue
            after_s = row["ended"] - asked.ended
            bound_s = LEFT_S + facts.late_s(asked.ended, row["ended"])
            names = path_names(asked, [row])
            if after_s > bound_s and calm(facts, names, asked.opened, row["ended"]):
                text = (
                    f"ran for {after_s:.2f} s after its caller left ({row['outcome']})"
                )
                yield Breach("left", asked.id, text)


def check_poison(facts: Facts) -> Iterator[Breach]:
    """Check that a poison request is quarantined soon after the third crash."""
    for one in facts.poisoned:
        third = one.crashed[2] if len(one.crashed) > 2 else inf
        late_s = facts.late_s(third, third)
        later = [at for at in one.crashed if at > third + STABLE_S + late_s]
        if len(later) > MOST_LATER:
            text = f"{one.body!r}: {len(one.crashed)} crashes, {len(later)} too late"
            yield Breach("poison", "", text)


def check_said_leaving(facts: Facts) -> Iterator[Breach]:
    """Check that a replica gets no requests after an answer signalled its leaving."""
    said: dict[tuple[str, int, str], float] = {}
    rows_by_id = facts.rows_by_id()
    for one in facts.asked:
        if one.leaving and one.seal:
            replica = one.seal.rpartition(".")[0]
            place = one.router, one.life, replica
            said[place] = min(one.ended, said.get(place, inf))
    for one in facts.asked:
        for row in rows_by_id.get(one.id, ()):
            at = said.get((one.router, one.life, row["replica"]), inf)
            bound_s = DRAIN_S + facts.late_s(at, one.sent)
            if one.sent - at > bound_s and calm(facts, {one.router}, at, one.sent):
                text = (
                    f"{row['replica']} signalled leaving {one.sent - at:.2f} s before"
                )
                yield Breach("said leaving", one.id, text)


def check_backoff(facts: Facts) -> Iterator[Breach]:
    """Check that a router sends nothing to a replica that asked it for backoff."""
    by_id = {one.id: one for one in facts.asked}
    asked: dict[tuple[str, int, str], list[Row]] = {}
    for row in facts.rows:
        if row["id"] in by_id:
            one = by_id[row["id"]]
            asked.setdefault((one.router, one.life, row["replica"]), []).append(row)
    for (router, _, replica), rows in asked.items():
        for first in rows:
            until = (first["ended"] or inf) + first["backoff_s"]
            began = (first["ended"] or inf) + BACKOFF_SLACK_S
            slack_s = facts.late_s(began, until)
            late = [r for r in rows if began + slack_s < r["arrived"] < until]
            path = {router, f"link:{place_of(replica)}"}
            if len(late) > MOST_IN_BACKOFF and calm(facts, path, began, until):
                text = f"{len(late)} requests from {router} to {replica} during backoff"
                yield Breach("backoff", first["id"], text)


def check_budget(facts: Facts) -> Iterator[Breach]:
    """Check that the retries of a service stay within its retry budget."""
    for service, kinds in SERVICES.items():
        asked = sorted(one.sent for one in facts.asked if one.kind in kinds)
        repeats = sorted(_repeats(facts, service))
        for at in repeats:
            taken = _within(repeats, at)
            starts = (at - part * BUDGET_WINDOW_S for part in (0.0, 0.5, 1.0))
            requests = max(_within(asked, start) for start in starts)
            if taken > BUDGET_RATIO * requests + BUDGET_SLACK:
                text = (
                    f"{service}: {taken} retries for {requests} requests from {at:.2f}"
                )
                yield Breach("budget", "", text)
                break


def _repeats(facts: Facts, service: str) -> Iterator[float]:
    """Yield the arrival times of retries at a service's replicas."""
    ids = {one.id for one in facts.asked}
    for id, rows in facts.rows_by_id().items():
        if id not in ids or not place_of(rows[0]["replica"]).startswith(service):
            continue
        for row in sorted(rows, key=lambda row: row["arrived"])[1:]:
            at, place = row["arrived"], place_of(row["replica"])
            # A replica that was frozen accepts all pending requests at once.
            if calm(facts, {place, f"link:{place}"}, at, at):
                yield at


def _within(times: list[float], start: float) -> int:
    """Return the number of sorted times in the window that starts at ``start``."""
    return bisect_left(times, start + BUDGET_WINDOW_S) - bisect_left(times, start)


def check_all(facts: Facts) -> Iterator[Breach]:
    """Run all checks."""
    for asked in facts.asked:
        yield from check_answer(asked)
    yield from check_runs(facts)
    yield from check_keys(facts)
    yield from check_leaving(facts)
    yield from check_configuration(facts)
    yield from check_cuts(facts)
    yield from check_left(facts)
    yield from check_poison(facts)
    yield from check_said_leaving(facts)
    yield from check_backoff(facts)
    yield from check_budget(facts)
