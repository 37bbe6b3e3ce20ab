"""TCP relay in front of a node's link port that can silence connections."""

import asyncio

CHUNK_BYTES = 65_536


class LinkRelay:
    """Forwards bytes between clients of a port and the node behind it.

    A silent connection stays open on both sides but carries no more bytes, as
    behind a faulty switch. Connections opened later work.

    Parameters
    ----------
    host : str
        Address of the relay and of the node.
    port : int
        Port to listen on.
    target_port : int
        Port of the node.
    """

    def __init__(self, host: str, port: int, target_port: int):
        self._host = host
        self._port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task] = set()
        # Shared by the open connections and replaced when they are silenced, so
        # that later connections work.
        self._silenced = asyncio.Event()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, self._port
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    def silence_connections(self) -> None:
        """Stop forwarding on all open connections, and leave them open."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._connection_tasks.add(task)
        silenced = self._silenced
        try:
            node_reader, node_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            writer.transport.abort()
            self._connection_tasks.discard(task)
            return
        forward_tasks = [
            asyncio.create_task(_forward(reader, node_writer, silenced)),
            asyncio.create_task(_forward(node_reader, writer, silenced)),
        ]
        try:
            await asyncio.wait(forward_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forward_task in forward_tasks:
                forward_task.cancel()
            for stream in (writer, node_writer):
                stream.close()
            self._connection_tasks.discard(task)


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silenced: asyncio.Event
) -> None:
    """Forward bytes until the reader ends; discard them once silenced."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            if not silenced.is_set():
                writer.write(data)
                await writer.drain()
    except OSError:
        return
