"""Orders that the group controller sends, and the lease that allows them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Success

from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.order_tracker import Directive
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving.group_controller import GroupController
from mulberrypaddle.serving.runner_control import OrderOutcome
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness

if TYPE_CHECKING:
    from collections.abc import Callable


class _DutyManager:
    """Holds the fencing token 7 for one data centre until a test drops it."""

    def __init__(self) -> None:
        self.held = {"south": 7}

    def fences(self) -> dict[str, int]:
        return self.held


class _RunnerControl:
    """Calls `may_send` before and after the lease is lost.

    Attributes:
        lease_checks: Results of these calls.
    """

    def __init__(self, duty_manager: _DutyManager) -> None:
        self._duty_manager = duty_manager
        self.lease_checks: list[bool] = []

    async def send_order(
        self,
        entry: object,
        order: object,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Any:
        self.lease_checks.append(may_send())
        self._duty_manager.held = {}
        self.lease_checks.append(may_send())
        return Success(OrderOutcome.STARTED)


class LeaseTest(testtools.TestCase):
    """A lease that ends between the decision on an order and its sending."""

    def test_checks_the_lease_again_just_before_sending(self) -> None:
        async def scenario() -> list[bool]:
            path = FrontEndHarness()
            path.add_runner("r0", "127.0.0.1:1")
            entry = path.board.view.get("r0")
            assert entry is not None
            duty_manager = _DutyManager()
            control = _RunnerControl(duty_manager)
            controller = GroupController(
                path.board,
                control=control,  # type: ignore[arg-type]
                duty_manager=duty_manager,  # type: ignore[arg-type]
            )
            controller._fences = {"south": 7}
            reconciler = GroupReconciler(load_window_seconds=5.0)
            await controller._send_order(
                reconciler,
                Directive(entry, OpenGroup("g1", epoch=1), reason="test"),
            )
            path.close()
            return control.lease_checks

        self.assertEqual([True, False], run(scenario()))
