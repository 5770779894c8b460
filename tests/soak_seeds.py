"""Soak seeds that failed, with cause and fix.

Timing also depends on the test host, so a seed may not fail again on the code of that
time; each product fault has its own test, which did fail on it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FailedSeed:
    """One failed seed; ``test`` fails without the fix."""

    seed: int
    cause: str
    mended: str
    test: str = ""


FAILED_SEEDS = (
    FailedSeed(
        12,
        "A resumable stream that stalled for 1.5 s was cut although its engine "
        "continued: the router abandoned the engine before it looked for another one, "
        "and found none.",
        "product: the other engine is selected before the first is abandoned",
        "test_stream_that_stands_still_is_not_cut_when_nothing_else_can_go_on",
    ),
    *(
        FailedSeed(
            seed,
            "No stream was served after the faults: the stand-in engine stopped "
            "generating when it wrote to a connection that its caller had reset.",
            "stand-in: it no longer writes to a closed socket",
            "test_engine_steps_continue_when_clients_reset_their_streams",
        )
        for seed in (1, 2, 4, 6, 103)
    ),
    FailedSeed(
        11,
        "As seed 1; also, a request that the proxy accepted and reset, because the "
        "router had already stopped as planned, was reported as cut.",
        "check: a connection is excused if nothing of it reached a replica and it was "
        "opened as the router stopped listening, or later and recorded by the proxy",
    ),
    FailedSeed(
        201,
        "A stopping router logged an internal error: a connection arrived in the event "
        "loop iteration in which it closed its listening socket.",
        "product: the listener is unregistered at once and closed later",
        "test_a_connection_that_arrives_as_the_drain_starts_is_closed_cleanly",
    ),
    FailedSeed(
        3,
        "Streams of up to 300 tokens, requested in sequence under load, exceeded the "
        "bound on recovery.",
        "check: the load stops first, and the requested streams are short",
    ),
    FailedSeed(
        303,
        "Routers that were never cut off sent to a replica for 2.6 s after its "
        "removal: their zone's reader held it back and published no update.",
        "product: the read offset is published at once",
        "test_held_removal_still_advances_the_reported_mark",
    ),
    FailedSeed(
        210,
        "A router was started while its predecessor was still stopping (address in "
        "use): the stop took 7.5 s and the next step on it had started.",
        "soak: a step waits until the previous one on the same target has ended",
    ),
    FailedSeed(
        502,
        "A resumable stream stalled for 1.5 s (1.1 s scheduling delay of the host) and "
        "was moved to a crashed engine; the first engine was excluded, so the stream "
        "was cut.",
        "product: a stalled engine may be selected again",
        "test_stream_that_stands_still_goes_back_when_the_next_engine_is_dead",
    ),
    FailedSeed(
        503,
        "As 502, but the next engine's link reset the connection after the request was "
        "sent, in the last of the route's two attempts. The host was late by 0.75 s.",
        "open: the first engine would have to be kept until the next one responds",
    ),
    FailedSeed(
        600,
        "A key was accepted 2.39 s after it was revoked: connections to the store were "
        "silent, and by the log the poll and its first retry each timed out after 1 s.",
        "product: a read after a failed one uses a new connection",
        "test_every_read_uses_a_new_connection",
    ),
    FailedSeed(
        8007,
        "A router ended with a KeyError: while it refused an expired request, it "
        "started one that had expired as well, which resumed a stream.",
        "Expired requests are all dropped before the first one is refused.",
        "test_an_expired_request_is_not_started_while_another_one_is_refused",
    ),
    FailedSeed(
        8017,
        "A caller that meant to leave its stream early took it up with fewer tokens "
        "than it had asked for at first, so that it ended at once.",
        "The soak's callers take up only streams that they wait for to the end.",
    ),
    FailedSeed(
        12103,
        "A stream without a length was complete after 28 of 60 events: its engine had "
        "crashed, and the check's connection, which the fault proxy accepted and then "
        "ended, counted as a late report.",
        "product: a connection that ends without a report a second time counts as the "
        "end of the endpoint",
        "test_a_connection_that_ends_without_a_report_is_no_answer_that_came_late",
    ),
)
