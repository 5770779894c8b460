"""Reads the order stream and sends the orders of endpoints that this router owns.

Only routers with the configuration reader role poll the stream. They notify the owner
of each endpoint with an open order, and repeat the notice while the order is open, so
a lost notice or a change of owner delays the order by a few seconds at most.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from greengageflow.core.catalog import Endpoint
from greengageflow.core.effects import AppendRecords
from greengageflow.core.log_records import (
    Appended,
    AppendResult,
    LogFailure,
    OffsetTrimmed,
    ReadResult,
    Records,
)
from greengageflow.core.messages import OrderNotice, PeerId
from greengageflow.core.order_owner import SEND_WINDOW_S, OrderOwner, SendOrder
from greengageflow.core.orders import ORDER_STREAM, OrderState
from greengageflow.core.placement import FleetView
from greengageflow.events import Event, log
from greengageflow.net.http_pool import Failure, HttpPool, HttpRequest, Response
from greengageflow.net.log_client import JSON_HEADERS, LogClient
from greengageflow.net.timers import Timers

TICK_INTERVAL_S = 0.1
NOTICE_INTERVAL_S = 2.0
RESPONSE_TIMEOUT_S = 60.0
_MIN_READ_BACKOFF_S = 0.5
_TAKEOVER_TIMEOUT_FACTOR = 1.2
_MAX_TEXT_LENGTH = 200


class OrderFollower:
    """Processes the orders to the engines that one router owns.

    Args:
        own: Host and boot time of this router process.
        log_client: Client of the platform's log.
        pool: Outbound connections.
        timers: Timer service.
        view: Returns this router's view of the fleet.
        find_endpoint: Returns the endpoint with a name, or None.
        is_reader: Returns whether this router polls the stream.
        send: Sends a message to a host.
        wait_s: Long-poll timeout of readers, in seconds.
        window_s: Maximum time from claiming an order to sending it, in seconds.
        timeout_s: Maximum wait for an engine's response, in seconds.
    """

    def __init__(
        self,
        own: PeerId,
        log_client: LogClient,
        pool: HttpPool,
        timers: Timers,
        *,
        view: Callable[[], FleetView],
        find_endpoint: Callable[[str], Endpoint | None],
        is_reader: Callable[[], bool],
        send: Callable[[str, Any], None],
        wait_s: float = 5.0,
        window_s: float = SEND_WINDOW_S,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        self._own = own
        self._log = log_client
        self._pool = pool
        self._timers = timers
        self._view = view
        self._find_endpoint = find_endpoint
        self._is_reader = is_reader
        self._send_message = send
        self._wait_s = wait_s
        self._timeout_s = timeout_s
        self._owner = OrderOwner(
            own,
            owns=self._owns,
            checks_fencing=self._checks_fencing,
            is_holder_live=self._is_holder_live,
            send_window_s=window_s,
            takeover_timeout_s=_TAKEOVER_TIMEOUT_FACTOR * (window_s + timeout_s),
        )
        self._next_offset = 0
        self._log_end_offset = 0
        self._reading = False
        self._next_read_at = 0.0
        self._next_notice_at = 0.0
        self._log_is_shorter = False

    @property
    def busy(self) -> bool:
        """Whether an order is in flight or a record is not yet appended."""
        return self._owner.busy

    @property
    def status(self) -> list[dict[str, Any]]:
        """JSON list for ``/status``; complete only on readers and owners."""
        return [_status_row(state) for state in self._owner.fold.states]

    def start(self) -> None:
        """Start the periodic timer."""
        self._timers.every(TICK_INTERVAL_S, self._on_tick)

    def on_notice(self, message: OrderNotice) -> None:
        """Handle a reader's notice that the stream has new records."""
        self._log_end_offset = max(self._log_end_offset, message.next_offset)
        self._on_tick()

    def _owns(self, endpoint: str) -> bool:
        return self._view().owner_of(endpoint) == self._own.host

    def _checks_fencing(self, endpoint: str) -> bool | None:
        found = self._find_endpoint(endpoint)
        return None if found is None else found.checks_fencing

    def _is_holder_live(self, holder: str) -> bool:
        host, _, boot = holder.rpartition(":")
        return boot.isdecimal() and self._view().is_live(PeerId(host, int(boot)))

    def _on_tick(self) -> None:
        now = self._timers.now
        self._execute(self._owner.on_tick(now))
        if self._is_reader() and now >= self._next_notice_at:
            self._next_notice_at = now + NOTICE_INTERVAL_S
            self._notify()
        self._read(now)

    def _execute(self, effects: Iterable[AppendRecords | SendOrder]) -> None:
        for effect in tuple(effects):
            match effect:
                case AppendRecords(stream, records):
                    self._log.append(stream, records, self._on_append)
                case SendOrder():
                    self._send_order(effect)

    # Log.

    def _read(self, now: float) -> None:
        behind = self._next_offset < self._log_end_offset
        if (
            self._reading
            or now < self._next_read_at
            or not (behind or self._is_reader())
        ):
            return
        self._reading = True
        wait_s = 0.0 if behind else self._wait_s
        self._log.read(ORDER_STREAM, self._next_offset, wait_s, self._on_read)

    def _on_append(self, result: AppendResult) -> None:
        if isinstance(result, Appended):
            self._log_end_offset = max(
                self._log_end_offset, result.first_offset + result.count
            )
        self._owner.on_append(self._timers.now, result)
        self._on_tick()

    def _on_read(self, result: ReadResult) -> None:
        self._reading = False
        match result:
            case Records(next_offset=log_end) if log_end < self._next_offset:
                self._on_shorter_log(log_end)
            case Records():
                self._on_records(result)
            case OffsetTrimmed(first_offset):
                self._next_offset = max(self._next_offset, first_offset)
            case LogFailure(retry_after_s=retry_after_s):
                self._next_read_at = self._timers.now + max(
                    _MIN_READ_BACKOFF_S, retry_after_s or 0.0
                )
        self._on_tick()

    def _on_records(self, result: Records) -> None:
        self._log_is_shorter = False
        if not result.records:
            # The log ends here, so a later offset in a notice referred to another log.
            self._log_end_offset = min(self._log_end_offset, self._next_offset)
            self._next_read_at = self._timers.now + TICK_INTERVAL_S
            return
        ended = self._owner.on_records(self._timers.now, result.records)
        self._next_offset = result.records[-1].offset + 1
        self._log_end_offset = max(self._log_end_offset, result.next_offset)
        for state in ended:
            if self._owns(state.order.endpoint):
                _log_result(state)
        self._next_notice_at = 0.0

    def _on_shorter_log(self, log_end: int) -> None:
        # Fencing numbers from a shorter log would be lower than those the engines have
        # seen, and its orders may already have run. Send nothing until the log has
        # grown past the offset read so far.
        if not self._log_is_shorter:
            log(Event.LOG_SHORTER, next_offset=log_end, known=self._next_offset)
        self._log_is_shorter = True
        self._log_end_offset = self._next_offset
        self._next_read_at = self._timers.now + self._wait_s

    def _notify(self) -> None:
        endpoints = {state.order.endpoint for state in self._owner.fold.open}
        owners = {self._view().owner_of(endpoint) for endpoint in endpoints}
        for host in sorted(owners - {None, self._own.host}):
            self._send_message(host, OrderNotice(self._next_offset))

    # Engine requests.

    def _send_order(self, send: SendOrder) -> None:
        order = send.order
        endpoint = self._find_endpoint(order.endpoint)

        def finish(result: str, text: str) -> None:
            now = self._timers.now
            self._owner.on_send_result(
                now, order.id, send.nonce, result, text[:_MAX_TEXT_LENGTH]
            )

        def on_response(response: Response | Failure) -> None:
            finish(*_send_result(response))
            self._on_tick()

        if endpoint is None:
            finish("not_sent", "the endpoint is not configured")
            return
        self._pool.fetch(order_request(send, endpoint, self._timeout_s), on_response)


