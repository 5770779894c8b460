from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from greengageflow.core.action_entry import ActionEntry
from greengageflow.core.action_writer import ActionWriter
from greengageflow.core.actions import (
    ActionFold,
    Intent,
    Outcome,
    Release,
    from_json,
    to_json,
)
from greengageflow.core.effects import AppendRecords, MayRun, ReadRecords, Refuse, Send
from greengageflow.core.log_records import Appended, LogFailure, LogRecord, Records
from greengageflow.core.messages import (
    IntentRequest,
    IntentVerdict,
    OutcomeReport,
    OutcomeStored,
    PeerId,
)
from greengageflow.errors import Ran

KEY = "acme\nvisit-1"


def test_a_duplicate_intent_after_its_release_does_not_take_the_key():
    """A duplicate intent after a release must not block the key.

    The append of the intent was retried because its response was lost, so a
    duplicate follows the release. If it took the key, the caller's next try would
    be refused, although it was told that the action had not run.
    """
    fold = ActionFold(600)
    fold.apply(1, Intent(KEY, "n1", "d", "r1:1"))
    fold.apply(2, Release(KEY, "n1"))
    fold.apply(3, Intent(KEY, "n1", "d", "r1:1"))
    assert fold.state(KEY) is None
    fold.apply(4, Intent(KEY, "n2", "d", "r2:1"))
    assert fold.state(KEY).nonce == "n2"


def test_readers_with_different_start_offsets_expire_a_key_at_the_same_time():
    """Two writers must never grant the same key to different attempts.

    The first intent was trimmed from the log before the second writer started to
    read. If a losing intent did not extend the key, the first writer would expire it
    earlier than the second.
    """
    rows = [
        (0, Intent(KEY, "n1", "d", "r1:1")),
        (500, Intent(KEY, "n2", "d", "r2:1")),
        (700, Intent(KEY, "n3", "d", "r3:1")),
        (1200, Intent(KEY, "n4", "d", "r1:1")),
    ]
    early, late = ActionFold(600), ActionFold(600)
    for time, record in rows:
        early.apply(time, record)
    for time, record in rows[1:]:
        late.apply(time, record)
    assert early.state(KEY).nonce != "n3"
    assert late.state(KEY).nonce != "n3"
    assert early.state(KEY).expires_at == late.state(KEY).expires_at


def test_memory_for_bodies_is_bounded_and_dropped_bodies_are_marked():
    fold = ActionFold(600)
    for n in range(300):
        fold.apply(1, Intent(f"k{n}", f"n{n}", "d", "r1:1"))
        fold.apply(1, Outcome(f"k{n}", f"n{n}", "yes", 200, "t", b"x" * 16_000))
    assert fold.state("k0").outcome.kept is False
    assert fold.state("k299").outcome.kept is True


class ActionMachine(RuleBasedStateMachine):
    """Entry routers, writers and an in-memory log.

    Messages are lost, duplicated and reordered.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = {}
        self.pending = []
        self.writers = {}
        self.entries = {}
        self.boots = Counter()
        self.send_counts = Counter()
        self.reported_not_run = set()
        self.request_count = 0
        self.writer = "r1"
        for host in ("r1", "r2", "r3"):
            self.restart_host(host)

    def restart_host(self, host):
        self.boots[host] += 1
        own = PeerId(host, self.boots[host])
        self.writers[host] = ActionWriter(600)
        self.entries[host] = ActionEntry(
            own, lambda _: self.writer, lambda _: True, verdict_timeout_s=3
        )

    def run(self, host, effects):
        for effect in effects:
            match effect:
                case Send(to, message):
                    sender = PeerId(host, self.boots[host])
                    self.pending.append((sender, to, message))
                case AppendRecords(stream, records):
                    self.pending.append((host, "append", stream, records))
                case ReadRecords(stream, start):
                    rows = self.log.get(stream, [])
                    result = Records(tuple(rows[start:]), 0, len(rows))
                    self.run(host, self.writers[host].on_read(self.now, stream, result))
                case MayRun(request):
                    self.pending.append((host, "send", request))
                case Refuse(request, ran=None):
                    self.reported_not_run.add(request)

    @rule(host=st.sampled_from(["r1", "r2", "r3"]))
    def caller_sends_request(self, host):
        self.request_count += 1
        request = f"q{self.request_count}"
        entry = self.entries[host]
        self.run(host, entry.begin(self.now, request, KEY, "d", self.now + 20))

    @rule(
        pick=st.integers(0, 99), delivery=st.sampled_from(["ok", "ok", "lose", "copy"])
    )
    def process_pending(self, pick, delivery):
        if not self.pending:
            return
        index = pick % len(self.pending)
        item = self.pending[index] if delivery == "copy" else self.pending.pop(index)
        match item:
            case host, "send", request:
                if delivery != "copy":
                    self.send(host, request, delivery)
            case host, "append", stream, records:
                if delivery != "copy":
                    self.append(host, stream, records, delivery)
            case sender, to, message if delivery != "lose":
                self.deliver(sender, to, message)

    @rule(count=st.integers(1, 8))
    def process_in_order(self, count):
        for _ in range(count):
            self.process_pending(0, "ok")

    def send(self, host, request, delivery):
        entry = self.entries[host]
        if delivery == "lose":
            self.run(host, entry.cancel(self.now, request))
            self.reported_not_run.add(request)
        elif entry.begin_send(self.now, request):
            self.send_counts[request] += 1
            assert request not in self.reported_not_run
            self.run(host, entry.on_ended(self.now, request, Ran.YES, status=200))

    def append(self, host, stream, records, delivery):
        rows = self.log.setdefault(stream, [])
        result = Appended(len(rows), len(records))
        for record in records:
            rows.append(LogRecord(len(rows), self.now, record))
        if delivery == "lose":
            result = LogFailure(True, "answer lost")
        writer = self.writers[host]
        if writer._streams.get(stream) and writer._streams[stream].in_flight:
            self.run(host, writer.on_append(self.now, stream, result))

    def deliver(self, sender, to, message):
        match message:
            case IntentRequest() | OutcomeReport():
                self.run(to, self.writers[to].receive(self.now, sender, message))
            case IntentVerdict():
                self.run(to, self.entries[to].on_verdict(self.now, sender, message))
            case OutcomeStored():
                self.entries[to].on_stored(message)

    @rule(step=st.sampled_from([0.2, 1.0, 4.0]))
    def advance_time(self, step):
        self.now += step
        for host in self.entries:
            self.run(host, self.entries[host].on_tick(self.now))
            self.run(host, self.writers[host].on_tick(self.now))

    @rule(host=st.sampled_from(["r1", "r2", "r3"]))
    def host_restarts(self, host):
        self.pending = [m for m in self.pending if m[0] != host]
        self.restart_host(host)

    @rule(host=st.sampled_from(["r1", "r2", "r3"]))
    def writer_moves(self, host):
        self.writer = host

    @invariant()
    def at_most_once(self):
        assert sum(self.send_counts.values()) <= 1


TestActionMachine = ActionMachine.TestCase
TestActionMachine.settings = settings(max_examples=200, stateful_step_count=50)


def test_records_round_trip_through_json():
    for record in (
        Intent(KEY, "n", "d", "r1:1"),
        Release(KEY, "n"),
        Outcome(KEY, "n", "yes", 200, "text/plain", b"\x00\xff"),
    ):
        assert from_json(to_json(record)) == record
    assert from_json({"t": "outcome", "k": 1}) is None
