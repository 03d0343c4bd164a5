"""Keeps requests that crash runners from being sent to more of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.crash_attribution import MAX_STARTING_EVENTS
from mulberrypaddle.dispatch.wait_decision import MIN_RETRY_AFTER_SECONDS
from mulberrypaddle.serving.attempt import AttemptOutcome
from mulberrypaddle.serving.decision_log import log_request

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.serving.attempt import Attempt
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.header_codec import CallerHeaders


class CrashGuard:
    """Decides whether one request may be sent, by the crashes that are known.

    Attributes:
        is_trial: Whether the request was let through as a trial, although parts
            of its prompt are quarantined or such requests have crashed several
            runners.
    """

    __slots__ = ("_board", "_fields", "_is_crash_trial", "_is_parts_trial")

    def __init__(self, board: Blackboard, fields: CallerHeaders) -> None:
        self._board = board
        self._fields = fields
        self._is_parts_trial = False
        self._is_crash_trial = False

    @property
    def is_trial(self) -> bool:
        """Returns whether the request was let through as a trial."""
        return self._is_parts_trial or self._is_crash_trial

    def is_known_to_crash(self, request_fingerprint: str) -> bool:
        """Returns whether the request has crashed too many runners to be sent.

        One request may be let through as a trial.

        Args:
            request_fingerprint: Fingerprint of the request.
        """
        crashes = self._board.crashes
        now = self._board.now()
        if self._is_crash_trial or not crashes.is_refused(
            request_fingerprint, now
        ):
            return False
        if not crashes.try_acquire_trial(request_fingerprint, now):
            crashes.record_refusal(request_fingerprint, now)
            return True
        self._is_crash_trial = True
        log_request(
            "crashing_request_trial",
            request_id=self._fields.request_id,
            fingerprint=request_fingerprint,
        )
        return False

    def is_quarantined(self) -> bool:
        """Returns whether parts of the prompt forbid to send the request.

        One request may be let through as a trial.
        """
        parts = self._fields.prompt_parts
        attribution = self._board.crash_attribution
        if self._is_parts_trial or attribution.quarantine_of(parts) is None:
            return False
        if not attribution.try_acquire_trial(parts, self._board.now()):
            return True
        self._is_parts_trial = True
        log_request(
            "quarantine_trial",
            request_id=self._fields.request_id,
            parts=",".join(parts),
        )
        return False

    def quarantine_left_seconds(self) -> float:
        """Returns the time until the next trial of the prompt's parts."""
        attribution = self._board.crash_attribution
        quarantine = attribution.quarantine_of(self._fields.prompt_parts)
        if quarantine is None:
            return MIN_RETRY_AFTER_SECONDS
        return max(
            MIN_RETRY_AFTER_SECONDS,
            attribution.trial_due_at_seconds(quarantine) - self._board.now(),
        )

    def may_have_crashed_runner(
        self, entry: RunnerEntry, attempt: Attempt, outcome: AttemptOutcome
    ) -> bool:
        """Returns whether a part of the prompt may have ended the runner.

        That is, whether the answer broke off when it had only just begun.

        Args:
            entry: The runner.
            attempt: The attempt that ended there.
            outcome: How it ended.
        """
        if not self._fields.prompt_parts:
            return False
        if outcome not in (AttemptOutcome.BROKEN, AttemptOutcome.STALE):
            return False
        current = self._board.view.get(entry.runner_id)
        if current is not None and current.is_leaving:
            return False
        return attempt.event_count <= MAX_STARTING_EVENTS
