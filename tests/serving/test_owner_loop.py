"""An owner whose renewals are not answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.replicas.ownership import (
    LEASE_SECONDS,
    OwnerRecord,
    StoreSight,
)
from mulberrypaddle.serving.owner_loop import (
    PROBE_TIMEOUT_SECONDS,
    REMOTE_OWNER_SILENCE_SECONDS,
    DutyManager,
)
from mulberrypaddle.serving.relays import Relays
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    Listing,
    ObjectStore,
    StoredItem,
)
from tests.serving.test_digest import make_beat
from tests.support.asynchronous import run
from tests.support.serving_path import ServingPath, free_port

if TYPE_CHECKING:
    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.board import ServingBoard


class _Store(ObjectStore):
    """Keeps the owner's record, or falls silent."""

    def __init__(self) -> None:
        self.silent = False
        self.calls = 0
        self._values: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._revision = 0

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        await self._answer()
        items = [self._item(name) for name in self._values]
        return Success(Listing(items, revision=self._revision))

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        raise NotImplementedError

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        await self._answer()
        if name not in self._values:
            return Success(None)
        return Success(self._item(name))

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        if name in self._values:
            return Failure(Problem(ErrorKind.CONFLICT, name))
        return await self.replace(collection, name, value, revision=None)

    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        await self._answer()
        if revision not in (None, self._revisions.get(name)):
            return Failure(Problem(ErrorKind.CONFLICT, name))
        self._revision += 1
        self._revisions[name] = self._revision
        self._values[name] = value
        return Success(self._item(name))

    def value_of(self, item: StoredItem) -> Any:
        return item.content

    def _item(self, name: str) -> StoredItem:
        return StoredItem(
            name, revision=self._revisions[name], content=self._values[name]
        )

    async def _answer(self) -> None:
        self.calls += 1
        while self.silent:
            await asyncio.sleep(0.05)


class _Peers:
    """Two other routers that see the store as a test says."""

    incarnation = "own"
    is_large = False

    def __init__(self) -> None:
        self.sight = StoreSight.FAILED
        self.age_ms = 0
        self.leads = True
        self.slow = False
        self.heard_relays: set[str] = set()
        self.ended: set[str] = set()
        self.relays = Relays("south", ip="127.0.0.1", started_at_seconds=0.0)

    def beats(self) -> list[Beat]:
        beats = [make_beat(name, loads={}) for name in ("a", "b")]
        for heartbeat in beats:
            heartbeat.store_sight = int(self.sight)
            heartbeat.store_sight_age_ms = self.age_ms
        return beats

    def has_ended(self, incarnation: str) -> bool:
        return incarnation in self.ended

    def direct_routers(self) -> int:
        return 3

    def should_stand_back(self) -> bool:
        return self.slow

    def may_lead(self) -> bool:
        return self.leads

    def relays_for(self, data_centre: str) -> bool:
        return data_centre in self.heard_relays


class _Owner:
    """An owner loop with what is around it."""

    def __init__(self, board: ServingBoard) -> None:
        self.store = _Store()
        self.peers = _Peers()
        self.loop = DutyManager(
            board,
            self.store,
            self.peers,  # type: ignore[arg-type]
        )

    async def tick(self, seconds: float) -> list[bool]:
        """Ticks as a router does and says whether it held each time."""
        held = []
        for _ in range(int(seconds / 0.1)):
            for heartbeat in self.peers.beats():
                self.loop.handle_heartbeat(heartbeat)
            self.loop.tick()
            held.append(self.loop.holds_any_lease())
            await asyncio.sleep(0.1)
        return held


