from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengageflow.core.effects import AppendRecords
from greengageflow.core.log_records import Appended, LogFailure, LogRecord
from greengageflow.core.messages import PeerId
from greengageflow.core.order_owner import OrderOwner, SendOrder
from greengageflow.core.orders import (
    MAX_CONCURRENT_LOADS,
    Claim,
    Done,
    Order,
    OrderFold,
    from_json,
    to_json,
)
from greengageflow.ops.ctl_orders import (
    OrderError,
    append_order,
    make_order,
    merge_orders,
)

LOAD = Order("o1", "e1", "load", model="scribe", version="2")


def fold_of(*rows):
    fold = OrderFold()
    for offset, (time, record) in enumerate(rows):
        fold.apply(offset, time, record)
    return fold


def test_records_round_trip_and_invalid_ones_are_ignored():
    for record in (LOAD, Claim("o1", "n", "r1:1", 4, True), Done("o1", "n", "done")):
        assert from_json(to_json(record)) == record
    for invalid in (
        {"t": "order", "id": "o", "endpoint": "e", "op": "format"},
        {"t": "claim", "id": "o", "nonce": "n", "holder": "h", "over": True},
        {"t": "done", "id": "o", "nonce": 1, "result": "done"},
        {"t": "other"},
        [],
        None,
    ):
        assert from_json(invalid) is None


def test_a_duplicate_claim_does_not_hold_an_order_that_was_not_sent():
    """A duplicate claim after ``not_sent`` must not block the order until it expires.

    The append of the claim was retried because its response was lost, so a duplicate
    follows the end of an attempt that sent nothing.
    """
    claim = Claim("o1", "n1", "r1:1")
    fold = fold_of((1, LOAD), (2, claim), (3, Done("o1", "n1", "not_sent")), (4, claim))
    assert fold.state("o1").claim is None
    fold.apply(4, 5, Claim("o1", "n2", "r2:1"))
    assert fold.state("o1").fencing == 4


def test_a_duplicate_of_an_ended_order_does_not_run_again():
    fold = fold_of(
        (1, LOAD), (2, Claim("o1", "n1", "r1:1")), (3, Done("o1", "n1", "done"))
    )
    fold.apply(3, 4, LOAD)
    assert fold.open == ()


def test_a_later_claim_counts_only_with_fencing():
    """An engine that ignores fencing tokens must not get an order from two owners.

    Two routers claim one order, because each considers the other dead. The engine
    would load twice, or return to an older version.
    """
    plain = fold_of((1, LOAD), (2, Claim("o1", "n1", "a:1")))
    plain.apply(2, 9, Claim("o1", "n2", "b:1", 1, True))
    assert plain.state("o1").claim.nonce == "n1"
    fenced = fold_of((1, LOAD), (2, Claim("o1", "n1", "a:1", fenced=True)))
    fenced.apply(2, 9, Claim("o1", "n2", "b:1", fenced=True))
    assert fenced.state("o1").claim.nonce == "n1"
    fenced.apply(3, 9, Claim("o1", "n3", "b:1", 1, True))
    assert fenced.state("o1").fencing == 3


def test_loads_are_bounded_over_the_fleet():
    """The weight store refuses requests when all engines load at once."""
    orders = [Order(f"o{n}", f"e{n}", "load", model="m") for n in range(9)]
    fold = fold_of(*((1, order) for order in orders))
    assert fold.claimable_loads() == [
        order.id for order in orders[:MAX_CONCURRENT_LOADS]
    ]
    for n, order in enumerate(orders):
        fold.apply(9 + n, 2, Claim(order.id, f"n{n}", "r1:1"))
    assert sum(state.claim is not None for state in fold.open) == MAX_CONCURRENT_LOADS
    fold.apply(20, 3, Order("role", "e8", "role", role="prefill"))
    fold.apply(21, 3, Done("o0", "n0", "done"))
    assert fold.claimable_loads() == ["o4"]


def test_a_stale_order_is_not_sent_after_an_outage():
    fold = fold_of((0, LOAD))
    fold.apply(1, 300, Claim("o1", "n1", "r1:1"))
    assert fold.state("o1").result == "expired"


