"""Versions of the configuration that can't be decoded, beside others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from mulberrypaddle.platform import decoder as decoder_module
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.serving.store import Listing, StoredItem
from mulberrypaddle.serving.store_era import make_revision
from tests.serving.test_older_configuration import (
    apply_version,
    config_item,
    with_router,
)

if TYPE_CHECKING:
    from mulberrypaddle.serving.router import ServingRouter

_HUGE = 10**18


def unreadable_item(version: int, *, revision: int) -> StoredItem:
    """Returns the object of a configuration whose routes are no list."""
    item = config_item(version, revision=revision)
    item.content["spec"]["routes"] = 7
    return item


def list_unreadable(
    router: ServingRouter, version: int, *, revision: int
) -> None:
    """Makes the configuration feed list an unreadable version."""
    item = unreadable_item(version, revision=revision)
    router._config_feed.apply_listing(Listing([item], revision=revision))


def version_in_force(router: ServingRouter) -> int | None:
    """Returns the version that requests are judged by; None without one."""
    config = router.board.config
    return None if config is None else config.version


class UnreadableVersionTest(testtools.TestCase):
    """A version that can't be decoded stands in the way of no other one."""

    def test_valid_version_follows_an_unreadable_higher_one(self) -> None:
        def scenario(router: ServingRouter) -> list[int | None]:
            versions = []
            apply_version(router, 12, revision=10)
            list_unreadable(router, _HUGE, revision=11)
            versions.append(version_in_force(router))
            apply_version(router, 13, revision=12)
            versions.append(version_in_force(router))
            return versions

        self.assertEqual([12, 13], with_router(scenario))

    def test_valid_version_follows_an_unreadable_one_in_a_watch(self) -> None:
        def scenario(router: ServingRouter) -> int | None:
            apply_version(router, 12, revision=10)
            feed = router._config_feed
            for item in (
                unreadable_item(_HUGE, revision=11),
                config_item(13, revision=12),
            ):
                feed._apply(
                    [item], removed=[], revision=item.revision, complete=False
                )
            return version_in_force(router)

        self.assertEqual(13, with_router(scenario))

    def test_first_valid_version_follows_an_unreadable_one(self) -> None:
        def scenario(router: ServingRouter) -> int | None:
            list_unreadable(router, _HUGE, revision=11)
            apply_version(router, 13, revision=12)
            return version_in_force(router)

        self.assertEqual(13, with_router(scenario))

    def test_unreadable_version_is_not_adopted_from_another_router(
        self,
    ) -> None:
        message = {
            "revision": 11,
            "since": 0,
            "after_outage": False,
            "whole": True,
            "removed": [],
            "items": [
                {
                    "name": "main",
                    "revision": 11,
                    "content": unreadable_item(_HUGE, revision=11).content,
                }
            ],
        }

        def scenario(router: ServingRouter) -> list[Any]:
            apply_version(router, 12, revision=20)
            feed = router._config_feed
            return [feed.adopt_versions(message), feed.version]

        self.assertEqual([False, 12], with_router(scenario))

    def test_starting_router_gets_the_version_in_force(self) -> None:
        def knowing(router: ServingRouter) -> Any:
            apply_version(router, 12, revision=10)
            list_unreadable(router, 13, revision=11)
            return router._config_feed.to_message(0)

        message = with_router(knowing)

        def starting(router: ServingRouter) -> int | None:
            # The store has nothing else.
            list_unreadable(router, 13, revision=11)
            router._config_feed.adopt_versions(message)
            return version_in_force(router)

        self.assertEqual(12, with_router(starting))

    def test_unreadable_version_of_a_restored_store_is_passed_over(
        self,
    ) -> None:
        def scenario(router: ServingRouter) -> int | None:
            apply_version(router, 12, revision=make_revision(285, 1))
            list_unreadable(router, 14, revision=make_revision(263, 2))
            apply_version(router, 11, revision=make_revision(264, 2))
            apply_version(router, 13, revision=make_revision(265, 2))
            return version_in_force(router)

        self.assertEqual(13, with_router(scenario))

    def test_unreadable_version_is_not_logged_as_an_older_one(self) -> None:
        def scenario(router: ServingRouter) -> None:
            apply_version(router, 12, revision=10)
            with self.assertNoLogs("mulberrypaddle.beliefs", "INFO"):
                list_unreadable(router, _HUGE, revision=11)

        with_router(scenario)

    def test_version_is_decoded_once(self) -> None:
        decoder = PlatformDecoder()
        item = config_item(12, revision=10)
        with mock.patch.object(
            decoder_module,
            "_read_config",
            side_effect=decoder_module._read_config,
        ) as read_config:
            for _ in range(3):
                self.assertEqual(12, decoder.config_version(item))
                config = decoder.decode_config([item])
                assert config is not None
                self.assertEqual(12, config.version)
        self.assertEqual(1, read_config.call_count)
