"""Interface for sending commands to runners and fetching their status.

An order is a command to a runner, such as to join a group. A report is a
runner's answer about its current state.
"""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.fleet import GroupMembership, RunnerEntry
    from mulberrypaddle.fleet.announcement import RunnerAnnouncement
    from mulberrypaddle.replicas.orders import GroupOrder


class OrderOutcome(enum.Enum):
    """How a runner answered an order.

    Attributes:
        STARTED: It started to carry out the order.
        ALREADY_IN_EFFECT: The ordered state is already in effect.
        UNFIT: Its present state does not allow the order.
        OUTDATED: The order is based on outdated state, such as an old fencing
            token.
        OTHER_RUNNER: Another runner answers at that address now.
    """

    STARTED = "begun"
    ALREADY_IN_EFFECT = "holds"
    UNFIT = "unfit"
    OUTDATED = "outdated"
    OTHER_RUNNER = "other_runner"


class RunnerControl(abc.ABC):
    """Sends orders (commands) to runners and fetches their status reports.

    Attributes:
        on_announcement: Called with the entry of the addressed runner and with
            what each answer says about the runner.
    """

    def __init__(self) -> None:
        self.on_announcement: Callable[
            [RunnerEntry, RunnerAnnouncement], None
        ] = lambda entry, announcement: None

    @abc.abstractmethod
    async def send_order(
        self,
        entry: RunnerEntry,
        order: GroupOrder,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[OrderOutcome, Problem]:
        """Sends one order (command) to a runner.

        Args:
            entry: The runner, as it last reported.
            order: Order to send.
            fence: Fencing token of the sender's lease.
            may_send: Called once the connection is open, just before the order
                is sent; False prevents that. The sender's lease may have
                expired while it connected.

        Returns:
            The runner's answer; after a failure it is unknown whether the
            runner carries out the order.
        """

    @abc.abstractmethod
    async def fetch_report(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[Any, Problem]:
        """Fetches a runner's report on its state, as undecoded JSON.

        Args:
            entry: The runner.
            limit_seconds: Timeout of the whole call.
        """

    @abc.abstractmethod
    async def fetch_membership(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[GroupMembership | None, Problem]:
        """Asks a runner which group it is in.

        Args:
            entry: The runner.
            limit_seconds: Timeout of the whole call.

        Returns:
            Its membership, which may be some hundred milliseconds old; None if
            it is in no group. The problem is `RUNNER_REFUSED` if it answered
            otherwise.
        """
