"""What must hold at the moment a request is given to a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.core.fleet import DataCentreState, Runner, ServiceKind
from mulberrypaddle.core.invariants import Invariant, check

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context


def check_dispatch(
    context: Context, runner: Runner, *, confirmed_generation: int
) -> None:
    """Asserts that a runner may get new work.

    The present blackboard is read, not what the choice was made from.

    Args:
        context: This router's context.
        runner: The chosen runner.
        confirmed_generation: Generation that its credit is for.
    """
    table = context.board.entry(keys.RUNNERS)
    known = None
    if table is not None:
        known = table.value.runners.get(runner.runner_id)
    check(
        known is not None and not known.leaving,
        Invariant.LEAVING_RUNNER,
        f"{runner.runner_id} is leaving or gone",
    )
    configuration = context.board.entry(keys.CONFIGURATION)
    state = None
    if configuration is not None:
        state = configuration.value.data_centres.get(runner.data_centre)
    check(
        state is not DataCentreState.OUT,
        Invariant.DATA_CENTRE_OUT,
        f"{runner.runner_id} stands in {runner.data_centre}, which is out",
    )
    if known is None or known.kind is not ServiceKind.ENGINE:
        return
    check(
        known.generation in (0, confirmed_generation),
        Invariant.GROUP_COMPLETE,
        f"{runner.runner_id}: generation {known.generation}, "
        f"confirmed {confirmed_generation}",
    )
