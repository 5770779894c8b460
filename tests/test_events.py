import io
import re
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, socket

from greengageflow.events import Event, EventLog, setup_logging
from greengageflow.metrics import Metric, Metrics
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.metrics_page import PageMetric
from greengageflow.settings import Address

DOCS = Path(__file__).parent.parent / "docs"


def rows(page, columns):
    for line in (DOCS / page).read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| ") and cells[0] not in ("---", "number", "name"):
            assert all(cells[:2]), line
            yield tuple(cells[:columns])


def test_events_page_lists_every_event():
    table = [(event.number, event.value.level, event.name) for event in Event]
    decisions = [(e.number, e.level.name.lower(), e.name) for e in DecisionEvent]
    assert list(rows("EVENTS.md", 3)) == table + decisions
    assert len({number for number, _, _ in table}) == len(table)
    assert all(re.fullmatch(r"GG[1-6]\d\d", number) for number, _, _ in table)
    assert len({number for number, _, _ in decisions}) == len(decisions)
    assert all(re.fullmatch(r"GG7\d\d", number) for number, _, _ in decisions)


def test_events_page_lists_the_fields_of_every_decision():
    listed = {row[0]: row[3] for row in rows("EVENTS.md", 4)}
    for event in DecisionEvent:
        assert listed[event.number] == ", ".join(event.fields)


def test_metrics_page_lists_every_metric():
    table = [(m.value.name, m.value.kind.value, m.value.label) for m in Metric]
    page = [(m.value.name, m.value.kind.value, m.value.label) for m in PageMetric]
    assert list(rows("METRICS.md", 3)) == table + page


def test_event_is_logged_with_invalid_and_missing_fields():
    sink = io.StringIO()
    setup_logging("INFO", sink)
    events = EventLog()
    events.log(Event.MEMBER_DEAD, host="{0} {odd}")
    events.log(Event.MEMBER_DEAD)
    events.log(Event.LOG_BACK, stream="config", seconds="soon")
    text = sink.getvalue()
    assert "GG403 member {0} {odd} is dead" in text
    assert len(text.splitlines()) == 3


def test_repeated_event_is_rate_limited_and_counted():
    """One account floods its full queue. Only the first events of a window are logged,
    and the next window reports how many were suppressed; other events still appear.
    Without the limit, writing a line per refusal would starve the event loop.
    """
    sink = io.StringIO()
    setup_logging("INFO", sink)
    events = EventLog(limit=3)
    for _ in range(10):
        events.log(Event.QUEUE_FULL, account="olive", limit=64)
    events.log(Event.MEMBER_DEAD, host="r2")
    events._roll_window(float("inf"))
    text = sink.getvalue()
    assert text.count("queue of account olive") == 3
    assert "GG403" in text
    assert "GG601 7 more of these left out" in text


def test_metrics_are_sent_under_safe_names_only_if_configured():
    with socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        metrics = Metrics(Address("127.0.0.1", sock.getsockname()[1]), "r1.x")
        metrics.count(Metric.REQUESTS, label="caju/llm:2")
        assert sock.recv(512) == b"greengage.r1_x.requests.caju_llm_2:1|c"
        metrics.timing(Metric.QUEUE_TIME, 0.25)
        assert sock.recv(512) == b"greengage.r1_x.queue_time:250.000000|ms"
        metrics.close()
    metrics.gauge(Metric.WAITING, 3)
    Metrics().count(Metric.REQUESTS)
