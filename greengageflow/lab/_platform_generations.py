"""Generations of the fake model engine: prefix transfer, steps and streams."""

import json
from typing import Protocol

from greengageflow.lab._platform_batch import Batch, Job
from greengageflow.lab._platform_faults import ReplicaFaults, Work
from greengageflow.lab.platform_http import (
    Call,
    ServerConnection,
    head_bytes,
    response_bytes,
)
from greengageflow.net.http_messages import Failure, HttpRequest, Response
from greengageflow.net.http_pool import HttpPool
from greengageflow.net.timers import Timers
from greengageflow.platform.names import KV_FETCH, KV_LIST

CHUNKED, CLOSE = "chunked", "close"


class Replica(Protocol):
    """Interface of the replica that generations use."""

    def headers(self, work: Work) -> dict[str, str]:
        """Return the headers of the response to a request."""

    def before_first_event(self, work: Work) -> None:
        """Do what is due when a response begins."""

    def after_event(self, work: Work) -> None:
        """Do what is due after an event that is not the last one."""

    def after_close(self, work: Work) -> None:
        """Do what is due after a stream was closed before its last event."""

    def end(self, work: Work, outcome: str) -> None:
        """End a request with an outcome."""

    def finish(self, call: Call, data: bytes) -> None:
        """Send the last bytes of a response."""

    def after_response(self, conn: ServerConnection, faults: ReplicaFaults) -> None:
        """Do what is due after a complete response."""


class Generations:
    """Runs the generations of one replica step by step.

    Args:
        timers: Timer service.
        pool: Connection pool for transfers from other replicas.
        batch: Batch and prefix cache of the engine.
        replica: Replica that the generations belong to.
        stride: Tokens per stream event.
        fetch_s: Transfer time of one token from another replica, in seconds.
        release: Software version, named in each event.
        framing: ``chunked``, or ``close`` if the end of the connection ends a stream.
    """

    def __init__(
        self,
        timers: Timers,
        pool: HttpPool,
        batch: Batch,
        replica: Replica,
        *,
        stride: int,
        fetch_s: float,
        release: str,
        framing: str,
    ) -> None:
        self._timers = timers
        self._pool = pool
        self._batch = batch
        self._replica = replica
        self._stride = stride
        self._fetch_s = fetch_s
        self._release = release
        self._framing = framing
        self._works: dict[Job, Work] = {}
        self._stepping = False

    def start(self, work: Work) -> None:
        """Start a generation.

        Cached prompt parts are fetched first from the replica that the request names.
        """
        if KV_FETCH not in work.call.headers:
            self._generate(work)
            return
        ip, _, port = work.call.headers[KV_FETCH].partition(":")
        request = HttpRequest("GET", ip, int(port), KV_LIST)
        self._pool.fetch(request, lambda answer: self._on_cached_parts(work, answer))

    def _on_cached_parts(self, work: Work, answer: Response | Failure) -> None:
        job, remote_parts = work.job, {}
        if isinstance(answer, Response) and answer.status == 200:
            rows = answer.json()["held"]
            remote_parts = {name: n for _, name, n, model in rows if model == job.model}
        parts = list(self._batch.cache.fetchable(job, remote_parts))
        delay_s = sum(tokens for _, tokens in parts) * self._fetch_s
        self._timers.after(delay_s, lambda: self._generate(work, parts))

    def _generate(self, work: Work, parts: list | None = None) -> None:
        if work.run.ended is not None:
            return
        self._batch.cache.store(work.job.model, parts or [], self._batch.reserved)
        self._batch.add(work.job)
        self._works[work.job] = work
        if not self._stepping:
            self._stepping = True
            self._timers.after(self._batch.step_s, self._step)

    def _step(self) -> None:
        works = dict(self._works)
        for job in self._batch.step():
            if job.generated >= job.wanted or job.generated % self._stride == 0:
                self._send_event(works[job])
        self._stepping = bool(self._batch.jobs)
        if self._stepping:
            self._timers.after(self._batch.step_s, self._step)

    def _send_event(self, work: Work) -> None:
        job, conn = work.job, work.call.conn
        if work.faults.fail:
            self._replica.end(work, "done")
            headers = self._replica.headers(work)
            failure = response_bytes(work.faults.fail, b"", headers)
            self._replica.finish(work.call, failure)
            return
        number = -(-job.generated // self._stride)
        fields = {"run": work.run.id, "tokens": job.generated}
        text = json.dumps(fields | {"release": self._release})
        event = f"{job.id_line(number)}data: {text}\n\n".encode()
        if not work.head_sent:
            self._replica.before_first_event(work)
            work.head_sent = True
            conn.send(head_bytes(200, self._headers(work)))
        if work.events == work.faults.hang_after:
            return
        if work.faults.close_after == 0:
            self._close_early(work)
            return
        if work.events == work.faults.cut_after:
            self.cut_stream(work)
            return
        if job.generated > job.resumed_at:
            work.events += 1
            conn.send(self._framed(event))
        if work.events == work.faults.close_after:
            self._close_early(work)
            return
        if job.generated < job.wanted:
            self._replica.after_event(work)
            return
        self._replica.end(work, "done")
        if self._framing == CLOSE:
            conn.close()
            return
        self._replica.finish(work.call, b"0\r\n\r\n")
        self._replica.after_response(conn, work.faults)

    def _close_early(self, work: Work) -> None:
        self._replica.end(work, "cut")
        work.call.conn.close()
        self._replica.after_close(work)

    def _headers(self, work: Work) -> dict[str, str]:
        headers = {"Content-Type": "text/event-stream", **self._replica.headers(work)}
        if self._framing == CLOSE:
            return headers | {"Connection": "close"}
        return headers | {"Transfer-Encoding": "chunked"}

    def _framed(self, event: bytes) -> bytes:
        if self._framing == CLOSE:
            return event
        return b"%x\r\n%s\r\n" % (len(event), event)

    def cut_stream(self, work: Work) -> None:
        """Cut a stream in the middle of an event and close its connection."""
        size = b"" if self._framing == CLOSE else b"40\r\n"
        work.call.conn.send(size + b"id: %d\nda" % (work.events + 1))
        self._replica.end(work, "cut")
        work.call.conn.close()

    def discard(self, work: Work) -> None:
        """Remove a generation that has ended."""
        self._batch.discard(work.job)
        self._works.pop(work.job, None)
