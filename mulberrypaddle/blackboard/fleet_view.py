"""A snapshot of services, data centres, VMs and groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.core.fleet import DataCentreState, ServiceKind, VmState
from mulberrypaddle.core.groups import GroupState
from mulberrypaddle.settings.configuration_documents import SERVICE_PREFIX

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.values import Configuration, GroupTable
    from mulberrypaddle.core.fleet import Service, Vm
    from mulberrypaddle.core.groups import Group

# States of a group that serves or is on the way to serving.
_ACTIVE_STATES = frozenset(
    {GroupState.FORMING, GroupState.LOADING, GroupState.SERVING}
)


class FleetView:
    """A snapshot of the fleet, with indexes that are computed on first use.

    Attributes:
        services: Services by name.
        data_centres: State of each data centre by name.
        vms: VMs by VM id, as the platform lists them.
        table: Groups by fabric domain.
        domain_vms: VMs by fabric domain and VM id.
        unreadable: Names of services whose stored object this release can't
            parse; their groups are left as they are.
    """

    __slots__ = (
        "_domains_out",
        "_fully_replicated",
        "_groups_by_service",
        "data_centres",
        "domain_vms",
        "services",
        "table",
        "unreadable",
        "vms",
    )

    def __init__(
        self,
        configuration: Configuration,
        vms: dict[str, Vm],
        table: GroupTable,
        *,
        domain_vms: dict[str, dict[str, Vm]] | None = None,
    ) -> None:
        """Builds the snapshot.

        Args:
            configuration: The configuration in force.
            vms: The platform's list of VMs, by VM id.
            table: Groups by fabric domain.
            domain_vms: `vms` by fabric domain and VM id, if already computed.
        """
        self.services = configuration.services
        self.data_centres = configuration.data_centres
        self.vms = vms
        self.table = table
        if domain_vms is None:
            domain_vms = _vms_by_domain(vms)
        self.domain_vms = domain_vms
        self.unreadable = unreadable_services(configuration)
        self._fully_replicated: frozenset[str] | None = None
        self._domains_out: frozenset[str] | None = None
        self._groups_by_service: dict[str, list[tuple[str, Group]]] | None = (
            None
        )

    def engine_services(self) -> dict[str, Service]:
        """Returns the engine services with at least one replica, by name."""
        found = {}
        for name, service in self.services.items():
            if service.kind is ServiceKind.ENGINE and service.replicas > 0:
                found[name] = service
        return found

    def data_centre_of(self, domain: str) -> str:
        """Returns the data centre of a domain, empty if it has no VMs."""
        vms = self.domain_vms.get(domain)
        if not vms:
            return ""
        return next(iter(vms.values())).data_centre

    def is_in_service(self, domain: str) -> bool:
        """Returns whether a domain's data centre is not in the state OUT."""
        if self._domains_out is None:
            self._domains_out = self._find_domains_out()
        return domain not in self._domains_out

    def _find_domains_out(self) -> frozenset[str]:
        """Returns the domains whose data centre is in the state OUT."""
        found = []
        for domain in self.domain_vms:
            state = self.data_centres.get(self.data_centre_of(domain))
            if state is DataCentreState.OUT:
                found.append(domain)
        return frozenset(found)

    def groups_of_service(self, service: str) -> list[tuple[str, Group]]:
        """Returns pairs of fabric domain and group for a service."""
        if self._groups_by_service is None:
            self._groups_by_service = self._index_groups()
        return self._groups_by_service.get(service, [])

    def _index_groups(self) -> dict[str, list[tuple[str, Group]]]:
        """Returns pairs of fabric domain and group by service."""
        index: dict[str, list[tuple[str, Group]]] = {}
        for name in sorted(self.table.domains):
            for group in self.table.domains[name].domain.groups.values():
                index.setdefault(group.service, []).append((name, group))
        return index

    def active_group_count(self, service: str) -> int:
        """Counts a service's groups that are forming, loading or serving.

        Groups in data centres that are out are not counted.
        """
        total = 0
        for domain, group in self.groups_of_service(service):
            if group.state in _ACTIVE_STATES and self.is_in_service(domain):
                total += 1
        return total

    def fully_replicated_services(self) -> frozenset[str]:
        """Returns the services with at least as many groups as replicas."""
        if self._fully_replicated is not None:
            return self._fully_replicated
        found = []
        for name, service in self.engine_services().items():
            if self.active_group_count(name) >= service.replicas:
                found.append(name)
        self._fully_replicated = frozenset(found)
        return self._fully_replicated

    def free_vm_count(self, domain: str) -> int:
        """Counts the live VMs of a domain that no group claims."""
        stored = self.table.domains.get(domain)
        claimed_vm_ids = (
            set() if stored is None else stored.domain.claimed_vm_ids()
        )
        free = 0
        for vm in self.domain_vms.get(domain, {}).values():
            if vm.state is VmState.LIVE and vm.vm_id not in claimed_vm_ids:
                free += 1
        return free


def unreadable_services(configuration: Configuration) -> frozenset[str]:
    """Returns the services that have an object version but no parsed object.

    Their stored object could not be parsed by this release.
    """
    found = []
    for key in configuration.versions:
        name = key.removeprefix(SERVICE_PREFIX)
        if name != key and name not in configuration.services:
            found.append(name)
    return frozenset(found)


def _vms_by_domain(vms: dict[str, Vm]) -> dict[str, dict[str, Vm]]:
    """Returns VMs by fabric domain and VM id."""
    found: dict[str, dict[str, Vm]] = {}
    for vm in vms.values():
        found.setdefault(vm.fabric_domain, {})[vm.vm_id] = vm
    return found
