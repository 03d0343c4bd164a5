"""One message for all in place of one from each to each."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.beat import Beat
from mulberrypaddle.serving.digest import merge_into, without_own


def make_beat(
    node: str,
    *,
    loads: dict[str, int],
    failing: list[str] | None = None,
    silent: list[str] | None = None,
    stalled: dict[str, int] | None = None,
    losses: dict[str, list[str]] | None = None,
) -> Beat:
    """Returns a beat of a router that owns nothing."""
    return Beat(
        node=node,
        incarnation=node,
        ip="127.0.0.1",
        revisions={},
        loads=loads,
        failing=failing or [],
        silent=silent or [],
        stalled=stalled or {},
        losses=losses or {},
        store_sight_age_ms=0,
        retries={},
        waiting={},
        demand={},
        known=[],
        opening={},
        renewals=-1,
        lease_left=0,
        watches=False,
        store_sight=-1,
        asks_for_store=False,
        resigned_revision=0,
        stopping=False,
    )


class DigestTest(testtools.TestCase):
    """The hub sums up, and each router takes its own part off."""

    def test_counts_are_summed(self) -> None:
        digest = merge_into(
            make_beat("a", loads={"r1": 2}),
            [
                make_beat("b", loads={"r1": 1, "r2": 4}),
                make_beat("c", loads={}),
            ],
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
        digest = merge_into(make_beat("a", loads={"r1": 2}), [])
        again = Beat.from_bytes(digest.to_bytes())
        self.assertEqual(1, again.routers)
        self.assertEqual({"r1": 2}, again.loads)

    def test_other_bytes_are_no_beat(self) -> None:
        for data in (b"", b"[]", b"{}", b'{"form":1}', b'{"form":9}'):
            self.assertRaises(ValueError, Beat.from_bytes, data)
