"""Prompts of simulated requests, and parts of them that crash runners."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Shared parts of prompts. Every prompt begins with the first one, as with
# requests of one application.
FIRST_PART = "5c1e07a2"
SHARED_PARTS = ("91bd3f06", "c47a9e15", "2f60d8b3")

# Lengths of a shared part and of the last one, in tokens.
SHARED_PART_TOKENS = 30
LAST_PART_TOKENS = 40


def make_prompt(shared_parts: Sequence[str], own_name: str) -> str:
    """Returns the header value of a prompt with a last part of its own.

    Args:
        shared_parts: Ids of the parts that other prompts have, too.
        own_name: Name from which the id of the last part is derived.
    """
    own_part = hashlib.blake2b(own_name.encode(), digest_size=4).hexdigest()
    parts = [f"{part}:{SHARED_PART_TOKENS}" for part in shared_parts]
    return ",".join([*parts, f"{own_part}:{LAST_PART_TOKENS}"])


def prompt_parts(prompt: str) -> list[tuple[str, int]]:
    """Returns the id and the length in tokens of each part of a prompt."""
    parts = []
    for entry in prompt.split(","):
        part, _, tokens = entry.partition(":")
        if tokens:
            parts.append((part, int(tokens)))
    return parts


class CrashingParts:
    """Parts that crash runners, and what happened at the runners.

    Times are monotonic, in seconds.

    Attributes:
        part_ids: Parts that crash each runner that begins to answer a request
            with one of them.
        crashes: Times of the crashes, by part.
        arrivals: Times at which a request with the part reached a runner, by
            part.
    """

    __slots__ = ("arrivals", "crashes", "part_ids")

    def __init__(self) -> None:
        self.part_ids: set[str] = set()
        self.crashes: dict[str, list[float]] = {}
        self.arrivals: dict[str, list[float]] = {}

    def find(self, prompt: str) -> str | None:
        """Returns the crashing part of a prompt, or None."""
        for part, _ in prompt_parts(prompt):
            if part in self.part_ids:
                return part
        return None

    def record_arrival(self, prompt: str) -> None:
        """Records that a request reached a runner, if it has such a part."""
        part = self.find(prompt)
        if part is not None:
            self.arrivals.setdefault(part, []).append(time.monotonic())

    def record_crash(self, part: str) -> None:
        """Records that a runner crashed because of a part."""
        self.crashes.setdefault(part, []).append(time.monotonic())

    def crash_count(self, part: str) -> int:
        """Returns how many runners a part has crashed."""
        return len(self.crashes.get(part, []))

    def arrivals_after(self, part: str, since_seconds: float) -> int:
        """Returns how many requests with a part reached runners since."""
        arrived = self.arrivals.get(part, [])
        return sum(at_seconds > since_seconds for at_seconds in arrived)
