"""Values that the quarantine controller takes, gives and keeps."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Result

from mulberrypaddle.core.errors import Problem

if TYPE_CHECKING:
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.peers.proto import strikes_pb2 as pb

GIVE_UP_SECONDS = 30.0


class Clearance:
    """What a request may do about its next attempt.

    Attributes:
        avoid: Runners that another suspect is on.
        turn_id: Id of a suspect's turn; empty for any other request.
    """

    __slots__ = ("avoid", "turn_id")

    def __init__(
        self, avoid: frozenset[str] = frozenset(), *, turn_id: str = ""
    ) -> None:
        self.avoid = avoid
        self.turn_id = turn_id


ClearanceReply = Callable[[Result[Clearance, Problem]], None]


class Waiting:
    """A suspect that waits for its turn."""

    __slots__ = (
        "asked",
        "deadline_at_seconds",
        "heard_at_seconds",
        "next_ask_seconds",
        "reply",
        "request_id",
    )

    def __init__(
        self,
        request: Request,
        asked: pb.TurnRequest,
        reply: ClearanceReply,
        now_seconds: float,
    ) -> None:
        self.request_id = request.request_id
        self.deadline_at_seconds = request.deadline_at_seconds
        self.asked = asked
        self.reply = reply
        self.heard_at_seconds = now_seconds
        self.next_ask_seconds = now_seconds


class Report:
    """A message that is repeated until the owner confirms it."""

    __slots__ = (
        "made_at_seconds",
        "message",
        "next_send_seconds",
        "until_seconds",
    )

    def __init__(
        self, message: pb.StrikeReport | pb.TurnEnd, now_seconds: float
    ) -> None:
        self.message = message
        self.made_at_seconds = now_seconds
        self.next_send_seconds = now_seconds
        self.until_seconds = now_seconds + GIVE_UP_SECONDS


class KnownSuspects:
    """What the owner told last of one service."""

    __slots__ = ("told_at_seconds", "until_seconds")

    def __init__(self, told_at_seconds: float) -> None:
        self.told_at_seconds = told_at_seconds
        # By fingerprint; at most the present where not in quarantine.
        self.until_seconds: dict[bytes, float] = {}
