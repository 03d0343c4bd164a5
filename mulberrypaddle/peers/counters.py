"""Counters of the traffic between routers."""

from __future__ import annotations


class LinkCounters:
    """Totals over all links of one router.

    Attributes:
        sent_bytes: Bytes of the serialized envelopes sent.
        sent_messages: Messages in the envelopes sent.
        received_bytes: Bytes of the serialized envelopes accepted.
        received_messages: Messages of known types received and parsed.
        dropped_messages: Messages discarded unsent, because the queue was
            full or the receiver is not a member.
        refused_envelopes: Envelopes refused because the certificate does not
            name the sender or the incarnation is outdated, and messages that
            could not be parsed.
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
