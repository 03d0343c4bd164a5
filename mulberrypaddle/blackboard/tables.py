"""The values that stand on the blackboard."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.contract import Contract
    from mulberrypaddle.core.fleet import (
        DataCentreState,
        Runner,
        RunnerReport,
        Service,
        Vm,
    )


class Configuration:
    """The configuration in force.

    Attributes:
        contracts: By organisation.
        services: By name.
        data_centres: State by name.
        versions: Object version by object key; none ever falls.
    """

    __slots__ = ("contracts", "data_centres", "services", "versions")

    def __init__(
        self,
        *,
        contracts: dict[str, Contract],
        services: dict[str, Service],
        data_centres: dict[str, DataCentreState],
        versions: dict[str, int],
    ) -> None:
        self.contracts = contracts
        self.services = services
        self.data_centres = data_centres
        self.versions = versions


class Member:
    """One router in the membership.

    Attributes:
        member_id: Name, unique while its VM lives.
        incarnation: Rises with every start of the process.
        address: `host:port` for peers, by IP number.
        data_centre: Where it stands.
    """

    __slots__ = ("address", "data_centre", "incarnation", "member_id")

    def __init__(
        self,
        member_id: str,
        *,
        incarnation: int,
        address: str,
        data_centre: str,
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.address = address
        self.data_centre = data_centre


class PastMembers:
    """An earlier membership whose owners may still act.

    Attributes:
        member_ids: Who was a member.
        settled_at_seconds: Monotonic time from which none of them can act
            on the strength of that membership any more.
    """

    __slots__ = ("member_ids", "settled_at_seconds")

    def __init__(
        self, member_ids: frozenset[str], settled_at_seconds: float
    ) -> None:
        self.member_ids = member_ids
        self.settled_at_seconds = settled_at_seconds


class Membership:
    """The routers that share the duties.

    Attributes:
        epoch: Rises with every change; used as fencing number.
        members: By id, this router included while it is a member.
        member_ids: The ids alone.
        lease_until_seconds: Monotonic time until which this router may act
            as the owner of its duties; counted from when the renewal was
            sent.
        unsettled: Earlier memberships whose owners may still act.
        departed: Members that stopped acting lately and may still finish
            work; they can be sent to but own nothing.
    """

    __slots__ = (
        "departed",
        "epoch",
        "lease_until_seconds",
        "member_ids",
        "members",
        "unsettled",
    )

    def __init__(
        self,
        *,
        epoch: int,
        members: dict[str, Member],
        lease_until_seconds: float,
        unsettled: tuple[PastMembers, ...] = (),
        departed: dict[str, Member] | None = None,
    ) -> None:
        self.departed = departed or {}
        self.member_ids = frozenset(members)
        self.epoch = epoch
        self.members = members
        self.lease_until_seconds = lease_until_seconds
        self.unsettled = unsettled


class RunnerTable:
    """Runners that may be routed to and their latest reports.

    Attributes:
        runners: By runner id.
        reports: Latest report by runner id.
    """

    __slots__ = ("reports", "runners")

    def __init__(
        self, *, runners: dict[str, Runner], reports: dict[str, RunnerReport]
    ) -> None:
        self.runners = runners
        self.reports = reports


class VmTable:
    """The platform's lagging list of VMs.

    Attributes:
        vms: By VM id.
    """

    __slots__ = ("vms",)

    def __init__(self, vms: dict[str, Vm]) -> None:
        self.vms = vms


class Health:
    """Whether this router may take new work.

    Attributes:
        store_reachable: Whether the object API answered lately.
        peers_reachable: How many listed peers answered lately.
        stopping: Whether a graceful stop has begun.
        isolated: Whether neither store nor any peer answers.
    """

    __slots__ = ("isolated", "peers_reachable", "stopping", "store_reachable")

    def __init__(
        self,
        *,
        store_reachable: bool,
        peers_reachable: int,
        stopping: bool,
        isolated: bool,
    ) -> None:
        self.store_reachable = store_reachable
        self.peers_reachable = peers_reachable
        self.stopping = stopping
        self.isolated = isolated
