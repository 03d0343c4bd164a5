"""An attempt at a plain service that observes its runner.

Where the runners are spread unevenly, it also leaves a slow runner in time; see
`dispatch/plain_runners.py`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.plain_runners import (
    has_spare_slots,
    leave_after_seconds,
)
from mulberrypaddle.serving.attempt import (
    CHECK_INTERVAL_SECONDS,
    Attempt,
    AttemptOutcome,
    PlainAttempt,
)
from mulberrypaddle.serving.metrics import EARLY_LEAVES

if TYPE_CHECKING:
    from mulberrypaddle.serving.runner_call import CallOutcome

# Least time between two checks of an attempt whose time to leave has come, but
# for which no other runner or retry is free.
MIN_CHECK_SECONDS = 0.01

# Time in flight after which an attempt counts as run in usage reports, so that
# one that goes on for long is counted before its window is decided. A runner
# that refuses a request does so sooner.
COUNTED_AFTER_SECONDS = 1.0

# Outcomes of attempts that did not run. A stale connection was mostly closed
# before the request came.
_NOT_RUN = (AttemptOutcome.NOT_RUN, AttemptOutcome.STALE)

# Outcomes after which the runner had not answered in time.
_LEFT = (
    AttemptOutcome.CANCELLED,
    AttemptOutcome.SLOW,
    AttemptOutcome.STALLED,
    AttemptOutcome.TIMED_OUT,
)


class ObservedPlainAttempt(PlainAttempt):
    """An attempt at a plain service; records what it shows of the runner."""

    def _set_up(self, previous: Attempt | None) -> None:
        """Decides when the request should leave the runner."""
        board = self._board
        entry = self._entry
        # Loop time at which the request was first seen to be sent.
        self._sent_at_seconds: float | None = None
        self._is_counted = False
        self._in_flight = board.loads.total(entry.runner_id)
        self._leave_at_seconds: float | None = None
        config = board.config
        service = config.services.get(entry.service) if config else None
        if service is None or service.engine is not None:
            return
        runners = board.plain_runners
        if not self._route.may_retry or not runners.are_uneven(
            entry.service,
            board.view.runners_of(entry.service),
            self._started_at,
        ):
            return
        own_seconds = runners.answer_seconds(
            entry, in_flight=self._in_flight, now_seconds=self._started_at
        )
        other_seconds = runners.mean_seconds(entry.service, self._started_at)
        if own_seconds is None or other_seconds is None:
            return
        self._leave_at_seconds = self._started_at + leave_after_seconds(
            own_seconds=own_seconds,
            other_seconds=other_seconds,
            target_seconds=self._route.target_seconds,
            limit_seconds=self._deadline - self._started_at,
        )

    def _check_pause_seconds(self) -> float:
        """Returns the time to the next check, at the time to leave if known."""
        if self._leave_at_seconds is None:
            return CHECK_INTERVAL_SECONDS
        left_seconds = self._leave_at_seconds - self._board.now()
        return min(CHECK_INTERVAL_SECONDS, max(MIN_CHECK_SECONDS, left_seconds))

    def _check_limits(self) -> None:
        """Abandons the attempt at the deadline, or if the runner is too slow.

        The latter only if the route allows retries and another runner has a
        free slot.
        """
        now = self._board.now()
        self._count_long_run(now)
        if self._leave_at_seconds is None or now >= self._deadline:
            super()._check_limits()
            return
        if now < self._leave_at_seconds:
            return
        board = self._board
        if not has_spare_slots(
            board.view.runners_of(self._entry.service),
            besides=self._entry.runner_id,
            in_flight=board.loads.total,
        ):
            super()._check_limits()
            return
        if self._reserve_reroute(self._entry.runner_id):
            self.detail = f"no answer for {now - self._started_at:.3f} s"
            EARLY_LEAVES.labels(self._entry.service).inc()
            self._abandon(AttemptOutcome.SLOW)

    def _conclude(self, call_outcome: CallOutcome) -> AttemptOutcome:
        """Returns the outcome of the attempt, and records it."""
        outcome = super()._conclude(call_outcome)
        self._record(outcome)
        if self.was_sent and outcome not in _NOT_RUN:
            self._count_run()
        return outcome

    def _count_long_run(self, now_seconds: float) -> None:
        """Counts the attempt if it has been in flight for long."""
        if not self.was_sent:
            return
        if self._sent_at_seconds is None:
            self._sent_at_seconds = now_seconds
        if now_seconds - self._sent_at_seconds >= COUNTED_AFTER_SECONDS:
            self._count_run()

    def _count_run(self) -> None:
        """Counts the attempt once in usage reports, in the window it began."""
        if not self._is_counted:
            self._is_counted = True
            self.on_first_event(self._started_at)

    def _record(self, outcome: AttemptOutcome) -> None:
        """Records what the outcome shows of the runner's speed and failures."""
        runners = self._board.plain_runners
        now = self._board.now()
        entry = self._entry
        seconds = now - self._started_at
        if outcome is AttemptOutcome.DELIVERED:
            if 200 <= self.status < 300:
                runners.record_good_answer(
                    entry,
                    seconds=seconds,
                    in_flight=self._in_flight,
                    now_seconds=now,
                )
        elif outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN):
            runners.record_failure(entry, now_seconds=now)
        elif outcome in _LEFT and self.was_sent:
            runners.record_left(
                entry,
                seconds=seconds,
                in_flight=self._in_flight,
                now_seconds=now,
            )
