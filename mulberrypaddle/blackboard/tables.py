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
    from mulberrypaddle.core.groups import StoredDomain


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


class GroupTable:
    """Groups of the region as this router knows them.

    Attributes:
        domains: Latest stored state by fabric domain.
        lost: Generations seen broken but not yet written so, by fabric
            domain, with the monotonic time until which that is believed.
    """

    __slots__ = ("domains", "lost")

    def __init__(
        self,
        domains: dict[str, StoredDomain],
        lost: dict[str, dict[int, float]],
    ) -> None:
        self.domains = domains
        self.lost = lost


class GroupStatus:
    """Why one group does not serve, and what is being done.

    Attributes:
        group_id: Which group.
        service: Its service.
        fabric_domain: Where it stands.
        state: State by name.
        reason: Why it left service.
        doing: What happens next.
        down_seconds: How long it has not served.
    """

    __slots__ = (
        "doing",
        "down_seconds",
        "fabric_domain",
        "group_id",
        "reason",
        "service",
        "state",
    )

    def __init__(
        self,
        group_id: str,
        *,
        service: str,
        fabric_domain: str,
        state: str,
        reason: str,
        doing: str,
        down_seconds: float,
    ) -> None:
        self.group_id = group_id
        self.service = service
        self.fabric_domain = fabric_domain
        self.state = state
        self.reason = reason
        self.doing = doing
        self.down_seconds = down_seconds


class ServiceStatus:
    """Replicas of one engine service in data centres that are in.

    Attributes:
        service: Which service.
        wanted: Replicas that configuration asks for.
        serving: Groups that serve.
        downtime_seconds: Group seconds missed since this router started.
        stranded_accelerators: Idle accelerators that missing groups could use.
    """

    __slots__ = (
        "downtime_seconds",
        "serving",
        "service",
        "stranded_accelerators",
        "wanted",
    )

    def __init__(
        self,
        service: str,
        *,
        wanted: int,
        serving: int,
        downtime_seconds: float,
        stranded_accelerators: int,
    ) -> None:
        self.service = service
        self.wanted = wanted
        self.serving = serving
        self.downtime_seconds = downtime_seconds
        self.stranded_accelerators = stranded_accelerators


class FleetStatus:
    """What `status` and `explain` show of groups.

    Attributes:
        groups: Groups that do not serve.
        services: By service name.
    """

    __slots__ = ("groups", "services")

    def __init__(
        self,
        groups: tuple[GroupStatus, ...],
        services: dict[str, ServiceStatus],
    ) -> None:
        self.groups = groups
        self.services = services
