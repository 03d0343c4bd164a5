"""Tests of the links between routers on the loopback interface."""

from __future__ import annotations

import asyncio
import pathlib
import random

import grpc
import testtools
from google.protobuf.any_pb2 import Any as PackedMessage

from mulberrypaddle.blackboard import Board, keys
from mulberrypaddle.blackboard.values import Member, Membership
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.core.clock import SystemClock
from mulberrypaddle.node import Node
from mulberrypaddle.peers import PeerLinks
from mulberrypaddle.peers.client import PeerClient, PeerIdentity
from mulberrypaddle.peers.counters import LinkCounters
from mulberrypaddle.peers.outbox import Outbox
from mulberrypaddle.peers.proto import envelope_pb2, envelope_pb2_grpc
from mulberrypaddle.peers.proto.membership_pb2 import RenewLease
from mulberrypaddle.settings import RouterSettings
from mulberrypaddle.settings.settings import PeerTls
from mulberrypaddle.standins.local_server import LOOPBACK
from mulberrypaddle.standins.ports import free_port
from tests.support.asynchronous import run

_CERTIFICATES = pathlib.Path(__file__).parent / "certificates"


class Recorder(Controller):
    """Controller that records the messages it receives.

    It has the name of the membership controller, so that a test can write
    the membership.

    Attributes:
        received: Sender and number of each message, in order of receipt.
    """

    name = "membership"
    message_types = (RenewLease,)

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.received: list[tuple[str, int]] = []

    def step(self, now_seconds: float) -> None:
        """Does nothing."""

    def receive(self, sender: str, message, now_seconds: float) -> None:
        self.received.append((sender, message.number))

    async def wait_for_messages(self, count: int) -> list[tuple[str, int]]:
        """Waits up to 4 s for `count` messages; returns all received."""
        for _ in range(200):
            if len(self.received) >= count:
                break
            await asyncio.sleep(0.02)
        return self.received


class LinkEndpoint:
    """A router at one end of a link."""

    def __init__(
        self,
        member_id: str,
        address: str,
        *,
        incarnation: int = 2,
        certificate: str = "",
        plaintext: bool = True,
    ) -> None:
        context = Context(
            member_id=member_id,
            incarnation=incarnation,
            data_centre="south",
            board=Board(),
            clock=SystemClock(),
            rng=random.Random(1),
        )
        self.recorder = Recorder(context)
        self.node = Node(context, [self.recorder])
        tls = None
        if certificate:
            tls = PeerTls(
                certificate_file=str(_CERTIFICATES / f"{certificate}.pem"),
                key_file=str(_CERTIFICATES / f"{certificate}.key"),
                authority_file=str(_CERTIFICATES / "authority.pem"),
            )
        self.links = PeerLinks(
            self.node,
            RouterSettings(
                member_id=member_id,
                data_centre="south",
                region="tx-central",
                caller_address="127.0.0.1:0",
                peer_address=address,
                object_api_address="127.0.0.1:0",
                peer_tls=tls,
                peer_plaintext=plaintext,
            ),
        )

    def set_members(self, addresses: dict[str, str]) -> None:
        """Writes a membership of routers with the given addresses by id."""
        members = {}
        for member_id, address in addresses.items():
            members[member_id] = Member(
                member_id, incarnation=1, address=address, data_centre="south"
            )
        self.node.context.board.write(
            keys.MEMBERSHIP,
            Membership(epoch=1, members=members, lease_until_seconds=0.0),
            writer="membership",
            now_seconds=0.0,
        )


class LinkedPair:
    """Two routers that are members of the same membership.

    Attributes:
        addresses: Peer address by router id.
        first: Endpoint of the router named `first_id`.
        second: Endpoint of `router-2`.
    """

    def __init__(
        self, *, first_id: str = "router-1", tls: bool = False
    ) -> None:
        self.addresses = {
            first_id: f"{LOOPBACK}:{free_port()}",
            "router-2": f"{LOOPBACK}:{free_port()}",
        }
        self.first = LinkEndpoint(
            first_id,
            self.addresses[first_id],
            certificate="router-1" if tls else "",
            plaintext=not tls,
        )
        self.second = LinkEndpoint(
            "router-2",
            self.addresses["router-2"],
            certificate="router-2" if tls else "",
            plaintext=not tls,
        )

    async def __aenter__(self) -> LinkedPair:
        for end in (self.first, self.second):
            end.set_members(self.addresses)
            await end.links.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.first.links.close()
        await self.second.links.close()


