"""Remembers which orders runners may still carry out.

A runner may carry out an order without an answer seconds later, after newer
orders, and no time limit rules that out. A runner that is a member of a group
and still takes an older order to join another one would leave the first group
while its head serves. So a group may be opened only if none of its members was
ever sent a join with a later epoch, and none was ordered to leave the group.
The other members of a group whose head may still open it leave after the head.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.replicas.orders import JoinGroup, LeaveGroup, OpenGroup

# Runner incarnations and groups that are remembered; the oldest are forgotten.
MAX_RUNNERS = 4_096
MAX_GROUPS = 4_096

# Name and epoch of a group.
GroupKey = tuple[str, int]

# A runner's id and its start time in milliseconds; see `RunnerEntry`.
Incarnation = tuple[str, int | None]


class _SentJoins:
    """Orders to join that were sent to one incarnation of a runner.

    Attributes:
        unanswered: Number of copies without an answer, by group.
        taken_epoch: Highest epoch that the runner has certainly seen, so that
            it refuses lower ones; 0 if none.
    """

    __slots__ = ("taken_epoch", "unanswered")

    def __init__(self) -> None:
        self.unanswered: dict[GroupKey, int] = {}
        self.taken_epoch = 0

    def record_taken(self, epoch: int) -> None:
        """Records that the runner has seen an epoch."""
        self.taken_epoch = max(self.taken_epoch, epoch)
        for key in list(self.unanswered):
            if key[1] < self.taken_epoch:
                del self.unanswered[key]

    def latest_epoch(self) -> int:
        """Returns the highest epoch that the runner has taken or may take."""
        epochs = [epoch for _, epoch in self.unanswered]
        return max([self.taken_epoch, *epochs])


class OrderHistory:
    """Orders that this router has sent and runners may still carry out.

    It outlives the reconcilers of a service: what this router has sent before
    it lost a lease and acquired it again may still be carried out.
    """

    __slots__ = ("_joins", "_last_left", "_left_groups", "_unanswered_opens")

    def __init__(self) -> None:
        self._joins: dict[Incarnation, _SentJoins] = {}
        # Group that a runner was last ordered to leave.
        self._last_left: dict[Incarnation, GroupKey] = {}
        # Groups that some member was ordered to leave.
        self._left_groups: dict[GroupKey, None] = {}
        # Number of orders to open a group without an answer, by group.
        self._unanswered_opens: dict[GroupKey, int] = {}

    def record_join_sent(self, runner: RunnerEntry, join: JoinGroup) -> None:
        """Records that an order to join is about to be sent."""
        joins = self._joins.pop(runner.incarnation, None) or _SentJoins()
        self._joins[runner.incarnation] = joins
        joins.unanswered[join.key] = joins.unanswered.get(join.key, 0) + 1
        while len(self._joins) > MAX_RUNNERS:
            del self._joins[next(iter(self._joins))]

    def record_join_taken(self, runner: RunnerEntry, join: JoinGroup) -> None:
        """Records that a runner answered that it joins or has joined."""
        joins = self._joins.get(runner.incarnation)
        if joins is None:
            return
        _remove_one(joins.unanswered, join.key)
        joins.record_taken(join.epoch)

    def record_join_refused(self, runner: RunnerEntry, join: JoinGroup) -> None:
        """Records that a join was not sent, or that the runner refused it."""
        joins = self._joins.get(runner.incarnation)
        if joins is not None:
            _remove_one(joins.unanswered, join.key)

    def record_leave_sent(self, runner: RunnerEntry, leave: LeaveGroup) -> None:
        """Records that a member is about to be ordered to leave its group."""
        self._last_left.pop(runner.incarnation, None)
        self._last_left[runner.incarnation] = leave.key
        while len(self._last_left) > MAX_RUNNERS:
            del self._last_left[next(iter(self._last_left))]
        self._left_groups[leave.key] = None
        while len(self._left_groups) > MAX_GROUPS:
            del self._left_groups[next(iter(self._left_groups))]

    def record_open_sent(self, order: OpenGroup) -> None:
        """Records that a head is about to be ordered to open its group."""
        count = self._unanswered_opens.pop(order.key, 0)
        self._unanswered_opens[order.key] = count + 1
        while len(self._unanswered_opens) > MAX_GROUPS:
            del self._unanswered_opens[next(iter(self._unanswered_opens))]

    def record_open_answered(self, order: OpenGroup) -> None:
        """Records that a head answered an order, or that it was not sent."""
        _remove_one(self._unanswered_opens, order.key)

    def record_report(self, runner: RunnerEntry) -> None:
        """Records the membership that a runner reports."""
        joins = self._joins.get(runner.incarnation)
        if joins is not None and runner.group is not None:
            joins.record_taken(runner.group.epoch)

    def latest_join_epoch(self, runner: RunnerEntry) -> int:
        """Returns the highest epoch of the joins that a runner may take.

        Those that it has taken are included, and those that it refused are not;
        0 if there are none.
        """
        joins = self._joins.get(runner.incarnation)
        return 0 if joins is None else joins.latest_epoch()

    def unanswered_joins(self, runner: RunnerEntry) -> set[GroupKey]:
        """Returns the groups that a runner may still join by a late order."""
        joins = self._joins.get(runner.incarnation)
        return set() if joins is None else set(joins.unanswered)

    def may_be_opened(self, group: GroupKey) -> bool:
        """Returns whether an unanswered order may still open a group."""
        return group in self._unanswered_opens

    def last_left(self, runner: RunnerEntry) -> GroupKey | None:
        """Returns the group that a runner was last ordered to leave, if any."""
        return self._last_left.get(runner.incarnation)

    def was_left(self, group: GroupKey) -> bool:
        """Returns whether some member was ordered to leave a group."""
        return group in self._left_groups


def _remove_one(counts: dict[GroupKey, int], key: GroupKey) -> None:
    """Lowers a count by one; removes it at zero."""
    count = counts.get(key, 0)
    if count > 1:
        counts[key] = count - 1
    else:
        counts.pop(key, None)
