"""Tests of the planned stop of one router."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from mulberrypaddle.dispatch import stop_schedule
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving import router as router_module
from mulberrypaddle.serving.duty_manager import DutyManager
from mulberrypaddle.serving.router import ServingRouter
from mulberrypaddle.serving.runner_control import RunnerControl
from mulberrypaddle.serving.store import Collection, ObjectStore
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port, make_settings
from tests.support.simulated_deployment import Store


def _config(version: int) -> dict[str, object]:
    """Returns a configuration without routes."""
    return {"version": version, "routes": [], "services": []}


class RestoreTest(testtools.TestCase):
    """What a router does when any call shows that the store was restored."""

    def test_version_behind_a_watch_that_hangs_since_before_a_restore(
        self,
    ) -> None:
        async def scenario() -> tuple[int, int]:
            address = ("127.0.0.1", free_port())
            store = Store(address)

            watching = asyncio.Event()

            async def hang(*_: object) -> None:
                watching.set()
                await asyncio.sleep(60.0)

            self.patch(store, "_watch", hang)
            client = PlatformStore(f"{address[0]}:{address[1]}")
            router = ServingRouter(
                make_settings(),
                store=client,
                decoder=PlatformDecoder(),
                header_codec=PlatformHeaderCodec(),
                control=mock.create_autospec(RunnerControl),
            )
            store.put("config", "main", _config(1))
            copied = store.make_copy()
            feed = router._config_feed
            following = asyncio.ensure_future(feed.run())
            await watching.wait()
            before = feed.version
            store.restore(copied)
            store.put("config", "main", _config(2))
            await client.list(Collection.DUTIES)
            await asyncio.sleep(0.3)
            following.cancel()
            router.board.client.close()
            store.close()
            return before, feed.version

        self.assertEqual((1, 2), run(scenario()))


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
