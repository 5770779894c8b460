"""The poller: cost of socket lookups, in comparisons, and dispatch of events."""

from socket import socketpair
from types import SimpleNamespace

from circuits import BaseComponent, handler

from greengageflow.net.poller import SocketPoller, SocketSet

SOCKET_COUNT = 2000


class CountingSocket:
    """Stand-in for a socket; counts equality comparisons."""

    comparisons = 0

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        CountingSocket.comparisons += 1
        return self is other


def test_socket_lookups_do_not_compare_with_all_others():
    """Lookups do not compare with all other sockets.

    A host with thousands of connections spent most of its CPU time searching lists of
    sockets, about ten times for each connection.
    """
    socks = [CountingSocket() for _ in range(SOCKET_COUNT)]
    socket_set = SocketSet(socks)
    CountingSocket.comparisons = 0
    for sock in socks[::-1]:
        assert sock in socket_set
        socket_set.remove(sock)
        assert sock not in socket_set
        socket_set.append(sock)
    assert CountingSocket.comparisons < 10 * SOCKET_COUNT
    assert (
        socket_set[:] == list(socket_set) == socks[::-1]
        and len(socket_set) == SOCKET_COUNT
    )


def test_the_poller_adds_and_discards_sockets():
    local, remote = socketpair()
    poller = SocketPoller()
    target = BaseComponent(channel="here")
    poller.addReader(target, local)
    poller.addWriter(target, local)
    assert poller.isReading(local) and poller.isWriting(local)
    assert poller.getTarget(local) == "here"
    poller.removeReader(local)
    assert not poller.isReading(local) and poller.isWriting(local)
    poller.discard(local)
    assert not poller.isWriting(local)
    local.close()
    remote.close()


class Source(BaseComponent):
    """Reads through a direct call of the poller and writes through circuits events."""

    channel = "source"

    def __init__(self):
        super().__init__()
        self.received, self.events, self.errors = [], [], []
        self.to_close = None

    def on_readable(self, sock):
        self.received.append(sock.recv(10))
        if self.to_close:
            poller, other = self.to_close
            poller.discard(other)
            other.close()
            raise RuntimeError("failed")

    @handler("_write")
    def _on_write(self, sock):
        self.events.append(sock)

    @handler("exception", channel="*")
    def _on_exception(self, _kind, exc, _trace, **_rest):
        self.errors.append(str(exc))


def run_round(source, poller):
    poller._generate_events(SimpleNamespace(time_left=0.0))
    for _ in range(3):
        source.flush()


def test_readable_sources_are_called_directly_and_others_get_events():
    source = Source()
    poller = SocketPoller().register(source)
    local, remote = socketpair()
    poller.addReader(source, local)
    poller.addWriter(source, local)
    remote.send(b"abc")
    run_round(source, poller)
    assert source.received == [b"abc"]
    assert source.events == [local]
    poller.discard(local)
    assert not poller._sources
    local.close()
    remote.close()


def test_a_failing_source_that_closes_another_socket_affects_no_other():
    """Two sockets are ready together; the handler of the first closes the second.

    The second one's file descriptor may already belong to a new socket, which must not
    be handled in its place.
    """
    source = Source()
    poller = SocketPoller().register(source)
    pairs = [socketpair() for _ in range(2)]
    for local, remote in pairs:
        poller.addReader(source, local)
        remote.send(b"abc")
    source.to_close = poller, pairs[1][0]
    run_round(source, poller)
    assert source.received == [b"abc"]
    assert source.errors == ["failed"]
    for pair in pairs:
        for sock in pair:
            sock.close()
