"""What the programs of a host have in common, whatever they serve."""

from circuits import BaseComponent, Event, handler
from loguru import logger

from greengageflow.events import Event as LogEvent
from greengageflow.events import log
from greengageflow.net.poller import SocketPoller
from greengageflow.net.timers import Timers


class Program(BaseComponent):
    """Root of the parts of one process, on one poller and one timer service.

    A handler that fails is logged and costs its own event only. SIGTERM and SIGINT
    begin a planned stop; the process ends when ``stop`` is called.
    """

    def __init__(self) -> None:
        super().__init__()
        # Registered first, or each socket component would bring its own poller.
        self._poller = SocketPoller().register(self)
        self._timers = Timers().register(self)

    @handler("exception", channel="*")
    def _on_exception(
        self, _kind: type, exc: BaseException, _trace: object, **_rest: object
    ) -> None:
        log(LogEvent.INTERNAL, error=repr(exc))
        logger.opt(exception=exc).error("handler failed")

    @handler("signal", channel="*", priority=100)
    def _on_signal(self, event: Event, *_args: object) -> None:
        # The default handler ends the loop at once, which would cut every answer.
        event.stop()
        self._begin_stop()

    def _begin_stop(self) -> None:
        raise NotImplementedError
