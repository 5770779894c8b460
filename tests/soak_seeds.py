"""Seeds of the soak that failed: what the cause was, and what became of it.

Several things hang on the machine as well as on the seed, so a seed need not fail again
on the code of its day; each product fault has a test of its own that did.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FailedSeed:
    """One failed seed; ``test`` fails without the mend."""

    seed: int
    cause: str
    mended: str
    test: str = ""


FAILED_SEEDS = (
    FailedSeed(
        12,
        "A resumable stream that stood still for 1.5 s was cut at its caller, though "
        "its engine went on: the router left the engine first and looked for another "
        "one afterwards, in vain.",
        "product: the other engine is chosen first",
        "test_stream_that_stands_still_is_not_cut_when_nothing_else_can_go_on",
    ),
    *(
        FailedSeed(
            seed,
            "No stream was served after the faults: the stand-in engine stopped making "
            "tokens when it wrote to a connection that its caller had reset.",
            "stand-in: it does not write on a socket that is closed",
            "test_engine_steps_continue_when_clients_reset_their_streams",
        )
        for seed in (1, 2, 4, 6, 103)
    ),
    FailedSeed(
        11,
        "As seed 1; besides, a request that the proxy took and reset, since the router "
        "had already ended as planned, counted as cut.",
        "check: a connection of which nothing reached a replica, opened as the router "
        "ceased to listen, or later and noted by the proxy, is not counted",
    ),
    FailedSeed(
        201,
        "A router that was told to stop logged a fault of the program: a connection "
        "arrived in the round in which it closed its listening socket.",
        "product: the listener is no longer watched at once, and closed later",
        "test_a_connection_that_arrives_as_the_drain_starts_is_closed_cleanly",
    ),
    FailedSeed(
        3,
        "Streams of up to 300 tokens, asked for one after the other among the load, "
        "did not all fit into the bound on recovery.",
        "check: the load stops first, and the streams asked for are short",
    ),
    FailedSeed(
        303,
        "Routers that were never cut off sent to a replica for 2.6 s after it left: "
        "the reader of their zone held the removal back and told of no change.",
        "product: the mark of what was read is told at once",
        "test_held_removal_still_advances_the_reported_mark",
    ),
    FailedSeed(
        210,
        "A router was started while the one before it still stopped (address in use), "
        "since its stop took 7.5 s and the next step on it had begun.",
        "soak: a step waits until the one before it on the same target has ended",
    ),
    FailedSeed(
        502,
        "A resumable stream stood still for 1.5 s (the machine was late by 1.1 s) and "
        "was moved to an engine that had crashed; the first one was ruled out, so the "
        "stream was cut.",
        "product: an engine that stood still may be gone back to",
        "test_stream_that_stands_still_goes_back_when_the_next_engine_is_dead",
    ),
    FailedSeed(
        503,
        "As 502, but the next engine's link reset the connection after the request was "
        "sent: the last of the route's two attempts. The machine was late by 0.75 s.",
        "open: the first engine would have to be kept until the next one answers",
    ),
    FailedSeed(
        600,
        "A key ran 2.39 s after it was gone: connections to the store were silent, and "
        "by the log's times the poll and its first retry both timed out after 1 s.",
        "product: a read after one that failed takes a new connection",
        "test_read_after_a_failed_one_uses_a_new_connection",
    ),
)
