"""The message that each router sends to the others many times a second."""

from __future__ import annotations

import json
from typing import Any

# Name and version of the message; others are left out.
FORM = 2


class Beat:
    """What one router tells the others.

    Attributes:
        node: Router that sends it.
        incarnation: Process of that router.
        ip: Address of its VM.
        revisions: Revision of each of its feeds, by collection.
        loads: Requests in hand by runner.
        failing: Runners that failed its requests.
        silent: Runners that it could not reach.
        stalled: Heads on which streams stand still, with their age in
            milliseconds.
        losses: Runners lost with one request in hand, by fingerprint.
        waiting: Requests that wait in it, by model; by service where that
            has no models.
        retries: First sendings and repeats in the window of the bound on
            repeats, by service.
        demand: Slots that its arrivals keep busy, by model.
        known: Addresses of the routers that it hears.
        opening: Time until the next group of a model opens, in
            milliseconds; from the owner of the groups only.
        renewals: Renewals of its ownership of the groups; -1 if it is not
            the owner.
        lease_left: Milliseconds for which that ownership still holds.
        store_sight: What it lately saw of the store.
        store_sight_age_ms: How long ago.
        asks_for_store: Whether it wants to know what others see of it.
        resigned_revision: Revision of the owner's record up to which it has
            handed the groups over; 0 if it never has.
        watches: Whether it watches the runners for all, and the store
            serves it.
        stopping: Whether it is about to end.
        routers: Routers whose beats it sums up; 0 if it speaks for itself.
        changes: What lately changed in collections, for those who keep up.
    """

    __slots__ = (
        "demand",
        "retries",
        "waiting",
        "incarnation",
        "ip",
        "known",
        "lease_left",
        "loads",
        "losses",
        "node",
        "opening",
        "failing",
        "silent",
        "renewals",
        "revisions",
        "stalled",
        "resigned_revision",
        "stopping",
        "store_sight",
        "store_sight_age_ms",
        "asks_for_store",
        "changes",
        "routers",
        "watches",
    )

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        ip: str,
        revisions: dict[str, int],
        loads: dict[str, int],
        failing: list[str],
        silent: list[str],
        stalled: dict[str, int],
        losses: dict[str, list[str]],
        waiting: dict[str, int],
        retries: dict[str, tuple[int, int]],
        demand: dict[str, float],
        known: list[str],
        opening: dict[str, int],
        renewals: int,
        lease_left: int,
        watches: bool,
        store_sight: int,
        store_sight_age_ms: int,
        asks_for_store: bool,
        resigned_revision: int,
        routers: int = 0,
        changes: dict[str, Any] | None = None,
        stopping: bool,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.ip = ip
        self.revisions = revisions
        self.loads = loads
        self.failing = failing
        self.silent = silent
        self.stalled = stalled
        self.losses = losses
        self.waiting = waiting
        self.retries = retries
        self.demand = demand
        self.known = known
        self.opening = opening
        self.renewals = renewals
        self.lease_left = lease_left
        self.watches = watches
        self.store_sight = store_sight
        self.store_sight_age_ms = store_sight_age_ms
        self.asks_for_store = asks_for_store
        self.resigned_revision = resigned_revision
        self.routers = routers
        self.changes = changes or {}
        self.stopping = stopping

    def to_bytes(self) -> bytes:
        """Returns the datagram."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields["form"] = FORM
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> Beat:
        """Reads a datagram.

        Raises:
            ValueError: If it is no such message.
        """
        fields: Any = json.loads(data)
        if not isinstance(fields, dict) or fields.pop("form", None) != FORM:
            raise ValueError(f"got {data[:40]!r}, allowed is form {FORM}")
        try:
            return cls(**fields)
        except TypeError as error:
            raise ValueError(str(error)) from error
