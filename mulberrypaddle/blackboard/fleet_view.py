"""The view of services, data centres, VMs and groups of one moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.core.fleet import DataCentreState, ServiceKind, VmState
from mulberrypaddle.core.groups import GroupState
from mulberrypaddle.settings.objects import SERVICE_PREFIX

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.tables import Configuration, GroupTable
    from mulberrypaddle.core.fleet import Service, Vm
    from mulberrypaddle.core.groups import Group

_COMING = frozenset(
    {GroupState.FORMING, GroupState.LOADING, GroupState.SERVING}
)


class FleetView:
    """Services, data centres, VMs and groups of this moment.

    Attributes:
        services: By name.
        data_centres: State by name.
        vms: By VM id.
        table: Groups by fabric domain.
        domain_vms: VMs by fabric domain and VM id.
        unreadable: Services whose object this release can't read; their
            groups are left as they are.
    """

    __slots__ = (
        "_by_service",
        "_out_domains",
        "_surplus",
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
        """Takes what the view shows.

        Args:
            configuration: In force.
            vms: The platform's list.
            table: Groups.
            domain_vms: `vms` by fabric domain, if that is known already.
        """
        self.services = configuration.services
        self.data_centres = configuration.data_centres
        self.vms = vms
        self.table = table
        if domain_vms is None:
            domain_vms = _vms_by_domain(vms)
        self.domain_vms = domain_vms
        self.unreadable = unreadable_services(configuration)
        self._surplus: frozenset[str] | None = None
        self._out_domains: frozenset[str] | None = None
        self._by_service: dict[str, list[tuple[str, Group]]] | None = None

    def engine_services(self) -> dict[str, Service]:
        """Returns the services whose replicas are groups."""
        found = {}
        for name, service in self.services.items():
            if service.kind is ServiceKind.ENGINE and service.replicas > 0:
                found[name] = service
        return found

    def data_centre_of(self, domain: str) -> str:
        """Returns where a fabric domain stands, or an empty name."""
        vms = self.domain_vms.get(domain)
        if not vms:
            return ""
        return next(iter(vms.values())).data_centre

    def is_in(self, domain: str) -> bool:
        """Returns whether a domain's data centre may receive new work."""
        if self._out_domains is None:
            self._out_domains = self._find_out_domains()
        return domain not in self._out_domains

    def _find_out_domains(self) -> frozenset[str]:
        found = []
        for domain in self.domain_vms:
            state = self.data_centres.get(self.data_centre_of(domain))
            if state is DataCentreState.OUT:
                found.append(domain)
        return frozenset(found)

    def groups_of(self, service: str) -> list[tuple[str, Group]]:
        """Returns a service's groups with their fabric domains."""
        if self._by_service is None:
            self._by_service = self._index_groups()
        return self._by_service.get(service, [])

    def _index_groups(self) -> dict[str, list[tuple[str, Group]]]:
        index: dict[str, list[tuple[str, Group]]] = {}
        for name in sorted(self.table.domains):
            for group in self.table.domains[name].domain.groups.values():
                index.setdefault(group.service, []).append((name, group))
        return index

    def coming(self, service: str) -> int:
        """Returns how many groups serve or will, where they may be used."""
        total = 0
        for domain, group in self.groups_of(service):
            if group.state in _COMING and self.is_in(domain):
                total += 1
        return total

    def surplus(self) -> frozenset[str]:
        """Returns the services that have all the groups they want."""
        if self._surplus is not None:
            return self._surplus
        found = []
        for name, service in self.engine_services().items():
            if self.coming(name) >= service.replicas:
                found.append(name)
        self._surplus = frozenset(found)
        return self._surplus

    def free_vms(self, domain: str) -> int:
        """Returns how many live VMs of a domain no group claims."""
        stored = self.table.domains.get(domain)
        claimed = set() if stored is None else stored.domain.claimed()
        free = 0
        for vm in self.domain_vms.get(domain, {}).values():
            if vm.state is VmState.LIVE and vm.vm_id not in claimed:
                free += 1
        return free


def unreadable_services(configuration: Configuration) -> frozenset[str]:
    """Returns the services that a configuration names but does not hold."""
    found = []
    for key in configuration.versions:
        name = key.removeprefix(SERVICE_PREFIX)
        if name != key and name not in configuration.services:
            found.append(name)
    return frozenset(found)


def _vms_by_domain(vms: dict[str, Vm]) -> dict[str, dict[str, Vm]]:
    found: dict[str, dict[str, Vm]] = {}
    for vm in vms.values():
        found.setdefault(vm.fabric_domain, {})[vm.vm_id] = vm
    return found
