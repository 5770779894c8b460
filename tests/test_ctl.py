import json
import sys
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import pytest

from greengageflow.core.decisions import Accepted
from greengageflow.ops import ctl
from greengageflow.ops._platform_http import BlockingLog, CallError
from greengageflow.ops.ctl_publish import Publisher, PublishError
from greengageflow.settings import Address, example_settings, parse_settings
from tests.support import standin

STREAM = "/streams/config/records"
ENDPOINT = {"name": "e1", "pool": "scribe", "host": "127.0.0.1", "port": 80}
CONFIG = {
    "accounts": [{"name": "olive", "weight": 2}],
    "pools": [{"name": "scribe", "kind": "model"}],
    "endpoints": [ENDPOINT],
}


@contextmanager
def router(**status):
    """Serve ``status`` as the ``/status`` response of a router."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.end_headers()
            self.wfile.write(json.dumps(status).encode())

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        server.server_close()


@pytest.fixture
def log(monkeypatch):
    with standin("log") as process:
        monkeypatch.setenv("GREENGAGE_LOG", "{}:{}".format(*process.address))
        yield process


@pytest.fixture
def run(monkeypatch, capsys):
    def call(*args):
        monkeypatch.setattr(sys, "argv", ["greengage-ctl", *map(str, args)])
        with pytest.raises(SystemExit) as exit_:
            ctl.main()
        out, err = capsys.readouterr()
        return exit_.value.code, out + err

    return call


@pytest.fixture
def file(tmp_path):
    def write(document, name="fleet.json"):
        path = tmp_path / name
        path.write_text(document if type(document) is str else json.dumps(document))
        return path

    return write


def records(log):
    return [item["record"] for item in log.call("GET", STREAM).json["records"]]


def test_publish_reports_routers_that_applied_the_revision(log, run, file):
    path = file({"schema": 1, "config": CONFIG})
    with (
        router(config={"revision": 1}) as new,
        router(config={"revision": 0}) as old,
    ):
        code, text = run("publish", path, f"--routers={new}")
        assert (code, "accepted as revision 1" in text) == (0, True)
        assert "in force on 1 of 1" in text
        code, text = run(
            "publish", path, f"--routers={new},{old},127.0.0.1:1", "--within_s=0"
        )
    assert code == 1
    assert f"not on {old}: revision 0" in text
    assert "not on 127.0.0.1:1: " in text


def test_lost_publish_race_is_reported(log, run, file):
    """Two operators replace revision 0. The first is accepted; the second gets exit
    status 1 and the revision it lost to. The history lists both records.
    """
    document = {"schema": 1, "replaces": 0, "config": CONFIG}
    assert run("publish", file(document))[0] == 0
    code, text = run("publish", file(document))
    assert code == 1
    assert "lost: replaces revision 0, but 1 is in force" in text
    code, text = run("history")
    assert code == 0
    assert "accepted as revision 1" in text
    assert "rejected, lost" in text


def test_append_with_lost_response_is_found_by_its_nonce(log, run, file):
    """The log appends the record, but its response is lost. The publisher finds the
    record by its nonce instead of appending a duplicate, and reports it as accepted.
    """
    log.fault(lose_answers=1, only="append")
    code, text = run("publish", file({"schema": 1, "config": CONFIG}))
    assert (code, "accepted as revision 1" in text) == (0, True)
    assert len(records(log)) == 1
    log.fault(lose_answers=1)
    assert run("history")[0] == 0


def test_delayed_append_is_counted_once(log):
    """The first append takes effect only when the retry arrives, so the log contains
    two copies. The first is accepted, the second lost; the first one is reported.
    """

    class DelayedLog(BlockingLog):
        appends = 0

        def append(self, values):
            self.appends += 1
            if self.appends == 1:
                self.delayed = values
                raise CallError("no answer", effect_unknown=True)
            super().append(self.delayed)
            return super().append(values)

    publisher = Publisher(DelayedLog(Address(*log.address)))
    decision = publisher.publish({"schema": 1, "replaces": 0, "config": CONFIG})
    assert decision.outcome == Accepted(1)
    assert decision.offset == 0
    assert len(records(log)) == 2


def test_an_outage_of_the_log_is_reported(log):
    log.fault(down=True)
    publisher = Publisher(BlockingLog(Address(*log.address)), retry_timeout_s=0.1)
    with pytest.raises(
        PublishError, match="log unavailable .* 503.*may still be appended"
    ):
        publisher.publish({"schema": 1, "replaces": 0, "config": CONFIG})


def test_drain_and_undrain_change_one_endpoint(log, run, file):
    run("publish", file({"schema": 1, "config": CONFIG}))
    assert run("drain", "e1")[0] == 0
    assert records(log)[-1]["config"]["endpoints"][0]["leaving"] is True
    assert run("undrain", "e1")[0] == 0
    assert records(log)[-1]["config"]["endpoints"][0] == {
        **ENDPOINT,
        "slots": 4,
        "generation": 2,
        "leaving": False,
    }
    assert run("drain", "e9") == (2, "no endpoint e9; known: e1\n")
    code, text = run("show")
    assert (code, json.loads(text)["config"]) == (0, records(log)[-1]["config"])
    code, text = run("diff", file({"schema": 1, "config": {}}))
    assert (code, text.splitlines()) == (
        0,
        ["- account olive", "- pool scribe", "- endpoint e1"],
    )


def test_a_schema_is_allowed_only_when_all_routers_understand_it(log, run, file):
    """One router runs an old release, or a member is missing in ``--routers``. With
    schema 2 allowed, such a router would halt at the first record of that schema and
    keep an outdated configuration. So nothing is published until all support it.
    """
    new = {"host": "r1", "config": {"schemas": [1, 2], "revision": 1}}
    old = {"host": "r2", "config": {"schemas": [1], "revision": 1}}
    document = file({"schema": 2, "config": {}})
    assert "allow-schema 2" in run("publish", document)[1]
    with (
        router(**new, members=["r1", "r2"]) as first,
        router(**old) as second,
        router(**new) as alone,
    ):
        code, text = run("allow-schema", 2, f"--routers={first},{second}")
        assert (code, "r2 supports only schemas [1]" in text) == (1, True)
        code, text = run("allow-schema", 2, f"--routers={first}")
        assert (code, "r2: a member" in text) == (1, True)
        assert run("allow-schema", 2, f"--routers={alone},127.0.0.1:1")[0] == 1
        assert records(log) == []
        assert run("allow-schema", 2, f"--routers={alone}")[0] == 0
    assert run("publish", document)[0] == 0


def test_a_fleet_that_lost_its_records_is_restored_from_a_file(run, file, monkeypatch):
    """All routers and the log lost the configuration in force. ``publish`` is refused,
    since its record cannot be decided; ``restore`` works instead. While one router
    still has the configuration, ``restore`` is refused, since it would revert it.
    """
    document = file({"schema": 1, "config": CONFIG})
    with standin("log", keep_records=1) as log:
        monkeypatch.setenv("GREENGAGE_LOG", "{}:{}".format(*log.address))
        for _ in range(3):
            log.call("POST", STREAM, {"records": [{}]})
        code, text = run("publish", document)
        assert (code, "greengage-ctl restore" in text) == (1, True)
        with (
            router(config={"revision": 3, "complete": True}) as whole,
            router(config={"revision": 3, "complete": False}) as empty,
        ):
            code, text = run("restore", document, f"--routers={empty},{whole}")
            assert (code, "knows the configuration in force" in text) == (1, True)
            assert run("restore", document, f"--routers={empty}")[0] == 0
        assert run("publish", document)[0] == 0
        last = log.call("GET", f"{STREAM}?from=4").json["records"][0]
        assert last["record"]["replaces"] == 3


def test_bad_input_is_reported_without_a_traceback(run, file, monkeypatch):
    monkeypatch.setenv("GREENGAGE_LOG", "127.0.0.1:1")
    good = file({"schema": 1, "config": {}}, "good.json")
    broken = file('{"schema": 1,', "broken.json")
    twice = file('{"schema": 1, "schema": 2, "config": {}}', "twice.json")
    wrong = file({"schema": 1, "config": {"pools": 3, "routes": 4}}, "wrong.json")
    cases = [
        (2, "No such file", "validate", "/nowhere/x.json"),
        (2, "expected JSON", "validate", broken),
        (2, "schema: expected each name once", "publish", twice),
        (2, "pools: expected a list, found 3", "validate", wrong),
        (2, "routes: unknown field", "validate", wrong),
        (2, "expected IP:PORT", "diff", good, "--log=localhost:80"),
        (2, "--routers", "status"),
        (2, "--last", "history", "--last=x"),
        (2, "--within_s", "publish", good, "--within_s=soon"),
        (2, "--typo", "publish", good, "--typo=1"),
        (2, "junk", "publish", good, "junk"),
        (2, "a schema", "allow-schema", "two", "--routers=127.0.0.1:1"),
        (2, "no span", "trace", "abc", f"--file={good}"),
        (1, "refused", "publish", good),
        (1, "refused", "history"),
        (1, "unreachable", "status", "--routers=127.0.0.1:1"),
        (1, "did not answer", "explain", "007", "--routers=127.0.0.1:1"),
    ]
    for expected, words, *args in cases:
        code, text = run(*args)
        assert (code, words in text) == (expected, True), (args, text)
        assert "Traceback" not in text


def test_status_and_explain_report_router_statuses(run):
    same = {"revision": 4, "log": "up", "complete": True}
    first = {"host": "r1", "zone": "z1", "state": "running", "config": same}
    with (
        router(**first, request={"state": "waiting"}) as r1,
        router(**{**first, "host": "r2"}) as r2,
        router(host="r3", config={"revision": 3, "halted": "too old"}) as r3,
    ):
        assert run("status", f"--routers={r1},{r2}")[0] == 0
        code, text = run("status", f"--routers={r1},{r3}")
        assert (code, "too old" in text) == (1, True)
        code, text = run("explain", "007", f"--routers={r1},{r2}")
        assert (code, text) == (0, f"{r1} state: waiting\n")
        assert run("explain", "007", f"--routers={r2}")[0] == 1


def test_trace_prints_a_tree_by_trace_or_request(run, file):
    def span(name, number, parent, start, **attributes):
        times = {"start_ns": start * 10**6, "end_ns": 9 * 10**6}
        ids = {"trace": "t1", "span": number, "parent": parent}
        return {"name": name, "host": "r1", "attributes": attributes, **ids, **times}

    spans = [
        span("endpoint", "c", "b", 4),
        span("request", "a", "caller", 1, request="77"),
        span("queue", "b", "a", 2),
    ]
    lines = "\n".join([*map(json.dumps, spans), '{"trace": "t1", "sp', "[]"])
    path = file(lines, "spans.jsonl")
    for identity in ("t1", "77"):
        code, text = run("trace", identity, f"--file={path}")
        assert code == 0
        assert [line.split()[:4] for line in text.splitlines()[1:]] == [
            ["0.00", "8.00", "r1", "request"],
            ["1.00", "7.00", "r1", "queue"],
            ["3.00", "5.00", "r1", "endpoint"],
        ]


def test_settings_check_reports_every_fault_at_once(run, file):
    good = json.loads(example_settings())
    assert parse_settings(good | {"statsd": None}).peer_ip == "127.0.0.1"
    bad = {
        **good,
        "ip": "localhost",
        "peer_ip": "0.0.0.0",
        "caller_port": True,
        "zon": "z1",
        "seeds": [good["seeds"][0], good["seeds"][0]],
        "timing": {"log_wait_s": "1"},
    }
    del bad["zone"]
    code, text = run("settings", "check", file(bad, "r1.json"))
    assert code == 2
    paths = [line.split(": ")[1] for line in text.splitlines()]
    assert sorted(paths) == [
        "caller_port",
        "ip",
        "seeds[1].host",
        "timing.log_wait_s",
        "zon",
        "zone",
    ]
    code, text = run("settings", "check", file({**good, "peer_ip": "0.0.0.0"}))
    assert (code, "peer_advertise" in text) == (2, True)
    code, text = run("settings", "example")
    assert run("settings", "check", file(text))[0] == 0
