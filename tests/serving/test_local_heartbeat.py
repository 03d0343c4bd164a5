"""Heartbeats that cover only their own router."""

from __future__ import annotations

import hashlib
import zlib

import testtools

from mulberrypaddle.dispatch.crash_attribution import (
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
)
from mulberrypaddle.serving.digest import merge_heartbeats
from mulberrypaddle.serving.heartbeat import SCOPE_FLEET, Heartbeat
from mulberrypaddle.serving.local_heartbeat import make_local_heartbeat
from mulberrypaddle.serving.peer import DutyStatus
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness

# Longest payload of a UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65_507


def _heartbeat_after_crashes(seed: int) -> Heartbeat:
    """Returns a heartbeat after many crashes with long ids of parts.

    Args:
        seed: Ids of different seeds are different.
    """

    async def scenario() -> Heartbeat:
        harness = FrontEndHarness()
        attribution = harness.board.crash_attribution
        for number in range(MAX_CRASHES):
            incarnation = (f"{seed}-{number}", 1)
            parts = [
                hashlib.sha256(f"{seed}-{number}-{part}".encode()).hexdigest()
                for part in range(MAX_PARTS_PER_CRASH)
            ]
            if number % 2:
                attribution.record_answer(parts, number - 1.0)
            attribution.record_interruption(
                incarnation,
                address="10.0.0.1:80",
                parts=parts,
                now_seconds=float(number),
            )
            attribution.confirm_crash(incarnation, 300.0)
        heartbeat = make_local_heartbeat(
            harness.board,
            duty_status=DutyStatus(),
            incarnation=str(seed),
            capacity=0,
            revisions={},
            known=[],
            relays={},
            now_seconds=300.0,
        )
        harness.close()
        return heartbeat

    return run(scenario())


class SizeTest(testtools.TestCase):
    """Heartbeats fit into a datagram, whatever callers put into requests."""

    def test_heartbeat_after_crashes_with_many_parts_is_a_datagram(
        self,
    ) -> None:
        data = _heartbeat_after_crashes(1).to_bytes()
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)

    def test_digest_of_answered_parts_is_a_datagram(self) -> None:
        digest = merge_heartbeats(
            _heartbeat_after_crashes(1),
            [_heartbeat_after_crashes(seed) for seed in range(2, 12)],
            scope=SCOPE_FLEET,
        )
        data = digest.to_bytes()
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertGreater(len(zlib.decompress(data)), len(data))
