"""Requests for which a gateway has no route, and answers to nobody."""

from types import SimpleNamespace

import pytest

from cactusledge.gateway.unframed_end import set_linger
from cactusledge.records.gateway_messages import KnownVersion
from tests.gateway_endpoints import RESET_AT_CLOSE, field
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process


def test_status_for_unknown_route_and_without_configuration():
    async def scenario(harness):
        caller = await harness.call('/nowhere/x')
        assert (await caller.read())[0] == 404
        harness.gateway.table = None
        caller = await harness.call('/once/x')
        assert (await caller.read())[0] == 503

    run_scenario(scenario)


# A caller that is told 404 does not come back, though the route was there.
def test_unknown_route_is_not_final_while_a_newer_version_is_known():
    async def scenario(harness):
        news = harness.gateway.news
        for version, expected in ((9, 503), (1, 404)):
            news.hear(KnownVersion(version, ('10.0.0.2:80',)), 0)
            caller = await harness.call('/nowhere/x')
            status, head, _ = await caller.read()
            assert status == expected
            retry_after = field(head, 'retry-after')
            assert bool(retry_after) == (expected == 503)

    run_scenario(scenario)


# On the event loop of the platform's processes a connection that has ended has
# no socket any more.
def test_caller_that_has_left_does_not_fail_the_end_of_its_answer():
    transport = SimpleNamespace(get_extra_info=lambda name: None)
    set_linger(transport, RESET_AT_CLOSE)
    set_linger(None, RESET_AT_CLOSE)
