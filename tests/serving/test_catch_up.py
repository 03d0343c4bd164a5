"""From whom a router takes collections after its start."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.catch_up import CatchUp
from mulberrypaddle.serving.store import Collection
from tests.serving.test_digest import make_beat
from tests.serving.test_feed import _Store, _Watched
from tests.support.asynchronous import run
from tests.support.serving_path import free_port

NAME = Collection.RUNNERS.value


class StartTest(testtools.TestCase):
    """A process that knows nothing yet."""

    def _fetches(self, *, watches: bool, store_fails: bool) -> bool:
        async def scenario() -> bool:
            feed = _Watched(_Store()).feed
            if store_fails:
                feed._failures = 1
            catch_up = CatchUp({NAME: feed}, address=("127.0.0.1", free_port()))
            fetched: list[str] = []

            async def fetch(name: str, ip: str) -> None:
                fetched.append(ip)

            catch_up._fetch = fetch  # type: ignore[method-assign]
            beat = make_beat("old", revisions={NAME: 7}, watches=watches)
            catch_up.compare(beat, 100.0)
            for task in list(catch_up._tasks):
                await task
            return bool(fetched)

        return run(scenario())

    def test_router_that_is_cut_off_itself_is_not_relied_on(self) -> None:
        self.assertFalse(self._fetches(watches=False, store_fails=False))

    def test_router_that_vouches_for_the_store_is(self) -> None:
        self.assertTrue(self._fetches(watches=True, store_fails=False))

    def test_any_router_is_while_the_store_fails(self) -> None:
        self.assertTrue(self._fetches(watches=False, store_fails=True))
