"""OpenTelemetry traces with a span for each hop."""

import threading
from collections.abc import Generator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ParentBasedTraceIdRatio
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from cactusledge.settings.errors import InvalidSettingsError, Problem

SERVICE_NAME = 'cactusledge'
EXPORT_INTERVAL_MS = 1000
JSONL = 'jsonl'

_propagator = TraceContextTextMapPropagator()

AttributeValue = str | int | float | bool


class JsonlExporter(SpanExporter):
    """Appends one JSON line per span to a file."""

    def __init__(self, path: Path) -> None:
        """Opens the file, so that an unusable path fails at start-up."""
        self._lock = threading.Lock()
        self._file = path.open('a', encoding='utf-8')

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes the spans."""
        lines = [f'{span.to_json(indent=None)}\n' for span in spans]
        with self._lock:
            self._file.writelines(lines)
            self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class Traces:
    """Creates spans and propagates their context between processes."""

    def __init__(
        self,
        *,
        instance: str,
        data_centre: str,
        exporter: SpanExporter | None = None,
        sample_ratio: float = 1.0,
    ) -> None:
        """Sets up the tracer; without an exporter nothing is recorded."""
        resource = Resource({
            'service.name': SERVICE_NAME,
            'service.instance.id': instance,
            'instance': instance,
            'data_centre': data_centre,
        })
        sampler = (
            ParentBasedTraceIdRatio(sample_ratio) if exporter else ALWAYS_OFF
        )
        self._provider = TracerProvider(
            sampler=sampler, resource=resource, shutdown_on_exit=False
        )
        if exporter:
            self._provider.add_span_processor(
                BatchSpanProcessor(
                    exporter, schedule_delay_millis=EXPORT_INTERVAL_MS
                )
            )
        self._tracer = self._provider.get_tracer(SERVICE_NAME)

    @contextmanager
    def span(
        self,
        name: str,
        parent_headers: Mapping[str, str] | None = None,
        *,
        kind: SpanKind = SpanKind.INTERNAL,
        **attributes: AttributeValue,
    ) -> Generator[Span, None, None]:
        """Opens a span; exceptions are recorded on it and re-raised.

        Args:
            name: Name of the span.
            parent_headers: Headers of the request that caused it; if None,
                the current span is the parent.
            kind: Role in the request: server, client or internal.
            attributes: Attributes of the span.
        """
        context = None
        if parent_headers is not None:
            lower = {key.lower(): text for key, text in parent_headers.items()}
            context = _propagator.extract(lower)
        with self._tracer.start_as_current_span(
            name, context, kind, attributes
        ) as opened:
            yield opened

    def headers(self) -> dict[str, str]:
        """Returns the headers that carry the current span to the next hop."""
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        return carrier

    def stop(self) -> None:
        """Exports the pending spans, then closes the exporter."""
        self._provider.shutdown()


def new_exporter(exporter: str, path: str) -> SpanExporter | None:
    """Returns the exporter that the settings name, if any."""
    if exporter != JSONL:
        return None
    try:
        return JsonlExporter(Path(path))
    except OSError as exc:
        problem = Problem(
            'traces.path',
            f"'{path}' cannot be written: {exc.strerror}.",
            'Name a file in an existing, writable directory.',
        )
        raise InvalidSettingsError((problem,)) from exc
