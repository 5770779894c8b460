"""The platform fakes follow its protocol, and their faults take effect."""

import json
from base64 import b64decode
from hashlib import sha256
from struct import unpack_from

import pytest

from greengageflow.lab._platform_batch import Batch, Job
from greengageflow.lab._platform_log import frame, frames, keyed_record
from greengageflow.lab.platform_client import IncompleteResponse
from greengageflow.lab.platform_lab import (
    CHAT,
    PlatformLab,
    configuration,
    fakes_only,
    generation,
)
from greengageflow.net.blocking_http import BlockingConnection
from greengageflow.platform.names import (
    DRAINING,
    EXPECT_REPLICA,
    KV_FETCH,
    KV_LIST,
    LAST_EVENT_ID,
    LOG_APPEND,
    LOG_NEWEST,
    LOG_READ,
    NOT_EXECUTED,
    OPERATOR_TOPIC,
    REPLICA_ID,
    REQUEST_ID,
    RESPONSE_SEAL,
    SERVERS_TOPIC,
    STATUS_TOPIC,
)
from tests.support import wait_for


@pytest.fixture(scope="module")
def lab():
    options = {"slots": 2, "queue": 1, "work_ms": 1}
    with PlatformLab(fakes_only(plain=1, engines=2, plain_options=options)) as lab:
        yield lab


@pytest.fixture(autouse=True)
def clear_faults(lab):
    yield
    lab.set_store_faults()
    for name in lab.replicas:
        lab.set_faults(name)


def log_call(lab, method, path, body=None, *, source="127.0.0.1", timeout_s=20):
    host, port = lab.store.address
    conn = BlockingConnection(host, port, timeout=timeout_s, source_address=(source, 0))
    conn.request(method, path, body)
    answer = conn.getresponse()
    return answer.status, answer.read()


def append(lab, topic, *records, more="", **options):
    path = f"{LOG_APPEND}?topic={topic}&part=0{more}"
    status, body = log_call(lab, "POST", path, b"".join(map(frame, records)), **options)
    return status, json.loads(body)


def read(lab, topic, start, wait_ms=0):
    path = f"{LOG_READ}?topic={topic}&part=0&from={start}&wait_ms={wait_ms}"
    status, body = log_call(lab, "GET", path)
    return (status, *unpack_from(">QQ", body), list(frames(body[16:])))


def test_store_appends_on_condition_and_fences(lab):
    assert append(lab, "t", b"a", b"bc") == (200, {"offset": 0, "end": 2})
    assert append(lab, "t", b"x", more="&at=1") == (412, {"end": 2})
    assert append(lab, "t", b"d", more="&at=2")[0] == 200
    assert read(lab, "t", 1) == (200, 3, 0, [b"bc", b"d"])
    assert read(lab, "t", 3, wait_ms=1) == (200, 3, 0, [])
    fence = "&producer=p&epoch={}&sequence={}"
    assert append(lab, "t", b"e", more=fence.format(2, 7))[0] == 200
    assert append(lab, "t", b"e", more=fence.format(2, 7))[1] == {"offset": 3, "end": 4}
    assert append(lab, "t", b"f", more=fence.format(2, 9))[1]["sequence"] == 8
    assert append(lab, "t", b"g", more=fence.format(1, 8))[1]["reason"] == "fenced"
    assert append(lab, OPERATOR_TOPIC, b"\1kv")[0] == 403


def test_store_retains_newest_values_after_compaction(lab):
    first, second = keyed_record("a", b"1"), keyed_record("b", b"2")
    append(lab, STATUS_TOPIC, first, second, keyed_record("a", b""))
    lab.compact(STATUS_TOPIC)
    path = f"{LOG_NEWEST}?topic={STATUS_TOPIC}&part=0"
    page = json.loads(log_call(lab, "GET", path)[1])
    values = {item["key"]: b64decode(item["value"]) for item in page["items"]}
    assert values == {"b": b"2"} and page["end"] == 3
    status, body = log_call(
        lab, "GET", f"{LOG_READ}?topic={STATUS_TOPIC}&part=0&from=0"
    )
    assert (status, json.loads(body)) == (410, {"first": 3})


def test_store_faults_lose_refuse_and_reset_calls(lab):
    lab.set_store_faults(lost=True, ips=["127.0.0.9"])
    with pytest.raises(TimeoutError):
        append(lab, "lost", b"a", source="127.0.0.9", timeout_s=0.5)
    assert read(lab, "lost", 0) == (200, 1, 0, [b"a"])
    lab.set_store_faults(down=True)
    with pytest.raises(TimeoutError):
        append(lab, "lost", b"b", timeout_s=0.5)
    lab.set_store_faults(status=429)
    assert append(lab, "lost", b"c")[0] == 429
    lab.set_store_faults(reset=True)
    with pytest.raises(ConnectionError):
        append(lab, "lost", b"d")
    lab.set_store_faults()
    assert read(lab, "lost", 0)[3] == [b"a"]


