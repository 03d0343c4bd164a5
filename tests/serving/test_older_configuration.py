"""An older configuration of a restored store that took effect."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving.router import ServingRouter
from mulberrypaddle.serving.runner_control import RunnerControl
from mulberrypaddle.serving.store import Listing, ObjectStore, StoredItem
from mulberrypaddle.serving.store_era import make_revision
from tests.support.asynchronous import run
from tests.support.front_end_harness import make_settings

if TYPE_CHECKING:
    from collections.abc import Callable


def config_item(version: Any, *, revision: int, host: str = "a") -> StoredItem:
    """Returns the object of a configuration with one route."""
    route = {
        "name": "cards",
        "host": host,
        "pathPrefix": "/",
        "kind": "safe",
        "service": "cards",
    }
    spec = {"version": version, "routes": [route], "services": []}
    return StoredItem(
        "main",
        revision=revision,
        content={
            "metadata": {"name": "main", "revision": revision},
            "spec": spec,
        },
    )


def with_router(scenario: Callable[[ServingRouter], Any]) -> Any:
    """Returns what a scenario returns for a router that doesn't run."""

    async def call() -> Any:
        router = ServingRouter(
            make_settings(),
            store=mock.create_autospec(ObjectStore),
            decoder=PlatformDecoder(),
            header_codec=PlatformHeaderCodec(),
            control=mock.create_autospec(RunnerControl),
        )
        result = scenario(router)
        router.board.client.close()
        return result

    return run(call())


def apply_version(
    router: ServingRouter, version: Any, *, revision: int, host: str = "a"
) -> None:
    """Makes the configuration feed list a version."""
    router._config_feed.apply_listing(
        Listing(
            [config_item(version, revision=revision, host=host)],
            revision=revision,
        )
    )


class VersionInForceTest(testtools.TestCase):
    """The version that a router judges requests by."""

    def _versions(self, *steps: tuple[int, int]) -> list[int]:
        """Returns the version in force after each version and revision."""

        def scenario(router: ServingRouter) -> list[int]:
            versions = []
            for version, revision in steps:
                apply_version(router, version, revision=revision)
                assert router.board.config is not None
                versions.append(router.board.config.version)
            return versions

        result: list[int] = with_router(scenario)
        return result

    def test_older_version_of_a_restored_store_does_not_take_effect(
        self,
    ) -> None:
        versions = self._versions(
            (12, make_revision(285, 1)),
            (11, make_revision(263, 2)),
            (12, make_revision(265, 2)),
            (13, make_revision(266, 2)),
        )
        self.assertEqual([12, 12, 12, 13], versions)

    def test_versions_rise_through_two_restores_in_a_row(self) -> None:
        versions = self._versions(
            (12, make_revision(285, 1)),
            (11, make_revision(263, 2)),
            (10, make_revision(250, 3)),
            (14, make_revision(251, 3)),
        )
        self.assertEqual([12, 12, 12, 14], versions)

    def test_same_version_of_a_new_era_is_no_change(self) -> None:
        def scenario(router: ServingRouter) -> bool:
            apply_version(router, 12, revision=make_revision(285, 1))
            before = router.board.config
            apply_version(router, 12, revision=make_revision(290, 2))
            return router.board.config is before

        self.assertTrue(with_router(scenario))

    def test_version_written_again_with_other_content_takes_effect(
        self,
    ) -> None:
        def scenario(router: ServingRouter) -> list[bool]:
            apply_version(router, 12, revision=10, host="a")
            apply_version(router, 12, revision=11, host="b")
            config = router.board.config
            assert config is not None
            return [
                config.route_for(host, "/") is not None for host in ("a", "b")
            ]

        self.assertEqual([False, True], with_router(scenario))

    def test_feed_that_logs_follows_the_new_era_with_an_older_version(
        self,
    ) -> None:
        def scenario(router: ServingRouter) -> int:
            apply_version(router, 12, revision=make_revision(285, 1))
            apply_version(router, 11, revision=make_revision(263, 2))
            return router._config_feed.revision

        # As in a running router; otherwise entries are not made at all.
        logger = logging.getLogger("mulberrypaddle.beliefs")
        before = logger.level
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, before)
        self.assertEqual(make_revision(263, 2), with_router(scenario))

    def test_feed_follows_the_new_era_with_the_same_version(self) -> None:
        def scenario(router: ServingRouter) -> int:
            apply_version(router, 12, revision=make_revision(285, 1))
            apply_version(router, 12, revision=make_revision(263, 2))
            return router._config_feed.revision

        self.assertEqual(make_revision(263, 2), with_router(scenario))
