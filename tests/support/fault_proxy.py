"""A loopback TCP proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
import enum

DELAY_SECONDS = 0.3


class ProxyMode(enum.Enum):
    """Fault that the proxy injects.

    `PASS` forwards all bytes. `DELAY` forwards each chunk `DELAY_SECONDS`
    later. `RESET` resets connections. `NO_ANSWERS` drops the bytes from the
    target. `SILENT` drops the bytes of both directions.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to one address, with faults.

    Attributes:
        mode: Fault for all connections, open and new; may change any time.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = ProxyMode.PASS

    async def start(self) -> tuple[str, int]:
        """Starts listening and returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        for work in (
            self._relay(reader, target_writer, answers=False),
            self._relay(target_reader, writer, answers=True),
        ):
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        """Forwards the bytes of one direction.

        Args:
            reader: Source of the bytes.
            writer: Destination; closed at the end.
            answers: Whether this is the direction from the target.
        """
        try:
            while True:
                data = await reader.read(65_536)
                if not data:
                    break
                if self.mode is ProxyMode.RESET:
                    writer.transport.abort()
                    return
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                one_way = self.mode is ProxyMode.NO_ANSWERS and answers
                if one_way or self.mode is ProxyMode.SILENT:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # One side has closed; the other is closed below.
            pass
        finally:
            writer.close()
