"""Router processes before runners that announce to leave or ask for a pause."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import testtools

from tests.platform.test_whole_path import ROUTERS, _run_scenario
from tests.support.simulated_deployment import (
    GROUP_SIZE,
    Caller,
    Router,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from tests.support.simulated_deployment import Runner

# Time in which an announcement reaches the other routers.
_SPREAD_SECONDS = 1.0


async def _send(
    caller: Caller, router: Router, kind: str, count: int, prefix: str
) -> list[str]:
    """Sends requests one after the other and returns their outcomes."""
    outcomes = []
    for number in range(count):
        outcomes.append(
            await caller.send(router, kind, f"{prefix}{kind}{number}")
        )
    return outcomes


async def _announce(
    caller: Caller, router: Router, runner: Runner, kind: str
) -> None:
    """Sends requests to a router until a leaving runner has answered one."""
    runner.leaving = True
    seen = len(runner.request_ids)
    for number in range(100):
        await caller.send(router, kind, f"a{kind}{number}")
        if len(runner.request_ids) > seen:
            return
    raise AssertionError(f"no request reaches {runner.runner_id}")


def _plain_runner(deployment: SimulatedDeployment) -> Runner:
    """Returns a runner of the plain service."""
    return next(r for r in deployment.runners.values() if not r.domain)


class LeavingRunnerTest(testtools.TestCase):
    """A runner announces in its answers to one router that it is leaving.

    Its entry goes on to say that it is ready.
    """

    def test_no_router_sends_further_requests(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            routers = list(deployment.routers.values())
            leaving = _plain_runner(deployment)
            await _announce(caller, routers[0], leaving, "safe")
            await asyncio.sleep(_SPREAD_SECONDS)
            seen = len(leaving.request_ids)
            for number, router in enumerate(routers):
                for kind in ("safe", "pay"):
                    outcomes = await _send(
                        caller, router, kind, 12, f"{number}"
                    )
                    self.assertEqual(["served"] * 12, outcomes)
            self.assertEqual([], leaving.request_ids[seen:])

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_no_router_uses_it_while_the_store_is_silent(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            routers = list(deployment.routers.values())
            leaving = _plain_runner(deployment)
            deployment.store.state = "silent"
            await _announce(caller, routers[0], leaving, "safe")
            await asyncio.sleep(_SPREAD_SECONDS)
            seen = len(leaving.request_ids)
            for number, router in enumerate(routers):
                await _send(caller, router, "safe", 12, f"{number}")
            self.assertEqual([], leaving.request_ids[seen:])

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_its_group_is_replaced_by_another(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            router = next(iter(deployment.routers.values()))
            head = deployment.open_heads()[0]
            for _ in range(GROUP_SIZE):
                deployment.add_runner("cards", head.domain)
            await asyncio.sleep(1.0)
            await _announce(caller, router, head, "write")
            group = head.group
            deadline = time.monotonic() + 15.0
            while time.monotonic() < deadline:
                await asyncio.sleep(0.2)
                if head.state != "open" and deployment.open_heads():
                    break
            self.assertNotEqual("open", head.state, group)
            await asyncio.sleep(0.5)
            seen = len(head.request_ids)
            outcomes = await _send(caller, router, "write", 6, "b")
            self.assertEqual(["served"] * 6, outcomes)
            self.assertEqual([], head.request_ids[seen:])

        self.assertEqual([], _run_scenario(scenario).breaches)


class PausedRunnerTest(testtools.TestCase):
    """A runner refuses requests and asks for a pause."""

    def test_no_request_of_the_router_reaches_it_in_the_pause(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            runner = _plain_runner(deployment)
            for router in deployment.routers.values():
                # Allows second attempts, by the retry budget.
                await _send(caller, router, "safe", 12, f"before-{router.ip}")
            ends_at = time.monotonic() + 4.0
            runner.refuses_until_seconds = ends_at
            outcomes = []
            while time.monotonic() < ends_at - 0.3:
                for router in deployment.routers.values():
                    request_id = f"{time.monotonic()}-{router.ip}"
                    outcomes.append(
                        await caller.send(router, "safe", request_id)
                    )
            self.assertEqual({"served"}, set(outcomes[ROUTERS * 3 :]))
            self.assertEqual(ROUTERS, deployment.announcements.pauses_asked)
            await asyncio.sleep(0.5)
            seen = len(runner.request_ids)
            for router in deployment.routers.values():
                await _send(caller, router, "safe", 12, f"after-{router.ip}")
            self.assertNotEqual([], runner.request_ids[seen:])

        self.assertEqual([], _run_scenario(scenario).breaches)
