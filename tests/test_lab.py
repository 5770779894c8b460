"""Labs that run at the same time on one machine do not share addresses or ports."""

from contextlib import closing
from socket import socket

from greengageflow.lab._subnets import CALLER_PORT, PEER_PORT, Subnet


def test_labs_at_once_have_subnets_of_their_own():
    with closing(Subnet()) as one, closing(Subnet()) as other:
        assert one.host(1) != other.host(1)
    with closing(Subnet(7)) as one, closing(Subnet(7)) as other:
        assert one.host(1) != other.host(1)


def test_routers_ports_are_not_given_to_outgoing_connections():
    with closing(Subnet()) as subnet, socket() as sock:
        sock.bind((subnet.host(1), 0))
        assert sock.getsockname()[1] > max(CALLER_PORT, PEER_PORT)
