"""The I/O-free core of one router: its controllers in step."""

from __future__ import annotations

import functools
import logging
from typing import TYPE_CHECKING

from mulberrypaddle.core import invariants

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from google.protobuf.message import Message

    from mulberrypaddle.controllers.base import Context, Controller

_LOGGER = logging.getLogger("mulberrypaddle.node")

# A gap between steps that is longer than this is treated as a pause.
PAUSE_SECONDS = 1.0


class Node:
    """Steps the controllers of one router and hands them their messages.

    Attributes:
        context: Shared context of the controllers.
        controllers: In the order in which they are stepped.
    """

    __slots__ = ("_last_step_seconds", "_receivers", "context", "controllers")

    def __init__(
        self, context: Context, controllers: Sequence[Controller]
    ) -> None:
        self.context = context
        self.controllers = list(controllers)
        self._last_step_seconds: float | None = None
        self._receivers: dict[type[Message], Controller] = {}
        for controller in self.controllers:
            for message_type in controller.message_types:
                self._receivers[message_type] = controller

    def step(self) -> None:
        """Steps every controller once."""
        now_seconds = self.context.now_seconds()
        self._distrust_after_pause(now_seconds)
        self._last_step_seconds = now_seconds
        for controller in self.controllers:
            self._guard(
                controller, functools.partial(controller.step, now_seconds)
            )

    def receive(self, sender: str, message: Message) -> None:
        """Hands a peer's message to the controller that takes its type.

        Args:
            sender: The peer's member id.
            message: A message; unknown types are ignored, since a newer
                router may send them during an upgrade.
        """
        now_seconds = self.context.now_seconds()
        self._distrust_after_pause(now_seconds)
        controller = self._receivers.get(type(message))
        if controller is None:
            return
        self._guard(
            controller,
            functools.partial(controller.receive, sender, message, now_seconds),
        )

    def stop(self) -> None:
        """Begins a graceful stop in every controller."""
        now_seconds = self.context.now_seconds()
        for controller in self.controllers:
            controller.stop(now_seconds)

    def _distrust_after_pause(self, now_seconds: float) -> None:
        """Tells the controllers of a pause before anything else is done."""
        if self._last_step_seconds is None:
            return
        gap_seconds = now_seconds - self._last_step_seconds
        if gap_seconds <= PAUSE_SECONDS:
            return
        self._last_step_seconds = now_seconds
        for controller in self.controllers:
            controller.woke_up(gap_seconds, now_seconds)

    def _guard(self, controller: Controller, act: Callable[[], None]) -> None:
        """Keeps a fault of one controller from stopping the others.

        Under test the fault is raised, so that none goes unseen.
        """
        try:
            act()
        except Exception:
            if invariants.breaches_raise():
                raise
            _LOGGER.exception(
                "controller_failed", extra={"controller": controller.name}
            )
