"""The part of one request in the competition of urgency ranks for slots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.rank_competition import Contender
from mulberrypaddle.dispatch.rank_shares import (
    is_protected,
    promotion_seconds,
)
from mulberrypaddle.dispatch.wait_queue import (
    Waiter,
    queue_name,
    queue_sort_key,
)
from mulberrypaddle.serving.metrics import RANK_DECISIONS

if TYPE_CHECKING:
    from mulberrypaddle.dispatch import RunnerRequirements, WaitQueue
    from mulberrypaddle.dispatch.rank_competition import QueueOutlook
    from mulberrypaddle.serving.admission import Admission
    from mulberrypaddle.serving.blackboard import Blackboard

# Urgency and rank of a request that is sent again: its caller has been waiting
# already.
RETRY_URGENCY = 0
RETRY_RANK = 0


class RequestContention:
    """Decides for one request whether it may take a slot or has to wait.

    Where ranks do not compete, or no other router is heard, only the requests
    in the queue of this router count.

    Attributes:
        terms: Terms on which the request was admitted; None until then.
    """

    __slots__ = (
        "_board",
        "_has_waited",
        "_held_count",
        "_is_protected",
        "_is_retry",
        "_level",
        "_model",
        "terms",
    )

    def __init__(self, board: Blackboard, *, model: str) -> None:
        self._board = board
        self._model = model
        self.terms: Admission | None = None
        # Whether the request was sent to a runner before.
        self._is_retry = False
        # Whether it waited in the queue of this router.
        self._has_waited = False
        # Whether it is served also while more urgent ones could fill all slots.
        self._is_protected = False
        # How often it was not allowed to take a slot at once, and its level at
        # the last decision; None before the first.
        self._held_count = 0
        self._level: int | None = None

    def start_wait(self, arrived_at_seconds: float, *, is_retry: bool) -> float:
        """Begins the search for a runner.

        Args:
            arrived_at_seconds: Loop time at which the request arrived.
            is_retry: Whether it was sent to a runner before.

        Returns:
            The sort key of the request in the queue.
        """
        self._is_retry = is_retry
        return queue_sort_key(
            arrived_at_seconds=arrived_at_seconds,
            urgency=RETRY_URGENCY if is_retry else self._terms.urgency,
            busy_seconds=self._terms.busy_seconds,
        )

    def make_waiter(self, sort_key: float, *, until_seconds: float) -> Waiter:
        """Returns the request as it waits in the queue.

        Args:
            sort_key: Its sort key there.
            until_seconds: Loop time at which waiting ends.
        """
        self._has_waited = True
        self.count_decision("waited")
        return Waiter(
            sort_key,
            on_time_until_seconds=self._terms.on_time_until_seconds,
            until_seconds=until_seconds,
            wait_result=self._board.loop.create_future(),
            rank=self._rank,
            organisation=self._terms.organisation,
            promoted_at_seconds=promotion_seconds(
                now_seconds=self._board.now(), until_seconds=until_seconds
            )
            if self._is_protected
            else math.inf,
        )

    def log_fields(self) -> dict[str, object]:
        """Returns for the log how the request competed; empty if it did not."""
        if self.terms is None or self.terms.rank is None:
            return {}
        return {
            "rank": self.terms.rank,
            "level": -1 if self._level is None else self._level,
            "held": self._held_count,
        }

    def record_arrival(self, now_seconds: float) -> None:
        """Records the arrival of the request, also as demand for its model."""
        self._board.demand.record_arrival(
            self._model,
            busy_seconds=self._terms.busy_seconds,
            now_seconds=now_seconds,
        )
        if self._terms.rank is not None:
            self._is_protected = is_protected(
                self._terms.rank, chance=self._board.rng.random()
            )
            self._board.competition.record_arrival(
                self._queue_name,
                self._terms.rank,
                now_seconds=now_seconds,
            )

    def record_begin(self) -> None:
        """Records that the request begins to use a slot."""
        if not (self._has_waited or self._is_retry):
            self.count_decision("sent_at_once")
        if self._terms.rank is not None:
            self._board.competition.record_begin(
                self._queue_name, self._terms.rank, self._terms.organisation
            )

    def record_end(self) -> None:
        """Records that the request no longer uses its slot."""
        if self._terms.rank is not None:
            self._board.competition.record_end(
                self._queue_name, self._terms.rank, self._terms.organisation
            )

    def count_decision(self, decision: str) -> None:
        """Counts a decision in the metrics, if ranks compete."""
        if self.terms is not None and self.terms.rank is not None:
            RANK_DECISIONS.labels(
                self.terms.service.name, str(self.terms.rank), decision
            ).inc()

    def count_answer(self, first_byte_seconds: float) -> None:
        """Counts an answer in the metrics, if ranks compete.

        Args:
            first_byte_seconds: Time from the arrival to the first byte.
        """
        late = first_byte_seconds > self._terms.route.target_seconds
        self.count_decision("answered_late" if late else "answered_in_time")

    def may_take_slot(
        self,
        requirements: RunnerRequirements,
        queue: WaitQueue,
        sort_key: float,
        *,
        now_seconds: float,
    ) -> bool:
        """Returns whether the request may take a free slot without waiting.

        Args:
            requirements: Criteria for the runner.
            queue: Queue of this router for the service and model.
            sort_key: Position of the request in the queue.
            now_seconds: Loop time.
        """
        outlook = self._outlook()
        if outlook is None:
            ahead = queue.count_ahead(
                sort_key,
                on_time=now_seconds <= self._terms.on_time_until_seconds,
                now_seconds=now_seconds,
            )
            return ahead == 0
        board = self._board
        contender = self._contender(sort_key)
        level = self._level = outlook.level(contender)
        allowed = outlook.count_ahead(contender) == 0
        if allowed and level:
            free_slots = board.chooser.free_capacity(
                requirements,
                routers=board.live_routers,
                now_seconds=now_seconds,
            )
            chance = outlook.division.direct_chance(
                free_slots, level, local_ahead=0
            )
            allowed = board.rng.random() < chance
        if not allowed:
            self._held_count += 1
            self.count_decision("held")
        return allowed

    def competing(
        self,
        queue: WaitQueue,
        sort_key: float,
        *,
        on_time: bool,
        now_seconds: float,
    ) -> tuple[int, float]:
        """Returns what competes with the request if it waits.

        Args:
            queue: Queue of this router for the service and model.
            sort_key: Position of the request in the queue.
            on_time: Whether it can meet its latency target.
            now_seconds: Loop time.

        Returns:
            The number of waiting requests with priority over it, over all
            routers, and the slots demanded by newer requests with priority.
        """
        board = self._board
        outlook = self._outlook()
        if outlook is not None:
            contender = self._contender(sort_key)
            if not on_time:
                contender.on_time_until_seconds = -math.inf
            return (
                outlook.count_ahead_in_fleet(contender),
                outlook.urgent_slots(
                    contender,
                    busy_seconds=self._terms.busy_seconds,
                ),
            )
        ahead = queue.count_ahead(
            sort_key, on_time=on_time, now_seconds=now_seconds
        )
        if on_time:
            # On average, each other router has as many requests waiting that
            # can meet their target.
            return ahead * board.live_routers, 0.0
        newer_slots = board.demand.total_slots(now_seconds).get(
            self._model, 0.0
        )
        ahead += board.others_waiting(self._terms.service.name, self._model)
        return ahead, newer_slots

    @property
    def _terms(self) -> Admission:
        """Returns the terms on which the request was admitted."""
        assert self.terms is not None
        return self.terms

    @property
    def _rank(self) -> int:
        """Returns the rank with which the request waits; 0 without ranks."""
        return RETRY_RANK if self._is_retry else self._terms.rank or 0

    @property
    def _queue_name(self) -> str:
        """Returns the name of the request's queue in messages."""
        return queue_name(self._terms.service.name, self._model)

    def _outlook(self) -> QueueOutlook | None:
        """Returns the view of the competition; None if there is none."""
        if self._terms.rank is None:
            return None
        return self._board.rank_outlook(self._terms.service.name, self._model)

    def _contender(self, sort_key: float) -> Contender:
        """Returns the request as the competition sees it."""
        return Contender(
            self._rank,
            organisation=self._terms.organisation,
            sort_key=sort_key,
            on_time_until_seconds=self._terms.on_time_until_seconds,
            is_protected=self._is_protected,
        )
