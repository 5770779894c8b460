"""Callers of the own interface that disconnect while their request is queued."""

import json
from socket import create_connection

from greengageflow.lab.lab import Lab, LabPlan, account_api_key
from tests.fleet_support import executions, wait_served
from tests.support import wait_for

PLAN = LabPlan(
    routers=1, engines=1, slots=1, engine_options={"base_pace_s": 0.05, "resumes": 0}
)


def ask(lab, tokens):
    message = {"role": "user", "content": "a long answer"}
    doc = {"model": "scribe", "stream": True, "messages": [message]}
    body = json.dumps({**doc, "x_tokens": tokens}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r1\r\n"
        f"Authorization: Bearer {account_api_key('acme')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    sock = create_connection(lab.routers["r1"].address)
    sock.sendall(head.encode() + body)
    return sock


def test_queued_request_of_a_disconnected_caller_is_removed():
    """The request stayed queued, was granted a slot and ran without a caller."""
    with Lab(PLAN) as lab:
        wait_served(lab, "acme")
        before = len(executions(lab))
        first = ask(lab, 4000)
        wait_for(lambda: len(executions(lab)) == before + 1, "the first one runs")
        second = ask(lab, 3)
        wait_for(lambda: lab.status("r1")["waiting"] == 1, "the second one waits")
        second.close()
        wait_for(lambda: lab.status("r1")["waiting"] == 0, "it is removed")
        first.close()
        wait_for(lambda: lab.status("r1")["running"] == 0, "the slot is free")
        assert len(executions(lab)) == before + 1
