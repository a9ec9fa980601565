"""The command that tells what groups of record stores bear."""

import json

import pytest

from cactusledge.cli import store_metrics
from cactusledge.status import ExitStatus
from cactusledge.telemetry.metrics import Metrics


def metrics_of(shard, losses_borne, generation=7, unconfirmed=0, witness=True):
    """Returns what a store serves."""
    metrics = Metrics()
    metrics.put('records_losses_borne', losses_borne, shard=shard)
    metrics.put('records_generation', generation, shard=shard)
    metrics.put('records_unconfirmed_texts', unconfirmed)
    metrics.put('records_witness', witness)
    return metrics.render()


@pytest.fixture
def serve(monkeypatch):
    """Lets stores serve metrics, by their host names."""

    def patch(**pages):
        def request(method, url, **_):
            page = pages.get(url.split('/')[2].partition(':')[0])
            if page is None:
                raise store_metrics.urllib3.exceptions.HTTPError('refused')
            return store_metrics.urllib3.HTTPResponse(page, status=200)

        monkeypatch.setattr(store_metrics.urllib3, 'request', request)

    return patch


def test_groups_are_told_in_a_line_each(run, serve):
    serve(a=metrics_of('0', 1), b=metrics_of('0', 2), c=metrics_of('1', 1))
    ended = run('groups', 'a:1,b:1,c:1')
    assert ended.status is ExitStatus.OK
    first, second = ended.out.splitlines()
    assert first.startswith('shard 0: bears 1 further losses; 2 stores')
    assert second.startswith('shard 1: bears 1 further losses; 1 stores')


# A group that bears no loss looked like any other.
@pytest.mark.parametrize(
    'pages',
    [
        {'a': metrics_of('0', 0, witness=False), 'b': metrics_of('0', 1)},
        {'a': metrics_of('0', 1)},
        {'a': metrics_of('0', 1), 'b': b'other_metric 1\n'},
    ],
)
def test_group_that_may_bear_no_loss_fails_the_command(run, serve, pages):
    serve(**pages)
    ended = run('groups', 'a:1,b:1')
    assert ended.status is ExitStatus.ERROR


def test_groups_as_a_document(run, serve):
    serve(a=metrics_of('0', 0, 8, 3, witness=False), b=metrics_of('0', 1))
    document = json.loads(run('groups', 'a:1,b:1', '--format', 'json').out)
    assert document['groups'] == [
        {
            'shard': '0',
            'stores': 2,
            'generations': [7, 8],
            'losses_borne': 0,
            'unconfirmed_texts': 3,
            'incomplete': ['a:1'],
        }
    ]
