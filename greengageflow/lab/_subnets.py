"""Loopback subnets, each reserved for one lab on the machine."""

import os
from socket import socket

SUBNET_COUNT = 200 * 250
CALLER_PORT = 7300
PEER_PORT = 7400
_RESERVATION_PORT = 7200
_RESERVATION_HOST = 250


class Subnet:
    """Addresses 127.x.y.1 to 127.x.y.249, reserved until ``close``.

    The reservation is a listening socket on an address of the subnet that no router
    uses. Labs in the same subnet would take each other's ports, and their routers would
    receive each other's messages. Within a reserved subnet, all routers listen on the
    same two fixed ports. These are below the ephemeral port range: a port chosen
    because it is free could be assigned to an outgoing connection before its router
    listens.

    Args:
        first: Number of the subnet to try first; None to derive it from the process id.

    Raises:
        OSError: All subnets are in use.
    """

    def __init__(self, first: int | None = None) -> None:
        self._reservation = socket()
        start = os.getpid() if first is None else first
        for number in range(start, start + SUBNET_COUNT):
            self._base = f"127.{16 + number % 200}.{number // 200 % 250}"
            try:
                self._reservation.bind(
                    (self.host(_RESERVATION_HOST), _RESERVATION_PORT)
                )
                self._reservation.listen(1)
            except OSError:
                continue
            return
        self._reservation.close()
        raise OSError("all loopback subnets for labs are in use")

    def host(self, number: int) -> str:
        """Return the IP address of the ``number``-th host."""
        return f"{self._base}.{number}"

    def close(self) -> None:
        """Release the subnet."""
        self._reservation.close()
