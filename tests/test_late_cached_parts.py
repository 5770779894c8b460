"""Engines that state their start with their cached parts only, and late."""

import json
from time import sleep

from greengageflow.lab.platform_lab import (
    KEY,
    PlatformLab,
    PlatformShape,
    configuration,
    generation,
    route,
)
from greengageflow.lab.scripted_endpoint import (
    EVENTS,
    Framing,
    Run,
    Script,
    ScriptedEndpoint,
    event,
)
from greengageflow.platform.names import KV_LIST, REPORT_PATH, SERVERS_TOPIC, STREAM
from tests.support import wait_for

LATE_S = 1.3
PROMPT = generation(EVENTS, ("shared", 50))


class LateEngine(ScriptedEndpoint):
    """An engine whose reports lack its start time, and whose cached parts are late."""

    is_late = False

    def _answer(self, conn, path, headers, body):
        if path == REPORT_PATH:
            data = json.dumps({"runs": []}).encode()
            head = f"HTTP/1.1 200 -\r\nContent-Length: {len(data)}\r\n\r\n"
            conn.sendall(head.encode() + data)
            return True
        if path == KV_LIST and self.is_late:
            sleep(LATE_S)
        return super()._answer(conn, path, headers, body)


def test_streams_begin_though_cached_parts_are_listed_late():
    """Streams were refused, though a new one needs no proven start."""
    with PlatformLab(PlatformShape(plain=0)) as lab:
        engine = {"slots": 4, "kv_capacity": 100_000}
        service = {"health_path": "/health", "max_conns": 200, "engine": engine}
        chat = route("chat", "/stream/", "svc", STREAM, resumable=True)
        services = [{"name": "svc", **service}]
        lab.publish(configuration(version=2, services=services, routes=[chat]))
        script = Script()
        endpoint = LateEngine("e", "svc", script, lambda _endpoint: None)
        lab.append_raw(SERVERS_TOPIC, (endpoint.name.encode(), endpoint.entry))

        def answer(subject):
            script.set(subject, [Run(Framing.CHUNKS)])
            body = subject.encode()
            return lab.ask("/stream/", body=body, key=KEY, headers=PROMPT)

        wait_for(lambda: answer("warm").status == 200, "the engine is listed")
        # Connections that were verified are not verified again.
        endpoint.stop()
        endpoint._listener = endpoint._listen(endpoint.port)
        endpoint.is_late = True
        endpoint._serve()
        found = answer("late")
        endpoint.stop()
    numbers = range(1, EVENTS + 1)
    whole = b"".join(event("late", number, "v0") for number in numbers)
    assert (found.status, found.body) == (200, whole)
