"""Waiting of one gateway's requests for the end of endpoints' short backoffs.

Runs without a network, on a clock that also advances between two steps of the gateway.
"""

from heapq import heappop, heappush
from itertools import count
from unittest.mock import Mock

import pytest

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.fleet_sums import FleetTotals
from greengageflow.core.forward_request import ForwardRequest
from greengageflow.core.quarantine import Quarantine
from greengageflow.core.router_table import Hello
from greengageflow.core.routes import Backend, RetryPolicy, Route, Routing
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.trust import KeyTrust
from greengageflow.daemon.forward_admission import ForwardAdmission
from greengageflow.daemon.forwarder import Forwarder
from greengageflow.daemon.placement import Placement
from greengageflow.net.forward_calls import ForwardCall
from greengageflow.net.http_messages import Head
from greengageflow.platform.names import (
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_SEAL,
    RETRY_AFTER,
)

SERVICE = "app"
BACKOFF_S = 0.05
TARGET_S = 0.8
QUEUE_S = 0.36
"""Time for which a request with ``TARGET_S`` may wait, in seconds."""
READ_S = 0.001
"""Time that passes before each reading of the clock, in seconds."""


class Gateway:
    """A forwarder whose clock, timers and endpoints the test controls."""

    def __init__(self, endpoints):
        self.clock, self._heap, self._sequence = 100.0, [], count()
        self.read_s = 0.0
        self.sent, self.calls = [], []
        listed = EndpointList()
        for number in range(endpoints):
            one = ListedEndpoint(f"e{number}", SERVICE, "127.0.0.1", 9 + number, "z", 4)
            list(listed.put(one))
        dispatcher = ServiceDispatcher(
            listed, "z", lambda: FleetRetryBudget(1.0, 1000.0, 10.0)
        )
        list(dispatcher.on_totals(self.clock - 10.0, FleetTotals()))
        admission = ForwardAdmission(self, KeyTrust(60.0), lambda: self.clock)
        self.forwarder = Forwarder(
            self,
            self,
            listed,
            dispatcher,
            admission,
            Mock(),
            Quarantine(crashes=2, hold_s=60.0),
        )
        hello = Hello(host="h", boot=1, ip="127.0.0.1", port=1, zone="z")
        self.forwarder.placement = Placement(
            hello,
            dispatcher,
            listed,
            self,
            Mock(),
            self.forwarder.carry_out,
            Mock(),
            Mock(),
        )
        self.forwarder.crashes = self.forwarder.leaving = Mock()
        self.forwarder.on_other_start = Mock()
        route = Route(
            name="safe",
            host="x",
            prefix="/",
            retry_policy=RetryPolicy.ANY,
            stream=False,
            timeout_s=15.0,
            target_s=TARGET_S,
            gap_s=0.4,
            attempts=2,
            priority=1,
            public=True,
            backends=(Backend(SERVICE),),
        )
        self.forwarder.on_routing(Routing(version=1, routes=(route,)))

    # Timers.

    @property
    def now(self):
        self.clock += self.read_s
        return self.clock

    def after(self, delay_s, callback):
        sub = Mock(callback=callback, active=True)
        sub.cancel = lambda: setattr(sub, "active", False)
        heappush(self._heap, (self.now + delay_s, next(self._sequence), sub))
        return sub

    def run_until(self, end):
        """Call the timers that expire until ``end``."""
        while self._heap and self._heap[0][0] <= end:
            at, _, sub = heappop(self._heap)
            self.clock = max(self.clock, at)
            if sub.active:
                sub.callback()
        self.clock = max(self.clock, end)

    # Connection pool.

    def open(self, request, receiver):
        exchange = Mock(request=request, receiver=receiver)
        self.sent.append(exchange)
        return exchange

    # Callers and endpoints.

    def submit(self, name):
        reply = Mock(blocked=False)
        headers = ((REQUEST_ID, name),)
        req = ForwardRequest(
            id=name, method="GET", host="x", target="/safe/", headers=headers
        )
        # The forwarder knows a call by its identity, so that the call must be kept.
        self.calls.append(ForwardCall(request=req, reply=reply))
        self.forwarder.on_call(self.calls[-1])
        return reply

    def answer(self, exchange, status, headers):
        head = Head(status, ((REQUEST_ID, request_id(exchange)), *headers))
        assert exchange.request.accepts(head)
        exchange.receiver.on_head(head)
        exchange.receiver.on_end()

    def reject(self, exchange, backoff_s=BACKOFF_S):
        headers = ((NOT_EXECUTED, "1"), (RETRY_AFTER, str(backoff_s)))
        self.answer(exchange, 503, headers)

    def complete(self, exchange):
        self.answer(exchange, 200, ((RESPONSE_SEAL, "seal"),))


def request_id(exchange):
    return dict(exchange.request.headers)[REQUEST_ID]


def status_of(reply):
    if reply.error.called:
        return reply.error.call_args.args[0].status
    return reply.raw.call_args.args[0] if reply.raw.called else None


@pytest.mark.parametrize("early_ms", [n / 4 for n in range(-8, 41)])
def test_backoff_that_ends_while_a_retry_is_chosen(early_ms):
    """The first endpoint's backoff ends between two readings of the clock: no endpoint
    accepted the retry at the first one, and there was no backoff to wait for at the
    second one. The request was answered with 429."""
    gateway = Gateway(endpoints=3)
    reply = gateway.submit("q")
    start = gateway.clock
    gateway.reject(gateway.sent[0])
    gateway.reject(gateway.sent[1])
    gateway.run_until(start + BACKOFF_S - early_ms / 1000)
    gateway.read_s = READ_S
    gateway.reject(gateway.sent[2])
    gateway.run_until(start + QUEUE_S)
    assert len(gateway.sent) == 4, status_of(reply)
    gateway.complete(gateway.sent[3])
    assert status_of(reply) == 200


def test_backoff_that_another_answer_prolongs():
    """A request waits for the end of a backoff. Meanwhile the endpoint rejects another
    request, which prolongs the backoff. The request was answered with 429 although the
    backoff still ended in time."""
    gateway = Gateway(endpoints=1)
    reply, other = gateway.submit("q"), gateway.submit("other")
    start = gateway.clock
    gateway.reject(gateway.sent[0])
    gateway.run_until(start + 0.03)
    gateway.reject(gateway.sent[1])
    gateway.run_until(start + 0.079)
    assert [status_of(one) for one in (reply, other)] == [None, None]
    gateway.run_until(start + 0.081)
    for exchange in gateway.sent[2:]:
        gateway.complete(exchange)
    assert [status_of(one) for one in (reply, other)] == [200, 200]


def test_backoff_that_is_prolonged_beyond_the_queueing_time():
    """A request that would have to wait too long must be answered, and with the time
    after which its caller should try again."""
    gateway = Gateway(endpoints=1)
    reply = gateway.submit("q")
    gateway.submit("other")
    start = gateway.clock
    gateway.reject(gateway.sent[0])
    gateway.run_until(start + 0.03)
    gateway.reject(gateway.sent[1], backoff_s=QUEUE_S)
    gateway.run_until(start + BACKOFF_S)
    assert status_of(reply) == 429
    assert reply.error.call_args.args[0].retry_after_s == pytest.approx(QUEUE_S - 0.02)
    gateway.run_until(start + 2 * QUEUE_S)
    assert len(gateway.sent) == 2
