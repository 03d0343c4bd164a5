"""Runners and their group memberships, as they report themselves."""

from __future__ import annotations

import enum


class MembershipState(enum.Enum):
    """State of a runner within its group.

    Attributes:
        JOINING: It is joining, which includes loading the weights.
        READY: It has joined, and the group may be opened.
        OPEN: It is the head of a group that accepts requests.
        CLOSING: Its group accepts no new requests and finishes the others.
        BROKEN: Its group can no longer serve, and the members may be reused.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class GroupMembership:
    """Membership of a runner in a group of runners that serve one model.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the `JoinGroup` order that formed the group.
        rank: Index in the list of members; 0 is the head, which receives the
            group's requests.
        state: State of the runner within the group.
    """

    __slots__ = ("epoch", "name", "rank", "state")

    def __init__(
        self, name: str, *, epoch: int, rank: int, state: MembershipState
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.rank = rank
        self.state = state

    @property
    def key(self) -> tuple[str, int]:
        """Returns the name and epoch, which identify the group."""
        return (self.name, self.epoch)

    def __str__(self) -> str:
        return f"{self.name}/{self.rank}/{self.state.value}"


class RunnerEntry:
    """A runner's entry in the store: its state as it last reported it.

    Attributes:
        runner_id: Id of the runner, which may stay the same after a restart.
        started_at_ms: Unix time of its start in milliseconds, which tells apart
            incarnations with the same id; None if it does not report it.
        service: Name of the service that it belongs to.
        address: Address that it listens on, as host:port.
        data_centre: Data centre of its VM.
        sequence: The runner's own count of its writes of the entry, which rises
            while it lives; None if it is unknown.
        slots: Number of requests that it serves at once.
        draining: Whether its entry says that it is about to leave.
        announced_leaving: Whether an answer of it announced that it is leaving,
            whatever its entry says.
        cold_until_seconds: Monotonic time until which it is cold and handles
            only a limited rate of requests.
        models: Names of the models that it has loaded.
        domain: Fabric domain of its VM; empty for plain services.
        staged: Names of the models whose weights are stored on its host.
        group: Its membership in a group, or None.
        retention_rank: Its position in the order in which the platform keeps
            the runners of its data centre, the lowest longest; 0 for services
            of which the number of runners is fixed.
    """

    __slots__ = (
        "address",
        "announced_leaving",
        "started_at_ms",
        "cold_until_seconds",
        "data_centre",
        "domain",
        "draining",
        "group",
        "models",
        "retention_rank",
        "runner_id",
        "sequence",
        "service",
        "slots",
        "staged",
    )

    def __init__(
        self,
        runner_id: str,
        *,
        started_at_ms: int | None,
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
        sequence: int | None = None,
    ) -> None:
        self.runner_id = runner_id
        self.started_at_ms = started_at_ms
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.draining = draining
        self.announced_leaving = False
        self.cold_until_seconds = cold_until_seconds
        self.models = models
        self.domain = domain
        self.staged = staged
        self.group = group
        self.sequence = sequence
        self.retention_rank = 0

    @property
    def is_leaving(self) -> bool:
        """Returns whether it is about to leave and gets no new requests."""
        return self.draining or self.announced_leaving

    @property
    def incarnation(self) -> tuple[str, int | None]:
        """Returns the incarnation of the runner: its id and start time.

        A restart under the same id is another incarnation.
        """
        return (self.runner_id, self.started_at_ms)

    @property
    def write_label(self) -> str:
        """Returns, for logs, the start time and number of its write."""
        return f"{self.started_at_ms}/{self.sequence}"

    def is_newer_than(self, other: RunnerEntry) -> bool:
        """Returns whether it was certainly written after another entry.

        Start times are compared only if the incarnations differ, and may
        mislead where a clock was set back.

        Args:
            other: Entry under the same id.
        """
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        if self.started_at_ms != other.started_at_ms:
            return self.started_at_ms > other.started_at_ms
        if self.sequence is None or other.sequence is None:
            # A runner that drains doesn't become ready again.
            return self.draining and not other.draining
        return self.sequence > other.sequence
