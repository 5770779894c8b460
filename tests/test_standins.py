from http.client import RemoteDisconnected

import pytest

from tests.support import sse_events, standin, wait_for

CHAT = "/v1/chat/completions"


def test_log_append_whose_answer_is_lost_is_there_once():
    """The caller sees a cut connection, not an answer.

    The append takes effect first and the connection is cut after, so that a
    reader finds the record: a router must look before it writes again.
    """
    with standin("log") as log:
        log.fault(lose_answers=1, only="append")
        with pytest.raises(RemoteDisconnected):
            log.call("POST", "/streams/s/records", {"records": [{"n": 1}]})
        page = log.call("GET", "/streams/s/records?from=0").json
        assert [one["record"] for one in page["records"]] == [{"n": 1}]
        again = log.call("POST", "/streams/s/records", {"records": [2, 3]})
        assert again.json == {"first_offset": 1, "count": 2}


def test_engine_streams_what_it_records():
    with standin("engine", name="e1", base_pace_s=0.001) as engine:
        body = {"messages": [{"content": "hi"}], "stream": True, "x_tokens": 20}
        res = engine.call("POST", CHAT, body, headers={"X-Request-Id": "q1"})
        *pieces, last, done = sse_events(res.data)
        assert done == "[DONE]"
        assert last["choices"][0]["finish_reason"] == "stop"
        assert [one["seq"] for one in [*pieces, last]] == list(range(20))
        texts = (one["choices"][0]["delta"]["content"] for one in [*pieces, last])
        (execution,) = engine.call("GET", "/executions").json["executions"]
        assert execution["text"] == "".join(texts)
        assert (execution["request_id"], execution["state"]) == ("q1", "done")


def test_service_records_every_effect_even_of_one_key():
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
