"""Compares the bytes of an answer with those that curl has passed on.

curl joins a line that begins with a blank to the line before it, and passes on
neither of the two as it came. It also drops what comes behind the length of a
body. The kernel's count of received bytes shows the first. What curl logs as
received data, and what it has left unread, shows the second.
"""

from __future__ import annotations

from mulberrypaddle.backends.connection_bytes import (
    count_read_bytes,
    peek_unread_bytes,
)

# What an answer begins with.
_ANSWER_START = b"HTTP/"


class AnswerBytes:
    """Counts the bytes of one answer, as they came and as curl passes them on.

    Attributes:
        head_is_whole: Whether all lines of the head were passed on as they
            came; None while that isn't known. True if it can't be told.
    """

    __slots__ = (
        "_before_bytes",
        "_body_bytes",
        "_bytes_with_head",
        "_descriptor",
        "_length_bytes",
        "_surplus",
        "head_is_whole",
    )

    def __init__(self) -> None:
        self._descriptor: int | None = None
        # Bytes that were read from the connection before this answer.
        self._before_bytes: int | None = None
        # Bytes of the body that were read with the end of the head.
        self._bytes_with_head = 0
        # Length of the body; None if the head doesn't give it.
        self._length_bytes: int | None = None
        self._body_bytes = 0
        # First bytes behind the length of the body.
        self._surplus = b""
        self.head_is_whole: bool | None = None

    @property
    def is_done(self) -> bool:
        """Returns whether bytes of the body have nothing more to show."""
        return self.head_is_whole is not None and self._length_bytes is None

    @property
    def body_is_longer(self) -> bool:
        """Returns whether more of the body has come than its length tells.

        Bytes that begin another answer aren't a part of the body. Any others
        that a faulty runner adds can't be told from the rest of the body, and
        count as such.
        """
        start = self._surplus[: len(_ANSWER_START)]
        return not _ANSWER_START.startswith(start)

    def start(self, descriptor: int | None, *, is_new: bool) -> None:
        """Begins to count, just before the request is sent.

        Args:
            descriptor: The connection; None if it is not known.
            is_new: Whether nothing was read from the connection yet.
        """
        self._descriptor = descriptor
        if is_new:
            self._before_bytes = 0
        elif descriptor is not None:
            self._before_bytes = count_read_bytes(descriptor)

    def end_head(self, passed_bytes: int, *, length_bytes: int | None) -> None:
        """Compares the counts behind the last line of the head.

        Bytes of the body may have been read with it. curl logs these next.

        Args:
            passed_bytes: Bytes of the lines that curl has passed on.
            length_bytes: Length of the body; None if the head doesn't give it.
        """
        self._length_bytes = length_bytes
        self.head_is_whole = True
        if self._descriptor is None or self._before_bytes is None:
            return
        read_bytes = count_read_bytes(self._descriptor)
        if read_bytes is None:
            return
        # Below 0 if the kernel doesn't count, and says that none were read.
        self._bytes_with_head = read_bytes - self._before_bytes - passed_bytes
        if self._bytes_with_head > 0:
            self.head_is_whole = None
        elif length_bytes == 0:
            self._surplus = self._peek()

    def add_body(self, data: bytes) -> None:
        """Counts bytes of the body, as they came."""
        if self.head_is_whole is None:
            self.head_is_whole = len(data) == self._bytes_with_head
        self._body_bytes += len(data)
        if self._length_bytes is None or self._surplus:
            return
        surplus_bytes = self._body_bytes - self._length_bytes
        if surplus_bytes > 0:
            self._surplus = data[-surplus_bytes:]
        if surplus_bytes >= 0:
            self._surplus += self._peek()

    def _peek(self) -> bytes:
        """Returns unread bytes, as many as tell whether an answer begins."""
        if self._descriptor is None:
            return b""
        return peek_unread_bytes(self._descriptor, len(_ANSWER_START))
