"""Turns what runners report into orders that form, open and end groups.

All state here is soft: a new owner draws the groups from the runners' reports
and goes on. Only what is under way is remembered, so that an order is not
given twice before its effect could be seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    GroupOrder,
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
    choose_staging,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet.config import EngineTraits, ServiceSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.fleet.view import FleetView

# Time until an order that was accepted must show in the runner's report;
# it is written there at once and read some hundred milliseconds later.
ORDER_SHOWS_SECONDS = 1.5

# Pause after a refused order: the report that explains it is on its way.
REFUSED_PAUSE_SECONDS = 0.3

# Pause after a refused load; loads take ten seconds and more.
REFUSED_STAGE_PAUSE_SECONDS = 2.0

# Time beyond the expected end of a join or load before it counts as failed.
SLACK_SECONDS = 3.0

# Part of the full load time that a load takes before the first request.
FIRST_START_LOAD_PART = 0.1

# Time in which the successor of a group that is emptied has to be ready.
SUCCESSION_SECONDS = 1.2

# Groups that may be in preparation at once.
MOST_FORMATIONS = 16

# Time without a new runner after which the first start counts as complete.
SETTLED_SECONDS = 1.2


class Directive:
    """One order for one runner.

    Attributes:
        runner: The runner, with what it last reported.
        order: What it is to do.
        reason: Why, in a few words, for the log.
    """

    __slots__ = ("order", "reason", "runner")

    def __init__(
        self, runner: RunnerEntry, order: GroupOrder, *, reason: str
    ) -> None:
        self.runner = runner
        self.order = order
        self.reason = reason


class _UnderWay:
    """An order to a runner whose effect is awaited."""

    __slots__ = ("order", "until_seconds")

    def __init__(self, order: GroupOrder, until_seconds: float) -> None:
        self.order = order
        self.until_seconds = until_seconds


class _Pending:
    """A formation from its choice until its group is open.

    Attributes:
        key: Name and epoch of its group; None while weights are loaded.
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
    """Keeps the groups of one engine service."""

    __slots__ = (
        "_seen_since",
        "_last_new_runner_seconds",
        "_opening",
        "_pending",
        "_seen_runners",
        "_under_way",
        "lost_runners",
    )

    def __init__(self) -> None:
        self._under_way: dict[tuple[str, int | None], _UnderWay] = {}
        self._pending: list[_Pending] = []
        # Models with a group whose members are all there, and which is not
        # seen open yet.
        self._opening: set[str] = set()
        self._seen_since: dict[tuple[str, int], float] = {}
        self._seen_runners: set[tuple[str, int | None]] = set()
        self._last_new_runner_seconds = 0.0
        # Runners that do not answer although their entries stand.
        self.lost_runners: set[tuple[str, int | None]] = set()

    @property
    def forming(self) -> int:
        """Returns how many groups are being formed."""
        return len(self._pending)

    def opening_in(self, model: str, now_seconds: float) -> float | None:
        """Returns when a group of a model is expected to open, in seconds."""
        if model in self._opening:
            return 0.0
        ends = [
            pending.until_seconds - SLACK_SECONDS - now_seconds
            for pending in self._pending
            if pending.formation.spec.name == model
        ]
        return max(0.0, min(ends)) if ends else None

    def refused(self, directive: Directive, now_seconds: float) -> None:
        """Takes that a runner did not carry an order out."""
        work = self._under_way.get(directive.runner.life)
        if work is None or work.order is not directive.order:
            return
        pause = REFUSED_PAUSE_SECONDS
        if isinstance(directive.order, StageModel):
            # Another load is under way, perhaps by an owner before this one.
            pause = REFUSED_STAGE_PAUSE_SECONDS
        work.until_seconds = now_seconds + pause

    def step(
        self,
        view: FleetView,
        service: ServiceSpec,
        *,
        wanted_slots: dict[str, float],
        traffic_seen: bool,
        first_start: bool,
        next_epoch: Callable[[], int],
        now_seconds: float,
    ) -> list[Directive]:
        """Returns the orders to give now.

        Args:
            view: What the runners report.
            service: The service, with an engine.
            wanted_slots: Slots that the demand for each model keeps busy.
            traffic_seen: Whether requests have come.
            first_start: Whether the whole system started just now.
            next_epoch: Returns an epoch higher than all before.
            now_seconds: Monotonic time.
        """
        traits = service.engine
        assert traits is not None
        entries = view.of_service(service.name)
        self._note_runners(entries, now_seconds)
        self._expire(entries, now_seconds)
        living = [e for e in entries if e.life not in self.lost_runners]
        pictures = draw_groups(entries, traits)
        directives: list[Directive] = []
        directives += self._tend_groups(pictures, now_seconds)
        busy = self._busy_runners(pictures)
        free = [
            entry
            for entry in living
            if entry.runner_id not in busy and view.usable(entry)
        ]
        loads = self._loads(traits, pictures, view, wanted_slots)
        quick = first_start and not traffic_seen
        settled = now_seconds - self._last_new_runner_seconds >= SETTLED_SECONDS
        if not quick or settled:
            self._choose(free, living, traits, loads, quick, now_seconds)
        directives += self._advance(
            pictures, living, traits, quick, next_epoch, now_seconds
        )
        if not quick or settled:
            directives += self._stage_spares(
                free, living, traits, loads, now_seconds
            )
        return directives

    def _note_runners(
        self, entries: list[RunnerEntry], now_seconds: float
    ) -> None:
        lives = {entry.life for entry in entries}
        if lives - self._seen_runners:
            self._last_new_runner_seconds = now_seconds
        self._seen_runners = lives
        self.lost_runners &= lives

    def _expire(self, entries: list[RunnerEntry], now_seconds: float) -> None:
        by_life = {entry.life: entry for entry in entries}
        for life, work in list(self._under_way.items()):
            entry = by_life.get(life)
            if (
                entry is None
                or now_seconds >= work.until_seconds
                or _shows(entry, work.order)
            ):
                del self._under_way[life]

    def _tend_groups(
        self,
        pictures: dict[tuple[str, int], GroupPicture],
        now_seconds: float,
    ) -> list[Directive]:
        """Opens whole groups and ends those that can't serve."""
        directives: list[Directive] = []
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
                    self._dissolve(
                        directives, picture, "a member is lost", now_seconds
                    )
                continue
            if picture.leaving:
                if picture.head_state is MembershipState.OPEN:
                    self._empty(directives, picture, now_seconds)
                else:
                    self._dissolve(
                        directives,
                        picture,
                        "a member is leaving",
                        now_seconds,
                    )
                continue
            if picture.all_ready:
                head = picture.head
                assert head is not None
                self._give(
                    directives,
                    head,
                    OpenGroup(picture.name, epoch=picture.epoch),
                    "all members are ready",
                    now_seconds,
                )
        for key in list(self._seen_since):
            if key not in pictures:
                del self._seen_since[key]
        return directives

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
        self,
        directives: list[Directive],
        picture: GroupPicture,
        reason: str,
        now_seconds: float,
    ) -> None:
        """Lets every member leave, the head first.

        A member that has left may join another group, whatever the head of
        its old one does: the entry of a head may lapse while it serves.
        """
        for _, member in sorted(picture.members.items()):
            if member.life in self.lost_runners:
                continue
            self._give(
                directives,
                member,
                LeaveGroup(picture.name, epoch=picture.epoch),
                reason,
                now_seconds,
            )

    def _lost_member(self, picture: GroupPicture) -> bool:
        return any(
            member.life in self.lost_runners
            for member in picture.members.values()
        )

    def _unusable(self, view: FleetView, picture: GroupPicture) -> bool:
        return any(
            not view.usable(member) for member in picture.members.values()
        )

    def _empty(
        self,
        directives: list[Directive],
        picture: GroupPicture,
        now_seconds: float,
    ) -> None:
        """Closes a group that loses a member as planned."""
        since = self._seen_since.setdefault(picture.key, now_seconds)
        if now_seconds - since < SUCCESSION_SECONDS:
            return
        head = picture.head
        assert head is not None
        self._give(
            directives,
            head,
            CloseGroup(picture.name, epoch=picture.epoch),
            "a member is leaving",
            now_seconds,
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
        for life in self._under_way:
            busy.add(life[0])
        return busy

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

    def _choose(
        self,
        free: list[RunnerEntry],
        living: list[RunnerEntry],
        traits: EngineTraits,
        loads: list[ModelLoad],
        quick: bool,
        now_seconds: float,
    ) -> None:
        """Takes up new formations and takes their members out of `free`."""
        sizes: dict[tuple[str, str], int] = {}
        for entry in living:
            key = (entry.data_centre, entry.domain)
            sizes[key] = sizes.get(key, 0) + 1
        most = len(living) if quick else MOST_FORMATIONS - len(self._pending)
        for formation in choose_formations(
            free,
            domain_sizes=sizes,
            traits=traits,
            loads=loads,
            first_start=quick,
            most=most,
        ):
            until = now_seconds + SLACK_SECONDS + formation.spec.warm_seconds
            if formation.unstaged:
                until += formation.spec.load_seconds * (
                    FIRST_START_LOAD_PART if quick else 1.0
                )
            self._pending.append(_Pending(formation, until))
            taken = {member.runner_id for member in formation.members}
            free[:] = [e for e in free if e.runner_id not in taken]

    def _advance(
        self,
        pictures: dict[tuple[str, int], GroupPicture],
        living: list[RunnerEntry],
        traits: EngineTraits,
        quick: bool,
        next_epoch: Callable[[], int],
        now_seconds: float,
    ) -> list[Directive]:
        """Moves each formation one step on."""
        directives: list[Directive] = []
        by_life = {entry.life: entry for entry in living}
        kept: list[_Pending] = []
        staging = self._staging()
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
            if pending.key is not None:
                # Once its group stands, that is tended like any other.
                if not _has_joined(pictures.get(pending.key)):
                    kept.append(pending)
                continue
            kept.append(pending)
            unstaged = pending.formation.unstaged
            if unstaged and not quick:
                for member in unstaged:
                    if staging >= traits.loads_at_once:
                        break
                    if self._give(
                        directives,
                        member,
                        StageModel(pending.formation.spec.name),
                        "a group needs the weights",
                        now_seconds,
                        extra_seconds=pending.formation.spec.load_seconds,
                    ):
                        staging += 1
                continue
            epoch = next_epoch()
            pending.key = (f"g{epoch}", epoch)
            join = JoinGroup(
                pending.key[0],
                epoch=epoch,
                model=pending.formation.spec.name,
                member_ids=pending.member_ids,
            )
            for member in present:
                self._under_way.pop(member.life, None)
                self._give(
                    directives,
                    member,
                    join,
                    "the group is to be formed",
                    now_seconds,
                )
        self._pending = kept
        return directives

    def _staging(self) -> int:
        """Returns how many loads of weights are under way."""
        return sum(
            isinstance(work.order, StageModel)
            for work in self._under_way.values()
        )

    def _stage_spares(
        self,
        free: list[RunnerEntry],
        living: list[RunnerEntry],
        traits: EngineTraits,
        loads: list[ModelLoad],
        now_seconds: float,
    ) -> list[Directive]:
        directives: list[Directive] = []
        staging = self._staging()
        for runner, model in choose_staging(
            free, service_runners=living, traits=traits, loads=loads
        ):
            if staging >= traits.loads_at_once:
                break
            if self._give(
                directives,
                runner,
                StageModel(model),
                "a spare for repairs",
                now_seconds,
                extra_seconds=traits.models[model].load_seconds,
            ):
                staging += 1
        return directives

    def _give(
        self,
        directives: list[Directive],
        runner: RunnerEntry,
        order: GroupOrder,
        reason: str,
        now_seconds: float,
        *,
        extra_seconds: float = 0.0,
    ) -> bool:
        """Gives an order unless one is under way at the runner."""
        if runner.life in self._under_way:
            return False
        self._under_way[runner.life] = _UnderWay(
            order, now_seconds + ORDER_SHOWS_SECONDS + extra_seconds
        )
        directives.append(Directive(runner, order, reason=reason))
        return True


def _has_joined(picture: GroupPicture | None) -> bool:
    """Returns whether a group stands, with all members and a ready head."""
    if picture is None or not picture.whole:
        return False
    return picture.head_state is not MembershipState.JOINING


def _shows(entry: RunnerEntry, order: GroupOrder) -> bool:
    """Returns whether a runner's report shows the effect of an order."""
    if isinstance(order, StageModel):
        return order.model in entry.staged
    group = entry.group
    if isinstance(order, JoinGroup):
        return group is not None and group.epoch >= order.epoch
    if isinstance(order, OpenGroup):
        return group is not None and group.state is MembershipState.OPEN
    if isinstance(order, CloseGroup):
        return group is None or group.state is not MembershipState.OPEN
    return group is None
