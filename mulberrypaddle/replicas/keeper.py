"""Turns what runners report into orders that form, open and end groups.

All state here is soft: a new owner draws the groups from the runners' reports
and goes on. Only what is under way is remembered, so that an order is not
given twice before its effect could be seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.first_layout import choose_first_groups
from mulberrypaddle.replicas.load_rate import LoadRate
from mulberrypaddle.replicas.losses import LossJudge
from mulberrypaddle.replicas.order_book import Directive, OrderBook
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.replicas.picture import GroupPicture, draw_groups
from mulberrypaddle.replicas.placement import (
    Formation,
    ModelLoad,
    choose_formations,
)
from mulberrypaddle.replicas.staging import choose_staging

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet.config import EngineTraits, ServiceSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.fleet.view import FleetView

# Time beyond the expected end of a join or load before it counts as failed.
SLACK_SECONDS = 3.0

# Part of the full load time that a load takes before the first request.
FIRST_START_LOAD_PART = 0.1

# Time in which the successor of a group that is emptied has to be ready.
SUCCESSION_SECONDS = 1.2

# Groups that may be in preparation at once.
MOST_FORMATIONS = 16

# Pause between two counts of the groups that other keepers look after.
COUNT_OTHERS_SECONDS = 1.0

# Time without a new runner after which the first start counts as complete.
SETTLED_SECONDS = 1.2


class _Pending:
    """A formation from its choice until its group is open.

    Attributes:
        key: Name and epoch of its group; None before its members are told.
        until_seconds: When it counts as failed.
    """

    __slots__ = ("formation", "key", "until_seconds")

    def __init__(self, formation: Formation, until_seconds: float) -> None:
        self.formation = formation
        self.key: tuple[str, int] | None = None
        self.until_seconds = until_seconds

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Returns its members, the head first."""
        return tuple(member.runner_id for member in self.formation.members)


