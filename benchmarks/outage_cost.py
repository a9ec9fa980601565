"""What a call costs while the platform cannot be reached.

`python -m benchmarks.outage_cost` makes the same model calls with the platform
up and then refusing connections, at two instances of one data centre.
"""

import statistics
import sys
import tempfile
import time
from pathlib import Path

from cactusledge.cli.api_client import ApiClient
from cactusledge.models import Address
from standins.deployment import ROOT, Deployment, wait_until
from standins.ports import LOOPBACK

TOKEN = 'demo-showroom-token'
CALLS = 30
OUTPUT_TOKENS = 8
DATA_CENTRE = 'addis-bole'
ENTRIES = ('entry-1', 'entry-2')
MS_PER_S = 1000


def main() -> None:
    """Prints the table."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder)) as deployed,
    ):
        start(deployed)
        address = Address(LOOPBACK, deployed.port('entry-1'))
        client = ApiClient(address, TOKEN)
        say('| Platform | Calls | p50 ms | p95 ms | max ms | Durable |')
        say('| --- | --- | --- | --- | --- | --- |')
        say(measure(client, 'up'))
        deployed.platform_faults(down='refuse')
        say(measure(client, 'down'))


def start(deployed: Deployment) -> None:
    """Starts two instances that see each other, and an engine."""
    deployed.start_platform()
    deployed.start_engine('engine-1', 'booking-agent', DATA_CENTRE)
    deployed.publish(ROOT / 'examples' / 'showroom')
    deployed.start_entry('entry-1', DATA_CENTRE)
    seeds = [deployed.peers_port('entry-1')]
    deployed.start_entry('entry-2', DATA_CENTRE, seeds)
    deployed.wait_ready(*ENTRIES)
    wait_until(
        lambda: all(deployed.get(one, '/status')['peers'] for one in ENTRIES),
        'instances see each other',
    )


def measure(client: ApiClient, platform: str) -> str:
    """Returns a line of the table for the calls of one program."""
    opening = {'definition': 'itinerary', 'key': platform}
    program_id = client.post('/v1/programs', opening)['program_id']
    times_ms = []
    durable = 0
    for seq in range(1, CALLS + 1):
        began_s = time.monotonic()
        answer = client.post(
            f'/v1/programs/{program_id}/calls',
            {
                'seq': seq,
                'key': f'call-{seq}',
                'kind': 'model',
                'messages': [{'role': 'user', 'content': 'Plan.'}],
                'max_output_tokens': OUTPUT_TOKENS,
            },
        )
        times_ms.append((time.monotonic() - began_s) * MS_PER_S)
        durable += answer['durable']
    cuts = statistics.quantiles(times_ms, n=20)
    figures = (cuts[9], cuts[18], max(times_ms))
    shown = ' | '.join(f'{figure:.0f}' for figure in figures)
    return f'| {platform} | {CALLS} | {shown} | {durable} |'


def say(line: str) -> None:
    """Writes a line to standard output."""
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
