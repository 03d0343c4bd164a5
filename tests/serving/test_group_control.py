"""Orders of a keeper, and the right to give them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Success

from mulberrypaddle.replicas.keeper import GroupKeeper
from mulberrypaddle.replicas.order_book import Directive
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving.group_control import GroupController
from mulberrypaddle.serving.runner_control import OrderOutcome
from tests.support.asynchronous import run
from tests.support.serving_path import ServingPath

if TYPE_CHECKING:
    from collections.abc import Callable


class _Owner:
    def __init__(self) -> None:
        self.held = {"south": 7}

    def fences(self) -> dict[str, int]:
        return self.held


class _Control:
    """Loses the lease while its connection is made, then asks for it."""

    def __init__(self, owner: _Owner) -> None:
        self._owner = owner
        self.asked: list[bool] = []

    async def order(
        self,
        entry: object,
        order: object,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Any:
        self.asked.append(may_send())
        self._owner.held = {}
        self.asked.append(may_send())
        return Success(OrderOutcome.BEGUN)


class LeaseTest(testtools.TestCase):
    """A lease that ends between the decision and the sending."""

    def test_lease_is_asked_again_just_before_sending(self) -> None:
        async def scenario() -> list[bool]:
            path = ServingPath()
            path.add_runner("r0", "127.0.0.1:1")
            entry = path.board.view.get("r0")
            assert entry is not None
            owner = _Owner()
            control = _Control(owner)
            groups = GroupController(
                path.board,
                control=control,  # type: ignore[arg-type]
                duty_manager=owner,  # type: ignore[arg-type]
            )
            groups._fences = {"south": 7}
            keeper = GroupKeeper(load_window_seconds=5.0)
            await groups._send_order(
                keeper,
                Directive(entry, OpenGroup("g1", epoch=1), reason="test"),
            )
            path.close()
            return control.asked

        self.assertEqual([True, False], run(scenario()))
