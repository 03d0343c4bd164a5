"""The I/O-free core of one router: steps its controllers in order."""

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

# A longer gap between steps is treated as a pause of the process, after which
# the state of the controllers may be stale.
PAUSE_SECONDS = 1.0


class Node:
    """Steps the controllers of one router and delivers peer messages to them.

    Attributes:
        context: Context that the controllers share.
        controllers: The controllers, in the order in which they are stepped.
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
        """Steps every controller once, after reporting any pause to them."""
        now_seconds = self.context.now_seconds()
        self._handle_pause(now_seconds)
        self._last_step_seconds = now_seconds
        for controller in self.controllers:
            self._run_isolated(
                controller, functools.partial(controller.step, now_seconds)
            )

    def receive(self, sender: str, message: Message) -> None:
        """Delivers a peer's message to the controller that handles its type.

        Args:
            sender: The peer's member id.
            message: The message; unknown types are ignored, since a newer
                router may send them during an upgrade.
        """
        now_seconds = self.context.now_seconds()
        self._handle_pause(now_seconds)
        controller = self._receivers.get(type(message))
        if controller is None:
            return
        self._run_isolated(
            controller,
            functools.partial(controller.receive, sender, message, now_seconds),
        )

    def stop(self) -> None:
        """Starts a graceful stop in every controller."""
        now_seconds = self.context.now_seconds()
        for controller in self.controllers:
            controller.stop(now_seconds)

    def _handle_pause(self, now_seconds: float) -> None:
        """Reports a pause to the controllers before they act on stale state."""
        if self._last_step_seconds is None:
            return
        gap_seconds = now_seconds - self._last_step_seconds
        if gap_seconds <= PAUSE_SECONDS:
            return
        self._last_step_seconds = now_seconds
        for controller in self.controllers:
            controller.handle_pause(gap_seconds, now_seconds)

    def _run_isolated(
        self, controller: Controller, call: Callable[[], None]
    ) -> None:
        """Runs a call of one controller and logs its exception.

        The other controllers thus continue. Under test the exception is
        raised, so that no fault stays unnoticed.
        """
        try:
            call()
        except Exception:
            if invariants.raises_on_breach():
                raise
            _LOGGER.exception(
                "controller_failed", extra={"controller": controller.name}
            )