class OwnerLoopTest(testtools.TestCase):
    """Silence of the store, with and without others that reach it."""

    def _play(
        self, sight: StoreSight, *, age_ms: int = 0
    ) -> tuple[list[bool], bool]:
        async def scenario() -> tuple[list[bool], bool]:
            path = ServingPath()
            owner = _Owner(path.board)
            owner.peers.sight = sight
            owner.peers.age_ms = age_ms
            task = asyncio.ensure_future(owner.loop.run())
            while not owner.loop.holds_any_lease():
                await asyncio.sleep(0.05)
            owner.store.silent = True
            held = await owner.tick(LEASE_SECONDS + 2.0)
            task.cancel()
            path.close()
            return held, bool(owner.loop.resigned())

        return run(scenario())

    def test_goes_on_through_a_silence_that_all_see(self) -> None:
        held, resigned = self._play(StoreSight.FAILED)
        self.assertTrue(all(held))
        self.assertFalse(resigned)

    def test_hands_over_before_its_lease_ends(self) -> None:
        held, resigned = self._play(StoreSight.SERVED)
        self.assertFalse(held[-1])
        self.assertTrue(resigned)
        self.assertLess(held.index(False) * 0.1, LEASE_SECONDS)

    def test_sights_from_before_the_silence_do_not_count(self) -> None:
        # A router that is not reached by the question saw the store last
        # before the outage.
        _, resigned = self._play(StoreSight.SERVED, age_ms=60_000)
        self.assertFalse(resigned)

    def test_resignation_ends_with_the_next_ownership(self) -> None:
        async def scenario() -> list[bool]:
            path = ServingPath()
            owner, other = _Owner(path.board), _Owner(path.board)
            other.loop._store = owner.store
            other.peers.incarnation = "other"  # type: ignore[misc]
            resigned = make_beat("own", loads={})
            resigned.resigned = {"own": {"south": 3}}
            other.loop.handle_heartbeat(resigned)
            record = OwnerRecord(
                "x", incarnation="own", address="10.255.255.1:1", renewals=0
            )
            found = []
            for revision in (3, 4):
                found.append(
                    other.loop._has_ended(
                        record, duty="south", revision=revision
                    )
                )
            path.close()
            return found

        self.assertEqual([True, False], run(scenario()))

    def test_stops_with_its_lease_while_nobody_knows(self) -> None:
        held, resigned = self._play(StoreSight.UNKNOWN)
        self.assertFalse(held[-1])
        self.assertFalse(resigned)


class TakingTest(testtools.TestCase):
    """A router that takes the duty."""

    def test_it_reads_the_store_anew(self) -> None:
        async def scenario() -> list[bool]:
            path = ServingPath()
            owner = _Owner(path.board)
            taken: list[bool] = []
            owner.loop.on_acquired = lambda: taken.append(
                owner.loop.holds_any_lease()
            )
            task = asyncio.ensure_future(owner.loop.run())
            await asyncio.sleep(0.4)
            task.cancel()
            path.close()
            return taken

        self.assertEqual([True], run(scenario()))


class AskedRouterTest(testtools.TestCase):
    """A router that an owner asks what it sees of the store."""

    def test_it_looks_at_the_store(self) -> None:
        async def scenario() -> list[StoreSight]:
            path = ServingPath()
            asked = _Owner(path.board)
            task = asyncio.ensure_future(asked.loop.run())
            await asyncio.sleep(0.3)
            sights = [asked.loop.store_reachability()]
            asked.store.silent = True
            question = make_beat("owner", loads={})
            question.asks_for_store = True
            asked.loop.handle_heartbeat(question)
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS + 0.2)
            sights.append(asked.loop.store_reachability())
            task.cancel()
            path.close()
            return sights

        self.assertEqual(
            [StoreSight.SERVED, StoreSight.FAILED], run(scenario())
        )


