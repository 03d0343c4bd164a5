"""Interface for sending orders to runners and reading their reports."""

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
            entry: The runner, as it last reported.
            order: Order to send.
            fence: Fencing token of the sender's lease.
            may_send: Called once the connection is open, just before the order
                is sent, which it prevents by returning False: the sender's
                lease may have ended meanwhile.

        Returns:
            The runner's answer; after a failure it is unknown whether the
            runner carries out the order.
        """

    @abc.abstractmethod
    async def report(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[Any, Problem]:
        """Requests a runner's report and returns it undecoded.

        Args:
            entry: The runner.
            limit_seconds: Timeout of the request.
        """
