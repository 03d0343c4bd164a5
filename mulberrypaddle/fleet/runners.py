"""Runners as they report themselves."""

from __future__ import annotations

import enum


class MembershipState(enum.Enum):
    """Where a runner stands in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupMembership:
    """Membership of a runner in a group.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the order that formed it.
        rank: Place in the member list; 0 is the head.
        state: Where the runner stands.
    """

    __slots__ = ("epoch", "name", "rank", "state")

    def __init__(
        self, name: str, *, epoch: int, rank: int, state: MembershipState
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.rank = rank
        self.state = state


class RunnerEntry:
    """What a runner last said of itself.

    Attributes:
        runner_id: Id; a restart may keep it.
        born_ms: Unix time of its start in milliseconds; parts two lives
            under one id. None if it says nothing of it.
        service: Service that it belongs to.
        address: Where it listens, as host:port.
        data_centre: Data centre of its VM.
        slots: Requests that it serves at once.
        draining: Whether it is about to leave.
        cold_until_seconds: Monotonic time until which it is cold.
        models: Models that it has loaded.
        domain: Fabric domain of its VM; empty for plain services.
        staged: Models whose weights its host holds.
        group: Membership in a group, or None.
    """

    __slots__ = (
        "address",
        "born_ms",
        "cold_until_seconds",
        "data_centre",
        "domain",
        "draining",
        "group",
        "models",
        "runner_id",
        "service",
        "slots",
        "staged",
    )

    def __init__(
        self,
        runner_id: str,
        *,
        born_ms: int | None,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        draining: bool,
        cold_until_seconds: float = 0.0,
        models: tuple[str, ...] = (),
        domain: str = "",
        staged: tuple[str, ...] = (),
        group: GroupMembership | None = None,
    ) -> None:
        self.runner_id = runner_id
        self.born_ms = born_ms
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.draining = draining
        self.cold_until_seconds = cold_until_seconds
        self.models = models
        self.domain = domain
        self.staged = staged
        self.group = group

    @property
    def life(self) -> tuple[str, int | None]:
        """Returns what tells this life of the runner from another."""
        return (self.runner_id, self.born_ms)
