"""Reads of entries, with an empty value before the first write."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import Configuration, RunnerTable

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.board import Board


def latest_configuration(board: Board) -> Configuration:
    """Returns the configuration in force, of any age; empty before the first.

    Args:
        board: Where to read it.
    """
    return board.latest(
        keys.CONFIGURATION,
        Configuration(contracts={}, services={}, data_centres={}, versions={}),
    )


def latest_runner_table(board: Board) -> RunnerTable:
    """Returns the routable runners, of any age; empty before the first write.

    Args:
        board: Where to read them.
    """
    return board.latest(keys.RUNNERS, RunnerTable(runners={}, reports={}))
