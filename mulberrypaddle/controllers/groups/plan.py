"""Wishes of placement, changes of a domain, and the protections."""

from __future__ import annotations


class Protections:
    """Switches that tests use to show that each protection is needed.

    Attributes:
        waits_for_stop: VMs are free only once their stop is confirmed.
        confirms_all: A group serves only once every VM is ready.
        waits_for_flight: Orders to VMs that ignore fencing numbers are
            waited out.
    """

    __slots__ = ("confirms_all", "waits_for_flight", "waits_for_stop")

    def __init__(
        self,
        *,
        waits_for_stop: bool = True,
        confirms_all: bool = True,
        waits_for_flight: bool = True,
    ) -> None:
        self.waits_for_stop = waits_for_stop
        self.confirms_all = confirms_all
        self.waits_for_flight = waits_for_flight


class Wish:
    """What placement asks of a domain.

    Attributes:
        expected_version: Version of the domain that the wish rests on.
        form: Services that are to get one new group each.
        drain: Group to drain, or empty.
        retire: Whether the drained group is not formed again.
        reason: Why.
    """

    __slots__ = ("drain", "expected_version", "form", "reason", "retire")

    def __init__(
        self,
        expected_version: int,
        *,
        form: tuple[str, ...] = (),
        drain: str = "",
        retire: bool = False,
        reason: str,
    ) -> None:
        self.expected_version = expected_version
        self.form = form
        self.drain = drain
        self.retire = retire
        self.reason = reason


class Change:
    """One placement decision, logged once its write is confirmed.

    Attributes:
        group_id: Which group.
        outcome: The new state.
        reason: Why.
        vm_ids: VMs concerned.
    """

    __slots__ = ("group_id", "outcome", "reason", "vm_ids")

    def __init__(
        self, group_id: str, outcome: str, reason: str, vm_ids: tuple[str, ...]
    ) -> None:
        self.group_id = group_id
        self.outcome = outcome
        self.reason = reason
        self.vm_ids = vm_ids
