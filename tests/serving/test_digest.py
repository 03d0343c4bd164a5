"""One message for all in place of one from each to each."""

from __future__ import annotations

import zlib
from typing import Any

import testtools

from mulberrypaddle.serving.beat import (
    MOST_BEAT_BYTES,
    PLAIN_BYTES,
    SCOPE_FLEET,
    SCOPE_ROUTER,
    Beat,
)
from mulberrypaddle.serving.digest import merge_into, without_own


def make_beat(node: str, **fields: Any) -> Beat:
    """Returns a beat of a router that owns nothing.

    Args:
        node: Name of the router.
        fields: Fields that differ from an idle router's.
    """
    given: dict[str, Any] = {
        "node": node,
        "incarnation": node,
        "ip": "127.0.0.1",
        "data_centre": "south",
        "capacity": 100,
        "revisions": {},
        "loads": {},
        "failing": [],
        "silent": [],
        "stalled": {},
        "losses": {},
        "waiting": {},
        "retries": {},
        "demand": {},
        "known": [],
        "opening": {},
        "claims": {},
        "resigned": {},
        "watches": False,
        "store_sight": -1,
        "store_sight_age_ms": 0,
        "asks_for_store": False,
        "scope": SCOPE_ROUTER,
        "routers": 1,
        "fleet": 1,
        "relays": {},
        "successor": "",
        "changes": {},
        "stopping": False,
    }
    given.update(fields)
    return Beat(**given)


class DigestTest(testtools.TestCase):
    """The hub sums up, and each router takes its own part off."""

    def test_counts_are_summed(self) -> None:
        digest = merge_into(
            make_beat("a", loads={"r1": 2}),
            [
                make_beat("b", loads={"r1": 1, "r2": 4}),
                make_beat("c", loads={}),
            ],
            scope=SCOPE_FLEET,
        )
        self.assertEqual({"r1": 3, "r2": 4}, digest.loads)
        self.assertEqual(3, digest.routers)

    def test_sightings_are_joined(self) -> None:
        digest = merge_into(
            make_beat(
                "a", loads={}, failing=["r1"], silent=["r3"], stalled={"h": 300}
            ),
            [
                make_beat(
                    "b",
                    loads={},
                    failing=["r2"],
                    stalled={"h": 100},
                    losses={"m": ["r1"]},
                ),
                make_beat("c", loads={}, losses={"m": ["r2"]}),
            ],
            scope=SCOPE_FLEET,
        )
        self.assertEqual(["r1", "r2"], digest.failing)
        self.assertEqual(["r3"], digest.silent)
        self.assertEqual({"h": 100}, digest.stalled)
        self.assertEqual({"m": ["r1", "r2"]}, digest.losses)

    def test_own_part_is_taken_off(self) -> None:
        self.assertEqual(
            {"r1": 2}, without_own({"r1": 3, "r2": 1}, {"r1": 1, "r2": 1})
        )

    def test_digest_survives_the_wire(self) -> None:
        digest = merge_into(
            make_beat("a", loads={"r1": 2}), [], scope=SCOPE_FLEET
        )
        again = Beat.from_bytes(digest.to_bytes())
        self.assertEqual(1, again.routers)
        self.assertEqual({"r1": 2}, again.loads)

    def test_other_bytes_are_no_beat(self) -> None:
        for data in (b"", b"[]", b"{}", b'{"form":1}', b'{"form":9}'):
            self.assertRaises(ValueError, Beat.from_bytes, data)

    def test_fields_of_another_type_are_no_beat(self) -> None:
        self.assertRaises(ValueError, make_beat, "a", loads=[])
        self.assertRaises(ValueError, make_beat, "a", other=1)

    def test_long_messages_are_packed_and_bounded(self) -> None:
        loads = {f"runner-{number}": 1 for number in range(500)}
        data = make_beat("a", loads=loads).to_bytes()
        self.assertLess(len(data), PLAIN_BYTES * 5)
        self.assertEqual(loads, Beat.from_bytes(data).loads)
        unfolding = zlib.compress(b" " * (MOST_BEAT_BYTES + 1))
        self.assertRaises(ValueError, Beat.from_bytes, unfolding)

    def test_sums_of_sums_count_all(self) -> None:
        south = merge_into(
            make_beat("a", loads={"r1": 2}, demand={"m": 1.0}),
            [make_beat("b", loads={"r1": 1}, demand={"m": 0.5})],
            scope=SCOPE_FLEET,
        )
        total = merge_into(
            make_beat("c", opening={"m": 400}),
            [south, make_beat("d", opening={"m": 100})],
            scope=SCOPE_FLEET,
        )
        self.assertEqual(4, total.routers)
        self.assertEqual({"r1": 3}, total.loads)
        self.assertEqual({"m": 1.5}, total.demand)
        self.assertEqual({"m": 100}, total.opening)
