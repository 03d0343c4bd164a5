"""Placement: which fabric domains hold the groups of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.duties import may_act, owner
from mulberrypaddle.controllers.groups.fleet_view import fleet_view
from mulberrypaddle.core.groups import Group, GroupState
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto.groups_pb2 import DrainGroup, FormGroups

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.controllers.groups.repair import Repair
    from mulberrypaddle.core.fleet import Service

STEP_SECONDS = 1.0
# A domain repairs a stopping group itself within this time.
LOCAL_REPAIR_SECONDS = 10.0
# Share of a service's replicas that may be out for replacement at once.
DRAIN_SHARE = 0.1
# More groups than wanted are kept for this long before one is drained.
SURPLUS_SECONDS = 60.0


class Placement(Controller):
    """Forms, replaces and retires groups of the services it owns."""

    name = "placement"

    def __init__(self, context: Context, *, repair: Repair) -> None:
        """Takes the controller that owns domains in this process.

        Args:
            context: This router's context.
            repair: Takes wishes for domains of this router.
        """
        super().__init__(context)
        self._repair = repair
        self._next_step_seconds = 0.0
        self._surplus_since: dict[str, float] = {}

    def step(self, now_seconds: float) -> None:
        """Compares what is wanted with what is there, once a second."""
        if now_seconds < self._next_step_seconds:
            return
        self._next_step_seconds = now_seconds + STEP_SECONDS
        view = fleet_view(self.context)
        for name, service in sorted(view.engine_services().items()):
            duty = Duty("placement", name)
            if not may_act(self.context, duty, now_seconds):
                self._surplus_since.pop(name, None)
                continue
            self._place(view, service, now_seconds)

    def _place(
        self, view: FleetView, service: Service, now_seconds: float
    ) -> None:
        active_group_count = view.active_group_count(service.name)
        missing = service.replicas - active_group_count
        if missing > 0:
            self._surplus_since.pop(service.name, None)
            missing -= self._repaired_locally(view, service)
            if missing > 0:
                self._form(view, service, missing, now_seconds)
        self._replace_old_models(view, service, now_seconds)
        if missing >= 0:
            self._surplus_since.pop(service.name, None)
            return
        since_seconds = self._surplus_since.setdefault(
            service.name, now_seconds
        )
        if now_seconds - since_seconds >= SURPLUS_SECONDS:
            del self._surplus_since[service.name]
            self._retire_one(view, service, now_seconds)

    def _repaired_locally(self, view: FleetView, service: Service) -> int:
        """Returns how many missing groups their own domains will form."""
        now_wall_seconds = self.context.clock.wall_seconds()
        spare: dict[str, int] = {}
        count = 0
        for domain, group in view.groups_of_service(service.name):
            if not view.is_in_service(domain) or group.retiring:
                continue
            free = spare.setdefault(domain, view.free_vm_count(domain))
            if group.state in (GroupState.STOPPING, GroupState.DRAINING):
                age_seconds = now_wall_seconds - group.since_seconds
                draining = group.state is GroupState.DRAINING
                if not draining and age_seconds >= LOCAL_REPAIR_SECONDS:
                    continue
                free += len(group.vm_ids)
                if not draining:
                    free -= 1
            elif group.state is not GroupState.DOWN:
                continue
            if free < service.vms_per_group:
                continue
            spare[domain] = free - service.vms_per_group
            count += 1
        return count

    def _form(
        self,
        view: FleetView,
        service: Service,
        missing: int,
        now_seconds: float,
    ) -> None:
        wishes: dict[str, int] = {}
        for _ in range(missing):
            domain = choose_domain(view, service, wishes)
            if domain is None:
                break
            wishes[domain] = wishes.get(domain, 0) + 1
        for domain, count in wishes.items():
            stored = view.table.domains.get(domain)
            message = FormGroups(
                domain=domain,
                expected_version=0 if stored is None else stored.version,
                services=[service.name] * count,
                reason=f"missing_replicas:{missing}",
            )
            self._send(domain, message, now_seconds)

    def _replace_old_models(
        self, view: FleetView, service: Service, now_seconds: float
    ) -> None:
        old: list[tuple[str, Group]] = []
        serving = 0
        for domain, group in view.groups_of_service(service.name):
            if group.state is not GroupState.SERVING or not view.is_in_service(
                domain
            ):
                continue
            serving += 1
            other_size = len(group.vm_ids) != service.vms_per_group
            if group.model != service.model or other_size:
                old.append((domain, group))
        allowed = max(1, int(service.replicas * DRAIN_SHARE))
        room = allowed - (service.replicas - serving)
        drained: set[str] = set()
        for domain, group in old:
            if len(drained) >= room:
                return
            if domain in drained:
                continue
            drained.add(domain)
            self._drain(
                view, domain, group, "model_changed", False, now_seconds
            )

    def _retire_one(
        self, view: FleetView, service: Service, now_seconds: float
    ) -> None:
        """Drains a group of the data centre that has the most of them."""
        by_data_centre: dict[str, int] = {}
        serving: list[tuple[str, Group]] = []
        for domain, group in view.groups_of_service(service.name):
            if not view.is_in_service(domain):
                continue
            if group.state is not GroupState.SERVING:
                continue
            data_centre = view.data_centre_of(domain)
            serving.append((domain, group))
            by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
        if len(serving) <= service.replicas:
            return
        domain, group = max(
            serving,
            key=lambda item: by_data_centre[view.data_centre_of(item[0])],
        )
        self._drain(view, domain, group, "more_than_wanted", True, now_seconds)

    def _drain(
        self,
        view: FleetView,
        domain: str,
        group: Group,
        reason: str,
        retire: bool,
        now_seconds: float,
    ) -> None:
        message = DrainGroup(
            domain=domain,
            expected_version=view.table.domains[domain].version,
            group_id=group.group_id,
            retire=retire,
            reason=reason,
        )
        self._send(domain, message, now_seconds)

    def _send(self, domain: str, message: Message, now_seconds: float) -> None:
        domain_owner = owner(self.context, Duty("fabric_domain", domain))
        if domain_owner is None:
            return
        if domain_owner == self.context.member_id:
            self._repair.receive(domain_owner, message, now_seconds)
            return
        self.context.board.intents.append(SendToPeer(domain_owner, message))


def choose_domain(
    view: FleetView, service: Service, wishes: dict[str, int]
) -> str | None:
    """Returns where the next group of a service goes, or None.

    Data centres with few groups of the service come first, so that losing
    one costs little; then domains where few VMs are left over.

    Args:
        view: The fleet.
        service: An engine service.
        wishes: Groups already wished for in this round, by domain.
    """
    size = service.vms_per_group
    by_data_centre: dict[str, int] = {}
    for domain, _ in view.groups_of_service(service.name):
        data_centre = view.data_centre_of(domain)
        by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
    for domain, count in wishes.items():
        data_centre = view.data_centre_of(domain)
        by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + count
    best: str | None = None
    best_order: tuple[int, int, int, str] | None = None
    for domain in sorted(view.domain_vms):
        if not view.is_in_service(domain):
            continue
        free = view.free_vm_count(domain) - size * wishes.get(domain, 0)
        if free < size:
            continue
        data_centre = view.data_centre_of(domain)
        order = (by_data_centre.get(data_centre, 0), free % size, free, domain)
        if best_order is None or order < best_order:
            best = domain
            best_order = order
    return best
