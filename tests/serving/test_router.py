"""Tests of the planned stop of one router."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from mulberrypaddle.dispatch import stop_schedule
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving import router as router_module
from mulberrypaddle.serving.duty_manager import DutyManager
from mulberrypaddle.serving.router import ServingRouter
from mulberrypaddle.serving.runner_control import RunnerControl
from mulberrypaddle.serving.store import ObjectStore
from tests.support.asynchronous import run
from tests.support.front_end_harness import make_settings


class StopTest(testtools.TestCase):
    """The steps of a stop and their times."""

    def test_slow_store_does_not_delay_the_refusal_of_long_requests(
        self,
    ) -> None:
        self.patch(router_module, "READINESS_LAG_SECONDS", 0.1)
        self.patch(stop_schedule, "EXCUSED_ARRIVAL_SECONDS", 0.1)
        release_ended: list[bool] = []

        async def release_slowly(_: DutyManager) -> None:
            await asyncio.sleep(1.0)
            release_ended.append(True)

        self.patch(DutyManager, "release_all", release_slowly)

        async def scenario() -> tuple[bool, bool]:
            router = ServingRouter(
                make_settings(),
                store=mock.create_autospec(ObjectStore),
                decoder=PlatformDecoder(),
                header_codec=PlatformHeaderCodec(),
                control=mock.create_autospec(RunnerControl),
            )
            stopping = asyncio.ensure_future(router._stop())
            await asyncio.sleep(0.5)
            now = router.board.now()
            assert router.board.stop is not None
            refuses = not router.board.stop.may_send(
                now_seconds=now,
                arrived_at_seconds=now,
                deadline_seconds=now + 60.0,
                needed_seconds=0.1,
                is_stream=True,
                may_repeat=True,
            )
            await stopping
            router.board.client.close()
            return refuses, bool(release_ended)

        self.assertEqual((True, True), run(scenario()))
