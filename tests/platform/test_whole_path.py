"""Router processes on a simulated platform."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.serving.router import READINESS_LAG_SECONDS
from tests.support.asynchronous import run
from tests.support.simulated_deployment import (
    API_KEY,
    Caller,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROUTERS = 3


def _run_scenario(
    scenario: Callable[[SimulatedDeployment, Caller], Awaitable[None]],
) -> SimulatedDeployment:
    """Runs a scenario in a small deployment and returns it, closed."""

    async def run_deployment() -> SimulatedDeployment:
        with tempfile.TemporaryDirectory() as folder:
            deployment = SimulatedDeployment(Path(folder))
            try:
                for _ in range(2):
                    deployment.add_runner("stock")
                for number in range(8):
                    deployment.add_runner("cards", f"d{number // 4}")
                for number in range(1, ROUTERS + 1):
                    deployment.add_router(number)
                await deployment.wait_until_ready()
                await scenario(deployment, Caller(deployment))
            except BaseException:
                _print_logs(deployment)
                raise
            finally:
                await deployment.close()
            return deployment

    return run(run_deployment())


def _print_logs(deployment: SimulatedDeployment) -> None:
    """Prints the logs of all routers, which pytest shows with the failure."""
    for number, router in deployment.routers.items():
        if router.log_path.exists():
            print(f"log of router {number}:\n{router.log_path.read_text()}")
    for runner_id, runner in deployment.runners.items():
        print(f"runner {runner_id}: {runner.state}, members {runner.members}")


async def _send_all(
    deployment: SimulatedDeployment,
    caller: Caller,
    kind: str,
    count: int,
    id_prefix: str = "q",
) -> list[str]:
    """Sends requests over all running routers and returns their outcomes."""
    routers = [router for router in deployment.routers.values() if router.alive]
    return list(
        await asyncio.gather(
            *(
                caller.send(
                    routers[number % len(routers)],
                    kind,
                    f"{id_prefix}{kind}{number}",
                )
                for number in range(count)
            )
        )
    )


class WholePathTest(testtools.TestCase):
    """Requests of each kind, without faults and after each kind of fault."""

    def test_every_kind_of_request_is_served(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            for kind in ("safe", "pay", "write"):
                outcomes = await _send_all(deployment, caller, kind, 6)
                self.assertEqual(["served"] * 6, outcomes, kind)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_streams_are_served_after_a_member_is_lost(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            heads = [
                r for r in deployment.runners.values() if r.state == "open"
            ]
            deployment.runners[heads[0].members[1]].crash()
            deadline = time.monotonic() + 15.0
            while time.monotonic() < deadline:
                outcomes = await _send_all(
                    deployment, caller, "write", 6, str(time.monotonic())
                )
                if outcomes == ["served"] * 6:
                    return
            self.fail(f"streams end as {outcomes}")

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_groups_are_formed_after_the_duty_holder_is_killed(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            for router in deployment.routers.values():
                if "ownership_taken" in router.log_path.read_text():
                    router.kill()
            # The remaining routers must form groups of the new runners.
            for runner in list(deployment.runners.values()):
                if runner.domain:
                    runner.crash()
            for _ in range(4):
                deployment.add_runner("cards", "d9")
            deadline = time.monotonic() + 20.0
            while time.monotonic() < deadline:
                outcomes = await _send_all(
                    deployment, caller, "write", 2, str(time.monotonic())
                )
                if outcomes == ["served"] * 2:
                    return
                await asyncio.sleep(0.2)
            self.fail(f"streams end as {outcomes}")

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_requests_are_served_while_the_store_fails(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            for state in ("silent", "busy"):
                deployment.store.state = state
                await asyncio.sleep(2.0)
                for kind in ("safe", "pay", "write"):
                    outcomes = await _send_all(
                        deployment, caller, kind, 6, state
                    )
                    self.assertEqual(["served"] * 6, outcomes, kind)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_graceful_stop_completes_requests(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            router = next(iter(deployment.routers.values()))
            streams = [
                asyncio.ensure_future(
                    caller.send(router, "write", f"s{number}")
                )
                for number in range(4)
            ]
            await asyncio.sleep(0.1)
            router.signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            self.assertFalse(await router.is_ready())
            # New callers still arrive until they notice the lost readiness.
            late = await caller.send(router, "pay", "late")
            self.assertEqual("served", late)
            self.assertEqual(["served"] * 4, await asyncio.gather(*streams))
            deadline = time.monotonic() + 6.0
            while router.alive and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            self.assertFalse(router.alive)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_graceful_stop_waits_for_a_slow_upload(self) -> None:
        # The body is still being uploaded when the period for new callers ends.
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            router = next(iter(deployment.routers.values()))
            slow_reader, slow_writer = await asyncio.open_connection(
                router.ip, deployment.caller_port
            )
            head = (
                "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Api-Key: {API_KEY}\r\nX-Request-Id: slow\r\n"
                "X-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n"
            )
            router.signal(signal.SIGTERM)
            await asyncio.sleep(READINESS_LAG_SECONDS - 0.3)
            slow_writer.write(head.encode() + b"no")
            await slow_writer.drain()
            await asyncio.sleep(0.8)
            slow_writer.write(b"te")
            answer = await asyncio.wait_for(slow_reader.read(), 4.0)
            slow_writer.close()
            self.assertEqual(b"HTTP/1.1 200", answer[:12])

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_no_answer_is_interrupted_during_a_stop(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            router = next(iter(deployment.routers.values()))
            router.signal(signal.SIGTERM)
            router.signal(signal.SIGTERM)
            outcomes = []
            deadline = time.monotonic() + 8.0
            while router.alive and time.monotonic() < deadline:
                outcomes.append(
                    await caller.send(router, "safe", f"n{len(outcomes)}")
                )
                await asyncio.sleep(0.02)
            # No accepted request is interrupted.
            self.assertEqual(
                set(), set(outcomes) - {"served", "refused 503", "not taken"}
            )
            self.assertIn("served", outcomes)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_withdrawn_key_is_refused_within_two_seconds(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            deployment.put_config(keys=("other",))
            await asyncio.sleep(2.0)
            outcomes = await _send_all(deployment, caller, "pay", 6)
            self.assertEqual(["failed 401"] * 6, outcomes)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_first_router_after_a_total_loss_serves_soon(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            for router in deployment.routers.values():
                router.kill()
            router = next(iter(deployment.routers.values()))
            router.start()
            began = time.monotonic()
            number = 0
            outcome = ""
            while time.monotonic() - began < 10.0 and outcome != "served":
                number += 1
                outcome = await caller.send(router, "pay", f"p{number}")
                await asyncio.sleep(0.05)
            self.assertEqual("served", outcome)

        self.assertEqual([], _run_scenario(scenario).breaches)
