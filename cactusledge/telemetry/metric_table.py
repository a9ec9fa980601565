"""The table of all metrics."""

import enum
from typing import NamedTuple

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    60,
    300,
)
PROGRAM_BUCKETS_S = (0.1, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 900, 3600)
SIZE_BUCKETS_BYTES = (256, 1024, 4096, 16384, 65536, 262144, 1048576)


class Kind(enum.Enum):
    """Kind of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


class MetricSpec(NamedTuple):
    """Declares one metric; its name lacks the common prefix."""

    name: str
    kind: Kind
    description: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


def _counter(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, Kind.COUNTER, description, labels)


def _gauge(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, Kind.GAUGE, description, labels)


def _latency(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(
        name, Kind.HISTOGRAM, description, labels, LATENCY_BUCKETS_S
    )


METRICS = (
    _counter(
        'http_requests_total', 'HTTP requests answered.', 'route', 'status'
    ),
    _latency('http_request_seconds', 'Time to answer a request.', 'route'),
    _gauge('http_requests_in_progress', 'HTTP requests being served.'),
    _counter('programs_opened_total', 'Programs opened.', 'program'),
    _counter('programs_ended_total', 'Programs ended.', 'program', 'reason'),
    _gauge('programs_under_way', 'Programs that this instance drives.'),
    MetricSpec(
        'program_seconds',
        Kind.HISTOGRAM,
        'Time from the opening of a program to its end.',
        ('program',),
        PROGRAM_BUCKETS_S,
    ),
    _counter('calls_total', 'Calls answered.', 'kind', 'outcome'),
    _counter('calls_refused_total', 'Calls refused before they ran.', 'code'),
    _latency('call_seconds', 'Time to answer a call.', 'kind'),
    _latency('first_token_seconds', 'Time to the first token.', 'model'),
    _counter('calls_joined_total', 'Repeats that joined or were answered.'),
    _counter('spent_units_total', 'Budget units spent.', 'program'),
    _counter('retries_total', 'Calls sent again elsewhere.', 'target'),
    _counter('retries_denied_total', 'Retries that the budget denied.'),
    _counter('prompt_tokens_total', 'Prompt tokens.', 'model'),
    _counter(
        'cached_tokens_total', 'Prompt tokens taken from caches.', 'model'
    ),
    _counter(
        'wasted_cache_tokens_total',
        'Prefix tokens computed again that some engine had.',
        'model',
    ),
    _gauge('queue_length', 'Calls waiting for an engine.', 'model'),
    _latency('queue_wait_seconds', 'Time waiting for an engine.', 'model'),
    _gauge('endpoint_in_flight', 'Calls under way.', 'endpoint'),
    _gauge('endpoints_known', 'Endpoints by state.', 'service', 'state'),
    _counter('journal_appends_total', 'Journal appends.', 'result'),
    _latency('journal_append_seconds', 'Time of a journal append.'),
    MetricSpec(
        'journal_batch_bytes',
        Kind.HISTOGRAM,
        'Size of journal batches.',
        (),
        SIZE_BUCKETS_BYTES,
    ),
    _gauge('journal_waiting_bytes', 'Journal records not yet durable.'),
    _counter('journal_takeovers_total', 'Logs taken over.'),
    _counter('journal_fenced_total', 'Logs lost to another instance.'),
    _counter(
        'platform_requests_total',
        'Requests to the platform.',
        'operation',
        'result',
    ),
    _latency(
        'platform_request_seconds', 'Time of a platform request.', 'operation'
    ),
    _gauge('platform_up', '1 while the platform answers.'),
    _gauge('peers_alive', 'Other instances believed alive.'),
    _gauge('config_generation', 'Generation of the configuration in force.'),
    _counter(
        'config_offers_total', 'Configurations offered by peers.', 'result'
    ),
    _gauge('cache_releases_pending', 'Cache releases not yet confirmed.'),
)
