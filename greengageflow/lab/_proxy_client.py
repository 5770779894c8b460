"""Client of the fault-injecting proxy's control port, for experiments."""

import json
import socket
from typing import Any

from greengageflow.lab._processes import LIMIT_S


class Proxy:
    """Opens routes through the proxy and sets its rules.

    Args:
        address: Where its control port listens.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._sock = socket.create_connection(address, timeout=LIMIT_S)
        self._file = self._sock.makefile("rw")

    def _ask(self, **command: Any) -> dict:
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
        """Open a route or move its target; return the address to connect to.

        In what goes to the target, ``texts`` are replaced by others of one length.
        """
        given = {"name": name, "target": target, "listen": listen}
        return tuple(self._ask(op="route", **given, texts=texts or {})["listen"])

    def datagrams(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int],
        texts: dict[str, str],
    ) -> None:
        """Relay datagrams, with texts in them replaced by others of the same length."""
        self._ask(op="datagrams", name=name, target=target, listen=listen, texts=texts)

    def rules(self, *rules: dict) -> None:
        """Replace all rules, such as ``{"do": "cut", "source": "127.0.0.2"}``."""
        assert "links" in self._ask(op="rules", rules=rules)

    def refused(self) -> list[tuple[str, int, float]]:
        """Return route, client's port and time of what no target took."""
        return [tuple(one) for one in self._ask(op="refused")["refused"]]

    def close(self) -> None:
        """Leave the proxy."""
        self._file.close()
        self._sock.close()
