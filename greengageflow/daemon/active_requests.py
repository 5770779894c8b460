"""Registry of the requests in flight at one router and of recently ended ones."""

from collections import deque
from collections.abc import Iterator

from greengageflow.daemon.request_context import Phase, RequestContext
from greengageflow.net.callers import ChatCall, ServiceCall, StatusCall

MAX_ENDED_REQUESTS = 512
"""Number of ended requests whose status documents are kept."""


class ActiveRequests:
    """Requests in flight, by id and by call.

    Args:
        max_ended: Number of ended requests whose status documents are kept.
    """

    def __init__(self, max_ended: int = MAX_ENDED_REQUESTS) -> None:
        self._by_id: dict[str, RequestContext] = {}
        self._by_call: dict[int, RequestContext] = {}
        self._ended: deque[dict[str, object]] = deque(maxlen=max_ended)

    def __len__(self) -> int:
        """Return the number of requests that have no final answer yet."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[RequestContext]:
        """Iterate over a snapshot of the requests that have no final answer yet."""
        return iter(list(self._by_id.values()))

    def add(self, ctx: RequestContext) -> None:
        """Add an admitted request."""
        self._by_id[ctx.id] = ctx
        self._by_call[id(ctx.call)] = ctx

    def get(self, request: str) -> RequestContext | None:
        """Return the request in flight with this id, or None."""
        return self._by_id.get(request)

    def for_call(
        self, call: ChatCall | ServiceCall | StatusCall
    ) -> RequestContext | None:
        """Return the request in flight of a call, or None."""
        return self._by_call.get(id(call))

    def remove(self, ctx: RequestContext, result: str) -> None:
        """Remove a request that ended and keep its status document.

        Raises:
            KeyError: The request is not in flight.
        """
        del self._by_id[ctx.id]
        del self._by_call[id(ctx.call)]
        self._ended.append(ctx.describe(result))

    def explain(self, request: str) -> dict[str, object] | None:
        """Return the status document of a current or recent request, or None."""
        ctx = self._by_id.get(request)
        if ctx is not None:
            return ctx.describe()
        for ended in self._ended:
            if request in (ended["id"], ended["wire_id"]):
                return ended
        return None

    def overdue(self, now: float) -> Iterator[RequestContext]:
        """Yield requests that run past their deadline; the caller may end them."""
        for ctx in list(self._by_id.values()):
            ended = ctx.id not in self._by_id
            if not ended and ctx.phase is Phase.RUNNING and now >= ctx.deadline:
                yield ctx
