"""What a router knows of the age of its copies of the store."""

from __future__ import annotations

import asyncio
import math
import types
from typing import TYPE_CHECKING
from unittest import mock

import testtools
from returns.result import Success

from mulberrypaddle.serving import feed as feed_module
from mulberrypaddle.serving.collection_sync import AGE_HEADER, CHECKSUM_HEADER
from mulberrypaddle.serving.heartbeat import Heartbeat
from mulberrypaddle.serving.store import Changes, Listing
from tests.serving.test_digest import make_heartbeat
from tests.serving.test_feed import _FeedHarness, _item, _Store
from tests.support.version_fleet import VersionFleet
from tests.support.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.serving.feed import Feed


def make_feed(*revisions: int) -> Feed:
    """Returns a feed that holds one object for each revision."""
    feed = _FeedHarness(_Store()).feed
    feed.apply_listing(
        Listing(
            [_item(f"r{revision}", revision) for revision in revisions],
            revision=max(revisions),
        )
    )
    return feed


class AgeTest(testtools.TestCase):
    """Age of a copy by calls to the store."""

    def _ages(
        self, scenario: Callable[[_FeedHarness, _Store], Awaitable[list[float]]]
    ) -> list[float]:
        async def play() -> list[float]:
            loop = asyncio.get_running_loop()
            clock = types.SimpleNamespace(monotonic=loop.time)
            with mock.patch.object(feed_module, "time", clock):
                store = _Store()
                harness = _FeedHarness(store)
                task = asyncio.ensure_future(harness.feed.run())
                ages = await scenario(harness, store)
                task.cancel()
                return [round(age, 2) for age in ages]

        result: list[float] = run_virtual(play())
        return result

    def test_grows_from_the_moment_at_which_a_call_was_sent(self) -> None:
        async def scenario(harness: _FeedHarness, store: _Store) -> list[float]:
            ages = [harness.feed.age_seconds()]
            await asyncio.sleep(1.0)
            ages.append(harness.feed.age_seconds())
            await asyncio.sleep(2.0)
            return [*ages, harness.feed.age_seconds()]

        self.assertEqual([math.inf, 1.0, 3.0], self._ages(scenario))

    def test_answer_does_not_confirm_what_came_after_its_call(self) -> None:
        async def scenario(harness: _FeedHarness, store: _Store) -> list[float]:
            # The list is answered at once, the watch after two seconds.
            store.watches = [Changes([], removed=[], revision=1)]
            store.answer_seconds = 2.0
            await asyncio.sleep(2.5)
            return [harness.feed.age_seconds()]

        self.assertEqual([2.5], self._ages(scenario))


class SharedAgeTest(testtools.TestCase):
    """Ages that routers tell one another."""

    def test_age_of_an_equal_copy_is_taken_over(self) -> None:
        feed, other = make_feed(1, 2), make_feed(2, 1)
        feed.adopt_age(other.checksum, confirmed_at_seconds=5.0)
        self.assertEqual(5.0, feed.confirmed_at_seconds)
        feed.adopt_age(other.checksum, confirmed_at_seconds=4.0)
        self.assertEqual(5.0, feed.confirmed_at_seconds)

    def test_age_of_another_copy_is_not_taken_over(self) -> None:
        for revisions in ((1,), (1, 3), (1, 2, 3)):
            feed, other = make_feed(1, 2), make_feed(*revisions)
            feed.adopt_age(other.checksum, confirmed_at_seconds=5.0)
            self.assertIsNone(feed.confirmed_at_seconds, str(revisions))

    def test_copy_that_lacks_a_removal_is_listed_again(self) -> None:
        # The other router has listed the collection after the removal of r2.
        feed, other = make_feed(1, 2, 5), make_feed(1, 5)
        for _ in range(2):
            feed.compare_with(
                other.checksum, changed_revision=other.changed_revision
            )
            self.assertTrue(feed._must_list)

    def test_copy_that_is_only_behind_is_not_listed_again(self) -> None:
        for revisions in ((1, 2), (1, 2, 5), (1, 2, 5, 6)):
            feed, other = make_feed(1, 2, 5), make_feed(*revisions)
            feed._must_list = False
            feed.compare_with(
                other.checksum, changed_revision=other.changed_revision
            )
            self.assertFalse(feed._must_list, str(revisions))

    def test_contradictions_do_not_cause_a_list_each(self) -> None:
        feed, other = make_feed(1, 2, 5), make_feed(1, 5)
        lists = 0
        for _ in range(5):
            feed._must_list = False
            feed.compare_with(
                other.checksum, changed_revision=other.changed_revision
            )
            lists += feed._must_list
        self.assertEqual(1, lists)

    def test_checksum_is_of_the_objects_and_not_of_how_they_came(self) -> None:
        feed = make_feed(1, 2, 5)
        feed._apply_watch_result(
            Success(Changes([_item("r1", 7)], removed=["r5"], revision=8))
        )
        other = _FeedHarness(_Store()).feed
        other.apply_listing(
            Listing([_item("r2", 2), _item("r1", 7)], revision=9)
        )
        self.assertEqual(feed.checksum, other.checksum)

    def test_heartbeat_carries_ages_past_routers_of_earlier_versions(
        self,
    ) -> None:
        heartbeat = make_heartbeat("a")
        heartbeat.ages = {"configuration": (120, 77)}
        decoded = Heartbeat.from_bytes(heartbeat.to_bytes())
        self.assertEqual({"configuration": [120, 77]}, decoded.ages)
        self.assertEqual({}, decoded.changes)
        self.assertEqual(
            {}, Heartbeat.from_bytes(make_heartbeat("a").to_bytes()).ages
        )

    def test_odd_ages_are_refused(self) -> None:
        for age in ([1], [1, -2], [-1, 2], ["1", 2], 1, None, [1, 2, 3]):
            heartbeat = make_heartbeat("a")
            heartbeat.ages = {"configuration": age}  # type: ignore[dict-item]
            data = heartbeat.to_bytes()
            self.assertRaises(ValueError, Heartbeat.from_bytes, data)


class FleetAgeTest(testtools.TestCase):
    """Ages in a fleet whose routers hear one another."""

    def test_no_circle_of_routers_makes_a_copy_younger(self) -> None:
        # Each of them hears the ages of the others ten times a second.
        async def play() -> list[float]:
            fleet = VersionFleet({"south": 4}, bound_seconds=2.0)
            ages = []

            async def scenario() -> None:
                for router in fleet.routers:
                    router.path.state = router.path.state.SILENT
                await asyncio.sleep(5.0)
                for router in fleet.routers:
                    ages.append(router.router.board.config_age_seconds())

            await fleet.run(scenario())
            return ages

        for age in run_virtual(play()):
            self.assertGreaterEqual(age, 5.0)

    def test_cached_answer_tells_the_age_at_the_time_of_its_sending(
        self,
    ) -> None:
        async def play() -> list[tuple[int, str]]:
            fleet = VersionFleet({"south": 1}, bound_seconds=2.0)
            told = []

            async def scenario() -> None:
                sync = fleet.routers[0].router._peers.collection_sync
                fleet.routers[0].path.state = fleet.routers[0].path.state.SILENT
                for _ in range(2):
                    await asyncio.sleep(1.0)
                    headers = sync.make_answer("configuration", 0)[1]
                    told.append(
                        (int(headers[AGE_HEADER]), headers[CHECKSUM_HEADER])
                    )

            await fleet.run(scenario())
            return told

        (first_ms, first), (second_ms, second) = run_virtual(play())
        self.assertEqual(first, second)
        self.assertAlmostEqual(1000, second_ms - first_ms, delta=2)
