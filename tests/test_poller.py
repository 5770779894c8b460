"""What looking a socket up costs beside thousands of others, by comparisons."""

from socket import socketpair

from circuits import BaseComponent

from greengageflow.net.poller import SocketPoller, SocketSet

MANY = 2000


class Counted:
    """Stands for a socket; counts how often one is compared with another."""

    compared = 0

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        Counted.compared += 1
        return self is other


def test_a_socket_is_found_without_a_look_at_all_others():
    """A host with thousands of connections spent most of its processor time on lists
    of sockets: each connection was looked for some ten times among all others."""
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
