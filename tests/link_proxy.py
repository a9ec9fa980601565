"""A TCP proxy on loopback whose link can be cut in several ways."""

import asyncio
import contextlib
import enum
import socket
import struct

READ_BYTES = 65536
RESET_AT_CLOSE = struct.pack('ii', 1, 0)  # linger for no time
FILLERS = 4  # connections that fill a queue of length 0


class Cut(enum.Enum):
    """How a link is cut."""

    HANG = 'hang'  # bytes and new connections get no reply
    RESET = 'reset'  # connections are reset, new ones refused
    REFUSE = 'refuse'  # connections live on, new ones are refused


class LinkProxy:
    """Forwards connections to a port until its link is cut."""

    def __init__(self, target_port):
        self._target_port = target_port
        self._writers = []
        self._fillers = []
        self._tasks = set()
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._listener = None
        self.port = 0

    def start(self):
        """Listens, again at the same port after a cut."""
        self._listener = socket.create_server(('127.0.0.1', self.port))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._accept_connections()

    def cut(self, how):
        """Cuts the link."""
        cuts = {
            Cut.HANG: self._hang,
            Cut.RESET: self._reset,
            Cut.REFUSE: self._stop_listening,
        }
        cuts[how]()

    def heal(self):
        """Lets bytes and connections pass again."""
        self._is_open.set()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._listener is None:
            self.start()
        else:
            self._listener.listen()
            self._accept_connections()

    def close(self):
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        for filler in self._fillers:
            filler.close()
        self._stop_listening()

    def _hang(self):
        self._is_open.clear()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self.port))
            self._fillers.append(filler)

    def _reset(self):
        self._stop_listening()
        for writer in self._writers:
            sock = writer.get_extra_info('socket')
            if sock is None:  # the connection has ended
                continue
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
                )
            writer.transport.abort()

    def _stop_listening(self):
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _accept_connections(self):
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener, self._accept)

    def _accept(self):
        with contextlib.suppress(OSError):
            sock, _ = self._listener.accept()
            task = asyncio.ensure_future(self._serve(sock))
            self._tasks.add(task)

    async def _serve(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        self._writers += [writer, far_writer]
        await asyncio.gather(
            self._pass_on(reader, far_writer),
            self._pass_on(far_reader, writer),
        )

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while received := await reader.read(READ_BYTES):
                await self._is_open.wait()
                writer.write(received)
        writer.close()
