"""Orders that the group controller sends, and the lease that allows them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.fleet import GroupMembership, MembershipState
from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.order_tracker import Directive
from mulberrypaddle.replicas.orders import (
    GroupOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
)
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


class _AskedControl:
    """Answers what a runner is asked, and records the orders to it.

    Attributes:
        orders: Orders that were sent.
    """

    def __init__(self, membership: Any) -> None:
        self._membership = membership
        self.orders: list[GroupOrder] = []

    async def fetch_membership(self, entry: object, **options: object) -> Any:
        return self._membership

    async def send_order(
        self, entry: object, order: GroupOrder, **options: object
    ) -> Any:
        self.orders.append(order)
        return Success(OrderOutcome.STARTED)


def _reported(name: str, state: MembershipState) -> Any:
    """Returns the answer of a runner that is in a group of epoch 3."""
    return Success(GroupMembership(name, epoch=3, rank=0, state=state))


_JOIN = JoinGroup("g4", epoch=4, model="m1", member_ids=("r0", "r1"))


def _orders_after_answer(
    membership: Any, *, left: LeaveGroup | None = None
) -> list[GroupOrder]:
    """Orders a runner whose entry shows no group to join one.

    Args:
        membership: What it answers when it is asked for its group.
        left: An order to leave that the reconciler has sent it before.

    Returns:
        The orders that were sent.
    """

    async def scenario() -> list[GroupOrder]:
        path = FrontEndHarness()
        path.add_runner("r0", "127.0.0.1:1")
        entry = path.board.view.get("r0")
        assert entry is not None
        control = _AskedControl(membership)
        controller = GroupController(
            path.board,
            control=control,  # type: ignore[arg-type]
            duty_manager=_DutyManager(),  # type: ignore[arg-type]
        )
        controller._fences = {"south": 7}
        reconciler = GroupReconciler(load_window_seconds=5.0)
        if left is not None:
            reconciler._history.record_leave_sent(entry, left)
        await controller._send_order(
            reconciler, Directive(entry, _JOIN, reason="test")
        )
        path.close()
        return control.orders

    return run(scenario())


class AskedRunnerTest(testtools.TestCase):
    """A runner is asked for its group before it is ordered into another one."""

    def test_runner_that_serves_in_another_group_is_not_ordered(self) -> None:
        # Guards against a join of a member of an open group, whose entry the
        # store has written late.
        for state in MembershipState:
            orders = _orders_after_answer(_reported("g3", state))
            is_sent = state in (MembershipState.JOINING, MembershipState.BROKEN)
            self.assertEqual([_JOIN] if is_sent else [], orders, state)

    def test_runner_in_no_other_group_is_ordered(self) -> None:
        joining = GroupMembership(
            "g4", epoch=4, rank=0, state=MembershipState.JOINING
        )
        for membership in (Success(None), Success(joining)):
            self.assertEqual([_JOIN], _orders_after_answer(membership))

    def test_old_report_of_the_group_that_it_left_does_not_matter(self) -> None:
        membership = _reported("g3", MembershipState.READY)
        for name, is_sent in (("g3", True), ("g2", False)):
            orders = _orders_after_answer(
                membership, left=LeaveGroup(name, epoch=3)
            )
            self.assertEqual([_JOIN] if is_sent else [], orders)

    def test_runner_that_can_not_be_asked_is_not_ordered(self) -> None:
        for kind, is_sent in (
            (ErrorKind.RUNNER_UNREACHABLE, False),
            (ErrorKind.RUNNER_REFUSED, True),
        ):
            orders = _orders_after_answer(Failure(Problem(kind, "test")))
            self.assertEqual([_JOIN] if is_sent else [], orders)


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
