"""Labs that run at the same time on one machine do not share addresses or ports."""

from contextlib import closing
from socket import socket

from greengageflow.lab._subnets import CALLER_PORT, PEER_PORT, Subnet


def test_concurrent_labs_use_different_subnets():
    with closing(Subnet()) as first, closing(Subnet()) as second:
        assert first.host(1) != second.host(1)
    with closing(Subnet(7)) as first, closing(Subnet(7)) as second:
        assert first.host(1) != second.host(1)


def test_router_ports_are_below_the_ephemeral_range():
    with closing(Subnet()) as subnet, socket() as sock:
        sock.bind((subnet.host(1), 0))
        assert sock.getsockname()[1] > max(CALLER_PORT, PEER_PORT)
