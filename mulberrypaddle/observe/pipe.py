"""Lines to a pipe whose reader may stall."""

from __future__ import annotations

import os
import select

# A pipe that polls as writable takes this many bytes without blocking.
ATOMIC_WRITE_BYTES = select.PIPE_BUF


class DroppingPipe:
    """Writes lines while the reader keeps up and counts those it drops.

    Attributes:
        dropped: Lines that were dropped and not yet told of.
    """

    __slots__ = ("_descriptor", "_poll", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes one line, or drops it if that would block."""
        if not self._is_writable():
            self.dropped += 1
            return 0
        if self.dropped:
            note = f"event=log_lines_dropped count={self.dropped}\n"
            os.write(self._descriptor, note.encode())
            self.dropped = 0
            if not self._is_writable():
                self.dropped += 1
                return 0
        data = text.encode()
        if len(data) > ATOMIC_WRITE_BYTES:
            data = data[: ATOMIC_WRITE_BYTES - 1] + b"\n"
        os.write(self._descriptor, data)
        return len(text)

    def flush(self) -> None:
        """Does nothing; lines are written at once."""

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))
