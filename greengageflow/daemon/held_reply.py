"""Reply that holds a streamed answer back for a short time."""

from collections.abc import Callable, Iterable
from functools import partial

from greengageflow.errors import RouterError
from greengageflow.net.reply import Header, Reply


class HeldReply:
    """Collects the calls of a ``Reply`` until they are released.

    Args:
        reply: Receives the calls.

    Attributes:
        is_finished: Whether the answer is complete.
        until_close: Whether the end of the connection delimits the answer.
        on_drain: Called when a paused stream may resume.
    """

    blocked = True
    """The stream pauses after its first events."""

    def __init__(self, reply: Reply) -> None:
        self.is_finished = self.until_close = False
        self.on_drain: Callable[[], None] | None = None
        self._reply = reply
        self._calls: list[Callable[[], None]] = []

    def begin(
        self,
        status: int,
        headers: Iterable[Header],
        data: bytes = b"",
        *,
        until_close: bool = False,
    ) -> None:
        """Start an answer; see ``Reply.begin``."""
        self.until_close = until_close
        begin = partial(self._reply.begin, until_close=until_close)
        self._calls.append(partial(begin, status, tuple(headers), data))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk; see ``Reply.send_chunk``."""
        self._calls.append(partial(self._reply.send_chunk, data))

    def finish(self, data: bytes = b"") -> None:
        """Complete the answer; see ``Reply.finish``."""
        self.is_finished = True
        self._calls.append(partial(self._reply.finish, data))

    def abort(self) -> None:
        """Leave the answer incomplete; see ``Reply.abort``."""
        self._calls.append(self._reply.abort)

    def error(self, exc: RouterError) -> None:
        """Answer with an error instead of all that was collected."""
        self._calls.clear()
        self._reply.error(exc)

    def release(self) -> None:
        """Pass on what was collected, and resume the stream."""
        self._reply.on_drain = self.on_drain
        for call in self._calls:
            call()
        if self.on_drain is not None and not self._reply.blocked:
            self.on_drain()
