"""A turn is continued only by the account that it was recorded for."""

import asyncio

import pytest

from cactusledge.gateway.chains import compress, join
from cactusledge.gateway.messages import Account, Repeatability
from cactusledge.platform.accounts import digest_of
from cactusledge.records.entries import (
    ENCODER,
    ENTRY_DECODER,
    RETENTION_S,
    Message,
    Turn,
)
from cactusledge.records.log import RecordLog
from cactusledge.records.quorum import Verdict
from cactusledge.records.reservations import Grant
from cactusledge.records.segment import frame_entry
from cactusledge.records.segment_names import SEGMENT_SUFFIX
from tests.fakes_records import LedgerRecords
from tests.gateway_endpoints import Endpoint, chunked
from tests.gateway_support import running_gateway

EVENTS = b'id: 1\ndata: a\n\n'
ACCOUNTS = tuple(
    Account(name, frozenset((digest_of(f'k-{name}'.encode()),)))
    for name in ('acme', 'rival')
)
FIELDS = ('t1', '', 'p', b'in', b'out', 5, 'e1', ())


class TurnBefore(Message, frozen=True, tag='Turn'):
    """The entry without its last field."""

    turn_id: str
    parent_id: str
    program_id: str
    request: bytes
    response: bytes
    tokens: int
    endpoint_id: str
    holders: tuple[str, ...]


def turn_of(account):
    """Returns a recorded turn whose text a gateway can read."""
    turn = Turn('t1', '', 'p', compress(b'q'), compress(b'a\n'), 1, 'e0', ())
    return Turn(*turn_fields(turn), account=account)


def turn_fields(turn):
    """Returns the fields of a turn without the account."""
    return [getattr(turn, name) for name in TurnBefore.__struct_fields__]


def run(scenario, records, accounts=ACCOUNTS, endpoint=None):
    """Runs a scenario with a gateway that has these accounts."""

    async def main():
        engine = endpoint or Endpoint(lambda head: chunked(head, EVENTS))
        async with running_gateway(engine, records=records) as harness:
            cfg = harness.gateway.table.cfg
            public = cfg.routes[0]._replace(
                prefix='/open/',
                repeatability=Repeatability.STREAM,
                keeps_turns=True,
                is_public=True,
            )
            harness.gateway.apply(
                cfg._replace(
                    version=2, accounts=accounts, routes=(*cfg.routes, public)
                )
            )
            await scenario(harness)

    asyncio.run(main())


async def take_turn(harness, account, parent='', path='/turn/x', name='r1'):
    """Sends a turn with a budget; returns its status."""
    caller = await harness.call(
        path,
        'Connection: close',
        'X-Cactusledge-Token-Budget: 900',
        'X-Cactusledge-Token-Usage: 9,90',
        'X-Cactusledge-Program-Id: p',
        f'X-Cactusledge-Previous-Turn: {parent}',
        *([f'Api-Key: k-{account}'] if account else []),
        body=b'next',
        request_id=name,
    )
    return int((await caller.read_all()).split()[1])


# The id of a turn is no secret: a caller that names another account's turn
# would have its prompt read to it.
@pytest.mark.parametrize(
    ('recorded', 'account', 'path', 'accounts', 'status'),
    [
        ('acme', 'acme', '/turn/x', ACCOUNTS, 200),
        ('acme', 'rival', '/turn/x', ACCOUNTS, 404),
        ('acme', '', '/open/x', ACCOUNTS, 404),
        ('', 'rival', '/turn/x', ACCOUNTS, 200),
        ('acme', '', '/turn/x', None, 200),
    ],
)
def test_turn_is_continued_by_its_own_account(
    recorded, account, path, accounts, status
):
    async def scenario(harness):
        records = harness.records
        records.grant = Grant(Verdict.GRANTED, chain=[turn_of(recorded)])
        found = await take_turn(harness, account, 't1', path)
        assert found == status
        seen = (
            len(endpoint.requests),
            records.settled,
            [turn.account for turn in records.recorded],
        )
        # Nothing may stay reserved for a turn that is refused.
        expected = {200: (1, [], [account]), 404: (0, [('r1', 0)], [])}
        assert seen == expected[status]

    endpoint = Endpoint(lambda head: chunked(head, EVENTS))
    run(scenario, None, accounts, endpoint)


# The gateway that served a turn keeps its chain, without asking the stores.
def test_chain_kept_by_the_gateway_is_continued_by_its_own_account():
    async def scenario(harness):
        assert await take_turn(harness, 'acme', name='r1') == 200
        assert await take_turn(harness, 'rival', 'r1', name='r2') == 404
        assert await take_turn(harness, 'acme', 'r1', name='r3') == 200
        assert records.settled == [('r2', 0)]
        assert records.state.spent('p')['r2'] == (0, True)

    records = LedgerRecords()
    run(scenario, records)


def test_chain_belongs_to_the_account_of_its_last_turn():
    assert join([turn_of('rival'), turn_of('acme')]).account == 'acme'


# All stores keep the account, not only those that keep the text.
def test_turn_without_its_text_keeps_the_account():
    turn = Turn(*FIELDS, account='acme').without_text()
    assert (turn.account, turn.has_text) == ('acme', False)


# A store that is updated has the entries of the build before on its disk.
def test_entry_on_disk_from_the_build_before_is_open_to_all(tmp_path):
    RecordLog(tmp_path, is_first_start=True).stop()
    segment = frame_entry(ENCODER.encode(TurnBefore(*FIELDS)))
    (tmp_path / f'1{SEGMENT_SUFFIX}').write_bytes(segment)
    reopened = RecordLog(tmp_path, is_first_start=False)
    expected = Turn(*FIELDS, account='', retention_s=RETENTION_S)
    assert asyncio.run(reopened.texts.read(['t1'])) == [expected]
    reopened.stop()


# Old and new stores run side by side during an upgrade.
def test_entry_is_read_by_the_build_before():
    encoded = ENCODER.encode(Turn(*FIELDS, account='acme'))
    decoder = type(ENTRY_DECODER)(TurnBefore)
    assert decoder.decode(encoded) == TurnBefore(*FIELDS)