class LinksTest(testtools.TestCase):
    """Messages arrive in order, and only from authenticated senders."""

    def test_messages_arrive_in_order_over_mutual_tls(self) -> None:
        async def scenario() -> tuple[list[tuple[str, int]], int]:
            async with LinkedPair(tls=True) as pair:
                for number in range(50):
                    pair.first.links.send("router-2", RenewLease(number=number))
                received = await pair.second.recorder.wait_for_messages(50)
                return received, pair.first.links.counters.sent_messages

        received, sent = run(scenario())
        self.assertEqual([("router-1", n) for n in range(50)], received)
        self.assertEqual(50, sent)

    def test_sender_not_named_by_its_certificate_is_refused(
        self,
    ) -> None:
        async def scenario(first_id: str) -> tuple[int, int]:
            async with LinkedPair(first_id=first_id, tls=True) as pair:
                pair.first.links.send("router-2", RenewLease(number=1))
                for _ in range(100):
                    counters = pair.second.links.counters
                    if counters.refused_envelopes or counters.received_bytes:
                        break
                    await asyncio.sleep(0.02)
                return (
                    len(pair.second.recorder.received),
                    counters.refused_envelopes,
                )

        self.assertEqual((1, 0), run(scenario("router-1")))
        self.assertEqual((0, 1), run(scenario("router-9")))

    def test_earlier_incarnation_is_refused(self) -> None:
        async def scenario() -> tuple[int, list[int]]:
            packed = PackedMessage()
            packed.Pack(RenewLease(number=7))
            async with LinkedPair() as pair:
                address = pair.addresses["router-2"]
                async with grpc.aio.insecure_channel(address) as channel:
                    for incarnation in (5, 4):
                        call = envelope_pb2_grpc.PeerStub(channel).Link()
                        await call.write(
                            envelope_pb2.Envelope(
                                sender="router-1",
                                incarnation=incarnation,
                                messages=[packed],
                            )
                        )
                        await call.done_writing()
                        await call.code()
                counters = pair.second.links.counters
                return counters.refused_envelopes, [
                    number for _, number in pair.second.recorder.received
                ]

        self.assertEqual((1, [7]), run(scenario()))

    def test_link_reconnects_after_the_peer_restarts(self) -> None:
        async def scenario() -> list[int]:
            async with LinkedPair() as pair:
                pair.first.links.send("router-2", RenewLease(number=1))
                await pair.second.recorder.wait_for_messages(1)
                await pair.second.links.close()
                second = LinkEndpoint("router-2", pair.addresses["router-2"])
                await second.links.start()
                for _ in range(100):
                    pair.first.links.send("router-2", RenewLease(number=2))
                    await asyncio.sleep(0.05)
                    if second.recorder.received:
                        break
                await second.links.close()
                return sorted({n for _, n in second.recorder.received})

        self.assertEqual([2], run(scenario()))

    def test_neither_tls_nor_plaintext_is_refused(self) -> None:
        self.assertRaises(
            ValueError, LinkEndpoint, "router-1", "127.0.0.1:0", plaintext=False
        )

    def test_full_queue_drops_and_counts_the_oldest_messages(self) -> None:
        async def scenario() -> tuple[int, list[bytes]]:
            counters = LinkCounters()
            outbox = Outbox(counters, max_messages=2)
            for name in (b"a", b"b", b"c"):
                outbox.put(PackedMessage(value=name))
            return (
                counters.dropped_messages,
                [packed.value for packed in outbox.take_batch()],
            )

        self.assertEqual((1, [b"b", b"c"]), run(scenario()))


class FailingLinkTest(testtools.TestCase):
    """A link goes on after an unexpected error."""

    def test_stream_is_opened_again_after_an_unexpected_error(self) -> None:
        attempts: list[int] = []

        async def fail(client: PeerClient) -> None:
            attempts.append(1)
            raise ValueError("unexpected")

        self.patch(PeerClient, "_send_on_one_stream", fail)

        async def scenario() -> None:
            client = PeerClient(
                PeerIdentity("router-1", 1),
                peer_id="router-2",
                address="127.0.0.1:1",
                tls=None,
                rng=random.Random(1),
                counters=LinkCounters(),
            )
            client.send(PackedMessage())
            while len(attempts) < 3:
                await asyncio.sleep(0.02)
            await client.close()

        run(scenario())
        self.assertGreaterEqual(len(attempts), 3)
