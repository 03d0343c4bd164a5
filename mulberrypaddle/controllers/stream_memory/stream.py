"""One answer on its way to a caller, as the memory controller sees it."""

from __future__ import annotations

import abc

# Most answer bytes held for one reader, whatever its contract says.
WINDOW_BYTES = 65_536

# The client may hold one receive buffer of a paused transfer; each stream
# with a sender reserves this much of its window.
RECEIVE_BUFFER_BYTES = 8_192


class StreamListener(abc.ABC):
    """Carries out what the memory controller decides about a stream."""

    @abc.abstractmethod
    def on_memory_available(self) -> None:
        """There is room again: the sender may go on."""

    @abc.abstractmethod
    def stalled(self) -> None:
        """The reader took nothing for too long: the stream ends."""

    @abc.abstractmethod
    def shed(self) -> int:
        """Memory is short: drops what can be generated again.

        Returns:
            Bytes that were dropped.
        """


class OrganisationShare:
    """What the streams of one organisation hold together.

    Attributes:
        organisation: Whose share it is.
        charged_bytes: Bytes held and reserved.
        streams: Streams that are open.
    """

    __slots__ = ("charged_bytes", "organisation", "streams")

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.charged_bytes = 0
        self.streams = 0


class AnswerStream:
    """Bytes held for one reader.

    Attributes:
        share: The organisation's share of the budget, which it uses.
        window_bytes: Most bytes held, the reserve included.
        stall_seconds: A reader that takes nothing for this long is ended.
        can_shed: Whether its runner can resume at an offset.
        listener: Carries out decisions.
        held_bytes: Taken from the sender and not yet in the caller's socket.
        reserved_bytes: Set aside for the sender's receive buffer.
        peak_bytes: Most bytes ever held, the reserve included.
        wanted_bytes: Size of the write that was refused last; zero if none.
        blocked_since_seconds: Since when the caller's socket takes nothing;
            None while nothing waits for it.
    """

    __slots__ = (
        "blocked_since_seconds",
        "can_shed",
        "held_bytes",
        "listener",
        "peak_bytes",
        "reserved_bytes",
        "share",
        "stall_seconds",
        "wanted_bytes",
        "window_bytes",
    )

    def __init__(
        self,
        share: OrganisationShare,
        *,
        window_bytes: int,
        stall_seconds: float,
        can_shed: bool,
        listener: StreamListener,
    ) -> None:
        self.share = share
        self.window_bytes = min(window_bytes, WINDOW_BYTES)
        self.stall_seconds = stall_seconds
        self.can_shed = can_shed
        self.listener = listener
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.peak_bytes = 0
        self.wanted_bytes = 0
        self.blocked_since_seconds: float | None = None

    @property
    def charged_bytes(self) -> int:
        """Returns what counts against the budget."""
        return self.held_bytes + self.reserved_bytes

    def fits(self, size_bytes: int, *, window_bytes: int) -> bool:
        """Returns whether a write stays within a window.

        A stream that holds nothing takes any write that the receive buffer
        can bring, so that a small window can't stop it for good.
        """
        if self.held_bytes == 0 and size_bytes <= RECEIVE_BUFFER_BYTES:
            return True
        return self.charged_bytes + size_bytes <= window_bytes

    def has_drained(self, *, window_bytes: int) -> bool:
        """Returns whether the sender may start again: half is free."""
        return self.held_bytes <= (window_bytes - self.reserved_bytes) // 2
