"""The poller: cost of socket lookups, in comparisons, and dispatch of events."""

from socket import socketpair
from types import SimpleNamespace

from circuits import BaseComponent, handler

from greengageflow.net.poller import SocketPoller, SocketSet

MANY = 2000


class Counted:
    """Stand-in for a socket; counts equality comparisons."""

    compared = 0

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        Counted.compared += 1
        return self is other


def test_a_socket_is_found_without_a_look_at_all_others():
    """Lookups do not compare with all other sockets.

    A host with thousands of connections spent most of its CPU time searching lists of
    sockets, about ten times for each connection.
    """
    socks = [Counted() for _ in range(MANY)]
    found = SocketSet(socks)
    Counted.compared = 0
    for sock in socks[::-1]:
        assert sock in found
        found.remove(sock)
        assert sock not in found
        found.append(sock)
    assert Counted.compared < 10 * MANY
    assert found[:] == list(found) == socks[::-1] and len(found) == MANY


def test_the_poller_watches_and_forgets_sockets():
    one, other = socketpair()
    poller = SocketPoller()
    target = BaseComponent(channel="here")
    poller.addReader(target, one)
    poller.addWriter(target, one)
    assert poller.isReading(one) and poller.isWriting(one)
    assert poller.getTarget(one) == "here"
    poller.removeReader(one)
    assert not poller.isReading(one) and poller.isWriting(one)
    poller.discard(one)
    assert not poller.isWriting(one)
    one.close()
    other.close()


class Source(BaseComponent):
    """Reads through a direct call of the poller and writes through circuits events."""

    channel = "source"

    def __init__(self):
        super().__init__()
        self.read, self.events, self.faults = [], [], []
        self.closes = None

    def on_readable(self, sock):
        self.read.append(sock.recv(10))
        if self.closes:
            poller, other = self.closes
            poller.discard(other)
            other.close()
            raise RuntimeError("failed")

    @handler("_write")
    def _on_write(self, sock):
        self.events.append(sock)

    @handler("exception", channel="*")
    def _on_exception(self, _kind, exc, _trace, **_rest):
        self.faults.append(str(exc))


def turn(source, poller):
    poller._generate_events(SimpleNamespace(time_left=0.0))
    for _ in range(3):
        source.flush()


def test_sources_are_called_at_once_and_others_get_events():
    source = Source()
    poller = SocketPoller().register(source)
    one, other = socketpair()
    poller.addReader(source, one)
    poller.addWriter(source, one)
    other.send(b"abc")
    turn(source, poller)
    assert source.read == [b"abc"]
    assert source.events == [one]
    poller.discard(one)
    assert not poller._sources
    one.close()
    other.close()


def test_a_source_that_fails_or_closes_others_harms_no_other_socket():
    """Two sockets are ready together; the handler of the first closes the second.

    The second one's file descriptor may already belong to a new socket, which must not
    be handled in its place.
    """
    source = Source()
    poller = SocketPoller().register(source)
    pairs = [socketpair() for _ in range(2)]
    for one, other in pairs:
        poller.addReader(source, one)
        other.send(b"abc")
    source.closes = poller, pairs[1][0]
    turn(source, poller)
    assert source.read == [b"abc"]
    assert source.faults == ["failed"]
    for pair in pairs:
        for sock in pair:
            sock.close()
