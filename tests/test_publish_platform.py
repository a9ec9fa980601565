"""Publishing and following over HTTP under platform faults; reporting."""

import threading

import pytest

from cactusledge.settings.definitions import merge, parse_file
from cactusledge.settings.follower import ConfigFollower, FollowerTimings
from cactusledge.settings.publish import Publisher, publish
from cactusledge.settings.published import load_published
from cactusledge.settings.reporter import MIN_INTERVAL_S, StatusReporter
from standins.platform import PlatformStandin

WAIT_S = 15
TIMEOUT_S = 0.3
TIMINGS = FollowerTimings(
    watch_timeout_s=WAIT_S, silence_timeout_s=0.5, retry_delay_s=0.05
)

# Faults of the platform stand-in while a second generation is published.
FAULTS = (
    {},
    {'lose_answers_after_effect': 3},
    {'lose_before_effect': 2},
    {'watch_silent': True},
    {'slow_ms': 50},
)


def definitions(name):
    text = f'models: [{{name: {name}, context_tokens: 9}}]'
    return merge([parse_file('f.yaml', text.encode())])


@pytest.fixture
def platform():
    standin = PlatformStandin().start()
    yield standin
    standin.stop()


@pytest.fixture
def http_store(platform):
    return platform.store(timeout_s=TIMEOUT_S)


@pytest.fixture
def follower(platform):
    followed = ConfigFollower(
        platform.store(timeout_s=TIMEOUT_S), timings=TIMINGS
    )
    yield followed
    followed.stop()


@pytest.mark.parametrize('faults', FAULTS)
def test_a_generation_comes_into_force(platform, http_store, follower, faults):
    reached = threading.Event()
    follower.on_change(lambda cfg: cfg.generation == 2 and reached.set())
    publish(http_store, definitions('a'), 0, Publisher('abeba'))
    follower.start()
    platform.set_faults(**faults)
    publish(http_store, definitions('b'), 1, Publisher('abeba'))
    assert reached.wait(WAIT_S)
    assert follower.current() == load_published(http_store)


def test_an_instance_reports_after_changes_and_outages(store):
    generation, now = [1], [-1.0]
    reporter = StatusReporter(
        store,
        instance='a',
        data_centre='bole',
        generation=lambda: generation[0],
        now=lambda: now[0],
    )
    store.faults = ['down', 'landed', '']
    written = []
    for elapsed_s in (0, 0.5, 1, 2, 3, 4, 30):
        now[0] = elapsed_s * MIN_INTERVAL_S
        generation[0] = 2 if elapsed_s > 2 else 1
        written.append(reporter.tick())
    assert written == [False, False, False, True, True, False, True]
    body = store.objects['instancestatuses', 'a'].body
    assert (body['generation'], body['reported_at']) == (2, 30)
