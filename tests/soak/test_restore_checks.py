"""Tests of the checks around a store that comes back from a copy."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port
from tests.support.runner_announcements import AnnouncementChecks
from tests.support.simulated_deployment import SimulatedDeployment, Store
from tests.support.version_checks import VersionChecks

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROCESS = 1


class VersionChecksTest(testtools.TestCase):
    """Which answers breach what is promised of versions."""

    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(time, "monotonic", return_value=100.0)
        self._now = patcher.start()
        self.addCleanup(patcher.stop)
        self._breaches: list[str] = []
        self._checks = VersionChecks(self._breaches)

    def _answer(self, at_seconds: float, version: int, status: int) -> int:
        """Checks an answer and returns the number of new breaches."""
        before = len(self._breaches)
        self._now.return_value = at_seconds
        self._checks.record_answer(
            PROCESS,
            version=version,
            status=status,
            sent_at_seconds=at_seconds - 0.01,
            resumed_at_seconds=0.0,
        )
        return len(self._breaches) - before

    def _acknowledge(self, at_seconds: float, version: int) -> None:
        self._now.return_value = at_seconds
        self._checks.record_acknowledged(version)

    def test_late_version_is_a_breach(self) -> None:
        self._acknowledge(100.0, 1)
        self._answer(100.5, 1, 200)
        self._acknowledge(110.0, 2)
        self.assertEqual(0, self._answer(111.9, 1, 200))
        self.assertEqual(0, self._answer(111.9, 2, 401))
        self.assertEqual(1, self._answer(112.1, 1, 200))
        self.assertEqual(1, self._answer(112.1, 2, 401))
        self.assertEqual(0, self._answer(112.1, 2, 200))

    def test_version_is_due_after_it_is_acknowledged_again(self) -> None:
        self._acknowledge(100.0, 1)
        self._answer(100.5, 1, 401)
        self._checks.record_restore()
        self.assertEqual(0, self._answer(110.0, 1, 401))
        self._acknowledge(111.0, 1)
        self.assertEqual(0, self._answer(112.9, 1, 401))
        self.assertEqual(1, self._answer(113.1, 1, 401))

    def test_unreachable_store_delays_a_version(self) -> None:
        self._acknowledge(100.0, 1)
        self._answer(100.5, 1, 401)
        self._now.return_value = 103.0
        self._checks.record_unreachable()
        self.assertEqual(0, self._answer(104.9, 1, 401))
        self.assertEqual(1, self._answer(105.1, 1, 401))

    def test_older_version_after_a_newer_one_is_a_breach(self) -> None:
        self._acknowledge(100.0, 2)
        self._answer(100.5, 2, 200)
        self._checks.record_restore()
        self.assertEqual(1, self._answer(100.6, 1, 200))
        self.assertEqual(1, self._answer(100.7, 2, 401))

    def test_own_404_is_a_breach(self) -> None:
        self._acknowledge(100.0, 1)
        self.assertEqual(1, self._answer(100.5, 1, 404))


class RestoredStoreChecksTest(testtools.TestCase):
    """The stand-in of the store and of the platform around a restore."""

    def _play(
        self, scenario: Callable[[SimulatedDeployment], Awaitable[None]]
    ) -> SimulatedDeployment:
        """Runs a scenario in a deployment without routers."""

        async def play() -> SimulatedDeployment:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(
                    Path(folder), entry_expiry_seconds=0.2
                )
                try:
                    await scenario(deployment)
                finally:
                    await deployment.close()
                return deployment

        return run(play())

    def test_heartbeat_makes_no_revision(self) -> None:
        async def scenario() -> None:
            store = Store(("127.0.0.1", free_port()))
            store.put("servers", "a", {"state": "ready", "sequence": 1})
            revision = store.revision
            store.put("servers", "a", {"state": "ready", "sequence": 2})
            self.assertEqual(revision, store.revision)
            self.assertEqual(2, store.get("servers", "a")["sequence"])
            store.put("servers", "a", {"state": "draining", "sequence": 3})
            self.assertEqual(revision + 1, store.revision)
            store.close()
            await asyncio.sleep(0)

        run(scenario())

    def test_runners_and_operator_write_again(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            copied = deployment.store.make_copy()
            runner = deployment.add_runner("stock")
            deployment.put_config()
            await asyncio.sleep(0.2)
            deployment.restore_store(copied, rewritten_after_seconds=0.1)
            store = deployment.store
            self.assertEqual(2, store.get("config", "main")["version"])
            self.assertEqual(None, store.get("servers", runner.runner_id))
            await asyncio.sleep(0.8)
            self.assertEqual(3, store.get("config", "main")["version"])
            self.assertNotEqual(None, store.get("servers", runner.runner_id))

        self._play(scenario)

    def test_entry_of_a_runner_that_is_gone_expires_again(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            store = deployment.store
            runner = deployment.add_runner("stock")
            await asyncio.sleep(0.1)
            copied = store.make_copy()
            runner.crash()
            await asyncio.sleep(0.4)
            self.assertEqual(None, store.get("servers", runner.runner_id))
            deployment.restore_store(copied, rewritten_after_seconds=0.1)
            self.assertNotEqual(None, store.get("servers", runner.runner_id))
            await asyncio.sleep(0.4)
            self.assertEqual(None, store.get("servers", runner.runner_id))

        self._play(scenario)

    def test_epoch_that_is_ordered_with_other_members_is_a_breach(self) -> None:
        async def scenario(deployment: SimulatedDeployment) -> None:
            deployment.record_join(("g", 7), ["a", "b"])
            deployment.record_join(("g", 7), ["a", "b"])
            deployment.record_join(("g", 8), ["a", "c"])
            self.assertEqual([], deployment.breaches)
            deployment.record_join(("g", 7), ["a", "c"])

        self.assertEqual(1, len(self._play(scenario).breaches))

    def test_late_request_to_a_runner_that_drains_is_a_breach(self) -> None:
        breaches: list[str] = []
        checks = AnnouncementChecks(breaches)
        with mock.patch.object(time, "monotonic", return_value=100.0) as now:
            checks.record_known("r1", "a@1")
            now.return_value = 101.9
            checks.record_sent("q1", "r1")
            checks.record_arrival("q1", "a@1")
            self.assertEqual([], breaches)
            now.return_value = 102.1
            checks.record_sent("q2", "r1")
            checks.record_arrival("q2", "a@1")
        self.assertEqual(1, len(breaches))
