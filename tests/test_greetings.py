"""Whom a router tells at once that it lives."""

from greengageflow.core.greetings import ANSWERED_IN_S, Greetings

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))


def test_each_address_is_told_once_and_so_many_at_a_time():
    greetings = Greetings()
    greetings.add([A, B, C])
    assert greetings.next(0.0, 2) == [A, B]
    greetings.add([A, B])
    assert greetings.next(0.1, 2) == [C]
    assert greetings.next(0.2, 2) == []


def test_the_answer_to_a_greeting_is_not_greeted_again():
    """Two routers that begin together would else tell each other without end."""
    greetings = Greetings()
    greetings.add([A])
    greetings.next(0.0, 9)
    greetings.begun(0.9 * ANSWERED_IN_S, A)
    assert greetings.next(1.0, 9) == []


def test_a_process_that_began_after_its_address_was_told_is_told():
    greetings = Greetings()
    greetings.add([A])
    greetings.next(0.0, 9)
    greetings.begun(5.0, A)
    assert greetings.next(5.0, 9) == [A]


def test_an_address_that_was_forgotten_and_comes_back_is_told():
    greetings = Greetings()
    greetings.add([A, B])
    greetings.next(0.0, 1)
    greetings.forget(A)
    greetings.forget(B)
    greetings.add([A])
    assert greetings.next(0.0, 9) == [A]
