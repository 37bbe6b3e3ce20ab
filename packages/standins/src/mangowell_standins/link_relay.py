"""Relay in front of a node's link port that can make connections go silent."""

import asyncio

CHUNK_BYTES = 65_536


class LinkRelay:
    """Forwards bytes between callers of a port and a node behind it.

    A silent connection stays open on both sides and carries nothing more,
    as behind a faulty switch; connections made later work.

    Parameters
    ----------
    host : str
    port : int
        Port to listen on.
    target_port : int
        Port of the node at the same host.
    """

    def __init__(self, host: str, port: int, target_port: int):
        self._host = host
        self._port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        # Replaced when connections go silent, so that later ones work.
        self._silent = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence_connections(self) -> None:
        """Let all open connections go silent."""
        self._silent.set()
        self._silent = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        silent = self._silent
        try:
            node_reader, node_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            writer.transport.abort()
            self._tasks.discard(task)
            return
        pumps = [
            asyncio.create_task(_pump(reader, node_writer, silent)),
            asyncio.create_task(_pump(node_reader, writer, silent)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for side in (writer, node_writer):
                side.close()
            self._tasks.discard(task)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    """Forward until one side closes; drop everything once silent."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            if not silent.is_set():
                writer.write(data)
                await writer.drain()
    except OSError:
        return
