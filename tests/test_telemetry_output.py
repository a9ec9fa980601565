"""Logs, metrics and traces."""

import io
import json

import pytest
import structlog
from opentelemetry.trace import SpanKind

from cactusledge.settings.errors import InvalidSettingsError
from cactusledge.telemetry.logs import configure_logs, get_logger
from cactusledge.telemetry.metric_table import METRICS
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces, new_exporter

SAMPLED = 1  # bit of the trace flags
PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


@pytest.fixture
def stream():
    yield io.StringIO()
    structlog.reset_defaults()


def test_logs_carry_part_instance_and_data_centre(stream):
    logger = get_logger('api')
    configure_logs(
        stream,
        log_format='json',
        level='info',
        instance='tpe-1',
        data_centre='tpe',
    )
    logger.debug('Not written.')
    logger.info('Started.', port=1)
    line = json.loads(stream.getvalue())
    line.pop('timestamp')
    assert line == {
        'event': 'api: Started.',
        'level': 'info',
        'instance': 'tpe-1',
        'data_centre': 'tpe',
        'port': 1,
    }


def test_console_logs_are_plain_text(stream):
    configure_logs(stream, log_format='console', level='debug')
    get_logger('journal').warning('Waiting.', bytes=9)
    assert 'journal: Waiting.' in stream.getvalue()
    assert 'bytes=9' in stream.getvalue()


def test_every_metric_of_the_table_is_registered():
    rendered = Metrics().render().decode()
    missing = [
        spec.name
        for spec in METRICS
        if f'cactusledge_{spec.name}' not in rendered
    ]
    assert missing == []


def test_instances_do_not_share_metrics():
    one, other = Metrics(), Metrics()
    one.add('calls_total', kind='model', outcome='RAN')
    one.put('platform_up', 1)
    one.observe('call_seconds', 0.2, kind='model')
    assert one.sample('calls_total', kind='model', outcome='RAN') == 1
    assert one.sample('platform_up') == 1
    assert one.sample('call_seconds_count', kind='model') == 1
    assert other.sample('platform_up') == 0


def test_measurements_are_counted_in_every_bucket_that_contains_them():
    metrics = Metrics()
    for seconds in (0.2, 0.25, 9000):
        metrics.observe('call_seconds', seconds, kind='model')
    counts = {
        bound: metrics.sample('call_seconds_bucket', kind='model', le=bound)
        for bound in ('0.1', '0.25', '300.0', '+Inf')
    }
    assert counts == {'0.1': 0, '0.25': 2, '300.0': 2, '+Inf': 3}


@pytest.mark.parametrize('labels', [{}, {'kind': 'model', 'model': 'm'}])
def test_undeclared_labels_of_a_metric_are_an_error(labels):
    with pytest.raises(ValueError, match='call_seconds'):
        Metrics().observe('call_seconds', 1, **labels)


def fail_within_a_span(traces, sent):
    """Opens two spans and fails within the outer one."""
    with traces.span(
        'call', {'Traceparent': PARENT}, kind=SpanKind.SERVER, seq=1
    ):
        with traces.span('dispatch'):
            sent.update(traces.headers())
        raise ValueError('bad')


def test_a_span_continues_the_callers_trace(tmp_path):
    path = tmp_path / 'spans.jsonl'
    traces = Traces(
        instance='tpe-1',
        data_centre='tpe',
        exporter=new_exporter('jsonl', str(path)),
    )
    sent: dict[str, str] = {}
    with pytest.raises(ValueError, match='bad'):
        fail_within_a_span(traces, sent)
    traces.stop()
    inner, outer = map(json.loads, path.read_text().splitlines())
    assert outer['parent_id'] == '0xb7ad6b7169203331'
    assert outer['status']['status_code'] == 'ERROR'
    assert outer['resource']['attributes']['data_centre'] == 'tpe'
    assert inner['parent_id'] == outer['context']['span_id']
    trace_id, span_id = sent['traceparent'].split('-')[1:3]
    assert PARENT.split('-')[1] == trace_id
    assert inner['context']['span_id'] == f'0x{span_id}'


def test_span_file_that_cannot_be_opened_is_reported(tmp_path):
    with pytest.raises(InvalidSettingsError, match='cannot be written'):
        new_exporter('jsonl', str(tmp_path / 'missing' / 'spans.jsonl'))


def test_trace_context_is_propagated_without_an_exporter():
    traces = Traces(instance='a', data_centre='b', exporter=None)
    with traces.span('call', {'traceparent': PARENT}):
        assert PARENT.split('-')[1] in traces.headers()['traceparent']
    with traces.span('call', {}):
        flags = traces.headers()['traceparent'].split('-')[-1]
        assert int(flags, 16) & SAMPLED == 0
    traces.stop()
