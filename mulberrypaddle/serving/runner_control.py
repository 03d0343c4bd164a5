"""The narrow base of control over runners."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.replicas.orders import GroupOrder


class OrderOutcome(enum.Enum):
    """What a runner says of an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    UNFIT = "unfit"
    OUTDATED = "outdated"
    OTHER_RUNNER = "other_runner"


class RunnerControl(abc.ABC):
    """Sends orders to runners and asks for their reports."""

    @abc.abstractmethod
    async def order(
        self,
        entry: RunnerEntry,
        order: GroupOrder,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[OrderOutcome, Problem]:
        """Sends one order.

        Args:
            entry: The runner, with the count of orders that it last told.
            order: What it is to do.
            fence: Fencing token of the sender's ownership.
            may_send: Asked once the connection stands, just before the order
                leaves: the right to give it may have run out meanwhile.

        Returns:
            The runner's word; a failure leaves open whether it was taken.
        """

    @abc.abstractmethod
    async def report(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[Any, Problem]:
        """Asks a runner for its report, undecoded.

        Args:
            entry: The runner.
            limit_seconds: How long its answer is waited for.
        """
