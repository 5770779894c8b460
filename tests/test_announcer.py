"""Tests of the immediate announcement to new routers."""

from greengageflow.core.announcer import HELLO_ANSWER_TIMEOUT_S, Announcer

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


def test_each_address_is_told_once_and_so_many_at_a_time():
    announcer = Announcer()
    announcer.add([A, B, C])
    assert announcer.next_batch(0.0, 2) == [A, B]
    announcer.add([A, B])
    assert announcer.next_batch(0.1, 2) == [C]
    assert announcer.next_batch(0.2, 2) == []


def test_the_answer_to_a_greeting_is_not_greeted_again():
    """Otherwise two routers that start together would greet each other forever."""
    announcer = Announcer()
    announcer.add([A])
    announcer.next_batch(0.0, 9)
    announcer.on_start(0.9 * HELLO_ANSWER_TIMEOUT_S, A)
    assert announcer.next_batch(1.0, 9) == []


def test_a_process_that_began_after_its_address_was_told_is_told():
    announcer = Announcer()
    announcer.add([A])
    announcer.next_batch(0.0, 9)
    announcer.on_start(5.0, A)
    assert announcer.next_batch(5.0, 9) == [A]


def test_an_address_that_was_forgotten_and_comes_back_is_told():
    announcer = Announcer()
    announcer.add([A, B])
    announcer.next_batch(0.0, 1)
    announcer.remove(A)
    announcer.remove(B)
    announcer.add([A])
    assert announcer.next_batch(0.0, 9) == [A]
