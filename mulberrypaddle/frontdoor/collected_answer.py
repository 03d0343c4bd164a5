"""Answers that are stored and replayed if the same request is resent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.claims import StoredAnswer
from mulberrypaddle.frontdoor.relay import RelayMode

if TYPE_CHECKING:
    from mulberrypaddle.frontdoor.relay import Relay


def collected_answer(relay: Relay) -> StoredAnswer | None:
    """Returns a small complete answer to be stored for replay.

    Args:
        relay: The relay of a request whose attempts have ended.

    Returns:
        The answer, or None if it was streamed or there is none.
    """
    head = relay.head
    if head is None or relay.mode is not RelayMode.COLLECT:
        return None
    return StoredAnswer(head.status, head.content_type, relay.collected_body)
