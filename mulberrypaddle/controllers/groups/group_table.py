"""Group rows on every router: spread by owners, repaired by digests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import (
    ListObjects,
    Priority,
    SendToPeer,
    StoredObject,
    keys,
)
from mulberrypaddle.blackboard.values import GroupTable
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.duties import membership
from mulberrypaddle.controllers.groups.codec import PREFIX, decode_domain
from mulberrypaddle.core.groups import StoredDomain
from mulberrypaddle.peers.proto.groups_pb2 import (
    DomainDigest,
    DomainRow,
    LostGenerations,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.core.errors import Problem

DIGEST_SECONDS = 2.0
# Rows are spread when they change; digests only repair what was lost.
DIGEST_SECONDS_PER_DOMAIN = 0.04
READ_SECONDS = 5.0
READ_SECONDS_PER_MEMBER = 1.5
LOST_SECONDS = 3.0


class GroupTableController(Controller):
    """Keeps the highest version seen of every fabric domain."""

    name = "group_table"
    message_types = (DomainRow, DomainDigest, LostGenerations)

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._domains: dict[str, StoredDomain] = {}
        self._lost: dict[str, dict[int, float]] = {}
        self._next_digest_seconds = 0.0
        self._next_read_seconds = 0.0
        self._reading = False
        self._changed = True

    def step(self, now_seconds: float) -> None:
        """Reads back now and then, compares with a peer, and publishes."""
        if not self._reading and now_seconds >= self._next_read_seconds:
            self._reading = True
            self.context.board.intents.append(
                ListObjects(
                    PREFIX, priority=Priority.PLACEMENT, reply=self._listed
                )
            )
        if now_seconds >= self._next_digest_seconds:
            self._next_digest_seconds = now_seconds + max(
                DIGEST_SECONDS,
                DIGEST_SECONDS_PER_DOMAIN * len(self._domains),
            )
            self._send_digest()
        self._forget_lost(now_seconds)
        if not self._changed:
            return
        self._changed = False
        self.context.board.write(
            keys.GROUPS,
            GroupTable(dict(self._domains), dict(self._lost)),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def learn(self, stored: StoredDomain, *, spread: bool) -> None:
        """Takes a state that is surely stored.

        Args:
            stored: The state.
            spread: Whether the other routers are told.
        """
        name = stored.domain.name
        known = self._domains.get(name)
        if known is not None and known.version >= stored.version:
            return
        self._domains[name] = stored
        self._changed = True
        if not spread:
            return
        for member_id in self._peers():
            self._send_row(member_id, stored)

    def report_lost(
        self, domain: str, generations: set[int], now_seconds: float
    ) -> None:
        """Takes generations out of service everywhere, ahead of the write."""
        self._note_lost(domain, generations, now_seconds)
        message = LostGenerations(
            domain=domain, generations=sorted(generations)
        )
        for member_id in self._peers():
            self.context.board.intents.append(SendToPeer(member_id, message))

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes rows, digests and lost generations from peers."""
        if isinstance(message, DomainRow):
            domain = decode_domain(message.domain, message.value)
            stored = StoredDomain(domain, message.version, message.value)
            self.learn(stored, spread=False)
            return
        if isinstance(message, LostGenerations):
            self._note_lost(
                message.domain, set(message.generations), now_seconds
            )
            return
        if isinstance(message, DomainDigest):
            self._answer_digest(sender, message)

    def _answer_digest(self, sender: str, digest: DomainDigest) -> None:
        for name, stored in self._domains.items():
            if digest.versions.get(name, 0) < stored.version:
                self._send_row(sender, stored)

    def _note_lost(
        self, domain: str, generations: set[int], now_seconds: float
    ) -> None:
        until = self._lost.setdefault(domain, {})
        for generation in generations:
            if generation not in until:
                self._changed = True
            until[generation] = now_seconds + LOST_SECONDS

    def _forget_lost(self, now_seconds: float) -> None:
        for name in list(self._lost):
            until = self._lost[name]
            for generation, until_seconds in list(until.items()):
                if now_seconds < until_seconds:
                    continue
                del until[generation]
                self._changed = True
            if not until:
                del self._lost[name]

    def _peers(self) -> list[str]:
        peers = []
        for member_id in sorted(membership(self.context).members):
            if member_id != self.context.member_id:
                peers.append(member_id)
        return peers

    def _send_digest(self) -> None:
        peers = self._peers()
        if not peers:
            return
        digest = DomainDigest()
        for name, stored in self._domains.items():
            digest.versions[name] = stored.version
        peer = self.context.rng.choice(peers)
        self.context.board.intents.append(SendToPeer(peer, digest))

    def _send_row(self, member_id: str, stored: StoredDomain) -> None:
        row = DomainRow(
            domain=stored.domain.name,
            version=stored.version,
            value=stored.value,
        )
        self.context.board.intents.append(SendToPeer(member_id, row))

    def _listed(self, result: Result[list[StoredObject], Problem]) -> None:
        self._reading = False
        members = len(membership(self.context).members)
        period_seconds = max(READ_SECONDS, READ_SECONDS_PER_MEMBER * members)
        self._next_read_seconds = self.context.now_seconds() + (
            period_seconds * self.context.rng.uniform(0.7, 1.0)
        )
        if not isinstance(result, Success):
            self._next_read_seconds = self.context.now_seconds() + READ_SECONDS
            return
        for stored in result.unwrap():
            name = stored.key.removeprefix(PREFIX)
            domain = decode_domain(name, stored.value)
            self.learn(
                StoredDomain(domain, stored.version, stored.value),
                spread=False,
            )
