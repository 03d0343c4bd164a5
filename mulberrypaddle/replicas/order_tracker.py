"""Tracks orders that were issued but whose effect is not visible yet.

An order is a command to a runner; see `orders`. A runner has at most one
order in flight, so that no order is issued again before its effect could be
seen, and no order overtakes another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    GroupOrder,
    JoinGroup,
    OpenGroup,
    StageModel,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.runners import RunnerEntry

# Time within which the effect of an accepted order must show in the runner's
# report. The runner updates the report at once; routers read it some hundred
# milliseconds later.
ORDER_VISIBLE_SECONDS = 1.5

# Pause after a refused order: the report that explains the refusal is about to
# arrive.
REFUSED_PAUSE_SECONDS = 0.3

# Pause after an order that the runner's own report contradicts: its next
# heartbeat corrects the entry that the order was based on.
CONTRADICTED_PAUSE_SECONDS = 1.2

# Pause after a refused load of weights; loads take ten seconds and more.
REFUSED_STAGE_PAUSE_SECONDS = 2.0


class Directive:
    """An order (command) together with the runner that it is sent to.

    Attributes:
        runner: The runner, with its last report.
        order: The order to send.
        reason: Why the order is issued, in a few words, for the log.
    """

    __slots__ = ("order", "reason", "runner")

    def __init__(
        self, runner: RunnerEntry, order: GroupOrder, *, reason: str
    ) -> None:
        self.runner = runner
        self.order = order
        self.reason = reason


class _InFlightOrder:
    """An order whose effect is not visible yet.

    Attributes:
        order: The order.
        expires_at_seconds: Monotonic time after which it is no longer awaited.
        awaits_answer: Whether only its answer ends the wait, as the runner's
            report already showed the ordered state when it was issued.
    """

    __slots__ = ("awaits_answer", "expires_at_seconds", "order")

    def __init__(
        self,
        order: GroupOrder,
        expires_at_seconds: float,
        *,
        awaits_answer: bool,
    ) -> None:
        self.order = order
        self.expires_at_seconds = expires_at_seconds
        self.awaits_answer = awaits_answer


class OrderTracker:
    """Tracks the order in flight, if any, of each runner incarnation."""

    __slots__ = ("_undelivered", "_in_flight")

    def __init__(self) -> None:
        self._in_flight: dict[tuple[str, int | None], _InFlightOrder] = {}
        self._undelivered: list[Directive] = []

    def issue(
        self,
        runner: RunnerEntry,
        order: GroupOrder,
        *,
        reason: str,
        now_seconds: float,
        expected_seconds: float = 0.0,
    ) -> bool:
        """Queues an order unless the runner already has one in flight.

        Args:
            runner: Runner that the order is for.
            order: The order to send.
            reason: Why it is issued, in a few words, for the log.
            now_seconds: Monotonic time.
            expected_seconds: How long the runner needs to carry it out.

        Returns:
            Whether the order was queued.
        """
        if runner.incarnation in self._in_flight:
            return False
        self._in_flight[runner.incarnation] = _InFlightOrder(
            order,
            now_seconds + ORDER_VISIBLE_SECONDS + expected_seconds,
            awaits_answer=_effect_is_visible(runner, order),
        )
        self._undelivered.append(Directive(runner, order, reason=reason))
        return True

    def pop_issued(self) -> list[Directive]:
        """Removes and returns the orders issued since the last call."""
        undelivered, self._undelivered = self._undelivered, []
        return undelivered

    def record_refusal(self, directive: Directive, now_seconds: float) -> None:
        """Ends the wait for a refused order after a short pause.

        The runner can then get another order.
        """
        in_flight = self._in_flight.get(directive.runner.incarnation)
        if in_flight is None or in_flight.order is not directive.order:
            return
        pause_seconds = REFUSED_PAUSE_SECONDS
        if isinstance(directive.order, StageModel):
            # The runner is loading other weights, perhaps on the order of a
            # previous owner.
            pause_seconds = REFUSED_STAGE_PAUSE_SECONDS
        in_flight.expires_at_seconds = now_seconds + pause_seconds

    def record_contradiction(
        self, directive: Directive, now_seconds: float
    ) -> None:
        """Ends the wait for an order that was not sent, after a pause."""
        in_flight = self._in_flight.get(directive.runner.incarnation)
        if in_flight is None or in_flight.order is not directive.order:
            return
        in_flight.expires_at_seconds = now_seconds + CONTRADICTED_PAUSE_SECONDS

    def record_acceptance(self, directive: Directive) -> None:
        """Ends the wait for an order whose effect showed before it was sent."""
        in_flight = self._in_flight.get(directive.runner.incarnation)
        if in_flight is None or in_flight.order is not directive.order:
            return
        if in_flight.awaits_answer:
            self.forget(directive.runner)

    def record_unanswered(self, directive: Directive) -> None:
        """Ends the wait for an order without an answer, so that it is repeated.

        The runner may have carried it out, or may do so later. A load of
        weights is not repeated, as it would show only when it is done.
        """
        in_flight = self._in_flight.get(directive.runner.incarnation)
        if in_flight is None or in_flight.order is not directive.order:
            return
        if not isinstance(directive.order, StageModel):
            self.forget(directive.runner)

    def prune(self, entries: list[RunnerEntry], now_seconds: float) -> None:
        """Drops orders that took effect, have expired or lost their runner.

        Args:
            entries: Current reports of all runners that may get orders.
            now_seconds: Monotonic time.
        """
        by_incarnation = {entry.incarnation: entry for entry in entries}
        for incarnation, in_flight in list(self._in_flight.items()):
            entry = by_incarnation.get(incarnation)
            if (
                entry is None
                or now_seconds >= in_flight.expires_at_seconds
                or (
                    not in_flight.awaits_answer
                    and _effect_is_visible(entry, in_flight.order)
                )
            ):
                del self._in_flight[incarnation]

    def forget(self, runner: RunnerEntry) -> None:
        """Forgets a runner's order in flight, so that a new one can follow."""
        self._in_flight.pop(runner.incarnation, None)

    def busy_runner_ids(self) -> set[str]:
        """Returns the ids of the runners with an order in flight."""
        return {incarnation[0] for incarnation in self._in_flight}

    def loading_models(self) -> dict[str, str]:
        """Returns the model that is being loaded, by runner id."""
        return {
            incarnation[0]: in_flight.order.model
            for incarnation, in_flight in self._in_flight.items()
            if isinstance(in_flight.order, StageModel)
        }

    def expected_load_ends(self, model: str) -> list[float]:
        """Returns the expected ends (monotonic) of the loads of a model."""
        return [
            in_flight.expires_at_seconds - ORDER_VISIBLE_SECONDS
            for in_flight in self._in_flight.values()
            if isinstance(in_flight.order, StageModel)
            and in_flight.order.model == model
        ]


def _effect_is_visible(entry: RunnerEntry, order: GroupOrder) -> bool:
    """Returns whether a runner's report shows the effect of an order."""
    if isinstance(order, StageModel):
        return order.model in entry.staged
    group = entry.group
    if isinstance(order, JoinGroup):
        return group is not None and group.epoch >= order.epoch
    if isinstance(order, OpenGroup):
        return group is not None and group.state is MembershipState.OPEN
    if isinstance(order, CloseGroup):
        return group is None or group.state is not MembershipState.OPEN
    return group is None