def test_two_sides_of_a_partition_replace_claims_at_a_bounded_rate():
    """Two routers must not replace each other's claims at an unbounded rate.

    Each considers the other dead, both reach the log and the engine, and every send
    times out. Only the backoff after a time-out bounds the number of claims.
    """
    log, read = [], [0, 0]
    owners = [
        OrderOwner(
            PeerId(host, 1),
            owns=lambda _: True,
            checks_fencing=lambda _: True,
            is_holder_live=lambda holder, host=host: holder == f"{host}:1",
        )
        for host in ("r1", "r2")
    ]
    log.append(LogRecord(0, 0.0, to_json(LOAD)))
    for tick in range(600):
        now = tick / 10
        for number, owner in enumerate(owners):
            owner.on_records(now, log[read[number] :])
            read[number] = len(log)
            for effect in owner.on_tick(now):
                match effect:
                    case AppendRecords(records=rows):
                        first = len(log)
                        for row in rows:
                            log.append(LogRecord(len(log), now, row))
                        owner.on_append(now, Appended(first, len(rows)))
                    case SendOrder(order, nonce):
                        owner.on_send_result(now, order.id, nonce, "unknown", "timeout")
    claims = sum(row.record["t"] == "claim" for row in log)
    assert 2 <= claims <= 25


HOSTS = st.sampled_from(["r1", "r2"])


class OrderMachine(RuleBasedStateMachine):
    """Two routers, either or both of which own the endpoint, and one log.

    Responses are lost, processes freeze, and messages to the engine are delayed.
    """

    fenced = False

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.pending = []
        self.routers = {}
        self.read = {}
        self.boots = Counter()
        self.owners = {"r1"}
        self.frozen = set()
        self.received = Counter()
        self.executed = []
        self.sent_orders = []
        self.engine_fencing = -1
        self.number = 0
        for host in ("r1", "r2"):
            self.restart(host)

    def restart(self, host):
        self.boots[host] += 1
        self.read[host] = 0
        self.pending = [
            item for item in self.pending if item[0] != host or item[1] == "wire"
        ]
        self.routers[host] = OrderOwner(
            PeerId(host, self.boots[host]),
            owns=lambda _: host in self.owners,
            checks_fencing=lambda _: self.fenced,
            is_holder_live=self.is_holder_live_now,
            send_window_s=4,
            takeover_timeout_s=10,
        )

    def is_holder_live_now(self, holder):
        host, _, boot = holder.partition(":")
        return host not in self.frozen and int(boot) == self.boots[host]

    def run(self, host):
        for effect in self.routers[host].on_tick(self.now):
            match effect:
                case AppendRecords(records=rows):
                    self.pending.append((host, "append", rows, 0))
                case SendOrder():
                    self.pending.append((host, "send", effect, 0))

    @rule()
    def operator_gives_order(self):
        if self.number < 3:
            self.number += 1
            order = Order(f"o{self.number}", "e1", "role", role="prefill")
            self.log.append(LogRecord(len(self.log), self.now, to_json(order)))

    def read_log(self, host):
        rows = self.log[self.read[host] :]
        self.read[host] = len(self.log)
        self.routers[host].on_records(self.now, rows)
        self.run(host)

    @rule(host=HOSTS, step_count=st.integers(1, 6), wire=st.booleans())
    def process(self, host, step_count, wire):
        for _ in range(step_count):
            if host not in self.frozen:
                self.read_log(host)
            self.process_next(
                host, ("append", "send", *(["wire"] if wire else [])), "ok"
            )

    @rule(
        host=HOSTS,
        delivery=st.sampled_from(["lost", "refused"]),
        wire_only=st.booleans(),
    )
    def fail_next(self, host, delivery, wire_only):
        kinds = ("wire",) if wire_only else ("append", "send")
        self.process_next(host, kinds, delivery)

    def process_next(self, host, kinds, delivery):
        for item in self.pending:
            if item[0] == host and item[1] in kinds:
                break
        else:
            return
        _, kind, payload, boot = item
        if host in self.frozen and kind != "wire":
            return
        self.pending.remove(item)
        match kind:
            case "append":
                self.append(host, payload, delivery)
            case "send":
                self.send(host, payload, delivery)
            case "wire":
                self.deliver(host, payload, delivery, boot)

    def append(self, host, rows, delivery):
        result = Appended(len(self.log), len(rows))
        if delivery == "refused":
            result = LogFailure(False, "down")
        else:
            for row in rows:
                self.log.append(LogRecord(len(self.log), self.now, row))
            if delivery == "lost":
                result = LogFailure(True, "answer lost")
        self.routers[host].on_append(self.now, result)

    def send(self, host, send, delivery):
        # The connection pool checks this right before sending the first byte.
        if delivery == "refused" or self.now >= send.not_after:
            end = self.now, send.order.id, send.nonce, "not_sent", ""
            self.routers[host].on_send_result(*end)
        else:
            self.sent_orders.append(int(send.order.id[1:]))
            self.pending.append((host, "wire", send, self.boots[host]))

    def deliver(self, host, send, delivery, boot):
        id_ = send.order.id
        self.received[id_] += 1
        outdated = self.fenced and send.fencing < self.engine_fencing
        if not outdated:
            self.engine_fencing = max(self.engine_fencing, send.fencing)
            self.executed.append(int(id_[1:]))
        if boot == self.boots[host]:
            result = (
                "unknown" if delivery == "lost" else "refused" if outdated else "done"
            )
            self.routers[host].on_send_result(self.now, id_, send.nonce, result, "")

    @rule(step=st.sampled_from([0.5, 2.0, 5.0, 12.0]))
    def advance_time(self, step):
        self.now += step
        for host in self.routers.keys() - self.frozen:
            self.run(host)

    @rule(host=HOSTS)
    def toggle_frozen(self, host):
        self.frozen ^= {host}

    @rule(host=HOSTS)
    def restarts(self, host):
        self.frozen.discard(host)
        self.restart(host)

    @rule(owners=st.sets(HOSTS, min_size=1))
    def change_owners(self, owners):
        self.owners = owners

    @invariant()
    def orders_run_safely(self):
        if self.fenced:
            # No earlier order is executed after a later one.
            assert self.executed == sorted(self.executed)
        else:
            assert all(count <= 1 for count in self.received.values())
            assert self.sent_orders == sorted(self.sent_orders)


