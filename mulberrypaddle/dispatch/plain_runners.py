"""Choice among plain runners of different speed and reliability.

A plain service has few runners, spread unevenly over the data centres. Where
one of them is slow or fails a part of its answers, the least loaded runner need
not be the best: a slow one is chosen whenever it has a free slot, and one that
fails fast has always one. This module observes how long each runner takes to a
good answer and leaves out those that would take much longer than the best one.
It also decides when a request that may be repeated leaves its runner, so that
its remaining attempt can still be in time.

All of that is active only where the data centres have different numbers of
runners of a plain service at the moment. Times are monotonic, in seconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypaddle.fleet.runners import RunnerEntry

# Multiple of the route's latency target after which a request to a plain
# service without a complete answer may be sent to another runner, if it may be
# retried, where its runners are spread evenly or were not observed.
REROUTE_AFTER_TARGETS = 3.0

# Time in which the weight of an observation falls to 37 %. At one or two
# requests a second this holds some ten of each runner, and one that becomes
# slow is recognised within some seconds.
SPEED_MEMORY_SECONDS = 10.0

# The same for failures, of which there are fewer.
FAILURE_MEMORY_SECONDS = 20.0

# Weight of the service's mean in the mean of one runner, in observations: a
# runner with few of them counts as an average one, so that a new runner and one
# that was left out for some time get requests.
PRIOR_WEIGHT = 3.0

# Observations of a service below which its runners count as equal.
MIN_SERVICE_WEIGHT = 10.0

# Cost of a failed answer in mean answer times of the service. Targets are three
# to seven times the work of a request; a failed answer that is repeated costs
# such a time, one of at most two attempts, and a retry of the fleet's budget.
FAILURE_COST_ANSWERS = 4.0

# How much longer than at the best runner an answer may take at one that is
# used. Means of ten answers whose work differs threefold are off by a tenth.
CHOICE_MARGIN = 0.3

# Load from which runners count as busy. Requests then wait in spite of free
# slots elsewhere, since routers know one another's counts late, so that each
# slot counts, also of a slow runner. In simulations with one slow and one
# failing runner, fewer answers were in time at 0.75 under high load, and at 0.6
# under less.
BUSY_LOAD = 0.65

# Load up to which there are slots for second sends: a runner goes on with a
# request that left it.
SPARE_LOAD = 0.4

# Multiples of the mean answer time within which most answers come, and after
# which it is later than usual: the longest work is 1.5 times the mean, and at
# 2.5 times it, requests left that were only queued.
USUAL_ANSWERS = 1.6
LATE_ANSWERS = 3.0

# Multiple of the usual answer time that is kept for the remaining attempt
# before the time limit.
LIMIT_RESERVE = 2.0

# Time for which the data centres must have had different numbers of runners. A
# runner that restarts is back sooner.
UNEVEN_SECONDS = 10.0

# Time without an observation after which a runner is forgotten.
RETENTION_SECONDS = 120.0


class _DecayingMean:
    """A mean of observations whose weight decays with their age.

    Attributes:
        at_seconds: Time of the last observation.
    """

    __slots__ = ("_memory_seconds", "_sum", "_weight", "at_seconds")

    def __init__(self, memory_seconds: float) -> None:
        self._memory_seconds = memory_seconds
        self._sum = 0.0
        self._weight = 0.0
        self.at_seconds = -math.inf

    def _decay(self, now_seconds: float) -> float:
        """Returns the factor by which the weights have decayed."""
        age_seconds = max(0.0, now_seconds - self.at_seconds)
        return math.exp(-age_seconds / self._memory_seconds)

    def weight(self, now_seconds: float) -> float:
        """Returns the weight of all observations."""
        return self._weight * self._decay(now_seconds)

    def add(self, value: float, now_seconds: float) -> None:
        """Adds an observation."""
        decay = self._decay(now_seconds)
        self._sum = self._sum * decay + value
        self._weight = self._weight * decay + 1.0
        self.at_seconds = max(self.at_seconds, now_seconds)

    def mean(
        self,
        now_seconds: float,
        *,
        prior: float = 0.0,
        prior_weight: float = 0.0,
    ) -> float:
        """Returns the mean of the observations and a prior value.

        Without both, it is 0.
        """
        decay = self._decay(now_seconds)
        weight = self._weight * decay + prior_weight
        if weight <= 0.0:
            return 0.0
        return (self._sum * decay + prior * prior_weight) / weight


class _Observations:
    """Observations of one runner, or of all runners of a service.

    Attributes:
        answer_seconds: Time to a good answer while a slot is free.
        failures: 1 for each failed answer, 0 for each good one.
    """

    __slots__ = ("answer_seconds", "failures")

    def __init__(self) -> None:
        self.answer_seconds = _DecayingMean(SPEED_MEMORY_SECONDS)
        self.failures = _DecayingMean(FAILURE_MEMORY_SECONDS)

    def is_older_than(self, age_seconds: float, now_seconds: float) -> bool:
        """Returns whether all observations are older than an age."""
        at_seconds = max(
            self.answer_seconds.at_seconds, self.failures.at_seconds
        )
        return now_seconds - at_seconds > age_seconds


def is_uneven(runners: Iterable[RunnerEntry]) -> bool:
    """Returns whether the data centres have different numbers of runners.

    Args:
        runners: All runners of one service.
    """
    counts: dict[str, int] = {}
    for entry in runners:
        counts[entry.data_centre] = counts.get(entry.data_centre, 0) + 1
    return len(set(counts.values())) > 1


def wait_factor(in_flight: float, slots: int) -> float:
    """Returns by which factor waiting for a slot prolongs an answer.

    Args:
        in_flight: Requests at the runner, including the one in question.
        slots: Number of requests that the runner serves at once.
    """
    return 1.0 + max(0.0, in_flight - slots) / slots


def leave_after_seconds(
    *,
    own_seconds: float,
    other_seconds: float,
    target_seconds: float,
    limit_seconds: float,
) -> float:
    """Returns when a request without an answer should leave its runner.

    Not before the answer is later than usual, as it is probably about to come
    and each second send costs a slot and a retry, unless the runner misses the
    target anyway while another could meet it. But early enough for the other
    to answer within the time limit.

    Args:
        own_seconds: Expected time to the answer at its runner.
        other_seconds: Expected time to the answer at another runner.
        target_seconds: Time from the send to the latency target.
        limit_seconds: Time from the send to the time limit.

    Returns:
        Time since the send; infinite if another attempt has too little time.
    """
    reserve_seconds = USUAL_ANSWERS * other_seconds
    latest_seconds = limit_seconds - LIMIT_RESERVE * reserve_seconds
    if latest_seconds <= 0.0:
        return math.inf
    in_target_seconds = target_seconds - reserve_seconds
    if own_seconds > target_seconds and in_target_seconds > 0.0:
        return min(in_target_seconds, latest_seconds)
    late_seconds = max(LATE_ANSWERS * own_seconds, in_target_seconds)
    return min(late_seconds, latest_seconds)


def has_spare_slots(
    runners: Iterable[RunnerEntry],
    *,
    besides: str,
    in_flight: Callable[[str], int],
) -> bool:
    """Returns whether the runners have slots for second sends.

    Where they are busy, a second send only makes all answers later.

    Args:
        runners: Runners that may be used.
        besides: Id of a runner to leave out.
        in_flight: Returns the number of requests at a runner.
    """
    slots = requests = 0
    for entry in runners:
        if entry.runner_id == besides:
            continue
        slots += max(1, entry.slots)
        requests += in_flight(entry.runner_id)
    return requests < SPARE_LOAD * slots


class PlainRunners:
    """Observed speed and failures of the runners of plain services."""

    __slots__ = (
        "_pruned_at_seconds",
        "_runners",
        "_services",
        "_uneven_since_seconds",
    )

    def __init__(self) -> None:
        # By id of the runner, and by name of the service.
        self._runners: dict[str, _Observations] = {}
        self._services: dict[str, _Observations] = {}
        self._pruned_at_seconds = 0.0
        # Since when the runners of a service are uneven, by its name.
        self._uneven_since_seconds: dict[str, float] = {}

    def are_uneven(
        self, service: str, runners: Iterable[RunnerEntry], now_seconds: float
    ) -> bool:
        """Returns whether the runners of a service are uneven for long.

        Args:
            service: Name of the service.
            runners: All its runners.
            now_seconds: Monotonic time.
        """
        if not is_uneven(runners):
            self._uneven_since_seconds.pop(service, None)
            return False
        since_seconds = self._uneven_since_seconds.setdefault(
            service, now_seconds
        )
        return now_seconds - since_seconds >= UNEVEN_SECONDS

    # Observations.

    def record_good_answer(
        self,
        entry: RunnerEntry,
        *,
        seconds: float,
        in_flight: int,
        now_seconds: float,
    ) -> None:
        """Records a good answer.

        Args:
            entry: The runner.
            seconds: Time from the send to the end of the answer.
            in_flight: Requests at the runner when it was sent, including it.
            now_seconds: Monotonic time.
        """
        free_seconds = seconds / wait_factor(in_flight, max(1, entry.slots))
        for observations in self._observations(entry, now_seconds):
            observations.answer_seconds.add(free_seconds, now_seconds)
            observations.failures.add(0.0, now_seconds)

    def record_failure(self, entry: RunnerEntry, *, now_seconds: float) -> None:
        """Records a failed answer, which says nothing about the speed."""
        for observations in self._observations(entry, now_seconds):
            observations.failures.add(1.0, now_seconds)

    def record_left(
        self,
        entry: RunnerEntry,
        *,
        seconds: float,
        in_flight: int,
        now_seconds: float,
    ) -> None:
        """Records that an answer had not come when the request left.

        It would have taken at least that long. The service's mean stays as it
        is, since the same request is observed at its next runner.

        Args:
            entry: The runner.
            seconds: Time from the send to the end of the attempt.
            in_flight: Requests at the runner when it was sent, including it.
            now_seconds: Monotonic time.
        """
        runner, _ = self._observations(entry, now_seconds)
        free_seconds = seconds / wait_factor(in_flight, max(1, entry.slots))
        expected_seconds = self.answer_seconds(
            entry, in_flight=0, now_seconds=now_seconds
        )
        if expected_seconds is None or free_seconds > expected_seconds:
            runner.answer_seconds.add(free_seconds, now_seconds)

    def _observations(
        self, entry: RunnerEntry, now_seconds: float
    ) -> tuple[_Observations, _Observations]:
        """Returns the observations of a runner and of its service."""
        self._prune(now_seconds)
        return (
            self._runners.setdefault(entry.runner_id, _Observations()),
            self._services.setdefault(entry.service, _Observations()),
        )

    def _prune(self, now_seconds: float) -> None:
        """Forgets runners and services without recent observations."""
        if now_seconds - self._pruned_at_seconds < RETENTION_SECONDS:
            return
        self._pruned_at_seconds = now_seconds
        for kept in (self._runners, self._services):
            for name, observations in list(kept.items()):
                if observations.is_older_than(RETENTION_SECONDS, now_seconds):
                    del kept[name]

    # Decisions.

    def mean_seconds(self, service: str, now_seconds: float) -> float | None:
        """Returns the mean time to a good answer of a service.

        None if too few answers were observed to decide by.
        """
        observations = self._services.get(service)
        if observations is None:
            return None
        answer_seconds = observations.answer_seconds
        if answer_seconds.weight(now_seconds) < MIN_SERVICE_WEIGHT:
            return None
        return answer_seconds.mean(now_seconds)

    def failure_ratio(self, entry: RunnerEntry, now_seconds: float) -> float:
        """Returns the share of failed answers of a runner, from 0 to 1."""
        service = self._services.get(entry.service)
        prior = 0.0 if service is None else service.failures.mean(now_seconds)
        runner = self._runners.get(entry.runner_id)
        if runner is None:
            return prior
        return runner.failures.mean(
            now_seconds, prior=prior, prior_weight=PRIOR_WEIGHT
        )

    def answer_seconds(
        self, entry: RunnerEntry, *, in_flight: float, now_seconds: float
    ) -> float | None:
        """Returns the expected time to an answer of a runner.

        Args:
            entry: The runner.
            in_flight: Requests there, including the one in question.
            now_seconds: Monotonic time.

        Returns:
            Seconds; None if its service was observed too little.
        """
        prior = self.mean_seconds(entry.service, now_seconds)
        if prior is None:
            return None
        seconds = prior
        runner = self._runners.get(entry.runner_id)
        if runner is not None:
            seconds = runner.answer_seconds.mean(
                now_seconds, prior=prior, prior_weight=PRIOR_WEIGHT
            )
        return seconds * wait_factor(in_flight, max(1, entry.slots))

    def good_answer_seconds(
        self, entry: RunnerEntry, *, in_flight: float, now_seconds: float
    ) -> float | None:
        """Returns the expected time to a good answer, with failed attempts.

        Args:
            entry: The runner.
            in_flight: Requests there, including the one in question.
            now_seconds: Monotonic time.

        Returns:
            Seconds; None if its service was observed too little.
        """
        seconds = self.answer_seconds(
            entry, in_flight=in_flight, now_seconds=now_seconds
        )
        mean_seconds = self.mean_seconds(entry.service, now_seconds)
        if seconds is None or mean_seconds is None:
            return None
        failed = self.failure_ratio(entry, now_seconds)
        return seconds + failed * FAILURE_COST_ANSWERS * mean_seconds

    def narrow(
        self,
        candidates: list[tuple[float, RunnerEntry]],
        *,
        compares_all: bool,
        now_seconds: float,
    ) -> list[tuple[float, RunnerEntry]]:
        """Returns the candidates to choose from by load.

        Those whose answers would take about as long as the best one's while
        slots are free count as equal: which of them is used depends on their
        load, as for other services. The counts of other routers are late, and
        all routers would send to the one that seems best at the same time. A
        slower one is left out until the equal ones are busy. It then counts as
        if its load were higher by `BUSY_LOAD`. Where routers compare two random
        runners only, it counts like the others, as two slower ones may meet.

        Args:
            candidates: Runners of one service with their load, which is the
                number of their requests divided by that of their slots.
            compares_all: Whether this router compares all candidates.
            now_seconds: Monotonic time.
        """
        expected: list[tuple[float, tuple[float, RunnerEntry]]] = []
        for candidate in candidates:
            seconds = self.good_answer_seconds(
                candidate[1], in_flight=0, now_seconds=now_seconds
            )
            if seconds is None:
                return candidates
            expected.append((seconds, candidate))
        if not expected:
            return candidates
        limit_seconds = min(seconds for seconds, _ in expected) * (
            1 + CHOICE_MARGIN
        )
        equal = [
            candidate
            for seconds, candidate in expected
            if seconds <= limit_seconds
        ]
        mean_load = sum(load for load, _ in equal) / len(equal)
        if not compares_all:
            return equal if mean_load < BUSY_LOAD else candidates
        slower = [
            (load + BUSY_LOAD, entry)
            for seconds, (load, entry) in expected
            if seconds > limit_seconds and load + BUSY_LOAD < mean_load
        ]
        return equal + slower
