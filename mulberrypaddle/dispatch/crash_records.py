"""Detection of requests that crash the runners that process them.

Callers retry such a request again and again, at any router. It is identified by
a fingerprint of organisation, path and body. Routers report to one another the
runners that were lost with it, and refuse it after `MAX_LOST_RUNNERS` losses.

A request is refused for as long as it keeps coming, and its losses are reported
as long, since routers that start know none. It is served again once some router
has seen it answered. If its losses lie close together, they may have another
cause, such as a loss of power. One request is then let through as a trial.
"""

from __future__ import annotations

import hashlib
import math

from mulberrypaddle.dispatch.crash_attribution import incarnation_name
from mulberrypaddle.dispatch.crash_record_codec import CrashRecord
from mulberrypaddle.dispatch.loss_reports import (
    MAX_IN_REPORT,
    MAX_LOSSES_IN_REPORT,
    format_loss,
    parse_loss,
)

# Runners lost while processing the same request after which it is refused.
MAX_LOST_RUNNERS = 3

# Losses from which on a request is recorded in the store. One request seldom
# loses two runners by chance, and a loss of all routers while the third crash
# is not confirmed would let it crash as many again.
MIN_RECORDED_LOSSES = 2

# Time after which the losses with a request that no longer comes are forgotten.
LOSS_RETENTION_SECONDS = 600.0

# Time without a loss or a trial after which a trial is let through, the longest
# time between the first and the last loss for which there is one, and the most
# trials of a request. A trial that crashes a runner is the last one.
TRIAL_PAUSE_SECONDS = 30.0
MAX_TRIAL_SPAN_SECONDS = 2.0
MAX_TRIALS = 2

# Time after an interrupted answer within which the disappearance of its runner
# confirms a crash: entries expire after three heartbeats of 1.2 s and are read
# a little later.
CRASH_CONFIRMATION_SECONDS = 6.0

# How much later than a loss an answer must be that another router reports, as
# reports are delayed.
PEER_REPORT_MARGIN_SECONDS = 0.5

# Most answered requests that are remembered while stored losses may be merged.
MAX_ANSWERS = 4_096

# Maximum number of fingerprints kept, many times the losses of a day.
MAX_FINGERPRINTS = 2_000

# Time for which a loss or an answer is part of every report. Older losses take
# turns, `MAX_OLDER_IN_REPORT` fingerprints in each.
REPORT_SECONDS = 3.0
MAX_OLDER_IN_REPORT = 8


