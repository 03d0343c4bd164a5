"""A fake fleet of routers that keep a real membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.duties import may_act
from mulberrypaddle.controllers.membership import (
    FleetMembership,
    MembershipOptions,
)
from mulberrypaddle.core import invariants
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.core.rendezvous import Duty
from tests.support.fleet import FakeFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.blackboard.values import Health, Membership
    from mulberrypaddle.controllers import Context, Controller

DUTIES = tuple(Duty("runner", str(number)) for number in range(16))


class Routers(FakeFleet):
    """Checks after each turn that no duty has two routers that may act.

    Attributes:
        owned_share: Per turn, the share of the duties that have an owner.
    """

    def __init__(
        self,
        count: int = 7,
        *,
        options: MembershipOptions | None = None,
        more: Callable[[Context], list[Controller]] | None = None,
        seed: int = 0,
        loss: float = 0.0,
        delay_seconds: float = 0.005,
    ) -> None:
        self.owned_share: list[float] = []

        def build(context: Context) -> list[Controller]:
            membership = FleetMembership(
                context,
                region="tx-central",
                peer_address=f"{context.member_id}:1",
                options=options,
            )
            return [membership, *(more(context) if more else [])]

        super().__init__(
            [f"router-{number}" for number in range(1, count + 1)],
            build,
            seed=seed,
            loss=loss,
            delay_seconds=delay_seconds,
        )

    def turn(self) -> None:
        self.check_single_owner()
        super().turn()
        self.owned_share.append(self.check_single_owner())

    def owners(self, duty: Duty) -> list[str]:
        """Returns the routers that would act on a duty at this instant."""
        now_seconds = self.clock.monotonic_seconds()
        owners = []
        for member_id, node in sorted(self.nodes.items()):
            if member_id in self.paused:
                continue
            if may_act(node.context, duty, now_seconds):
                owners.append(member_id)
        return owners

    def check_single_owner(self) -> float:
        """Checks every duty and returns the share of them with an owner."""
        owned = 0
        for duty in DUTIES:
            owners = self.owners(duty)
            invariants.check(
                len(owners) <= 1,
                Invariant.SINGLE_OWNER,
                f"{duty}: {owners} at {self.clock.monotonic_seconds():.2f} s",
            )
            owned += len(owners)
        return owned / len(DUTIES)

    def isolate(self, member_id: str, others: list[str] | None = None) -> None:
        """Cuts a router off from the store and from every other router."""
        self.store_cut.add(member_id)
        for other in others if others is not None else list(self.nodes):
            if other != member_id:
                self.cut.add(frozenset((member_id, other)))

    def membership(self, member_id: str) -> Membership:
        entry = self.nodes[member_id].context.board.entry(keys.MEMBERSHIP)
        assert entry is not None
        return entry.value

    def health(self, member_id: str) -> Health:
        entry = self.nodes[member_id].context.board.entry(keys.HEALTH)
        assert entry is not None
        return entry.value

    def member_sets(self) -> set[frozenset[str]]:
        """Returns the different sets of members that the routers see."""
        return {
            frozenset(self.membership(member_id).members)
            for member_id in self.nodes
        }
