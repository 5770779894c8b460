"""A ``CallerServer`` on an event loop in a thread, and raw requests for it."""

import json
from contextlib import closing

from http_fakes import Caller, Loop, wait_for

from greengageflow.errors import ErrorKind, RouterError
from greengageflow.net.callers import CallerServer, Limits, ServiceCall

LIMITS = Limits(body_bytes=1000, header_bytes=2000, header_s=30, linger_s=0.5)
CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


class Handler:
    """Records calls; answers service calls with an echo of the request."""

    def __init__(self):
        self.calls = []
        self.disconnected = []
        self.error = None

    def on_call(self, call):
        self.calls.append(call)
        match call:
            case ServiceCall(path="boom"):
                raise ZeroDivisionError
            case ServiceCall(path="refuse"):
                raise RouterError(ErrorKind.QUEUE_FULL, "full", retry_after_s=1.2)
            case ServiceCall():
                text = f"{call.method} {call.target} ".encode() + call.body
                call.reply.raw(200, (("X-Name", "\xe9"),), text)

    def on_caller_disconnect(self, call):
        self.disconnected.append(call)

    def readiness_error(self):
        return self.error


class Server:
    def __init__(self, limits=LIMITS, **options):
        self.loop = Loop()
        self.handler = Handler()
        self.callers = CallerServer(
            "127.0.0.1", 0, self.handler, self.loop.timers, limits=limits, **options
        ).register(self.loop.app)
        self.loop.thread.start()

    def caller(self):
        return Caller(self.callers.address)

    def request(self, data):
        """Send ``data`` and return everything received until the connection closes."""
        with closing(self.caller().sock) as sock:
            sock.sendall(data)
            answer = b""
            while part := sock.recv(65536):
                answer += part
        return answer

    def close(self):
        self.loop.close()


GET = b"GET /services/a/b HTTP/1.1\r\nHost: x\r\n"
POST = b"POST /services/a/b HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def post(path, body=b"", *headers, method="POST"):
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body


def chat(*headers, **fields):
    return post("/v1/chat/completions", CHAT | fields, *headers)


def closing_headers(*headers):
    return ("Connection: close", *headers)


def error_body(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])["error"]


def start_stream(server):
    caller = server.caller()
    caller.send(chat(stream=True))
    call = wait_for(lambda: server.handler.calls)[0]
    server.loop.call(call.reply.start_stream)
    server.loop.call(lambda: call.reply.send_chunk(b"data: 1\n\n"))
    assert b"text/event-stream" in caller.until(b"data: 1\n\n\r\n")
    return caller, call.reply
