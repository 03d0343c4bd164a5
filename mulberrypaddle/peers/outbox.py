"""A bounded queue of messages to one peer; the oldest are dropped."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from google.protobuf.any_pb2 import Any as PackedMessage

    from mulberrypaddle.peers.counters import LinkCounters

MAX_MESSAGES = 1024
MAX_BYTES = 1024 * 1024
MAX_BATCH_BYTES = 256 * 1024


class Outbox:
    """Messages that wait for the next envelope.

    Control messages repeat or are repaired, so that the newest are worth
    more than the oldest when a peer is slow.
    """

    def __init__(
        self,
        counters: LinkCounters,
        *,
        max_messages: int = MAX_MESSAGES,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self._counters = counters
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._messages: deque[PackedMessage] = deque()
        self._size_bytes = 0
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: PackedMessage) -> None:
        """Queues a message and drops the oldest ones beyond the bounds."""
        self._messages.append(message)
        self._size_bytes += message.ByteSize()
        while (
            len(self._messages) > self._max_messages
            or self._size_bytes > self._max_bytes
        ):
            self._pop()
            self._counters.dropped_messages += 1
        self._filled.set()

    async def wait(self) -> None:
        """Waits until a message is queued."""
        while not self._messages:
            self._filled.clear()
            await self._filled.wait()

    def take_batch(self) -> list[PackedMessage]:
        """Removes and returns messages for one envelope, oldest first."""
        batch: list[PackedMessage] = []
        size_bytes = 0
        while self._messages:
            size_bytes += self._messages[0].ByteSize()
            if batch and size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._pop())
        return batch

    def _pop(self) -> PackedMessage:
        message = self._messages.popleft()
        self._size_bytes -= message.ByteSize()
        return message
