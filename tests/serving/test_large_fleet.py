"""Heartbeats in a fleet that is large enough to use relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.serving import peer_exchange
from mulberrypaddle.serving.announcements import record_leaving
from mulberrypaddle.serving.relays import relay_interval_seconds
from tests.serving.test_digest import make_heartbeat
from tests.support.peer_net import PeerNet, PlayedRouter
from tests.support.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SIZES = {"south": 12, "north": 10, "west": 8}

# Time in which a starting fleet elects its relays.
SETTLE_SECONDS = 5.0


def _runner(runner_id: str) -> RunnerEntry:
    """Returns the entry of a runner that says that it is ready."""
    return RunnerEntry(
        runner_id,
        started_at_ms=1,
        service="stock",
        address="127.0.0.1:1",
        data_centre="south",
        slots=6,
        draining=False,
    )


class LargeFleetTest(testtools.TestCase):
    """30 routers in three data centres."""

    def _run(self, scenario: Callable[[PeerNet], Awaitable[None]]) -> None:
        async def run_in_fleet() -> None:
            net = PeerNet(SIZES)
            try:
                net.own_all()
                await net.play(SETTLE_SECONDS)
                await scenario(net)
            finally:
                net.close()

        run_virtual(run_in_fleet())

    def test_each_data_centre_has_one_relay_and_all_get_counts(self) -> None:
        async def scenario(net: PeerNet) -> None:
            for name in SIZES:
                self.assertEqual(1, len(net.relays(name)), name)
            some = net.routers["10.1.0.5"]
            some.board.loads.add_request("r1")
            await net.play(1.0)
            for router in net.routers.values():
                self.assertEqual(1, router.board.loads.total("r1"), router.ip)
                self.assertEqual(30, router.board.live_routers, router.ip)

        self._run(scenario)

    def test_all_learn_that_a_runner_is_leaving(self) -> None:
        async def scenario(net: PeerNet) -> None:
            for router in net.routers.values():
                router.board.view.replace_all(
                    [_runner("r1"), _runner("r2")], revision=1, now_seconds=0.0
                )
            told = net.routers["10.1.0.5"]
            record_leaving(told.board, ("r1", 1), source="answer")
            await net.play(1.0)
            for router in net.routers.values():
                leaving = [
                    e.runner_id for e in router.board.view if e.is_leaving
                ]
                self.assertEqual(["r1"], leaving, router.ip)

        self._run(scenario)

    def test_messages_of_a_member_do_not_grow_with_the_fleet(self) -> None:
        async def scenario(net: PeerNet) -> None:
            before = {ip: router.sent for ip, router in net.routers.items()}
            await net.play(2.0)
            for ip, router in net.routers.items():
                if router.peers.relays.is_relay:
                    continue
                sent = router.sent - before[ip]
                self.assertLessEqual(
                    sent, 2.0 / relay_interval_seconds(30) + 2, ip
                )

        self._run(scenario)

    def test_messages_to_a_relay_are_bounded_in_fleets_of_any_size(
        self,
    ) -> None:
        for routers in (13, 79, 195, 1900):
            interval_seconds = relay_interval_seconds(routers)
            self.assertGreaterEqual(interval_seconds, 0.1)
            self.assertLessEqual(interval_seconds, 0.2)
        self.assertLess(relay_interval_seconds(79), 0.11)
        self.assertEqual(0.2, relay_interval_seconds(195))

    def test_lost_relay_is_replaced_by_its_successor(self) -> None:
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
            # No router sends to all others while there is no relay, only to the
            # lost one and its successor in each interval.
            intervals = 1.1 / relay_interval_seconds(30) + 1
            for router in net.of("south"):
                if router is followers[0]:
                    continue
                sent = router.sent - before[router.ip]
                self.assertLessEqual(sent, 2 * intervals, router.ip)

        self._run(scenario)

    def test_relay_and_successor_lost_together_are_replaced(self) -> None:
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

    def test_late_router_finds_its_relay_through_the_seeds(self) -> None:
        async def scenario(net: PeerNet) -> None:
            late = PlayedRouter(net, "10.1.0.99", "north")
            net.routers[late.ip] = late
            await net.play(1.5)
            relay = late.peers.relays.relay_ip(late.board.now())
            self.assertEqual(net.relays("north")[0].ip, relay)

        self._run(scenario)

    def test_relay_with_many_referrals_still_sends_digests(self) -> None:
        # Guards against digests that wait for the pause between referrals: the
        # relay answers routers of other data centres, which search for their
        # relays, at once.
        async def scenario(net: PeerNet) -> None:
            relay = net.relays("south")[0]
            member = next(r for r in net.of("south") if r is not relay)
            for number in range(40):
                lost = make_heartbeat(
                    f"lost-{number}", ip=f"10.9.0.{number}", data_centre="east"
                )
                relay.peers.datagram_received(lost.to_bytes(), ("10.9.0.1", 1))
                await net.play(0.1)
            now = member.board.now()
            self.assertEqual(relay.ip, member.peers.relays.relay_ip(now))

        self._run(scenario)

    def test_fleet_counts_as_large_from_its_start(self) -> None:
        # The first summaries of data centres cover few routers. They must not
        # make the fleet count as small, in which all routers send to all.
        async def scenario() -> list[str]:
            net = PeerNet(SIZES)
            net.own_all()
            await net.play(1.0)
            found = []
            for _ in range(100):
                await net.play(0.2)
                found += [
                    f"{router.ip} {router.board.live_routers}"
                    for router in net.routers.values()
                    if not router.peers.uses_relays
                ]
            net.close()
            return found

        self.assertEqual([], run_virtual(scenario()))


class ProcessOrderTest(testtools.TestCase):
    """Which of two processes on a VM is the later one."""

    def test_process_without_heartbeats_has_not_ended(self) -> None:
        # The new process of the owner may acquire the duty before its first
        # heartbeat arrives; the last heartbeat is then of the process before
        # it, and the new one must not count as ended.
        async def scenario() -> list[bool]:
            net = PeerNet({"south": 2})
            receiver, sender = net.routers.values()
            await net.play(0.3)
            first = sender.peers.incarnation
            new_before_heartbeat = receiver.peers.is_superseded("new")
            sender.peers.incarnation = "new"
            await net.play(0.3)
            found = [
                new_before_heartbeat,
                receiver.peers.is_superseded(first),
                receiver.peers.is_superseded("new"),
            ]
            net.close()
            return found

        self.assertEqual([False, True, False], run_virtual(scenario()))

    def test_only_the_latest_ended_processes_are_remembered(self) -> None:
        self.patch(peer_exchange, "MAX_REMEMBERED_PROCESSES", 3)

        async def scenario() -> list[bool]:
            net = PeerNet({"south": 2})
            receiver, sender = net.routers.values()
            for number in range(6):
                sender.peers.incarnation = f"p{number}"
                await net.play(0.3)
            found = [
                receiver.peers.is_superseded(f"p{number}")
                for number in range(6)
            ]
            net.close()
            return found

        self.assertEqual(
            [False, False, True, True, True, False], run_virtual(scenario())
        )


class ForeignBytesTest(testtools.TestCase):
    """Datagrams that are no valid heartbeats."""

    def test_invalid_bytes_and_fields_are_ignored(self) -> None:
        async def scenario() -> int:
            net = PeerNet({"south": 1})
            router = net.routers["10.0.0.1"]
            heartbeat = make_heartbeat("x", ip="10.0.0.9")
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
                setattr(heartbeat, name, value)
                datagrams.append(heartbeat.to_bytes())
                setattr(heartbeat, name, getattr(make_heartbeat("x"), name))
            for data in datagrams:
                router.peers.datagram_received(data, ("10.0.0.9", 1))
            router.peers.tick()
            accepted = len(router.peers.peers)
            net.close()
            return accepted

        self.assertEqual(0, run_virtual(scenario()))
