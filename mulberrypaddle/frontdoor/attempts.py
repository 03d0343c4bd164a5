"""What is known about the attempts of one request."""

from __future__ import annotations

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import Problem, Ran
from mulberrypaddle.core.request import AttemptState

_SURELY_NOT_RUN = frozenset({AttemptState.UNSENT, AttemptState.REFUSED})


class AttemptHistory:
    """The states of all attempts of one request, in order.

    Attributes:
        states: One for each attempt; MAYBE_RUN from before it is sent.
    """

    __slots__ = ("states",)

    def __init__(self) -> None:
        self.states: list[AttemptState] = []

    def begin(self) -> None:
        """Notes that an attempt is about to be sent."""
        self.states.append(AttemptState.MAYBE_RUN)

    def end(self, state: AttemptState) -> None:
        """Notes what is known now about the latest attempt."""
        self.states[-1] = state

    @property
    def surely_not_run(self) -> bool:
        """Returns whether no attempt can have been executed."""
        return all(state in _SURELY_NOT_RUN for state in self.states)

    @property
    def worst(self) -> AttemptState:
        """Returns what is known about execution over all attempts."""
        if AttemptState.DONE in self.states:
            return AttemptState.DONE
        if self.surely_not_run:
            return AttemptState.UNSENT
        return AttemptState.MAYBE_RUN

    def make_true(self, problem: Problem) -> Problem:
        """Returns the problem without a "not run" that may be false."""
        if problem.ran is not Ran.NOT_RUN or self.surely_not_run:
            return problem
        return Problem(problem.kind, problem.detail, ran=Ran.UNKNOWN)

    def check_refusal(self, problem: Problem) -> None:
        """Asserts, where a refusal is sent, that its statement is true."""
        invariants.check(
            problem.ran is not Ran.NOT_RUN or self.surely_not_run,
            invariants.Invariant.TRUE_NOT_RUN,
            f"{problem.kind.value} says not run after "
            f"{[state.value for state in self.states]}",
        )
