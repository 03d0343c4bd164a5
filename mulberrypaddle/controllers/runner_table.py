"""The table of runners that may be routed to."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ListObjects, Priority, StoredObject, keys
from mulberrypaddle.blackboard.tables import RunnerTable
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.core.fleet import Runner, ServiceKind

if TYPE_CHECKING:
    from mulberrypaddle.core.errors import Problem

RUNNER_PREFIX = "runners/"
REFRESH_SECONDS = 1.0


class RunnerTableController(Controller):
    """Reads the runners' objects onto the blackboard."""

    name = "runner_table"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._next_read_seconds = 0.0
        self._reading = False

    def step(self, now_seconds: float) -> None:
        """Reads the objects when the last read is old."""
        if self._reading or now_seconds < self._next_read_seconds:
            return
        self._reading = True
        self.context.board.intents.append(
            ListObjects(
                RUNNER_PREFIX, priority=Priority.CONFIG, reply=self._listed
            )
        )

    def _listed(self, result: Result[list[StoredObject], Problem]) -> None:
        now_seconds = self.context.now_seconds()
        self._reading = False
        self._next_read_seconds = now_seconds + REFRESH_SECONDS
        if not isinstance(result, Success):
            return
        runners = {}
        for stored in result.unwrap():
            runner = parse_runner(stored)
            runners[runner.runner_id] = runner
        self.context.board.write(
            keys.RUNNERS,
            RunnerTable(runners=runners, reports={}),
            writer=self.name,
            now_seconds=now_seconds,
        )


def parse_runner(stored: StoredObject) -> Runner:
    """Returns the runner that an object describes."""
    value = json.loads(stored.value)
    return Runner(
        stored.key.removeprefix(RUNNER_PREFIX),
        service=value["service"],
        kind=ServiceKind(value["kind"]),
        address=value["address"],
        data_centre=value["data_centre"],
        fabric_domain=value.get("fabric_domain", ""),
        slots=value.get("slots", 16),
        memory_tokens=value.get("memory_tokens", 262_144),
        cold_slots=value.get("cold_slots", 2),
    )
