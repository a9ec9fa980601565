"""All instances are stopped gracefully, one after the other, under load."""

import itertools
import json
import threading
from typing import NamedTuple

import pytest
from urllib3.exceptions import HTTPError

from standins.deployment import wait_until
from tests import failure_support as support

define = support.define
start_site = support.start_site
pytestmark = pytest.mark.process

PROGRAMS = 8
BALANCER_GRACE_S = 1.0


class Load(NamedTuple):
    """What the callers of a test share."""

    site: support.Site
    ready: dict[str, bool]  # as the platform's balancer sees the instances
    stop: threading.Event
    cut: list[str]  # requests that broke off
    answers: dict[str, list[support.Document]]


def run_program(load, index):
    """Makes calls through changing instances until the load ends."""
    client = load.site.client(f'program-{index}')
    answers = []
    client.open(balanced(load, index))
    load.answers[client.program_id] = answers
    while not load.stop.is_set():
        seq = len(answers) + 1
        call = client.confirm if seq % 3 == 0 else client.model
        try:
            answer = call(balanced(load, index + seq), seq)
        except HTTPError as exc:
            load.cut.append(f'{client.program_id} {seq}: {exc}')
            continue
        if answer['outcome'] == 'RAN':
            answers.append(answer)
        else:
            load.cut.append(f'{client.program_id} {seq}: {answer}')
    return client


def balanced(load, number):
    ready = [name for name, is_ready in load.ready.items() if is_ready]
    return ready[number % len(ready)]


def test_rolling_restart_cuts_no_request(start_site, define):
    shutdown = {
        'balancer_grace_s': BALANCER_GRACE_S,
        'drain_timeout_s': 20.0,
    }
    site = start_site(
        definitions=define(turn_limit=9999, budget=999999999),
        delay_s=0.05,
        shutdown=shutdown,
    )
    ready = dict.fromkeys(support.THREE, True)
    load = Load(site, ready, threading.Event(), [], {})
    callers = [site.begin(run_program, load, one) for one in range(PROGRAMS)]
    statuses = [restart(load, name) for name in support.THREE]
    load.stop.set()
    clients = [caller.result() for caller in callers]
    assert not load.cut
    assert statuses == [0, 0, 0]
    for client in clients:
        told = load.answers[client.program_id]
        history = client.history('entry-1')
        assert json.dumps(differing(told, history)) == '[]'
    keys = [one['key'] for one in site.executions()]
    assert len(set(keys)) == len(keys)
    assert len(keys) == sum(len(one) // 3 for one in load.answers.values())


def restart(load, name):
    """Stops an instance and starts it again; returns its exit status."""
    deployed = load.site.deployed
    before = answered(load)
    wait_until(lambda: answered(load) > before, 'calls under way')
    load.ready[name] = False
    status = deployed.stop(name)
    seeds = [deployed.peers_port(one) for one in load.site.others(name)]
    support.start_entry(load.site, name, support.BOLE, seeds)
    deployed.wait_ready(name)
    wait_until(lambda: support.sees_all(load.site), 'instances seen')
    load.ready[name] = True
    return status


def answered(load):
    return sum(len(one) for one in load.answers.values())


def differing(told, history):
    """Returns what was told and what is kept of calls that differ."""
    pairs = itertools.zip_longest(told, history, fillvalue={})
    return [
        (answer, kept)
        for answer, kept in pairs
        if kept.get('answer', '') != answer.get('body', 'none was told')
    ]
