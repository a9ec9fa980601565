"""LOST: a chain that leads back to a shard cannot be read again."""

import asyncio

import rig

ZONES = ('tw-north-a', 'tw-north-b', 'tw-north-c', 'tw-north-d')
STORES = 8
LINES = 24
TRIES = 6  # of the last turn of a line; five without a replica break the rule
CALM_S = 5.0  # after the front is ready again; stable_window_ms is 3 s
DEADLINE_MS = 4000
EVENTS = 3


async def answer(head, body, writer):
    """Runs a turn."""
    request = head[1]['x-cactusledge-request-id']
    await rig.answer_stream(request, writer, EVENTS, 0.01)
    return True


async def send(world, front, turn, parent):
    """Sends a turn of a program of its own; returns its status if whole."""
    program = turn.partition('.')[0]
    lines = [
        f'X-Cactusledge-Deadline-Ms: {DEADLINE_MS}',
        f'X-Cactusledge-Program-Id: {program}',
        f'X-Cactusledge-Session-Id: {program}',
        'X-Cactusledge-Model: m',
        f'X-Cactusledge-Token-Usage: 20,{EVENTS}',
        'X-Cactusledge-Token-Budget: 1000',
        'X-Cactusledge-Finish-Ms: 60000',
    ]
    if parent:
        lines.append(f'X-Cactusledge-Previous-Turn: {parent}')
    content = rig.request_bytes(
        'POST', '/draft/1', turn, *lines, body=f'input of {turn} '.encode()
    )
    world.record.note(f'send {turn} after {parent or "nothing"}')
    status, headers, _, whole = await rig.exchange(
        front.ip, content, DEADLINE_MS / 1000
    )
    retry_s = float(headers.get('retry-after', '0'))
    world.record.note(f'answer {turn}: status {status}, whole {whole}')
    await asyncio.sleep(retry_s)
    return status if whole else 0


async def insist(world, front, turn, parent):
    """Sends a turn until it is served; returns the id of that try, or ''."""
    for number in range(TRIES):
        request = f'{turn}.{number}'
        if await send(world, front, request, parent) == 200:
            return request
        await asyncio.sleep(0.3)
    return ''


async def begin_line(world, front, number):
    """Runs the first two turns of a line; each has a program of its own."""
    first = await insist(world, front, f'a{number}', '')
    second = first and await insist(world, front, f'b{number}', first)
    if not second:
        raise rig.CannotRunError('a line could not be begun')
    return second


async def start_world(world):
    """Starts eight stores in four zones, and a front."""
    await world.start_platform()
    keeping = {'retain_context': True, 'retention_s': 60}
    routes = [rig.route('draft', 'stream', 'models', **keeping)]
    services = [{'name': 'models', 'engine': {'tokens_per_event': 1}}]
    first = rig.configuration(1, routes, services)
    await world.platform.put('config', 'main', first)
    replicas = [rig.Replica(world, 'models', answer) for _ in range(2)]
    for replica in replicas:
        await replica.start()
    for number in range(STORES):
        world.start(world.add('store', number, ZONES[number % len(ZONES)]))
    front = world.add('front', 1, ZONES[0])
    world.start(front)
    await world.wait_ready()
    await asyncio.sleep(CALM_S)
    return front, replicas


async def case(world):
    """Kills the front between the turns of lines."""
    front, replicas = await start_world(world)
    turns = await asyncio.gather(
        *(begin_line(world, front, number) for number in range(LINES))
    )
    if rig.HAS_TROUBLE:
        await world.kill(front)
        await asyncio.sleep(0.5)
        world.start(front)
        await world.wait_ready()
    await asyncio.sleep(CALM_S)
    served = await asyncio.gather(
        *(
            insist(world, front, f'c{number}', turn)
            for number, turn in enumerate(turns)
        )
    )
    first = await asyncio.gather(
        *(insist(world, front, f'd{number}', '') for number in range(LINES))
    )
    run = {request for one in replicas for request in one.runs}
    reached = {request.partition('.')[0] for request in run}
    lost = [f'c{i}' for i in range(LINES) if f'c{i}' not in reached]
    world.record.note(
        f'{sum(map(bool, served))} of {LINES} continued; reached no replica in '
        f'{TRIES} tries: {lost}; first turns served: {sum(map(bool, first))}'
    )
    return rig.BROKEN if lost and all(first) else rig.HELD


rig.play(__file__, case)
