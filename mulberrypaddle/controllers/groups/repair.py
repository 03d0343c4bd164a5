"""Repair: keeps the fabric domains that this router owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer, keys
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.duties import membership, owner
from mulberrypaddle.controllers.groups.fleet_view import fleet_view
from mulberrypaddle.controllers.groups.keeper import DomainKeeper
from mulberrypaddle.controllers.groups.load_queue import (
    LOAD_QUEUE,
    load_id_of,
    parse_load_id,
)
from mulberrypaddle.controllers.groups.plan import Protections, Wish
from mulberrypaddle.core.rendezvous import Duty, owner_of
from mulberrypaddle.peers.proto.groups_pb2 import (
    DrainGroup,
    FormGroups,
    LoadGrant,
    LoadWish,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.controllers.groups.group_table import (
        GroupTableController,
    )
    from mulberrypaddle.controllers.groups.load_queue import LoadQueue
    from mulberrypaddle.core.groups import Group, StoredDomain

STEP_SECONDS = 0.1
WISH_SECONDS = 1.0
SUSPECT_SECONDS = 1.0


class Repair(Controller):
    """Owns fabric domains: detects broken groups and forms them anew."""

    name = "repair"
    message_types = (FormGroups, DrainGroup, LoadGrant)

    def __init__(
        self,
        context: Context,
        *,
        group_table: GroupTableController,
        load_queue: LoadQueue,
        protections: Protections | None = None,
    ) -> None:
        """Takes the controllers that it speaks to in the same process.

        Args:
            context: This router's context.
            group_table: Spreads what is stored.
            load_queue: Takes wishes when this router owns the queue.
            protections: All on but in tests.
        """
        super().__init__(context)
        self._group_table = group_table
        self._load_queue = load_queue
        self._protections = protections or Protections()
        self._keepers: dict[str, DomainKeeper] = {}
        self._owned_for: tuple[int, frozenset[str], frozenset[str]] | None
        self._owned_for = None
        self._suspected: dict[str, dict[int, float]] = {}
        self._next_step_seconds = 0.0
        self._next_wish_seconds = 0.0
        load_queue.on_grant = self._take_grant

    def step(self, now_seconds: float) -> None:
        """Steps every domain of this router."""
        if now_seconds < self._next_step_seconds:
            return
        self._next_step_seconds = now_seconds + STEP_SECONDS
        if self.context.board.entry(keys.CONFIGURATION) is None:
            # Without it every service would look removed.
            return
        view = fleet_view(self.context)
        self._choose_domains(view)
        for keeper in self._keepers.values():
            keeper.step(view)
            self._report_suspects(keeper, now_seconds)
        if now_seconds < self._next_wish_seconds:
            return
        self._next_wish_seconds = now_seconds + WISH_SECONDS
        for keeper in self._keepers.values():
            self._send_wishes(view, keeper, now_seconds)

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes wishes of placement and turns at the weight store."""
        if isinstance(message, LoadGrant):
            self._take_grant(message.load_id)
            return
        if isinstance(message, FormGroups):
            keeper = self._keepers.get(message.domain)
            if keeper is not None:
                keeper.wish(
                    Wish(
                        message.expected_version,
                        form=tuple(message.services),
                        reason=message.reason,
                    )
                )
            return
        if isinstance(message, DrainGroup):
            keeper = self._keepers.get(message.domain)
            if keeper is not None:
                keeper.wish(
                    Wish(
                        message.expected_version,
                        drain=message.group_id,
                        retire=message.retire,
                        reason=message.reason,
                    )
                )

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Reads every domain back before the next act."""
        for keeper in self._keepers.values():
            keeper.reset()

    def _choose_domains(self, view: FleetView) -> None:
        """Takes up and lays down domains when members or domains change."""
        present = membership(self.context)
        names = frozenset(view.domain_vms) | frozenset(view.table.domains)
        basis = (present.epoch, frozenset(present.members), names)
        if basis == self._owned_for:
            return
        self._owned_for = basis
        for name in sorted(names):
            duty = Duty("fabric_domain", name)
            if owner_of(duty, present.members) != self.context.member_id:
                self._keepers.pop(name, None)
                continue
            if name not in self._keepers:
                self._keepers[name] = DomainKeeper(
                    name,
                    context=self.context,
                    learn=self._learn,
                    protections=self._protections,
                )

    def _learn(self, stored: StoredDomain) -> None:
        self._group_table.learn(stored, spread=True)

    def _report_suspects(
        self, keeper: DomainKeeper, now_seconds: float
    ) -> None:
        """Tells every router at once, and again while a suspicion lasts."""
        suspects = keeper.attention.suspects
        reported_seconds = self._suspected.get(keeper.name, {})
        due = False
        for generation in suspects:
            last_seconds = reported_seconds.get(generation, float("-inf"))
            due = due or now_seconds - last_seconds >= SUSPECT_SECONDS
        if not due:
            return
        self._suspected[keeper.name] = dict.fromkeys(suspects, now_seconds)
        self._group_table.report_lost(keeper.name, suspects, now_seconds)

    def _send_wishes(
        self, view: FleetView, keeper: DomainKeeper, now_seconds: float
    ) -> None:
        queue_owner = owner(self.context, LOAD_QUEUE)
        if queue_owner is None:
            return
        for group in keeper.waiting_for_load():
            message = self._load_wish(view, keeper, group)
            if queue_owner == self.context.member_id:
                self._load_queue.receive(queue_owner, message, now_seconds)
                continue
            self.context.board.intents.append(SendToPeer(queue_owner, message))

    def _load_wish(
        self, view: FleetView, keeper: DomainKeeper, group: Group
    ) -> LoadWish:
        down_seconds = (
            self.context.clock.wall_seconds() - group.down_since_seconds
        )
        return LoadWish(
            load_id=load_id_of(keeper.name, group.generation),
            service=group.service,
            model=group.model,
            data_centre=view.data_centre_of(keeper.name),
            down_seconds=max(0.0, down_seconds),
        )

    def _take_grant(self, load_id: str) -> None:
        domain, generation = parse_load_id(load_id)
        keeper = self._keepers.get(domain)
        if keeper is not None:
            keeper.attention.evidence.granted.add(generation)
