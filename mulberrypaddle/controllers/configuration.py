"""Configuration in force: reads the platform's objects onto the blackboard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ListObjects, Priority, StoredObject, keys
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.settings.objects import parse_configuration

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.tables import Configuration
    from mulberrypaddle.core.errors import Problem

CONFIG_PREFIX = "config/"
REFRESH_SECONDS = 1.0


class ConfigurationController(Controller):
    """Keeps the highest version seen of every configuration object."""

    name = "configuration"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._objects: dict[str, StoredObject] = {}
        self._next_read_seconds = 0.0
        self._reading = False

    def step(self, now_seconds: float) -> None:
        """Reads the objects when the last read is old."""
        if self._reading or now_seconds < self._next_read_seconds:
            return
        self._reading = True
        self.context.board.intents.append(
            ListObjects(
                CONFIG_PREFIX, priority=Priority.CONFIG, reply=self._listed
            )
        )

    def _listed(self, result: Result[list[StoredObject], Problem]) -> None:
        now_seconds = self.context.now_seconds()
        self._reading = False
        self._next_read_seconds = now_seconds + REFRESH_SECONDS
        if not isinstance(result, Success):
            return
        for stored in result.unwrap():
            known = self._objects.get(stored.key)
            if known is not None and known.version >= stored.version:
                continue
            self._objects[stored.key] = stored
        self.context.board.write(
            keys.CONFIGURATION,
            self._in_force(),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def _in_force(self) -> Configuration:
        return parse_configuration(self._objects.values())
