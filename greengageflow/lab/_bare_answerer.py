"""Minimal ``circuits.web`` server, the baseline of ``make bench``."""

import json
import sys

from circuits.web import Controller, Server


class Root(Controller):
    """Serves the same small JSON document on every path."""

    def index(self, *_path: str, **_query: str) -> str:
        """Return the document."""
        self.response.headers["Content-Type"] = "application/json"
        return '{"service": "bare", "request_id": "", "effect": 0}'


class BareServer(Server):
    """The server; prints its address as a JSON line when ready."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), display_banner=False)
        Root().register(self)
        ready = {"ready": True, "host": "127.0.0.1", "port": self.port}
        print(json.dumps(ready), flush=True)


if __name__ == "__main__":
    sys.exit(BareServer().run())