def test_replicas_register_drain_and_expire(lab):
    wait_for(
        lambda: len(lab.newest_values(SERVERS_TOPIC)) == 3, "three replicas are listed"
    )
    assert lab.newest_values(OPERATOR_TOPIC)["config"] == configuration()
    extra = lab.add_replica("app-x", service="app", heartbeat_ms=100)
    wait_for(
        lambda: "app-x" in lab.newest_values(SERVERS_TOPIC), "the new replica is listed"
    )
    lab.set_state("app-x", DRAINING)
    wait_for(
        lambda: lab.newest_values(SERVERS_TOPIC)["app-x"]["state"] == DRAINING,
        "its entry says draining",
    )
    extra.kill()
    del lab.replicas["app-x"]
    wait_for(
        lambda: "app-x" not in lab.newest_values(SERVERS_TOPIC), "the entry expires"
    )


def test_replica_answers_and_refuses(lab):
    client = lab.replica_client("app-0")
    answer = client.ask("/safe/x?q=1", b"body")
    assert answer.status == 200 and answer.headers[REQUEST_ID] == answer.id
    assert answer.headers[RESPONSE_SEAL]
    (run,) = lab.runs(answer.id)
    assert (run["outcome"], run["target"]) == ("done", "/safe/x?q=1")
    assert run["body_sha256"] == sha256(b"body").hexdigest()
    other = client.ask("/safe/x", headers={EXPECT_REPLICA: "i-other"})
    assert other.status == 421 and other.headers[REPLICA_ID] == "app-0"
    assert NOT_EXECUTED in other.headers and not lab.started_runs(other.id)
    assert client.ask("/health", method="GET").headers[REPLICA_ID] == "app-0"


def test_full_replica_refuses_requests_and_cancels_abandoned_ones(lab):
    lab.set_faults("app-0", hang=True)
    clients = [lab.replica_client("app-0") for _ in range(3)]
    names = [client.send("/safe/") for client in clients]
    wait_for(lambda: all(lab.runs(name) for name in names), "all requests arrive")
    refused = lab.replica_client("app-0").ask("/safe/")
    assert refused.status == 503 and NOT_EXECUTED in refused.headers
    clients[0].close()
    wait_for(lambda: lab.runs(names[0])[0]["cancelled"], "the closed one is cancelled")
    wait_for(lambda: lab.started_runs(names[2]), "the queued one starts")
    clients[1].close(reset=True)
    clients[2].close()
    wait_for(
        lambda: all(lab.runs(name)[0]["cancelled"] for name in names),
        "all are cancelled",
    )


@pytest.mark.parametrize(
    "fault",
    [
        {"lose": "close"},
        {"lose": "reset"},
        {"cut_after": 0},
        {"spoil": True},
        {"unframed": "reset"},
    ],
)
def test_replica_executes_the_request_and_corrupts_the_response(lab, fault):
    lab.set_faults("app-0", times=1, **fault)
    client = lab.replica_client("app-0")
    name = client.send("/safe/")
    with pytest.raises(IncompleteResponse):
        client.answer()
    assert [run["outcome"] for run in lab.runs(name)] == ["done"]
    assert lab.replica_client("app-0").ask("/safe/").status == 200


def test_replica_faults_unframed_grey_extra_and_refuse(lab):
    lab.set_faults("app-0", unframed="close")
    answer = lab.replica_client("app-0").ask("/safe/")
    assert json.loads(answer.body)["id"] == answer.id
    lab.set_faults("app-0", grey=1)
    assert lab.replica_client("app-0").ask("/safe/").status == 500
    lab.set_faults("app-0", extra="late", extra_s=0.01)
    client = lab.replica_client("app-0")
    client.ask("/safe/")
    wait_for(lambda: not client.silent(), "a foreign response arrives")
    lab.set_faults("app-0", refuse=True)
    with pytest.raises(ConnectionRefusedError):
        lab.replica_client("app-0")
    lab.set_faults("app-0")
    assert lab.replica_client("app-0").ask("/safe/").status == 200


def test_replica_responds_before_a_long_body_is_read(lab):
    lab.set_faults("app-0", early=True)
    body, client = bytes(100_000), lab.replica_client("app-0")
    head = f"POST /safe/ HTTP/1.1\r\nHost: a\r\n{REQUEST_ID}: early\r\n"
    client.sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
    assert b" 200 " in client.sock.recv(65_536)
    client.sock.sendall(body)
    assert client.ask("/safe/").status == 200
    assert lab.runs("early")[0]["body_sha256"] == sha256(body).hexdigest()


