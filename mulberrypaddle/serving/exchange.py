"""Handles one request, from its last byte to the end of its answer."""

from __future__ import annotations

import asyncio
import enum
import functools
import math
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.core.errors import ANSWERS, ErrorKind
from mulberrypaddle.dispatch import RunnerRequirements, decide_wait
from mulberrypaddle.dispatch.runner_health import SUSPICION_TTL_SECONDS
from mulberrypaddle.dispatch.wait_decision import (
    MIN_RETRY_AFTER_SECONDS,
    MIN_SEND_SECONDS,
    retry_after,
    stream_gap_seconds,
)
from mulberrypaddle.serving.admission import Admission, admit
from mulberrypaddle.serving.attempt import (
    Attempt,
    AttemptOutcome,
    StreamAttempt,
)
from mulberrypaddle.serving.crash_guard import CrashGuard
from mulberrypaddle.serving.decision_log import (
    log_request,
    log_success,
    loggable_age_seconds,
)
from mulberrypaddle.serving.hedged_attempts import HedgedAttempts
from mulberrypaddle.serving.late_answers import LatenessRecorder
from mulberrypaddle.serving.metrics import (
    ANSWER_SECONDS,
    ATTEMPTS,
    CONFIG_AGE_SECONDS,
    FIRST_BYTE_SECONDS,
    REQUESTS,
)
from mulberrypaddle.serving.plain_attempt import ObservedPlainAttempt
from mulberrypaddle.serving.request_contention import (
    RETRY_URGENCY,
    RequestContention,
)
from mulberrypaddle.serving.silent_runner import SilentRunner
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.dispatch import WaitDecision, WaitQueue
    from mulberrypaddle.dispatch.wait_queue import Waiter
    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.caller_connection import CallerConnection
    from mulberrypaddle.serving.caller_request import CallerRequest
    from mulberrypaddle.serving.header_codec import CallerHeaders

# Pause before a request that every healthy runner has failed or refused is sent
# to them again.
RETRY_ROUND_PAUSE_SECONDS = 0.06

# Lowest urgency that runners accept; 0 is the highest.
LOWEST_URGENCY = 9

# Urgencies at a runner for each urgency of a route: one for requests that can
# still meet the latency target, and one for late requests.
URGENCIES_PER_RANK = 2

# Service label in metrics of a request that was refused before its service was
# known.
UNKNOWN_SERVICE_LABEL = "none"


class _NextStep(enum.Enum):
    """What to do after an attempt has ended.

    Attributes:
        DONE: The request is answered, or its caller is gone.
        RETRY: Send the request to another runner.
        OUTCOME_UNKNOWN: Answer with an error that says that the request may
            have run.
    """

    DONE = "done"
    RETRY = "again"
    OUTCOME_UNKNOWN = "unknown"