class GroupKeeper:
    """Keeps the groups of one engine service.

    Attributes:
        losses: Runners that do not answer although their entries stand.
    """

    __slots__ = (
        "_seen_since",
        "_last_new_runner_seconds",
        "_load_rate",
        "_load_window_seconds",
        "_opening",
        "_orders",
        "_others",
        "_others_counted_seconds",
        "_pending",
        "_seen_runners",
        "losses",
    )

    def __init__(self, *, load_window_seconds: float) -> None:
        self._load_window_seconds = load_window_seconds
        self._orders = OrderBook()
        self._pending: list[_Pending] = []
        # Models with a group whose members are all there, and which is not
        # seen open yet.
        self._opening: set[str] = set()
        self._seen_since: dict[tuple[str, int], float] = {}
        self._seen_runners: set[tuple[str, int | None]] = set()
        self._last_new_runner_seconds = 0.0
        self._load_rate = LoadRate()
        # Groups that other keepers look after, by model, and when counted.
        self._others: dict[str, int] = {}
        self._others_counted_seconds = -COUNT_OTHERS_SECONDS
        self.losses = LossJudge()

    @property
    def forming(self) -> int:
        """Returns how many groups are being formed."""
        return len(self._pending)

    def opening_in(self, model: str, now_seconds: float) -> float | None:
        """Returns when a group of a model is expected to open, in seconds."""
        if model in self._opening:
            return 0.0
        ends = [
            pending.until_seconds - SLACK_SECONDS
            for pending in self._pending
            if pending.formation.spec.name == model
        ]
        ends += self._orders.load_ends(model)
        return max(0.0, min(ends) - now_seconds) if ends else None

    def refused(self, directive: Directive, now_seconds: float) -> None:
        """Takes that a runner did not carry an order out."""
        self._orders.refused(directive, now_seconds)

    def step(
        self,
        view: FleetView,
        service: ServiceSpec,
        *,
        wanted_slots: dict[str, float],
        traffic_seen: bool,
        first_start: bool,
        next_epoch: Callable[[str], int],
        now_seconds: float,
        data_centres: frozenset[str] | None = None,
    ) -> list[Directive]:
        """Returns the orders to give now.

        Args:
            view: What the runners report.
            service: The service, with an engine.
            wanted_slots: Slots that the demand for each model keeps busy,
                in all data centres.
            traffic_seen: Whether requests have come.
            first_start: Whether the whole system started just now.
            next_epoch: Returns an epoch higher than all before in a data
                centre.
            now_seconds: Monotonic time.
            data_centres: Those whose groups it keeps; None for all. Other
                keepers look after the rest.
        """
        traits = service.engine
        assert traits is not None
        everywhere = view.of_service(service.name)
        entries = everywhere
        if data_centres is not None:
            entries = [
                entry
                for entry in everywhere
                if entry.data_centre in data_centres
            ]
        part = len(entries) / max(1, len(everywhere))
        self._note_runners(entries, now_seconds)
        self._orders.settle(entries, now_seconds)
        living = [e for e in entries if e.life not in self.losses.lost]
        pictures = draw_groups(entries, traits)
        self._tend_groups(pictures, now_seconds)
        busy = self._busy_runners(pictures)
        free = [
            entry
            for entry in living
            if entry.runner_id not in busy and view.usable(entry)
        ]
        loads = self._loads(traits, pictures, view, wanted_slots)
        if part < 1:
            self._count_others(
                loads, everywhere, data_centres, traits, now_seconds
            )
        quick = first_start and not traffic_seen
        settled = now_seconds - self._last_new_runner_seconds >= SETTLED_SECONDS
        if not quick:
            self._choose(free, traits, loads, now_seconds)
        elif settled:
            first = [
                ModelLoad(
                    load.spec,
                    wanted_slots=load.wanted_slots,
                    groups=load.groups - self._others_groups(load),
                )
                for load in loads
            ]
            self._choose_first(free, pictures, traits, first, now_seconds)
        self._advance(pictures, living, next_epoch, now_seconds)
        # Spares load after the groups of the first start, which hold traffic.
        if not quick or (settled and not self._pending):
            self._stage(
                free,
                living,
                traits,
                loads,
                quick=quick,
                part=part,
                now_seconds=now_seconds,
            )
        return self._orders.take_new()

    def _note_runners(
        self, entries: list[RunnerEntry], now_seconds: float
    ) -> None:
        lives = {entry.life for entry in entries}
        if lives - self._seen_runners:
            self._last_new_runner_seconds = now_seconds
        self._seen_runners = lives
        self.losses.keep_only(lives)

    def _tend_groups(
        self,
        pictures: dict[tuple[str, int], GroupPicture],
        now_seconds: float,
    ) -> None:
        """Opens whole groups and ends those that can't serve."""
        forming = {pending.key for pending in self._pending}
        self._opening = {
            picture.spec.name
            for picture in pictures.values()
            if picture.spec is not None and picture.all_ready
        }
        for picture in pictures.values():
            if picture.head_state is MembershipState.BROKEN:
                continue
            if not picture.whole or self._lost_member(picture):
                if not self._may_come_whole(picture, forming, now_seconds):
                    self._dissolve(picture, "a member is lost", now_seconds)
                continue
            if picture.leaving:
                if picture.head_state is MembershipState.OPEN:
                    self._empty(picture, now_seconds)
                else:
                    self._dissolve(picture, "a member is leaving", now_seconds)
                continue
            if picture.all_ready:
                head = picture.head
                assert head is not None
                self._orders.give(
                    head,
                    OpenGroup(picture.name, epoch=picture.epoch),
                    reason="all members are ready",
                    now_seconds=now_seconds,
                )
        for key in list(self._seen_since):
            if key not in pictures:
                del self._seen_since[key]

    def _may_come_whole(
        self,
        picture: GroupPicture,
        forming: set[tuple[str, int] | None],
        now_seconds: float,
    ) -> bool:
        """Returns whether a group that lacks members is still being formed."""
        if self._lost_member(picture):
            return False
        if picture.key in forming:
            return True
        joining = all(
            member.group is not None
            and member.group.state is MembershipState.JOINING
            for member in picture.members.values()
        )
        if not joining:
            return False
        # Another owner has begun it; what is not whole soon never will be.
        since = self._seen_since.setdefault(picture.key, now_seconds)
        return now_seconds - since <= SLACK_SECONDS

    def _dissolve(
        self, picture: GroupPicture, reason: str, now_seconds: float
    ) -> None:
        """Lets every member leave, the head first.

        A member that has left may join another group, whatever the head of
        its old one does: the entry of a head may lapse while it serves.
        """
        for _, member in sorted(picture.members.items()):
            if member.life in self.losses.lost:
                continue
            self._orders.give(
                member,
                LeaveGroup(picture.name, epoch=picture.epoch),
                reason=reason,
                now_seconds=now_seconds,
            )

    def _lost_member(self, picture: GroupPicture) -> bool:
        return any(
            member.life in self.losses.lost
            for member in picture.members.values()
        )

    def _unusable(self, view: FleetView, picture: GroupPicture) -> bool:
        return any(
            not view.usable(member) for member in picture.members.values()
        )

    def _empty(self, picture: GroupPicture, now_seconds: float) -> None:
        """Closes a group that loses a member as planned."""
        since = self._seen_since.setdefault(picture.key, now_seconds)
        if now_seconds - since < SUCCESSION_SECONDS:
            return
        head = picture.head
        assert head is not None
        self._orders.give(
            head,
            CloseGroup(picture.name, epoch=picture.epoch),
            reason="a member is leaving",
            now_seconds=now_seconds,
        )

    def _busy_runners(
        self, pictures: dict[tuple[str, int], GroupPicture]
    ) -> set[str]:
        """Returns the runners that may not join a group."""
        busy: set[str] = set()
        for picture in pictures.values():
            if picture.frees_members:
                continue
            for member in picture.members.values():
                busy.add(member.runner_id)
        for pending in self._pending:
            busy.update(pending.member_ids)
        return busy | self._orders.runner_ids()

    def _loads(
        self,
        traits: EngineTraits,
        pictures: dict[tuple[str, int], GroupPicture],
        view: FleetView,
        wanted_slots: dict[str, float],
    ) -> list[ModelLoad]:
        groups: dict[str, int] = {}
        for picture in pictures.values():
            if picture.spec is None or not picture.whole:
                continue
            if self._lost_member(picture):
                continue
            if picture.head_state is MembershipState.BROKEN:
                continue
            if self._unusable(view, picture):
                continue
            groups[picture.spec.name] = groups.get(picture.spec.name, 0) + 1
        for pending in self._pending:
            name = pending.formation.spec.name
            formed = pictures.get(pending.key) if pending.key else None
            if formed is not None and formed.whole:
                continue
            groups[name] = groups.get(name, 0) + 1
        return [
            ModelLoad(
                spec,
                wanted_slots=wanted_slots.get(spec.name, 0.0),
                groups=groups.get(spec.name, 0),
            )
            for spec in traits.models.values()
        ]

    def _count_others(
        self,
        loads: list[ModelLoad],
        everywhere: list[RunnerEntry],
        data_centres: frozenset[str] | None,
        traits: EngineTraits,
        now_seconds: float,
    ) -> None:
        """Adds the groups of the data centres that other keepers look after."""
        if now_seconds - self._others_counted_seconds >= COUNT_OTHERS_SECONDS:
            self._others_counted_seconds = now_seconds
            counts: dict[str, int] = {}
            others = [
                entry
                for entry in everywhere
                if entry.data_centre not in (data_centres or ())
            ]
            for picture in draw_groups(others, traits).values():
                if picture.spec is None or not picture.whole:
                    continue
                if picture.head_state is MembershipState.BROKEN:
                    continue
                name = picture.spec.name
                counts[name] = counts.get(name, 0) + 1
            self._others = counts
        for load in loads:
            load.groups += self._others_groups(load)

    def _others_groups(self, load: ModelLoad) -> int:
        """Returns the groups of a model that other keepers look after."""
        return self._others.get(load.spec.name, 0)

    def _choose_first(
        self,
        free: list[RunnerEntry],
        pictures: dict[tuple[str, int], GroupPicture],
        traits: EngineTraits,
        loads: list[ModelLoad],
        now_seconds: float,
    ) -> None:
        """Takes up the groups of the first start."""
        formed = [
            (picture.spec, member)
            for picture in pictures.values()
            if picture.spec is not None
            for member in picture.members.values()
        ]
        formed += [
            (pending.formation.spec, member)
            for pending in self._pending
            for member in pending.formation.members
        ]
        for formation in choose_first_groups(
            free, formed=formed, traits=traits, loads=loads
        ):
            load_seconds = formation.spec.load_seconds * FIRST_START_LOAD_PART
            self._take_up(formation, free, load_seconds, now_seconds)

    def _choose(
        self,
        free: list[RunnerEntry],
        traits: EngineTraits,
        loads: list[ModelLoad],
        now_seconds: float,
    ) -> None:
        """Takes up groups of runners that hold the weights."""
        for formation in choose_formations(
            free,
            traits=traits,
            loads=loads,
            most=MOST_FORMATIONS - len(self._pending),
        ):
            self._take_up(formation, free, 0.0, now_seconds)

    def _take_up(
        self,
        formation: Formation,
        free: list[RunnerEntry],
        load_seconds: float,
        now_seconds: float,
    ) -> None:
        """Begins a formation and takes its members out of `free`."""
        until = now_seconds + SLACK_SECONDS + formation.spec.warm_seconds
        self._pending.append(_Pending(formation, until + load_seconds))
        taken = {member.runner_id for member in formation.members}
        free[:] = [entry for entry in free if entry.runner_id not in taken]

    def _advance(
        self,
        pictures: dict[tuple[str, int], GroupPicture],
        living: list[RunnerEntry],
        next_epoch: Callable[[str], int],
        now_seconds: float,
    ) -> None:
        """Moves each formation one step on."""
        by_life = {entry.life: entry for entry in living}
        kept: list[_Pending] = []
        for pending in self._pending:
            members = [
                by_life.get(member.life) for member in pending.formation.members
            ]
            present = [
                entry
                for entry in members
                if entry is not None and not entry.draining
            ]
            if len(present) < len(members) or now_seconds >= (
                pending.until_seconds
            ):
                continue
            pending.formation.members = present
            key = pending.key
            if key is None:
                epoch = next_epoch(pending.formation.members[0].data_centre)
                self._order_join(pending, epoch, now_seconds)
                kept.append(pending)
            elif not _has_joined(pictures.get(key)):
                # Once its group stands, that is tended like any other.
                kept.append(pending)
        self._pending = kept

    def _order_join(
        self, pending: _Pending, epoch: int, now_seconds: float
    ) -> None:
        """Tells the members of a formation to join its group."""
        pending.key = (f"g{epoch}", epoch)
        join = JoinGroup(
            pending.key[0],
            epoch=epoch,
            model=pending.formation.spec.name,
            member_ids=pending.member_ids,
        )
        for member in pending.formation.members:
            self._orders.replace(member)
            self._orders.give(
                member,
                join,
                reason="the group is to be formed",
                now_seconds=now_seconds,
            )

    def _stage(
        self,
        free: list[RunnerEntry],
        living: list[RunnerEntry],
        traits: EngineTraits,
        loads: list[ModelLoad],
        *,
        quick: bool,
        part: float,
        now_seconds: float,
    ) -> None:
        """Lets free runners load weights, as many as the weight store bears.

        Loads before the first request are not counted by it. A keeper of some
        data centres has their part of what all may load.
        """
        loading = self._orders.loading()
        room = max(1, int(traits.loads_at_once * part)) - len(loading)
        allowance = self._load_rate.allowance(
            per_second=traits.loads_per_second * part,
            window_seconds=self._load_window_seconds,
            now_seconds=now_seconds,
        )
        if not quick:
            room = min(room, allowance)
        for staging in choose_staging(
            free,
            service_runners=living,
            loading=loading,
            traits=traits,
            loads=loads,
        ):
            if room <= 0:
                break
            if not self._orders.give(
                staging.runner,
                StageModel(staging.model),
                reason=staging.reason,
                now_seconds=now_seconds,
                takes_seconds=traits.models[staging.model].load_seconds,
            ):
                continue
            room -= 1
            if not quick:
                self._load_rate.begun()


def _has_joined(picture: GroupPicture | None) -> bool:
    """Returns whether a group stands, with all members and a ready head."""
    if picture is None or not picture.whole:
        return False
    return picture.head_state is not MembershipState.JOINING
