"""Planned stops of router processes under callers that keep on sending."""

from __future__ import annotations

import asyncio
import re
import signal
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.dispatch.stop_schedule import StopSchedule
from tests.support.asynchronous import run
from tests.support.disruptions import Disruptions
from tests.support.kept_callers import losses
from tests.support.persistent_callers import PersistentCallers
from tests.support.simulated_deployment import (
    ROUTE_KINDS,
    Caller,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.simulated_deployment import Router

GRACE_SECONDS = 6.0

# A single signal to stop, with its time in seconds.
_TERMINATION = ((0.0, signal.SIGTERM),)


class StopCase(testtools.TestCase):
    """Base class: plays stops of routers and collects what was lost."""

    def _play(
        self,
        scenario: Callable[[SimulatedDeployment], Awaitable[None]],
        *,
        routers: int = 1,
        grace_seconds: float = GRACE_SECONDS,
        timeout_seconds: float = 4.0,
    ) -> None:
        """Runs a scenario in a deployment, which must break no invariant.

        Args:
            scenario: The scenario.
            routers: Number of routers.
            grace_seconds: Grace period of a stop.
            timeout_seconds: Timeout of all routes.
        """

        async def run_deployment() -> SimulatedDeployment:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(
                    Path(folder), grace_seconds=grace_seconds
                )
                for name in deployment.route_timeouts_seconds:
                    deployment.route_timeouts_seconds[name] = timeout_seconds
                deployment.put_config()
                try:
                    for _ in range(2):
                        deployment.add_runner("stock")
                    for number in range(8):
                        deployment.add_runner("cards", f"d{number // 4}")
                    for number in range(1, routers + 1):
                        deployment.add_router(number)
                    await deployment.wait_until_ready()
                    await scenario(deployment)
                except BaseException:
                    _print_logs(deployment)
                    raise
                finally:
                    await deployment.close()
                return deployment

        self.assertEqual([], run(run_deployment()).breaches)

    async def _stop(
        self,
        deployment: SimulatedDeployment,
        router: Router,
        *,
        kinds: tuple[str, ...],
        limit_seconds: float = 4.0,
        signals: tuple[tuple[float, signal.Signals], ...] = _TERMINATION,
    ) -> list[str]:
        """Stops a router under callers of each kind.

        Args:
            deployment: Deployment of the router.
            router: Router that is stopped.
            kinds: Kind of the requests of each caller.
            limit_seconds: Time limit of the requests.
            signals: Signals and their times in seconds; the first one stops
                the router.

        Returns:
            A description of each request that was lost.
        """
        callers = PersistentCallers(
            deployment,
            Caller(deployment),
            limit_seconds=limit_seconds,
            name=router.ip,
        )
        sending = [
            asyncio.ensure_future(
                callers.send_until_gone(router, kind, pause_seconds=0.02)
            )
            for kind in kinds
        ]
        await asyncio.sleep(0.2)
        signalled_at = time.monotonic()
        for after_seconds, number in signals:
            await asyncio.sleep(signalled_at + after_seconds - time.monotonic())
            router.signal(number)
        killing = asyncio.get_running_loop().call_later(
            signalled_at + deployment.grace_seconds - time.monotonic(),
            router.kill,
        )
        await asyncio.gather(*sending)
        while router.alive:
            await asyncio.sleep(0.02)
        killing.cancel()
        assert router.process is not None
        self.assertEqual(0, router.process.returncode)
        return [
            str(loss)
            for loss in losses(deployment, callers.requests, Disruptions())
            # Plain requests get an answer even where none is due.
            if not loss.excuse or ROUTE_KINDS[loss.request.kind] != "streaming"
        ]

    def _play_plain_requests(
        self,
        slowdown: float,
        *,
        signals: tuple[tuple[float, signal.Signals], ...] = _TERMINATION,
    ) -> None:
        """Plays a stop while plain services are slower than usual.

        Args:
            slowdown: Factor on the time that runners need.
            signals: Signals and their times, as in `_stop`.
        """

        async def scenario(deployment: SimulatedDeployment) -> None:
            for runner in deployment.runners.values():
                runner.slowdown = slowdown
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("safe",) * 5 + ("pay",) * 5,
                limit_seconds=10.0,
                signals=signals,
            )
            self.assertEqual([], lost)

        self._play(scenario, timeout_seconds=10.0)


def _first_router(deployment: SimulatedDeployment) -> Router:
    """Returns the first router of a deployment."""
    return next(iter(deployment.routers.values()))


def _print_logs(deployment: SimulatedDeployment) -> None:
    """Prints the logs of all routers, which pytest shows with a failure."""
    for number, router in deployment.routers.items():
        if router.log_path.exists():
            print(f"log of router {number}:\n{router.log_path.read_text()}")