def fingerprint(organisation: str, path: str, body: bytes) -> str:
    """Returns a hash that is the same for every retry of a request.

    It does not cover the request id. Each part is prefixed with its length, so
    that bytes can't move from one part to the next without changing the hash.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (organisation.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class _SuspectedCrash:
    """An interrupted answer whose runner may have crashed.

    Attributes:
        request_fingerprint: Fingerprint of the request.
        incarnation: Id and start time of the runner; see `RunnerEntry`.
        at_seconds: Monotonic time at which the answer was interrupted.
    """

    __slots__ = ("at_seconds", "incarnation", "request_fingerprint")

    def __init__(
        self,
        request_fingerprint: str,
        incarnation: tuple[str, int | None],
        at_seconds: float,
    ) -> None:
        self.request_fingerprint = request_fingerprint
        self.incarnation = incarnation
        self.at_seconds = at_seconds


class _CrashingRequest:
    """Losses of runners while they processed one request.

    Times are monotonic, in seconds.

    Attributes:
        losses: When each runner was lost, by name of its incarnation.
        seen_at_seconds: When the request last crashed a runner or was refused.
        recorded_at_seconds: When the last loss was recorded.
        answered_at_seconds: When it was last answered; minus infinity if it
            never was.
        tried_at_seconds: When this router last let it through as a trial; minus
            infinity if it never did.
        trials: How often this router let it through as a trial.
        may_be_stored: Whether it ever had so many losses that the store may
            hold it.
    """

    __slots__ = (
        "answered_at_seconds",
        "losses",
        "may_be_stored",
        "recorded_at_seconds",
        "seen_at_seconds",
        "trials",
        "tried_at_seconds",
    )

    def __init__(self) -> None:
        self.losses: dict[str, float] = {}
        self.seen_at_seconds = -math.inf
        self.recorded_at_seconds = 0.0
        self.answered_at_seconds = -math.inf
        self.tried_at_seconds = -math.inf
        self.trials = 0
        self.may_be_stored = False

    @property
    def is_refused(self) -> bool:
        """Returns whether it has crashed too many runners to be served."""
        return len(self.losses) >= MAX_LOST_RUNNERS

    def record_loss(
        self, name: str, *, at_seconds: float, now_seconds: float
    ) -> None:
        """Records a loss unless it is known or was followed by an answer."""
        if name in self.losses:
            self.losses[name] = min(self.losses[name], at_seconds)
        elif at_seconds > self.answered_at_seconds:
            self.losses[name] = at_seconds
            self.recorded_at_seconds = now_seconds
            self.may_be_stored |= len(self.losses) >= MIN_RECORDED_LOSSES

    def record_answer(
        self, at_seconds: float, *, margin_seconds: float
    ) -> None:
        """Forgets the losses that happened before an answer.

        Args:
            at_seconds: When the request was answered.
            margin_seconds: How much later than a loss the answer must be.
        """
        latest_seconds = at_seconds - margin_seconds
        self.answered_at_seconds = max(self.answered_at_seconds, latest_seconds)
        for name, lost_at_seconds in list(self.losses.items()):
            if lost_at_seconds <= latest_seconds:
                del self.losses[name]

    def may_be_tried(self, now_seconds: float) -> bool:
        """Returns whether its losses allow a trial now."""
        first, last = min(self.losses.values()), max(self.losses.values())
        if last - first > MAX_TRIAL_SPAN_SECONDS or self.trials >= MAX_TRIALS:
            return False
        pause_seconds = now_seconds - max(last, self.tried_at_seconds)
        return pause_seconds >= TRIAL_PAUSE_SECONDS


class CrashRecords:
    """Records the runners that were lost while they processed a request.

    Runners are counted by incarnation: one that restarts under its id may be
    lost again.

    Attributes:
        may_try: Whether this router may let trials through. Only one router of
            the fleet should, so that a trial costs one runner.
        remembers_answers: Whether losses that are older than this process may
            still come from the store, so that answers are remembered of
            requests without losses too.
    """

    __slots__ = (
        "_answers",
        "_reported_after",
        "_requests",
        "_suspected_crashes",
        "may_try",
        "remembers_answers",
    )

    def __init__(self) -> None:
        # By fingerprint, the one that was seen last at the end.
        self._requests: dict[str, _CrashingRequest] = {}
        self._suspected_crashes: list[_SuspectedCrash] = []
        # Fingerprint after which the next report of older losses begins.
        self._reported_after = ""
        # Monotonic time of remembered answers, by fingerprint.
        self._answers: dict[str, float] = {}
        self.may_try = False
        self.remembers_answers = False

    # Evidence.

    def record_interrupted_answer(
        self,
        request_fingerprint: str,
        incarnation: tuple[str, int | None],
        now_seconds: float,
    ) -> None:
        """Records that a runner's answer to a request was interrupted."""
        self._suspected_crashes.append(
            _SuspectedCrash(request_fingerprint, incarnation, now_seconds)
        )

    def confirm_crashes(
        self, incarnations: set[tuple[str, int | None]], now_seconds: float
    ) -> None:
        """Records a loss for each suspect whose runner has ended or restarted.

        Suspected crashes whose runner still lives after
        `CRASH_CONFIRMATION_SECONDS` are dropped.

        Args:
            incarnations: Incarnations of all runners listed in the store.
            now_seconds: Monotonic time.
        """
        kept: list[_SuspectedCrash] = []
        for suspect in self._suspected_crashes:
            if suspect.incarnation not in incarnations:
                self.record_loss(
                    suspect.request_fingerprint,
                    suspect.incarnation,
                    at_seconds=suspect.at_seconds,
                    now_seconds=now_seconds,
                )
            elif now_seconds - suspect.at_seconds < CRASH_CONFIRMATION_SECONDS:
                kept.append(suspect)
        self._suspected_crashes = kept

    def record_loss(
        self,
        request_fingerprint: str,
        incarnation: tuple[str, int | None],
        *,
        at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Records that a runner was lost while it processed a request.

        Args:
            request_fingerprint: Fingerprint of the request.
            incarnation: Id and start time of the runner; see `RunnerEntry`.
            at_seconds: Monotonic time at which its answer was interrupted.
            now_seconds: Monotonic time.
        """
        request = self._touch(request_fingerprint, now_seconds)
        request.seen_at_seconds = max(request.seen_at_seconds, at_seconds)
        request.record_loss(
            incarnation_name(incarnation),
            at_seconds=at_seconds,
            now_seconds=now_seconds,
        )

    def record_answer(
        self, request_fingerprint: str, now_seconds: float
    ) -> None:
        """Records that a runner answered a request, so that it is served."""
        request = self._requests.get(request_fingerprint)
        if request is not None:
            request.record_answer(now_seconds, margin_seconds=0.0)
        elif self.remembers_answers:
            self._answers.pop(request_fingerprint, None)
            if len(self._answers) >= MAX_ANSWERS:
                del self._answers[next(iter(self._answers))]
            self._answers[request_fingerprint] = now_seconds

    def forget_answers(self) -> None:
        """Ends the memory of answers to requests without losses."""
        self.remembers_answers = False
        self._answers.clear()

    def _touch(
        self, request_fingerprint: str, now_seconds: float
    ) -> _CrashingRequest:
        """Returns a request and marks it as the last to be forgotten.

        Once `MAX_FINGERPRINTS` are kept, a new one replaces the one that was
        seen first, if possible one that is not refused.
        """
        request = self._requests.pop(request_fingerprint, None)
        if request is None:
            self._expire(now_seconds)
            if len(self._requests) >= MAX_FINGERPRINTS:
                served = (
                    key
                    for key, other in self._requests.items()
                    if not other.is_refused
                )
                del self._requests[next(served, next(iter(self._requests)))]
            request = _CrashingRequest()
            request.answered_at_seconds = self._answers.pop(
                request_fingerprint, -math.inf
            )
        self._requests[request_fingerprint] = request
        return request

    def _expire(self, now_seconds: float) -> None:
        """Forgets the requests that no longer come."""
        for key, request in list(self._requests.items()):
            age_seconds = now_seconds - request.seen_at_seconds
            if age_seconds >= LOSS_RETENTION_SECONDS:
                del self._requests[key]

    # Decisions.

    def is_refused(self, request_fingerprint: str, now_seconds: float) -> bool:
        """Returns whether a request crashed too many runners to be served."""
        request = self._requests.get(request_fingerprint)
        if request is None or not request.is_refused:
            return False
        age_seconds = now_seconds - request.seen_at_seconds
        return age_seconds < LOSS_RETENTION_SECONDS

    def has_losses(self, request_fingerprint: str) -> bool:
        """Returns whether a request crashed a runner, or may have done so."""
        return request_fingerprint in self._requests or any(
            suspect.request_fingerprint == request_fingerprint
            for suspect in self._suspected_crashes
        )

    def record_refusal(
        self, request_fingerprint: str, now_seconds: float
    ) -> None:
        """Records that a request came again and was refused."""
        if request_fingerprint in self._requests:
            request = self._touch(request_fingerprint, now_seconds)
            request.seen_at_seconds = now_seconds

    def try_acquire_trial(
        self, request_fingerprint: str, now_seconds: float
    ) -> bool:
        """Returns whether a refused request may be sent as a trial."""
        request = self._requests.get(request_fingerprint)
        if request is None or not request.losses or not self.may_try:
            return False
        if not request.may_be_tried(now_seconds):
            return False
        request.tried_at_seconds = now_seconds
        request.trials += 1
        return True

    # Reports of routers to one another.

    def loss_reports(self, now_seconds: float) -> dict[str, list[str]]:
        """Returns the losses to be reported to other routers.

        Returns:
            By fingerprint: the names of the lost incarnations, each with the
            seconds since it was lost and since the request last came.
        """
        self._expire(now_seconds)
        older = sorted(
            key
            for key, request in self._requests.items()
            if request.losses
            and now_seconds - request.recorded_at_seconds > REPORT_SECONDS
        )
        turn = [key for key in older if key > self._reported_after]
        turn = (turn + older)[: min(MAX_OLDER_IN_REPORT, len(older))]
        if turn:
            self._reported_after = turn[-1]
        recent = [
            key
            for key, request in self._requests.items()
            if request.losses
            and now_seconds - request.recorded_at_seconds <= REPORT_SECONDS
        ]
        room = MAX_IN_REPORT - len(turn)
        reports = {}
        for key in recent[-room:] + turn:
            request = self._requests[key]
            seen_seconds = int(now_seconds - request.seen_at_seconds)
            names = list(request.losses.items())[:MAX_LOSSES_IN_REPORT]
            reports[key] = [
                format_loss(
                    name,
                    lost_seconds=int(now_seconds - at),
                    seen_seconds=seen_seconds,
                )
                for name, at in names
            ]
        return reports

    def answered_ages(self, now_seconds: float) -> dict[str, float]:
        """Returns the time since requests with losses were answered.

        Returns:
            Seconds by fingerprint, up to `REPORT_SECONDS`.
        """
        return {
            key: now_seconds - request.answered_at_seconds
            for key, request in self._requests.items()
            if now_seconds - request.answered_at_seconds <= REPORT_SECONDS
        }

    def apply_peer_report(
        self,
        losses: dict[str, list[str]],
        answered_ages_seconds: dict[str, float],
        now_seconds: float,
    ) -> None:
        """Merges what another router reports.

        Args:
            losses: What its `loss_reports` returned.
            answered_ages_seconds: Time since it saw a request answered, by
                fingerprint.
            now_seconds: Monotonic time.
        """
        for key, reports in losses.items():
            for report in reports:
                name, lost_seconds, seen_seconds = parse_loss(report)
                if seen_seconds >= LOSS_RETENTION_SECONDS:
                    continue
                request = self._requests.get(key)
                if request is None:
                    request = self._touch(key, now_seconds)
                request.seen_at_seconds = max(
                    request.seen_at_seconds, now_seconds - seen_seconds
                )
                request.record_loss(
                    name,
                    at_seconds=now_seconds - lost_seconds,
                    now_seconds=now_seconds,
                )
        for key, age_seconds in answered_ages_seconds.items():
            request = self._requests.get(key)
            if request is not None:
                request.record_answer(
                    now_seconds - age_seconds,
                    margin_seconds=PEER_REPORT_MARGIN_SECONDS,
                )

    # Records in the store.

    def to_store(self, now_seconds: float) -> dict[str, CrashRecord]:
        """Returns the requests that the store should hold, by fingerprint."""
        self._expire(now_seconds)
        return {
            key: CrashRecord(
                {
                    name: now_seconds - at_seconds
                    for name, at_seconds in request.losses.items()
                },
                seen_age_seconds=now_seconds - request.seen_at_seconds,
                trials=request.trials,
                tried_age_seconds=now_seconds - request.tried_at_seconds,
            )
            for key, request in self._requests.items()
            if len(request.losses) >= MIN_RECORDED_LOSSES
        }

    def has_answered_suspects(self) -> bool:
        """Returns whether the store may hold a request that was answered."""
        return any(
            request.may_be_stored and len(request.losses) < MIN_RECORDED_LOSSES
            for request in self._requests.values()
        )

    def merge_stored(
        self, records: dict[str, CrashRecord], now_seconds: float
    ) -> None:
        """Merges records of the store; losses before an answer are left out.

        Args:
            records: Records by fingerprint, with present ages.
            now_seconds: Monotonic time.
        """
        for key, record in records.items():
            if record.seen_age_seconds >= LOSS_RETENTION_SECONDS:
                continue
            request = self._requests.get(key)
            if request is None:
                request = self._touch(key, now_seconds)
            request.seen_at_seconds = max(
                request.seen_at_seconds, now_seconds - record.seen_age_seconds
            )
            request.tried_at_seconds = max(
                request.tried_at_seconds, now_seconds - record.tried_age_seconds
            )
            request.trials = max(request.trials, record.trials)
            for name, age_seconds in record.losses.items():
                request.record_loss(
                    name,
                    at_seconds=now_seconds - age_seconds,
                    now_seconds=now_seconds,
                )
