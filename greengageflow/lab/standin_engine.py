"""Stand-in for a model engine with continuous batching."""

from collections.abc import Iterator
from dataclasses import dataclass
from socket import socket
from time import monotonic, time

from greengageflow.lab._engine_batch import (
    Batch,
    CompletionRequest,
    Execution,
    Lengths,
    State,
    prompt_text,
)
from greengageflow.lab._engine_cache import CacheEvents, PrefixCache
from greengageflow.lab._engine_orders import Orders
from greengageflow.lab._engine_wire import (
    DONE,
    OTHER_REQUEST_ID,
    completion_response,
    crossed_event,
    piece_event,
)
from greengageflow.lab._standin_http import BadCallError, Call, Reply, StandIn
from greengageflow.lab.poison import crash_if_poison

EVENT_STREAM = "text/event-stream"


@dataclass(slots=True, eq=False)
class _Output:
    """Response that receives the pieces of an execution."""

    call: Call
    execution: Execution
    streamed: bool
    next_seq: int = 0
    sent_pieces: int = 0
    last_piece: bytes = b""


class EngineStandIn(StandIn):
    """A model engine that runs requests in order of arrival, without priorities.

    Example:
        greengage-standin engine --port 7200 --name e1 --resumes --max_batch 16

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        name: Name of the replica; the generated text depends on it.
        seed: Seed for completion lengths and lost cache events.
        base_pace_s: Base duration of a step, in seconds; each step generates one token
            per running request.
        per_request_pace_s: Additional step duration per running request, in seconds.
        prefill_s_per_token: Prefill time per uncached prompt token, in seconds.
        max_batch: Maximum number of running requests, others wait; 0 for no limit.
        cache_blocks: Capacity of the prefix cache in prompt blocks.
        load_lag_s: Interval between updates of the load report, in seconds; 0 for an
            up-to-date report on each request.
        event_lag_s: Delay of cache events, in seconds.
        event_loss: Fraction of the cache events that is lost, 0 to 1.
        median_tokens: Median completion length in tokens (lognormal).
        sigma: Standard deviation of the logarithm of the completion length.
        resumes: Keep completions and resume cut streams.
        resume_grace_s: Seconds that a cut stream continues to run before it is
            cancelled, if the engine resumes streams.
        checks_fencing: Refuse orders with a stale fencing token.
        poison: Crash at the start of a request whose body contains this text; empty
            for never.
        release: Software release that it names in streamed responses.
    """

    control_paths = frozenset({"/executions"})

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        name: str = "engine",
        seed: int = 1,
        base_pace_s: float = 0.01,
        per_request_pace_s: float = 0.0005,
        prefill_s_per_token: float = 0.0001,
        max_batch: int = 0,
        cache_blocks: int = 4096,
        load_lag_s: float = 0.5,
        event_lag_s: float = 0.5,
        event_loss: float = 0.1,
        median_tokens: float = 150.0,
        sigma: float = 1.0,
        resumes: bool = False,
        resume_grace_s: float = 2.0,
        checks_fencing: bool = False,
        poison: str = "",
        release: str = "1",
    ) -> None:
        super().__init__(host, port)
        self._release = str(release)
        self._name = str(name)
        self._poison = poison.encode()
        self._prefill_s_per_token = prefill_s_per_token
        self._load_lag_s = load_lag_s
        self._lengths = Lengths(seed, median_tokens, sigma)
        self._resumes = resumes
        self._resume_grace_s = resume_grace_s
        self._batch = Batch(base_pace_s, per_request_pace_s, max_batch)
        self._prefixes = PrefixCache(cache_blocks)
        self._executions: list[Execution] = []
        self._latest_by_request: dict[str, Execution] = {}
        self._outputs: dict[int, _Output] = {}
        self._outputs_by_sock: dict[socket, _Output] = {}
        self._events = CacheEvents(event_lag_s, event_loss, seed)
        self._orders = Orders(checks_fencing)
        self._leaving = False
        self._stepping = False
        self._step_due_at = 0.0
        self._report = self._current_load()
        if load_lag_s > 0:
            self.timers.every(load_lag_s, self._refresh_report)

    def operation(self, call: Call) -> str:
        """Return the last segment of the path, such as ``completions``."""
        return call.parts[-1]

    def answer(self, call: Call) -> Reply | None:
        """Handle completions, cancellations, orders and reports."""
        match call.method, call.path:
            case "POST", "/v1/chat/completions":
                return self._complete(call)
            case "POST", "/cancel":
                return self._cancel(call)
            case "GET", "/load":
                return Reply(
                    200, self._report if self._load_lag_s else self._current_load()
                )
            case "GET", "/cache-events":
                start = int(call.number("from", 0))
                events = list(self._events.since(start, monotonic()))
                return Reply(200, {"events": events})
            case "POST", "/orders":
                return self._orders.receive(call.json, time())
            case "GET", "/orders":
                return Reply(200, {"orders": self._orders.wire})
            case "POST", "/leaving":
                self._leaving = bool(call.json.get("leaving", True))
                return Reply(200, {"leaving": self._leaving})
            case "GET", "/executions":
                return Reply(
                    200,
                    {"executions": [execution.wire for execution in self._executions]},
                )
        return Reply(404, {"error": "no such path"})

    def on_faults_changed(self) -> None:
        """Resume stepping if a stall was cleared."""
        self._start_stepping()

    def on_disconnect(self, sock: socket) -> None:
        """Cancel a closed connection's execution, after a grace period if resumable."""
        output = self._outputs_by_sock.pop(sock, None)
        if output is None:
            return
        execution = output.execution
        if self._outputs.get(execution.number) is output:
            del self._outputs[execution.number]
        if self._resumes:
            self.timers.after(
                self._resume_grace_s, lambda: self._cancel_if_detached(execution)
            )
        else:
            self._batch.cancel(execution, time())

    def _cancel_if_detached(self, execution: Execution) -> None:
        if execution.number not in self._outputs:
            self._batch.cancel(execution, time())

    # Completions

    def _complete(self, call: Call) -> Reply | None:
        body = call.json
        request_id = call.header("X-Request-Id") or f"own-{len(self._executions)}"
        streamed = bool(body.get("stream"))
        start = call.header("X-Resume-From")
        if start is not None and self._resumes:
            if not start.isdecimal():
                raise BadCallError("X-Resume-From must be a non-negative integer")
            return self._resume(call, request_id, int(start))
        crash_if_poison(self._poison, call.data)
        execution = self._execute(call, body, request_id)
        output = _Output(call, execution, streamed)
        if call.faulty and streamed and self.faults.lose_answers > 0:
            self.faults = self.faults.after_lost_answer()
            self.cut(call)
        else:
            self._attach(output)
        self._start_stepping()
        return None

    def _execute(self, call: Call, body: dict, request_id: str) -> Execution:
        request = self._parse_request(call, body, request_id)
        cached = self._prefixes.cached_tokens(request.prompt)
        uncached = max(0, request.prompt_tokens - cached)
        prefill_s = uncached * self._prefill_s_per_token + self.faults.slow_start_s
        execution = Execution(
            number=len(self._executions),
            engine=self._name,
            request=request,
            ready_at=monotonic() + prefill_s,
            started=time(),
        )
        self._events.add(self._prefixes.store(request.prompt), monotonic())
        self._executions.append(execution)
        self._latest_by_request[request_id] = execution
        self._batch.add(execution)
        return execution

    def _parse_request(
        self, call: Call, body: dict, request_id: str
    ) -> CompletionRequest:
        try:
            tokens, reason = self._lengths.draw(body, request_id)
            return CompletionRequest(
                request_id=request_id,
                key=call.header("Idempotency-Key"),
                account=call.header("X-Account"),
                prompt=prompt_text(body.get("messages")),
                tokens=tokens,
                finish_reason=reason,
            )
        except (AttributeError, TypeError, ValueError) as exc:
            raise BadCallError(str(exc)) from exc

    def _attach(self, output: _Output) -> None:
        self._outputs[output.execution.number] = output
        self._outputs_by_sock[output.call.sock] = output
        if output.streamed:
            self.open_stream(
                output.call, EVENT_STREAM, {"X-Engine-Release": self._release}
            )

    def _resume(self, call: Call, request_id: str, start: int) -> Reply | None:
        execution = self._latest_by_request.get(request_id)
        if execution is None:
            return Reply(404, {"error": "unknown request"})
        if execution.state is State.CANCELLED or start > execution.request.tokens:
            return Reply(410, {"error": "nothing to resume"})
        execution.resumed_from.append(start)
        previous_output = self._outputs.pop(execution.number, None)
        if previous_output is not None:
            # The old connection may be half-open; detach it so that the new one
            # gets all pieces.
            self._outputs_by_sock.pop(previous_output.call.sock, None)
            self.cut(previous_output.call)
        output = _Output(call, execution, streamed=True, next_seq=start)
        self._attach(output)
        self._deliver(output)
        return None

    # Steps

    def _start_stepping(self) -> None:
        if not self._stepping:
            self._schedule_step(monotonic())

    def _schedule_step(self, base_time: float) -> None:
        self._stepping = bool(self._batch.running) and not self.faults.stall
        if self._stepping:
            self._step_due_at = base_time + self._batch.pace_s
            self.timers.after(max(0.0, self._step_due_at - monotonic()), self._step)

    def _step(self) -> None:
        if self.faults.stall:
            self._stepping = False
            return
        for execution in self._batch.step(monotonic(), time()):
            output = self._outputs.get(execution.number)
            if output is not None:
                self._deliver(output)
        # Schedules from this step's due time, so that a late timer does not slow the
        # batch; an overloaded engine catches up by at most one step.
        self._schedule_step(max(self._step_due_at, monotonic() - self._batch.pace_s))

    def _deliver(self, output: _Output) -> None:
        execution = output.execution
        if not output.streamed:
            if execution.state is State.DONE:
                self._detach(output)
                response = completion_response(execution, crossed=self.faults.cross)
                self.reply(output.call, Reply(200, response))
            return
        data = b"".join(self._pending_events(output))
        if data:
            self.push(output.call, data)
        if self._reached_cut(output):
            self.faults = self.faults.after_cut()
            # The close may wait for pending output; send nothing after it.
            del self._outputs[execution.number]
            self.cut(output.call)
        elif execution.state is State.DONE:
            self._detach(output)
            self.push(output.call, DONE)
            self.end_stream(output.call)

    def _detach(self, output: _Output) -> None:
        self._outputs.pop(output.execution.number, None)
        self._outputs_by_sock.pop(output.call.sock, None)

    def _reached_cut(self, output: _Output) -> bool:
        after = self.faults.cut_after
        return after is not None and output.sent_pieces >= after

    def _pending_events(self, output: _Output) -> Iterator[bytes]:
        while output.next_seq < output.execution.produced:
            if self._reached_cut(output):
                return
            piece = piece_event(output.execution, output.next_seq)
            if self.faults.cross:
                yield crossed_event(self._other_request_id(output), output.next_seq)
            yield piece
            if self.faults.duplicate:
                yield piece
            if self.faults.late and output.last_piece:
                yield output.last_piece
            output.last_piece = piece
            output.next_seq += 1
            output.sent_pieces += 1

    def _other_request_id(self, output: _Output) -> str:
        own_id = output.execution.request.request_id
        others = (
            other_id
            for other_id in reversed(self._latest_by_request)
            if other_id != own_id
        )
        return next(others, OTHER_REQUEST_ID)

    def _cancel(self, call: Call) -> Reply:
        execution = self._latest_by_request.get(str(call.json.get("id")))
        if execution is None:
            return Reply(404, {"error": "unknown request"})
        cancelled = self._batch.cancel(execution, time())
        output = self._outputs.get(execution.number)
        if cancelled and output is not None:
            self._detach(output)
            self.cut(output.call)
        return Reply(200, {"cancelled": cancelled})

    # Reports and orders

    def _current_load(self) -> dict[str, object]:
        return {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "pace_s": self._batch.pace_s,
            "at": time(),
            "leaving": self._leaving,
        }

    def _refresh_report(self) -> None:
        self._report = self._current_load()
