"""Background loops of a gateway that meet an unexpected error."""

import asyncio

from cactusledge.gateway.background_loops import keep_running


class Loops:
    """Two loops; the first one fails until it is `mended`."""

    def __init__(self):
        self.failures = 0
        self.is_mended = asyncio.Event()
        self.steps = 0

    async def fail_once(self):
        if not self.failures:
            self.failures += 1
            raise ValueError('an entry that nobody expected')
        self.is_mended.set()
        await asyncio.sleep(1)

    async def step(self):
        while True:
            self.steps += 1
            await asyncio.sleep(0.01)


# One entry that could not be handled ended a periodic task for as long as the
# process ran.
def test_loop_goes_on_after_an_unexpected_error():
    async def main():
        loops = Loops()
        tasks = [
            asyncio.ensure_future(keep_running(loop))
            for loop in (loops.fail_once, loops.step)
        ]
        await asyncio.wait_for(loops.is_mended.wait(), 5)
        steps = loops.steps
        await asyncio.sleep(0.1)
        assert loops.steps > steps
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return all(one.cancelled() for one in tasks)

    assert asyncio.run(main())
