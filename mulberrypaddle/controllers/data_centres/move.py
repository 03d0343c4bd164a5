"""Whether the other data centres can carry the work of one that leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import DataCentreState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from mulberrypaddle.blackboard.values import Configuration, RunnerTable
    from mulberrypaddle.core.fleet import Runner

# Share of the remaining slots that may be taken after a move.
SAFE_SHARE = 0.95
# Share of the present slots taken to be in use where no load is known.
ASSUMED_SHARE = 0.6


class ServiceMargin:
    """Slots of one service before and after a move.

    Attributes:
        service: Which service.
        present_slots: In data centres that are in now.
        remaining_slots: In data centres that are in after the move.
        demand_requests: Requests in hand that the remaining ones must bear.
    """

    __slots__ = (
        "demand_requests",
        "present_slots",
        "remaining_slots",
        "service",
    )

    def __init__(
        self,
        service: str,
        *,
        present_slots: int,
        remaining_slots: int,
        demand_requests: int,
    ) -> None:
        self.service = service
        self.present_slots = present_slots
        self.remaining_slots = remaining_slots
        self.demand_requests = demand_requests

    @property
    def is_safe(self) -> bool:
        """Returns whether the remaining slots bear the demand."""
        if self.present_slots > 0 and self.remaining_slots == 0:
            return False
        return self.demand_requests <= SAFE_SHARE * self.remaining_slots


class MoveAdvice:
    """What a move that is safe leaves of each service.

    Attributes:
        data_centre: Which data centre is to leave.
        margins: One for each service with runners there.
    """

    __slots__ = ("data_centre", "margins")

    def __init__(
        self, data_centre: str, margins: tuple[ServiceMargin, ...]
    ) -> None:
        self.data_centre = data_centre
        self.margins = margins


def reported_load(table: RunnerTable) -> dict[str, int]:
    """Returns requests in hand by service, as far as runners report them."""
    load: dict[str, int] = {}
    for runner_id, report in table.reports.items():
        runner = table.runners.get(runner_id)
        if runner is None:
            continue
        load[runner.service] = (
            load.get(runner.service, 0) + report.running_requests
        )
    return load


def check_move(
    configuration: Configuration,
    runners: Iterable[Runner],
    load: Mapping[str, int],
    data_centre: str,
) -> Result[MoveAdvice, Problem]:
    """Returns whether a data centre can leave without a loss of service.

    Args:
        configuration: In force.
        runners: Runners that may be routed to; groups that do not serve
            whole are not among them.
        load: Requests in hand by service. Where a service is missing, what
            its contracts allow is taken, up to a share of the present slots.
        data_centre: Which one is to leave.

    Returns:
        The margins, or UNSAFE_MOVE with each service that would suffer.
    """
    state = configuration.data_centres.get(data_centre)
    if state is DataCentreState.OUT:
        return Success(MoveAdvice(data_centre, ()))
    present: dict[str, int] = {}
    remaining: dict[str, int] = {}
    touched = set()
    for runner in runners:
        state = configuration.data_centres.get(runner.data_centre)
        if runner.leaving or state is DataCentreState.OUT:
            continue
        name = runner.service
        present[name] = present.get(name, 0) + runner.slots
        if runner.data_centre == data_centre:
            touched.add(name)
            continue
        remaining[name] = remaining.get(name, 0) + runner.slots
    margins = []
    for name in sorted(touched):
        margins.append(
            ServiceMargin(
                name,
                present_slots=present[name],
                remaining_slots=remaining.get(name, 0),
                demand_requests=_demand(
                    configuration, name, load, present[name]
                ),
            )
        )
    unsafe = [margin for margin in margins if not margin.is_safe]
    if unsafe:
        return Failure(_unsafe_move(data_centre, unsafe))
    return Success(MoveAdvice(data_centre, tuple(margins)))


def _demand(
    configuration: Configuration,
    service: str,
    load: Mapping[str, int],
    present_slots: int,
) -> int:
    if service in load:
        return load[service]
    contracted = 0
    for contract in configuration.contracts.values():
        terms = contract.terms.get(service)
        if terms is not None:
            contracted += terms.in_flight_requests
    return min(contracted, int(ASSUMED_SHARE * present_slots))


def _unsafe_move(data_centre: str, unsafe: list[ServiceMargin]) -> Problem:
    details = []
    for margin in unsafe:
        details.append(
            f"{margin.service} has {margin.demand_requests} requests in hand, "
            f"{margin.remaining_slots} of {margin.present_slots} slots remain"
        )
    return Problem(
        ErrorKind.UNSAFE_MOVE,
        f"the others can't carry the work of {data_centre!r}: "
        + "; ".join(details)
        + "; an override accepts it all the same",
    )