class EndedOwnerTest(testtools.TestCase):
    """What proves that the process of an owner has ended."""

    def test_refused_connection_proves_nothing(self) -> None:
        # A link that is cut may refuse connections to a router that lives and
        # gives orders.
        async def scenario() -> bool:
            path = ServingPath()
            other = _Owner(path.board)
            record = OwnerRecord(
                "x",
                incarnation="alive",
                address=f"127.0.0.2:{free_port()}",
                renewals=0,
            )
            await other.store.create(
                Collection.DUTIES, "south", record.to_value()
            )
            task = asyncio.ensure_future(other.loop.run())
            await asyncio.sleep(1.2)
            held = other.loop.holds_any_lease()
            task.cancel()
            path.close()
            return held

        self.assertFalse(run(scenario()))

    def test_later_process_of_the_same_vm_proves_it(self) -> None:
        async def scenario() -> bool:
            path = ServingPath()
            other = _Owner(path.board)
            other.peers.ended.add("dead")
            record = OwnerRecord(
                "x", incarnation="dead", address="127.0.0.2:1", renewals=0
            )
            await other.store.create(
                Collection.DUTIES, "south", record.to_value()
            )
            task = asyncio.ensure_future(other.loop.run())
            await asyncio.sleep(0.6)
            held = other.loop.holds_any_lease()
            task.cancel()
            path.close()
            return held

        self.assertTrue(run(scenario()))


class DutiesTest(testtools.TestCase):
    """One duty for each data centre."""

    def _play(self, *, large: bool, seconds: float) -> tuple[set[str], int]:
        async def scenario() -> tuple[set[str], int]:
            path = ServingPath()
            path.board.settings.data_centres = ("north", "south", "west")
            owner = _Owner(path.board)
            owner.peers.is_large = large  # type: ignore[misc]
            task = asyncio.ensure_future(owner.loop.run())
            await asyncio.sleep(seconds)
            owner.peers.heard_relays.add("west")
            await asyncio.sleep(0.5)
            task.cancel()
            path.close()
            return set(owner.loop.fences()), len(owner.loop.resigned())

        return run(scenario())

    def test_one_router_of_a_small_fleet_takes_all(self) -> None:
        held, _ = self._play(large=False, seconds=0.6)
        self.assertEqual({"north", "south", "west"}, held)

    def test_relay_of_a_large_fleet_takes_its_own(self) -> None:
        held, _ = self._play(large=True, seconds=0.6)
        self.assertEqual({"south"}, held & {"south"})

    def test_duty_of_another_data_centre_is_given_back(self) -> None:
        held, resigned = self._play(
            large=True, seconds=REMOTE_OWNER_SILENCE_SECONDS + 1.5
        )
        self.assertEqual({"north", "south"}, held)
        self.assertEqual(1, resigned)

    def test_duty_that_was_given_back_is_left_to_others(self) -> None:
        async def scenario() -> int:
            path = ServingPath()
            path.board.settings.data_centres = ("north", "south")
            owner = _Owner(path.board)
            owner.peers.is_large = True  # type: ignore[misc]
            task = asyncio.ensure_future(owner.loop.run())
            await asyncio.sleep(REMOTE_OWNER_SILENCE_SECONDS + 1.5)
            owner.peers.heard_relays.add("north")
            await asyncio.sleep(REMOTE_OWNER_SILENCE_SECONDS + 1.5)
            task.cancel()
            path.close()
            return len(owner.loop.fences())

        self.assertEqual(1, run(scenario()))

    def test_second_router_of_a_small_fleet_takes_none(self) -> None:
        async def scenario() -> tuple[set[str], int]:
            path = ServingPath()
            other = _Owner(path.board)
            for _ in range(10):
                heartbeat = make_beat(
                    "owner", claims={"south": ("owner", 1, 2000)}
                )
                other.loop.handle_heartbeat(heartbeat)
                if not _:
                    task = asyncio.ensure_future(other.loop.run())
                await asyncio.sleep(0.1)
            task.cancel()
            path.close()
            return set(other.loop.fences()), other.store.calls

        self.assertEqual((set(), 0), run(scenario()))

    def test_slow_router_takes_none(self) -> None:
        async def scenario() -> set[str]:
            path = ServingPath()
            owner = _Owner(path.board)
            owner.peers.slow = True
            task = asyncio.ensure_future(owner.loop.run())
            await asyncio.sleep(0.6)
            task.cancel()
            path.close()
            return set(owner.loop.fences())

        self.assertEqual(set(), run(scenario()))
