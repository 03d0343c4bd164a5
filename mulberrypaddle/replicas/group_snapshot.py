"""Derives the existing groups from the entries that runners report.

Each runner writes its membership in a group into its entry in the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from mulberrypaddle.fleet.runners import MembershipState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry


class RunnerSource(Protocol):
    """The runners that groups are formed of."""

    def runners_of(self, service: str) -> list[RunnerEntry]:
        """Returns the runners of a service; callers must not change it."""

    def accepts_new_work(self, entry: RunnerEntry) -> bool:
        """Returns whether a runner may get new work."""


class GroupSnapshot:
    """State of one group according to its members' reports.

    Attributes:
        name: Name of the group.
        epoch: Epoch that the group was formed with.
        members: Members that report the group, by rank.
        spec: Model that it serves; None while no member reports one.
    """

    __slots__ = ("epoch", "members", "name", "spec")

    def __init__(self, name: str, *, epoch: int) -> None:
        self.name = name
        self.epoch = epoch
        self.members: dict[int, RunnerEntry] = {}
        self.spec: ModelSpec | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Returns the name and epoch, which identify the group."""
        return (self.name, self.epoch)

    @property
    def head(self) -> RunnerEntry | None:
        """Returns the member of rank 0, or None if no runner reports it."""
        return self.members.get(0)

    @property
    def head_state(self) -> MembershipState | None:
        """Returns the state that the head reports, or None without a head."""
        head = self.head
        if head is None or head.group is None:
            return None
        return head.group.state

    @property
    def complete(self) -> bool:
        """Returns whether the group has a member of every rank of its model."""
        if self.spec is None:
            return False
        return set(self.members) == set(range(self.spec.size))

    @property
    def all_ready(self) -> bool:
        """Returns whether the group is complete and all members are ready."""
        if not self.complete:
            return False
        for member in self.members.values():
            assert member.group is not None
            if member.group.state is not MembershipState.READY:
                return False
        return True

    @property
    def has_leaving_member(self) -> bool:
        """Returns whether some member is about to leave."""
        return any(member.is_leaving for member in self.members.values())

    @property
    def releases_members(self) -> bool:
        """Returns whether members may join another group at once.

        They may join another group without an order to leave only once the
        head reports that this one is broken. A head that does not report may
        still be serving.
        """
        return self.head_state is MembershipState.BROKEN

    def accepts_new_work(self, view: RunnerSource) -> bool:
        """Returns whether no member leaves or is in an evacuated data centre.

        Args:
            view: The fleet that the members are part of.
        """
        return all(
            view.accepts_new_work(member) for member in self.members.values()
        )


def snapshot_groups(
    entries: Iterable[RunnerEntry], traits: EngineTraits
) -> dict[tuple[str, int], GroupSnapshot]:
    """Returns all groups that some runner reports, by name and epoch.

    Args:
        entries: Runners of one service.
        traits: Traits of that service.
    """
    snapshots: dict[tuple[str, int], GroupSnapshot] = {}
    for entry in entries:
        if entry.group is None:
            continue
        key = entry.group.key
        snapshot = snapshots.get(key)
        if snapshot is None:
            snapshot = GroupSnapshot(key[0], epoch=key[1])
            snapshots[key] = snapshot
        snapshot.members[entry.group.rank] = entry
        if entry.models:
            snapshot.spec = traits.models.get(entry.models[0], snapshot.spec)
    return snapshots