class SlowRunnerTest(StopCase):
    """Stops while runners are slower than the estimates of the engine."""

    def test_late_stream_is_not_cut_at_the_end_of_the_grace(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            for runner in deployment.runners.values():
                runner.slowdown = 6.0
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("write",) * 16,
                limit_seconds=5.0,
            )
            self.assertEqual([], lost)

        self._play(scenario, timeout_seconds=5.0)

    def test_late_stream_at_a_silent_runner_is_not_cut(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            async def pause() -> None:
                await asyncio.sleep(0.2 + 0.7 * GRACE_SECONDS)
                for runner in deployment.runners.values():
                    runner.paused_until_seconds = time.monotonic() + 1.2

            pausing = asyncio.ensure_future(pause())
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("write",) * 16,
                limit_seconds=5.0,
            )
            await pausing
            self.assertEqual([], lost)

        self._play(scenario, timeout_seconds=5.0)

    def test_plain_request_at_a_slow_runner_is_answered(self) -> None:
        self._play_plain_requests(slowdown=125.0)

    def test_plain_request_at_a_silent_runner_is_answered(self) -> None:
        self._play_plain_requests(slowdown=1000.0)


class SignalTest(StopCase):
    """Stops beside other signals, faults and stops."""

    def test_further_signals_cut_no_request(self) -> None:
        signals = (
            (0.0, signal.SIGTERM),
            (0.05, signal.SIGTERM),
            (1.0, signal.SIGHUP),
            (4.0, signal.SIGTERM),
            (4.5, signal.SIGINT),
        )

        async def scenario(deployment: SimulatedDeployment) -> None:
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("safe", "pay", "write") * 3,
                signals=signals,
            )
            self.assertEqual([], lost)

        self._play(scenario)

    def test_stop_of_a_paused_process_cuts_no_request_at_its_end(self) -> None:
        self._play_plain_requests(
            slowdown=1000.0,
            signals=(
                (0.0, signal.SIGSTOP),
                (0.0, signal.SIGTERM),
                (1.5, signal.SIGCONT),
            ),
        )

    def test_stop_with_a_silent_store_cuts_no_request(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            deployment.store.state = "silent"
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("safe", "pay", "write") * 3,
            )
            self.assertEqual([], lost)

        self._play(scenario)

    def test_overlapping_stops_of_two_routers_cut_no_request(self) -> None:
        async def stop(
            deployment: SimulatedDeployment, router: Router, after: float
        ) -> list[str]:
            await asyncio.sleep(after)
            return await self._stop(
                deployment, router, kinds=("safe", "pay", "write", "write")
            )

        async def scenario(deployment: SimulatedDeployment) -> None:
            for runner in deployment.runners.values():
                runner.slowdown = 6.0
            lost = await asyncio.gather(
                *(
                    stop(deployment, router, 1.5 * number)
                    for number, router in enumerate(deployment.routers.values())
                )
            )
            self.assertEqual([[], []], lost)

        self._play(scenario, routers=2)

    def test_signal_during_the_start_ends_the_process(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            deployment.store.state = "silent"
            router = deployment.add_router(9)
            while "event=start" not in router.log_path.read_text():
                await asyncio.sleep(0.01)
            lost = await self._stop(
                deployment, router, kinds=("safe", "pay", "write")
            )
            self.assertEqual([], lost)

        self._play(scenario)


class RefusalTest(StopCase):
    """Stops of a router whose callers go on sending what it refuses."""

    def test_router_that_only_refuses_requests_ends(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            router = _first_router(deployment)
            lost = await self._stop(
                deployment, router, kinds=("write",) * 8, limit_seconds=8.0
            )
            self.assertEqual([], lost)
            log = router.log_path.read_text()
            self.assertIn("kind=shutting_down", log)
            drained = re.search(r"event=drained .*since_signal=([0-9.]+)", log)
            assert drained is not None
            stop = StopSchedule(
                signalled_at_seconds=0.0, grace_seconds=GRACE_SECONDS
            )
            self.assertLess(float(drained[1]), stop.ends_at_seconds)

        self._play(scenario, timeout_seconds=8.0)


class ShortGraceTest(StopCase):
    """Stops whose grace period is shorter than callers' time limits."""

    def test_stream_is_not_cut_before_the_last_part_of_the_grace(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            for runner in deployment.runners.values():
                runner.slowdown = 10.0
            lost = await self._stop(
                deployment,
                _first_router(deployment),
                kinds=("safe", "pay", "write", "write"),
            )
            self.assertEqual([], lost)

        self._play(scenario, grace_seconds=3.0)
