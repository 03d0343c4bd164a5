"""All links of one router to its peers."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import grpc.aio
from google.protobuf.any_pb2 import Any as PackedMessage

from mulberrypaddle.blackboard import keys
from mulberrypaddle.peers.client import PeerClient, PeerIdentity
from mulberrypaddle.peers.counters import LinkCounters
from mulberrypaddle.peers.server import PeerServer

if TYPE_CHECKING:
    from collections.abc import Collection

    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.values import Member
    from mulberrypaddle.node import Node
    from mulberrypaddle.settings import RouterSettings


@functools.cache
def _keep_grpc_runtime() -> None:
    """Holds a reference to gRPC's asyncio runtime until the process exits.

    Without it the runtime shuts down when the last channel is garbage
    collected, and blocks there on operations whose event loop is closed.
    """
    grpc.aio.init_grpc_aio()


class PeerLinks:
    """Sends messages to and receives them from the other members.

    The members and their addresses are read from the blackboard. A link is
    opened with the first message to a peer and closed after the peer has
    left the membership or its address has changed.

    Attributes:
        counters: Totals of messages sent, received and dropped.
    """

    def __init__(self, node: Node, settings: RouterSettings) -> None:
        """Prepares the links of a node; `start` opens the listening port.

        Args:
            node: Node whose controllers handle received messages.
            settings: Addresses and TLS files.

        Raises:
            ValueError: If the settings enable neither TLS nor plain text.
        """
        if settings.peer_tls is None and not settings.peer_plaintext:
            raise ValueError(
                "settings contain neither peer_tls nor peer_plaintext; "
                "set one of them"
            )
        _keep_grpc_runtime()
        self.counters = LinkCounters()
        self._node = node
        self._settings = settings
        self._identity = PeerIdentity(
            node.context.member_id, node.context.incarnation
        )
        self._clients: dict[str, PeerClient] = {}
        self._known_members: dict[str, Member] = {}
        self._server: PeerServer | None = None
        self._closing_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening for the links of other routers."""
        message_types: list[type[Message]] = []
        for controller in self._node.controllers:
            message_types.extend(controller.message_types)
        self._server = PeerServer(
            self._node.receive,
            message_types,
            address=self._settings.peer_address,
            tls=self._settings.peer_tls,
            counters=self.counters,
        )
        await self._server.start()

    def send(self, member_id: str, message: Message) -> None:
        """Queues a message, or drops it if the receiver is not a member.

        Args:
            member_id: Id of the receiving router.
            message: Message to send.
        """
        client = self._find_or_open_client(member_id)
        if client is None:
            self.counters.dropped_messages += 1
            return
        packed = PackedMessage()
        packed.Pack(message)
        client.send(packed)

    async def close(self) -> None:
        """Closes all links and stops listening."""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()
        if self._server is not None:
            await self._server.close()

    def _find_or_open_client(self, member_id: str) -> PeerClient | None:
        """Returns the client for a peer, or None if it is not a member.

        Opens a new client if the peer has none or its address has changed.
        A change of the membership first closes the clients of routers that
        are neither members nor departed members.
        """
        entry = self._node.context.board.entry(keys.MEMBERSHIP)
        if entry is None:
            return None
        if entry.value.members is not self._known_members:
            self._known_members = entry.value.members
            self._close_clients_except(
                entry.value.members.keys() | entry.value.departed_members.keys()
            )
        member = entry.value.members.get(member_id)
        if member is None:
            member = entry.value.departed_members.get(member_id)
        if member is None:
            return None
        client = self._clients.get(member_id)
        if client is not None and client.address == member.address:
            return client
        if client is not None:
            self._close_client(member_id)
        client = PeerClient(
            self._identity,
            peer_id=member_id,
            address=member.address,
            tls=self._settings.peer_tls,
            rng=self._node.context.rng,
            counters=self.counters,
        )
        self._clients[member_id] = client
        return client

    def _close_clients_except(self, member_ids: Collection[str]) -> None:
        """Closes the clients of all routers that are not in `member_ids`."""
        for member_id in list(self._clients):
            if member_id in member_ids:
                continue
            self._close_client(member_id)

    def _close_client(self, member_id: str) -> None:
        """Removes a client and closes it in a background task."""
        client = self._clients.pop(member_id)
        task = asyncio.get_running_loop().create_task(client.close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)