class FencedMachine(OrderMachine):
    fenced = True


TestPlainOrders = OrderMachine.TestCase
TestFencedOrders = FencedMachine.TestCase
for case in (TestPlainOrders, TestFencedOrders):
    case.settings = settings(max_examples=250, stateful_step_count=40)


def test_the_state_machine_executes_orders():
    """Checks that the state machine executes orders; else it would prove nothing."""
    for machine in (OrderMachine(), FencedMachine()):
        machine.operator_gives_order()
        machine.operator_gives_order()
        for _ in range(4):
            machine.process("r1", 4, True)
            machine.advance_time(0.5)
        assert machine.executed == [1, 2]


def test_an_append_without_an_answer_is_repeated_under_the_same_id():
    """The append of an order succeeded, but its response was lost."""
    log = []

    def append(records):
        log.extend(records)
        if len(log) < 3:
            raise TimeoutError
        return len(log) - 1

    order = make_order("e1", "load", model="scribe", version="2")
    assert append_order(order, append) == 2
    assert {row["id"] for row in log} == {order.id}
    assert from_json(log[0]) == from_json(log[2])


def test_inconsistent_orders_are_rejected():
    for args in (
        {"op": "load"},
        {"op": "load", "model": "m", "role": "r"},
        {"op": "role"},
        {"op": "role", "role": "r", "version": "2"},
        {"op": "format"},
    ):
        with pytest.raises(OrderError):
            make_order("e1", **args)


def test_the_most_advanced_status_wins():
    row = {"id": "o", "offset": 1, "fencing": 2, "result": "", "text": ""}
    late = {**row, "fencing": -1}
    done = {**row, "result": "done"}
    unknown = {**row, "result": "unknown"}
    views = ({"orders": [status]} for status in (late, unknown, done, row))
    assert merge_orders(views) == [done]
