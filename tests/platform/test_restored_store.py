"""Reading and writing a store that comes back from a copy."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure

from mulberrypaddle.core.errors import ErrorKind, Ran
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving.store import Collection, HistoryGoneError
from mulberrypaddle.serving.store_era import (
    MAX_ERA,
    era_of,
    make_revision,
)
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port
from tests.support.odd_entries import RUNNER_FIELDS
from tests.support.simulated_deployment import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.serving.store import Listing


def _play(
    scenario: Callable[[Store, PlatformStore], Awaitable[Any]],
) -> Any:
    """Runs a scenario with the stand-in of the store and a client of it."""

    async def connected() -> Any:
        address = ("127.0.0.1", free_port())
        store = Store(address)
        client = PlatformStore(f"{address[0]}:{address[1]}")
        try:
            return await scenario(store, client)
        finally:
            store.close()

    return run(connected())


async def _list_runners(client: PlatformStore) -> Listing:
    return (await client.list(Collection.RUNNERS)).unwrap()


class RestoredStoreTest(testtools.TestCase):
    """Revisions rise although the store gives them out again."""

    def test_list_after_a_restore_is_newer(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore
        ) -> tuple[Listing, Listing]:
            store.put("servers", "a", RUNNER_FIELDS)
            copied = store.make_copy()
            store.put("servers", "b", RUNNER_FIELDS)
            before = await _list_runners(client)
            store.restore(copied)
            return before, await _list_runners(client)

        before, after = _play(scenario)
        self.assertTrue(after.revision > before.revision)
        self.assertTrue(
            min(item.revision for item in after.items)
            > max(item.revision for item in before.items)
        )

    def test_watch_from_a_reissued_revision_reports_gone_history(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> None:
            copied = store.make_copy()
            store.put("servers", "a", RUNNER_FIELDS)
            revision = (await _list_runners(client)).revision
            store.restore(copied)
            store.put("servers", "b", RUNNER_FIELDS)
            store.put("servers", "c", RUNNER_FIELDS)
            await client.watch(
                Collection.RUNNERS, revision=revision, wait_seconds=0.1
            )

        self.assertRaises(HistoryGoneError, _play, scenario)

    def test_condition_of_the_era_before_does_not_hold(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore, knows_era: bool
        ) -> Any:
            copied = store.make_copy()
            created = await client.create(Collection.DUTIES, "d", {"n": 1})
            store.restore(copied)
            store.put("mulberrypaddle-duties", "d", {"n": 2})
            if knows_era:
                await client.list(Collection.DUTIES)
            return await client.replace(
                Collection.DUTIES,
                "d",
                {"n": 3},
                revision=created.unwrap().revision,
            )

        for knows_era in (True, False):
            result = _play(functools.partial(scenario, knows_era=knows_era))
            self.assertIsInstance(result, Failure)
            self.assertEqual(ErrorKind.CONFLICT, result.failure().kind)

    def test_answer_of_the_era_before_is_refused(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Any:
            store.era = 2
            await client.list(Collection.RUNNERS)
            store.era = 1
            return await client.list(Collection.RUNNERS)

        self.assertIsInstance(_play(scenario), Failure)

    def test_answers_without_an_era_leave_it_as_it_is(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore
        ) -> list[Listing]:
            listings = []
            for era in (None, 1, 3, None):
                store.era = era
                listings.append(await _list_runners(client))
            return listings

        revisions = [listing.revision for listing in _play(scenario)]
        self.assertEqual(revisions[0], revisions[1])
        self.assertTrue(revisions[2] > revisions[1])
        self.assertEqual(revisions[2], revisions[3])

    def test_odd_eras_are_refused(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Any:
            store.era = era
            return await client.list(Collection.RUNNERS)

        for era in (-1, MAX_ERA + 1, 10**30, "x", "", "1.5", "\xb2"):
            self.assertIsInstance(_play(scenario), Failure, repr(era))

    def test_era_that_another_router_has_seen_counts(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore, era: int | None
        ) -> Any:
            store.era = era
            # The copy came from a router that has seen the second era.
            return await client.watch(
                Collection.RUNNERS,
                revision=make_revision(store.revision, 2),
                wait_seconds=0.1,
            )

        for era in (None, 2):
            changes = _play(functools.partial(scenario, era=era)).unwrap()
            self.assertEqual(2, era_of(changes.revision))
        result = _play(functools.partial(scenario, era=1))
        self.assertIsInstance(result, Failure)

    def test_condition_of_an_era_that_another_router_has_seen(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Any:
            created = await client.create(Collection.DUTIES, "d", {"n": 1})
            result = await client.replace(
                Collection.DUTIES,
                "d",
                {"n": 2},
                revision=make_revision(created.unwrap().revision, 2),
            )
            return result, await client.list(Collection.DUTIES)

        result, listed = _play(scenario)
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, result.failure().kind)
        self.assertIs(Ran.UNKNOWN, result.failure().ran)
        self.assertIsInstance(listed, Failure)

    def test_write_that_a_reissued_revision_let_through_has_run(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Any:
            copied = store.make_copy()
            created = await client.create(Collection.DUTIES, "d", {"n": 1})
            store.restore(copied)
            store.put("mulberrypaddle-duties", "d", {"n": 2})
            result = await client.replace(
                Collection.DUTIES,
                "d",
                {"n": 3},
                revision=created.unwrap().revision,
            )
            item = (await client.read(Collection.DUTIES, "d")).unwrap()
            return result.failure(), client.value_of(item)

        problem, value = _play(scenario)
        self.assertEqual({"n": 3}, value)
        self.assertEqual(ErrorKind.CONFLICT, problem.kind)
        self.assertIs(Ran.RAN, problem.ran)
