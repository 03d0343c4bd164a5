"""The duty manager: owners that can't renew, and who acquires a duty when."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.replicas.ownership import (
    LEASE_SECONDS,
    OwnerRecord,
    StoreReachability,
)
from mulberrypaddle.serving.duty_manager import (
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
from tests.serving.test_digest import make_heartbeat
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, free_port
from tests.support.virtual_time import run_virtual, virtual_lease_clock

if TYPE_CHECKING:
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.heartbeat import Heartbeat


class _Store(ObjectStore):
    """A store of lease objects that can stop answering.

    Attributes:
        silent: Whether calls get no answer.
        silent_from_call: Number of the call at which `silent` is set; 0 for
            none.
        calls: Number of calls so far, answered or not.
    """

    def __init__(self) -> None:
        self.silent = False
        self.silent_from_call = 0
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

    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
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
        if self.calls == self.silent_from_call:
            self.silent = True
        while self.silent:
            await asyncio.sleep(0.05)


class _Peers:
    """The other routers: two that report the store as a test sets it.

    Attributes:
        reachability: What they report of the store.
        observation_age_ms: Age of these reports.
        leads: Whether this router may acquire its data centre's duty.
        slow: Whether this router should not have duties.
        relays_heard: Data centres whose relay is heard.
        ended: Processes that are known to have ended.
        relays: Relays as this router knows them.
    """

    incarnation = "own"
    uses_relays = False

    def __init__(self) -> None:
        self.reachability = StoreReachability.UNREACHABLE
        self.observation_age_ms = 0
        self.leads = True
        self.slow = False
        self.relays_heard: set[str] = set()
        self.ended: set[str] = set()
        self.relays = Relays("south", ip="127.0.0.1", started_at_seconds=0.0)

    def heartbeats(self) -> list[Heartbeat]:
        heartbeats = [make_heartbeat(name, loads={}) for name in ("a", "b")]
        for heartbeat in heartbeats:
            heartbeat.store_sight = int(self.reachability)
            heartbeat.store_sight_age_ms = self.observation_age_ms
        return heartbeats

    def is_superseded(self, incarnation: str) -> bool:
        return incarnation in self.ended

    def count_direct_routers(self) -> int:
        return 3

    def should_yield_duties(self) -> bool:
        return self.slow

    def may_acquire_duty(self) -> bool:
        return self.leads

    def has_remote_relay(self, data_centre: str) -> bool:
        return data_centre in self.relays_heard


class _RouterHarness:
    """A duty manager with the store and the peers that it works with."""

    def __init__(self, board: Blackboard) -> None:
        self.store = _Store()
        self.peers = _Peers()
        self.manager = DutyManager(
            board,
            self.store,
            self.peers,  # type: ignore[arg-type]
        )

    async def run_ticks(self, seconds: float) -> list[bool]:
        """Runs ticks 0.1 s apart, as a router does.

        Returns:
            Whether a lease was held after each tick.
        """
        held = []
        for _ in range(int(seconds / 0.1)):
            for heartbeat in self.peers.heartbeats():
                self.manager.handle_heartbeat(heartbeat)
            self.manager.tick()
            held.append(self.manager.holds_any_lease())
            await asyncio.sleep(0.1)
        return held


class StoreOutageTest(testtools.TestCase):
    """A store that does not answer, with and without others that reach it."""

    def _run_outage(
        self, reachability: StoreReachability, *, observation_age_ms: int = 0
    ) -> tuple[list[bool], bool]:
        """Runs an owner whose store stops answering.

        Args:
            reachability: What the other routers report of the store.
            observation_age_ms: Age of these reports.

        Returns:
            Whether the lease was held after each tick, and whether the owner
            resigned.
        """

        async def scenario() -> tuple[list[bool], bool]:
            path = FrontEndHarness()
            owner = _RouterHarness(path.board)
            owner.peers.reachability = reachability
            owner.peers.observation_age_ms = observation_age_ms
            with virtual_lease_clock():
                task = asyncio.ensure_future(owner.manager.run())
                while not owner.manager.holds_any_lease():
                    await asyncio.sleep(0.05)
                owner.store.silent = True
                held = await owner.run_ticks(LEASE_SECONDS + 2.0)
                task.cancel()
                path.close()
                return held, bool(owner.manager.resigned())

        result: tuple[list[bool], bool] = run_virtual(scenario())
        return result

    def test_keeps_the_lease_while_no_router_reaches_the_store(self) -> None:
        held, resigned = self._run_outage(StoreReachability.UNREACHABLE)
        self.assertTrue(all(held))
        self.assertFalse(resigned)

    def test_resigns_before_its_lease_ends_if_others_reach_the_store(
        self,
    ) -> None:
        held, resigned = self._run_outage(StoreReachability.REACHABLE)
        self.assertFalse(held[-1])
        self.assertTrue(resigned)
        self.assertLess(held.index(False) * 0.1, LEASE_SECONDS)

    def test_ignores_reports_from_before_the_outage(self) -> None:
        # A router that did not receive the request to probe the store reports
        # a call from before the outage.
        _, resigned = self._run_outage(
            StoreReachability.REACHABLE, observation_age_ms=60_000
        )
        self.assertFalse(resigned)

    def test_resignation_does_not_cover_a_later_ownership(self) -> None:
        async def scenario() -> list[bool]:
            path = FrontEndHarness()
            owner, other = (
                _RouterHarness(path.board),
                _RouterHarness(path.board),
            )
            other.manager._store = owner.store
            other.peers.incarnation = "other"  # type: ignore[misc]
            resigned = make_heartbeat("own", loads={})
            resigned.resigned = {"own": {"south": 3}}
            other.manager.handle_heartbeat(resigned)
            record = OwnerRecord(
                "x", incarnation="own", address="10.255.255.1:1", renewals=0
            )
            ended = []
            for revision in (3, 4):
                ended.append(
                    other.manager._has_owner_ended(
                        record, duty="south", revision=revision
                    )
                )
            path.close()
            return ended

        self.assertEqual([True, False], run(scenario()))

    def test_stops_when_its_lease_ends_if_no_router_reports(self) -> None:
        held, resigned = self._run_outage(StoreReachability.UNKNOWN)
        self.assertFalse(held[-1])
        self.assertFalse(resigned)


class AcquisitionTest(testtools.TestCase):
    """A router that acquires the duty."""

    def test_calls_on_acquired_with_the_lease_held(self) -> None:
        async def scenario() -> list[bool]:
            path = FrontEndHarness()
            owner = _RouterHarness(path.board)
            acquired: list[bool] = []
            owner.manager.on_acquired = lambda: acquired.append(
                owner.manager.holds_any_lease()
            )
            task = asyncio.ensure_future(owner.manager.run())
            await asyncio.sleep(0.4)
            task.cancel()
            path.close()
            return acquired

        self.assertEqual([True], run(scenario()))

    def _stop_during_call(self, number: int) -> tuple[bool, list[bool]]:
        """Stops a router during one of its calls to acquire a duty.

        Args:
            number: Number of the call during which the signal comes.

        Returns:
            Whether the router holds a lease afterwards, and whether each
            stored lease is released.
        """

        async def scenario() -> tuple[bool, list[bool]]:
            harness = FrontEndHarness()
            owner = _RouterHarness(harness.board)
            owner.store.silent_from_call = number
            task = asyncio.ensure_future(owner.manager.run())
            while owner.store.calls < number:
                await asyncio.sleep(0.01)
            harness.begin_stop(left_seconds=8.0)
            await owner.manager.release_all()
            owner.store.silent = False
            await asyncio.sleep(0.3)
            held = owner.manager.holds_any_lease()
            listed = (await owner.store.list(Collection.DUTIES)).unwrap()
            task.cancel()
            harness.close()
            released = []
            for item in listed.items:
                record = OwnerRecord.from_value(owner.store.value_of(item))
                assert record is not None
                released.append(record.given_up)
            return held, released

        return run(scenario())

    def test_router_that_stops_while_it_reads_leases_acquires_none(
        self,
    ) -> None:
        self.assertEqual((False, []), self._stop_during_call(1))

    def test_lease_that_is_written_during_a_stop_is_released(self) -> None:
        self.assertEqual((False, [True]), self._stop_during_call(2))


class StoreProbeTest(testtools.TestCase):
    """A router that an owner asks whether it reaches the store."""

    def test_probes_the_store_when_asked(self) -> None:
        async def scenario() -> list[StoreReachability]:
            path = FrontEndHarness()
            asked = _RouterHarness(path.board)
            task = asyncio.ensure_future(asked.manager.run())
            await asyncio.sleep(0.3)
            results = [asked.manager.store_reachability()]
            asked.store.silent = True
            request = make_heartbeat("owner", loads={})
            request.asks_for_store = True
            asked.manager.handle_heartbeat(request)
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS + 0.2)
            results.append(asked.manager.store_reachability())
            task.cancel()
            path.close()
            return results

        self.assertEqual(
            [StoreReachability.REACHABLE, StoreReachability.UNREACHABLE],
            run(scenario()),
        )


class EndedOwnerTest(testtools.TestCase):
    """Evidence that the process of an owner has ended."""

    def test_refused_connection_is_no_evidence(self) -> None:
        # A partitioned link may refuse connections to a router that is alive
        # and sends orders.
        async def scenario() -> bool:
            path = FrontEndHarness()
            other = _RouterHarness(path.board)
            record = OwnerRecord(
                "x",
                incarnation="alive",
                address=f"127.0.0.2:{free_port()}",
                renewals=0,
            )
            await other.store.create(
                Collection.DUTIES, "south", record.to_value()
            )
            task = asyncio.ensure_future(other.manager.run())
            await asyncio.sleep(1.2)
            held = other.manager.holds_any_lease()
            task.cancel()
            path.close()
            return held

        self.assertFalse(run(scenario()))

    def test_later_process_of_the_same_vm_is_evidence(self) -> None:
        async def scenario() -> bool:
            path = FrontEndHarness()
            other = _RouterHarness(path.board)
            other.peers.ended.add("dead")
            record = OwnerRecord(
                "x", incarnation="dead", address="127.0.0.2:1", renewals=0
            )
            await other.store.create(
                Collection.DUTIES, "south", record.to_value()
            )
            task = asyncio.ensure_future(other.manager.run())
            await asyncio.sleep(0.6)
            held = other.manager.holds_any_lease()
            task.cancel()
            path.close()
            return held

        self.assertTrue(run(scenario()))


class DutiesTest(testtools.TestCase):
    """One duty for each data centre."""

    def _run_manager(
        self, *, large: bool, seconds: float
    ) -> tuple[set[str], int]:
        """Runs a manager until after the relay of "west" is heard.

        Args:
            large: Whether the fleet is large.
            seconds: Time after which that relay is heard.

        Returns:
            Duties held and the number of duties resigned from.
        """

        async def scenario() -> tuple[set[str], int]:
            path = FrontEndHarness()
            path.board.settings.data_centres = ("north", "south", "west")
            owner = _RouterHarness(path.board)
            owner.peers.uses_relays = large  # type: ignore[misc]
            task = asyncio.ensure_future(owner.manager.run())
            await asyncio.sleep(seconds)
            owner.peers.relays_heard.add("west")
            await asyncio.sleep(0.5)
            task.cancel()
            path.close()
            return set(owner.manager.fences()), len(owner.manager.resigned())

        return run(scenario())

    def test_one_router_of_a_small_fleet_acquires_all(self) -> None:
        held, _ = self._run_manager(large=False, seconds=0.6)
        self.assertEqual({"north", "south", "west"}, held)

    def test_relay_of_a_large_fleet_acquires_its_own_duty(self) -> None:
        held, _ = self._run_manager(large=True, seconds=0.6)
        self.assertEqual({"south"}, held & {"south"})

    def test_releases_a_remote_duty_when_its_relay_is_heard(self) -> None:
        held, resigned = self._run_manager(
            large=True, seconds=REMOTE_OWNER_SILENCE_SECONDS + 1.5
        )
        self.assertEqual({"north", "south"}, held)
        self.assertEqual(1, resigned)

    def test_does_not_acquire_a_released_remote_duty_again(self) -> None:
        async def scenario() -> int:
            path = FrontEndHarness()
            path.board.settings.data_centres = ("north", "south")
            owner = _RouterHarness(path.board)
            owner.peers.uses_relays = True  # type: ignore[misc]
            task = asyncio.ensure_future(owner.manager.run())
            await asyncio.sleep(REMOTE_OWNER_SILENCE_SECONDS + 1.5)
            owner.peers.relays_heard.add("north")
            await asyncio.sleep(REMOTE_OWNER_SILENCE_SECONDS + 1.5)
            task.cancel()
            path.close()
            return len(owner.manager.fences())

        self.assertEqual(1, run(scenario()))

    def test_second_router_of_a_small_fleet_acquires_none(self) -> None:
        async def scenario() -> tuple[set[str], int]:
            path = FrontEndHarness()
            other = _RouterHarness(path.board)
            for _ in range(10):
                heartbeat = make_heartbeat(
                    "owner", claims={"south": ("owner", 1, 2000)}
                )
                other.manager.handle_heartbeat(heartbeat)
                if not _:
                    task = asyncio.ensure_future(other.manager.run())
                await asyncio.sleep(0.1)
            task.cancel()
            path.close()
            return set(other.manager.fences()), other.store.calls

        self.assertEqual((set(), 0), run(scenario()))

    def test_slow_router_acquires_none(self) -> None:
        async def scenario() -> set[str]:
            path = FrontEndHarness()
            owner = _RouterHarness(path.board)
            owner.peers.slow = True
            task = asyncio.ensure_future(owner.manager.run())
            await asyncio.sleep(0.6)
            task.cancel()
            path.close()
            return set(owner.manager.fences())

        self.assertEqual(set(), run(scenario()))
