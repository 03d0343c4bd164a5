"""Planned stops of router processes under callers that keep on sending."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import testtools

from tests.support import simulated_deployment
from tests.support.asynchronous import run
from tests.support.kept_connections import KeptCallers, SentRequest
from tests.support.simulated_deployment import SimulatedDeployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.simulated_deployment import Router

# A request sent up to this time after the signal may be interrupted while its
# runner is at work in the last sixth of the grace period.
EXCUSED_SECONDS = 3.0
LAST_PART_OF_GRACE = 1 / 6

# Time after its last byte until which a request that is not passed on may be
# left without an answer.
LOSS_SLACK_SECONDS = 0.2


class StopCase(testtools.TestCase):
    """Base class: plays stops of routers and collects what was lost."""

    def _play(
        self,
        scenario: Callable[[SimulatedDeployment], Awaitable[None]],
        *,
        routers: int = 1,
    ) -> None:
        """Runs a scenario in a deployment, which must break no invariant."""

        async def run_deployment() -> SimulatedDeployment:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
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
        router: Router,
        callers: KeptCallers,
        *,
        kinds: tuple[str, ...],
        signals: tuple[tuple[float, signal.Signals], ...] = (
            (0.0, signal.SIGTERM),
        ),
    ) -> list[str]:
        """Stops a router under callers of each kind.

        Args:
            router: Router that is stopped.
            callers: Sends the requests.
            kinds: Kind of the requests of each caller.
            signals: Signals and their times in seconds; the first one stops
                the router.

        Returns:
            A description of each request that was lost.
        """
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
            signalled_at
            + simulated_deployment.STOP_GRACE_SECONDS
            - time.monotonic(),
            router.kill,
        )
        await asyncio.gather(*sending)
        while router.alive:
            await asyncio.sleep(0.02)
        killing.cancel()
        assert router.process is not None
        self.assertEqual(0, router.process.returncode)
        return _losses(callers, signalled_at)


def _losses(callers: KeptCallers, signalled_at: float) -> list[str]:
    """Returns a description of each request that a stop lost."""
    grace_seconds = simulated_deployment.STOP_GRACE_SECONDS
    last_part_at = signalled_at + grace_seconds * (1 - LAST_PART_OF_GRACE)
    losses = []
    for request in callers.cut_requests():
        may_be_cut = (
            request.kind == "write"
            and request.sent_at <= signalled_at + EXCUSED_SECONDS
            and request.ended_at >= last_part_at
        )
        if not may_be_cut:
            losses.append(_describe(request, "cut", signalled_at))
    for request in callers.dropped_requests(LOSS_SLACK_SECONDS):
        losses.append(_describe(request, "dropped", signalled_at))
    return losses


def _describe(request: SentRequest, end: str, signalled_at: float) -> str:
    """Returns what happened to a request, with times after the signal."""
    return (
        f"{request.request_id} sent at {request.sent_at - signalled_at:.2f} s, "
        f"{end} at {request.ended_at - signalled_at:.2f} s"
    )


def _print_logs(deployment: SimulatedDeployment) -> None:
    """Prints the logs of all routers, which pytest shows with a failure."""
    for number, router in deployment.routers.items():
        if router.log_path.exists():
            print(f"log of router {number}:\n{router.log_path.read_text()}")


class SlowRunnerTest(StopCase):
    """Stops while runners are slower than the estimates of the engine."""

    def test_late_stream_is_not_cut_at_the_end_of_the_grace(self) -> None:
        self.patch(simulated_deployment, "ROUTE_TIMEOUT_SECONDS", 5.0)
        # An engine takes 0.4 s for these streams by its own figures.
        self.patch(simulated_deployment, "EVENT_INTERVAL_SECONDS", 0.18)

        async def scenario(deployment: SimulatedDeployment) -> None:
            router = next(iter(deployment.routers.values()))
            callers = KeptCallers(deployment, deadline_seconds=5.0)
            losses = await self._stop(router, callers, kinds=("write",) * 16)
            self.assertEqual([], losses)

        self._play(scenario)

    def test_late_stream_with_a_pause_is_not_cut(self) -> None:
        self.patch(simulated_deployment, "ROUTE_TIMEOUT_SECONDS", 5.0)
        self.patch(simulated_deployment, "EVENT_INTERVAL_SECONDS", 0.08)
        self.patch(simulated_deployment, "STREAM_PAUSE_SECONDS", 1.2)

        async def scenario(deployment: SimulatedDeployment) -> None:
            router = next(iter(deployment.routers.values()))
            callers = KeptCallers(deployment, deadline_seconds=5.0)
            losses = await self._stop(router, callers, kinds=("write",) * 16)
            self.assertEqual([], losses)

        self._play(scenario)

    def test_plain_request_at_a_slow_runner_is_answered(self) -> None:
        self._play_plain_requests(2.5)

    def test_plain_request_at_a_silent_runner_is_answered(self) -> None:
        self._play_plain_requests(20.0)

    def _play_plain_requests(self, runner_seconds: float) -> None:
        """Plays a stop while plain services take the given time."""
        self.patch(simulated_deployment, "ROUTE_TIMEOUT_SECONDS", 10.0)
        self.patch(
            simulated_deployment, "PLAIN_REQUEST_SECONDS", runner_seconds
        )

        async def scenario(deployment: SimulatedDeployment) -> None:
            router = next(iter(deployment.routers.values()))
            callers = KeptCallers(deployment, deadline_seconds=10.0)
            losses = await self._stop(
                router, callers, kinds=("safe",) * 5 + ("pay",) * 5
            )
            self.assertEqual([], losses)

        self._play(scenario)


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
            router = next(iter(deployment.routers.values()))
            losses = await self._stop(
                router,
                KeptCallers(deployment, deadline_seconds=4.0),
                kinds=("safe", "pay", "write") * 3,
                signals=signals,
            )
            self.assertEqual([], losses)

        self._play(scenario)

    def test_stop_with_a_silent_store_cuts_no_request(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            router = next(iter(deployment.routers.values()))
            deployment.store.state = "silent"
            losses = await self._stop(
                router,
                KeptCallers(deployment, deadline_seconds=4.0),
                kinds=("safe", "pay", "write") * 3,
            )
            self.assertEqual([], losses)

        self._play(scenario)

    def test_overlapping_stops_of_two_routers_cut_no_request(self) -> None:
        # Engines are slower than their own figures say.
        self.patch(simulated_deployment, "EVENT_INTERVAL_SECONDS", 0.18)

        async def stop(
            deployment: SimulatedDeployment, router: Router, after: float
        ) -> list[str]:
            await asyncio.sleep(after)
            return await self._stop(
                router,
                KeptCallers(deployment, deadline_seconds=4.0, name=router.ip),
                kinds=("safe", "pay", "write", "write"),
            )

        async def scenario(deployment: SimulatedDeployment) -> None:
            losses = await asyncio.gather(
                *(
                    stop(deployment, router, 1.5 * number)
                    for number, router in enumerate(deployment.routers.values())
                )
            )
            self.assertEqual([[], []], losses)

        self._play(scenario, routers=2)

    def test_signal_during_the_start_ends_the_process(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            deployment.store.state = "silent"
            router = deployment.add_router(9)
            while "event=start" not in router.log_path.read_text():
                await asyncio.sleep(0.01)
            losses = await self._stop(
                router,
                KeptCallers(deployment, deadline_seconds=4.0),
                kinds=("safe", "pay", "write"),
            )
            self.assertEqual([], losses)

        self._play(scenario)


class ShortGraceTest(StopCase):
    """Stops whose grace period is shorter than callers' time limits."""

    def test_stream_is_not_cut_before_the_last_part_of_the_grace(self) -> None:
        self.patch(simulated_deployment, "STOP_GRACE_SECONDS", 3.0)
        self.patch(simulated_deployment, "EVENT_INTERVAL_SECONDS", 0.3)

        async def scenario(deployment: SimulatedDeployment) -> None:
            router = next(iter(deployment.routers.values()))
            losses = await self._stop(
                router,
                KeptCallers(deployment, deadline_seconds=4.0),
                kinds=("safe", "pay", "write", "write"),
            )
            self.assertEqual([], losses)

        self._play(scenario)
