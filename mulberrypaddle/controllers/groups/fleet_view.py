"""What the controllers of groups read from the blackboard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.tables import (
    Configuration,
    GroupTable,
    VmTable,
)
from mulberrypaddle.core.fleet import (
    DataCentreState,
    Service,
    ServiceKind,
    Vm,
    VmState,
)
from mulberrypaddle.core.groups import Group, GroupState

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context

_NO_CONFIGURATION = Configuration(
    contracts={}, services={}, data_centres={}, versions={}
)
_NO_VMS = VmTable({})
_NO_GROUPS = GroupTable({}, {})
_COMING = frozenset(
    {GroupState.FORMING, GroupState.LOADING, GroupState.SERVING}
)


class FleetView:
    """Configuration, VMs and groups of this moment.

    Attributes:
        configuration: In force.
        vms: By VM id.
        table: Groups by fabric domain.
        domain_vms: VMs by fabric domain and VM id.
    """

    __slots__ = ("_surplus", "configuration", "domain_vms", "table", "vms")

    def __init__(
        self,
        configuration: Configuration,
        vms: dict[str, Vm],
        table: GroupTable,
    ) -> None:
        self.configuration = configuration
        self.vms = vms
        self.table = table
        self.domain_vms: dict[str, dict[str, Vm]] = {}
        self._surplus: frozenset[str] | None = None
        for vm in vms.values():
            self.domain_vms.setdefault(vm.fabric_domain, {})[vm.vm_id] = vm

    def engine_services(self) -> dict[str, Service]:
        """Returns the services whose replicas are groups."""
        found = {}
        for name, service in self.configuration.services.items():
            if service.kind is ServiceKind.ENGINE and service.replicas > 0:
                found[name] = service
        return found

    def data_centre_of(self, domain: str) -> str:
        """Returns where a fabric domain stands, or an empty name."""
        for vm in self.domain_vms.get(domain, {}).values():
            return vm.data_centre
        return ""

    def is_in(self, domain: str) -> bool:
        """Returns whether a domain's data centre may receive new work."""
        data_centre = self.data_centre_of(domain)
        state = self.configuration.data_centres.get(data_centre)
        return state is not DataCentreState.OUT

    def groups_of(self, service: str) -> list[tuple[str, Group]]:
        """Returns a service's groups with their fabric domains."""
        found = []
        for name in sorted(self.table.domains):
            for group in self.table.domains[name].domain.groups.values():
                if group.service == service:
                    found.append((name, group))
        return found

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


class FleetViewReader:
    """Builds a view only when something on the blackboard has changed."""

    __slots__ = ("_context", "_parts", "_view")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._parts: tuple[Configuration, VmTable, GroupTable] | None = None
        self._view = FleetView(_NO_CONFIGURATION, {}, _NO_GROUPS)

    def view(self) -> FleetView:
        """Returns the view of this moment."""
        board = self._context.board
        configuration = board.latest(keys.CONFIGURATION, _NO_CONFIGURATION)
        vms = board.latest(keys.VMS, _NO_VMS)
        table = board.latest(keys.GROUPS, _NO_GROUPS)
        if self._parts is not None:
            known_configuration, known_vms, known_table = self._parts
            same = configuration is known_configuration and vms is known_vms
            if same and table is known_table:
                return self._view
        self._parts = (configuration, vms, table)
        self._view = FleetView(configuration, vms.vms, table)
        return self._view
