"""Reads entries that are empty before they are first written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.tables import Configuration, RunnerTable

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.board import Board


def configuration_in_force(board: Board) -> Configuration:
    """Returns the configuration in force, whatever its age."""
    return board.latest(
        keys.CONFIGURATION,
        Configuration(contracts={}, services={}, data_centres={}, versions={}),
    )


def runner_table(board: Board) -> RunnerTable:
    """Returns the runners that may be routed to, whatever their age."""
    return board.latest(keys.RUNNERS, RunnerTable(runners={}, reports={}))
