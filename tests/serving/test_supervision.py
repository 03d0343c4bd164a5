"""Work goes on after errors that nobody handled."""

from __future__ import annotations

import asyncio
import logging
from unittest import mock

import testtools

from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving import supervision
from mulberrypaddle.serving.router import ServingRouter
from mulberrypaddle.serving.runner_control import RunnerControl
from mulberrypaddle.serving.store import Listing, ObjectStore
from mulberrypaddle.serving.supervision import Supervisor
from tests.serving.test_feed import _item, _Store
from tests.support.asynchronous import run
from tests.support.front_end_harness import make_settings


class _Records(logging.Handler):
    """Keeps the log records of a test."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def _make_router(store: ObjectStore) -> ServingRouter:
    settings = make_settings()
    settings.first_start = False
    return ServingRouter(
        settings,
        store=store,
        decoder=PlatformDecoder(),
        header_codec=PlatformHeaderCodec(),
        control=mock.create_autospec(RunnerControl),
    )


class RouterWorkTest(testtools.TestCase):
    """The parts of a router go on after errors in one of them."""

    def _run_with(self, store: ObjectStore, seconds: float) -> ServingRouter:
        """Runs a router for some time, then stops it."""

        async def scenario() -> ServingRouter:
            router = _make_router(store)
            self.prepare(router)
            running = asyncio.ensure_future(router.run())
            await asyncio.sleep(seconds)
            self.assertFalse(running.done(), running)
            running.cancel()
            await asyncio.wait({running})
            router.board.client.close()
            return router

        return run(scenario())

    def prepare(self, router: ServingRouter) -> None:
        """Changes the router before it runs; a test replaces it."""

    def test_feed_goes_on_after_an_error_while_an_update_is_applied(
        self,
    ) -> None:
        updates: list[int] = []

        def prepare(router: ServingRouter) -> None:
            def fail_once(update: object) -> None:
                updates.append(1)
                if len(updates) == 1:
                    raise RuntimeError("unexpected")

            router._runner_feed._on_update = fail_once

        self.prepare = prepare  # type: ignore[method-assign]
        store = _Store()
        store.listing = Listing([_item("a", 1)], revision=1)
        self._run_with(store, 1.5)
        self.assertGreaterEqual(len(updates), 2)

    def test_heartbeats_are_sent_after_an_error_in_other_periodic_work(
        self,
    ) -> None:
        ticks: list[int] = []

        def prepare(router: ServingRouter) -> None:
            router._crash_monitor = mock.Mock()
            router._crash_monitor.tick.side_effect = OverflowError("odd")
            router._peers.tick = lambda: ticks.append(1)

        self.prepare = prepare  # type: ignore[method-assign]
        self._run_with(_Store(), 1.0)
        self.assertGreaterEqual(len(ticks), 5)

    def test_error_in_a_part_is_logged_with_its_traceback(self) -> None:
        def prepare(router: ServingRouter) -> None:
            router._group_controller = mock.Mock()
            router._group_controller.run.side_effect = OverflowError("odd")

        self.prepare = prepare  # type: ignore[method-assign]
        handler = _Records()
        root = logging.getLogger("mulberrypaddle")
        root.addHandler(handler)
        self.addCleanup(root.removeHandler, handler)
        self._run_with(_Store(), 1.0)
        entries = [
            record
            for record in handler.records
            if record.exc_info and "odd" in str(record.exc_info[1])
        ]
        self.assertNotEqual([], entries)


class SupervisorTest(testtools.TestCase):
    """Restarts of work that failed."""

    def test_pauses_between_restarts_grow_up_to_a_limit(self) -> None:
        pauses: list[float] = []

        async def scenario() -> int:
            async def fail() -> None:
                if len(pauses) < 12:
                    raise RecursionError("unexpected")

            async def sleep(seconds: float) -> None:
                pauses.append(seconds)

            supervisor = Supervisor()
            with mock.patch.object(supervision.asyncio, "sleep", sleep):
                await supervisor.keep_running("test", fail)
            return len(pauses)

        self.assertEqual(12, run(scenario()))
        self.assertEqual(supervision.RESTART_PAUSE_SECONDS, pauses[0])
        self.assertEqual(supervision.MAX_RESTART_PAUSE_SECONDS, pauses[-1])
        self.assertEqual(sorted(pauses), pauses)

    def test_cancelled_work_is_not_started_again(self) -> None:
        async def scenario() -> tuple[bool, int]:
            starts = []

            async def wait() -> None:
                starts.append(1)
                await asyncio.sleep(60)

            task = asyncio.ensure_future(
                Supervisor().keep_running("test", wait)
            )
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait({task})
            return task.cancelled(), len(starts)

        self.assertEqual((True, 1), run(scenario()))

    def test_repeated_errors_are_logged_once_an_interval(self) -> None:
        async def scenario() -> None:
            def fail() -> None:
                raise ValueError("unexpected")

            supervisor = Supervisor()
            for _ in range(5):
                supervisor.run_step("test", fail)
            supervisor._logged_at_seconds["test"] -= 10.0
            supervisor.run_step("test", fail)

        with self.assertLogs("mulberrypaddle.supervision") as logs:
            run(scenario())
        self.assertEqual([0, 4], [line.left_out for line in logs.records])
