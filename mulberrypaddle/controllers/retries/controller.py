"""The retries controller of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.retries.budget import RetryBudget
from mulberrypaddle.core.request import AttemptState

if TYPE_CHECKING:
    from mulberrypaddle.core.request import Request

MAX_ATTEMPTS = 3
# Waits are drawn from zero to this, doubled with each attempt.
BACKOFF_SECONDS = 0.025
MAX_BACKOFF_SECONDS = 1.0
SWEEP_SECONDS = 30.0

_SURELY_NOT_RUN = (AttemptState.UNSENT, AttemptState.REFUSED)


class Retries(Controller):
    """Allows retries within a budget per organisation and per service.

    An attempt that never reached its runner costs no budget: another one
    adds nothing to the load that was offered.

    Args:
        context: This router's context.
        has_budget: Whether the budget holds; only tests switch it off.
    """

    name = "retries"

    def __init__(self, context: Context, *, has_budget: bool = True) -> None:
        super().__init__(context)
        self._has_budget = has_budget
        self._organisations: dict[tuple[str, str], RetryBudget] = {}
        self._services: dict[str, RetryBudget] = {}
        self._next_sweep_seconds = 0.0

    def step(self, now_seconds: float) -> None:
        """Forgets budgets whose window is empty."""
        if now_seconds < self._next_sweep_seconds:
            return
        self._next_sweep_seconds = now_seconds + SWEEP_SECONDS
        for name, budget in list(self._organisations.items()):
            if budget.is_idle(now_seconds):
                del self._organisations[name]
        for service, budget in list(self._services.items()):
            if budget.is_idle(now_seconds):
                del self._services[service]

    def started(self, request: Request) -> None:
        """Counts the first attempt of a request."""
        now_seconds = self.context.now_seconds()
        for budget in self._budgets(request):
            budget.add_request(now_seconds)

    def may_retry(
        self, request: Request, state: AttemptState, *, attempts: int
    ) -> float | None:
        """Decides whether a failed attempt is followed by another.

        Args:
            request: The request.
            state: What is known about the failed attempt's execution.
            attempts: Attempts made so far.

        Returns:
            Seconds to wait before the next attempt, or None for none.
        """
        surely_not_run = state in _SURELY_NOT_RUN
        if attempts >= MAX_ATTEMPTS:
            self._deny(request, "attempts used up")
            return None
        if not request.idempotent and not surely_not_run:
            return None
        now_seconds = self.context.now_seconds()
        wait_seconds = self._backoff_seconds(attempts)
        if now_seconds + wait_seconds >= request.deadline_at_seconds:
            self._deny(request, "deadline too near")
            return None
        if state is AttemptState.UNSENT or not self._has_budget:
            return wait_seconds
        budgets = self._budgets(request)
        for budget in budgets:
            if not budget.has_room(now_seconds):
                self._deny(request, "retry budget used up")
                return None
        for budget in budgets:
            budget.add_retry(now_seconds)
        return wait_seconds

    def _backoff_seconds(self, attempts: int) -> float:
        longest_seconds = min(
            BACKOFF_SECONDS * 2**attempts, MAX_BACKOFF_SECONDS
        )
        return self.context.rng.uniform(0.0, longest_seconds)

    def _deny(self, request: Request, reason: str) -> None:
        self.context.decide(
            "retry",
            subject=request.request_id,
            outcome="denied",
            reason=reason,
            organisation=request.organisation,
            service=request.service,
        )

    def _budgets(self, request: Request) -> tuple[RetryBudget, RetryBudget]:
        name = (request.organisation, request.service)
        return (
            self._organisations.setdefault(name, RetryBudget()),
            self._services.setdefault(request.service, RetryBudget()),
        )
