"""Decides how many runners of a service each data centre is to have.

The loads and failures that it answers: demand that grows over minutes, bursts
of a few seconds, the loss or evacuation of a data centre, members of groups
that are lost all the time, and capacity that nobody uses. It calls nothing and
reads no clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.duties.demand_history import TREND_SECONDS
from mulberrypaddle.duties.group_quotas import (
    DataCentreRunners,
    quotas_for,
    runners_short,
)
from mulberrypaddle.replicas.retirement import MOST_MISSING

if TYPE_CHECKING:
    from mulberrypaddle.duties.demand_history import ModelNeed
    from mulberrypaddle.fleet.config import (
        EngineTraits,
        ScalingLimits,
    )

# Time from the start of a holding in which nothing is lowered: what the holder
# before has ordered is not known.
LEAST_HELD_SECONDS = 5.0

# Time between two lowerings of one service, in which groups settle.
LOWER_PAUSE_SECONDS = 3.0

# Time after the loss or evacuation of a data centre in which nothing is
# lowered: data centres that come back often go again.
CALM_AFTER_LOSS_SECONDS = 15.0

# Time for which groups must have been missing until runners are ordered for
# them: a spare lets a group be formed again in about 2 s.
SHORT_SECONDS = 5.0

# Time for which the runners to be taken must have been in no group: an order to
# join one may be on its way, and their reports take some tenths of a second.
UNUSED_SECONDS = 1.5

# Time beyond their start-up after which missing runners are ordered once more:
# the platform replaces those that are lost for good itself.
MISSING_GRACE_SECONDS = 6.0


class CountDecision:
    """What a service needs at one time.

    Attributes:
        desired: Number of runners that each data centre needs.
        orders: Number that each data centre is to have now; it is above the
            desired one while runners to be taken away are in use.
        keep: Number of the ordered runners that stay, by data centre; the
            others are to be freed before they are taken away.
        least_groups: Groups that must serve, by data centre and model.
        fleet: The runners that the decision was made for.
        needs: The need that it was made for, by model.
        reason: Why, in a few words, for the log.
    """

    __slots__ = (
        "desired",
        "fleet",
        "keep",
        "least_groups",
        "needs",
        "orders",
        "reason",
    )

    def __init__(
        self,
        *,
        desired: dict[str, int],
        orders: dict[str, int],
        keep: dict[str, int],
        least_groups: dict[str, dict[str, int]],
        fleet: dict[str, DataCentreRunners],
        needs: dict[str, ModelNeed],
        reason: str,
    ) -> None:
        self.desired = desired
        self.orders = orders
        self.keep = keep
        self.least_groups = least_groups
        self.fleet = fleet
        self.needs = needs
        self.reason = reason


class RunnerCountPlanner:
    """Decides the numbers of one service, with a memory of recent decisions.

    The same observations at the same times give the same decisions.
    """

    __slots__ = (
        "_disturbed_at_seconds",
        "_limits",
        "_lowered_at_seconds",
        "_missing",
        "_safe",
        "_short",
        "_traits",
        "_wanted",
    )

    def __init__(self, traits: EngineTraits, limits: ScalingLimits) -> None:
        """Creates a planner without a memory.

        Args:
            traits: Traits of the service.
            limits: Limits on the number of runners of a data centre.
        """
        self._traits = traits
        self._limits = limits
        # Numbers that were needed, missing runners and lowest safe numbers of
        # the recent past, with their times, by data centre.
        self._wanted: dict[str, list[tuple[float, int]]] = {}
        self._missing: dict[str, list[tuple[float, int]]] = {}
        self._safe: dict[str, list[tuple[float, int]]] = {}
        self._short: dict[str, list[tuple[float, int]]] = {}
        self._disturbed_at_seconds = -math.inf
        self._lowered_at_seconds = -math.inf

    def follow(self, traits: EngineTraits, limits: ScalingLimits) -> None:
        """Takes over another configuration of the service."""
        self._traits = traits
        self._limits = limits

    @property
    def horizon_seconds(self) -> float:
        """Returns the time from an order until a new runner may serve.

        A number that was lowered by mistake is back only after this time.
        """
        load_seconds = max(
            spec.load_seconds for spec in self._traits.models.values()
        )
        return self._limits.startup_seconds + load_seconds

    @property
    def evidence_seconds(self) -> float:
        """Returns for how long demand and need must be known before a lowering.

        That is, until the whole history is there from which they are forecast,
        and for as long as it takes to order what was given back by mistake.
        """
        return max(self.horizon_seconds, TREND_SECONDS)

    def decide(
        self,
        fleet: dict[str, DataCentreRunners],
        needs: dict[str, ModelNeed],
        *,
        known_seconds: float,
        may_lower: bool,
        held_seconds: float,
        now_seconds: float,
        loss_chances: dict[str, float] | None = None,
    ) -> CountDecision:
        """Returns what the service needs now.

        Args:
            fleet: All data centres of the deployment.
            needs: Expected need of each model.
            known_seconds: For how long demand has been known; 0 if it is not.
            may_lower: Whether the demand of nearly all routers and the present
                runners are known.
            held_seconds: For how long this router has decided.
            now_seconds: Monotonic time.
            loss_chances: Chance that a group loses a member in the time that a
                runner takes to load the weights, by model; None for none.
        """
        ordered = {name: runners.ordered for name, runners in fleet.items()}
        active = {
            name: runners
            for name, runners in fleet.items()
            if not runners.evacuated and not runners.is_lost
        }
        if len(active) < len(fleet):
            self._disturbed_at_seconds = now_seconds
        if known_seconds <= 0 or not active:
            self._wanted.clear()
            return CountDecision(
                desired=ordered,
                orders=ordered,
                keep={},
                least_groups={},
                fleet=fleet,
                needs=needs,
                reason="demand is unknown" if active else "no data centre",
            )
        quotas = quotas_for(
            needs,
            traits=self._traits,
            limits=self._limits,
            fleet=active,
            data_centres=len(fleet),
            loss_chances={},
        )
        quotas_with_losses = quotas_for(
            needs,
            traits=self._traits,
            limits=self._limits,
            fleet=active,
            data_centres=len(fleet),
            loss_chances=loss_chances or {},
        )
        desired = dict(ordered)
        for name, quota in quotas.items():
            wanted = quota.runners + self._lasting(
                self._missing,
                name,
                fleet[name].missing,
                self._limits.startup_seconds + MISSING_GRACE_SECONDS,
                now_seconds,
            )
            short = self._lasting(
                self._short,
                name,
                runners_short(
                    quota.groups,
                    specs=self._traits.models,
                    present=fleet[name],
                ),
                SHORT_SECONDS,
                now_seconds,
            )
            if short:
                wanted = max(wanted, len(fleet[name].domains) + short)
            # Groups that wait for members need runners to spare: that keeps
            # runners, but none is ordered for it.
            spared = quotas_with_losses[name].runners
            wanted = max(wanted, min(spared, fleet[name].ordered))
            wanted = min(wanted, self._limits.max_runners)
            desired[name] = self._highest_recent(
                self._wanted, name, wanted, self.evidence_seconds, now_seconds
            )
        safe = {
            name: self._highest_recent(
                self._safe,
                name,
                runners.lowest_safe,
                UNUSED_SECONDS,
                now_seconds,
            )
            for name, runners in active.items()
        }
        orders = dict(ordered)
        raised = {name for name in active if desired[name] > ordered[name]}
        for name in raised:
            # It may still be below what the platform holds.
            orders[name] = max(
                desired[name], min(safe[name], fleet[name].ceiling)
            )
        held_back = self._reason_not_to_lower(
            known_seconds=known_seconds,
            may_lower=may_lower,
            held_seconds=held_seconds,
            now_seconds=now_seconds,
        )
        keep = {name: ordered[name] for name in active}
        lowered: set[str] = set()
        may_order = (
            now_seconds - self._lowered_at_seconds >= LOWER_PAUSE_SECONDS
        )
        for name in active:
            if held_back is not None or desired[name] >= ordered[name]:
                continue
            if fleet[name].missing > MOST_MISSING:
                continue
            keep[name] = desired[name]
            if may_order and max(desired[name], safe[name]) < ordered[name]:
                orders[name] = max(desired[name], safe[name])
                lowered.add(name)
        if lowered:
            self._lowered_at_seconds = now_seconds
        reason = "steady"
        if raised:
            reason = "more is needed"
            if len(active) < len(fleet):
                reason = "a data centre is lost or evacuated"
        elif lowered:
            reason = "less is needed"
        elif any(desired[name] < ordered[name] for name in active):
            reason = held_back or "runners to be taken are in use"
        return CountDecision(
            desired=desired,
            orders=orders,
            keep=keep,
            least_groups={name: quotas[name].groups for name in quotas},
            fleet=fleet,
            needs=needs,
            reason=reason,
        )

    def _reason_not_to_lower(
        self,
        *,
        known_seconds: float,
        may_lower: bool,
        held_seconds: float,
        now_seconds: float,
    ) -> str | None:
        """Returns why nothing may be lowered now; None if it may."""
        if not may_lower:
            return "some routers or the store are not heard of"
        if known_seconds < self.evidence_seconds:
            return "demand is not known for long"
        if held_seconds < LEAST_HELD_SECONDS:
            return "the holder is new"
        if now_seconds - self._disturbed_at_seconds < CALM_AFTER_LOSS_SECONDS:
            return "a data centre was lost or evacuated"
        return None

    def _highest_recent(
        self,
        memory: dict[str, list[tuple[float, int]]],
        name: str,
        value: int,
        span_seconds: float,
        now_seconds: float,
    ) -> int:
        """Records a value; returns the highest one within a time.

        Args:
            memory: Recent values with their times, by data centre.
            name: Name of the data centre.
            value: Present value.
            span_seconds: The time.
            now_seconds: Monotonic time.
        """
        recent = memory.setdefault(name, [])
        recent.append((now_seconds, value))
        recent[:] = [
            (at_seconds, count)
            for at_seconds, count in recent
            if at_seconds > now_seconds - span_seconds
        ]
        return max(count for _, count in recent)

    def _lasting(
        self,
        memory: dict[str, list[tuple[float, int]]],
        name: str,
        value: int,
        span_seconds: float,
        now_seconds: float,
    ) -> int:
        """Records a value; returns the least one of a time.

        Args:
            memory: Recent values with their times, by data centre.
            name: Name of the data centre.
            value: Present value.
            span_seconds: The time; 0 is returned before it has passed.
            now_seconds: Monotonic time.
        """
        recent = memory.setdefault(name, [])
        recent.append((now_seconds, value))
        while len(recent) > 1 and recent[1][0] <= now_seconds - span_seconds:
            del recent[0]
        if recent[0][0] > now_seconds - span_seconds:
            return 0
        return min(count for _, count in recent)
