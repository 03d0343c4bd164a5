"""The controller that keeps the configuration in force up to date."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer, StoredObject, keys
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.configuration.messages import (
    pack_objects,
    split_objects,
    unpack_objects,
    versions_message,
)
from mulberrypaddle.controllers.configuration.options import (
    DIGEST_SECONDS,
    FALLBACK_SECONDS,
    MANY_MEMBERS,
    PEER_WAIT_SECONDS,
    POLL_SECONDS,
    START_DIGEST_SECONDS,
    ConfigurationOptions,
)
from mulberrypaddle.controllers.configuration.reader import ConfigReader
from mulberrypaddle.controllers.configuration.replica import Replica
from mulberrypaddle.controllers.configuration.tree import SpreadTree
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto.configuration_pb2 import (
    ConfigDigest,
    ConfigUpdate,
    ConfigVersions,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.values import Membership

_READER_DUTY = Duty("configuration", "reader")


class ConfigurationController(Controller):
    """One router reads for its region; all repair each other.

    Updates pass down a tree of the members; digests that go to a random
    member each period find and repair what was lost on the way. A router
    that hears nothing from the reader reads the object API itself.
    """

    name = "configuration"
    message_types = (ConfigUpdate, ConfigDigest, ConfigVersions)

    def __init__(
        self, context: Context, *, options: ConfigurationOptions | None = None
    ) -> None:
        super().__init__(context)
        self._options = options or ConfigurationOptions()
        self._replica = Replica(refuse_older=self._options.refuse_older)
        self._reader = ConfigReader(context, self._read)
        self._tree = SpreadTree()
        # When the object API was last read, by this router or the reader.
        self._fresh_seconds = float("-inf")
        self._listed_seconds: float | None = None
        self._peer_answered = False
        self._serving = False
        self._next_digest_seconds = 0.0
        self._next_spread_seconds = 0.0
        self._fallback_seconds = FALLBACK_SECONDS * context.rng.uniform(1, 1.5)

    # Steps.

    def step(self, now_seconds: float) -> None:
        """Reads, spreads and compares whatever is due."""
        if self._must_read(now_seconds):
            self._reader.read_if_due(now_seconds)
        members = duties.membership(self.context)
        if self._options.spread and len(members.members) > 1:
            self._send_digest(members, now_seconds)
            self._say_fresh(members, now_seconds)
        self._publish(now_seconds)

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Compares with a peer and reads again, since much may have changed."""
        self._fresh_seconds = float("-inf")
        self._next_digest_seconds = now_seconds
        self._reader.hurry(now_seconds)

    def accept(self, stored: StoredObject) -> None:
        """Takes a change that this router has just written.

        Args:
            stored: The object as the object API has accepted it.
        """
        self._take([stored], origin=self.context.member_id)
        self._publish(self.context.now_seconds())

    # Reading.

    def _is_reader(self) -> bool:
        return (
            duties.owner(self.context, _READER_DUTY) == self.context.member_id
        )

    def _must_read(self, now_seconds: float) -> bool:
        if not self._options.spread or not self._serving:
            return True
        if self._is_reader():
            return True
        return now_seconds - self._fresh_seconds > (
            self._fallback_seconds * self._period_factor()
        )

    def _read(self, objects: list[StoredObject]) -> None:
        now_seconds = self.context.now_seconds()
        if self._listed_seconds is None:
            self._listed_seconds = now_seconds
        self._fresh_seconds = max(
            self._fresh_seconds, self._reader.answered_at_seconds
        )
        first = not self._serving
        self._take(objects, origin="" if first else self.context.member_id)
        self._publish(now_seconds)

    def _take(self, objects: list[StoredObject], *, origin: str) -> None:
        """Takes objects and, with an origin, passes the later ones on."""
        taken = self._replica.merge(objects)
        self._log(taken)
        if taken and origin and self._options.spread:
            self._spread(
                ConfigUpdate(
                    origin=origin,
                    objects=pack_objects(taken),
                    forward=True,
                )
            )

    def _log(self, taken: list[StoredObject]) -> None:
        if not self._serving:
            return
        for stored in taken:
            self.context.decide(
                "configuration",
                subject=stored.key,
                outcome=str(stored.version),
                reason="in_force" if stored.value else "deleted",
            )

    # Spreading.

    def _period_factor(self) -> int:
        members = duties.membership(self.context).members
        return 2 if len(members) > MANY_MEMBERS else 1

    def _say_fresh(self, members: Membership, now_seconds: float) -> None:
        """Tells everyone how fresh the reader's knowledge is."""
        if not self._is_reader() or now_seconds < self._next_spread_seconds:
            return
        self._next_spread_seconds = (
            now_seconds + POLL_SECONDS * self._period_factor()
        )
        age_seconds = now_seconds - self._reader.answered_at_seconds
        if age_seconds > FALLBACK_SECONDS:
            return
        self._spread(
            ConfigUpdate(
                origin=self.context.member_id,
                forward=True,
                from_reader=True,
                age_seconds=age_seconds,
            )
        )

    def _spread(self, update: ConfigUpdate) -> None:
        children = self._tree.children(
            duties.membership(self.context),
            origin=update.origin,
            member_id=self.context.member_id,
        )
        for portion in split_objects(list(update.objects)):
            message = ConfigUpdate()
            message.CopyFrom(update)
            message.ClearField("objects")
            message.objects.extend(portion)
            for member_id in children:
                self._send(member_id, message)

    def _send(self, member_id: str, message: Message) -> None:
        self.context.board.intents.append(SendToPeer(member_id, message))

    def _send_digest(self, members: Membership, now_seconds: float) -> None:
        if now_seconds < self._next_digest_seconds:
            return
        period_seconds = DIGEST_SECONDS * self._period_factor()
        if not self._serving:
            period_seconds = START_DIGEST_SECONDS
        self._next_digest_seconds = now_seconds + period_seconds
        others = sorted(members.member_ids - {self.context.member_id})
        if not others:
            return
        self._send(
            self.context.rng.choice(others),
            ConfigDigest(buckets=self._replica.digest(), asks=True),
        )

    def _send_objects(
        self, member_id: str, objects: list[StoredObject]
    ) -> None:
        for portion in split_objects(pack_objects(objects)):
            self._send(
                member_id,
                ConfigUpdate(origin=self.context.member_id, objects=portion),
            )

    # Messages.

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message of another router's configuration controller."""
        _take_message(message, self, sender, now_seconds)
        self._publish(now_seconds)

    def take_update(self, update: ConfigUpdate, now_seconds: float) -> None:
        """Takes an update and passes it on down the tree."""
        if update.from_reader:
            self._fresh_seconds = max(
                self._fresh_seconds, now_seconds - update.age_seconds
            )
        # What does not change anything here may still be news further down.
        if update.forward and update.origin != self.context.member_id:
            self._spread(update)
        self._take(unpack_objects(update), origin="")

    def take_digest(self, sender: str, message: ConfigDigest) -> None:
        """Answers with the versions of the buckets that differ."""
        self._peer_answered = self._peer_answered or not message.asks
        buckets = self._replica.differing(message.buckets)
        if buckets:
            versions = self._replica.versions(buckets)
            self._send(sender, versions_message(versions, buckets, asks=True))
        if message.asks:
            self._send(sender, ConfigDigest(buckets=self._replica.digest()))

    def take_versions(self, sender: str, message: ConfigVersions) -> None:
        """Sends what is later here, and asks for what is later there."""
        theirs = {item.key: item.version for item in message.versions}
        later = self._replica.later_than(theirs, message.buckets)
        if later:
            self._send_objects(sender, later)
        if not message.asks:
            return
        own = self._replica.versions(message.buckets)
        for key, version in theirs.items():
            if version > own.get(key, 0):
                self._send(
                    sender, versions_message(own, message.buckets, asks=False)
                )
                return

    # The blackboard.

    def _may_serve(self, now_seconds: float) -> bool:
        """Returns whether the object API and a peer have been asked."""
        if self._serving or not self._options.ask_peers:
            return self._reader.listed
        if self._listed_seconds is None:
            return False
        members = duties.membership(self.context).member_ids
        if members == {self.context.member_id} or self._peer_answered:
            return True
        return now_seconds - self._listed_seconds > PEER_WAIT_SECONDS

    def _publish(self, now_seconds: float) -> None:
        if not self._may_serve(now_seconds):
            return
        if not self._serving:
            self._serving = True
            self.context.decide(
                "configuration",
                subject="all",
                outcome=str(len(self._replica.configuration.versions)),
                reason="loaded",
            )
        entry = self.context.board.entry(keys.CONFIGURATION)
        if (
            entry is not None
            and entry.value is self._replica.configuration
            and entry.fresh_at_seconds >= self._fresh_seconds
        ):
            return
        self.context.board.write(
            keys.CONFIGURATION,
            self._replica.configuration,
            writer=self.name,
            now_seconds=self._fresh_seconds,
        )


@functools.singledispatch
def _take_message(
    message: Message,
    controller: ConfigurationController,
    sender: str,
    now_seconds: float,
) -> None:
    raise TypeError(f"got {type(message).__name__}, which is not taken here")


@_take_message.register(ConfigUpdate)
def _update(
    message: ConfigUpdate,
    controller: ConfigurationController,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_update(message, now_seconds)


@_take_message.register(ConfigDigest)
def _digest(
    message: ConfigDigest,
    controller: ConfigurationController,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_digest(sender, message)


@_take_message.register(ConfigVersions)
def _versions(
    message: ConfigVersions,
    controller: ConfigurationController,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_versions(sender, message)
