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
    OwnerLoop,
)
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    Listing,
    ObjectStore,
    StoredItem,
)
from tests.serving.test_digest import make_beat
from tests.support.asynchronous import run
from tests.support.serving_path import ServingPath

if TYPE_CHECKING:
    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.board import ServingBoard


class _Store(ObjectStore):
    """Keeps the owner's record, or falls silent."""

    def __init__(self) -> None:
        self.silent = False
        self._value: Any = None
        self._revision = 0

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        raise NotImplementedError

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        raise NotImplementedError

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        await self._answer()
        if self._value is None:
            return Success(None)
        return Success(self._item())

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
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
        if revision not in (None, self._revision):
            return Failure(Problem(ErrorKind.CONFLICT, name))
        self._revision += 1
        self._value = value
        return Success(self._item())

    def value_of(self, item: StoredItem) -> Any:
        return item.content

    def _item(self) -> StoredItem:
        return StoredItem(
            "groups", revision=self._revision, content=self._value
        )

    async def _answer(self) -> None:
        while self.silent:
            await asyncio.sleep(0.05)


class _Peers:
    """Two other routers that see the store as a test says."""

    incarnation = "own"

    def __init__(self) -> None:
        self.sight = StoreSight.FAILED
        self.age_ms = 0

    def beats(self) -> list[Beat]:
        beats = [make_beat(name, loads={}) for name in ("a", "b")]
        for beat in beats:
            beat.store_sight = int(self.sight)
            beat.store_sight_age_ms = self.age_ms
        return beats

    def incarnation_of(self, node: str) -> str | None:
        return None


class _Owner:
    """An owner loop with what is around it."""

    def __init__(self, board: ServingBoard) -> None:
        self.store = _Store()
        self.peers = _Peers()
        self.loop = OwnerLoop(
            board,
            self.store,
            self.peers,  # type: ignore[arg-type]
        )
        board.live_routers = 3

    async def tick(self, seconds: float) -> list[bool]:
        """Ticks as a router does and says whether it held each time."""
        held = []
        for _ in range(int(seconds / 0.1)):
            for beat in self.peers.beats():
                self.loop.take_beat(beat)
            self.loop.tick()
            held.append(self.loop.holds())
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
            while not owner.loop.holds():
                await asyncio.sleep(0.05)
            owner.store.silent = True
            held = await owner.tick(LEASE_SECONDS + 2.0)
            task.cancel()
            path.close()
            return held, owner.loop.resigned_revision > 0

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
            resigned.resigned_revision = 3
            other.loop.take_beat(resigned)
            record = OwnerRecord(
                "x", incarnation="own", address="10.255.255.1:1", renewals=0
            )
            found = []
            for revision in (3, 4):
                found.append(await other.loop._has_ended(record, revision))
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
            owner.loop.on_taken = lambda: taken.append(owner.loop.holds())
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
            sights = [asked.loop.store_sight()]
            asked.store.silent = True
            question = make_beat("owner", loads={})
            question.asks_for_store = True
            asked.loop.take_beat(question)
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS + 0.2)
            sights.append(asked.loop.store_sight())
            task.cancel()
            path.close()
            return sights

        self.assertEqual(
            [StoreSight.SERVED, StoreSight.FAILED], run(scenario())
        )