def order_request(send: SendOrder, endpoint: Endpoint, timeout_s: float) -> HttpRequest:
    """Return the request for an order, which uses a new connection.

    Responses to orders carry no id. On a kept connection, a late copy of an earlier
    response would be taken for the result of this order.
    """
    return HttpRequest(
        "POST",
        endpoint.host,
        endpoint.port,
        "/orders",
        JSON_HEADERS,
        _request_body(send),
        idle_timeout_s=timeout_s,
        retry_stale=False,
        not_after=send.not_after,
    )


def _request_body(send: SendOrder) -> bytes:
    order = send.order
    names = ("model", "adapter", "version", "role")
    options = {name: value for name in names if (value := getattr(order, name))}
    fields = {"order": order.op, "id": order.id, "fencing": send.fencing, **options}
    return json.dumps(fields).encode()


def _send_result(response: Response | Failure) -> tuple[str, str]:
    match response:
        case Failure(sent=False, message=message):
            return "not_sent", message
        case Failure(message=message):
            return "unknown", message
        case Response(status=status) if 200 <= status < 300:
            return "done", ""
    text = response.body[:_MAX_TEXT_LENGTH].decode(errors="replace")
    return "refused", f"{response.status} {text}"


def _log_result(state: OrderState) -> None:
    order = state.order
    fields = {"order": order.id, "endpoint": order.endpoint, "text": state.text}
    if state.result == "unknown":
        log(Event.ORDER_UNKNOWN, **fields)
    else:
        log(Event.ORDER_ENDED, result=state.result, **fields)


def _status_row(state: OrderState) -> dict[str, Any]:
    return {
        "id": state.order.id,
        "endpoint": state.order.endpoint,
        "op": state.order.op,
        "offset": state.offset,
        "holder": state.claim.holder if state.claim else "",
        "fencing": state.fencing,
        "result": state.result,
        "text": state.text,
    }
