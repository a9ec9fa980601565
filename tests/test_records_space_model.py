"""Random use of a store's log against what has to be kept, by a simple rule."""

import asyncio
import random
import tempfile
import time
from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactusledge.records import disk, log_texts
from cactusledge.records.entries import Reserved, Turn
from cactusledge.records.lifetimes import SLACK_S
from cactusledge.records.log import RecordLog
from cactusledge.records.room_account import StoreLimits

PROGRAMS = ('p', 'q')
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('turn'), st.integers(0, 5), st.sampled_from((0, 60))),
        st.tuples(st.just('reserve'), st.integers(0, 1), st.just(0)),
        st.tuples(st.just('wait'), st.integers(1, 70), st.just(0)),
        st.tuples(st.just('tidy'), st.just(0), st.just(0)),
        st.tuples(st.just('reopen'), st.just(0), st.just(0)),
    ),
    max_size=30,
)


class Model:
    """What a store has to keep, and until when."""

    def __init__(self):
        self.turns = {}  # id -> turn
        self.ends = {}  # of turns
        self.spent = {}  # program -> turn id -> tokens
        self.program_ends = {}

    def add(self, entry, now_s):
        """Adds an entry; extends its program, its chain or both."""
        end_s = now_s + entry.retention_s + SLACK_S
        program = entry.program_id
        if self.program_ends.get(program, 0) <= now_s:
            self.spent.pop(program, None)  # a program of that id is a new one
        self.program_ends[program] = max(
            end_s, self.program_ends.get(program, 0)
        )
        self.spent.setdefault(program, {})[entry.turn_id] = entry.tokens
        if isinstance(entry, Turn):
            self.turns[entry.turn_id] = entry
            known = entry
            while known is not None:
                self.ends[known.turn_id] = max(
                    end_s, self.ends.get(known.turn_id, 0)
                )
                known = self.turns.get(known.parent_id)

    def live_turns(self, now_s):
        """Returns the turns that may still be continued."""
        return [
            turn
            for turn_id, turn in self.turns.items()
            if self.ends[turn_id] > now_s
        ]

    def live_spending(self, now_s):
        """Returns the tokens of the programs that have not been idle long."""
        return {
            program: spent
            for program, spent in self.spent.items()
            if self.program_ends[program] > now_s
        }


class Run:
    """A log in a folder of its own, on clocks that a test moves."""

    def __init__(self, folder, patch):
        self.folder = folder
        self.model = Model()
        self.past_s = 0
        self.count = 0
        now, wall_ns = time.monotonic, time.time_ns
        patch.setattr(time, 'monotonic', lambda: now() + self.past_s)
        patch.setattr(time, 'time_ns', lambda: wall_ns() + self.past_s * 10**9)
        patch.setattr(time, 'time', lambda: time.time_ns() / 10**9)
        self.log = self.open()

    def open(self):
        limits = StoreLimits(disk_mb=1)
        log = RecordLog(self.folder, is_first_start=True, limits=limits)
        log.account.disk_bytes = 1
        return log

    async def step(self, kind, number, retention_s):
        """Takes one step; checks what is kept after it."""
        await getattr(self, kind)(number, retention_s)
        now_s = time.monotonic()
        turns = self.model.live_turns(now_s)
        ids = [turn.turn_id for turn in turns]
        assert await self.log.texts.read(ids) == turns
        for program, spent in self.model.live_spending(now_s).items():
            kept = self.log.state.spent(program)
            assert {one: kept[one][0] for one in spent} == spent

    async def turn(self, number, retention_s):
        self.count += 1
        known = self.model.live_turns(time.monotonic())
        parent = known[number % len(known)].turn_id if known else ''
        turn = Turn(
            f't{self.count}',
            parent,
            PROGRAMS[number % 2],
            random.randbytes(50),
            b'out',
            self.count,
            'engine-1',
            (),
            retention_s=retention_s,
        )
        self.model.add(turn, time.monotonic())
        await self.log.append([turn])

    async def reserve(self, number, _):
        self.count += 1
        entry = Reserved(PROGRAMS[number], f't{self.count}', self.count, 60)
        self.model.add(entry, time.monotonic())
        await self.log.append([entry])

    async def wait(self, number, _):
        self.past_s += number

    async def tidy(self, *_):
        self.log.expire()
        await self.log.clean()
        self.log.expire()

    async def reopen(self, *_):
        await self.log.flush()
        self.log.stop()
        self.log = self.open()


# Nothing is lost within its retention, whatever expires beside it, whichever
# segments are written anew, and whenever the store is started again.
@settings(deadline=None, max_examples=60, derandomize=True)
@example(
    steps=[('turn', 0, 60), ('turn', 0, 0), ('wait', 40, 0), ('reopen', 0, 0)],
    segment_bytes=1,
)
@given(steps=STEPS, segment_bytes=st.sampled_from((1, 300, 2000)))
def test_what_is_needed_is_kept(steps, segment_bytes):
    async def play(run):
        for step in steps:
            await run.step(*step)
        run.past_s += 1000
        run.log.expire()
        assert not run.log.state.turns
        assert not run.log.state.spending
        assert not len(run.log.index)
        run.log.stop()

    with (
        tempfile.TemporaryDirectory() as folder,
        pytest.MonkeyPatch.context() as patch,
    ):
        patch.setattr(disk, 'SEGMENT_BYTES', segment_bytes)
        patch.setattr(log_texts, 'CACHE_BYTES', 100)
        asyncio.run(play(Run(Path(folder), patch)))
