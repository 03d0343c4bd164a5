"""What of an answer is kept for a resend of the same request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.claims import KeptAnswer
from mulberrypaddle.frontdoor.relay import RelayMode

if TYPE_CHECKING:
    from mulberrypaddle.frontdoor.relay import Relay


def kept_answer(relay: Relay) -> KeptAnswer | None:
    """Returns a small whole answer, or None if there is none to keep.

    Args:
        relay: The relay of a request whose attempts have ended.
    """
    head = relay.head
    if head is None or relay.mode is not RelayMode.COLLECT:
        return None
    return KeptAnswer(head.status, head.content_type, relay.collected)
