"""OpenTelemetry tracing: one span per hop of a request, exported as JSON lines."""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


class JsonLinesExporter(SpanExporter):
    """Exports each finished span as one JSON line.

    Args:
        host: Name of this host.
        write: Writes one line, given without its newline.
    """

    def __init__(self, host: str, write: Callable[[str], None]) -> None:
        self._host = host
        self._write = write

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Export ``spans``."""
        for span in spans:
            self._write(json.dumps(_span_document(self._host, span)))
        return SpanExportResult.SUCCESS


def _span_document(host: str, span: ReadableSpan) -> dict[str, Any]:
    return {
        "trace": f"{span.context.trace_id:032x}",
        "span": f"{span.context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else None,
        "name": span.name,
        "host": host,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


class Tracing:
    """Starts spans and propagates them in W3C ``traceparent`` headers.

    Without ``write`` no span is recorded, but callers' trace ids are still
    propagated to endpoints.

    Args:
        host: Name of this host.
        write: Receives each finished span as a JSON line; None disables recording.
    """

    def __init__(self, host: str, write: Callable[[str], None] | None = None) -> None:
        self._tracer: Tracer | None = None
        if write is not None:
            provider = TracerProvider(resource=Resource.create({"host.name": host}))
            provider.add_span_processor(
                SimpleSpanProcessor(JsonLinesExporter(host, write))
            )
            self._tracer = provider.get_tracer("greengageflow")

    def start(
        self,
        name: str,
        *,
        parent: Span | None = None,
        traceparent: str = "",
        attributes: Mapping[str, Any] | None = None,
    ) -> Span | None:
        """Start a child span of ``parent`` or of the caller's ``traceparent``.

        Returns:
            The span, to be ended with ``finish``; None when recording is disabled.
        """
        if self._tracer is None:
            return None
        context = _context(parent, traceparent)
        return self._tracer.start_span(name, context=context, attributes=attributes)

    @staticmethod
    def finish(span: Span | None, **attributes: Any) -> None:
        """Add attributes to ``span`` and end it."""
        if span is None:
            return
        span.set_attributes(attributes)
        span.end()

    @staticmethod
    def traceparent(span: Span | None, received: str = "") -> str:
        """Return the ``traceparent`` value for the next hop, empty if there is none."""
        if span is None:
            return received
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, context=set_span_in_context(span))
        return carrier.get("traceparent", received)


def _context(parent: Span | None, traceparent: str) -> Context | None:
    if parent is not None:
        return set_span_in_context(parent)
    if traceparent:
        return _PROPAGATOR.extract({"traceparent": traceparent})
    return None