def test_replica_overrides_its_health_and_resets_idle_connections(lab):
    client = lab.replica_client("app-0")
    assert client.ask("/health", method="GET").status == 200
    lab.set_faults("app-0", health=503, hang=True, via="/r1/")
    assert client.ask("/health", method="GET").status == 503
    assert client.ask("/safe/r0/x").status == 200
    pending = lab.replica_client("app-0")
    name = pending.send("/safe/r1/x")
    wait_for(lambda: lab.started_runs(name), "the request starts")
    lab.control(lab.replicas["app-0"], "POST", "/drop")
    name = client.send("/unsafe/r0/x")
    with pytest.raises(IncompleteResponse):
        client.answer()
    assert not lab.runs(name)
    assert (
        pending.silent() and lab.replica_client("app-0").ask("/safe/r0/x").status == 200
    )


def test_engine_streams_resumes_and_cuts(lab):
    headers = generation(20, ("aa", 500), ("bb", 300))
    client = lab.replica_client("scribe-0")
    client.send("/chat/", headers=headers)
    client.head()
    assert [event.id for event in client.events()] == list(range(1, 11))
    client.send("/chat/", headers={**headers, LAST_EVENT_ID: 7})
    client.head()
    assert [event.id for event in client.events()] == [8, 9, 10]
    lab.set_faults("scribe-0", cut_after=3)
    client.send("/chat/", headers=headers)
    client.head()
    received = []
    with pytest.raises(IncompleteResponse):
        received.extend(event.id for event in client.events())
    assert lab.started_runs(client._id)[0]["outcome"] == "cut"


def test_engine_cancels_a_stream_at_its_deadline_and_on_disconnect(lab):
    headers = generation(50_000, ("cc", 100))
    client = lab.replica_client("scribe-1")
    name = client.send("/chat/", headers=headers, deadline_ms=200)
    assert client.head().status == 200
    with pytest.raises(IncompleteResponse):
        list(client.events())
    assert lab.runs(name)[0]["outcome"] == "deadline"
    client = lab.replica_client("scribe-1")
    name = client.send("/chat/", headers=headers)
    assert client.head().status == 200
    client.close()
    wait_for(lambda: lab.runs(name)[0]["cancelled"], "the stream is cancelled")


def test_batch_prefills_shared_parts_once_and_evicts_the_oldest():
    batch = Batch(0.01, 0.5, chunk=100, capacity=1000)
    first = Job.from_headers(generation(1, ("aa", 300), ("bb", 100)), 2)
    batch.add(first)
    assert [len(list(batch.step())) for _ in range(4)] == [0, 0, 0, 1]
    batch.discard(first)
    second = Job.from_headers(generation(1, ("aa", 300), ("cc", 100)), 2)
    batch.add(second)
    assert second.to_prefill == 100
    list(batch.step())
    batch.discard(second)
    for number in range(3):
        batch.cache.store("m", iter([(f"d{number}", 300)]), 0)
    assert [name for _, name, _ in batch.cache.rows] == ["cc", "d0", "d1", "d2"]


def test_engine_fetches_cached_parts_from_another_engine(lab):
    headers = generation(2, ("ab", 400), ("ba", 200))
    holder = lab.replicas["scribe-0"]
    lab.replica_client("scribe-0").ask("/chat/", headers=headers)
    address = "{}:{}".format(*holder.address)
    lab.replica_client("scribe-1").ask("/chat/", headers={**headers, KV_FETCH: address})
    body = lab.replica_client("scribe-1").ask(KV_LIST, method="GET").body
    assert {"ab", "ba"} <= {name for _, name, _, _ in json.loads(body)["held"]}


def test_engine_steps_continue_when_clients_reset_their_streams():
    """Clients reset their streams while the engine sends.

    A write to a socket that circuits had closed, but whose disconnect event was still
    pending, ended the engine's step loop, and every later stream hung.
    """
    shape = fakes_only(plain=0, engines=1, engine_options={"slots": 40, "step_ms": 1})
    with PlatformLab(shape) as lab:
        for _ in range(12):
            clients = [lab.replica_client("scribe-0") for _ in range(20)]
            for client in clients:
                client.send(CHAT, headers=generation(5000, ("a1", 50)))
            for client in clients:
                client.head()
                next(client.events())
                client.close(reset=True)
        client = lab.replica_client("scribe-0")
        client.send(CHAT, headers=generation(9, ("a1", 50)))
        client.head()
        assert [event.id for event in client.events()] == [1, 2, 3, 4, 5]
        assert "Traceback" not in lab.replicas["scribe-0"].stderr
