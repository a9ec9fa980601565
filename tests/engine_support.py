"""Starts stand-ins of model engines, as fixtures, and streams from them."""

import time
from functools import partial

import pytest

from cactusledge.endpoints.engine import (
    EngineClient,
    EngineLimits,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.models import Address, CallKind, Endpoint
from standins.engine import EngineStandin
from standins.engine_settings import EngineSettings

LIMITS = EngineLimits(
    connect_timeout_s=0.5,
    first_token_s=0.3,
    inter_token_s=0.2,
    order_timeout_s=0.2,
    resumptions=2,
)
TOKENS = 8
CHAT = '/v1/chat'
PROMPT = 'one two three four five six seven eight ' * 4  # two chunks


def start_and_keep(started, **settings):
    cfg = EngineSettings('e-1', 'ledger-agent', threads=6, **settings)
    started.append(EngineStandin(cfg))
    started[-1].start()
    return started[-1]


@pytest.fixture(name='start_engine')
def engine_starter():
    started = []
    yield partial(start_and_keep, started)
    for standin in started:
        standin.stop()


@pytest.fixture(name='engine')
def running_engine(start_engine):
    return start_engine()


@pytest.fixture(name='engine_client')
def new_engine_client():
    pools = ConnectionPools()
    yield EngineClient(pools, LIMITS)
    pools.close()


def replica_of(engine):
    address = Address('127.0.0.1', engine.port)
    return Endpoint('e-1', 'ledger-agent', CallKind.MODEL, address, 'bole')


def soon():
    return time.monotonic() + 5


def stream(client, engine, request_id='r-1', prompt=PROMPT, tokens=TOKENS):
    body = {
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
    }
    headers = {
        'X-Program-Id': 'p-1',
        'X-Sequence': '2',
        'traceparent': '00-1-2-01',
    }
    return client.stream(
        replica_of(engine),
        body,
        request_id=request_id,
        deadline_s=soon(),
        headers=headers,
    )
