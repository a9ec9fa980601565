"""A loopback proxy whose link can be delayed, reset, silenced or cut."""

import asyncio
import contextlib
import enum

READ_BYTES = 65536


class LinkFault(enum.StrEnum):
    """What is wrong with a link."""

    DELAY = 'delay'
    RESET = 'reset'  # open connections, at once; new ones work
    SILENCE = 'silence'  # nothing passes until it heals
    NO_ANSWERS = 'no answers'  # only requests pass until it heals


class Link:
    """Forwards the connections to one process."""

    def __init__(self, listen, target):
        """Stores the addresses; `start` listens."""
        self._listen = listen
        self._target = target
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._delay_s = 0
        self._passes = new_passes()

    async def start(self):
        """Listens, unless it does already."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, *self._listen
            )

    def stop(self):
        """Refuses new connections and resets the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self):
        """Ends the open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def apply(self, fault, delay_s):
        """Makes the link faulty."""
        if fault is LinkFault.RESET:
            self.reset()
        if fault is LinkFault.DELAY:
            self._delay_s = delay_s
        if fault is LinkFault.SILENCE:
            self._passes[0].clear()
        if fault in {LinkFault.SILENCE, LinkFault.NO_ANSWERS}:
            self._passes[1].clear()

    def silence_open(self):
        """Lets nothing pass on the open connections any more; new ones work."""
        for passes in self._passes:
            passes.clear()
        self._passes = new_passes()

    def heal(self):
        """Lets everything pass again, what was held back too."""
        self._delay_s = 0
        for passes in self._passes:
            passes.set()

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        to_target, from_target = self._passes
        await asyncio.gather(
            self._pass_on(reader, far_writer, to_target),
            self._pass_on(far_reader, writer, from_target),
        )
        self._writers -= pair

    async def _pass_on(self, reader, writer, passes):
        with contextlib.suppress(OSError):
            while received := await reader.read(READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await passes.wait()
                writer.write(received)
                await writer.drain()
        writer.close()


def new_passes():
    """Returns what connections wait for, one for each direction."""
    passes = (asyncio.Event(), asyncio.Event())
    for each in passes:
        each.set()
    return passes
