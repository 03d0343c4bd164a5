"""Reading the platform's store while some of its objects can't be read."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Result, Success

from mulberrypaddle.platform import lenient_json
from mulberrypaddle.platform import store as platform_store
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving.store import Changes, Collection, Listing
from mulberrypaddle.serving.store_era import FIRST_ERA
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port
from tests.support.odd_entries import RUNNER_FIELDS, odd_entries
from tests.support.simulated_deployment import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.core.errors import Problem

# Values that can't be decoded wherever they are.
UNREADABLE = (
    "nested deeply",
    "objects nested deeply",
    "too many digits",
    "bytes that are no text",
    "raw line break",
    "word",
    "number of too many digits",
    "only nested",
)


def _read(
    scenario: Callable[[Store, PlatformStore], Awaitable[Any]],
) -> Any:
    """Runs a scenario with the stand-in of the store and a client of it."""

    async def connected() -> Any:
        address = ("127.0.0.1", free_port())
        store = Store(address)
        store.put("servers", "a", RUNNER_FIELDS)
        client = PlatformStore(f"{address[0]}:{address[1]}")
        try:
            return await scenario(store, client)
        finally:
            store.close()

    return run(connected())


def _value(result: Result[Any, Problem]) -> Any:
    """Returns the value of a result; fails with the problem if it has none."""
    if not isinstance(result, Success):
        raise AssertionError(result.failure().detail)
    return result.unwrap()


def _runner_names(items: list[Any]) -> list[str]:
    decoder = PlatformDecoder()
    return sorted(
        item.name
        for item in items
        if decoder.decode_runner(item, now_seconds=0.0) is not None
    )


class UnreadableObjectTest(testtools.TestCase):
    """One object of a page can't be read; the others hold."""

    def test_list_holds_beside_unreadable_object(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Listing:
            store.put_raw("servers", "odd", odd_entries()[reason])
            store.put("servers", "z", RUNNER_FIELDS)
            return (await client.list(Collection.RUNNERS)).unwrap()

        for reason in odd_entries():
            listing = _read(scenario)
            self.assertEqual(["a", "z"], _runner_names(listing.items), reason)

    def test_watch_holds_beside_unreadable_object(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore
        ) -> tuple[Changes, Changes]:
            since = store.revision
            store.put_raw("servers", "odd", odd_entries()[reason])
            store.put("servers", "z", RUNNER_FIELDS)
            changes = await client.watch(
                Collection.RUNNERS, revision=since, wait_seconds=1.0
            )
            store.remove("servers", "odd")
            removal = await client.watch(
                Collection.RUNNERS,
                revision=_value(changes).revision,
                wait_seconds=1.0,
            )
            return _value(changes), _value(removal)

        for reason in odd_entries():
            changes, removal = _read(scenario)
            self.assertEqual(["z"], _runner_names(changes.changed), reason)
            self.assertEqual(["odd"], removal.removed, reason)

    def test_object_that_turns_unreadable_is_a_change(self) -> None:
        async def scenario(store: Store, client: PlatformStore) -> Changes:
            since = store.revision
            store.put_raw("servers", "a", odd_entries()[reason])
            return (
                await client.watch(
                    Collection.RUNNERS, revision=since, wait_seconds=1.0
                )
            ).unwrap()

        for reason in UNREADABLE:
            changed = _read(scenario).changed
            self.assertEqual(["a"], [item.name for item in changed], reason)
            self.assertEqual([], _runner_names(changed), reason)

    def test_pages_go_on_after_an_unreadable_object(self) -> None:
        pages = {
            "": ["a", "odd"],
            "odd": ["z"],
        }
        asked: list[str] = []

        async def scenario(store: Store, client: PlatformStore) -> Listing:
            async def request(method: str, path: str, **_: Any) -> Any:
                after = path.partition("after=")[2]
                asked.append(after)
                items = [
                    {
                        "metadata": {"name": name, "revision": 3},
                        "spec": None if name == "odd" else RUNNER_FIELDS,
                    }
                    for name in pages[after]
                ]
                return Success(
                    {
                        "items": items,
                        "hasMore": after == "",
                        "storeRevision": 9,
                    }
                )

            client._request = request  # type: ignore[method-assign]
            return (await client.list(Collection.RUNNERS)).unwrap()

        listing = _read(scenario)
        self.assertEqual(["", "odd"], asked)
        self.assertEqual(["a", "z"], _runner_names(listing.items))

    def test_objects_without_a_usable_name_or_revision_are_left_out(
        self,
    ) -> None:
        metadata: list[Any] = [
            None,
            [],
            {"name": "x"},
            {"revision": 3},
            {"name": 3, "revision": 3},
            {"name": "x", "revision": True},
            {"name": "x", "revision": float("inf")},
            {"name": "x", "revision": float("nan")},
            {"name": "x", "revision": -1},
            {"name": "x", "revision": 10**400},
            {"name": "\ud800", "revision": 3},
            {"name": "", "revision": 3},
        ]
        page = {
            "events": [
                None,
                "text",
                {},
                *({"object": {"metadata": value}} for value in metadata),
            ],
            "storeRevision": 9,
        }
        changes = platform_store._parse_changes(page, FIRST_ERA)
        self.assertEqual([], changes.changed)
        self.assertEqual(9, changes.revision)

    def test_page_without_a_usable_revision_fails(self) -> None:
        async def scenario(
            store: Store, client: PlatformStore
        ) -> list[tuple[Any, Any]]:
            results = []
            for text in ("1e999", "NaN", "true", "null", "-3", "9" * 400):
                page = (
                    b'{"items":[],"events":[],"hasMore":false,'
                    b'"storeRevision":%s}' % text.encode()
                )

                async def request(
                    *_: Any, page: bytes = page, **__: Any
                ) -> Any:
                    return Success(json.loads(page))

                client._request = request  # type: ignore[method-assign]
                results.append(
                    (
                        await client.list(Collection.RUNNERS),
                        await client.watch(
                            Collection.RUNNERS, revision=3, wait_seconds=1.0
                        ),
                    )
                )
            return results

        for listed, watched in _read(scenario):
            self.assertFalse(isinstance(listed, Success))
            self.assertFalse(isinstance(watched, Success))

    def test_text_that_never_ends_is_refused_in_linear_time(self) -> None:
        for odd in (b'"' + b'\\"' * 400_000, b"[" * 400_000, b'{"a":' * 80_000):
            page = b'{"items": [{"metadata": ' + odd
            self.assertRaises(ValueError, lenient_json.decode, page, levels=3)
