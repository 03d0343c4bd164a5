"""What the handlers of the front door share."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.stream_memory import StreamMemory
    from mulberrypaddle.frontdoor.pipeline import Pipeline
    from mulberrypaddle.settings import RouterSettings


class FrontDoor:
    """What the handlers share.

    Attributes:
        context: The router's context, with its blackboard.
        memory: Budget of answer bytes.
        pipeline: Answers checked requests.
        settings: Bounds of this process.
    """

    __slots__ = ("_numbers", "context", "memory", "pipeline", "settings")

    def __init__(
        self,
        *,
        context: Context,
        memory: StreamMemory,
        pipeline: Pipeline,
        settings: RouterSettings,
    ) -> None:
        self.context = context
        self.memory = memory
        self.pipeline = pipeline
        self.settings = settings
        self._numbers = itertools.count(1)

    def next_request_id(self) -> str:
        """Returns an id that no other request of the fleet has."""
        context = self.context
        number = next(self._numbers)
        return f"r-{context.member_id}-{context.incarnation}-{number}"
