"""Routers follow the list of runners while another writer's entry is in it."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import testtools

from tests.support.asynchronous import run
from tests.support.odd_entries import odd_entries, odd_objects, raw_entry
from tests.support.simulated_deployment import Caller, SimulatedDeployment

ROUTERS = 3
PLAIN_RUNNERS = 2

# Time within which all routers must follow the list again.
FOLLOW_SECONDS = 15.0


class OddEntryTest(testtools.TestCase):
    """Router processes, and an entry that names no runner to use."""

    def setUp(self) -> None:
        super().setUp()
        self._sent = 0

    def _with_entries(self, entries: dict[str, bytes]) -> None:
        """Puts entries into the store of a deployment that serves requests.

        Runners are then replaced, a router is started, and the entries are
        written again and removed.
        """

        async def scenario() -> None:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
                try:
                    await self._check(deployment, entries)
                except BaseException:
                    _print_logs(deployment)
                    raise
                finally:
                    await deployment.close()

        run(scenario())

    async def _check(
        self, deployment: SimulatedDeployment, entries: dict[str, bytes]
    ) -> None:
        """Runs the scenario of `_with_entries`."""
        store = deployment.store
        for _ in range(PLAIN_RUNNERS):
            deployment.add_runner("stock")
        for _ in range(2):
            deployment.add_runner("cards", "d0")
        for number in range(1, ROUTERS + 1):
            deployment.add_router(number)
        await deployment.wait_until_ready()
        caller = Caller(deployment)
        for name, data in entries.items():
            store.put_raw("servers", name, data)
            await self._send(deployment, caller, count=ROUTERS)
        await self._replace_runners(deployment, caller)
        deployment.add_router(ROUTERS + 1)
        await deployment.wait_until_ready()
        await self._replace_runners(deployment, caller)
        # A changed entry is another event of the watch.
        for name, data in entries.items():
            store.put_raw("servers", name, data + b" ")
        await self._replace_runners(deployment, caller)
        for name in entries:
            store.remove("servers", name)
        await self._replace_runners(deployment, caller)
        for router in deployment.routers.values():
            self.assertTrue(router.alive, router.ip)
            # Nothing but the decoders meets an odd value.
            self.assertNotIn("work_failed", router.log_path.read_text())
        self.assertEqual([], deployment.breaches)

    async def _replace_runners(
        self, deployment: SimulatedDeployment, caller: Caller
    ) -> None:
        """Replaces all plain runners; then every router must serve again."""
        old = [
            runner
            for runner in deployment.runners.values()
            if runner.alive and runner.service == "stock"
        ]
        for _ in old:
            deployment.add_runner("stock")
        await asyncio.sleep(1.0)
        for runner in old:
            deployment.store.remove("servers", runner.runner_id)
            runner.crash()
        await self._send(deployment, caller, count=2 * ROUTERS + 2)

    async def _send(
        self,
        deployment: SimulatedDeployment,
        caller: Caller,
        *,
        count: int,
        kind: str = "safe",
    ) -> None:
        """Sends requests to all routers until they serve all of them."""
        routers = list(deployment.routers.values())
        deadline = time.monotonic() + FOLLOW_SECONDS
        outcomes: list[str] = []
        while time.monotonic() < deadline:
            outcomes = []
            for number in range(count):
                self._sent += 1
                outcomes.append(
                    await caller.send(
                        routers[number % len(routers)],
                        kind,
                        f"q{self._sent}",
                    )
                )
            if outcomes == ["served"] * count:
                return
            await asyncio.sleep(0.2)
        self.fail(f"requests end as {outcomes}")

    def _with_entry(self, reason: str) -> None:
        """Runs the scenario with one odd entry."""
        self._with_entries({"odd": odd_entries()[reason]})

    def test_routers_follow_runners_beside_cold_time_of_many_digits(
        self,
    ) -> None:
        self._with_entry("cold time of many digits")

    def test_routers_follow_runners_beside_deeply_nested_entry(self) -> None:
        self._with_entry("nested deeply")

    def test_routers_follow_runners_beside_number_of_too_many_digits(
        self,
    ) -> None:
        self._with_entry("too many digits")

    def test_routers_follow_runners_beside_bytes_that_are_no_text(self) -> None:
        self._with_entry("bytes that are no text")

    def test_routers_follow_runners_beside_entries_of_every_odd_form(
        self,
    ) -> None:
        self._with_entries(
            {
                f"odd-{number}": data
                for number, data in enumerate(odd_entries().values())
            }
        )

    def test_groups_are_repaired_beside_odd_objects_of_other_kinds(
        self,
    ) -> None:
        async def scenario() -> None:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
                try:
                    await self._check_other_kinds(deployment)
                except BaseException:
                    _print_logs(deployment)
                    raise
                finally:
                    await deployment.close()

        run(scenario())

    async def _check_other_kinds(self, deployment: SimulatedDeployment) -> None:
        """Puts odd objects of all other kinds, then breaks all groups."""
        for _ in range(PLAIN_RUNNERS):
            deployment.add_runner("stock")
        for _ in range(4):
            deployment.add_runner("cards", "d0")
        for number in range(1, ROUTERS + 1):
            deployment.add_router(number)
        await deployment.wait_until_ready()
        caller = Caller(deployment)
        store = deployment.store
        for number, data in enumerate(odd_objects()):
            store.put_raw("evacuations", f"elsewhere-{number}", data)
            store.put_raw("config", f"odd-{number}", data)
            store.put_raw("mulberrypaddle-routers", f"odd-{number}", data)
            store.put_raw("mulberrypaddle-duties", f"odd-{number}", data)
            # The lease of the duty itself: its owner loses it.
            store.put_raw("mulberrypaddle-duties", "south", data)
            await self._send(deployment, caller, count=ROUTERS)
            await asyncio.sleep(0.3)
        deployment.add_router(ROUTERS + 1)
        for head in deployment.open_heads():
            deployment.runners[head.members[1]].crash()
        await self._send(
            deployment, caller, count=2 * ROUTERS + 2, kind="write"
        )
        store.put_raw("config", "main", b'{"version": 1e999}')
        await self._send(deployment, caller, count=2 * ROUTERS + 2)
        deployment.put_config()
        await self._send(deployment, caller, count=2 * ROUTERS + 2)
        for router in deployment.routers.values():
            self.assertTrue(router.alive, router.ip)
            # Nothing but the decoders meets an odd value.
            self.assertNotIn("work_failed", router.log_path.read_text())
        self.assertEqual([], deployment.breaches)

    def test_runner_whose_entry_turns_unreadable_is_not_used(self) -> None:
        async def scenario() -> list[str]:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
                try:
                    deployment.add_runner("stock")
                    for _ in range(2):
                        deployment.add_runner("cards", "d0")
                    router = deployment.add_router(1)
                    await deployment.wait_until_ready()
                    runner = next(iter(deployment.runners.values()))
                    runner.report = (  # type: ignore[method-assign]
                        lambda: None
                    )
                    deployment.store.put_raw(
                        "servers", runner.runner_id, raw_entry("version", b"?")
                    )
                    await asyncio.sleep(2.0)
                    caller = Caller(deployment)
                    return [await caller.send(router, "safe", "q")]
                finally:
                    await deployment.close()

        self.assertEqual(["refused 503"], run(scenario()))


def _print_logs(deployment: SimulatedDeployment) -> None:
    """Prints the logs of all routers, which pytest shows with the failure."""
    for router in deployment.routers.values():
        if router.log_path.exists():
            print(f"log of {router.ip}:\n{router.log_path.read_text()}")
