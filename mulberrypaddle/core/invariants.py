"""Invariants that are checked at run time.

A breach is always counted and logged; in tests it also raises an exception.
"""

from __future__ import annotations

import enum
import logging

_LOGGER = logging.getLogger("mulberrypaddle.invariants")


class Invariant(enum.Enum):
    """Requirements that must hold at all times."""

    # A group serves only if all its VMs confirm its current generation.
    GROUP_COMPLETE = "group_whole"
    # No VM is claimed by two groups.
    VM_IN_ONE_GROUP = "vm_in_one_group"
    # A runner that has just started gets no more requests than it can handle.
    COLD_LIMIT = "cold_limit"
    # The credits granted for a runner or contract never exceed its capacity.
    CREDITS_WITHIN_CAPACITY = "credits_within_capacity"
    # No request is sent to a data centre that is out.
    DATA_CENTRE_OUT = "data_centre_out"
    # No token of an answer is lost, repeated or reordered.
    ANSWER_COMPLETE = "whole_answer"
    # A caller is told "not run" only if no attempt can have been executed.
    NOT_RUN_IS_CORRECT = "true_not_run"
    # A request that is not idempotent is sent at most once.
    AT_MOST_ONCE = "at_most_once"
    # No request is sent to a runner that is being drained.
    LEAVING_RUNNER = "leaving_runner"
    # A graceful stop aborts no request.
    GRACEFUL_STOP = "graceful_stop"
    # The version of a configuration object never decreases.
    CONFIG_MONOTONIC = "config_monotonic"
    # A duty has at most one owner that acts.
    SINGLE_OWNER = "single_owner"
    # The bytes of buffered answers stay within the memory budget.
    ANSWER_MEMORY = "answer_memory"


class InvariantBreachError(AssertionError):
    """Raised when an invariant does not hold and breaches are to raise."""


class _BreachState:
    """Process-wide count of breaches and the switch that makes them raise.

    Attributes:
        breaches: Number of breaches by invariant.
        raise_on_breach: Whether a breach raises an exception.
    """

    __slots__ = ("breaches", "raise_on_breach")

    def __init__(self) -> None:
        self.breaches: dict[Invariant, int] = {}
        self.raise_on_breach = False


_STATE = _BreachState()


def set_raise_on_breach(enabled: bool) -> None:
    """Sets whether a breach raises an exception; tests and soaks enable it."""
    _STATE.raise_on_breach = enabled


def raises_on_breach() -> bool:
    """Returns whether a breach raises an exception."""
    return _STATE.raise_on_breach


def breach_count(invariant: Invariant) -> int:
    """Returns the number of breaches of `invariant` in this process."""
    return _STATE.breaches.get(invariant, 0)


def check(holds: bool, invariant: Invariant, detail: str) -> None:
    """Counts and logs a breach of `invariant` if `holds` is false.

    Args:
        holds: The condition that must be true.
        invariant: Invariant that the condition belongs to.
        detail: Description of the breach with the values concerned.

    Raises:
        InvariantBreachError: If `holds` is false and breaches are to raise.
    """
    if holds:
        return
    _STATE.breaches[invariant] = breach_count(invariant) + 1
    _LOGGER.error(
        "invariant_breach",
        extra={"invariant": invariant.value, "detail": detail},
    )
    if _STATE.raise_on_breach:
        raise InvariantBreachError(f"{invariant.value}: {detail}")
