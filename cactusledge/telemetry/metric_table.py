"""Declarations of all metrics."""

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


class MetricKind(enum.Enum):
    """Prometheus type of a metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


class MetricSpec(NamedTuple):
    """Declares one metric; `name` excludes the common prefix."""

    name: str
    kind: MetricKind
    description: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


def _counter(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.COUNTER, description, labels)


def _gauge(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.GAUGE, description, labels)


def _latency(name: str, description: str, *labels: str) -> MetricSpec:
    return MetricSpec(
        name, MetricKind.HISTOGRAM, description, labels, LATENCY_BUCKETS_S
    )


METRICS = (
    _counter(
        'http_requests_total', 'HTTP requests answered.', 'route', 'status'
    ),
    _latency('http_request_seconds', 'Time to answer a request.', 'route'),
    _counter('calls_total', 'Calls answered.', 'kind', 'outcome'),
    _counter('calls_refused_total', 'Calls refused before they ran.', 'code'),
    _latency('call_seconds', 'Time to answer a call.', 'kind'),
    _counter('spent_units_total', 'Budget units spent.', 'program'),
    _counter('prompt_tokens_total', 'Prompt tokens.', 'model'),
    _counter(
        'cached_tokens_total', 'Prompt tokens taken from caches.', 'model'
    ),
    _counter('journal_appends_total', 'Journal appends.', 'result'),
    _latency('journal_append_seconds', 'Time of a journal append.'),
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
        'gateway_requests_total',
        'Requests that the gateway has ended.',
        'kind',
        'status',
    ),
    _latency(
        'gateway_request_seconds', 'Time until a request has ended.', 'kind'
    ),
    _counter(
        'gateway_turns_total',
        'Turns that asked for tokens, by the verdict.',
        'verdict',
    ),
    _counter(
        'gateway_exchanges_total',
        'Exchanges with endpoints, by how they ended.',
        'end',
    ),
    _gauge(
        'gateway_cross_share',
        'Share of new requests sent to other data centres.',
        'service',
    ),
    _counter(
        'gateway_cross_requests_total',
        'Requests sent to other data centres, by reason.',
        'reason',
    ),
    _counter(
        'gateway_cross_bytes_total',
        'Bytes of requests sent to other data centres.',
    ),
    _counter(
        'gateway_answer_ends_total',
        'Ends of answers: framing, end of the transfer, state of the stream.',
        'framing',
        'transfer_end',
        'last_event',
        'completeness',
    ),
    _counter(
        'gateway_departures_total',
        'Endpoints that said they are leaving, by how that became known.',
        'source',
    ),
    _counter(
        'gateway_withdrawals_total',
        'Endpoints not used any more, as another instance said so.',
    ),
    _counter(
        'gateway_failed_connects_total',
        'Attempts to connect to endpoints that failed.',
    ),
    _counter(
        'gateway_endpoint_ends_total',
        'Endpoints that ended while they ran requests, by what shows it.',
        'sign',
    ),
    _counter(
        'gateway_stopped_requests_total',
        'Requests found to crash endpoints, by how that became known.',
        'source',
    ),
    _counter(
        'gateway_configuration_fetches_total',
        'Newer configurations asked of other gateways, by the result.',
        'result',
    ),
    _gauge(
        'gateway_configuration_version',
        'Version of the configuration in force, 0 without one.',
    ),
    _gauge(
        'gateway_watch_version',
        "Version of the platform's objects that a watch has seen.",
        'kind',
    ),
    _gauge(
        'gateway_watch_wait_seconds',
        'Time for which the open watch has waited.',
        'kind',
    ),
    _counter(
        'gateway_watch_replacements_total',
        'Watches replaced, as they lacked a change that stores know of.',
        'kind',
    ),
    _gauge('gateway_stranded', '1 while no endpoint is in reach.'),
    _counter(
        'gateway_endpoint_limits_total',
        'Changes of limits that endpoints name, by how they became known.',
        'change',
        'source',
    ),
    _counter(
        'gateway_quota_total',
        'Requests of accounts with a quota, by how they were decided.',
        'decision',
    ),
    _latency('gateway_record_seconds', 'Time until a turn is durable.'),
    _latency('gateway_event_seconds', 'Time per event of an answered turn.'),
    _gauge('gateway_endpoints', 'Endpoints listed.'),
    _gauge('gateway_quorum', '1 while a quorum of the stores is in reach.'),
    _gauge('gateway_connections', 'Open connections of callers.'),
    _gauge('gateway_held_bytes', 'Bytes held for callers and their answers.'),
    _counter(
        'gateway_bounds_met_total',
        'Requests refused and connections closed, by the bound they met.',
        'bound',
    ),
    _gauge('records_generation', 'Generation of a group of stores.', 'shard'),
    _gauge(
        'records_losses_borne',
        'Further stores of a group that may be lost for good, as one sees it.',
        'shard',
    ),
    _gauge('records_entries', 'Entries that a store holds.'),
    _gauge('records_memory_bytes', 'Memory that the entries take, about.'),
    _gauge('records_disk_bytes', 'Bytes of the segments on disk.'),
    _gauge(
        'records_room_used',
        'Share that is taken of the memory or the disk, whichever is scarcer.',
    ),
    _gauge('records_witness', '1 while a store has all it should know of.'),
    _gauge(
        'records_unconfirmed_texts',
        'Copies of texts that other stores should have and have not confirmed.',
    ),
)
