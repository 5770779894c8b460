"""Base class of the daemons."""

from circuits import BaseComponent, Event, handler

from greengageflow.events import Event as LogEvent
from greengageflow.events import log, log_exception
from greengageflow.net.poller import SocketPoller
from greengageflow.net.timers import Timers


class Program(BaseComponent):
    """Root component of a process, with one poller and one timer service.

    An exception in a handler is logged and affects only the event being handled.
    SIGTERM and SIGINT begin a graceful shutdown; the process ends when ``stop`` is
    called.
    """

    def __init__(self) -> None:
        super().__init__()
        # Registered first; otherwise each socket component adds a poller of its own.
        self._poller = SocketPoller().register(self)
        self._timers = Timers().register(self)

    @handler("exception", channel="*")
    def _on_exception(
        self, _kind: type, exc: BaseException, _trace: object, **_rest: object
    ) -> None:
        log(LogEvent.INTERNAL, error=repr(exc))
        log_exception(exc, "handler failed")

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event: Event, *_args: object) -> None:
        # The default handler ends the loop at once, which would truncate all responses.
        event.stop()
        self._begin_stop()

    def _begin_stop(self) -> None:
        raise NotImplementedError
