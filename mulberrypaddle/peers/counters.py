"""What the links count."""

from __future__ import annotations


class LinkCounters:
    """Totals over all links of one router.

    Attributes:
        sent_bytes: Serialized envelopes written to streams.
        sent_messages: Messages in them.
        received_bytes: Serialized envelopes taken from streams.
        received_messages: Messages in them.
        dropped_messages: Messages that left a full queue unsent.
        refused_envelopes: Envelopes whose sender or incarnation was wrong.
    """

    __slots__ = (
        "dropped_messages",
        "received_bytes",
        "received_messages",
        "refused_envelopes",
        "sent_bytes",
        "sent_messages",
    )

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self.dropped_messages = 0
        self.refused_envelopes = 0
