"""Beats in a fleet too large for each router to tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.serving.peers import RELAY_SECONDS
from mulberrypaddle.serving.relays import MOST_IN_MESH
from tests.serving.test_digest import make_beat
from tests.support.peer_net import PeerNet, PlayedRouter
from tests.support.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SIZES = {"south": 12, "north": 10, "west": 8}

# Time in which a fleet that starts finds its relays.
SETTLE_SECONDS = 5.0


class LargeFleetTest(testtools.TestCase):
    """Thirty routers in three data centres."""

    def _run(self, scenario: Callable[[PeerNet], Awaitable[None]]) -> None:
        async def played() -> None:
            net = PeerNet(SIZES)
            try:
                net.own_all()
                await net.play(SETTLE_SECONDS)
                await scenario(net)
            finally:
                net.close()

        run_virtual(played())

    def test_each_data_centre_has_one_relay_and_all_counts(self) -> None:
        async def scenario(net: PeerNet) -> None:
            for name in SIZES:
                self.assertEqual(1, len(net.relays(name)), name)
            some = net.routers["10.1.0.5"]
            some.board.loads.begin("r1")
            await net.play(1.0)
            for router in net.routers.values():
                self.assertEqual(1, router.board.loads.total("r1"), router.ip)
                self.assertEqual(30, router.board.live_routers, router.ip)

        self._run(scenario)

    def test_messages_of_a_member_do_not_grow_with_the_fleet(self) -> None:
        async def scenario(net: PeerNet) -> None:
            before = {ip: router.sent for ip, router in net.routers.items()}
            await net.play(2.0)
            for ip, router in net.routers.items():
                if router.peers.relays.acts:
                    continue
                sent = router.sent - before[ip]
                self.assertLessEqual(sent, 2.0 / RELAY_SECONDS + 2, ip)

        self._run(scenario)

    def test_lost_relay_is_followed_by_its_successor(self) -> None:
        async def scenario(net: PeerNet) -> None:
            lost = net.relays("south")[0]
            lost.alive = False
            before = {ip: router.sent for ip, router in net.routers.items()}
            await net.play(1.1)
            followers = net.relays("south")
            self.assertEqual(1, len(followers))
            for router in net.of("south"):
                if router is not followers[0]:
                    self.assertEqual(
                        followers[0].ip,
                        router.peers.relays.relay_ip(router.board.now()),
                    )
            # No router tells all others while no relay is heard.
            for router in net.of("south"):
                if router is followers[0]:
                    continue
                sent = router.sent - before[router.ip]
                self.assertLess(sent, 2 * MOST_IN_MESH, router.ip)

        self._run(scenario)

    def test_successor_and_relay_lost_together_are_replaced(self) -> None:
        async def scenario(net: PeerNet) -> None:
            relay = net.relays("south")[0]
            member = next(r for r in net.of("south") if r is not relay)
            net.routers[member.peers.relays.successor].alive = False
            relay.alive = False
            await net.play(4.0)
            self.assertEqual(1, len(net.relays("south")))
            relay_ip = net.relays("south")[0].ip
            for router in net.of("south"):
                if router.ip != relay_ip:
                    self.assertEqual(
                        relay_ip,
                        router.peers.relays.relay_ip(router.board.now()),
                    )

        self._run(scenario)

    def test_router_that_comes_later_finds_its_relay_by_the_seeds(self) -> None:
        async def scenario(net: PeerNet) -> None:
            late = PlayedRouter(net, "10.1.0.99", "north")
            net.routers[late.ip] = late
            await net.play(1.5)
            relay = late.peers.relays.relay_ip(late.board.now())
            self.assertEqual(net.relays("north")[0].ip, relay)

        self._run(scenario)

    def test_relay_that_is_asked_all_the_time_still_tells_its_own(self) -> None:
        # Routers of other data centres that look for their relays are answered
        # at once; digests must not wait for a pause between the answers.
        async def scenario(net: PeerNet) -> None:
            relay = net.relays("south")[0]
            member = next(r for r in net.of("south") if r is not relay)
            for number in range(40):
                lost = make_beat(
                    f"lost-{number}", ip=f"10.9.0.{number}", data_centre="east"
                )
                relay.peers.datagram_received(lost.to_bytes(), ("10.9.0.1", 1))
                await net.play(0.1)
            now = member.board.now()
            self.assertEqual(relay.ip, member.peers.relays.relay_ip(now))

        self._run(scenario)

    def test_fleet_counts_as_large_from_its_start_on(self) -> None:
        # Sums of data centres that begin small must not make routers tell all
        # others again.
        async def played() -> list[str]:
            net = PeerNet(SIZES)
            net.own_all()
            await net.play(1.0)
            found = []
            for _ in range(100):
                await net.play(0.2)
                found += [
                    f"{router.ip} {router.board.live_routers}"
                    for router in net.routers.values()
                    if not router.peers.is_large
                ]
            net.close()
            return found

        self.assertEqual([], run_virtual(played()))


class ProcessOrderTest(testtools.TestCase):
    """Which of two processes of a VM is the later one."""

    def test_process_that_was_never_heard_has_not_ended(self) -> None:
        # The owner's new process took the duty before it was heard; the last
        # beat that came is of the process before it.
        async def played() -> list[bool]:
            net = PeerNet({"south": 2})
            told, teller = net.routers.values()
            await net.play(0.3)
            first = teller.peers.incarnation
            unheard = told.peers.has_ended("new")
            teller.peers.incarnation = "new"
            await net.play(0.3)
            found = [
                unheard,
                told.peers.has_ended(first),
                told.peers.has_ended("new"),
            ]
            net.close()
            return found

        self.assertEqual([False, True, False], run_virtual(played()))


class ForeignBytesTest(testtools.TestCase):
    """What is no message of a router ends none."""

    def test_bytes_and_fields_of_another_form_are_left_out(self) -> None:
        async def played() -> int:
            net = PeerNet({"south": 1})
            router = net.routers["10.0.0.1"]
            sound = make_beat("x", ip="10.0.0.9")
            datagrams = [b"", b"\x78\x9c", b"{", b"x" * 60_000]
            for name, value in (
                ("claims", {"south": 3}),
                ("claims", {"south": ["a"]}),
                ("loads", {"r": "many"}),
                ("stalled", {"r": None}),
                ("retries", {"s": [1]}),
                ("retries", {"s": 1}),
                ("resigned", {"a": 1}),
                ("known", [1]),
                ("relays", {"south": 2}),
                ("scope", "other"),
            ):
                setattr(sound, name, value)
                datagrams.append(sound.to_bytes())
                setattr(sound, name, getattr(make_beat("x"), name))
            for data in datagrams:
                router.peers.datagram_received(data, ("10.0.0.9", 1))
            router.peers.tick()
            heard = len(router.peers.peers)
            net.close()
            return heard

        self.assertEqual(0, run_virtual(played()))
