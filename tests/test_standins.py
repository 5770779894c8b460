import json
from concurrent.futures import ThreadPoolExecutor
from http.client import (
    HTTPConnection,
    HTTPException,
    IncompleteRead,
    RemoteDisconnected,
)

import pytest

from tests.support import TIMEOUT_S, call, fault_proxy, sse_events, standin, wait_for

CHAT = "/v1/chat/completions"


def executions(engine):
    return engine.call("GET", "/executions").json["executions"]


def states(engine):
    return [execution["state"] for execution in executions(engine)]


def test_log_keeps_an_append_whose_response_is_lost():
    """A lost response does not mean a lost append.

    The append takes effect before the connection is cut, so that a reader finds the
    record: a router must read the log before it retries.
    """
    with standin("log") as log:
        log.fault(lose_answers=1, only="append")
        with pytest.raises(RemoteDisconnected):
            log.call("POST", "/streams/s/records", {"records": [{"n": 1}]})
        page = log.call("GET", "/streams/s/records?from=0").json
        assert [record["record"] for record in page["records"]] == [{"n": 1}]
        again = log.call("POST", "/streams/s/records", {"records": [2, 3]})
        assert again.json == {"first_offset": 1, "count": 2}


def test_engine_streams_the_recorded_text():
    with standin("engine", name="e1", base_pace_s=0.001) as engine:
        body = {"messages": [{"content": "hi"}], "stream": True, "x_tokens": 20}
        res = engine.call("POST", CHAT, body, headers={"X-Request-Id": "q1"})
        *pieces, last, done = sse_events(res.data)
        assert done == "[DONE]"
        assert last["choices"][0]["finish_reason"] == "stop"
        assert [piece["seq"] for piece in [*pieces, last]] == list(range(20))
        texts = (piece["choices"][0]["delta"]["content"] for piece in [*pieces, last])
        (execution,) = executions(engine)
        assert execution["text"] == "".join(texts)
        assert (execution["request_id"], execution["state"]) == ("q1", "done")


def test_service_records_each_call_with_a_repeated_key():
    with standin("service") as service:
        for _ in range(2):
            res = service.call("POST", "/pay", {}, headers={"Idempotency-Key": "k"})
        assert res.json["effect"] == 1
        assert len(service.call("GET", "/effects").json["effects"]) == 2
        assert service.call("GET", "/effects/by-key/k").json["number"] == 0


def test_sigterm_ends_with_status_0():
    with standin("hosts") as hosts:
        assert hosts.stop() == 0
        assert wait_for(lambda: hosts.popen.poll() is not None, "end")


def test_proxy_drops_the_response_after_the_effect():
    """The caller's connection is reset although the service executed the call.

    The proxy forwards the request and resets the connection at the response's first
    byte. The rule applies to one connection; the second one works.
    """
    with standin("service") as service, fault_proxy() as proxy:
        address = proxy.route("service", service.address)
        proxy.rules({"do": "drop_reply", "source": "127.0.0.1", "times": 1})
        with pytest.raises(OSError):
            call(address, "POST", "/pay", {})
        assert call(address, "POST", "/pay", {}).json["effect"] == 1


@pytest.mark.parametrize("action", ["freeze", "half_open"])
def test_proxy_holds_bytes(action):
    """The caller gets no response until its own timeout.

    The bytes of a frozen connection arrive once the rule is removed; those of a
    half-open connection never do, so the service gets no call.
    """
    with standin("service") as service, fault_proxy() as proxy:
        address = proxy.route("service", service.address)
        proxy.rules({"do": action, "route": "service"})
        with pytest.raises(TimeoutError):
            call(address, "POST", "/pay", {}, timeout_s=0.3)
        proxy.rules({"do": "delay", "delay_s": 0.05})
        assert call(address, "POST", "/pay", {}).status == 200
        expected = 2 if action == "freeze" else 1

        def effects():
            return len(service.call("GET", "/effects").json["effects"])

        wait_for(lambda: effects() == expected, "the frozen call's effect")


def test_proxy_cuts_open_connections():
    """An open stream is cut before its last event, and the engine cancels it."""
    with standin("engine", base_pace_s=0.01) as engine, fault_proxy() as proxy:
        address = proxy.route("engine", engine.address)
        conn = HTTPConnection(*address, timeout=TIMEOUT_S)
        body = {"messages": [], "stream": True, "x_tokens": 100_000}
        conn.request("POST", CHAT, json.dumps(body))
        res = conn.getresponse()
        assert res.readline()
        proxy.rules({"do": "cut"})
        with pytest.raises((OSError, HTTPException)):
            res.read()
        conn.close()
        wait_for(lambda: states(engine) == ["cancelled"], "cancelled")


def chat(engine, request_id, headers=(), **body):
    body = {"messages": [{"content": "hi"}], "stream": True, "x_tokens": 20, **body}
    headers = {"X-Request-Id": request_id, **dict(headers)}
    return engine.call("POST", CHAT, body, headers=headers)


