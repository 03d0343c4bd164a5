"""Rendezvous hashing, which assigns each duty to one of the routers.

Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
Rendezvous", 1996.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Duty:
    """A task that exactly one router, its owner, carries out at a time.

    Attributes:
        kind: Kind of the duty, such as `runner` or `organisation`.
        name: Name of the runner, organisation or other subject of the duty.
    """

    __slots__ = ("kind", "name")

    def __init__(self, kind: str, name: str) -> None:
        self.kind = kind
        self.name = name

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


def rendezvous_weight(duty: Duty, member_id: str) -> int:
    """Returns the rendezvous weight of a member for a duty."""
    digest = hashlib.blake2b(f"{duty}|{member_id}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def rank_members(duty: Duty, member_ids: Iterable[str]) -> list[str]:
    """Returns the members by descending rendezvous weight for a duty.

    The first one owns the duty; the next ones are its successors.
    """
    return sorted(
        member_ids,
        key=lambda member_id: rendezvous_weight(duty, member_id),
        reverse=True,
    )


def owner_of(duty: Duty, member_ids: Iterable[str]) -> str | None:
    """Returns the member that owns a duty, or None if there are no members."""
    ranked = rank_members(duty, member_ids)
    return ranked[0] if ranked else None
