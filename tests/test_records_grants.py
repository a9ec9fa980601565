"""Requests to limited endpoints that a gateway asks a store for."""

import asyncio

import msgspec
import pytest

from cactusledge.records.entries import ENCODER
from cactusledge.records.gateway_messages import AskGrant, Granted, NamedLimit
from cactusledge.records.grant_source import StoreGrants
from cactusledge.records.messages import ENVELOPE_DECODER, Envelope, Failed
from cactusledge.records.quota_messages import AskQuota

QUOTA_ASK = AskQuota('f1', 'acme', 20, 40, 3, 1.5, 0)
ASK = AskGrant('f1', NamedLimit('e1', 1, 2.5, 0.1, is_ended=False), 4.0)


class StubLink:
    """A link to a store with one outcome; also the list of links."""

    name = 'store-a'

    def __init__(self, outcome, *, is_connected=True):
        self.is_connected = is_connected
        self._outcome = outcome

    def nearest_first(self):
        return [self]

    async def call(self, body, timeout_s):
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


@pytest.mark.parametrize(
    'body', [ASK, QUOTA_ASK, Granted(is_granted=False, retry_s=0.3)]
)
def test_messages_pass_between_processes(body):
    content = ENCODER.encode(Envelope(1, body))
    assert ENVELOPE_DECODER.decode(content) == Envelope(1, body)


def test_reply_of_the_nearest_store_counts():
    source = StoreGrants(StubLink(Granted(is_granted=True)))
    assert asyncio.run(source.ask(ASK)) == Granted(is_granted=True)


@pytest.mark.parametrize(
    'link',
    [
        StubLink(ConnectionError()),
        StubLink(TimeoutError()),
        StubLink(Failed('AskGrant is not a request')),
        StubLink(None, is_connected=False),
    ],
)
def test_no_reply_in_time_is_no_grant(link):
    assert asyncio.run(StoreGrants(link).ask(ASK)) is None


class StubLinks:
    """The links to the stores of a group."""

    def __init__(self, *links):
        self._links = links

    def nearest_first(self):
        return list(self._links)


# Requests within a quota were refused while the nearest store was stopped.
@pytest.mark.parametrize('lost', [TimeoutError(), ConnectionError()])
def test_another_store_is_asked_for_a_quota(lost):
    links = StubLinks(StubLink(lost), StubLink(Granted(is_granted=True)))
    source = StoreGrants(links)
    assert asyncio.run(source.ask(QUOTA_ASK)) == Granted(is_granted=True)
    assert asyncio.run(source.ask(ASK)) is None


# A store of the build before this one replied with shorter messages.
def test_older_message_without_limits_is_read():
    report = msgspec.msgpack.encode([3, ['LoadSums', {'e1': 2}, [], '', 0]])
    sums = ENVELOPE_DECODER.decode(report).body
    assert (sums.limits, sums.gateways) == ([], 0)
