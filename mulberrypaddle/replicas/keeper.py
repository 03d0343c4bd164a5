"""Turns what runners report into orders that form, open and end groups.

All state here is soft: a new owner draws the groups from the runners' reports
and goes on. Only what is under way is remembered, so that an order is not
given twice before its effect could be seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.first_layout import choose_first_groups
from mulberrypaddle.replicas.load_rate import LoadRateLimiter
from mulberrypaddle.replicas.losses import LossJudge
from mulberrypaddle.replicas.order_book import Directive, OrderTracker
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.replicas.picture import GroupSnapshot, draw_groups
from mulberrypaddle.replicas.placement import (
    Formation,
    ModelDemand,
    choose_formations,
)
from mulberrypaddle.replicas.staging import choose_staging

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet.config import EngineTraits, ServiceSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.fleet.view import FleetView

# Time beyond the expected end of a join or load before it counts as failed.
GRACE_SECONDS = 3.0

# Part of the full load time that a load takes before the first request.
FIRST_START_LOAD_FRACTION = 0.1

# Time in which the successor of a group that is emptied has to be ready.
SUCCESSOR_READY_SECONDS = 1.2

# Groups that may be in preparation at once.
MAX_FORMATIONS = 16

# Pause between two counts of the groups that other keepers look after.
REMOTE_COUNT_INTERVAL_SECONDS = 1.0

# Time without a new runner after which the first start counts as complete.
FLEET_SETTLED_SECONDS = 1.2


class _PendingFormation:
    """A formation from its choice until its group is open.

    Attributes:
        key: Name and epoch of its group; None before its members are told.
        until_seconds: When it counts as failed.
    """

    __slots__ = ("formation", "key", "expires_at_seconds")

    def __init__(self, formation: Formation, expires_at_seconds: float) -> None:
        self.formation = formation
        self.key: tuple[str, int] | None = None
        self.expires_at_seconds = expires_at_seconds

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
        "_transition_since_seconds",
        "_last_new_runner_seconds",
        "_load_limiter",
        "_load_window_seconds",
        "_opening_models",
        "_orders",
        "_remote_group_counts",
        "_remote_counted_at_seconds",
        "_pending",
        "_seen_incarnations",
        "losses",
    )

    def __init__(self, *, load_window_seconds: float) -> None:
        self._load_window_seconds = load_window_seconds
        self._orders = OrderTracker()
        self._pending: list[_PendingFormation] = []
        # Models with a group whose members are all there, and which is not
        # seen open yet.
        self._opening_models: set[str] = set()
        self._transition_since_seconds: dict[tuple[str, int], float] = {}
        self._seen_incarnations: set[tuple[str, int | None]] = set()
        self._last_new_runner_seconds = 0.0
        self._load_limiter = LoadRateLimiter()
        # Groups that other keepers look after, by model, and when counted.
        self._remote_group_counts: dict[str, int] = {}
        self._remote_counted_at_seconds = -REMOTE_COUNT_INTERVAL_SECONDS
        self.losses = LossJudge()

    @property
    def forming(self) -> int:
        """Returns how many groups are being formed."""
        return len(self._pending)

    def opening_in(self, model: str, now_seconds: float) -> float | None:
        """Returns when a group of a model is expected to open, in seconds."""
        if model in self._opening_models:
            return 0.0
        ends = [
            pending.expires_at_seconds - GRACE_SECONDS
            for pending in self._pending
            if pending.formation.spec.name == model
        ]
        ends += self._orders.expected_load_ends(model)
        return max(0.0, min(ends) - now_seconds) if ends else None

    def refused(self, directive: Directive, now_seconds: float) -> None:
        """Takes that a runner did not carry an order out."""
        self._orders.record_refusal(directive, now_seconds)

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
        all_entries = view.of_service(service.name)
        entries = all_entries
        if data_centres is not None:
            entries = [
                entry
                for entry in all_entries
                if entry.data_centre in data_centres
            ]
        fraction = len(entries) / max(1, len(all_entries))
        self._record_runners(entries, now_seconds)
        self._orders.prune(entries, now_seconds)
        live_entries = [e for e in entries if e.life not in self.losses.lost]
        snapshots = draw_groups(entries, traits)
        self._reconcile_groups(snapshots, now_seconds)
        busy = self._busy_runners(snapshots)
        free = [
            entry
            for entry in live_entries
            if entry.runner_id not in busy and view.usable(entry)
        ]
        demands = self._model_demands(traits, snapshots, view, wanted_slots)
        if fraction < 1:
            self._add_remote_groups(
                demands, all_entries, data_centres, traits, now_seconds
            )
        before_traffic = first_start and not traffic_seen
        fleet_settled = (
            now_seconds - self._last_new_runner_seconds >= FLEET_SETTLED_SECONDS
        )
        if not before_traffic:
            self._start_formations(free, traits, demands, now_seconds)
        elif fleet_settled:
            local_demands = [
                ModelDemand(
                    demand.spec,
                    wanted_slots=demand.wanted_slots,
                    groups=demand.groups - self._remote_groups(demand),
                )
                for demand in demands
            ]
            self._start_first_formations(
                free, snapshots, traits, local_demands, now_seconds
            )
        self._advance_formations(
            snapshots, live_entries, next_epoch, now_seconds
        )
        # Spares load after the groups of the first start, which hold traffic.
        if not before_traffic or (fleet_settled and not self._pending):
            self._stage_weights(
                free,
                live_entries,
                traits,
                demands,
                before_traffic=before_traffic,
                fraction=fraction,
                now_seconds=now_seconds,
            )
        return self._orders.drain_new()

    def _record_runners(
        self, entries: list[RunnerEntry], now_seconds: float
    ) -> None:
        incarnations = {entry.life for entry in entries}
        if incarnations - self._seen_incarnations:
            self._last_new_runner_seconds = now_seconds
        self._seen_incarnations = incarnations
        self.losses.keep_only(incarnations)

    def _reconcile_groups(
        self,
        snapshots: dict[tuple[str, int], GroupSnapshot],
        now_seconds: float,
    ) -> None:
        """Opens whole groups and ends those that can't serve."""
        forming = {pending.key for pending in self._pending}
        self._opening_models = {
            snapshot.spec.name
            for snapshot in snapshots.values()
            if snapshot.spec is not None and snapshot.all_ready
        }
        for snapshot in snapshots.values():
            if snapshot.head_state is MembershipState.BROKEN:
                continue
            if not snapshot.whole or self._has_lost_member(snapshot):
                if not self._may_still_complete(snapshot, forming, now_seconds):
                    self._disband(snapshot, "a member is lost", now_seconds)
                continue
            if snapshot.has_draining_member:
                if snapshot.head_state is MembershipState.OPEN:
                    self._close_draining_group(snapshot, now_seconds)
                else:
                    self._disband(snapshot, "a member is leaving", now_seconds)
                continue
            if snapshot.all_ready:
                head = snapshot.head
                assert head is not None
                self._orders.issue(
                    head,
                    OpenGroup(snapshot.name, epoch=snapshot.epoch),
                    reason="all members are ready",
                    now_seconds=now_seconds,
                )
        for key in list(self._transition_since_seconds):
            if key not in snapshots:
                del self._transition_since_seconds[key]

    def _may_still_complete(
        self,
        snapshot: GroupSnapshot,
        forming: set[tuple[str, int] | None],
        now_seconds: float,
    ) -> bool:
        """Returns whether a group that lacks members is still being formed."""
        if self._has_lost_member(snapshot):
            return False
        if snapshot.key in forming:
            return True
        joining = all(
            member.group is not None
            and member.group.state is MembershipState.JOINING
            for member in snapshot.members.values()
        )
        if not joining:
            return False
        # Another owner has begun it; what is not whole soon never will be.
        since = self._transition_since_seconds.setdefault(
            snapshot.key, now_seconds
        )
        return now_seconds - since <= GRACE_SECONDS

    def _disband(
        self, snapshot: GroupSnapshot, reason: str, now_seconds: float
    ) -> None:
        """Lets every member leave, the head first.

        A member that has left may join another group, whatever the head of
        its old one does: the entry of a head may lapse while it serves.
        """
        for _, member in sorted(snapshot.members.items()):
            if member.life in self.losses.lost:
                continue
            self._orders.issue(
                member,
                LeaveGroup(snapshot.name, epoch=snapshot.epoch),
                reason=reason,
                now_seconds=now_seconds,
            )

    def _has_lost_member(self, snapshot: GroupSnapshot) -> bool:
        return any(
            member.life in self.losses.lost
            for member in snapshot.members.values()
        )

    def _has_unusable_member(
        self, view: FleetView, snapshot: GroupSnapshot
    ) -> bool:
        return any(
            not view.usable(member) for member in snapshot.members.values()
        )

    def _close_draining_group(
        self, snapshot: GroupSnapshot, now_seconds: float
    ) -> None:
        """Closes a group that loses a member as planned."""
        since = self._transition_since_seconds.setdefault(
            snapshot.key, now_seconds
        )
        if now_seconds - since < SUCCESSOR_READY_SECONDS:
            return
        head = snapshot.head
        assert head is not None
        self._orders.issue(
            head,
            CloseGroup(snapshot.name, epoch=snapshot.epoch),
            reason="a member is leaving",
            now_seconds=now_seconds,
        )

    def _busy_runners(
        self, snapshots: dict[tuple[str, int], GroupSnapshot]
    ) -> set[str]:
        """Returns the runners that may not join a group."""
        busy: set[str] = set()
        for snapshot in snapshots.values():
            if snapshot.releases_members:
                continue
            for member in snapshot.members.values():
                busy.add(member.runner_id)
        for pending in self._pending:
            busy.update(pending.member_ids)
        return busy | self._orders.runner_ids()

    def _model_demands(
        self,
        traits: EngineTraits,
        snapshots: dict[tuple[str, int], GroupSnapshot],
        view: FleetView,
        wanted_slots: dict[str, float],
    ) -> list[ModelDemand]:
        groups: dict[str, int] = {}
        for snapshot in snapshots.values():
            if snapshot.spec is None or not snapshot.whole:
                continue
            if self._has_lost_member(snapshot):
                continue
            if snapshot.head_state is MembershipState.BROKEN:
                continue
            if self._has_unusable_member(view, snapshot):
                continue
            groups[snapshot.spec.name] = groups.get(snapshot.spec.name, 0) + 1
        for pending in self._pending:
            name = pending.formation.spec.name
            formed = snapshots.get(pending.key) if pending.key else None
            if formed is not None and formed.whole:
                continue
            groups[name] = groups.get(name, 0) + 1
        return [
            ModelDemand(
                spec,
                wanted_slots=wanted_slots.get(spec.name, 0.0),
                groups=groups.get(spec.name, 0),
            )
            for spec in traits.models.values()
        ]

    def _add_remote_groups(
        self,
        demands: list[ModelDemand],
        all_entries: list[RunnerEntry],
        data_centres: frozenset[str] | None,
        traits: EngineTraits,
        now_seconds: float,
    ) -> None:
        """Adds the groups of the data centres that other keepers look after."""
        if (
            now_seconds - self._remote_counted_at_seconds
            >= REMOTE_COUNT_INTERVAL_SECONDS
        ):
            self._remote_counted_at_seconds = now_seconds
            counts: dict[str, int] = {}
            remote_entries = [
                entry
                for entry in all_entries
                if entry.data_centre not in (data_centres or ())
            ]
            for snapshot in draw_groups(remote_entries, traits).values():
                if snapshot.spec is None or not snapshot.whole:
                    continue
                if snapshot.head_state is MembershipState.BROKEN:
                    continue
                name = snapshot.spec.name
                counts[name] = counts.get(name, 0) + 1
            self._remote_group_counts = counts
        for demand in demands:
            demand.groups += self._remote_groups(demand)

    def _remote_groups(self, demand: ModelDemand) -> int:
        """Returns the groups of a model that other keepers look after."""
        return self._remote_group_counts.get(demand.spec.name, 0)

    def _start_first_formations(
        self,
        free: list[RunnerEntry],
        snapshots: dict[tuple[str, int], GroupSnapshot],
        traits: EngineTraits,
        demands: list[ModelDemand],
        now_seconds: float,
    ) -> None:
        """Takes up the groups of the first start."""
        formed = [
            (snapshot.spec, member)
            for snapshot in snapshots.values()
            if snapshot.spec is not None
            for member in snapshot.members.values()
        ]
        formed += [
            (pending.formation.spec, member)
            for pending in self._pending
            for member in pending.formation.members
        ]
        for formation in choose_first_groups(
            free, formed=formed, traits=traits, demands=demands
        ):
            load_seconds = (
                formation.spec.load_seconds * FIRST_START_LOAD_FRACTION
            )
            self._start_formation(formation, free, load_seconds, now_seconds)

    def _start_formations(
        self,
        free: list[RunnerEntry],
        traits: EngineTraits,
        demands: list[ModelDemand],
        now_seconds: float,
    ) -> None:
        """Takes up groups of runners that hold the weights."""
        for formation in choose_formations(
            free,
            traits=traits,
            demands=demands,
            max_formations=MAX_FORMATIONS - len(self._pending),
        ):
            self._start_formation(formation, free, 0.0, now_seconds)

    def _start_formation(
        self,
        formation: Formation,
        free: list[RunnerEntry],
        load_seconds: float,
        now_seconds: float,
    ) -> None:
        """Begins a formation and takes its members out of `free`."""
        expires_at_seconds = (
            now_seconds + GRACE_SECONDS + formation.spec.warm_seconds
        )
        self._pending.append(
            _PendingFormation(formation, expires_at_seconds + load_seconds)
        )
        taken = {member.runner_id for member in formation.members}
        free[:] = [entry for entry in free if entry.runner_id not in taken]

    def _advance_formations(
        self,
        snapshots: dict[tuple[str, int], GroupSnapshot],
        live_entries: list[RunnerEntry],
        next_epoch: Callable[[str], int],
        now_seconds: float,
    ) -> None:
        """Moves each formation one step on."""
        by_incarnation = {entry.life: entry for entry in live_entries}
        still_pending: list[_PendingFormation] = []
        for pending in self._pending:
            members = [
                by_incarnation.get(member.life)
                for member in pending.formation.members
            ]
            present = [
                entry
                for entry in members
                if entry is not None and not entry.draining
            ]
            if len(present) < len(members) or now_seconds >= (
                pending.expires_at_seconds
            ):
                continue
            pending.formation.members = present
            key = pending.key
            if key is None:
                epoch = next_epoch(pending.formation.members[0].data_centre)
                self._order_join(pending, epoch, now_seconds)
                still_pending.append(pending)
            elif not _has_joined(snapshots.get(key)):
                # Once its group stands, that is tended like any other.
                still_pending.append(pending)
        self._pending = still_pending

    def _order_join(
        self, pending: _PendingFormation, epoch: int, now_seconds: float
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
            self._orders.drop(member)
            self._orders.issue(
                member,
                join,
                reason="the group is to be formed",
                now_seconds=now_seconds,
            )

    def _stage_weights(
        self,
        free: list[RunnerEntry],
        live_entries: list[RunnerEntry],
        traits: EngineTraits,
        demands: list[ModelDemand],
        *,
        before_traffic: bool,
        fraction: float,
        now_seconds: float,
    ) -> None:
        """Lets free runners load weights, as many as the weight store bears.

        Loads before the first request are not counted by it. A keeper of some
        data centres has their part of what all may load.
        """
        loading = self._orders.loading_models()
        remaining_loads = max(1, int(traits.loads_at_once * fraction)) - len(
            loading
        )
        allowance = self._load_limiter.allowance(
            per_second=traits.loads_per_second * fraction,
            window_seconds=self._load_window_seconds,
            now_seconds=now_seconds,
        )
        if not before_traffic:
            remaining_loads = min(remaining_loads, allowance)
        for staging in choose_staging(
            free,
            service_runners=live_entries,
            loading=loading,
            traits=traits,
            demands=demands,
        ):
            if remaining_loads <= 0:
                break
            if not self._orders.issue(
                staging.runner,
                StageModel(staging.model),
                reason=staging.reason,
                now_seconds=now_seconds,
                expected_seconds=traits.models[staging.model].load_seconds,
            ):
                continue
            remaining_loads -= 1
            if not before_traffic:
                self._load_limiter.record_start()


def _has_joined(snapshot: GroupSnapshot | None) -> bool:
    """Returns whether a group stands, with all members and a ready head."""
    if snapshot is None or not snapshot.whole:
        return False
    return snapshot.head_state is not MembershipState.JOINING