def test_engine_resumes_a_cut_stream_without_a_second_execution():
    """The stream is cut after five pieces, without its last event.

    The engine continues for a grace period; a request to resume from piece 5 gets the
    rest of the same execution. A resume with an unknown request id is not executed.
    """
    with standin("engine", base_pace_s=0.001, resumes=True) as engine:
        engine.fault(cut_after=5)
        with pytest.raises(IncompleteRead) as cut:
            chat(engine, "q1")
        first = list(sse_events(cut.value.partial))
        rest = list(sse_events(chat(engine, "q1", {"X-Resume-From": "5"}).data))
        assert [piece["seq"] for piece in [*first, *rest[:-1]]] == list(range(20))
        (execution,) = executions(engine)
        assert execution["resumed_from"] == [5]
        assert chat(engine, "q2", {"X-Resume-From": "5"}).status == 404


@pytest.mark.parametrize(
    ("fault", "seqs"),
    [
        ("duplicate", [0, 0, 1, 1, 2, 2]),
        ("late", [0, 1, 0, 2, 1]),
        ("cross", [0, 0, 1, 1, 2, 2]),
    ],
)
def test_engine_sends_wrong_pieces(fault, seqs):
    """The stream has repeated, late or foreign pieces besides the correct ones."""
    with standin("engine", base_pace_s=0.001) as engine:
        engine.fault(**{fault: True})
        *pieces, done = sse_events(chat(engine, "q1", x_tokens=3).data)
        assert [piece["seq"] for piece in pieces] == seqs
        foreign_pieces = [piece for piece in pieces if piece["id"] != "q1"]
        assert len(foreign_pieces) == (3 if fault == "cross" else 0)


def test_engine_queues_beyond_its_batch_and_cancels():
    with standin("engine", max_batch=1, load_lag_s=0) as engine:
        engine.fault(stall=True)
        conns = []
        for request_id in ("q1", "q2"):
            conn = HTTPConnection(*engine.address, timeout=TIMEOUT_S)
            conn.request("POST", CHAT, '{"messages": []}', {"X-Request-Id": request_id})
            conns.append(conn)
            wait_for(lambda: len(executions(engine)) == len(conns), "execution")
        load = engine.call("GET", "/load").json
        assert (load["running"], load["waiting"]) == (1, 1)
        assert engine.call("POST", "/cancel", {"id": "q1"}).json["cancelled"]
        assert states(engine) == ["cancelled", "running"]
        conns[1].close()
        wait_for(lambda: states(engine) == ["cancelled"] * 2, "cancelled")
        conns[0].close()


def test_engine_publishes_events_of_its_prefix_cache():
    prompt = [{"content": "x" * 600}]
    with standin("engine", event_lag_s=0, event_loss=0, cache_blocks=2) as engine:
        chat(engine, "q1", messages=prompt, x_tokens=1)
        chat(engine, "q2", messages=[{"content": "y" * 300}], x_tokens=1)
        events = engine.call("GET", "/cache-events?from=0").json["events"]
        assert [event["op"] for event in events] == ["stored"] * 3 + ["evicted"]
        assert events[3]["prefix"] == events[0]["prefix"]


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_engine_refuses_a_stale_fencing_token_only_if_it_checks(checks, status):
    """A stale order is refused, but only by an engine that checks fencing tokens."""
    with standin("engine", checks_fencing=checks) as engine:
        for fencing in (7, 7):
            order = {"order": "role", "fencing": fencing}
            assert engine.call("POST", "/orders", order).status == 200
        stale = engine.call("POST", "/orders", {"order": "role", "fencing": 6})
        assert stale.status == status


def test_log_limits_appends_trims_records_and_wakes_readers():
    records = "/streams/s/records"
    with standin("log", appends_per_s=2, keep_records=1) as log:
        with ThreadPoolExecutor(1) as pool:
            read = pool.submit(log.call, "GET", f"{records}?from=0&wait_s=20")
            assert log.call("POST", records, {"records": ["a"]}).status == 200
            assert read.result().json["records"][0]["record"] == "a"
        assert log.call("POST", records, {"records": ["b"]}).status == 200
        refused = log.call("POST", records, {"records": ["c"]})
        assert (refused.status, refused.headers["retry-after"]) == (429, "1")
        trimmed = log.call("GET", f"{records}?from=0")
        assert (trimmed.status, trimmed.json["first_offset"]) == (410, 1)


def test_log_that_goes_down_cuts_long_polls():
    """A long poll is cut at once instead of ending with an empty page."""
    path = "/streams/s/records"
    with standin("log") as log, ThreadPoolExecutor(1) as pool:
        read = pool.submit(log.call, "GET", f"{path}?from=0&wait_s=600")
        wait_for(lambda: log.call("GET", "/stats").json["reads"] == 1, "read")
        log.fault(down=True)
        with pytest.raises(RemoteDisconnected):
            read.result()
        assert log.call("GET", path).status == 503


def test_weight_store_limits_reads():
    with standin("weights", size=100, reads_per_s=0.01) as weights:
        assert len(weights.call("GET", "/weights/m/v1").data) == 100
        assert weights.call("GET", "/weights/m/v1").status == 429


def test_faults_can_be_restricted():
    """Only the second append that contains the text fails; reads still work."""
    with standin("log") as log:
        log.fault(down=True, only="append", contains="outcome", skip=1)
        texts = ["intent", "outcome", "outcome", "intent"]
        path = "/streams/s/records"
        responses = [log.call("POST", path, {"records": [text]}) for text in texts]
        assert [response.status for response in responses] == [200, 200, 503, 200]
        assert log.call("GET", path).json["next_offset"] == 3
        assert log.call("POST", "/fault", {"dwon": 1}).status == 400
