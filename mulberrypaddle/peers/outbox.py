"""A bounded queue of messages to one peer that drops the oldest when full."""

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
    """Queue of messages that wait for the next envelope.

    Control messages are repeated or their loss is repaired later, so if a
    peer is slow, the newest messages are more valuable than the oldest.
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
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: PackedMessage) -> None:
        """Queues a message, then drops the oldest until the limits hold."""
        self._messages.append(message)
        self._size_bytes += message.ByteSize()
        while (
            len(self._messages) > self._max_messages
            or self._size_bytes > self._max_bytes
        ):
            self._pop_oldest()
            self._counters.dropped_messages += 1
        self._not_empty.set()

    async def wait(self) -> None:
        """Waits until a message is queued."""
        while not self._messages:
            self._not_empty.clear()
            await self._not_empty.wait()

    def take_batch(self) -> list[PackedMessage]:
        """Removes and returns the messages of one envelope, oldest first.

        The batch has at most MAX_BATCH_BYTES, unless its first message alone
        is larger.
        """
        batch: list[PackedMessage] = []
        size_bytes = 0
        while self._messages:
            size_bytes += self._messages[0].ByteSize()
            if batch and size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(self._pop_oldest())
        return batch

    def _pop_oldest(self) -> PackedMessage:
        """Removes the oldest message and its size."""
        message = self._messages.popleft()
        self._size_bytes -= message.ByteSize()
        return message
