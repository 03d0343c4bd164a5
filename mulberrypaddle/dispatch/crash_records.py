"""Detection of requests that crash the runners that process them.

Callers retry such a request again and again, at any router. It is identified by
a fingerprint of organisation, path and body. Routers report to one another the
runners that were lost with it, and refuse it after `MAX_LOST_RUNNERS` losses.
"""

from __future__ import annotations

import hashlib

# Runners lost while processing the same request after which it is refused.
MAX_LOST_RUNNERS = 3

# How long a loss counts against a request. Callers retry such requests within
# seconds, and lost runners are back some seconds later.
LOSS_RETENTION_SECONDS = 60.0

# Time after an interrupted answer within which the disappearance of its runner
# confirms a crash: entries expire after three heartbeats of 1.2 s and are read
# a little later.
CRASH_CONFIRMATION_SECONDS = 6.0

# Maximum number of fingerprints kept, many times the losses of a day.
MAX_FINGERPRINTS = 2_000


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


class CrashRecords:
    """Records the runners that were lost while they processed a request.

    Losses are kept by fingerprint of the request and incarnation of the runner,
    with the monotonic time at which each was recorded.
    """

    __slots__ = ("_losses", "_suspected_crashes")

    def __init__(self) -> None:
        self._losses: dict[str, dict[str, float]] = {}
        self._suspected_crashes: list[_SuspectedCrash] = []

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
                runner_id, started_at_ms = suspect.incarnation
                self.record_loss(
                    suspect.request_fingerprint,
                    f"{runner_id}@{started_at_ms or 0}",
                    now_seconds,
                )
            elif now_seconds - suspect.at_seconds < CRASH_CONFIRMATION_SECONDS:
                kept.append(suspect)
        self._suspected_crashes = kept

    def record_loss(
        self, request_fingerprint: str, runner: str, now_seconds: float
    ) -> None:
        """Records that a runner was lost while it processed a request.

        A runner that restarts under its id may be lost again, so that it is
        named by id and start time.

        Once `MAX_FINGERPRINTS` are kept, evicts the one that was added first.
        """
        if (
            request_fingerprint not in self._losses
            and len(self._losses) >= MAX_FINGERPRINTS
        ):
            del self._losses[next(iter(self._losses))]
        self._losses.setdefault(request_fingerprint, {})[runner] = now_seconds

    def apply_peer_report(
        self, losses: dict[str, list[str]], now_seconds: float
    ) -> None:
        """Merges losses reported by another router.

        Args:
            losses: Ids of the lost runners, by fingerprint.
            now_seconds: Monotonic time.
        """
        for request_fingerprint, runner_ids in losses.items():
            for runner_id in runner_ids:
                if runner_id not in self._losses.get(request_fingerprint, {}):
                    self.record_loss(
                        request_fingerprint, runner_id, now_seconds
                    )

    def losses_within(
        self, now_seconds: float, *, since_seconds: float
    ) -> dict[str, list[str]]:
        """Returns the losses recorded in the last `since_seconds`.

        Returns:
            Ids of the lost runners, by fingerprint.
        """
        found: dict[str, list[str]] = {}
        for request_fingerprint, runners in self._losses.items():
            fresh = [
                runner_id
                for runner_id, at_seconds in runners.items()
                if now_seconds - at_seconds <= since_seconds
            ]
            if fresh:
                found[request_fingerprint] = fresh
        return found

    def is_refused(self, request_fingerprint: str, now_seconds: float) -> bool:
        """Returns whether a request crashed too many runners to be served."""
        runners = self._losses.get(request_fingerprint)
        if runners is None:
            return False
        recent_losses = [
            at_seconds
            for at_seconds in runners.values()
            if now_seconds - at_seconds <= LOSS_RETENTION_SECONDS
        ]
        return len(recent_losses) >= MAX_LOST_RUNNERS
