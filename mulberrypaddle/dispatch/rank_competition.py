"""Competition of the urgency ranks of a service for free slots.

Guards against the loss of urgent requests while less urgent ones arrive in
bursts. A router knows its own counts exactly and those of the other routers as
last reported; `SlotDivision` decides with both how many requests of each level
this router may send.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.fair_shares import is_over_fair_share
from mulberrypaddle.dispatch.rank_reports import (
    RankReport,
    decode_counts,
    encode_counts,
)
from mulberrypaddle.dispatch.rank_shares import (
    ArrivalMeter,
    SlotDivision,
    level_of,
    spread_seconds,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from mulberrypaddle.dispatch.wait_queue import Waiter, WaitQueue


class Contender:
    """What the competition for slots knows of one request.

    Attributes:
        rank: Its rank among those of its service, from 0.
        organisation: Name of its organisation; empty if none.
        sort_key: Its position among the requests of its level.
        on_time_until_seconds: Latest monotonic time at which it can be sent and
            still meet its target.
        is_protected: Whether it is one of those that are served also while more
            urgent requests could fill all slots; see `is_protected`.
        promoted_at_seconds: Monotonic time from which it competes with the most
            urgent requests, whatever its rank.
    """

    __slots__ = (
        "is_protected",
        "on_time_until_seconds",
        "organisation",
        "promoted_at_seconds",
        "rank",
        "sort_key",
    )

    def __init__(
        self,
        rank: int,
        *,
        organisation: str,
        sort_key: float,
        on_time_until_seconds: float,
        is_protected: bool = False,
        promoted_at_seconds: float = math.inf,
    ) -> None:
        self.is_protected = is_protected
        self.promoted_at_seconds = promoted_at_seconds
        self.rank = rank
        self.organisation = organisation
        self.sort_key = sort_key
        self.on_time_until_seconds = on_time_until_seconds


class QueueOutlook:
    """View of the competition for one queue, over all routers, at one time.

    Attributes:
        division: Divides the free slots.
    """

    __slots__ = ("_now_seconds", "_queue", "_uses", "division")

    def __init__(
        self,
        queue: WaitQueue,
        *,
        division: SlotDivision,
        uses: Mapping[int, Mapping[str, int]],
        now_seconds: float,
    ) -> None:
        """Creates the view.

        Args:
            queue: Requests that wait in this router.
            division: Divides the free slots.
            uses: Slots in use by organisation over all routers, by rank.
            now_seconds: Monotonic time.
        """
        self.division = division
        self._queue = queue
        self._uses = uses
        self._now_seconds = now_seconds

    def level(self, request: Contender | Waiter) -> int:
        """Returns the level of a request; the smallest is served first."""
        if self._now_seconds >= request.promoted_at_seconds:
            return 0
        return level_of(
            request.rank,
            is_late=self._now_seconds > request.on_time_until_seconds,
            is_over_share=is_over_fair_share(
                self._uses.get(request.rank, {}), request.organisation
            ),
        )

    def levels_waiting(self) -> dict[int, list[Waiter]]:
        """Returns the requests that wait here, by level, each list in order."""
        waiting: dict[int, list[Waiter]] = {}
        for waiter in self._queue.pending():
            waiting.setdefault(self.level(waiter), []).append(waiter)
        return waiting

    def count_ahead(self, request: Contender) -> int:
        """Returns how many requests that wait here come before another one."""
        own = (self.level(request), request.sort_key)
        return sum(
            (self.level(waiter), waiter.sort_key) < own
            for waiter in self._queue.pending()
        )

    def count_ahead_in_fleet(self, request: Contender) -> int:
        """Returns how many requests come before another one, in all routers.

        Half of those of its level that wait elsewhere are taken to be ahead.
        """
        level = self.level(request)
        if request.is_protected:
            level = 0
        return (
            self.count_ahead(request)
            + self.division.waiting_before(level)
            + self.division.elsewhere.waiting.get(level, 0) // 2
            + self.division.elsewhere.unranked // 2
        )

    def urgent_slots(self, request: Contender, *, busy_seconds: float) -> float:
        """Returns the slots that newer requests with priority keep busy.

        Protected requests count none: they must not all be refused while more
        urgent ones could fill all slots.

        Args:
            request: A request that is to wait.
            busy_seconds: How long an average request holds a slot, to which
                the time for which it is reserved is added.
        """
        if request.is_protected:
            return 0.0
        division = self.division
        rate = division.urgent_arrivals_per_second(self.level(request))
        return rate * (busy_seconds + division.spread_seconds)

    def choose_admitted(
        self, free_slots: int, *, elapsed_seconds: float, rng: random.Random
    ) -> list[Waiter]:
        """Returns the requests that wait here and may be sent now.

        Args:
            free_slots: Number of requests that can be sent to runners now.
            elapsed_seconds: Time since the router took its last share.
            rng: Rounds the shares at random.
        """
        admitted: list[Waiter] = []
        local_ahead = 0
        for level, waiters in sorted(self.levels_waiting().items()):
            share = self.division.share(
                free_slots - len(admitted),
                level,
                local_waiting=len(waiters),
                local_ahead=local_ahead,
                elapsed_seconds=elapsed_seconds,
            )
            count = int(share)
            count += rng.random() < share - count
            admitted += waiters[:count]
            local_ahead += len(waiters) - count
        return admitted


class RankCompetition:
    """Counts of this router by queue, and the view of the whole fleet.

    Queues are named as in messages between routers.
    """

    __slots__ = ("_decoded", "_in_use", "_meters", "_share_taken_at_seconds")

    def __init__(self) -> None:
        self._meters: dict[str, ArrivalMeter] = {}
        self._in_use: dict[str, collections.Counter[tuple[int, str]]] = {}
        self._share_taken_at_seconds = 0.0
        # Last reports of the other routers and what they say, by queue. A
        # report is replaced by the next one and never changed.
        self._decoded: dict[
            str, tuple[list[Mapping[str, int]], RankReport]
        ] = {}

    def record_arrival(
        self, queue: str, rank: int, *, now_seconds: float
    ) -> None:
        """Records that a request arrived."""
        self._meters.setdefault(queue, ArrivalMeter()).record(rank, now_seconds)

    def record_begin(self, queue: str, rank: int, organisation: str) -> None:
        """Records that a request begins to use a slot."""
        counts = self._in_use.setdefault(queue, collections.Counter())
        counts[rank, organisation] += 1

    def record_end(self, queue: str, rank: int, organisation: str) -> None:
        """Records that a request no longer uses its slot."""
        counts = self._in_use[queue]
        counts[rank, organisation] -= 1
        if not counts[rank, organisation]:
            del counts[rank, organisation]

    def take_elapsed_seconds(self, now_seconds: float) -> float:
        """Returns the time since the last call, when the last share was taken.

        Args:
            now_seconds: Monotonic time.
        """
        elapsed_seconds = now_seconds - self._share_taken_at_seconds
        self._share_taken_at_seconds = now_seconds
        return elapsed_seconds

    def outlook(
        self,
        name: str,
        queue: WaitQueue,
        reports: Sequence[Mapping[str, int]],
        *,
        routers: int,
        busy_seconds: float,
        now_seconds: float,
    ) -> QueueOutlook:
        """Returns the view of a queue over all routers.

        Args:
            name: Name of the queue.
            queue: Requests that wait in this router.
            reports: Recent waiting counts of the other routers.
            routers: Number of routers that may be alive, including this one.
            busy_seconds: How long an average request holds a slot.
            now_seconds: Monotonic time.
        """
        report = self._decode(name, reports)
        uses = {
            rank: collections.Counter(counts)
            for rank, counts in report.uses.items()
        }
        for (rank, organisation), count in self._in_use.get(name, {}).items():
            by_organisation = uses.setdefault(rank, collections.Counter())
            by_organisation[organisation] += count
        meter = self._meters.get(name)
        division = SlotDivision(
            report.counts,
            local_arrivals=meter.counts(now_seconds) if meter else {},
            spread_seconds=spread_seconds(routers, busy_seconds=busy_seconds),
        )
        return QueueOutlook(
            queue, division=division, uses=uses, now_seconds=now_seconds
        )

    def _decode(
        self, name: str, reports: Sequence[Mapping[str, int]]
    ) -> RankReport:
        """Returns what reports say of a queue, decoded once for each report."""
        known = self._decoded.get(name)
        if known is not None:
            known_reports, report = known
            if len(known_reports) == len(reports) and all(
                one is other
                for one, other in zip(known_reports, reports, strict=True)
            ):
                return report
        report = decode_counts(name, reports)
        self._decoded[name] = (list(reports), report)
        return report

    def report_fields(
        self,
        name: str,
        outlook: QueueOutlook,
        *,
        is_anyone_waiting: bool,
        now_seconds: float,
    ) -> dict[str, int]:
        """Returns what a heartbeat reports of a queue.

        Slots in use by organisation are left out while no request waits.

        Args:
            name: Name of the queue.
            outlook: View of the queue.
            is_anyone_waiting: Whether requests wait, here or elsewhere.
            now_seconds: Monotonic time.
        """
        meter = self._meters.get(name)
        return encode_counts(
            name,
            waiting={
                level: len(waiters)
                for level, waiters in outlook.levels_waiting().items()
            },
            arrivals=meter.counts(now_seconds) if meter else {},
            uses=self._in_use.get(name, {}) if is_anyone_waiting else {},
        )
