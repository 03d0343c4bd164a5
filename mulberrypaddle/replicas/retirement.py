"""Tells which runners the platform takes away next, and frees them before.

The platform lowers the number of runners of a service in a data centre by
taking away those with the highest addresses, whether they are in groups or not.
A group that loses a member must be formed anew. Groups are therefore formed of
runners with low addresses, and before a lowering the groups with members among
the runners to be taken are replaced and closed.
"""

from __future__ import annotations

import copy
import functools
import ipaddress
from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.group_snapshot import snapshot_groups
from mulberrypaddle.replicas.placement import SPARES_PER_DOMAIN
from mulberrypaddle.replicas.staging import HIGH_UTILISATION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.fleet.config import EngineTraits
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.replicas.group_snapshot import (
        GroupSnapshot,
        RunnerSource,
    )


# Addresses whose sort keys are kept: those of a large fleet.
MAX_ADDRESSES = 8_192


@functools.lru_cache(maxsize=MAX_ADDRESSES)
def address_key(address: str) -> tuple[int, int, str, int]:
    """Returns a sort key of an address; IP addresses compare as numbers.

    Host names, which have no number, come after all IP addresses.

    Args:
        address: Address as host:port.
    """
    host, _, port_text = address.rpartition(":")
    port = int(port_text) if port_text.isdecimal() else 0
    try:
        number = int(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        return (1, 0, host, port)
    return (0, number, "", port)


def by_retention(runners: Iterable[RunnerEntry]) -> list[RunnerEntry]:
    """Returns the runners of one data centre, those taken away last first."""
    return sorted(
        runners,
        key=lambda runner: (address_key(runner.address), runner.runner_id),
    )


def lowest_safe_count(
    present: list[RunnerEntry], *, busy: set[str], unlisted: int
) -> int:
    """Returns the lowest number of runners that takes none that is in use.

    Runners that the platform counts and that aren't listed, as they start or
    are silent for a moment, may have low addresses. As many more of the listed
    ones are taken then.

    Args:
        present: Runners of one data centre as `by_retention` sorts them.
        busy: Ids of runners that must not be taken.
        unlisted: Number of runners that the platform may count beside them.
    """
    needed = 0
    for number, runner in enumerate(present, start=1):
        if runner.runner_id in busy:
            needed = number
    return needed + unlisted


# Missing runners of a data centre up to which a lowering may go on. A few are
# replaced all the time. More, such as a fabric domain that is silent, leave
# too little of what the groups need.
MOST_MISSING = 2 * SPARES_PER_DOMAIN

# States of a group's head in which its members stay until it may be closed.
_STAYING_STATES = (
    MembershipState.JOINING,
    MembershipState.READY,
    MembershipState.OPEN,
)


class Retirement:
    """Runners of one service that are about to be taken away.

    Attributes:
        keep: Number of the ordered runners that stay, by data centre; none is
            taken from a data centre that is not in it.
        ordered: Number of runners that are ordered, by data centre.
        doubtful: Number to which an earlier order may still be carried out, by
            data centre.
        traits: Traits of the service.
        least_groups: Open groups of each model below which no group is closed,
            by data centre.
    """

    __slots__ = (
        "_closing_since_seconds",
        "_ending",
        "_finish_seconds",
        "doubtful",
        "keep",
        "least_groups",
        "ordered",
        "traits",
    )

    def __init__(self, traits: EngineTraits, *, finish_seconds: float) -> None:
        """Creates a state in which all runners stay.

        Args:
            traits: Traits of the service.
            finish_seconds: Time for a closed group to finish its requests.
        """
        self.traits = traits
        self._finish_seconds = finish_seconds
        self.keep: dict[str, int] = {}
        self.ordered: dict[str, int] = {}
        self.doubtful: dict[str, int] = {}
        self.least_groups: dict[str, dict[str, int]] = {}
        # Groups that are to be closed, by name and epoch, and when those that
        # finish their requests were first seen to do so.
        self._ending: set[tuple[str, int]] = set()
        self._closing_since_seconds: dict[tuple[str, int], float] = {}

    def slots_to_form(self, wanted_slots: dict[str, float]) -> dict[str, float]:
        """Returns the demand that groups are formed and weights loaded for.

        The number of runners is ordered for some groups of each model. While
        one of them is missing, the model counts as highly utilised, so that
        free runners load its weights where that completes a group.

        Args:
            wanted_slots: Slots that the demand keeps busy, by model.
        """
        groups: dict[str, int] = {}
        for quota in self.least_groups.values():
            for model, count in quota.items():
                groups[model] = groups.get(model, 0) + count
        return {
            model: max(
                slots,
                HIGH_UTILISATION
                * self.traits.slots
                * (groups.get(model, 0) - 0.5),
            )
            for model, slots in wanted_slots.items()
        }

    def view_of(
        self, view: RunnerSource, service: str, *, now_seconds: float
    ) -> RetirementView:
        """Returns the runners of a service as the group control sees them.

        Runners that are about to be taken accept no new work, so that groups
        with such members are replaced elsewhere. They are leaving if they are
        in no group, or if their group may be closed now.

        Args:
            view: All runners.
            service: Name of the service.
            now_seconds: Monotonic time.
        """
        entries = view.runners_of(service)
        by_data_centre: dict[str, list[RunnerEntry]] = {}
        for entry in entries:
            by_data_centre.setdefault(entry.data_centre, []).append(entry)
        retiring: set[str] = set()
        for data_centre, runners in by_data_centre.items():
            staying = 0
            keep = self._kept(data_centre, runners)
            for rank, entry in enumerate(by_retention(runners)):
                entry.retention_rank = rank
                if entry.is_leaving:
                    continue
                staying += 1
                if keep is not None and staying > keep:
                    retiring.add(entry.runner_id)
        if not retiring:
            self._closing_since_seconds.clear()
            self._ending.clear()
            return RetirementView(view, service, entries, retiring)
        leaving = self._leaving_ids(entries, view, retiring, now_seconds)
        return RetirementView(
            view,
            service,
            [
                _as_leaving(entry) if entry.runner_id in leaving else entry
                for entry in entries
            ],
            retiring,
        )

    def _kept(self, data_centre: str, runners: list[RunnerEntry]) -> int | None:
        """Returns how many listed runners stay; None if none is to be taken.

        Runners that are missing may have low addresses and come back: as many
        fewer of the listed ones stay, whose order is then always the same.
        """
        doubtful = self.doubtful.get(data_centre)
        keep = self.keep.get(data_centre)
        if keep is None:
            return doubtful
        present = sum(not runner.is_leaving for runner in runners)
        missing = max(0, self.ordered.get(data_centre, 0) - present)
        if missing > MOST_MISSING:
            return doubtful
        kept = keep - missing
        return kept if doubtful is None else min(kept, doubtful)

    def _leaving_ids(
        self,
        entries: list[RunnerEntry],
        view: RunnerSource,
        retiring: set[str],
        now_seconds: float,
    ) -> set[str]:
        """Returns the ids of the retiring runners that leave now.

        A group is closed only if enough others of its model are open in its
        data centre, the group with the highest address first. Groups that are
        being formed are not disturbed; they are closed once they are open.
        """
        snapshots = snapshot_groups(entries, self.traits)
        self._ending &= snapshots.keys()
        open_groups: dict[tuple[str, str], int] = {}
        concerned: list[GroupSnapshot] = []
        for snapshot in snapshots.values():
            if _is_open(snapshot, view) and snapshot.key not in self._ending:
                place = _place_of(snapshot)
                open_groups[place] = open_groups.get(place, 0) + 1
            if any(
                member.runner_id in retiring
                for member in snapshot.members.values()
            ):
                concerned.append(snapshot)
        concerned.sort(key=_highest_rank, reverse=True)
        self._ending &= {snapshot.key for snapshot in concerned}
        leaving = set(retiring)
        closing: dict[tuple[str, int], float] = {}
        for snapshot in concerned:
            if snapshot.key not in self._ending and _is_open(snapshot, view):
                place = _place_of(snapshot)
                least = self.least_groups.get(place[0], {}).get(place[1], 0)
                if open_groups[place] > least:
                    open_groups[place] -= 1
                    self._ending.add(snapshot.key)
            stays = False
            if snapshot.key not in self._ending:
                stays = snapshot.head_state in _STAYING_STATES
            elif snapshot.head_state is MembershipState.CLOSING:
                since_seconds = self._closing_since_seconds.get(
                    snapshot.key, now_seconds
                )
                closing[snapshot.key] = since_seconds
                stays = now_seconds - since_seconds < self._finish_seconds
            if stays:
                leaving -= {
                    member.runner_id for member in snapshot.members.values()
                }
        self._closing_since_seconds = closing
        return leaving


class RetirementView:
    """The runners of one service, of which some are about to be taken away."""

    __slots__ = ("_entries", "_retiring", "_service", "_view")

    def __init__(
        self,
        view: RunnerSource,
        service: str,
        entries: list[RunnerEntry],
        retiring: set[str],
    ) -> None:
        self._view = view
        self._service = service
        self._entries = entries
        self._retiring = retiring

    def runners_of(self, service: str) -> list[RunnerEntry]:
        """Returns the runners of a service; callers must not change it."""
        if service == self._service:
            return self._entries
        return self._view.runners_of(service)

    def accepts_new_work(self, entry: RunnerEntry) -> bool:
        """Returns whether a runner may get new work and stays."""
        return (
            entry.runner_id not in self._retiring
            and self._view.accepts_new_work(entry)
        )


def _is_open(snapshot: GroupSnapshot, view: RunnerSource) -> bool:
    """Returns whether a group serves requests."""
    return (
        snapshot.complete
        and snapshot.head_state is MembershipState.OPEN
        and snapshot.accepts_new_work(view)
    )


def _place_of(snapshot: GroupSnapshot) -> tuple[str, str]:
    """Returns the data centre and the model of a complete group."""
    assert snapshot.head is not None and snapshot.spec is not None
    return (snapshot.head.data_centre, snapshot.spec.name)


def _highest_rank(snapshot: GroupSnapshot) -> int:
    """Returns the retention rank of the member that is taken first."""
    return max(
        (member.retention_rank for member in snapshot.members.values()),
        default=0,
    )


def _as_leaving(entry: RunnerEntry) -> RunnerEntry:
    """Returns a copy of an entry that is about to leave."""
    leaving = copy.copy(entry)
    leaving.announced_leaving = True
    return leaving
