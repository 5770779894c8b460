"""Connect checks of addresses with a listener, without one, and behind a proxy."""

from contextlib import closing
from socket import create_server

import pytest
from http_fakes import Loop, wait_for

from greengageflow.net.connect_check import ConnectCheck, ConnectResult


class Checks:
    """A ``ConnectCheck`` with its own loop."""

    def __init__(self, loop):
        self.loop, self.seen = loop, []
        self.check = ConnectCheck(loop.timers).register(loop.app)

    def start_check(self, address):
        self.loop.call(lambda: self.check.check(address, self.seen.append))

    def result(self):
        return wait_for(lambda: self.seen)[0]


@pytest.fixture
def checks():
    with closing(Loop()) as loop:
        checks = Checks(loop)
        loop.thread.start()
        yield checks


def test_listening_process_accepts(checks):
    with create_server(("127.0.0.1", 0)) as server:
        checks.start_check(server.getsockname())
        assert checks.result() is ConnectResult.ACCEPTED


def test_address_without_a_listener_refuses(checks):
    with create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
    checks.start_check(address)
    assert checks.result() is ConnectResult.REFUSED


def test_connection_that_ends_at_once_counts_as_closed(checks):
    with create_server(("127.0.0.1", 0)) as server:
        checks.start_check(server.getsockname())
        taken, _ = server.accept()
        taken.close()
        assert checks.result() is ConnectResult.CLOSED
