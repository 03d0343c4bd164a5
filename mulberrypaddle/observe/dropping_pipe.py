"""Non-blocking writer of log lines to a pipe whose reader may stall."""

from __future__ import annotations

import os
import select

# A write of at most this size to a pipe that polls as writable never blocks.
ATOMIC_WRITE_BYTES = select.PIPE_BUF


class DroppingPipe:
    """Writes lines to a pipe and drops those for which it has no space.

    Once there is space again, a line reports how many were dropped. Lines
    longer than `ATOMIC_WRITE_BYTES` are truncated.

    Attributes:
        dropped: Number of dropped lines that no line has reported yet.
    """

    __slots__ = ("_descriptor", "_poll", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes one line, or drops it if the write would block.

        Returns:
            Length of the text, or 0 if it was dropped.
        """
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
        """Does nothing; lines aren't buffered."""

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))
