"""What a turn costs a store: memory, disk, processor time, and the next start.

Run with `python -m benchmarks.record_log [TURNS] [TEXT_BYTES]`. Each turn is
the first of a program and has a reservation, as on the users' platform.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path

from cactusledge.records.entries import Reserved, Turn
from cactusledge.records.log import RecordLog

BATCH = 8  # turns that are written at once
DEFAULT_TURNS = 10_000
DEFAULT_TEXT_BYTES = 17_000


def resident_bytes() -> int:
    """Returns the memory of this process."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def entries_of(number: int, text_bytes: int) -> tuple[Reserved, Turn]:
    """Returns the entries of one turn; ids of usual lengths."""
    turn_id = f'request-{number:020d}'
    program_id = f'program-{number:020d}'
    turn = Turn(
        turn_id=turn_id,
        parent_id='',
        program_id=program_id,
        request=random.randbytes(text_bytes),
        response=b'out',
        tokens=10,
        endpoint_id='engine-1-17',
        holders=('store-tw-north-a-1', 'store-tw-north-b-1'),
        account='account-1',
    )
    return Reserved(program_id, turn_id, 100), turn


async def fill(log: RecordLog, turns: int, text_bytes: int) -> float:
    """Appends turns; returns the processor time of appending, in seconds."""
    used_s = float(0)
    for first in range(0, turns, BATCH):
        batch = [
            entry
            for number in range(first, first + BATCH)
            for entry in entries_of(number, text_bytes)
        ]
        before_s = time.process_time()
        await log.append(batch)  # noqa: WPS476
        used_s += time.process_time() - before_s
    return used_s


def main(turns: int, text_bytes: int) -> None:
    """Prints the figures of a turn."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        before = resident_bytes()
        log = RecordLog(folder, is_first_start=True)
        used_s = asyncio.run(fill(log, turns, text_bytes))
        after = resident_bytes()
        log.stop()
        on_disk = sum(path.stat().st_size for path in folder.glob('*'))
        began_s = time.process_time()
        RecordLog(folder, is_first_start=False).stop()
        start_s = time.process_time() - began_s
    print(f'turns {turns}, text {text_bytes} bytes')
    print(f'memory a turn, bytes: {(after - before) / turns:.0f}')
    print(f'disk a turn, bytes: {on_disk / turns:.0f}')
    print(f'processor time a turn, us: {used_s / turns * 1e6:.0f}')
    print(f'processor time of a start, ms: {start_s * 1000:.0f}')


if __name__ == '__main__':
    main(
        *(
            int(text) if text else default
            for text, default in zip(
                (*sys.argv[1:], '', ''),
                (DEFAULT_TURNS, DEFAULT_TEXT_BYTES),
                strict=False,
            )
        )
    )
