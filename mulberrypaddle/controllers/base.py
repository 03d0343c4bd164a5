"""The narrow base that every controller shares."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from mulberrypaddle.core.decision import Decision

if TYPE_CHECKING:
    import random

    from google.protobuf.message import Message

    from mulberrypaddle.blackboard import Board
    from mulberrypaddle.core.clock import Clock


class Context:
    """What a router gives to each of its controllers.

    Attributes:
        member_id: This router's name.
        incarnation: This process's incarnation.
        data_centre: Where this router stands.
        board: The blackboard.
        clock: Source of time.
        rng: Source of randomness, seeded under test.
    """

    __slots__ = (
        "board",
        "clock",
        "data_centre",
        "incarnation",
        "member_id",
        "rng",
    )

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        data_centre: str,
        board: Board,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.board = board
        self.clock = clock
        self.rng = rng

    def now_seconds(self) -> float:
        """Returns the monotonic time."""
        return self.clock.monotonic_seconds()

    def decide(
        self,
        kind: str,
        *,
        subject: str,
        outcome: str,
        reason: str,
        **fields: str,
    ) -> None:
        """Leaves a decision on the blackboard, to be logged as one line."""
        self.board.decisions.append(
            Decision(
                kind,
                subject=subject,
                outcome=outcome,
                reason=reason,
                at_wall_seconds=self.clock.wall_seconds(),
                fields=fields,
            )
        )


class Controller(abc.ABC):
    """Reads the blackboard, writes decisions and intents to it; no I/O.

    Attributes:
        name: Writer name on the blackboard.
        message_types: Types of peer messages that `receive` takes.
    """

    name: str = ""
    message_types: tuple[type[Message], ...] = ()

    def __init__(self, context: Context) -> None:
        self.context = context

    @abc.abstractmethod
    def step(self, now_seconds: float) -> None:
        """Acts on the blackboard's present state.

        Args:
            now_seconds: Monotonic time of this step.
        """

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message from a peer.

        Args:
            sender: The peer's member id, authenticated by the link.
            message: One of `message_types`.
            now_seconds: Monotonic time of receipt.
        """
        raise NotImplementedError(f"{self.name} takes no messages")

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Distrusts what a pause may have made stale.

        Args:
            gap_seconds: Length of the pause.
            now_seconds: Monotonic time after it.
        """

    def stop(self, now_seconds: float) -> None:
        """Begins a graceful stop: hands over, accepts nothing new."""
