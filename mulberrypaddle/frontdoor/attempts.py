"""The execution state of every attempt made for one request."""

from __future__ import annotations

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import Problem, Ran
from mulberrypaddle.core.request import AttemptState

_KNOWN_NOT_RUN = frozenset({AttemptState.UNSENT, AttemptState.REFUSED})


class AttemptHistory:
    """The states of all attempts of one request, in the order of sending.

    Attributes:
        states: One entry per attempt. An entry is MAYBE_RUN from just before
            the attempt is sent until its outcome is recorded.
    """

    __slots__ = ("states",)

    def __init__(self) -> None:
        self.states: list[AttemptState] = []

    def record_start(self) -> None:
        """Adds an attempt that is about to be sent, as MAYBE_RUN."""
        self.states.append(AttemptState.MAYBE_RUN)

    def record_outcome(self, state: AttemptState) -> None:
        """Sets the final state of the latest attempt."""
        self.states[-1] = state

    @property
    def known_not_run(self) -> bool:
        """Returns whether no attempt can have been executed by a runner."""
        return all(state in _KNOWN_NOT_RUN for state in self.states)

    @property
    def combined_state(self) -> AttemptState:
        """Returns what all attempts together say about execution.

        DONE if any attempt completed, UNSENT if none can have run, and
        otherwise MAYBE_RUN.
        """
        if AttemptState.DONE in self.states:
            return AttemptState.DONE
        if self.known_not_run:
            return AttemptState.UNSENT
        return AttemptState.MAYBE_RUN

    def correct_ran(self, problem: Problem) -> Problem:
        """Replaces "not run" by "unknown" if any attempt may have run."""
        if problem.ran is not Ran.NOT_RUN or self.known_not_run:
            return problem
        return Problem(problem.kind, problem.detail, ran=Ran.UNKNOWN)

    def check_refusal(self, problem: Problem) -> None:
        """Asserts that a refusal to be sent does not falsely say "not run"."""
        invariants.check(
            problem.ran is not Ran.NOT_RUN or self.known_not_run,
            invariants.Invariant.NOT_RUN_IS_CORRECT,
            f"{problem.kind.value} says not run after "
            f"{[state.value for state in self.states]}",
        )
