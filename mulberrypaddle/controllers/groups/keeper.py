"""The owner's hold on one fabric domain: read back, decide, write, order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import Priority, ReadObject, WriteObject
from mulberrypaddle.controllers.duties import may_act, membership
from mulberrypaddle.controllers.groups.attention import Attention
from mulberrypaddle.controllers.groups.codec import (
    PREFIX,
    decode_domain,
    encode_domain,
)
from mulberrypaddle.controllers.groups.evolve import Evolution
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.groups import (
    Domain,
    Group,
    GroupState,
    StoredDomain,
    check_vm_claims,
)
from mulberrypaddle.core.rendezvous import Duty

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.groups.plan import Change, Protections, Wish
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import Vm

RETRY_SECONDS = 1.0


class DomainKeeper:
    """Acts on one fabric domain while this router owns it.

    Attributes:
        name: The fabric domain.
        duty: The duty whose owner may act.
        stored: State as last read or written, or None before.
        attention: What this router sees of the domain's VMs.
    """

    def __init__(
        self,
        name: str,
        *,
        context: Context,
        learn: Callable[[StoredDomain], None],
        protections: Protections,
    ) -> None:
        """Takes the domain and where its stored states go.

        Args:
            name: The fabric domain.
            context: This router's context.
            learn: Called with every state read or written.
            protections: All on but in tests.
        """
        self.name = name
        self.duty = Duty("fabric_domain", name)
        self.stored: StoredDomain | None = None
        self.attention = Attention(context, protections=protections)
        self._context = context
        self._learn = learn
        self._protections = protections
        self._taken_over = False
        self._must_read = True
        self._waiting = False
        self._turn = 0
        self._writes = 0
        self._next_call_seconds = 0.0
        self._wishes: list[Wish] = []

    def reset(self) -> None:
        """Forgets everything; the state is read back before the next act."""
        self.stored = None
        self.attention.reset()
        self._taken_over = False
        self._must_read = True
        self._waiting = False
        self._turn += 1
        self._wishes = []

    def wish(self, wish: Wish) -> None:
        """Takes what placement asks for; it is dropped if out of date."""
        if self.stored is None or self._waiting:
            return
        if wish.expected_version == self.stored.version:
            self._wishes.append(wish)

    def step(self, view: FleetView) -> None:
        """Acts once on the stored state.

        Args:
            view: The fleet.
        """
        vms = view.domain_vms.get(self.name, {})
        now_seconds = self._context.now_seconds()
        acts = may_act(self._context, self.duty, now_seconds)
        if not acts:
            # It may still watch: taking a group out of service is safe.
            self._must_read = True
        elif self._must_read:
            self._read(now_seconds)
        if self.stored is None:
            return
        domain = self.stored.domain
        self.attention.judge(domain, now_seconds)
        if self._must_read:
            self.attention.watch(domain, vms, now_seconds)
            return
        if not self._waiting and now_seconds >= self._next_call_seconds:
            self._evolve(view, vms, now_seconds)
        if self._taken_over:
            self.attention.speak(
                self.stored.domain, vms, view.engine_services(), now_seconds
            )

    def waiting_for_load(self) -> list[Group]:
        """Returns the groups whose turn at the weight store must come."""
        return self._groups_in(GroupState.FORMING)

    def _groups_in(self, state: GroupState) -> list[Group]:
        if self.stored is None or not self._taken_over:
            return []
        found = []
        for group in self.stored.domain.groups.values():
            if group.state is state:
                found.append(group)
        return found

    def _read(self, now_seconds: float) -> None:
        if self._waiting or now_seconds < self._next_call_seconds:
            return
        self._waiting = True
        self._turn += 1
        turn = self._turn

        def answered(result: Result[StoredObject, Problem]) -> None:
            if turn != self._turn:
                return
            self._waiting = False
            if not isinstance(result, Success):
                self._back_off()
                return
            self._adopt(result.unwrap())

        self._context.board.intents.append(
            ReadObject(
                PREFIX + self.name, priority=Priority.PLACEMENT, reply=answered
            )
        )

    def _adopt(self, stored: StoredObject) -> None:
        """Takes the stored state as the only truth to act on."""
        domain = decode_domain(self.name, stored.value)
        check_vm_claims(domain)
        writer = domain.write_id.rpartition("/")[0]
        ours = stored.version == 0 or writer == self._writer()
        if self.stored is None or not ours:
            self.attention.reset()
        self.stored = StoredDomain(domain, stored.version, stored.value)
        self._taken_over = ours
        self._must_read = False
        self._learn(self.stored)

    def _writer(self) -> str:
        return f"{self._context.member_id}/{self._context.incarnation}"

    def _evolve(
        self, view: FleetView, vms: dict[str, Vm], now_seconds: float
    ) -> None:
        stored = self.stored
        if stored is None:
            return
        if not self._taken_over:
            self._take_over(stored, now_seconds)
            return
        evolution = Evolution(
            stored.domain,
            evidence=self.attention.evidence,
            vms=vms,
            services=view.engine_services(),
            fully_replicated_services=view.fully_replicated_services(),
            unreadable=view.unreadable,
            now_wall_seconds=self._context.clock.wall_seconds(),
            protections=self._protections,
        )
        wishes = self._wishes
        self._wishes = []
        if evolution.run(wishes):
            self._write(evolution.domain, evolution.changes, now_seconds)

    def _take_over(self, stored: StoredDomain, now_seconds: float) -> None:
        """Raises the fencing number before the first order as owner."""
        if stored.domain.epoch > membership(self._context).epoch:
            self._must_read = True
            self._next_call_seconds = now_seconds + RETRY_SECONDS
            return
        domain = stored.domain.copy()
        domain.issue_number()
        for group in domain.groups.values():
            if group.state is GroupState.STOPPING:
                group.fencing = domain.counter
        self._write(domain, [], now_seconds)

    def _write(
        self, domain: Domain, changes: list[Change], now_seconds: float
    ) -> None:
        if self.stored is None:
            return
        self._writes += 1
        domain.epoch = membership(self._context).epoch
        domain.write_id = f"{self._writer()}/{self._writes}"
        value = encode_domain(domain)
        if not may_act(self._context, self.duty, now_seconds):
            return
        self._waiting = True
        self._turn += 1
        turn = self._turn

        def answered(result: Result[StoredObject, Problem]) -> None:
            if turn != self._turn:
                return
            self._waiting = False
            if not isinstance(result, Success):
                # Unless it surely did not happen, the write may have, or
                # another owner wrote: only what is read back is acted on.
                kind = result.failure().kind
                if kind is not ErrorKind.STORE_UNAVAILABLE:
                    self._must_read = True
                self._back_off()
                return
            self._taken_over = True
            self.stored = StoredDomain(domain, result.unwrap().version, value)
            self._log(changes)
            self._learn(self.stored)

        self._context.board.intents.append(
            WriteObject(
                PREFIX + self.name,
                value,
                expected_version=self.stored.version,
                priority=Priority.PLACEMENT,
                reply=answered,
            )
        )

    def _back_off(self) -> None:
        wait_seconds = RETRY_SECONDS * self._context.rng.uniform(0.2, 1.0)
        self._next_call_seconds = self._context.now_seconds() + wait_seconds

    def _log(self, changes: list[Change]) -> None:
        for change in changes:
            self._context.decide(
                "placement",
                subject=change.group_id,
                outcome=change.outcome,
                reason=change.reason,
                fabric_domain=self.name,
                vms=",".join(change.vm_ids),
            )
