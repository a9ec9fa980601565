"""Model of one program's calls through crashes, lost answers, takeovers."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeAlias

from minicheck import Protocol

from cactusledge.models import Outcome
from cactusledge.protocol import journal
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import records as rec
from cactusledge.protocol.state import ANY_ENDPOINT
from model import platform as plat
from model.appends import Move, crash_moves, journal_moves, landing_moves
from model.batches import make_batch, read_log
from model.driving import driving_moves
from model.world import PROGRAM, Instance, Scenario, World, position_of

Fields: TypeAlias = dict[str, Any]
TIME_LIMIT_S = 1_000_000
_SETTLED = frozenset((Outcome.RAN, Outcome.UNKNOWN))


def calls_model(scenario: Scenario) -> Protocol:
    """Returns the model of a scenario."""
    return Protocol(
        name=scenario.name,
        candidate=False,
        fields=World._fields,
        initial=initial_world(scenario),
        transitions=lambda world: list(moves(scenario, world)),
        invariants=invariants(scenario),
    )


def initial_world(scenario: Scenario) -> World:
    """Returns the world in which instance 0 owns a log with one program."""
    platform = plat.new_platform(
        scenario.size,
        scenario.form,
        scenario.max_number,
    )
    opened = rec.Opened(
        PROGRAM, 0, b'', 'a', 'd', scenario.budget, '', 0, TIME_LIMIT_S, 10
    )
    batch = make_batch(None, 0, 0, scenario.size, (rec.Seal('0', ''), opened))
    state = journal.start('log', '0', plat.list_log(platform))
    state, _ = journal.step(state, msg.Append(batch.data, 0))
    write = plat.write_of(state)
    written = msg.Written(write.slot.nonce, write.slot.version)
    state, _ = journal.step(state, written)
    owner = Instance(state, batch.program, batch.base)
    count = len(scenario.calls)
    return World(
        plat.carry_out(platform, write),
        (owner, *(Instance(),) * (scenario.instances - 1)),
        scenario.limits,
        (0,) * count,
        ('',) * count,
    )


def moves(scenario: Scenario, world: World) -> Iterator[Move]:
    """Yields all transitions; none once a rule is broken."""
    if world.broken:
        return
    yield from landing_moves(world)
    for index, _ in enumerate(world.instances):
        yield from journal_moves(world, index)
        yield from driving_moves(scenario, world, index)
        yield from crash_moves(world, index)


def invariants(scenario: Scenario) -> Mapping[str, Callable[[Fields], bool]]:
    """Returns the properties of the scenario's calls."""
    return {
        'runs at most once': lambda world: all(
            spec.idempotent or world['runs'][spec.seq - 1] <= 1
            for spec in scenario.calls
        ),
        'NOT_RUN did not run': _not_run_is_true,
        'RAN did run': _ran_is_true,
        'order': _ordered,
        'acknowledged history': _history_kept,
        'budget': lambda world: _spent(scenario, world) <= scenario.budget,
        'release duty': _duty_kept,
        'no rule broken': lambda world: not world['broken'],
    }


def _not_run_is_true(world: Fields) -> bool:
    pairs = zip(world['answers'], world['runs'], strict=True)
    return all(runs == 0 for told, runs in pairs if told == Outcome.NOT_RUN)


def _ran_is_true(world: Fields) -> bool:
    pairs = zip(world['answers'], world['runs'], strict=True)
    return all(runs for told, runs in pairs if told == Outcome.RAN)


def _ordered(world: Fields) -> bool:
    started = [bool(runs) for runs in world['runs']]
    return all(
        _is_over(world, position)
        for position in range(len(started) - 1)
        if started[position + 1]
    )


def _is_over(world: Fields, position: int) -> bool:
    told = world['answers'][position]
    return told == Outcome.NOT_RUN or position in _kept(world)


def _kept(world: Fields) -> dict[int, Outcome]:
    """Returns the outcomes that the log holds."""
    program = read_log(world['platform']).program
    calls = () if program is None else program.calls
    return {
        position_of(call.key): call.outcome for call in calls if call.outcome
    }


def _history_kept(world: Fields) -> bool:
    program = read_log(world['platform']).program
    if program is None or (world['end_told'] and not program.ended):
        return False
    kept = _kept(world)
    return all(
        kept.get(position) == told
        for position, told in enumerate(world['answers'])
        if told in _SETTLED
    )


def _spent(scenario: Scenario, world: Fields) -> int:
    pairs = zip(scenario.calls, world['runs'], strict=True)
    return sum(spec.reserve * runs for spec, runs in pairs)


def _duty_kept(world: Fields) -> bool:
    if not world['end_told'] or not world['cached']:
        return True
    program = read_log(world['platform']).program
    left = () if program is None else program.releases
    return ANY_ENDPOINT in left or world['cached'] <= set(left)
