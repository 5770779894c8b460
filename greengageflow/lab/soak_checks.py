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
    AT_MOST_ONCE_KINDS,
    STREAM_KINDS,
    End,
    Facts,
    Kind,
    PublishedConfig,
    RequestRecord,
    Row,
    path_dependencies,
    place_of,
    store_dependencies,
)

STABLE_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
LISTEN_AFTER_STOP_S = 2.6
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0
ROLLBACK_SLACK_S = 0.25
KEY_REVOKE_S = 5.0
RECOVERY_S = 12.0
CANCEL_WITHIN_S = 5.0
DEADLINE_MARGIN_S = 0.5
BACKOFF_SLACK_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
BUDGET_RATIO = 0.1
BUDGET_SLACK = 12.0
BUDGET_WINDOW_S = 10.0
FREE_POISON_CRASHES, FREE_PART_CRASHES = 3, 5
MAX_LATE_POISON_CRASHES = 3
"""Crashes that may come over ``STABLE_S`` after the last free one."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
REFUSED_STATUSES = (401, 403, 404)
KINDS_BY_SERVICE = {
    "app": (Kind.SAFE, Kind.UNSAFE, Kind.PROBE),
    "scribe": (Kind.CHAT, Kind.TALE),
}


@dataclass(frozen=True, slots=True)
class Breach:
    """A violated guarantee and the request that violated it."""

    promise: str
    id: str
    text: str


def undisturbed(facts: Facts, names: set[str], began: float, ended: float) -> bool:
    """Whether no unplanned fault hit ``names`` in a span or ``STABLE_S`` before it."""
    return not any(
        one.name in names and one.began <= ended and one.ended >= began - STABLE_S
        for one in facts.troubles
        if not one.planned
    )


def _could_reach_store(facts: Facts, router: str, at: float, bound_s: float) -> bool:
    return undisturbed(facts, store_dependencies(router), at - bound_s, at)


def check_answer(record: RequestRecord) -> Iterator[Breach]:
    """Check one answer on its own: complete, for its own request, and in order."""
    if record.end is End.JUNK:
        yield Breach("answer", record.id, f"invalid HTTP: {record.error}")
    if record.answer_id not in ("", record.id):
        yield Breach(
            "answer", record.id, f"got the answer of request {record.answer_id}"
        )
    if record.status == 200 and not record.seal:
        yield Breach("answer", record.id, "status 200 without a replica's seal")
    if record.status == 200 and record.kind in STREAM_KINDS:
        yield from _check_stream(record)
    elif record.status == 200 and record.end is End.WHOLE:
        yield from _check_body(record)


def _check_body(record: RequestRecord) -> Iterator[Breach]:
    try:
        body = json.loads(record.body)
    except ValueError:
        body = {}
    expected = {
        "id": record.id,
        "target": record.target,
        "body_sha256": record.body_sha256,
    }
    same = expected.items() <= body.items()
    if not same or not record.seal.startswith(body["replica"]):
        text = f"body or seal mismatch: {record.seal} {record.body[:200]!r}"
        yield Breach("answer", record.id, text)


def _check_stream(record: RequestRecord) -> Iterator[Breach]:
    numbers = [number for number, _ in record.events]
    before = record.resumes.last_event if record.resumes else 0
    if numbers != list(range(before + 1, before + len(numbers) + 1)):
        yield Breach("stream", record.id, f"events out of order: {numbers}")
    if record.end is End.WHOLE and before + len(numbers) != record.wanted:
        text = f"ended as complete after {len(numbers)} of {record.wanted} events"
        yield Breach("stream", record.id, text)
    if any(json.loads(text)["run"] != record.id for _, text in record.events):
        yield Breach("stream", record.id, "events of another request")


def check_versions(facts: Facts) -> Iterator[Breach]:
    """Check that a stream, with what its caller took up, has one software version."""
    releases: dict[str, set[str]] = {}
    for record in facts.asked:
        found = releases.setdefault(record.first_request.id, set())
        found.update(json.loads(text).get("release", "") for _, text in record.events)
    for id, found in releases.items():
        if len(found) > 1:
            yield Breach("version", id, f"events of the versions {sorted(found)}")


def check_runs(facts: Facts) -> Iterator[Breach]:
    """Check that requests ran at most once, unmodified, and not if refused."""
    by_id = {one.id: one for one in facts.asked}
    for id, rows in facts.rows_by_id().items():
        record = by_id.get(id)
        if record is None:
            yield Breach("unasked", id, f"no caller sent it: {rows[0]['target']}")
            continue
        runs = sum(row["begun"] is not None for row in rows)
        if record.kind in AT_MOST_ONCE_KINDS and runs > 1:
            yield Breach("once", id, f"ran {runs} times")
        if runs and record.status in NOT_RUN_STATUSES:
            yield Breach(
                "refused", id, f"ran although it was answered with {record.status}"
            )
        if not all(_matches_request(record, row) for row in rows):
            yield Breach(
                "unasked", id, "target, body, key or tenant differs from the request"
            )


def _matches_request(record: RequestRecord, row: Row) -> bool:
    # The connection may have ended before the whole body had arrived.
    body = row["outcome"] != "done" or row["body_sha256"] == record.body_sha256
    account = row["tenant"] == (None if record.key is None else "tenant-1")
    hidden = record.key not in row["headers"].values()
    return body and account and hidden and row["target"] == record.target


def check_keys(facts: Facts) -> Iterator[Breach]:
    """Check that a key works until it is revoked, and not much longer."""
    revoked_at = {one.revoked: one.acked for one in facts.published if one.revoked}
    rows = facts.rows_by_id()
    for record in facts.asked:
        since = revoked_at.get(record.key, inf)
        ran = any(row["begun"] is not None for row in rows.get(record.id, ()))
        after_s = record.sent - since
        late_s = facts.late_s(since, record.sent)
        reachable = _could_reach_store(
            facts, record.router, record.sent, CONFIG_APPLY_S + late_s
        )
        if ran and after_s > late_s + (CONFIG_APPLY_S if reachable else KEY_REVOKE_S):
            text = f"ran although sent {after_s:.2f} s after its key was revoked"
            yield Breach("revoked", record.id, text)
        always_valid = record.kind is not Kind.PROBE and "spare" not in record.key
        if always_valid and record.status in REFUSED_STATUSES:
            yield Breach(
                "denied", record.id, f"valid request refused with {record.status}"
            )


def check_leaving(facts: Facts) -> Iterator[Breach]:
    """Check that routers that can reach the store stop using a leaving replica."""
    by_id = {one.id: one for one in facts.asked}
    removed_at = {one.replica: one.acked for one in facts.leavings}
    for row in facts.rows:
        record, acked = by_id.get(row["id"]), removed_at.get(row["replica"], inf)
        arrived, place = row["arrived"], place_of(row["replica"])
        after_s = arrived - acked
        bound_s = DRAIN_S + facts.late_s(acked, arrived)
        if record is None or after_s <= bound_s:
            continue
        path_undisturbed = undisturbed(
            facts, {place, f"link:{place}"}, arrived, arrived
        )
        if path_undisturbed and _could_reach_store(
            facts, record.router, arrived, bound_s
        ):
            text = f"sent to {row['replica']} {after_s:.2f} s after its removal"
            yield Breach("leaving", row["id"], text)


def check_evacuated(facts: Facts) -> Iterator[Breach]:
    """Check that routers that can reach the store use no replica of an emptied zone."""
    by_id = {one.id: one for one in facts.asked}
    for row in facts.rows:
        record, place = by_id.get(row["id"]), place_of(row["replica"])
        arrived = row["arrived"]
        for one in facts.evacuations:
            after_s = arrived - one.acked
            bound_s = EVACUATE_S + facts.late_s(one.acked, arrived)
            if place != one.place or not bound_s < after_s < one.ended - one.acked:
                continue
            if record is not None and _could_reach_store(
                facts, record.router, arrived, bound_s
            ):
                text = f"sent to {row['replica']} {after_s:.2f} s after its evacuation"
                yield Breach("evacuated", row["id"], text)


def check_configuration(facts: Facts) -> Iterator[Breach]:
    """Check that each version takes effect and that no router rolls back."""
    probes = [one for one in facts.asked if one.kind is Kind.PROBE and one.status]
    for probe in probes:
        yield from _check_no_rollback(facts, probe, probes)
    after = PublishedConfig(0, inf, inf)
    for one, later in pairwise([*facts.published, after]):
        for probe in probes:
            after_s = probe.sent - one.acked
            route_missing = probe.version == one.version and probe.status == 404
            bound_s = CONFIG_APPLY_S + facts.late_s(one.acked, probe.sent)
            if not route_missing or probe.ended >= later.sent or after_s <= bound_s:
                continue
            if _could_reach_store(facts, probe.router, probe.sent, bound_s):
                text = f"version {one.version} not applied after {after_s:.2f} s"
                yield Breach("in force", probe.id, text)


def _check_no_rollback(
    facts: Facts, probe: RequestRecord, probes: list[RequestRecord]
) -> Iterator[Breach]:
    slack_s = ROLLBACK_SLACK_S + facts.late_s(probe.sent, probe.ended)
    place = probe.router, probe.life
    versions_seen = (
        one.version
        for one in probes
        if (one.router, one.life) == place and one.ended + slack_s <= probe.sent
        if one.status == 200
    )
    highest = max(versions_seen, default=0)
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
    for record in facts.asked:
        unsent = record.end is End.UNSENT and record.first
        lost = unsent or record.end in (End.TORN, End.SILENT)
        if not lost or record.kind is Kind.PROBE:
            continue
        rows = rows_by_id.get(record.id, [])
        # A fault since the connection was opened may show only when it is used.
        began = min(record.opened, record.sent)
        took_s = record.ended - record.sent
        slack_s = LOSS_SLACK_S + facts.late_s(record.sent, record.ended)
        # A keep-alive connection may close just as it is reused; a new one may not.
        read = rows or record.first or took_s > slack_s
        in_time = took_s < record.deadline_s - DEADLINE_MARGIN_S
        broken = record.end is End.SILENT or (read and in_time)
        excused = _excused_by_stop(facts, record, slack_s, bool(rows))
        names = path_dependencies(record, rows)
        if broken and not excused and undisturbed(facts, names, began, record.ended):
            text = f"{record.end} after {took_s:.2f} s: {record.error}"
            yield Breach("cut", record.id, text)


def _excused_by_stop(
    facts: Facts, record: RequestRecord, slack_s: float, reached_replica: bool
) -> bool:
    """Whether a planned stop of its router excuses a cut request.

    That is so near the end of the grace period, and for connections that the router
    never read: the kernel and the proxy accept connections for a router that no longer
    listens and close them unread, around that moment, or later when the proxy found
    no listener.
    """
    refused = any(
        (one.router, one.port) == (record.router, record.port)
        and record.opened <= one.at <= record.ended
        for one in facts.refused
    )
    for one in facts.troubles:
        is_router_stop = one.planned and one.name == record.router
        if not is_router_stop or one.began >= record.ended or record.sent >= one.ended:
            continue
        since_listen_end_s = record.opened - one.began - LISTEN_AFTER_STOP_S
        not_listening = abs(since_listen_end_s) <= slack_s or (
            refused and since_listen_end_s > 0
        )
        near_grace_end = record.ended - one.began > GRACE_S * 5 / 6 - slack_s
        if near_grace_end or (not_listening and not reached_replica):
            return True
    return False


def check_cancelled(facts: Facts) -> Iterator[Breach]:
    """Check that a replica stops working once its caller has disconnected."""
    rows_by_id = facts.rows_by_id()
    for record in facts.asked:
        for row in rows_by_id.get(record.id, []):
            if record.end is End.WHOLE or row["begun"] is None:
                continue
            if row["ended"] is None:
                yield Breach("left", record.id, f"still running at {row['replica']}")
                continue
            after_s = row["ended"] - record.ended
            bound_s = CANCEL_WITHIN_S + facts.late_s(record.ended, row["ended"])
            names = path_dependencies(record, [row])
            if after_s > bound_s and undisturbed(
                facts, names, record.opened, row["ended"]
            ):
                text = (
                    f"ran for {after_s:.2f} s after its caller left ({row['outcome']})"
                )
                yield Breach("left", record.id, text)


def check_poison(facts: Facts) -> Iterator[Breach]:
    """Check that a poison request or part is quarantined soon after some crashes."""
    for one in facts.poisoned:
        free = FREE_PART_CRASHES if one.part else FREE_POISON_CRASHES
        last = one.crashed[free - 1] if len(one.crashed) >= free else inf
        late_s = facts.late_s(last, last)
        later = [at for at in one.crashed if at > last + STABLE_S + late_s]
        if len(later) > MAX_LATE_POISON_CRASHES:
            text = f"{one.body!r}: {len(one.crashed)} crashes, {len(later)} too late"
            yield Breach("poison", "", text)


def check_leaving_signal(facts: Facts) -> Iterator[Breach]:
    """Check that a replica gets no requests after an answer signalled its leaving."""
    signalled_at: dict[tuple[str, int, str], float] = {}
    rows_by_id = facts.rows_by_id()
    for one in facts.asked:
        if one.leaving and one.seal:
            replica = one.seal.rpartition(".")[0]
            place = one.router, one.life, replica
            signalled_at[place] = min(one.ended, signalled_at.get(place, inf))
    for one in facts.asked:
        for row in rows_by_id.get(one.id, ()):
            at = signalled_at.get((one.router, one.life, row["replica"]), inf)
            bound_s = DRAIN_S + facts.late_s(at, one.sent)
            if one.sent - at > bound_s and undisturbed(
                facts, {one.router}, at, one.sent
            ):
                text = (
                    f"{row['replica']} signalled leaving {one.sent - at:.2f} s before"
                )
                yield Breach("said leaving", one.id, text)


def check_backoff(facts: Facts) -> Iterator[Breach]:
    """Check that a router sends nothing to a replica that asked it for backoff."""
    by_id = {one.id: one for one in facts.asked}
    rows_by_path: dict[tuple[str, int, str], list[Row]] = {}
    for row in facts.rows:
        if row["id"] in by_id:
            one = by_id[row["id"]]
            rows_by_path.setdefault((one.router, one.life, row["replica"]), []).append(
                row
            )
    for (router, _, replica), rows in rows_by_path.items():
        for first in rows:
            until = (first["ended"] or inf) + first["backoff_s"]
            began = (first["ended"] or inf) + BACKOFF_SLACK_S
            slack_s = facts.late_s(began, until)
            late = [r for r in rows if began + slack_s < r["arrived"] < until]
            path = {router, f"link:{place_of(replica)}"}
            if len(late) > MAX_REQUESTS_IN_BACKOFF and undisturbed(
                facts, path, began, until
            ):
                text = f"{len(late)} requests from {router} to {replica} during backoff"
                yield Breach("backoff", first["id"], text)


def check_budget(facts: Facts) -> Iterator[Breach]:
    """Check that the retries of a service stay within its retry budget."""
    for service, kinds in KINDS_BY_SERVICE.items():
        sent_times = sorted(one.sent for one in facts.asked if one.kind in kinds)
        retries = sorted(_retry_times(facts, service))
        for at in retries:
            retry_count = _count_in_window(retries, at)
            starts = (at - part * BUDGET_WINDOW_S for part in (0.0, 0.5, 1.0))
            requests = max(_count_in_window(sent_times, start) for start in starts)
            if retry_count > BUDGET_RATIO * requests + BUDGET_SLACK:
                text = (
                    f"{service}: {retry_count} retries for {requests} requests "
                    f"from {at:.2f}"
                )
                yield Breach("budget", "", text)
                break


def _retry_times(facts: Facts, service: str) -> Iterator[float]:
    """Yield the arrival times of retries at a service's replicas."""
    ids = {one.id for one in facts.asked}
    for id, rows in facts.rows_by_id().items():
        if id not in ids or not place_of(rows[0]["replica"]).startswith(service):
            continue
        for row in sorted(rows, key=lambda row: row["arrived"])[1:]:
            at, place = row["arrived"], place_of(row["replica"])
            # A replica that was frozen accepts all pending requests at once.
            if undisturbed(facts, {place, f"link:{place}"}, at, at):
                yield at


def _count_in_window(times: list[float], start: float) -> int:
    """Return the number of sorted times in the window that starts at ``start``."""
    return bisect_left(times, start + BUDGET_WINDOW_S) - bisect_left(times, start)


def check_all(facts: Facts) -> Iterator[Breach]:
    """Run all checks."""
    for record in facts.asked:
        yield from check_answer(record)
    yield from check_versions(facts)
    yield from check_runs(facts)
    yield from check_keys(facts)
    yield from check_leaving(facts)
    yield from check_evacuated(facts)
    yield from check_configuration(facts)
    yield from check_cuts(facts)
    yield from check_cancelled(facts)
    yield from check_poison(facts)
    yield from check_leaving_signal(facts)
    yield from check_backoff(facts)
    yield from check_budget(facts)
