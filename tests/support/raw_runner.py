"""A runner at the level of bytes, for answers that break the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Answer = Callable[[int, bytes, asyncio.StreamWriter], Awaitable[None]]


class RawRunner:
    """Reads each request whole and answers it as a test says.

    Attributes:
        heads: Head of each request that was read.
        connections: Connections that were taken.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.heads: list[bytes] = []
        self.connections = 0

    async def start(self) -> str:
        """Starts to listen and returns its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Ends."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                body = await reader.readexactly(size)
                self.heads.append(head)
                await self._answer(len(self.heads), head + body, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            # The caller has closed the connection.
            return
        finally:
            writer.close()
