"""Log lines of accounts whose requests are rejected."""

from math import inf
from types import SimpleNamespace

from greengageflow.daemon.refused_accounts import MAX_ACCOUNTS, RefusedAccounts


def make_counts(limit=inf):
    lines, calls = [], []
    timers = SimpleNamespace(now=9.0, after=lambda _delay_s, call: calls.append(call))
    log = SimpleNamespace(write=lambda _event, **fields: lines.append(fields))
    dispatcher = SimpleNamespace(
        recent_usage=lambda _service, _account: 700.4,
        usage_limit=lambda _service, _account: limit,
    )
    counts = RefusedAccounts(timers, log, dispatcher)
    counts.totals_at = 8.9
    return counts, lines, calls


def test_line_tells_what_an_account_got_and_who_rejected_it():
    counts, lines, calls = make_counts(limit=400.0)
    for _ in range(3):
        counts.on_sent("a", 100.0)
        counts.on_unread("a")
    for _ in range(8):
        counts.on_rejected("a", "model")
    counts.on_rejected("b", "model")
    [write] = calls
    write()
    assert lines == [
        {
            "account": "a",
            "sent": 3,
            "work": 300,
            "rejected": 8,
            "unread": 3,
            "level": 700,
            "limit": 400,
            "report_age_ms": 100,
        }
    ]


def test_lines_are_bounded():
    counts, lines, calls = make_counts()
    for number in range(50):
        for _ in range(10 + number):
            counts.on_unread(f"a{number}")
    calls[0]()
    assert [line["account"] for line in lines] == ["a49", "a48", "a47", "a46"]
    assert len(lines) == MAX_ACCOUNTS and {line["limit"] for line in lines} == {-1}
    counts.on_rejected("a1", "model")
    calls[1]()
    assert len(lines) == MAX_ACCOUNTS
