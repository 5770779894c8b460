"""Client for the control port of the fault-injecting proxy."""

import json
import socket
from typing import Any

from greengageflow.lab._processes import TIMEOUT_S


class Proxy:
    """Opens routes through the proxy and sets fault rules.

    Args:
        address: Address of the control port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._sock = socket.create_connection(address, timeout=TIMEOUT_S)
        self._file = self._sock.makefile("rw")

    def _send_command(self, **command: Any) -> dict:
        self._file.write(json.dumps(command) + "\n")
        self._file.flush()
        return json.loads(self._file.readline())

    def route(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = ("127.0.0.1", 0),
        texts: dict[str, str] | None = None,
    ) -> tuple[str, int]:
        """Open a route or change its target; return the address to connect to.

        In data sent to the target, ``texts`` (old to new, equal length) are replaced.
        """
        options = {"name": name, "target": target, "listen": listen}
        return tuple(
            self._send_command(op="route", **options, texts=texts or {})["listen"]
        )

    def datagrams(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int],
        texts: dict[str, str],
    ) -> None:
        """Relay datagrams and replace ``texts`` (old to new, equal length) in them."""
        self._send_command(
            op="datagrams", name=name, target=target, listen=listen, texts=texts
        )

    def rules(self, *rules: dict) -> None:
        """Replace all rules, such as ``{"do": "cut", "source": "127.0.0.2"}``."""
        assert "links" in self._send_command(op="rules", rules=rules)

    def refused(self) -> list[tuple[str, int, float]]:
        """Return route, client port and time of connections refused by a target."""
        return [tuple(row) for row in self._send_command(op="refused")["refused"]]

    def close(self) -> None:
        """Disconnect from the control port."""
        self._file.close()
        self._sock.close()
