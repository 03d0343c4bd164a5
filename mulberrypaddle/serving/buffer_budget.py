"""Bounds the bytes that this process holds for all calls together.

Each call is bounded by itself, but hundreds of them may hold megabytes at a
time: answers of faulty runners that never end, answers that slow callers don't
read, and bodies of requests. Whoever buffers such bytes tells a budget how many
they are. When their sum would exceed the limit, the budget ends the holder of
the most bytes, so that sound calls, which hold little, go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Parts of the VM's memory that answers and bodies of requests may take.
ANSWER_MEMORY_SHARE = 0.25
REQUEST_MEMORY_SHARE = 0.125

BYTES_PER_MEGABYTE = 1_048_576


class HeldBytes:
    """The bytes that one call holds.

    Attributes:
        count: Number of bytes.
    """

    __slots__ = ("_budget", "_ended", "_evict", "count")

    def __init__(self, budget: BufferBudget, evict: Callable[[], None]) -> None:
        self._budget = budget
        self._evict: Callable[[], None] | None = evict
        self._ended = False
        self.count = 0

    @property
    def is_evictable(self) -> bool:
        """Returns whether the call can be ended to free its bytes."""
        return self._evict is not None

    def pin(self) -> None:
        """Records that the call can no longer be ended for its bytes."""
        self._evict = None

    def resize(self, count: int) -> bool:
        """Records how many bytes the call holds from now on.

        Args:
            count: Number of bytes.

        Returns:
            Whether the call may go on; if not, it has been evicted.
        """
        if self._ended:
            return False
        self._budget.resize(self, count)
        return not self._ended

    def release(self) -> None:
        """Records that the call holds no more bytes; later ones don't count."""
        if not self._ended:
            self._budget.resize(self, 0)
            self._ended = True

    def evict(self) -> None:
        """Ends the call so that it frees its bytes."""
        evict = self._evict
        self.release()
        if evict is not None:
            evict()


class BufferBudget:
    """The bytes that all calls of one kind hold.

    Attributes:
        limit_bytes: Most bytes that they may hold.
        held_bytes: Bytes that they hold.
        evicted_count: Number of calls that were ended to free bytes.
    """

    __slots__ = ("_holders", "evicted_count", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        # Holders of at least one byte, in the order in which they began to.
        self._holders: dict[HeldBytes, None] = {}
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.evicted_count = 0

    def open(self, evict: Callable[[], None]) -> HeldBytes:
        """Returns the account of a new call, which holds no bytes yet.

        Args:
            evict: Ends the call; it must free the bytes soon.
        """
        return HeldBytes(self, evict)

    def resize(self, holder: HeldBytes, count: int) -> None:
        """Sets the bytes of a holder, and evicts others or itself if needed.

        Args:
            holder: Account of the call.
            count: Number of bytes that it holds from now on.
        """
        is_growing = count > holder.count
        self.held_bytes += count - holder.count
        holder.count = count
        if count:
            self._holders.setdefault(holder)
        else:
            self._holders.pop(holder, None)
        while is_growing and self.held_bytes > self.limit_bytes:
            largest = self._largest()
            if largest is None:
                return
            self.evicted_count += 1
            largest.evict()

    def _largest(self) -> HeldBytes | None:
        """Returns the call that holds most, the newest of equal ones."""
        largest: HeldBytes | None = None
        for holder in self._holders:
            if not holder.is_evictable:
                continue
            if largest is None or holder.count >= largest.count:
                largest = holder
        return largest