class Exchange:
    """Handles one request: admits, queues, sends and if need be retries it."""

    def __init__(
        self,
        board: Blackboard,
        caller: CallerConnection,
        *,
        request: CallerRequest,
        fields: CallerHeaders,
    ) -> None:
        """Prepares the exchange of a request that was received completely.

        Args:
            board: Shared state of the router.
            caller: Connection that the answer is written to.
            request: The request.
            fields: Parsed headers of the request.
        """
        self._board = board
        self._caller = caller
        self._request = request
        self._fields = fields
        self._arrived_at = board.now()
        self._suspension = SuspensionMark()
        # Version and age of the configuration that decides on the admission.
        self._config_version = board.config.version if board.config else 0
        self._config_age_seconds = board.config_age_seconds()
        # Terms of the admission; None until the request is admitted.
        self._admitted: Admission | None = None
        self._contention = RequestContention(board, model=fields.model)
        self._excluded_runners: set[str] = set()
        self._attempt: Attempt | None = None
        # Runs the first send, and perhaps a second one beside it.
        self._hedged: HedgedAttempts | None = None
        self._waiter: Waiter | None = None
        self._send_count = 0
        self._first_send_counted = False
        self._crash_guard = CrashGuard(board, fields)
        # Whether the process ends, so that nothing more is sent.
        self._ended = False
        # Whether the retry budget has already been charged for the next send.
        self._retry_reserved = False
        self._may_have_run = False
        # Incarnations of the runners at which the request may have run, as
        # runner id and start time in milliseconds.
        self._possible_runs: list[tuple[str, int | None]] = []
        # Runners that it left since they sent nothing, the latest last.
        self._silent_runners: list[SilentRunner] = []
        # Whether it ever left a runner for its silence.
        self._left_silent_runner = False
        self._lateness = LatenessRecorder()
        self.last_event_id = fields.last_event_id

    async def run(self) -> None:
        """Answers the request or refuses it; returns when that is done."""
        self._caller.set_disconnect_callback(self._on_caller_disconnect)
        if not self._admit():
            return
        refuse = self._find_crash_refusal()
        if refuse is not None:
            refuse()
            return
        self._contention.record_arrival(self._arrived_at)
        while not self._caller.disconnected:
            entry = await self._acquire_runner()
            if entry is None or self._caller.disconnected:
                if entry is not None:
                    self._board.loads.remove_request(entry.runner_id)
                return
            next_step = await self._send_to(entry)
            if next_step is _NextStep.DONE:
                return
            if next_step is _NextStep.OUTCOME_UNKNOWN:
                self._fail_outcome_unknown()
                return

    def end(self) -> None:
        """Ends the request because the process ends; nothing more is sent.

        A request that has not run is refused, and one that may have run gets an
        error. A response that has started is left incomplete.
        """
        self._ended = True
        if self._attempt is not None:
            self._attempt.end()
        if self._hedged is not None:
            self._hedged.end()
        if self._waiter is not None and not self._waiter.wait_result.done():
            self._waiter.wait_result.set_result(False)

    def _config_fields(self) -> dict[str, object]:
        """Returns for the log by which configuration the request is handled.

        With it, what became of its second send, if one was due.
        """
        hedge = self._hedged.log_fields() if self._hedged is not None else {}
        return {
            "config": self._config_version,
            "config_age": loggable_age_seconds(self._config_age_seconds),
            **hedge,
        }

    def progress_fields(self) -> dict[str, object]:
        """Returns for the log how often and where the request was sent."""
        fields: dict[str, object] = {"sends": self._send_count}
        if self._attempt is not None:
            fields |= self._attempt.progress_fields()
        return fields

    def _admit(self) -> bool:
        """Returns whether the request is admitted; refuses it if not."""
        board = self._board
        CONFIG_AGE_SECONDS.observe(self._config_age_seconds)
        admitted = admit(
            board.config,
            request=self._request,
            fields=self._fields,
            arrived_at_seconds=self._arrived_at,
            stop=board.stop,
            rng=board.rng,
        )
        if isinstance(admitted, Success):
            self._admitted = self._contention.terms = admitted.unwrap()
            return True
        refusal = admitted.failure()
        self._refuse(
            refusal.kind,
            refusal.detail,
            retry_after_seconds=refusal.retry_after_seconds,
        )
        return False

    @property
    def _terms(self) -> Admission:
        """Returns the terms on which the request was admitted."""
        assert self._admitted is not None
        return self._admitted

    @property
    def _deadline_seconds(self) -> float:
        """Returns the loop time by which it must be answered.

        That is, at the end of a planned stop at the latest.
        """
        stop = self._board.stop
        if stop is None:
            return self._terms.deadline_seconds
        return min(self._terms.deadline_seconds, stop.ends_at_seconds)

    def _remaining_seconds(self, now: float) -> float:
        """Returns the time until the deadline.

        The loop's clock stops while the VM is suspended, so that time is
        subtracted.
        """
        remaining = self._deadline_seconds - now
        return remaining - self._suspension.suspended_for_seconds()

    def _is_on_time(self, now: float) -> bool:
        """Returns whether the answer can still be within the latency target."""
        return now <= self._terms.on_time_until_seconds

    # Choosing a runner.

    def _runner_requirements(self) -> RunnerRequirements:
        """Returns what the next attempt requires of its runner."""
        return RunnerRequirements(
            self._terms.service,
            model=self._fields.model if self._terms.service.engine else "",
            excluded=frozenset(self._excluded_runners),
            resumed=self._may_have_run,
            may_use_kept_connection=(
                self._terms.route.may_use_kept_connections
                and self._send_count == 0
            ),
        )

    async def _acquire_runner(self) -> RunnerEntry | None:
        """Waits for a runner with a free slot and reserves the slot.

        Returns:
            The runner; None if the request was refused or its caller is gone.
        """
        board = self._board
        queue = board.queue_for(self._terms.service, self._fields.model)
        sort_key = self._contention.start_wait(
            self._arrived_at, is_retry=self._send_count > 0
        )
        waited = False
        while not self._caller.disconnected:
            now = board.now()
            if self._ended or self._remaining_seconds(now) < MIN_SEND_SECONDS:
                self._refuse_expired()
                return None
            requirements = self._runner_requirements()
            # A request that may have run already has priority over the queue.
            if (
                waited
                or self._may_have_run
                or self._contention.may_take_slot(
                    requirements, queue, sort_key, now_seconds=now
                )
            ):
                entry = None
                if not self._may_have_run or self._may_send_again():
                    entry = self._reserve_runner(requirements, now)
                if entry is None:
                    entry = self._return_to_silent_runner(now)
                if entry is not None:
                    return entry
            if self._may_have_run and not self._may_send_again():
                if self._may_go_on_later():
                    await asyncio.sleep(RETRY_ROUND_PAUSE_SECONDS)
                    continue
                self._fail_outcome_unknown()
                return None
            if self._only_excluded_healthy(now):
                # Every healthy runner was tried and excluded: try them again.
                self._excluded_runners.clear()
                await asyncio.sleep(RETRY_ROUND_PAUSE_SECONDS)
                continue
            if not await self._wait_for_slot(
                requirements, queue, sort_key, now
            ):
                return None
            waited = True
        return None

    def _reserve_runner(
        self, requirements: RunnerRequirements, now: float
    ) -> RunnerEntry | None:
        """Chooses a runner and reserves a slot there; None if all are full."""
        board = self._board
        entry = board.chooser.pick(
            requirements, routers=board.live_routers, now_seconds=now
        )
        if entry is None:
            return None
        board.loads.add_request(entry.runner_id)
        board.chooser.record_sent(entry, now_seconds=now)
        return entry

    def _can_return(self, runner: SilentRunner, now: float) -> bool:
        """Returns whether the request may be sent to a runner that it left.

        That is, it is the same process, its group is open, and it was left some
        time ago. That others call it silent does not count: they may have left
        it at the same moment, and nobody would see that it goes on.
        """
        if now - runner.left_at_seconds < SUSPICION_TTL_SECONDS:
            return False
        if self._board.pauses.is_paused(runner.entry.incarnation, now):
            return False
        return self._is_serving(runner.entry)

    def _is_serving(self, runner: RunnerEntry) -> bool:
        """Returns whether a runner is the same process in an open group."""
        serving = self._board.chooser.serving_runners(
            self._runner_requirements()
        )
        return any(entry.incarnation == runner.incarnation for entry in serving)

    def _may_go_on_later(self) -> bool:
        """Returns whether a request that left a silent runner may go on.

        Until its group is closed that runner may be a sound one that pauses. An
        answer that has begun can't be refused any more, so it waits for every
        runner that serves the model, also for a full or paused one.
        """
        for runner in self._silent_runners:
            if self._is_serving(runner.entry):
                return True
        if not self._left_silent_runner or not self._caller.response_started:
            return False
        serving = self._board.chooser.serving_runners(
            self._runner_requirements()
        )
        return bool(serving) and self._may_send_again()

    def _return_to_silent_runner(self, now: float) -> RunnerEntry | None:
        """Reserves a slot at a runner that was left only for its silence.

        A sound runner may pause for a second. The request already counts as
        sent to it, so that the limit of the route does not forbid to send it
        there again.

        Returns:
            The runner; None if there is none that serves.
        """
        board = self._board
        for runner in reversed(self._silent_runners):
            if not self._can_return(runner, now):
                continue
            entry = runner.entry
            board.loads.add_request(entry.runner_id)
            board.chooser.record_sent(entry, now_seconds=now)
            return entry
        return None

    def _record_return(self, entry: RunnerEntry) -> None:
        """Records that the request is sent to a runner that it left before."""
        silent = [
            runner
            for runner in self._silent_runners
            if runner.entry.incarnation != entry.incarnation
        ]
        if len(silent) == len(self._silent_runners):
            return
        self._silent_runners = silent
        log_request(
            "returns_to_silent_runner",
            request_id=self._fields.request_id,
            runner=entry.runner_id,
            sends=self._send_count,
        )

    def _has_other_healthy(self, now: float) -> bool:
        """Returns whether a healthy runner has not been tried yet."""
        healthy = self._board.chooser.healthy_runners(
            self._runner_requirements(), now_seconds=now
        )
        return any(
            entry.runner_id not in self._excluded_runners for entry in healthy
        )

    def _only_excluded_healthy(self, now: float) -> bool:
        """Returns whether all healthy runners were tried; False if none is."""
        healthy = self._board.chooser.healthy_runners(
            self._runner_requirements(), now_seconds=now
        )
        return bool(healthy) and not self._has_other_healthy(now)

    async def _wait_for_slot(
        self,
        requirements: RunnerRequirements,
        queue: WaitQueue,
        sort_key: float,
        now: float,
    ) -> bool:
        """Waits in the queue for a free slot.

        A request that can meet its latency target waits until it no longer can;
        then it is decided again whether it may go on waiting as a late one.

        Args:
            requirements: Criteria for the runner.
            queue: Queue to wait in.
            sort_key: Position in the queue; lower ones are served first.
            now: Loop time in seconds.

        Returns:
            Whether there may be a free slot now; if not, the request was
            refused or its caller is gone.
        """
        board = self._board
        on_time = self._is_on_time(now)
        decision, healthy_count = self._evaluate_wait(
            requirements, queue, sort_key, on_time=on_time, now=now
        )
        if decision.until_seconds is None or decision.until_seconds <= now:
            return await self._end_wait(
                decision.retry_after_seconds, healthy_count
            )
        waiter = self._contention.make_waiter(
            sort_key, until_seconds=decision.until_seconds
        )
        self._waiter = waiter
        queue.add(waiter)
        try:
            if on_time:
                await asyncio.wait(
                    {waiter.wait_result},
                    timeout=self._terms.on_time_until_seconds - now,
                )
                if not waiter.wait_result.done():
                    decision, healthy_count = self._evaluate_wait(
                        requirements,
                        queue,
                        sort_key,
                        on_time=False,
                        now=board.now(),
                    )
                    if decision.until_seconds is None:
                        return await self._end_wait(
                            decision.retry_after_seconds, healthy_count
                        )
            may_send = await waiter.wait_result
        finally:
            queue.drop(waiter)
            self._waiter = None
            if not self._caller.response_started:
                self._lateness.record_wait(
                    board.now() - now, healthy_runners=healthy_count
                )
        if self._caller.disconnected:
            return False
        if self._ended:
            self._refuse_expired()
            return False
        if not may_send:
            return await self._end_wait(
                retry_after(
                    self._terms.busy_seconds,
                    now_seconds=board.now(),
                    deadline_seconds=self._terms.deadline_seconds,
                ),
                healthy_count,
            )
        return may_send

    async def _end_wait(
        self, retry_after_seconds: float, healthy_count: int
    ) -> bool:
        """Ends a wait for a slot that is hopeless.

        A stream that left a runner only for its silence goes on waiting while
        one may take it.

        Args:
            retry_after_seconds: Value of the Retry-After header of a refusal.
            healthy_count: Number of healthy runners.

        Returns:
            Whether to look for a runner again; if not, the request was refused.
        """
        if self._may_go_on_later():
            await asyncio.sleep(RETRY_ROUND_PAUSE_SECONDS)
            return True
        self._refuse_no_capacity(retry_after_seconds, healthy_count)
        return False

    def _evaluate_wait(
        self,
        requirements: RunnerRequirements,
        queue: WaitQueue,
        sort_key: float,
        *,
        on_time: bool,
        now: float,
    ) -> tuple[WaitDecision, int]:
        """Decides whether the request may wait, and until when.

        Returns:
            The decision, and the number of healthy runners that serve the
            model.
        """
        board = self._board
        serving = board.chooser.healthy_runners(requirements, now_seconds=now)
        give_up_at = self._deadline_seconds
        if self._terms.is_stream:
            give_up_at = self._last_output_at() + stream_gap_seconds(
                target_seconds=self._terms.route.target_seconds,
                pause_seconds=self._terms.route.pause_seconds,
            )
        ahead, newer_slots = self._contention.competing(
            queue,
            sort_key,
            on_time=on_time,
            now_seconds=now,
        )
        decision = decide_wait(
            now_seconds=now,
            give_up_at_seconds=give_up_at,
            deadline_seconds=self._deadline_seconds,
            is_stream=self._terms.is_stream,
            serving_slots=sum(max(1, entry.slots) for entry in serving),
            ahead=ahead,
            busy_seconds=self._terms.busy_seconds,
            ready_in_seconds=board.ready_in_seconds(requirements),
            newer_slots=newer_slots,
        )
        return decision, len(serving)

    def _last_output_at(self) -> float:
        """Returns the loop time of the last event, else of the arrival."""
        if isinstance(self._attempt, StreamAttempt):
            return max(self._arrived_at, self._attempt.last_event_at)
        return self._arrived_at

    # Attempts.

    async def _send_to(self, entry: RunnerEntry) -> _NextStep:
        """Makes one attempt at a runner, if the retry budget allows it.

        The slot that was reserved at the runner is released in any case.
        """
        board = self._board
        now = board.now()
        service = self._terms.service.name
        if not self._may_still_send(now):
            board.loads.remove_request(entry.runner_id)
            self._refuse_shutting_down()
            return _NextStep.DONE
        refuse = self._find_crash_refusal()
        if refuse is not None:
            board.loads.remove_request(entry.runner_id)
            if self._may_have_run:
                return _NextStep.OUTCOME_UNKNOWN
            refuse()
            return _NextStep.DONE
        if not self._first_send_counted:
            self._first_send_counted = True
            board.retries.record_first_attempt(service, now)
            board.hedging.record_request(service)
        elif self._send_count and not self._acquire_retry(now):
            board.loads.remove_request(entry.runner_id)
            log_request(
                "retry_refused",
                request_id=self._fields.request_id,
                service=service,
                sends=self._send_count,
            )
            if await self._wait_for_retry():
                return _NextStep.RETRY
            if self._may_have_run:
                return _NextStep.OUTCOME_UNKNOWN
            self._refuse(
                ErrorKind.OVERLOADED,
                "no retry is permitted now",
                retry_after_seconds=self._default_retry_after_seconds(),
            )
            return _NextStep.DONE
        self._record_return(entry)
        attempt = self._make_attempt(entry)
        hedged = self._prepare_hedge()
        try:
            if hedged is None:
                outcome = await self._run_attempt(attempt, entry, now)
            else:
                entry, attempt, outcome = await hedged.run(attempt, entry, now)
            return self._handle_outcome(entry, attempt, outcome)
        finally:
            attempt.release_buffers()

    async def _run_attempt(
        self, attempt: Attempt, entry: RunnerEntry, now: float
    ) -> AttemptOutcome:
        """Runs an attempt at a runner and returns how it ended."""
        board = self._board
        self._contention.record_begin()
        try:
            headers = self._headers_for(entry, now)
            outcome = await attempt.run(self._request, headers)
        finally:
            self._contention.record_end()
            board.loads.remove_request(entry.runner_id)
            board.dispatch_waiting()
        if outcome is not AttemptOutcome.CANCELLED:
            self._lateness.record_attempt(
                board.now() - now, answer_begun=self._caller.response_started
            )
        return outcome

    def _prepare_hedge(self) -> HedgedAttempts | None:
        """Returns what may run a second send beside the one that begins."""
        if not self._board.hedging.is_enabled or not self._may_hedge():
            return None
        self._hedged = HedgedAttempts(
            self._board,
            self._caller,
            terms=self._terms,
            fields=self._fields,
            excluded=frozenset(self._excluded_runners),
            may_send=self._may_hedge,
            make_attempt=self._make_attempt,
            run_attempt=self._run_attempt,
            record_failure=self._handle_outcome,
            record_cancelled=self._record_cancelled,
        )
        return self._hedged

    def _may_hedge(self) -> bool:
        """Returns whether a second send may run beside the first one now."""
        return (
            self._send_count == 1
            and not (self._ended or self._crash_guard.is_trial)
            and self._may_send_again(1)
            and self._remaining_seconds(self._board.now()) >= MIN_SEND_SECONDS
        )

    def _record_cancelled(
        self, entry: RunnerEntry, loser: Attempt, winner: Attempt
    ) -> None:
        """Records the slower one of two sends, and where it may have run.

        A stream that breaks later may return to that runner.
        """
        self._attempt = winner
        self._excluded_runners.add(entry.runner_id)
        if loser.was_sent:
            now = self._board.now()
            health = self._board.runner_health
            suspected = health.is_suspected(entry.runner_id, now)
            left_at = now if suspected else -math.inf
            self._possible_runs.append(entry.incarnation)
            self._silent_runners.append(SilentRunner(entry, left_at))

    def _may_still_send(self, now: float) -> bool:
        """Returns whether a planned stop leaves time for the next attempt.

        A request that may have run can't be refused any more, so that another
        attempt is always worth the time that is left.
        """
        return self._may_have_run or self._terms.may_send(
            self._board.stop,
            now_seconds=now,
            arrived_at_seconds=self._arrived_at,
        )

    async def _wait_for_retry(self) -> bool:
        """Waits until the retry budget allows the next send, and reserves it.

        Only an answer that has begun waits: for others, an error at once lets
        the caller decide.

        Returns:
            Whether it was reserved; if not, the request can't wait for it.
        """
        board = self._board
        while self._caller.response_started and self._may_go_on_later():
            await asyncio.sleep(RETRY_ROUND_PAUSE_SECONDS)
            now = board.now()
            if self._ended or self._caller.disconnected:
                return False
            if self._remaining_seconds(now) < MIN_SEND_SECONDS:
                return False
            if self._acquire_retry(now):
                self._retry_reserved = True
                return True
        return False

    def _acquire_retry(self, now: float) -> bool:
        """Returns whether a retry was reserved or the budget allows one now."""
        if self._retry_reserved:
            self._retry_reserved = False
            return True
        return self._board.retries.try_acquire(
            self._terms.service.name,
            routers=self._board.live_routers,
            now_seconds=now,
        )

    def _make_attempt(self, entry: RunnerEntry) -> Attempt:
        """Creates the next attempt and makes it the current one."""
        self._send_count += 1
        board = self._board
        kind = StreamAttempt if self._terms.is_stream else ObservedPlainAttempt
        attempt = kind(
            board,
            self._caller,
            entry=entry,
            request_id=self._fields.request_id,
            route=self._terms.route,
            deadline_seconds=board.now() + self._remaining_seconds(board.now()),
            prompt_parts=self._fields.prompt_parts,
            resumes_after=self._fields.last_event_id,
            previous=self._attempt,
            reserve_reroute=self._reserve_reroute,
        )
        attempt.on_first_event = functools.partial(
            board.record_run, self._terms.organisation
        )
        self._attempt = attempt
        return attempt

    def _headers_for(
        self, entry: RunnerEntry, now: float
    ) -> list[tuple[str, str]]:
        """Returns the headers of the next attempt at a runner."""
        last_event_id = self._fields.last_event_id
        if isinstance(self._attempt, StreamAttempt):
            last_event_id = self._attempt.last_received_event_id
        urgency = RETRY_URGENCY
        if self._send_count == 1 or (self._hedged and self._hedged.both_run):
            # In a head's queue, too, requests that can still be in time have
            # priority over late ones.
            late = not self._is_on_time(now)
            urgency = URGENCIES_PER_RANK * self._terms.urgency + late
        return self._board.header_codec.runner_headers(
            self._fields,
            organisation=self._terms.organisation,
            runner_id=entry.runner_id,
            urgency=min(LOWEST_URGENCY, urgency),
            remaining_seconds=max(0.0, self._remaining_seconds(now)),
            last_event_id=last_event_id,
        )

    def _reserve_reroute(self, runner_id: str) -> bool:
        """Reserves a retry if the request may leave a runner for another one.

        Only if another one has a free slot and the retry budget allows it: a
        request that a runner holds may still be answered, one in the queue of
        this router is not, and one without a retry fails.

        Returns:
            Whether the request may leave the runner.
        """
        if self._hedged is not None and self._hedged.both_run:
            return False
        if not self._terms.route.may_retry or not self._may_send_again(1):
            return False
        board = self._board
        requirements = RunnerRequirements(
            self._terms.service,
            model=self._fields.model if self._terms.service.engine else "",
            excluded=frozenset({*self._excluded_runners, runner_id}),
            resumed=True,
        )
        free_capacity = board.chooser.free_capacity(
            requirements, routers=board.live_routers, now_seconds=board.now()
        )
        if free_capacity <= 0:
            return False
        self._retry_reserved = board.retries.try_acquire(
            self._terms.service.name,
            routers=board.live_routers,
            now_seconds=board.now(),
        )
        return self._retry_reserved

    def _may_send_again(self, running: int = 0) -> bool:
        """Returns whether the request may run at one more runner.

        A route limits the number of runners at which a request may have run.
        Runners that have restarted or left since are not counted.

        Args:
            running: Number of attempts in flight.
        """
        counted = running
        for runner_id, started_at_ms in set(self._possible_runs):
            entry = self._board.view.get(runner_id)
            if entry is not None and entry.started_at_ms == started_at_ms:
                counted += 1
        return counted < self._terms.route.max_runners

    def _handle_outcome(
        self, entry: RunnerEntry, attempt: Attempt, outcome: AttemptOutcome
    ) -> _NextStep:
        """Records the outcome of an attempt and decides how to go on."""
        board = self._board
        now = board.now()
        runner_id = entry.runner_id
        ATTEMPTS.labels(self._terms.service.name, outcome.value).inc()
        if outcome is AttemptOutcome.DELIVERED:
            board.runner_health.record_success(runner_id)
            if 200 <= attempt.status < 300:
                board.crashes.record_answer(
                    self._terms.request_fingerprint, now
                )
            REQUESTS.labels(self._terms.service.name, "answered").inc()
            ANSWER_SECONDS.labels(self._terms.service.name).observe(
                now - self._arrived_at
            )
            first_byte_at = attempt.first_byte_at or now
            FIRST_BYTE_SECONDS.labels(self._terms.service.name).observe(
                max(0.0, first_byte_at - self._arrived_at)
            )
            self._contention.count_answer(first_byte_at - self._arrived_at)
            self._lateness.log_if_late(
                route=self._terms.route,
                first_byte_seconds=first_byte_at - self._arrived_at,
                longest_pause_seconds=attempt.longest_pause_seconds,
                request_id=self._fields.request_id,
                runner_id=runner_id,
                service=self._terms.service.name,
                model=self._fields.model,
            )
            log_success(
                request_id=self._fields.request_id,
                runner=runner_id,
                status=attempt.status,
                sends=self._send_count,
                seconds=round(now - self._arrived_at, 3),
                **self._config_fields(),
                **self._contention.log_fields(),
            )
            return _NextStep.DONE
        if outcome is AttemptOutcome.CALLER_GONE:
            REQUESTS.labels(self._terms.service.name, "caller_gone").inc()
            log_request(
                "caller_gone",
                request_id=self._fields.request_id,
                runner=runner_id,
                seconds=round(now - self._arrived_at, 3),
            )
            return _NextStep.DONE
        log_request(
            "attempt_failed",
            request_id=self._fields.request_id,
            runner=runner_id,
            end=outcome.value,
            status=attempt.status,
            detail=attempt.detail,
            events=attempt.event_count,
            parts=",".join(self._fields.prompt_parts),
            sends=self._send_count,
            age=round(now - self._arrived_at, 3),
            **self._config_fields(),
        )
        if not attempt.was_sent and outcome in (
            AttemptOutcome.ENDED,
            AttemptOutcome.TIMED_OUT,
        ):
            self._send_count -= 1
            return _NextStep.RETRY
        self._excluded_runners.add(runner_id)
        if outcome is AttemptOutcome.UNSENT:
            self._send_count -= 1
            if not board.pauses.is_paused(entry.incarnation, now):
                board.runner_health.record_unreachable(runner_id, now)
            return _NextStep.RETRY
        if outcome is AttemptOutcome.NOT_RUN:
            if attempt.runner_at_fault:
                board.runner_health.record_failure(runner_id, now)
            return _NextStep.RETRY
        self._may_have_run = True
        self._possible_runs.append(entry.incarnation)
        if outcome is AttemptOutcome.ENDED or (
            outcome is AttemptOutcome.TIMED_OUT
            and now >= self._deadline_seconds - 0.01
        ):
            return _NextStep.OUTCOME_UNKNOWN
        if outcome is AttemptOutcome.STALLED:
            board.runner_health.record_unreachable(runner_id, now)
            board.runner_health.mark_suspected(runner_id, now)
            self._silent_runners.append(SilentRunner(entry, now))
            self._left_silent_runner = True
        elif outcome not in (AttemptOutcome.STALE, AttemptOutcome.SLOW):
            board.runner_health.record_failure(runner_id, now)
        if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.STALE):
            board.crashes.record_interrupted_answer(
                self._terms.request_fingerprint, entry.incarnation, now
            )
        if self._crash_guard.may_have_crashed_runner(entry, attempt, outcome):
            suspected = board.crash_attribution.is_suspected(
                self._fields.prompt_parts
            )
            board.crash_attribution.record_interruption(
                entry.incarnation,
                address=entry.address,
                parts=self._fields.prompt_parts,
                now_seconds=now,
            )
            if suspected:
                log_request(
                    "suspect_not_sent_again",
                    request_id=self._fields.request_id,
                    parts=",".join(self._fields.prompt_parts),
                )
                return self._forward_error_response(attempt)
        if not self._terms.route.may_retry or not (
            self._may_send_again() or self._may_go_on_later()
        ):
            return self._forward_error_response(attempt)
        if outcome is AttemptOutcome.FAILED and not self._has_other_healthy(
            now
        ):
            return self._forward_error_response(attempt)
        return _NextStep.RETRY

    def _forward_error_response(self, attempt: Attempt) -> _NextStep:
        """Forwards the runner's error response, if a complete one came."""
        if attempt.forward_error_response():
            return _NextStep.DONE
        return _NextStep.OUTCOME_UNKNOWN

    # Refusals and failures.

    def _default_retry_after_seconds(self) -> float:
        """Returns a delay as long as this request would hold a slot."""
        return retry_after(
            self._terms.busy_seconds,
            now_seconds=self._board.now(),
            deadline_seconds=self._terms.deadline_seconds,
        )

    def _find_crash_refusal(self) -> Callable[[], None] | None:
        """Returns what refuses a request that crashes runners; None if none."""
        if self._crash_guard.is_known_to_crash(self._terms.request_fingerprint):
            return self._refuse_known_to_crash
        if self._crash_guard.is_quarantined():
            return self._refuse_quarantined
        return None

    def _refuse_known_to_crash(self) -> None:
        """Refuses a request that has crashed several runners."""
        self._refuse(ErrorKind.QUARANTINED, "it has ended several runners")

    def _refuse_quarantined(self) -> None:
        """Refuses a request whose prompt has quarantined parts.

        The caller is asked to come back when the next trial is due.
        """
        self._refuse(
            ErrorKind.QUARANTINED,
            "parts of its prompt have ended several runners",
            retry_after_seconds=self._crash_guard.quarantine_left_seconds(),
        )

    def _refuse_expired(self) -> None:
        """Refuses a request with too little time left to send it.

        A request that may have run fails with an unknown outcome instead.
        """
        if self._may_have_run:
            self._fail_outcome_unknown()
            return
        if self._ended or (
            self._deadline_seconds < self._terms.deadline_seconds
        ):
            self._refuse_shutting_down()
            return
        self._refuse(ErrorKind.DEADLINE_TOO_SHORT, "its time is up")

    def _refuse_shutting_down(self) -> None:
        """Refuses a request that has not run, as a stop leaves no time."""
        self._refuse(
            ErrorKind.SHUTTING_DOWN,
            "this router is about to end",
            retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
        )

    def _fail_outcome_unknown(self) -> None:
        """Fails a request of which it is unknown whether it ran.

        A response that has started is aborted, so that the caller does not take
        it as complete.
        """
        if self._caller.response_started:
            self._log_failure(
                "cut", ErrorKind.STREAM_BROKEN, "the stream broke"
            )
            self._caller.abort()
            return
        kind = ErrorKind.OUTCOME_UNKNOWN
        if (
            self._ended
            or self._board.now() >= self._deadline_seconds - MIN_SEND_SECONDS
        ):
            kind = ErrorKind.DEADLINE_PASSED
        self._refuse(kind, "it may have run")

    def _refuse_no_capacity(
        self, retry_after_seconds: float, healthy_count: int
    ) -> None:
        """Refuses a request for which no runner has a free slot.

        A request that may have run fails with an unknown outcome instead.

        Args:
            retry_after_seconds: When the caller should retry.
            healthy_count: Number of healthy runners; selects the error kind.
        """
        if self._may_have_run:
            self._fail_outcome_unknown()
            return
        kind = ErrorKind.OVERLOADED if healthy_count else ErrorKind.NO_RUNNER
        detail = "no runner has room"
        pause_left_seconds = self._board.pause_left_seconds(
            self._runner_requirements()
        )
        if pause_left_seconds is not None:
            detail = "all runners asked for a pause"
            retry_after_seconds = max(
                MIN_RETRY_AFTER_SECONDS, pause_left_seconds
            )
        self._refuse(kind, detail, retry_after_seconds=retry_after_seconds)

    def _refuse(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Sends an error response; the kind sets status and Retry-After."""
        answer = ANSWERS[kind]
        if retry_after_seconds is None:
            retry_after_seconds = answer.retry_after_seconds
        status = answer.status
        if kind is ErrorKind.QUARANTINED:
            # This request has not run; others like it have crashed runners.
            status = 503
        self._log_failure("refused", kind, detail)
        self._contention.count_decision("refused")
        self._caller.send_error(
            status,
            detail=f"{kind.value}: {detail}",
            retry_after_seconds=retry_after_seconds,
        )

    def _log_failure(self, event: str, kind: ErrorKind, detail: str) -> None:
        """Counts and logs a request that ended without an answer."""
        board = self._board
        admitted = self._admitted
        service = admitted.service.name if admitted else UNKNOWN_SERVICE_LABEL
        REQUESTS.labels(service, kind.value).inc()
        log_request(
            event,
            request_id=self._fields.request_id,
            kind=kind.value,
            detail=detail,
            sends=self._send_count,
            model=self._fields.model,
            age=round(board.now() - self._arrived_at, 3),
            fleet=board.view.revision,
            **self._config_fields(),
            **self._contention.log_fields(),
        )

    def _on_caller_disconnect(self) -> None:
        """Cancels the running attempt, or the wait in the queue."""
        if self._attempt is not None:
            self._attempt.cancel()
        if self._hedged is not None:
            self._hedged.cancel()
        if self._waiter is not None and not self._waiter.wait_result.done():
            self._waiter.wait_result.set_result(False)
