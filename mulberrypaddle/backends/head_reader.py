"""Reads the heads of one answer as curl passes them on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.backends.response_head import HeadParser, InvalidHeadError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends.response_head import ResponseHead


class HeadReader:
    """Passes on the head of an answer once all of it is known to be sound.

    Attributes:
        error: Why the answer can't be used; empty if nothing was wrong so far.
        received_bytes: Bytes of all lines so far, also of interim heads and of
            trailers.
    """

    __slots__ = ("_on_head", "_on_size", "_parser", "error", "received_bytes")

    def __init__(
        self,
        on_head: Callable[[ResponseHead], bool],
        *,
        on_size: Callable[[int], bool] = lambda _: True,
        has_heads_behind: bool = False,
    ) -> None:
        """Prepares the reader of an answer.

        Args:
            on_head: Called with the head. Returns whether to go on; if not,
                the transfer ends.
            on_size: Called with the bytes that are held of a head, each time
                that there may be more. Returns whether to go on.
            has_heads_behind: As `HeadParser`; `on_head` is then called for
                each of the heads.
        """
        self._on_head = on_head
        self._on_size = on_size
        self._parser = HeadParser(has_heads_behind=has_heads_behind)
        self.error = ""
        self.received_bytes = 0

    @property
    def head(self) -> ResponseHead | None:
        """Returns the head; None before all of it was received."""
        return self._parser.head

    def read_line(self, line: bytes) -> int | None:
        """Parses a line; curl's HEADERFUNCTION.

        Returns:
            None to go on, or 0 to end the transfer.
        """
        self.received_bytes += len(line)
        try:
            head = self._parser.feed(line)
        except InvalidHeadError as error:
            self.error = str(error)
            return 0
        if not self._on_size(self._parser.held_bytes):
            self.error = "too many bytes are buffered"
            return 0
        if head is not None and not self._on_head(head):
            return 0
        return None
