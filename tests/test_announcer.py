"""Tests of the immediate announcement to new routers."""

from greengageflow.core.announcer import HELLO_ANSWER_TIMEOUT_S, Announcer

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


def test_each_address_is_announced_once_in_limited_batches():
    announcer = Announcer()
    announcer.add([A, B, C])
    assert announcer.next_batch(0.0, 2) == [A, B]
    announcer.add([A, B])
    assert announcer.next_batch(0.1, 2) == [C]
    assert announcer.next_batch(0.2, 2) == []


def test_answering_hello_is_not_announced_again():
    """Otherwise two routers that start together would greet each other forever."""
    announcer = Announcer()
    announcer.add([A])
    announcer.next_batch(0.0, 9)
    announcer.on_start(0.9 * HELLO_ANSWER_TIMEOUT_S, A)
    assert announcer.next_batch(1.0, 9) == []


def test_process_started_after_the_hello_is_announced():
    announcer = Announcer()
    announcer.add([A])
    announcer.next_batch(0.0, 9)
    announcer.on_start(5.0, A)
    assert announcer.next_batch(5.0, 9) == [A]


def test_removed_address_that_returns_is_announced():
    announcer = Announcer()
    announcer.add([A, B])
    announcer.next_batch(0.0, 1)
    announcer.remove(A)
    announcer.remove(B)
    announcer.add([A])
    assert announcer.next_batch(0.0, 9) == [A]
