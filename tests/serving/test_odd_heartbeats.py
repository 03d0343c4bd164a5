"""Datagrams that no sound router sends."""

from __future__ import annotations

import asyncio
import json
import zlib
from typing import Any

import testtools

from mulberrypaddle.replicas.ownership import StoreReachability
from mulberrypaddle.serving.heartbeat import Heartbeat
from mulberrypaddle.serving.peer_exchange import PeerExchange
from tests.serving.test_digest import make_heartbeat
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness

_HUGE = 10**400

ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {"ip": "no address"},
    {"ip": "127.0.0.1\u0000"},
    {"ip": "\ud800"},
    {"node": ""},
    {"data_centre": "a\nb"},
    {"capacity": _HUGE},
    {"capacity": True},
    {"routers": _HUGE},
    {"routers": -1},
    {"fleet": 10**9},
    {"revisions": {"runners": _HUGE}},
    {"revisions": {"runners": True}},
    {"loads": {"i-1": _HUGE}},
    {"loads": {"i-1": -1}},
    {"waiting": {"small": _HUGE}},
    {"demand": {"small": float("nan")}},
    {"demand": {"small": float("inf")}},
    {"demand": {"small": -1.0}},
    {"demand": {"small": _HUGE}},
    {"opening": {"small": _HUGE}},
    {"stalled": {"i-1": _HUGE}},
    {"cleared": {"p": _HUGE}},
    {"crashes": {"i-1 1": [_HUGE, []]}},
    {"retries": {"cards": [_HUGE, 0]}},
    {"retries": {"cards": [0, True]}},
    {"claims": {"south": ["other", 1, _HUGE]}},
    {"claims": {"south": {"a": 1, "b": 2, "c": 3}}},
    {"crashes": {"i-1 1": {"a": 1, "b": 2}}},
    {"retries": {"cards": {"a": 1, "b": 2}}},
    {"retries": {"cards": 7}},
    {"claims": {"south": ["other", _HUGE, 1]}},
    {"resigned": {"other": {"south": _HUGE}}},
    {"store_sight": 7},
    {"store_sight": True},
    {"store_sight_age_ms": _HUGE},
)


def _datagram(**fields: Any) -> bytes:
    """Returns a heartbeat with odd fields, which `Heartbeat` may refuse."""
    heartbeat = make_heartbeat("other", ip="127.0.0.9")
    values = {name: getattr(heartbeat, name) for name in heartbeat.__slots__}
    return json.dumps({**values, "form": 3, **fields}).encode()


def _odd_datagrams() -> list[bytes]:
    sound = _datagram()
    nested = b'{"a":' * 50_000 + b"1" + b"}" * 50_000
    return [
        b"",
        b"{",
        b"[]",
        b"\x00" * 100,
        b"\xff" * 60_000,
        sound[:-20],
        sound.replace(b'"capacity": 100', b'"capacity": ' + b"9" * 5_000),
        sound.replace(b'"capacity": 100', b'"capacity": 1e999'),
        zlib.compress(nested),
        zlib.compress(b"[" * 900_000),
        zlib.compress(sound)[:-30],
        b"x\x9c" + b"\x00" * 50,
        *(_datagram(**fields) for fields in ODD_FIELDS),
    ]


class OddDatagramTest(testtools.TestCase):
    """The exchange of heartbeats goes on after odd datagrams."""

    def test_odd_datagrams_change_nothing(self) -> None:
        async def scenario() -> tuple[list[str], list[str]]:
            path = FrontEndHarness()
            peers = PeerExchange(path.board, [])
            escaped = []
            for data in _odd_datagrams():
                try:
                    peers.datagram_received(data, ("127.0.0.9", 1))
                    peers.tick()
                except Exception as error:  # noqa: BLE001 - reported below
                    escaped.append(f"{data[:80]!r}: {error!r}"[:300])
            known = [str(peer) for peer in peers.peers]
            path.close()
            return escaped, known

        escaped, known = run(scenario())
        self.assertEqual([], escaped)
        self.assertEqual([], known)

    def test_heartbeats_are_sent_after_an_odd_address_was_recorded(
        self,
    ) -> None:
        odd_addresses = ("127.0.0.1\u0000", "\ud800", "no address", "")

        async def scenario() -> int:
            first, second = FrontEndHarness(), FrontEndHarness()
            second.settings.ip = "127.0.0.2"
            second.settings.node = "second"
            second.settings.peer_port = first.settings.peer_port
            sender = PeerExchange(first.board, [])
            receiver = PeerExchange(second.board, [])
            await sender.start()
            await receiver.start()
            for address in odd_addresses:
                sender.record_address(address, "south")
            sender.tick()
            await asyncio.sleep(0.05)
            sender.record_address("127.0.0.2", "south")
            sender.tick()
            await asyncio.sleep(0.1)
            first.close()
            second.close()
            return len(receiver.peers)

        self.assertEqual(1, run(scenario()))

    def test_heartbeats_are_sent_after_the_socket_was_closed(self) -> None:
        async def scenario() -> int:
            first, second = FrontEndHarness(), FrontEndHarness()
            second.settings.ip = "127.0.0.2"
            second.settings.node = "second"
            second.settings.peer_port = first.settings.peer_port
            sender = PeerExchange(first.board, [])
            receiver = PeerExchange(second.board, [])
            await sender.start()
            await receiver.start()
            sender.record_address("127.0.0.2", "south")
            assert sender._transport is not None
            sender._transport.abort()
            for _ in range(30):
                await asyncio.sleep(0.1)
                sender.tick()
                if receiver.peers:
                    break
            first.close()
            second.close()
            return len(receiver.peers)

        self.assertEqual(1, run(scenario()))

    def test_odd_addresses_of_other_routers_are_left_out(self) -> None:
        odd_addresses = ["127.0.0.1\u0000", "\ud800", "nowhere", "", "::1%a b"]
        heartbeat = Heartbeat.from_bytes(
            _datagram(
                known=[*odd_addresses, "127.0.0.3"],
                relays={
                    **{address: address for address in odd_addresses},
                    "south": "127.0.0.4",
                },
                successor="nowhere",
            )
        )
        self.assertEqual(["127.0.0.3"], heartbeat.known)
        self.assertEqual({"south": "127.0.0.4"}, heartbeat.relays)
        self.assertEqual("", heartbeat.successor)

    def test_heartbeat_of_each_store_reachability_is_accepted(self) -> None:
        for reachability in StoreReachability:
            heartbeat = make_heartbeat("other", store_sight=reachability)
            decoded = Heartbeat.from_bytes(heartbeat.to_bytes())
            self.assertEqual(reachability, decoded.store_sight)

    def test_odd_values_are_refused_when_decoded(self) -> None:
        for data in _odd_datagrams():
            self.assertRaises(ValueError, Heartbeat.from_bytes, data)
