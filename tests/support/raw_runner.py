"""A runner that writes raw bytes, for answers that violate HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

# Writes the answer to a request. It gets the number of requests so far, the
# bytes of the request and the connection.
AnswerWriter = Callable[[int, bytes, asyncio.StreamWriter], Awaitable[None]]


def closing_after(*answers: bytes) -> AnswerWriter:
    """Returns a callback that closes the connection behind each answer.

    Args:
        *answers: Answers to the requests in order of arrival.
    """
    left = list(answers)

    async def answer(
        count: int, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(left.pop(0))
        await writer.drain()
        writer.close()

    return answer


class RawRunner:
    """Reads each request completely and lets a callback write the answer.

    Attributes:
        request_heads: Request line and headers of each request, in order.
        connection_count: Number of accepted connections.
        closed_at_seconds: Loop times at which routers closed connections.
    """

    def __init__(self, answer: AnswerWriter) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.request_heads: list[bytes] = []
        self.connection_count = 0
        self.closed_at_seconds: list[float] = []

    async def start(self) -> str:
        """Starts listening and returns the address as host:port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                body = await reader.readexactly(size)
                self.request_heads.append(head)
                await self._answer(len(self.request_heads), head + body, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at_seconds.append(asyncio.get_running_loop().time())
            return
        finally:
            writer.close()
