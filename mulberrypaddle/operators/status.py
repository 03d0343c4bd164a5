"""Status tables that show the fleet as known to one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.latest import (
    latest_configuration,
    latest_runner_table,
)
from mulberrypaddle.blackboard.values import (
    FleetStatus,
)
from mulberrypaddle.controllers.duties import membership
from mulberrypaddle.core.fleet import DataCentreState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mulberrypaddle.controllers.base import Context


class StatusTable:
    """One table of the fleet status.

    Attributes:
        title: Name of the table.
        columns: Names of the columns.
        rows: One tuple of cells for each row, in the order of `columns`.
    """

    __slots__ = ("columns", "rows", "title")

    def __init__(
        self,
        title: str,
        columns: tuple[str, ...],
        rows: Sequence[tuple[str, ...]],
    ) -> None:
        self.title = title
        self.columns = columns
        self.rows = rows

    def to_json(self) -> list[dict[str, str]]:
        """Returns one JSON object for each row, by column name."""
        return [dict(zip(self.columns, row, strict=True)) for row in self.rows]


def _fleet_status(context: Context) -> FleetStatus:
    return context.board.latest(keys.FLEET_STATUS, FleetStatus((), {}))


def _services_table(context: Context) -> StatusTable:
    """Counts each service's runners that may and may not get requests."""
    board = context.board
    configuration = latest_configuration(board)
    ejected = board.latest(keys.EJECTED, {})
    rows = []
    for name, service in sorted(configuration.services.items()):
        routable = 0
        barred = 0
        for runner in latest_runner_table(board).runners.values():
            if runner.service != name:
                continue
            state = configuration.data_centres.get(runner.data_centre)
            out = state is DataCentreState.OUT
            if out or runner.leaving or runner.runner_id in ejected:
                barred += 1
                continue
            routable += 1
        rows.append((name, service.kind.value, str(routable), str(barred)))
    columns = ("service", "kind", "runners_routable", "runners_barred")
    return StatusTable("services", columns, rows)


def _data_centres_table(context: Context) -> StatusTable:
    """Shows each data centre's state and number of runners."""
    board = context.board
    counts: dict[str, int] = {}
    for runner in latest_runner_table(board).runners.values():
        counts[runner.data_centre] = counts.get(runner.data_centre, 0) + 1
    rows = []
    for name, state in sorted(latest_configuration(board).data_centres.items()):
        rows.append((name, state.value, str(counts.get(name, 0))))
    return StatusTable(
        "data_centres", ("data_centre", "state", "runners"), rows
    )


def _organisations_table(context: Context) -> StatusTable:
    """Shows the contract terms of each organisation and service."""
    rows = []
    contracts = latest_configuration(context.board).contracts
    for name, contract in sorted(contracts.items()):
        for terms in contract.terms.values():
            rows.append(
                (
                    name,
                    terms.service,
                    str(terms.in_flight_requests),
                    terms.urgency.name.lower(),
                    str(contract.version),
                )
            )
    columns = (
        "organisation",
        "service",
        "in_flight_requests_allowed",
        "urgency",
        "version",
    )
    return StatusTable("organisations", columns, rows)


def _routers_table(context: Context) -> StatusTable:
    """Shows the routers in the current membership."""
    present = membership(context)
    rows = []
    for member_id, member in sorted(present.members.items()):
        rows.append(
            (
                member_id,
                member.data_centre,
                member.address,
                str(member.incarnation),
                str(present.epoch),
            )
        )
    columns = ("router", "data_centre", "address", "incarnation", "epoch")
    return StatusTable("routers", columns, rows)


def _replicas_table(context: Context) -> StatusTable:
    """Shows how many groups of each engine service serve and are wanted."""
    rows = []
    for name, status in sorted(_fleet_status(context).services.items()):
        rows.append(
            (
                name,
                str(status.serving),
                str(status.wanted),
                f"{status.downtime_seconds:.0f}",
                str(status.stranded_accelerators),
            )
        )
    columns = (
        "service",
        "groups_serving",
        "groups_wanted",
        "group_downtime_seconds",
        "stranded_accelerators",
    )
    return StatusTable("replicas", columns, rows)


def _groups_down_table(context: Context) -> StatusTable:
    """Shows the groups that are down, why, and what is done about it."""
    rows = []
    for group in _fleet_status(context).groups:
        rows.append(
            (
                group.group_id,
                group.service,
                group.fabric_domain,
                group.state,
                f"{group.down_seconds:.0f}",
                group.reason,
                group.next_step,
            )
        )
    columns = (
        "group",
        "service",
        "fabric_domain",
        "state",
        "down_seconds",
        "reason",
        "doing",
    )
    return StatusTable("groups_down", columns, rows)


_TABLE_BUILDERS = (
    _services_table,
    _replicas_table,
    _groups_down_table,
    _data_centres_table,
    _organisations_table,
    _routers_table,
)


def status_tables(context: Context) -> list[StatusTable]:
    """Returns all tables, as currently known to this router."""
    return [build_table(context) for build_table in _TABLE_BUILDERS]
