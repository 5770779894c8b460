"""``http.client`` that takes no part of a response for a whole one.

Its own parser takes the end of the connection for the end of the head and trailers, and
interim responses other than 100 for the final one.
"""

from http.client import HTTPConnection, HTTPResponse, IncompleteRead
from typing import Any, BinaryIO

_INTERIM_STATUSES = range(102, 200)


class _LineReader:
    """A file whose end within a line, or in place of one, is an error.

    Only the end before the first byte is left to ``http.client``, which reports it.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._started = False

    def readline(self, limit: int = -1) -> bytes:
        line = self._file.readline(limit)
        self._started = self._started or bool(line)
        if self._started and len(line) < limit and not line.endswith(b"\n"):
            raise IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class BlockingResponse(HTTPResponse):
    """A response that is complete, unless the end of the connection delimits it."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.fp = _LineReader(self.fp)

    def begin(self) -> None:
        """Read heads up to that of the final response."""
        super().begin()
        while self.status in _INTERIM_STATUSES:
            self.headers = None
            super().begin()


class BlockingConnection(HTTPConnection):
    """A connection that raises ``IncompleteRead`` for responses that are cut short."""

    response_class = BlockingResponse
