"""Types of the values on the blackboard."""

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
        contracts: Contracts by organisation.
        services: Services by name.
        data_centres: State of each data centre by name.
        versions: Version of each stored object by object key; the version of
            a key never decreases.
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
        member_id: Name of the router, unique while its VM exists.
        incarnation: Number that increases with every start of the process.
        address: `host:port` for peers, with an IP address.
        data_centre: Name of the router's data centre.
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


class EarlierMembership:
    """An earlier membership whose owners may still act on it.

    Attributes:
        member_ids: Ids of its members.
        settled_at_seconds: Monotonic time by which the leases of all these
            members have expired, so that none acts on that membership.
    """

    __slots__ = ("member_ids", "settled_at_seconds")

    def __init__(
        self, member_ids: frozenset[str], settled_at_seconds: float
    ) -> None:
        self.member_ids = member_ids
        self.settled_at_seconds = settled_at_seconds


class Membership:
    """The routers among which the duties are divided.

    Attributes:
        epoch: Number that increases with every change of the membership;
            used as fencing token.
        members: Members by id, including this router while it is a member.
        member_ids: Ids of the members.
        lease_until_seconds: Monotonic time until which this router may act
            as the owner of its duties. The lease is counted from when its
            renewal was sent, so that it expires here no later than elsewhere.
        unsettled: Earlier memberships whose owners may still act.
        departed_members: Members by id that left recently and may still finish
            work; messages can be sent to them, but they own no duty.
    """

    __slots__ = (
        "departed_members",
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
        unsettled: tuple[EarlierMembership, ...] = (),
        departed_members: dict[str, Member] | None = None,
    ) -> None:
        self.departed_members = departed_members or {}
        self.member_ids = frozenset(members)
        self.epoch = epoch
        self.members = members
        self.lease_until_seconds = lease_until_seconds
        self.unsettled = unsettled


class RunnerTable:
    """The routable runners and their latest reports.

    Attributes:
        runners: Runners by runner id.
        reports: Latest load report by runner id; absent if none arrived.
    """

    __slots__ = ("reports", "runners")

    def __init__(
        self, *, runners: dict[str, Runner], reports: dict[str, RunnerReport]
    ) -> None:
        self.runners = runners
        self.reports = reports


class VmTable:
    """The platform's list of VMs, which lags behind the actual state.

    Attributes:
        vms: VMs by VM id.
    """

    __slots__ = ("vms",)

    def __init__(self, vms: dict[str, Vm]) -> None:
        self.vms = vms


class Health:
    """Conditions that decide whether this router accepts new requests.

    Attributes:
        store_reachable: Whether the object API answered recently.
        peers_reachable: Number of members that answered recently.
        stopping: Whether a graceful stop has started.
        isolated: Whether neither the store nor any peer answers.
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
        lost_generations: Generations observed to be broken whose loss is not
            yet stored:
            by fabric domain and generation, the monotonic time in seconds
            until which the observation holds.
    """

    __slots__ = ("domains", "lost_generations")

    def __init__(
        self,
        domains: dict[str, StoredDomain],
        lost_generations: dict[str, dict[int, float]],
    ) -> None:
        self.domains = domains
        self.lost_generations = lost_generations


class GroupStatus:
    """Status of a group that does not serve, shown to operators.

    Attributes:
        group_id: Id of the group.
        service: Name of its service.
        fabric_domain: Fabric domain of its VMs.
        state: Name of its `GroupState`.
        reason: Why it stopped serving.
        next_step: Description of the next step towards serving.
        down_seconds: Time since it last served.
    """

    __slots__ = (
        "next_step",
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
        next_step: str,
        down_seconds: float,
    ) -> None:
        self.group_id = group_id
        self.service = service
        self.fabric_domain = fabric_domain
        self.state = state
        self.reason = reason
        self.next_step = next_step
        self.down_seconds = down_seconds


class ServiceStatus:
    """Replicas of one engine service in data centres in the state IN.

    Attributes:
        service: Name of the service.
        wanted: Number of replicas that the configuration requests.
        serving: Number of groups that serve.
        downtime_seconds: Sum over the missing groups of the time that they
            did not serve since this router started.
        stranded_accelerators: Idle accelerators that missing groups could use.
    """

    __slots__ = (
        "downtime_seconds",
        "service",
        "serving",
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
    """State of groups that the commands `status` and `explain` show.

    Attributes:
        groups: Groups that do not serve.
        services: Status of each engine service by name.
    """

    __slots__ = ("groups", "services")

    def __init__(
        self,
        groups: tuple[GroupStatus, ...],
        services: dict[str, ServiceStatus],
    ) -> None:
        self.groups = groups
        self.services = services
