"""Reconciles the groups of a service with demand by orders to runners.

An order is a command to one runner, such as `JoinGroup`. All state here is
soft: a new owner (the router that may send orders; see `ownership`) derives the
existing groups from the runners' reports and continues from there. Formations
and orders in flight are remembered, so that an order is not issued again before
its effect could be seen, and so are orders that runners may carry out late; see
`order_history`. Late orders of an earlier owner are refused by runners that
have taken an order of this one, since its fencing token is higher.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.first_layout import choose_first_groups
from mulberrypaddle.replicas.group_snapshot import (
    GroupSnapshot,
    RunnerSource,
    snapshot_groups,
)
from mulberrypaddle.replicas.load_rate_limiter import LoadRateLimiter
from mulberrypaddle.replicas.loss_detector import LossDetector
from mulberrypaddle.replicas.loss_rate import LossRate
from mulberrypaddle.replicas.order_history import OrderHistory
from mulberrypaddle.replicas.order_tracker import Directive, OrderTracker
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.replicas.placement import (
    Formation,
    ModelDemand,
    choose_formations,
)
from mulberrypaddle.replicas.staging import choose_staging

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet.config import EngineTraits, ServiceSpec
    from mulberrypaddle.fleet.runners import GroupMembership, RunnerEntry

# Time beyond the expected end of a formation before it counts as failed. It
# leaves room to repeat orders to members that don't answer.
FORMATION_GRACE_SECONDS = 10.0

# Time after which an incomplete group that a previous owner was forming counts
# as failed.
TAKEOVER_GRACE_SECONDS = 3.0

# Fraction of the full load time that a load of weights takes before the first
# request.
FIRST_START_LOAD_FRACTION = 0.1

# Time for a successor to become ready before a group with a draining member is
# closed.
SUCCESSOR_READY_SECONDS = 1.2

# Maximum number of groups that are formed at once.
MAX_FORMATIONS = 16

# States of a member whose group is not open yet, or not any more.
_UNOPENED_STATES = (MembershipState.JOINING, MembershipState.BROKEN)

# Interval between two counts of the groups in data centres that other routers
# maintain.
REMOTE_COUNT_INTERVAL_SECONDS = 1.0

# Time without a new runner after which the set of runners at the first start
# counts as complete.
FLEET_SETTLED_SECONDS = 1.2


class _PendingFormation:
    """A formation in progress, from its choice until all members have joined.

    Attributes:
        formation: The chosen model and members.
        join: Order to its members to join; None until it was first issued.
        ready_at_seconds: Monotonic time at which its members should be ready.
    """

    __slots__ = ("formation", "join", "ready_at_seconds")

    def __init__(self, formation: Formation, ready_at_seconds: float) -> None:
        self.formation = formation
        self.join: JoinGroup | None = None
        self.ready_at_seconds = ready_at_seconds

    @property
    def key(self) -> tuple[str, int] | None:
        """Returns the name and epoch of its group; None without a join."""
        return None if self.join is None else self.join.key

    @property
    def expires_at_seconds(self) -> float:
        """Returns the monotonic time at which it counts as failed."""
        return self.ready_at_seconds + FORMATION_GRACE_SECONDS

    @property
    def member_ids(self) -> tuple[str, ...]:
        """Returns the runner ids of its members, the head first."""
        return tuple(member.runner_id for member in self.formation.members)


class GroupReconciler:
    """Reconciles the groups of one engine service with its demand.

    It forms and repairs the groups of all data centres or only of those that
    this router owns. Groups in the other data centres are called remote: other
    routers form and repair them, and they are only counted here.

    Attributes:
        loss_detector: Detects runners that don't answer although the store
            still lists them.
    """

    __slots__ = (
        "_transition_since_seconds",
        "_confirmed_runners",
        "_formed_groups",
        "_history",
        "_last_new_runner_seconds",
        "_load_limiter",
        "_loss_rate",
        "_load_window_seconds",
        "_opening_models",
        "_orders",
        "_remote_group_counts",
        "_remote_counted_at_seconds",
        "_pending",
        "_seen_incarnations",
        "loss_detector",
    )

    def __init__(
        self,
        *,
        load_window_seconds: float,
        history: OrderHistory | None = None,
    ) -> None:
        """Creates a reconciler without formations or orders in flight.

        Args:
            load_window_seconds: Window in seconds over which the rate of loads
                of weights is limited.
            history: Orders that this router has sent to the runners of the
                service; None if there are none.
        """
        self._load_window_seconds = load_window_seconds
        self._history = history or OrderHistory()
        self._orders = OrderTracker()
        self._pending: list[_PendingFormation] = []
        # Groups that were formed by orders of this reconciler.
        self._formed_groups: set[tuple[str, int]] = set()
        # Incarnations that have taken an order of this reconciler, so that
        # they refuse those of earlier owners.
        self._confirmed_runners: set[tuple[str, int | None]] = set()
        # Models with a complete, ready group that is not reported open yet.
        self._opening_models: set[str] = set()
        # When a group was first seen to be joining without all of its members,
        # or complete with a draining member, by name and epoch.
        self._transition_since_seconds: dict[tuple[str, int], float] = {}
        self._seen_incarnations: set[tuple[str, int | None]] = set()
        self._last_new_runner_seconds = 0.0
        self._load_limiter = LoadRateLimiter()
        self._loss_rate = LossRate()
        # Number of usable remote groups, by model, and when they were counted.
        self._remote_group_counts: dict[str, int] = {}
        self._remote_counted_at_seconds = -REMOTE_COUNT_INTERVAL_SECONDS
        self.loss_detector = LossDetector()

    @property
    def forming_count(self) -> int:
        """Returns the number of formations in progress."""
        return len(self._pending)

    def seconds_until_open(
        self, model: str, now_seconds: float
    ) -> float | None:
        """Returns the expected seconds until a group of a model opens.

        An open group accepts requests.

        None if no group of the model is being formed and no runner is loading
        its weights.
        """
        if model in self._opening_models:
            return 0.0
        ends = [
            pending.ready_at_seconds
            for pending in self._pending
            if pending.formation.spec.name == model
        ]
        ends += self._orders.expected_load_ends(model)
        return max(0.0, min(ends) - now_seconds) if ends else None

    def is_contradicted(
        self, directive: Directive, reported: GroupMembership | None
    ) -> bool:
        """Returns whether a runner that is to join a group serves in another.

        Its entry in the store may be an old one that was written late. The
        report may be older than the entry too, but then it shows the group of
        the entry, or the one that this router has ordered the runner to leave.

        Args:
            directive: An order to join a group.
            reported: Membership in the runner's own report; None if it is in no
                group.
        """
        join = directive.order
        assert isinstance(join, JoinGroup)
        if reported is None or reported.state in _UNOPENED_STATES:
            return False
        known = directive.runner.group
        return reported.key not in (
            join.key,
            None if known is None else known.key,
            self._history.last_left(directive.runner),
        )

    def record_contradiction(
        self, directive: Directive, now_seconds: float
    ) -> None:
        """Records that an order to join was not sent; see `is_contradicted`.

        Its formation is given up, so that the other members are free again.
        """
        join = directive.order
        assert isinstance(join, JoinGroup)
        self._history.record_join_refused(directive.runner, join)
        self._orders.record_contradiction(directive, now_seconds)
        self._pending = [
            pending for pending in self._pending if pending.key != join.key
        ]

    def record_refusal(self, directive: Directive, now_seconds: float) -> None:
        """Records that an order was refused or could not be sent."""
        if isinstance(directive.order, JoinGroup):
            self._history.record_join_refused(directive.runner, directive.order)
        elif isinstance(directive.order, OpenGroup):
            self._history.record_open_answered(directive.order)
        self._orders.record_refusal(directive, now_seconds)

    def record_acceptance(self, directive: Directive) -> None:
        """Records that a runner carries out an order or has done so."""
        self._confirmed_runners.add(directive.runner.incarnation)
        self._orders.record_acceptance(directive)
        if isinstance(directive.order, JoinGroup):
            self._history.record_join_taken(directive.runner, directive.order)
        elif isinstance(directive.order, OpenGroup):
            self._history.record_open_answered(directive.order)

    def record_unanswered(self, directive: Directive) -> None:
        """Records that an order got no answer; it is repeated if need be."""
        self._orders.record_unanswered(directive)

    def reconcile(
        self,
        view: RunnerSource,
        service: ServiceSpec,
        *,
        wanted_slots: dict[str, float],
        traffic_seen: bool,
        first_start: bool,
        next_epoch: Callable[[str], int],
        now_seconds: float,
        data_centres: frozenset[str] | None = None,
        is_view_settled: bool = True,
    ) -> list[Directive]:
        """Runs one reconciliation step and returns the orders to send now.

        Args:
            view: Last reports of the runners.
            service: The service, which must have engine traits.
            wanted_slots: Slots that the demand in all data centres keeps busy,
                by model.
            traffic_seen: Whether any request has arrived.
            first_start: Whether the whole system is starting for the first
                time.
            next_epoch: Returns, for a data centre, an epoch higher than any
                issued there before.
            now_seconds: Monotonic time.
            data_centres: Data centres whose groups are maintained here; None
                for all.
            is_view_settled: Whether live runners have written their entries
                since the view began. Until then an old entry may hide a member
                of a group, so that no group is ended for a missing one.
        """
        traits = service.engine
        assert traits is not None
        all_entries = view.runners_of(service.name)
        entries = all_entries
        if data_centres is not None:
            entries = [
                entry
                for entry in all_entries
                if entry.data_centre in data_centres
            ]
        runner_fraction = len(entries) / max(1, len(all_entries))
        self._record_runners(entries, now_seconds)
        for entry in entries:
            self._history.record_report(entry)
        self._orders.prune(entries, now_seconds)
        live_entries = [
            e for e in entries if e.incarnation not in self.loss_detector.lost
        ]
        snapshots = snapshot_groups(entries, traits)
        self._loss_rate.update(
            members=frozenset(
                member.incarnation
                for snapshot in snapshots.values()
                if snapshot.complete
                for member in snapshot.members.values()
            ),
            usable=frozenset(
                entry.incarnation
                for entry in live_entries
                if not entry.is_leaving
            ),
            now_seconds=now_seconds,
        )
        self._reconcile_groups(
            snapshots, now_seconds, is_view_settled=is_view_settled
        )
        busy = self._busy_runners(snapshots)
        free = [
            entry
            for entry in live_entries
            if entry.runner_id not in busy
            and view.accepts_new_work(entry)
            and not self._may_return_to_group(entry, snapshots)
        ]
        demands = self._model_demands(traits, snapshots, view, wanted_slots)
        if runner_fraction < 1:
            self._add_remote_groups(
                demands, view, all_entries, data_centres, traits, now_seconds
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
                    groups=demand.groups - self._remote_group_count(demand),
                )
                for demand in demands
            ]
            self._start_first_formations(
                free, snapshots, traits, local_demands, now_seconds
            )
        self._advance_formations(
            snapshots, live_entries, next_epoch, now_seconds
        )
        # At the first start spares load weights only after all groups are
        # formed, since traffic waits for the groups.
        if not before_traffic or (fleet_settled and not self._pending):
            self._stage_weights(
                free,
                live_entries,
                traits,
                demands,
                before_traffic=before_traffic,
                runner_fraction=runner_fraction,
                now_seconds=now_seconds,
            )
        return self._orders.pop_issued()

    def _record_runners(
        self, entries: list[RunnerEntry], now_seconds: float
    ) -> None:
        """Records when a new runner last appeared, and forgets removed ones."""
        incarnations = {entry.incarnation for entry in entries}
        if incarnations - self._seen_incarnations:
            self._last_new_runner_seconds = now_seconds
        self._seen_incarnations = incarnations
        self._confirmed_runners &= incarnations
        self.loss_detector.keep_only(incarnations)

    def _reconcile_groups(
        self,
        snapshots: dict[tuple[str, int], GroupSnapshot],
        now_seconds: float,
        *,
        is_view_settled: bool,
    ) -> None:
        """Issues orders that open ready groups and end groups that can't serve.

        A group with a lost or missing member is disbanded, unless it is still
        forming. An open group with a draining member is closed first, so that
        it finishes its requests.
        """
        forming = {pending.key for pending in self._pending}
        self._opening_models = {
            snapshot.spec.name
            for snapshot in snapshots.values()
            if snapshot.spec is not None and snapshot.all_ready
        }
        for snapshot in snapshots.values():
            if snapshot.head_state is MembershipState.BROKEN:
                continue
            if self._is_given_up(snapshot):
                self._disband(snapshot, "the group is given up", now_seconds)
                continue
            if not snapshot.complete or self._has_lost_member(snapshot):
                if (
                    is_view_settled or self._has_lost_member(snapshot)
                ) and not self._may_still_complete(
                    snapshot, forming, now_seconds
                ):
                    self._disband(snapshot, "a member is lost", now_seconds)
                continue
            if snapshot.has_leaving_member:
                if snapshot.head_state is MembershipState.OPEN:
                    self._close_draining_group(snapshot, now_seconds)
                else:
                    self._disband(snapshot, "a member is leaving", now_seconds)
                continue
            if snapshot.all_ready and self._confirm_members(
                snapshot, now_seconds
            ):
                head = snapshot.head
                assert head is not None
                opening = OpenGroup(snapshot.name, epoch=snapshot.epoch)
                if self._orders.issue(
                    head,
                    opening,
                    reason="all members are ready",
                    now_seconds=now_seconds,
                ):
                    self._history.record_open_sent(opening)
        for key in list(self._transition_since_seconds):
            if key not in snapshots:
                del self._transition_since_seconds[key]

    def _is_given_up(self, snapshot: GroupSnapshot) -> bool:
        """Returns whether a group must not be opened, or must end.

        A member was ordered to leave it or to join a later group, and may still
        do so.
        """
        if self._history.was_left(snapshot.key):
            return True
        return any(
            self._history.latest_join_epoch(member) > snapshot.epoch
            for member in snapshot.members.values()
        )

    def _confirm_members(
        self, snapshot: GroupSnapshot, now_seconds: float
    ) -> bool:
        """Returns whether no order of an earlier owner can take a member away.

        The members of a group that an earlier owner has formed are ordered to
        join it once more, which changes nothing but the fencing token.
        """
        if snapshot.key in self._formed_groups:
            return True
        members = [member for _, member in sorted(snapshot.members.items())]
        unconfirmed = [
            member
            for member in members
            if member.incarnation not in self._confirmed_runners
        ]
        assert snapshot.spec is not None
        join = JoinGroup(
            snapshot.name,
            epoch=snapshot.epoch,
            model=snapshot.spec.name,
            member_ids=tuple(member.runner_id for member in members),
        )
        for member in unconfirmed:
            self._order_to_join(
                member, join, "an earlier owner formed the group", now_seconds
            )
        return not unconfirmed

    def _may_return_to_group(
        self,
        runner: RunnerEntry,
        snapshots: dict[tuple[str, int], GroupSnapshot],
    ) -> bool:
        """Returns whether a late order may take a runner back to its old group.

        That is, while other members are still there, so that its head may
        serve.
        """
        for key in self._history.unanswered_joins(runner):
            snapshot = snapshots.get(key)
            if snapshot is not None and not snapshot.releases_members:
                return True
        return False

    def _may_still_complete(
        self,
        snapshot: GroupSnapshot,
        forming: set[tuple[str, int] | None],
        now_seconds: float,
    ) -> bool:
        """Returns whether the missing members of a group may still join it."""
        if self._has_lost_member(snapshot):
            return False
        if snapshot.key in forming:
            return True
        if snapshot.key in self._formed_groups:
            return False
        joining = all(
            member.group is not None
            and member.group.state is MembershipState.JOINING
            for member in snapshot.members.values()
        )
        if not joining:
            return False
        # A previous owner started the group. If it is not complete within the
        # grace time, it never will be.
        since = self._transition_since_seconds.setdefault(
            snapshot.key, now_seconds
        )
        return now_seconds - since <= TAKEOVER_GRACE_SECONDS

    def _disband(
        self, snapshot: GroupSnapshot, reason: str, now_seconds: float
    ) -> None:
        """Orders every member that is not lost to leave, the head first.

        A member must leave before it joins another group, since the old head
        may still serve although its entry in the store has expired. A head that
        may still open the group leaves before the other members do.
        """
        leave = LeaveGroup(snapshot.name, epoch=snapshot.epoch)
        for rank, member in sorted(snapshot.members.items()):
            if member.incarnation in self.loss_detector.lost:
                continue
            if rank > 0 and self._awaits_end_of_head(snapshot):
                return
            if self._orders.issue(
                member, leave, reason=reason, now_seconds=now_seconds
            ):
                self._history.record_leave_sent(member, leave)

    def _awaits_end_of_head(self, snapshot: GroupSnapshot) -> bool:
        """Returns whether the head is live and may still open its group."""
        head = snapshot.head
        return (
            head is not None
            and head.incarnation not in self.loss_detector.lost
            and self._history.may_be_opened(snapshot.key)
        )

    def _has_lost_member(self, snapshot: GroupSnapshot) -> bool:
        """Returns whether some member left its probes unanswered."""
        return any(
            member.incarnation in self.loss_detector.lost
            for member in snapshot.members.values()
        )

    def _close_draining_group(
        self, snapshot: GroupSnapshot, now_seconds: float
    ) -> None:
        """Closes an open group with a draining member, after a short delay.

        The delay leaves time for a successor to become ready.
        """
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
        """Returns the ids of the runners that may not join a new group.

        These are the members of groups that are not broken, those of formations
        in progress, and the runners with an order in flight.
        """
        busy: set[str] = set()
        for snapshot in snapshots.values():
            if snapshot.releases_members:
                continue
            for member in snapshot.members.values():
                busy.add(member.runner_id)
        for pending in self._pending:
            busy.update(pending.member_ids)
        return busy | self._orders.busy_runner_ids()

    def _model_demands(
        self,
        traits: EngineTraits,
        snapshots: dict[tuple[str, int], GroupSnapshot],
        view: RunnerSource,
        wanted_slots: dict[str, float],
    ) -> list[ModelDemand]:
        """Returns, for each model, its demand and how many groups it has.

        Counts complete groups that can serve and formations in progress, in the
        data centres whose groups are maintained here.
        """
        groups: dict[str, int] = {}
        for snapshot in snapshots.values():
            if snapshot.spec is None or not snapshot.complete:
                continue
            if self._has_lost_member(snapshot):
                continue
            if snapshot.head_state is MembershipState.BROKEN:
                continue
            if not snapshot.accepts_new_work(view):
                continue
            groups[snapshot.spec.name] = groups.get(snapshot.spec.name, 0) + 1
        for pending in self._pending:
            name = pending.formation.spec.name
            formed = snapshots.get(pending.key) if pending.key else None
            if formed is not None and formed.complete:
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
        view: RunnerSource,
        all_entries: list[RunnerEntry],
        data_centres: frozenset[str] | None,
        traits: EngineTraits,
        now_seconds: float,
    ) -> None:
        """Adds the usable remote groups to the `groups` of each demand.

        Remote groups are those in data centres outside `data_centres`. Their
        count is refreshed every `REMOTE_COUNT_INTERVAL_SECONDS`. Groups in an
        evacuated data centre may still be open, but get no requests.
        """
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
            for snapshot in snapshot_groups(remote_entries, traits).values():
                if snapshot.spec is None or not snapshot.complete:
                    continue
                if snapshot.head_state is MembershipState.BROKEN:
                    continue
                if not snapshot.accepts_new_work(view):
                    continue
                name = snapshot.spec.name
                counts[name] = counts.get(name, 0) + 1
            self._remote_group_counts = counts
        for demand in demands:
            demand.groups += self._remote_group_count(demand)

    def _remote_group_count(self, demand: ModelDemand) -> int:
        """Returns the last count of the usable remote groups of a model."""
        return self._remote_group_counts.get(demand.spec.name, 0)

    def _start_first_formations(
        self,
        free: list[RunnerEntry],
        snapshots: dict[tuple[str, int], GroupSnapshot],
        traits: EngineTraits,
        demands: list[ModelDemand],
        now_seconds: float,
    ) -> None:
        """Starts to form each model's share of groups, before any traffic."""
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
        """Starts to form groups of runners that already hold the weights."""
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
        """Records a formation in progress; removes its members from `free`.

        `_advance_formations` then orders them to join.
        """
        self._pending.append(
            _PendingFormation(
                formation,
                now_seconds + formation.spec.warm_join_seconds + load_seconds,
            )
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
        """Advances each formation in progress by one step.

        Orders its members to join, or drops the formation once its group has
        formed, it expired, or a member is lost or draining.
        """
        by_incarnation = {entry.incarnation: entry for entry in live_entries}
        still_pending: list[_PendingFormation] = []
        for pending in self._pending:
            members = [
                by_incarnation.get(member.incarnation)
                for member in pending.formation.members
            ]
            present = [
                entry
                for entry in members
                if entry is not None and not entry.is_leaving
            ]
            if len(present) < len(members) or now_seconds >= (
                pending.expires_at_seconds
            ):
                continue
            pending.formation.members = present
            if pending.join is None:
                epoch = next_epoch(pending.formation.members[0].data_centre)
                pending.join = JoinGroup(
                    f"g{epoch}",
                    epoch=epoch,
                    model=pending.formation.spec.name,
                    member_ids=pending.member_ids,
                )
                self._formed_groups.add(pending.join.key)
                for member in present:
                    self._orders.forget(member)
            elif _has_joined(snapshots.get(pending.join.key)):
                # `_reconcile_groups` handles the group like any other.
                continue
            still_pending.append(pending)
            for member in present:
                if _is_released(member, snapshots):
                    self._order_to_join(
                        member,
                        pending.join,
                        "the group is to be formed",
                        now_seconds,
                    )
        self._pending = still_pending
        self._formed_groups &= {
            *snapshots,
            *(pending.join.key for pending in still_pending if pending.join),
        }

    def _order_to_join(
        self,
        member: RunnerEntry,
        join: JoinGroup,
        reason: str,
        now_seconds: float,
    ) -> None:
        """Orders a runner to join a group, unless it has an order in flight."""
        if self._orders.issue(
            member, join, reason=reason, now_seconds=now_seconds
        ):
            self._history.record_join_sent(member, join)

    def _stage_weights(
        self,
        free: list[RunnerEntry],
        live_entries: list[RunnerEntry],
        traits: EngineTraits,
        demands: list[ModelDemand],
        *,
        before_traffic: bool,
        runner_fraction: float,
        now_seconds: float,
    ) -> None:
        """Orders free runners to load weights, as the weight store permits.

        The number of concurrent loads is always limited. The rate of loads is
        limited too, except at the first start before any request. If only
        some data centres are maintained here, both limits are scaled by their
        fraction of the runners.
        """
        loading = self._orders.loading_models()
        remaining_loads = max(
            1, int(traits.max_parallel_loads * runner_fraction)
        ) - len(loading)
        allowance = self._load_limiter.allowance(
            per_second=traits.loads_per_second * runner_fraction,
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
            loss_rate=self._loss_rate,
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
    """Returns whether a group is complete and its head has joined."""
    if snapshot is None or not snapshot.complete:
        return False
    return snapshot.head_state is not MembershipState.JOINING


def _is_released(
    runner: RunnerEntry, snapshots: dict[tuple[str, int], GroupSnapshot]
) -> bool:
    """Returns whether a runner reports no group, or one that is broken."""
    if runner.group is None:
        return True
    snapshot = snapshots.get(runner.group.key)
    return snapshot is None or snapshot.releases_members
