import json
import os
import signal
from contextlib import contextmanager, suppress

import pytest

from greengageflow.net import decision_log
from greengageflow.net.decision_events import DecisionEvent as Event
from greengageflow.net.decision_log import DecisionLog


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(decision_log, "clock_gettime", lambda _: Clock.now)
    return Clock


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        with suppress(OSError):
            os.close(fd)


@contextmanager
def fail_if_blocked():
    """Fail the test if a write blocks on the stopped reader."""

    def fail(*_):
        # Not an OSError, since the log handles those as descriptor errors.
        pytest.fail("write blocked on the reader")

    before = signal.signal(signal.SIGALRM, fail)
    signal.alarm(60)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)


def read_lines(read_fd, log):
    text = b""
    while log._pending_bytes:
        log.flush()
        text += os.read(read_fd, 1 << 20)
    return [json.loads(line) for line in text.splitlines()]


def event_names(lines):
    return [line["name"] for line in lines]


def test_stopped_reader_causes_drops_and_never_blocks(pipe, clock):
    """The log collector stops reading. The pipe fills, then the buffer, and lines are
    dropped, routine ones first, without blocking. When the collector reads again, it
    gets complete lines and the number of dropped ones.
    """
    read_fd, write_fd = pipe
    log = DecisionLog(write_fd, "r1", limit_lines_per_s=1e6, buffer_bytes=65536)
    with fail_if_blocked():
        for number in range(3000):
            log.write(Event.FINISHED, request=f"q{number}", status=200)
            log.flush()
        log.write(Event.CUT, request="broken", endpoint="e1")
        log.write(Event.STORE_LOST, why="timeout")
        assert 0 < log.dropped[decision_log.Drop.BUFFER] < 3000
        assert log._pending_bytes < 65536 + 512
        assert os.get_blocking(write_fd)
        clock.now += 2
        lines = read_lines(read_fd, log)
    assert {"CUT", "STORE_LOST"} <= set(event_names(lines))
    reports = [line for line in lines if line["name"] == "LINES_DROPPED"]
    assert sum(line["buffer"] for line in reports) == log.dropped["buffer"]
    assert event_names(lines).count("FINISHED") + log.dropped["buffer"] == 3000


def test_overload_drops_routine_lines_first_and_samples_whole_requests(pipe, clock):
    """1,000 requests per second exceed the budget of 200 lines per second. All failures
    and state changes are kept. After the first second, routine lines are sampled by
    request id, and a sampled id has all of its lines.
    """
    read_fd, write_fd = pipe
    log = DecisionLog(write_fd, "r1", limit_lines_per_s=200, buffer_bytes=1 << 20)
    lines = []
    for second in range(4):
        for number in range(1000):
            clock.now += 0.001
            name = f"{second}-{number}"
            log.write(Event.SENT, request=name)
            log.write(Event.FINISHED, request=name)
            if number % 100 == 0:
                log.write(Event.FAILED, request=name)
                log.write(Event.ENDPOINT_SUSPECT, endpoint="e1")
        lines += read_lines(read_fd, log)
    assert (
        event_names(lines).count("FAILED")
        == event_names(lines).count("ENDPOINT_SUSPECT")
        == 40
    )
    assert len(lines) <= 200 * 5 + 4
    late = [line for line in lines if line.get("request", "").startswith("3-")]
    sent = {line["request"] for line in late if line["name"] == "SENT"}
    assert sent == {line["request"] for line in late if line["name"] == "FINISHED"}
    assert sent
    assert log.dropped["sampled"] > log.dropped["budget"] > 0


def test_invalid_and_long_fields_become_short_strings(pipe):
    read_fd, write_fd = pipe
    log = DecisionLog(write_fd, "r1")
    log.write(Event.STARTED)
    log.write(Event.FAILED, request='a"\n', why=object(), total_ms=float("nan"))
    log.write(Event.FAILED, request="long", why="x" * 100_000)
    log.write(Event.SENT, request="q", queued=None, level=0.5, account="Ελιά")
    plain, invalid, long, sent = read_lines(read_fd, log)
    assert plain["name"] == "STARTED"
    assert (invalid["request"], invalid["total_ms"]) == ('a"\n', "nan")
    assert len(long["why"]) == 200
    assert (sent["queued"], sent["level"], sent["account"]) == (None, 0.5, "Ελιά")
    assert [line["line"] for line in (plain, invalid, long, sent)] == [1, 2, 3, 4]


def test_closed_reader_is_not_an_error(pipe):
    read_fd, write_fd = pipe
    log = DecisionLog(write_fd, "r1")
    os.close(read_fd)
    log.write(Event.STARTED, zone="marousi")
    log.flush()
    assert (log.dropped["sink"], log._pending_bytes) == (1, 0)


def test_regular_file_gets_all_lines(tmp_path):
    with (tmp_path / "log").open("wb") as file:
        log = DecisionLog(file.fileno(), "r1")
        for number in range(150):
            log.write(Event.REFUSED, request=str(number), why="deadline")
        log.flush()
    lines = (tmp_path / "log").read_text().splitlines()
    assert [json.loads(line)["request"] for line in lines] == list(map(str, range(150)))
