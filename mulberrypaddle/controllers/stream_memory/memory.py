"""One budget of answer bytes for a process, shared by organisation.

The share of an organisation is a multiple of what is still free, so that
one alone can use most of the budget and still leaves room for the next.
Source: Choudhury and Hahne, "Dynamic Queue Length Thresholds in a
Shared-Memory Packet Switch", 1998.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.stream_memory.stream import (
    RECEIVE_BUFFER_BYTES,
    AnswerStream,
    OrganisationShare,
)
from mulberrypaddle.core import invariants

if TYPE_CHECKING:
    from mulberrypaddle.controllers.stream_memory.stream import StreamListener

# One organisation may hold up to this multiple of the free bytes.
SHARE_OF_FREE = 4.0

# Reserves may take this part of the budget; were it all of it, no stream
# could hold a byte and none would ever end.
RESERVED_PART = 0.5

STALL_CHECK_SECONDS = 0.5


class StreamMemory(Controller):
    """Decides which sender may go on, which waits and which is cancelled.

    Attributes:
        budget_bytes: Most bytes charged for all streams.
        charged_bytes: Bytes charged now.
        peak_bytes: Most bytes ever charged.
        peak_reader_bytes: Most bytes ever charged for one stream.
        sheds: Streams that were cut back to their offset, counted.
        stalls: Streams that were ended because of their reader, counted.
    """

    name = "stream_memory"

    def __init__(self, context: Context, *, budget_bytes: int) -> None:
        super().__init__(context)
        self.budget_bytes = budget_bytes
        self.charged_bytes = 0
        self.peak_bytes = 0
        self.peak_reader_bytes = 0
        self.sheds = 0
        self.stalls = 0
        self._reserved_bytes = 0
        self._streams: dict[AnswerStream, None] = {}
        self._shares: dict[str, OrganisationShare] = {}
        self._short: dict[AnswerStream, None] = {}
        self._next_stall_check_seconds = 0.0

    def open(
        self,
        organisation: str,
        *,
        window_bytes: int,
        stall_seconds: float,
        can_shed: bool,
        listener: StreamListener,
    ) -> AnswerStream:
        """Registers a stream that holds and reserves nothing yet."""
        share = self._shares.get(organisation)
        if share is None:
            share = OrganisationShare(organisation)
            self._shares[organisation] = share
        stream = AnswerStream(
            share,
            window_bytes=window_bytes,
            stall_seconds=stall_seconds,
            can_shed=can_shed,
            listener=listener,
        )
        self._streams[stream] = None
        share.streams += 1
        return stream

    def reserve(self, stream: AnswerStream, *, waits: bool = False) -> bool:
        """Sets aside the receive buffer before a sender starts.

        Args:
            stream: The stream.
            waits: Whether `on_memory_available` is to be called later if it was
                not.

        Returns:
            Whether it was set aside.
        """
        if stream.reserved_bytes:
            return True
        reserved_bytes = self._reserved_bytes + RECEIVE_BUFFER_BYTES
        if (
            reserved_bytes > self.budget_bytes * RESERVED_PART
            or not self._allows(stream, RECEIVE_BUFFER_BYTES)
        ):
            if waits:
                self._wait(stream, RECEIVE_BUFFER_BYTES)
            return False
        self._reserved_bytes = reserved_bytes
        stream.reserved_bytes = RECEIVE_BUFFER_BYTES
        self._charge(stream, RECEIVE_BUFFER_BYTES)
        return True

    def unreserve(self, stream: AnswerStream) -> None:
        """Gives the receive buffer back once the sender has ended."""
        reserved_bytes = stream.reserved_bytes
        self._reserved_bytes -= reserved_bytes
        stream.reserved_bytes = 0
        stream.wanted_bytes = 0
        self._short.pop(stream, None)
        self._charge(stream, -reserved_bytes)
        self._wake_short()

    def accept(
        self, stream: AnswerStream, size_bytes: int, *, needed: bool = False
    ) -> bool:
        """Asks to hold the next bytes of an answer.

        Args:
            stream: The stream.
            size_bytes: Size of the next bytes.
            needed: Whether nothing can be sent to the reader without them;
                then the stream's whole window counts, not its share.

        Returns:
            Whether they may be held; if not, the sender must pause until
            `on_memory_available` is called.
        """
        window_bytes = self._window_of(stream)
        if needed:
            window_bytes = stream.window_bytes
        if not stream.fits(size_bytes, window_bytes=window_bytes):
            stream.wanted_bytes = size_bytes
            return False
        if not self._allows(stream, size_bytes):
            self._wait(stream, size_bytes)
            return False
        stream.wanted_bytes = 0
        stream.held_bytes += size_bytes
        self._charge(stream, size_bytes)
        return True

    def blocked(self, stream: AnswerStream) -> None:
        """Notes that bytes wait for the caller's socket."""
        stream.blocked_since_seconds = self.context.now_seconds()

    def drained(self, stream: AnswerStream, size_bytes: int) -> None:
        """Notes that the caller's socket took bytes."""
        stream.blocked_since_seconds = None
        self.dropped(stream, size_bytes)

    def dropped(self, stream: AnswerStream, size_bytes: int) -> None:
        """Notes that bytes are held no more."""
        stream.held_bytes -= size_bytes
        self._charge(stream, -size_bytes)
        if stream.wanted_bytes and stream not in self._short:
            self._wake(stream)
        self._wake_short()

    def close(self, stream: AnswerStream) -> None:
        """Forgets a stream with all that it holds."""
        if stream not in self._streams:
            return
        del self._streams[stream]
        self._short.pop(stream, None)
        self._charge(stream, -stream.charged_bytes)
        self._reserved_bytes -= stream.reserved_bytes
        stream.held_bytes = 0
        stream.reserved_bytes = 0
        stream.share.streams -= 1
        if stream.share.streams == 0:
            del self._shares[stream.share.organisation]
        self._wake_short()

    def step(self, now_seconds: float) -> None:
        """Ends streams whose reader takes nothing."""
        if now_seconds < self._next_stall_check_seconds:
            return
        self._next_stall_check_seconds = now_seconds + STALL_CHECK_SECONDS
        for stream in list(self._streams):
            since_seconds = stream.blocked_since_seconds
            if since_seconds is None:
                continue
            if now_seconds - since_seconds < stream.stall_seconds:
                continue
            self.stalls += 1
            stream.blocked_since_seconds = None
            stream.listener.stalled()

    def _charge(self, stream: AnswerStream, size_bytes: int) -> None:
        self.charged_bytes += size_bytes
        stream.share.charged_bytes += size_bytes
        if size_bytes > 0:
            self._note_peaks(stream)
        if 0 <= self.charged_bytes <= self.budget_bytes:
            return
        invariants.check(
            False,
            invariants.Invariant.ANSWER_MEMORY,
            f"{self.charged_bytes} bytes charged of {self.budget_bytes}",
        )

    def _window_of(self, stream: AnswerStream) -> int:
        """Returns the stream's window, less when many share the budget.

        Organisations with open streams share alike, and so do the streams
        of one organisation.
        """
        sharers = len(self._shares) * stream.share.streams
        share_bytes = self.budget_bytes // max(sharers, 1)
        return min(
            stream.window_bytes, max(share_bytes, 2 * RECEIVE_BUFFER_BYTES)
        )

    def _note_peaks(self, stream: AnswerStream) -> None:
        charged_bytes = stream.held_bytes + stream.reserved_bytes
        if charged_bytes > stream.peak_bytes:
            stream.peak_bytes = charged_bytes
        if charged_bytes > self.peak_reader_bytes:
            self.peak_reader_bytes = charged_bytes
        if self.charged_bytes > self.peak_bytes:
            self.peak_bytes = self.charged_bytes

    def _allows(self, stream: AnswerStream, size_bytes: int) -> bool:
        free_bytes = self.budget_bytes - self.charged_bytes
        if size_bytes > free_bytes:
            return False
        share_bytes = stream.share.charged_bytes + size_bytes
        return share_bytes <= SHARE_OF_FREE * free_bytes

    def _wait(self, stream: AnswerStream, size_bytes: int) -> None:
        stream.wanted_bytes = size_bytes
        self._short[stream] = None
        victim = self._pick_victim()
        if victim is None:
            return
        self.sheds += 1
        self.dropped(victim, victim.listener.shed())

    def _pick_victim(self) -> AnswerStream | None:
        """Returns the blocked stream that holds most of the largest share."""
        best: AnswerStream | None = None
        best_rank = (0, 0)
        for stream in self._streams:
            if not stream.can_shed or not stream.reserved_bytes:
                continue
            if stream.blocked_since_seconds is None:
                continue
            rank = (
                stream.share.charged_bytes,
                stream.held_bytes,
            )
            if rank > best_rank:
                best = stream
                best_rank = rank
        return best

    def _wake(self, stream: AnswerStream) -> None:
        window_bytes = self._window_of(stream)
        if not stream.has_drained(window_bytes=window_bytes):
            return
        stream.wanted_bytes = 0
        stream.listener.on_memory_available()

    def _wake_short(self) -> None:
        """Lets waiting streams go on, smallest share first."""
        if not self._short:
            return
        waiting = sorted(
            self._short,
            key=lambda stream: stream.share.charged_bytes,
        )
        free_bytes = self.budget_bytes - self.charged_bytes
        for stream in waiting:
            free_bytes -= stream.wanted_bytes
            if free_bytes < 0:
                return
            if not self._allows(stream, stream.wanted_bytes):
                continue
            self._short.pop(stream, None)
            self._wake(stream)
