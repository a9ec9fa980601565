"""Runs a case: its exit status says whether the rule held."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from review.rig3.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MOST_S = 115.0

IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


def main(script, play):
    """Plays a case and exits; `play(record)` returns whether the rule broke."""
    record = Record(Path(script).parent / 'record.txt')
    try:
        is_broken = asyncio.run(limited(play, record))
    except (Exception, asyncio.CancelledError) as exc:
        record.add('could not run', error=repr(exc))
        print(f'could not run: {exc!r}')
        sys.exit(COULD_NOT_RUN)
    finally:
        record.close()
    print('rule broken' if is_broken else 'rule held')
    sys.exit(BROKEN if is_broken else HELD)


async def limited(play, record):
    """Plays within the time of a script; SIGTERM ends it in order."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(MOST_S):
        return await play(record)
