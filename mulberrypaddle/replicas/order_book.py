"""Orders that were given and whose effect is awaited.

One order at a time is under way at a runner, so that none is given twice before
its effect could be seen, and none overtakes another.
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

# Time until an order that was accepted must show in the runner's report;
# it is written there at once and read some hundred milliseconds later.
ORDER_SHOWS_SECONDS = 1.5

# Pause after a refused order: the report that explains it is on its way.
REFUSED_PAUSE_SECONDS = 0.3

# Pause after a refused load; loads take ten seconds and more.
REFUSED_STAGE_PAUSE_SECONDS = 2.0


class Directive:
    """One order for one runner.

    Attributes:
        runner: The runner, with what it last reported.
        order: What it is to do.
        reason: Why, in a few words, for the log.
    """

    __slots__ = ("order", "reason", "runner")

    def __init__(
        self, runner: RunnerEntry, order: GroupOrder, *, reason: str
    ) -> None:
        self.runner = runner
        self.order = order
        self.reason = reason


class _UnderWay:
    """An order to a runner whose effect is awaited."""

    __slots__ = ("order", "until_seconds")

    def __init__(self, order: GroupOrder, until_seconds: float) -> None:
        self.order = order
        self.until_seconds = until_seconds


class OrderBook:
    """The orders under way, by life of the runner."""

    __slots__ = ("_new", "_under_way")

    def __init__(self) -> None:
        self._under_way: dict[tuple[str, int | None], _UnderWay] = {}
        self._new: list[Directive] = []

    def give(
        self,
        runner: RunnerEntry,
        order: GroupOrder,
        *,
        reason: str,
        now_seconds: float,
        takes_seconds: float = 0.0,
    ) -> bool:
        """Gives an order unless one is under way at the runner.

        Args:
            runner: Who gets it.
            order: What it is to do.
            reason: Why, in a few words, for the log.
            now_seconds: Monotonic time.
            takes_seconds: How long the runner takes before the effect shows.

        Returns:
            Whether it was given.
        """
        if runner.life in self._under_way:
            return False
        self._under_way[runner.life] = _UnderWay(
            order, now_seconds + ORDER_SHOWS_SECONDS + takes_seconds
        )
        self._new.append(Directive(runner, order, reason=reason))
        return True

    def take_new(self) -> list[Directive]:
        """Returns the orders that were given since the last call."""
        new, self._new = self._new, []
        return new

    def refused(self, directive: Directive, now_seconds: float) -> None:
        """Takes that a runner did not carry an order out."""
        work = self._under_way.get(directive.runner.life)
        if work is None or work.order is not directive.order:
            return
        pause = REFUSED_PAUSE_SECONDS
        if isinstance(directive.order, StageModel):
            # Another load is under way, perhaps by an owner before this one.
            pause = REFUSED_STAGE_PAUSE_SECONDS
        work.until_seconds = now_seconds + pause

    def settle(self, entries: list[RunnerEntry], now_seconds: float) -> None:
        """Strikes out orders that show, that are overdue or lost their runner.

        Args:
            entries: All runners of the service, as they report themselves.
            now_seconds: Monotonic time.
        """
        by_life = {entry.life: entry for entry in entries}
        for life, work in list(self._under_way.items()):
            entry = by_life.get(life)
            if (
                entry is None
                or now_seconds >= work.until_seconds
                or _shows(entry, work.order)
            ):
                del self._under_way[life]

    def replace(self, runner: RunnerEntry) -> None:
        """Strikes out what is under way at a runner; a new order follows."""
        self._under_way.pop(runner.life, None)

    def runner_ids(self) -> set[str]:
        """Returns the runners with an order under way."""
        return {life[0] for life in self._under_way}

    def loading(self) -> dict[str, str]:
        """Returns the model that a runner loads, by its id."""
        return {
            life[0]: work.order.model
            for life, work in self._under_way.items()
            if isinstance(work.order, StageModel)
        }

    def load_ends(self, model: str) -> list[float]:
        """Returns when the loads of a model are expected to end."""
        return [
            work.until_seconds - ORDER_SHOWS_SECONDS
            for work in self._under_way.values()
            if isinstance(work.order, StageModel) and work.order.model == model
        ]


def _shows(entry: RunnerEntry, order: GroupOrder) -> bool:
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
