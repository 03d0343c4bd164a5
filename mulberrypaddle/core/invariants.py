"""Invariants that are checked while the program runs.

A breach is counted and logged always; under test it is raised as well.
"""

from __future__ import annotations

import enum
import logging

_LOGGER = logging.getLogger("mulberrypaddle.invariants")


class Invariant(enum.Enum):
    """Every statement of the brief that must always hold."""

    GROUP_WHOLE = "group_whole"
    VM_IN_ONE_GROUP = "vm_in_one_group"
    COLD_LIMIT = "cold_limit"
    CREDITS_WITHIN_CAPACITY = "credits_within_capacity"
    DATA_CENTRE_OUT = "data_centre_out"
    WHOLE_ANSWER = "whole_answer"
    TRUE_NOT_RUN = "true_not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_RUNNER = "leaving_runner"
    GRACEFUL_STOP = "graceful_stop"
    CONFIG_MONOTONIC = "config_monotonic"
    SINGLE_OWNER = "single_owner"
    ANSWER_MEMORY = "answer_memory"


class InvariantBreachError(AssertionError):
    """Raised under test when an invariant does not hold."""


class _Policy:
    """Process-wide counters and the switch that makes breaches raise."""

    __slots__ = ("breaches", "raises")

    def __init__(self) -> None:
        self.breaches: dict[Invariant, int] = {}
        self.raises = False


_POLICY = _Policy()


def raise_breaches(enabled: bool) -> None:
    """Chooses whether a breach raises; tests and soaks switch it on."""
    _POLICY.raises = enabled


def breaches_raise() -> bool:
    """Returns whether a breach raises, as under test."""
    return _POLICY.raises


def breach_count(invariant: Invariant) -> int:
    """Returns how often `invariant` was found broken in this process."""
    return _POLICY.breaches.get(invariant, 0)


def check(holds: bool, invariant: Invariant, detail: str) -> None:
    """Records a breach of `invariant` unless `holds`.

    Args:
        holds: The condition that must be true.
        invariant: Which statement the condition belongs to.
        detail: The values seen.

    Raises:
        InvariantBreachError: If the condition is false and breaches raise.
    """
    if holds:
        return
    _POLICY.breaches[invariant] = breach_count(invariant) + 1
    _LOGGER.error(
        "invariant_breach",
        extra={"invariant": invariant.value, "detail": detail},
    )
    if _POLICY.raises:
        raise InvariantBreachError(f"{invariant.value}: {detail}")
