"""One queue of loads before the rate-limited weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import (
    ReleaseWeightLoad,
    ReserveWeightLoad,
    SendToPeer,
)
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.duties import may_act
from mulberrypaddle.controllers.groups.fleet_view import fleet_view
from mulberrypaddle.core.fleet import DataCentreState
from mulberrypaddle.core.groups import GroupState
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto.groups_pb2 import LoadGrant, LoadWish

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.core.errors import Problem

LOAD_QUEUE = Duty("load_queue", "region")
WISH_LIFE_SECONDS = 3.0
REFUSED_WAIT_SECONDS = 0.5
# A new owner hears every wish before it puts them in order.
COLLECT_SECONDS = 1.5
RELEASE_CHECK_SECONDS = 1.0
GRANT_LIFE_SECONDS = 60.0
CALL_TIMEOUT_SECONDS = 5.0


def load_id_of(domain: str, generation: int) -> str:
    """Returns the name of the load of one generation of a domain."""
    return f"{domain}#{generation}"


def parse_load_id(load_id: str) -> tuple[str, int]:
    """Returns the domain and the generation in a load's name."""
    domain, _, generation = load_id.rpartition("#")
    return domain, int(generation)


class _Waiting:
    """A wish and who sent it."""

    __slots__ = ("expires_at_seconds", "sender", "wish")

    def __init__(
        self, wish: LoadWish, sender: str, expires_at_seconds: float
    ) -> None:
        self.wish = wish
        self.sender = sender
        self.expires_at_seconds = expires_at_seconds


class LoadQueue(Controller):
    """Lets groups load in the order of their service's value and downtime.

    Attributes:
        on_grant: Called for a grant to this router itself.
    """

    name = "load_queue"
    message_types = (LoadWish,)

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.on_grant: Callable[[str], None] = lambda load_id: None
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[str, float] = {}
        self._answer_due_seconds = 0.0
        self._next_ask_seconds = 0.0
        self._next_release_seconds = 0.0
        self._acting = False

    def step(self, now_seconds: float) -> None:
        """Asks for the most valuable load's turn, and returns ended ones."""
        if not may_act(self.context, LOAD_QUEUE, now_seconds):
            self._acting = False
            self._waiting.clear()
            self._granted.clear()
            return
        if not self._acting:
            self._acting = True
            self._answer_due_seconds = 0.0
            self._next_ask_seconds = now_seconds + COLLECT_SECONDS
        self._forget_old(now_seconds)
        if now_seconds >= self._next_release_seconds:
            self._next_release_seconds = now_seconds + RELEASE_CHECK_SECONDS
            self._release_ended(now_seconds)
        self._ask(now_seconds)

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a wish; one that was granted before is granted again."""
        if not isinstance(message, LoadWish):
            return
        if message.load_id in self._granted:
            self._grant(sender, message.load_id)
            return
        self._waiting[message.load_id] = _Waiting(
            message, sender, now_seconds + WISH_LIFE_SECONDS
        )

    def _ask(self, now_seconds: float) -> None:
        if now_seconds < self._answer_due_seconds:
            return
        if not self._waiting or now_seconds < self._next_ask_seconds:
            return
        first = self._first(fleet_view(self.context))
        load_id = first.wish.load_id
        self._answer_due_seconds = now_seconds + CALL_TIMEOUT_SECONDS

        def answered(result: Result[float, Problem]) -> None:
            self._answer_due_seconds = 0.0
            if not isinstance(result, Success):
                self._next_ask_seconds = (
                    self.context.now_seconds() + REFUSED_WAIT_SECONDS
                )
                return
            self._waiting.pop(load_id, None)
            self._granted[load_id] = (
                self.context.now_seconds() + GRANT_LIFE_SECONDS
            )
            self.context.decide(
                "load",
                subject=load_id,
                outcome="granted",
                reason="value_then_downtime",
                service=first.wish.service,
                down_seconds=f"{first.wish.down_seconds:.1f}",
                still_waiting=str(len(self._waiting)),
            )
            self._grant(first.sender, load_id)

        self.context.board.intents.append(
            ReserveWeightLoad(load_id, model=first.wish.model, reply=answered)
        )

    def _first(self, view: FleetView) -> _Waiting:
        best: _Waiting | None = None
        best_order: tuple[float, ...] = ()
        for waiting in self._waiting.values():
            order = _order(view, waiting.wish)
            if best is None or order < best_order:
                best = waiting
                best_order = order
        if best is None:
            raise LookupError("no load waits")
        return best

    def _grant(self, member_id: str, load_id: str) -> None:
        if member_id == self.context.member_id:
            self.on_grant(load_id)
            return
        self.context.board.intents.append(
            SendToPeer(member_id, LoadGrant(load_id=load_id))
        )

    def _forget_old(self, now_seconds: float) -> None:
        for load_id, waiting in list(self._waiting.items()):
            if now_seconds >= waiting.expires_at_seconds:
                del self._waiting[load_id]

    def _release_ended(self, now_seconds: float) -> None:
        """Returns loads whose generation no longer loads."""
        loading = set()
        forming = set()
        for name, stored in fleet_view(self.context).table.domains.items():
            for group in stored.domain.groups.values():
                load_id = load_id_of(name, group.generation)
                if group.state is GroupState.LOADING:
                    loading.add(load_id)
                if group.state is GroupState.FORMING:
                    forming.add(load_id)
        for load_id in loading:
            # Also those that an earlier owner of the queue granted.
            self._granted[load_id] = now_seconds + GRANT_LIFE_SECONDS
        for load_id, expires_at_seconds in list(self._granted.items()):
            if load_id in loading:
                continue
            if load_id in forming and now_seconds < expires_at_seconds:
                continue
            del self._granted[load_id]
            self.context.board.intents.append(ReleaseWeightLoad(load_id))


def _order(view: FleetView, wish: LoadWish) -> tuple[float, ...]:
    """Returns a sort key; lower loads first.

    Groups of data centres that are out come last. Then value counts, then
    the share of the service's replicas that is missing, so that a service
    with no replica goes before one that a returning data centre tops up.
    """
    service = view.services.get(wish.service)
    value = 0 if service is None else service.value
    replicas = 1 if service is None else max(1, service.replicas)
    serving = 0
    for _, group in view.groups_of_service(wish.service):
        if group.state is GroupState.SERVING:
            serving += 1
    missing_share = max(0.0, 1.0 - serving / replicas)
    state = view.data_centres.get(wish.data_centre)
    is_out = state is DataCentreState.OUT
    return (float(is_out), -value, -missing_share, -wish.down_seconds)
